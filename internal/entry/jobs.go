package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/jobshard"
	"github.com/boragecrank/boragecrank/internal/core/task"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

const (
	// notifyTimeout bounds one notification call to an owner.
	notifyTimeout = time.Second
	// maxNotifyAttempts bounds the attempts at one notification. An owner that
	// misses all of them reads the row when it recovers or scans the table.
	maxNotifyAttempts   = 20
	notifyRetryInterval = 500 * time.Millisecond
	// scanPageRows is the maximum number of rows that one scan call returns.
	scanPageRows = 500
)

// Submission is a request for one run of a job that the inventory declares.
type Submission struct {
	// ID identifies the job; a repeat with the same ID has no effect.
	ID   types.JobID `json:"id"`
	Kind string      `json:"kind"`
}

// JobStatus is the state of a submitted job.
type JobStatus struct {
	ID       types.JobID   `json:"id"`
	Kind     string        `json:"kind"`
	Shard    types.ShardID `json:"shard"`
	Tasks    int           `json:"tasks"`
	Finished bool          `json:"finished"`
	// Cancel is set once cancellation has been requested.
	Cancel bool `json:"cancel"`
	// Done, Failed and Cancelled are the final task counts of a finished job.
	Done      int `json:"done"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	// States lists at most scanPageRows tasks. Lists of jobs omit it.
	States []TaskStatus `json:"states,omitempty"`
}

// TaskStatus is the state of one task.
type TaskStatus struct {
	Task    types.TaskID  `json:"task"`
	State   task.State    `json:"state"`
	Attempt types.Attempt `json:"attempt"`
	VM      types.VMID    `json:"vm,omitempty"`
	Reason  string        `json:"reason,omitempty"`
}

// postJob commits a job's row, then notifies the owner of its shard.
func (e *Entry) postJob(r *http.Request) (int, any, error) {
	var sub Submission
	if err := readJSON(r, &sub); err != nil {
		return 0, nil, err
	}
	cfg := e.node.Config.Current()
	if cfg == nil || !e.node.Config.MayTakeNew() {
		return 0, nil, errNotRun(apperr.KindUnavailable, "entry "+e.node.Name, "takes no new work now", "submit again later")
	}
	if sub.ID == "" || strings.ContainsAny(string(sub.ID), "/ \t\n") || len(sub.ID) > 128 {
		return 0, nil, errNotRun(apperr.KindInvalid, "job ID", "must have 1 to 128 characters without slash or space", "choose another ID")
	}
	kind, ok := cfg.JobKind(sub.Kind)
	if !ok {
		return 0, nil, errNotRun(apperr.KindNotFound, "job kind "+sub.Kind, "is not in the inventory", "add the job to the inventory and apply it")
	}
	job := kind.Job(sub.ID, nightlyDeadline(cfg, &kind, time.Now()))
	status, err := e.submit(r.Context(), cfg, job)
	if err != nil {
		return 0, nil, err
	}
	return http.StatusAccepted, status, nil
}

// nightlyDeadline returns the end of the current or next overnight window as
// time since 1970 (UTC), or 0 for jobs that are not nightly.
func nightlyDeadline(cfg *config.Config, k *config.JobKind, now time.Time) time.Duration {
	if !k.Nightly {
		return 0
	}
	night, err := cfg.Rules().Overnight.NightAt(now)
	if err != nil {
		return 0
	}
	return time.Duration(night.End.UnixNano())
}

// submit commits the job's row and notifies the shard's owner. If a job with the
// ID already exists, submit only returns its status.
func (e *Entry) submit(ctx context.Context, cfg *config.Config, job types.Job) (*JobStatus, error) {
	index := task.IndexKey(job.ID)
	rows, err := e.opts.Table.Get(ctx, index)
	if err != nil {
		return nil, errTableUnavailable(job.ID, err)
	}
	if rows[0].Revision != 0 {
		return e.jobStatus(ctx, job.ID)
	}
	shard, ok := e.chooseShard(cfg, &job)
	if !ok {
		return nil, errNotRun(apperr.KindUnavailable, "job "+string(job.ID), "no shard that can run it has an owner now", "submit it again with the same ID")
	}
	value, err := task.JobRow{Job: job, SubmittedUnix: time.Now().Unix()}.Encode()
	if err != nil {
		return nil, err
	}
	key := task.JobKey(shard, job.ID)
	_, err = e.opts.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: index}, {Key: key}},
		Writes:     []platform.Write{{Key: index, Value: []byte(shard)}, {Key: key, Value: value}},
	})
	switch {
	case errors.Is(err, platform.ErrUncertain):
		// If the index row exists, this call or another has committed the job.
		if status, readErr := e.jobStatus(ctx, job.ID); readErr == nil {
			e.notifyOwner(shard, key)
			return status, nil
		}
		return nil, &apperr.Error{Kind: apperr.KindUncertain, Object: "job " + string(job.ID), Problem: "the response of the table was lost",
			Remedy: "submit it again with the same ID; it runs once", Outcome: apperr.OutcomeUnknown, Cause: err}
	case err != nil:
		return nil, errTableUnavailable(job.ID, err)
	}
	e.notifyOwner(shard, key)
	return e.jobStatus(ctx, job.ID)
}

func errTableUnavailable(id types.JobID, cause error) error {
	return &apperr.Error{Kind: apperr.KindUnavailable, Object: "job " + string(id), Problem: "the table does not answer",
		Remedy: "try again when it answers", Outcome: apperr.OutcomeNotRun, RetryAfter: retryAfter, Cause: cause}
}

// chooseShard picks, by rotation, a shard that may run the job and has an owner.
// Rotation gives all allowed shards equal shares of jobs, whatever their sizes.
// While a shard that is not evacuated may run the job but has no owner, it
// returns false, because the job would wait in an evacuated one.
func (e *Entry) chooseShard(cfg *config.Config, job *types.Job) (types.ShardID, bool) {
	ownerAddresses := e.directory.ownerAddresses()
	allowed := slices.DeleteFunc(jobshard.Allowed(cfg, job, e.node.Region), func(id types.ShardID) bool {
		_, ok := ownerAddresses[id]
		return !ok
	})
	if len(allowed) == 0 {
		return "", false
	}
	return allowed[int(e.nextShard.Add(1))%len(allowed)], true
}

// notifyOwner notifies the owner of a shard, in the background, that a row was
// written. It retries until the owner has answered or maxNotifyAttempts is
// reached.
func (e *Entry) notifyOwner(shard types.ShardID, key string) {
	e.background(func() {
		for range maxNotifyAttempts {
			if e.notifyOnce(shard, key) {
				return
			}
			if sleep(e.ctx, notifyRetryInterval) != nil {
				return
			}
		}
	})
}

func (e *Entry) notifyOnce(shard types.ShardID, key string) bool {
	address, ok := e.directory.ownerAddress(shard)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(e.ctx, notifyTimeout)
	defer cancel()
	_, err := e.node.OwnerPeer(address.String()).Notify(ctx, &wirepb.NotifyRequest{Shard: string(shard), Keys: []string{key}})
	return err == nil
}

// getJobs returns all jobs that have a row in the table.
func (e *Entry) getJobs(r *http.Request) (int, any, error) {
	list := []JobStatus{}
	after := ""
	for {
		rows, err := e.opts.Table.Scan(r.Context(), "jobs/", after, scanPageRows)
		if err != nil {
			return 0, nil, errTableUnavailable("list", err)
		}
		for _, row := range rows {
			if status, ok := decodeStatus(row); ok {
				list = append(list, status)
			}
		}
		if len(rows) < scanPageRows {
			return http.StatusOK, list, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// decodeStatus decodes a job row, whose key is jobs/SHARD/ID. It reports false if
// the row cannot be decoded.
func decodeStatus(row platform.Row) (JobStatus, bool) {
	j, err := task.DecodeJob(row.Value)
	if err != nil {
		return JobStatus{}, false
	}
	shard := strings.TrimSuffix(strings.TrimPrefix(row.Key, "jobs/"), "/"+string(j.Job.ID))
	return JobStatus{
		ID: j.Job.ID, Kind: j.Job.Kind, Shard: types.ShardID(shard), Tasks: j.Job.Tasks,
		Finished: j.Finished, Cancel: j.Cancel, Done: j.Done, Failed: j.Failed, Cancelled: j.Cancelled,
	}, true
}

func (e *Entry) getJob(r *http.Request) (int, any, error) {
	status, err := e.jobStatus(r.Context(), types.JobID(r.PathValue("id")))
	return http.StatusOK, status, err
}

func (e *Entry) jobStatus(ctx context.Context, id types.JobID) (*JobStatus, error) {
	row, _, err := e.jobRow(ctx, id)
	if err != nil {
		return nil, err
	}
	status, ok := decodeStatus(row)
	if !ok {
		return nil, apperr.New(apperr.KindInternal, "job "+string(id), "its row cannot be read", "repair or delete the row "+row.Key)
	}
	rows, err := e.opts.Table.Scan(ctx, task.Prefix(status.Shard)+string(id)+"/", "", scanPageRows)
	if err != nil {
		return nil, errTableUnavailable(id, err)
	}
	for _, r := range rows {
		if t, err := task.Decode(r.Value); err == nil {
			status.States = append(status.States, TaskStatus{Task: t.Task, State: t.State, Attempt: t.Attempt, VM: t.VM, Reason: t.Reason})
		}
	}
	return &status, nil
}

// maxMovedReads bounds the attempts to find the row of a job that moves to
// another shard between the reads of its index row and its row.
const maxMovedReads = 3

// jobRow reads a job's row, whose shard it finds in the index.
func (e *Entry) jobRow(ctx context.Context, id types.JobID) (platform.Row, types.ShardID, error) {
	for range maxMovedReads {
		rows, err := e.opts.Table.Get(ctx, task.IndexKey(id))
		if err != nil {
			return platform.Row{}, "", errTableUnavailable(id, err)
		}
		if rows[0].Revision == 0 {
			return platform.Row{}, "", apperr.New(apperr.KindNotFound, "job "+string(id), "does not exist", "list jobs with `boragecrank jobs`")
		}
		shard := types.ShardID(rows[0].Value)
		rows, err = e.opts.Table.Get(ctx, task.JobKey(shard, id))
		if err != nil {
			return platform.Row{}, "", errTableUnavailable(id, err)
		}
		if rows[0].Revision != 0 {
			return rows[0], shard, nil
		}
	}
	return platform.Row{}, "", apperr.New(apperr.KindNotFound, "job "+string(id), "has ended and its row was deleted", "list jobs with `boragecrank jobs`")
}

// deleteJob requests the cancellation of a job by setting Cancel in its row.
func (e *Entry) deleteJob(r *http.Request) (int, any, error) {
	id := types.JobID(r.PathValue("id"))
	ctx := r.Context()
	for ctx.Err() == nil {
		row, shard, err := e.jobRow(ctx, id)
		if err != nil {
			return 0, nil, err
		}
		j, err := task.DecodeJob(row.Value)
		if err != nil {
			return 0, nil, err
		}
		if j.Finished || j.Cancel {
			e.notifyOwner(shard, row.Key)
			status, _ := decodeStatus(row)
			return http.StatusOK, status, nil
		}
		j.Cancel = true
		value, err := j.Encode()
		if err != nil {
			return 0, nil, err
		}
		_, err = e.opts.Table.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: row.Key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: row.Key, Value: value}},
		})
		// Whether the write was committed, lost a race or has an unknown outcome,
		// the next iteration reads the row again and decides by its content.
		if err != nil && !errors.Is(err, platform.ErrUncertain) {
			return 0, nil, errTableUnavailable(id, err)
		}
	}
	return 0, nil, errTableUnavailable(id, ctx.Err())
}
