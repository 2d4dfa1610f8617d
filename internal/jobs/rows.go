// Package jobs runs the scheduler's core for jobs of steps. It has two roles: the
// intake, which accepts jobs and returns their states in every entry, and the owner
// of all jobs, which is one entry at a time.
//
// All durable data is in the platform's table. An accepted job has a row with its
// specification and one with its state; the state row decides between completion and
// cancellation. The owner adds a progress row, and deletes all rows but the state
// when the job has ended.
package jobs

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
)

// Key prefixes of the rows.
const (
	prefixJob      = "job/"
	prefixState    = "jobstate/"
	prefixProgress = "progress/"
	prefixAgent    = "agent/"
	prefixEntry    = "entry/"
	prefixFence    = "fence/"
)

// jobsShard is the ID of the one shard of a deployment whose owner holds all jobs.
const jobsShard types.ShardID = "jobs"

// stateRow is the row of a job's state.
type stateRow struct {
	Queue string            `json:"queue"`
	State workflow.JobState `json:"state"`
	// Timed is set for jobs that run at set times.
	Timed bool `json:"timed,omitempty"`
}

// agentRow is the row of the agent of a VM.
type agentRow struct {
	Address       string              `json:"address"`
	Name          string              `json:"name"`
	FailureDomain types.FailureDomain `json:"failure_domain"`
	Incarnation   types.Incarnation   `json:"incarnation,string"`
	// revision is the revision of the row when it was read. It is not stored.
	revision uint64
}

// check returns an error if the row names no address that an agent can have. A new
// owner would wait for the lease of its worker, which nobody can reach.
func (r *agentRow) check() error {
	host, port, err := net.SplitHostPort(r.Address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return fmt.Errorf("address %q of agent %q is not a host and a port from 1 to 65535", r.Address, r.Name)
	}
	return nil
}

// fenceRow is the fence row of one partition. The takeover of ownership and each
// batch write it, and a batch is conditional on its revision. Thus a batch that the
// platform carries out late, after another batch or after a takeover, fails. The row
// is unrelated to workflow.Fence, which workers check.
type fenceRow struct {
	Epoch types.Epoch `json:"epoch"`
	Batch uint64      `json:"batch"`
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("row of type %T cannot be encoded: %v", v, err)) // the row types can always be encoded
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

// partitions is the number of partitions of the table that jobs are spread over. The
// platform carries out the transactions of one partition one after another: with 8
// partitions and a table 60 times slower than usual, 45 submissions/s and the owner's
// batches overloaded all partitions, and almost nothing was stored. The number may
// be changed only while no jobs or states are stored, because it determines the keys
// of a job's rows.
const partitions = 32

// partitionNames returns the names of all partitions.
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

// idFromKey returns the last part of a row's key: the job's ID. For the row of an
// agent it is the VM's ID, which the caller converts.
func idFromKey(key string) types.JobID {
	return types.JobID(key[strings.LastIndexByte(key, '/')+1:])
}

// unixNow returns the time since the Unix epoch.
func unixNow() time.Duration {
	return time.Duration(time.Now().UnixNano())
}
