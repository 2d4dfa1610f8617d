package jobs

import (
	"encoding/base64"
	"math"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Sizes of transactions.
const (
	// rowOverhead is the size of a row or condition in the encoded form of a
	// transaction, besides its key and value.
	rowOverhead = 100
	// txnReserve is the part of a transaction that is kept free beside the progress
	// of one job: the fence, the job's other rows, and maxChanges expired states.
	txnReserve = 16 << 10
	// chunkSeparator precedes the number of a further row of a job's progress in its
	// key.
	chunkSeparator = "~"
)

var eventProgressTrimmed = telemetry.Define(556, logrus.WarnLevel, "progress of a job does not fit into the table",
	"Checkpoints, or failed runs if there are no more checkpoints, are not stored. If the owner is lost, tasks without a checkpoint start from the beginning. Split jobs of this kind into smaller ones. Fields: job, omitted.")

// batchPart holds the changes of a batch that are in one partition, and the
// transaction that stores them. The fence row is the first condition and the first
// row that the transaction reads.
type batchPart struct {
	partition string
	// changes are indices into the Changes of the batch.
	changes []int
	// progressRows holds the number of rows of a job's progress for each change.
	progressRows map[int]int
	// fence is the last known revision of the partition's fence row.
	fence uint64
	txn   platform.Txn
	size  txnSize
}

// txnSize is the size of a transaction, or of a part of it.
type txnSize struct {
	entries, bytes int
}

func (t *txnSize) add(rows platform.Txn) {
	t.entries += len(rows.Conditions) + len(rows.Writes)
	for _, c := range rows.Conditions {
		t.bytes += rowOverhead + len(c.Key)
	}
	for _, w := range rows.Writes {
		t.bytes += rowOverhead + len(w.Key) + base64.StdEncoding.EncodedLen(len(w.Value))
	}
}

// add appends rows to the transaction, unless it would exceed the limits.
func (p *batchPart) add(rows platform.Txn, limits platform.Limits) bool {
	size := p.size
	size.add(rows)
	if limits.TxnEntries > 0 && size.entries > limits.TxnEntries || limits.TxnBytes > 0 && size.bytes > limits.TxnBytes {
		return false
	}
	p.size = size
	p.txn.Conditions = append(p.txn.Conditions, rows.Conditions...)
	p.txn.Writes = append(p.txn.Writes, rows.Writes...)
	p.txn.Reads = append(p.txn.Reads, rows.Reads...)
	return true
}

// jobs returns the IDs of the part's jobs.
func (p *batchPart) jobs(b *workflow.Batch) []types.JobID {
	ids := make([]types.JobID, len(p.changes))
	for i, n := range p.changes {
		ids[i] = b.Changes[n].Job
	}
	return ids
}

// batchParts splits a batch by partition. A change that does not fit into the
// transaction of its partition is left out, and thus stays part of the next batch.
func (t *term) batchParts(b *workflow.Batch) []*batchPart {
	var parts []*batchPart
	find := func(id types.JobID) *batchPart {
		name := partition(id)
		for _, p := range parts {
			if p.partition == name {
				return p
			}
		}
		fence := fenceKey(name)
		p := &batchPart{partition: name, fence: t.fences[name], progressRows: make(map[int]int)}
		p.add(platform.Txn{
			Conditions: []platform.Condition{{Key: fence, Revision: p.fence}},
			Writes:     []platform.Write{{Key: fence, Value: encode(fenceRow{Epoch: t.epoch, Batch: b.Number})}},
			Reads:      []string{fence},
		}, platform.Limits{})
		parts = append(parts, p)
		return p
	}
	for _, id := range b.Expired {
		find(id).add(platform.Txn{Writes: []platform.Write{{Key: stateKey(id), Delete: true}}}, platform.Limits{})
	}
	for i := range b.Changes {
		p := find(b.Changes[i].Job)
		rows, progressRows := t.rowsOf(&b.Changes[i])
		if p.add(rows, t.c.opts.Limits) {
			p.changes = append(p.changes, i)
			p.progressRows[i] = progressRows
		}
	}
	return parts
}

// rowsOf returns the rows of one change, and the number of rows of its progress.
func (t *term) rowsOf(c *workflow.Change) (rows platform.Txn, progressRows int) {
	if c.State != "" {
		key := stateKey(c.Job)
		rows.Conditions = append(rows.Conditions, platform.Condition{Key: key, Revision: c.StateRevision})
		rows.Reads = append(rows.Reads, key)
		rows.Writes = append(rows.Writes, platform.Write{Key: key, Value: encode(stateRow{Queue: c.Queue, State: c.State, Timed: c.Timed})})
	}
	if c.Deletable {
		rows.Writes = append(rows.Writes, platform.Write{Key: jobKey(c.Job), Delete: true}, platform.Write{Key: progressKey(c.Job), Delete: true})
	}
	stored := t.progressRows[c.Job]
	if c.Progress != nil {
		for i, value := range t.encodeProgress(c) {
			rows.Writes = append(rows.Writes, platform.Write{Key: progressRowKey(c.Job, i), Value: value})
			progressRows++
		}
	}
	if c.Progress != nil || c.Deletable {
		for i := max(1, progressRows); i < stored; i++ {
			rows.Writes = append(rows.Writes, platform.Write{Key: progressRowKey(c.Job, i), Delete: true})
		}
	} else {
		progressRows = stored
	}
	return rows, progressRows
}

// encodeProgress returns the values of the rows of a job's progress. One row is
// enough for all but jobs of thousands of tasks or occurrences.
func (t *term) encodeProgress(c *workflow.Change) [][]byte {
	limits := t.c.opts.Limits
	data := encode(c.Progress)
	if limits.ValueBytes == 0 || len(data) <= limits.ValueBytes {
		return [][]byte{data}
	}
	most := math.MaxInt
	if limits.TxnBytes > 0 {
		most = base64.StdEncoding.DecodedLen(limits.TxnBytes - txnReserve)
	}
	data, omitted, err := c.Progress.EncodeWithin(most)
	if err != nil || omitted > 0 {
		t.log.Log(eventProgressTrimmed, err, telemetry.Fields{"job": c.Job, "omitted": omitted})
	}
	// Whether the limit applies to a value or to its encoded form, chunks of this
	// size fit.
	chunk := base64.StdEncoding.DecodedLen(limits.ValueBytes)
	var values [][]byte
	for len(data) > chunk {
		values, data = append(values, data[:chunk]), data[chunk:]
	}
	return append(values, data)
}

// progressRowKey returns the key of one of the rows of a job's progress.
func progressRowKey(id types.JobID, i int) string {
	if i == 0 {
		return progressKey(id)
	}
	return progressKey(id) + chunkSeparator + strconv.Itoa(i)
}

// progressRowCounts holds the number of rows of progress of each job that has more
// than one. Only the batch in flight accesses it.
type progressRowCounts map[types.JobID]int

// record records a committed change.
func (n progressRowCounts) record(c *workflow.Change, rows int) {
	if rows > 1 && !c.Deletable {
		n[c.Job] = rows
	} else {
		delete(n, c.Job)
	}
}

// joinProgress returns the values of progress by job, joined from their rows, and
// the numbers of rows.
func joinProgress(rows []platform.Row) (map[types.JobID][]byte, progressRowCounts) {
	chunks := make(map[types.JobID]map[int][]byte)
	for _, r := range rows {
		name, number, further := strings.Cut(string(idFromKey(r.Key)), chunkSeparator)
		i := 0
		if further {
			n, err := strconv.Atoi(number)
			if err != nil {
				continue // not a row that an owner writes
			}
			i = n
		}
		id := types.JobID(name)
		if chunks[id] == nil {
			chunks[id] = make(map[int][]byte)
		}
		chunks[id][i] = r.Value
	}
	values, counts := make(map[types.JobID][]byte, len(chunks)), make(progressRowCounts)
	for id, c := range chunks {
		for i := range len(c) {
			values[id] = append(values[id], c[i]...)
		}
		if len(c) > 1 {
			counts[id] = len(c)
		}
	}
	return values, counts
}
