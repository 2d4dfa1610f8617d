package platform

import (
	"context"
	"net/http"
	"net/url"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Paths of the platform's HTTP services under its base URL. Every call is a
// POST with a JSON body to the path followed by the name of the operation.
const (
	TablePath   = "/table/"
	ObjectsPath = "/objects/"
	RuntimePath = "/runtime/"
)

// Names of the operations.
const (
	OpCommit     = "commit"
	OpGet        = "get"
	OpScan       = "scan"
	OpPut        = "put"
	OpDelete     = "delete"
	OpState      = "state"
	OpStart      = "start"
	OpRenew      = "renew"
	OpSuspend    = "suspend"
	OpThrottle   = "throttle"
	OpCheckpoint = "checkpoint"
	OpStop       = "stop"
	OpForget     = "forget"
)

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string
}

// ScanRequest asks for rows in key order.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// RowsResponse answers GetRequest and ScanRequest.
type RowsResponse struct {
	Rows []Row
}

// ObjectRequest names an object. Data is used only by OpPut.
type ObjectRequest struct {
	Key  string
	Data []byte
}

// ObjectResponse answers OpGet on the object store.
type ObjectResponse struct {
	Data []byte
}

// AttemptRequest identifies one attempt in a runtime. Lease is used by OpRenew, Share
// (0 to 1) by OpThrottle, and Checkpoint, the name of the object, by OpCheckpoint.
type AttemptRequest struct {
	Task       types.TaskID
	Attempt    types.Attempt
	Lease      RuntimeLease
	Share      float64
	Checkpoint string
}

// HTTPTable is a client of a Table over HTTP.
type HTTPTable struct {
	e endpoint
}

var _ Table = (*HTTPTable)(nil)

// NewHTTPTable returns a client of the table at the platform's base URL. A nil
// client means http.DefaultClient. The client's timeout, if any, bounds every
// call.
func NewHTTPTable(baseURL string, client *http.Client) *HTTPTable {
	return &HTTPTable{newEndpoint(baseURL, TablePath, client)}
}

// Commit sends the transaction once.
func (t *HTTPTable) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	var res TxnResult
	if err := t.e.write(ctx, OpCommit, txn, &res); err != nil {
		return TxnResult{}, err
	}
	return res, nil
}

// Get returns one row for each key, in the order of the keys.
func (t *HTTPTable) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var res RowsResponse
	err := t.e.read(ctx, OpGet, GetRequest{Keys: keys}, &res)
	return res.Rows, err
}

// Scan returns up to limit rows in key order whose keys have the prefix and are
// greater than after.
func (t *HTTPTable) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var res RowsResponse
	err := t.e.read(ctx, OpScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &res)
	return res.Rows, err
}

// HTTPObjects is a client of an object store over HTTP.
type HTTPObjects struct {
	e endpoint
}

var _ Objects = (*HTTPObjects)(nil)

// NewHTTPObjects returns a client of the object store at the base URL.
func NewHTTPObjects(baseURL string, client *http.Client) *HTTPObjects {
	return &HTTPObjects{newEndpoint(baseURL, ObjectsPath, client)}
}

// Put stores the object.
func (o *HTTPObjects) Put(ctx context.Context, key string, data []byte) error {
	return o.e.write(ctx, OpPut, ObjectRequest{Key: key, Data: data}, nil)
}

// Get returns the object or ErrNotFound.
func (o *HTTPObjects) Get(ctx context.Context, key string) ([]byte, error) {
	var res ObjectResponse
	err := o.e.read(ctx, OpGet, ObjectRequest{Key: key}, &res)
	return res.Data, err
}

// Delete removes the object.
func (o *HTTPObjects) Delete(ctx context.Context, key string) error {
	return o.e.write(ctx, OpDelete, ObjectRequest{Key: key}, nil)
}

// HTTPRuntime is a client of the task runtime of one VM over HTTP.
type HTTPRuntime struct {
	e endpoint
}

var _ Runtime = (*HTTPRuntime)(nil)

// NewHTTPRuntime returns a client of the VM's runtime at the base URL.
func NewHTTPRuntime(baseURL string, vm types.VMID, client *http.Client) *HTTPRuntime {
	return &HTTPRuntime{newEndpoint(baseURL, RuntimePath+url.PathEscape(string(vm))+"/", client)}
}

// State returns the runtime's clock and tasks.
func (r *HTTPRuntime) State(ctx context.Context) (RuntimeState, error) {
	var st RuntimeState
	err := r.e.read(ctx, OpState, struct{}{}, &st)
	return st, err
}

// Start begins an attempt.
func (r *HTTPRuntime) Start(ctx context.Context, spec StartSpec) error {
	return r.e.write(ctx, OpStart, spec, nil)
}

// Renew extends the lease of an attempt.
func (r *HTTPRuntime) Renew(ctx context.Context, task types.TaskID, attempt types.Attempt, lease RuntimeLease) error {
	return r.e.write(ctx, OpRenew, AttemptRequest{Task: task, Attempt: attempt, Lease: lease}, nil)
}

// Suspend suspends an attempt in place.
func (r *HTTPRuntime) Suspend(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.e.write(ctx, OpSuspend, AttemptRequest{Task: task, Attempt: attempt}, nil)
}

// Throttle sets the share of its reservation that an attempt may use.
func (r *HTTPRuntime) Throttle(ctx context.Context, task types.TaskID, attempt types.Attempt, share float64) error {
	return r.e.write(ctx, OpThrottle, AttemptRequest{Task: task, Attempt: attempt, Share: share}, nil)
}

// Checkpoint writes the state of an attempt to the named object.
func (r *HTTPRuntime) Checkpoint(ctx context.Context, task types.TaskID, attempt types.Attempt, object string) error {
	return r.e.write(ctx, OpCheckpoint, AttemptRequest{Task: task, Attempt: attempt, Checkpoint: object}, nil)
}

// Stop ends an attempt.
func (r *HTTPRuntime) Stop(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.e.write(ctx, OpStop, AttemptRequest{Task: task, Attempt: attempt}, nil)
}

// Forget removes a finished attempt from the runtime's state.
func (r *HTTPRuntime) Forget(ctx context.Context, task types.TaskID, attempt types.Attempt) error {
	return r.e.write(ctx, OpForget, AttemptRequest{Task: task, Attempt: attempt}, nil)
}
