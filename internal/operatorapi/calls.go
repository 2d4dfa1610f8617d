package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/entry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// Status is the state of the system that one entry collected from the shard
// owners.
type Status struct {
	Entry   string        `json:"entry"`
	Version types.Version `json:"version"`
	// Shards lists the shards whose owner responded, ordered by ID.
	Shards []*wirepb.ShardStatusResponse `json:"shards"`
}

// DrainStatus is the response to a drain call.
type DrainStatus struct {
	VM       types.VMID `json:"vm"`
	Draining bool       `json:"draining"`
	// RequestsInProgress is the number of requests that the worker still runs.
	RequestsInProgress int `json:"requests_in_progress"`
}

// Config returns the accepted configuration, or nil if there is none yet.
func (c *Client) Config(ctx context.Context) (*config.Config, error) {
	var raw json.RawMessage
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/config", object: "configuration"}, &raw)
	// Only an error about the configuration means that none has been accepted. A
	// not-found error about another object has another cause.
	if e := apperr.From(err); err != nil && e.Kind == apperr.KindNotFound && e.Object == "configuration" {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	cfg, err := config.Decode(raw)
	if err != nil {
		return nil, apperr.Wrap(err, apperr.KindInternal, "configuration", "the entry's response cannot be decoded",
			"use the release of boragecrank that the entries run")
	}
	return cfg, nil
}

// PutConfig sends a configuration that was derived from version base, or from
// none if base is 0. The error is of kind conflict if another version was
// accepted meanwhile.
func (c *Client) PutConfig(ctx context.Context, base types.Version, next *config.Config) (entry.ApplyResult, error) {
	var accepted entry.ApplyResult
	body, err := next.Encode()
	if err != nil {
		return accepted, err
	}
	err = c.do(ctx, call{
		method: http.MethodPut, path: "/v1/config", ifMatch: strconv.FormatUint(uint64(base), 10), body: body,
		object: "configuration", retryAdvice: "run `boragecrank apply` again; it prints \"no change\" if the version was accepted",
	}, &accepted)
	return accepted, err
}

// Status returns the shards whose owner responded, with their members and tasks.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/status", object: "status"}, &s)
	return s, err
}

// Processes returns every known process with the configuration version in effect
// there, ordered by name.
func (c *Client) Processes(ctx context.Context) ([]entry.Process, error) {
	var list []entry.Process
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/processes", object: "processes"}, &list)
	return list, err
}

// Submit submits a job of the given kind. If the ID exists, it returns the
// existing job unchanged, even if that has another kind.
func (c *Client) Submit(ctx context.Context, id types.JobID, kind string) (entry.JobStatus, error) {
	var status entry.JobStatus
	body, err := json.Marshal(entry.Submission{ID: id, Kind: kind})
	if err != nil {
		return status, err
	}
	err = c.do(ctx, call{
		method: http.MethodPost, path: "/v1/jobs", body: body, object: jobObject(id),
		retryAdvice: "submit it again with the same ID; it runs once",
	}, &status)
	return status, err
}

// Job returns the state of a job and its tasks.
func (c *Client) Job(ctx context.Context, id types.JobID) (entry.JobStatus, error) {
	var status entry.JobStatus
	err := c.do(ctx, call{method: http.MethodGet, path: jobPath(id), object: jobObject(id)}, &status)
	return status, err
}

// Jobs returns all jobs, without their tasks.
func (c *Client) Jobs(ctx context.Context) ([]entry.JobStatus, error) {
	var list []entry.JobStatus
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs", object: "jobs"}, &list)
	return list, err
}

// Cancel requests the cancellation of a job. Cancelling again has no effect.
func (c *Client) Cancel(ctx context.Context, id types.JobID) (entry.JobStatus, error) {
	var status entry.JobStatus
	err := c.do(ctx, call{
		method: http.MethodDelete, path: jobPath(id), object: jobObject(id),
		retryAdvice: "cancel it again; that has no further effect",
	}, &status)
	return status, err
}

// Drain makes the worker of a VM refuse new work. Draining again has no effect
// but returns the current number of requests in progress.
func (c *Client) Drain(ctx context.Context, vm types.VMID) (DrainStatus, error) {
	var d DrainStatus
	err := c.do(ctx, call{
		method: http.MethodPost, path: "/v1/vms/" + url.PathEscape(string(vm)) + "/drain", object: "VM " + string(vm),
		retryAdvice: "drain it again; that has no further effect",
	}, &d)
	return d, err
}

func jobObject(id types.JobID) string { return "job " + string(id) }

func jobPath(id types.JobID) string { return "/v1/jobs/" + url.PathEscape(string(id)) }
