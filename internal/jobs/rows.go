// Package jobs runs the scheduler's core for jobs of steps: the intake that
// accepts jobs and answers for their states in every entry, and the owner that
// one entry at a time is.
//
// Everything that must last is in the platform's table. An accepted job has a
// row with its specification and one with its state; the state's row decides
// between completion and cancellation. The owner adds a row of progress, and
// deletes all but the state when the job is over.
package jobs

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
)

// Prefixes of the rows.
const (
	prefixJob      = "job/"
	prefixState    = "jobstate/"
	prefixProgress = "progress/"
	prefixAgent    = "agent/"
	prefixFence    = "fence/"
)

// jobsShard names the one shard of a deployment whose owner holds all jobs.
const jobsShard types.ShardID = "jobs"

// stateRow is the row of a job's state.
type stateRow struct {
	Queue string            `json:"queue"`
	State workflow.JobState `json:"state"`
	// Timed jobs run at set times.
	Timed bool `json:"timed,omitempty"`
}

// agentRow is where the agent of a VM is reached.
type agentRow struct {
	Address       string              `json:"address"`
	Name          string              `json:"name"`
	FailureDomain types.FailureDomain `json:"failure_domain"`
	Incarnation   types.Incarnation   `json:"incarnation,string"`
	// revision is that of the row as it was read.
	revision uint64
}

// fenceRow is the row of one partition that is written by the takeover of
// ownership and by each batch; a batch is conditional on its revision. So a batch that the platform carries out
// late, after another one or after a takeover, fails.
type fenceRow struct {
	Epoch types.Epoch `json:"epoch"`
	Batch uint64      `json:"batch"`
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("row of type %T cannot be encoded: %v", v, err)) // plain structs always can
	}
	return data
}

func decode[T any](key string, value []byte) (T, error) {
	var v T
	if err := json.Unmarshal(value, &v); err != nil {
		return v, fmt.Errorf("row %q is not readable: %w", key, err)
	}
	return v, nil
}

// partitions is the number of parts of the table that jobs are spread over. The
// platform carries out the transactions of one part one after another. With 8 of
// them and a store that was 60 times slower than usual, 45 submissions a second
// and the owner's batches were more than all parts could take, and nearly nothing
// was stored. Unfinished jobs in parts beyond the number are not found: it changes
// only while no job is unfinished.
const partitions = 32

// partitionNames are the names of all partitions.
func partitionNames() []string {
	names := make([]string, partitions)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	return names
}

// partition returns the partition of a job.
func partition(id types.JobID) string {
	return strconv.FormatUint(xxhash.Sum64String(string(id))%partitions, 10)
}

func jobKey(id types.JobID) string      { return prefixJob + partition(id) + "/" + string(id) }
func stateKey(id types.JobID) string    { return prefixState + partition(id) + "/" + string(id) }
func progressKey(id types.JobID) string { return prefixProgress + partition(id) + "/" + string(id) }

// fenceKey returns the key of a partition's fence row.
func fenceKey(partition string) string { return prefixFence + partition + "/" + string(jobsShard) }

// jobIDFromKey returns the job of a key.
func jobIDFromKey(key string) types.JobID {
	return types.JobID(key[strings.LastIndexByte(key, '/')+1:])
}

// unixNow returns the time since 1970.
func unixNow() time.Duration {
	return time.Duration(time.Now().UnixNano())
}
