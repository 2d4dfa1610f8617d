package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 64 << 20

// CapacityRequest sets the capacity of a VM. An overload is recorded when live
// tasks reserve more.
type CapacityRequest struct {
	VM       types.VMID
	Capacity types.Resources
}

// Names of the services in FaultsRequest.
const (
	ServiceTable   = "table"
	ServiceObjects = "objects"
	ServiceRuntime = "runtime"
)

// FaultsRequest replaces the faults of one service. The zero Faults removes all
// of them.
type FaultsRequest struct {
	Service string
	Faults  Faults
}

// NewHandler returns a handler that serves the platform's table, object store
// and runtimes under the paths used by the clients of package platform, and an
// admin interface:
//
//   - GET /admin/witness returns the violations as a ViolationRecord.
//   - POST /admin/capacity takes a CapacityRequest.
//   - POST /admin/reset/{vm} drops the tasks of a VM.
//   - POST /admin/faults takes a FaultsRequest.
//   - GET /admin/faults returns the number of injected faults by service and
//     kind.
//
// If a call ends with platform.ErrUncertain, the handler closes the connection
// without a response.
func NewHandler(p *Platform) http.Handler {
	mux := http.NewServeMux()
	injectors := map[string]*Injector{
		ServiceTable:   NewInjector(p.opts.FaultSeed, nil),
		ServiceObjects: NewInjector(p.opts.FaultSeed+1, nil),
		ServiceRuntime: NewInjector(p.opts.FaultSeed+2, nil),
	}
	handleTable(mux, NewFaultyTable(p.Table, injectors[ServiceTable]))
	handleObjects(mux, NewFaultyObjects(p.Objects, injectors[ServiceObjects]))
	handleRuntime(mux, func(r *http.Request) platform.Runtime {
		return NewFaultyRuntime(p.Runtime(types.VMID(r.PathValue("vm"))), injectors[ServiceRuntime])
	})
	handleAdmin(mux, p)
	handleFaults(mux, injectors)
	return mux
}

func handleAdmin(mux *http.ServeMux, p *Platform) {
	mux.HandleFunc("GET /admin/witness", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Violations())
	})
	handle(mux, "/admin/capacity", func(_ *http.Request, in CapacityRequest) (any, error) {
		p.SetCapacity(in.VM, in.Capacity)
		return struct{}{}, nil
	})
	mux.HandleFunc("POST /admin/reset/{vm}", func(w http.ResponseWriter, r *http.Request) {
		p.Runtime(types.VMID(r.PathValue("vm"))).Reset()
		writeJSON(w, struct{}{})
	})
}

func handleFaults(mux *http.ServeMux, injectors map[string]*Injector) {
	handle(mux, "/admin/faults", func(_ *http.Request, in FaultsRequest) (any, error) {
		i, ok := injectors[in.Service]
		if !ok {
			return nil, fmt.Errorf("service %q: %w", in.Service, platform.ErrNotFound)
		}
		i.Set(in.Faults)
		return struct{}{}, nil
	})
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) {
		counts := make(map[string]map[Fault]int, len(injectors))
		for name, i := range injectors {
			counts[name] = i.Counts()
		}
		writeJSON(w, counts)
	})
}

func handleTable(mux *http.ServeMux, table platform.Table) {
	handle(mux, platform.TablePath+platform.OpCommit, func(r *http.Request, in platform.Txn) (any, error) {
		return table.Commit(r.Context(), in)
	})
	handle(mux, platform.TablePath+platform.OpGet, func(r *http.Request, in platform.GetRequest) (any, error) {
		rows, err := table.Get(r.Context(), in.Keys...)
		return platform.RowsResponse{Rows: rows}, err
	})
	handle(mux, platform.TablePath+platform.OpScan, func(r *http.Request, in platform.ScanRequest) (any, error) {
		rows, err := table.Scan(r.Context(), in.Prefix, in.After, in.Limit)
		return platform.RowsResponse{Rows: rows}, err
	})
}

func handleObjects(mux *http.ServeMux, objects platform.Objects) {
	handle(mux, platform.ObjectsPath+platform.OpPut, func(r *http.Request, in platform.ObjectRequest) (any, error) {
		return struct{}{}, objects.Put(r.Context(), in.Key, in.Data)
	})
	handle(mux, platform.ObjectsPath+platform.OpGet, func(r *http.Request, in platform.ObjectRequest) (any, error) {
		data, err := objects.Get(r.Context(), in.Key)
		return platform.ObjectResponse{Data: data}, err
	})
	handle(mux, platform.ObjectsPath+platform.OpDelete, func(r *http.Request, in platform.ObjectRequest) (any, error) {
		return struct{}{}, objects.Delete(r.Context(), in.Key)
	})
}

func handleRuntime(mux *http.ServeMux, runtimeOf func(*http.Request) platform.Runtime) {
	base := platform.RuntimePath + "{vm}/"
	handle(mux, base+platform.OpState, func(r *http.Request, _ struct{}) (any, error) {
		return runtimeOf(r).State(r.Context())
	})
	handle(mux, base+platform.OpStart, func(r *http.Request, in platform.StartSpec) (any, error) {
		return struct{}{}, runtimeOf(r).Start(r.Context(), in)
	})
	handleAttempt := func(op string, f func(context.Context, platform.Runtime, platform.AttemptRequest) error) {
		handle(mux, base+op, func(r *http.Request, in platform.AttemptRequest) (any, error) {
			return struct{}{}, f(r.Context(), runtimeOf(r), in)
		})
	}
	type req = platform.AttemptRequest
	handleAttempt(platform.OpRenew, func(ctx context.Context, rt platform.Runtime, in req) error {
		return rt.Renew(ctx, in.Task, in.Attempt, in.Lease)
	})
	handleAttempt(platform.OpSuspend, func(ctx context.Context, rt platform.Runtime, in req) error {
		return rt.Suspend(ctx, in.Task, in.Attempt)
	})
	handleAttempt(platform.OpThrottle, func(ctx context.Context, rt platform.Runtime, in req) error {
		return rt.Throttle(ctx, in.Task, in.Attempt, in.Share)
	})
	handleAttempt(platform.OpCheckpoint, func(ctx context.Context, rt platform.Runtime, in req) error {
		return rt.Checkpoint(ctx, in.Task, in.Attempt, in.Checkpoint)
	})
	handleAttempt(platform.OpStop, func(ctx context.Context, rt platform.Runtime, in req) error {
		return rt.Stop(ctx, in.Task, in.Attempt)
	})
	handleAttempt(platform.OpForget, func(ctx context.Context, rt platform.Runtime, in req) error {
		return rt.Forget(ctx, in.Task, in.Attempt)
	})
}

// handle registers f for POST requests to path with a JSON body of type T.
func handle[T any](mux *http.ServeMux, path string, f func(*http.Request, T) (any, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in T
		if err := readJSON(w, r, &in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		out, err := f(r, in)
		if errors.Is(err, platform.ErrUncertain) {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		if err != nil {
			http.Error(w, err.Error(), errorStatus(err))
			return
		}
		writeJSON(w, out)
	})
}

// readJSON reads the whole body before decoding it, because the server detects
// a disconnected client only after the body has been read.
func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// errorStatus returns the status of a response for an error. Errors without a
// kind of package platform are rejections by the service and get status 409.
func errorStatus(err error) int {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusConflict
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected. The client treats
	// the call as uncertain.
	_, _ = w.Write(data)
}
