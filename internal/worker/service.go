package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// workerService serves wirepb.WorkerService.
type workerService struct {
	w *Worker
}

// Seal implements wirepb.WorkerService.
func (s workerService) Seal(_ context.Context, r *wirepb.SealRequest) (*wirepb.SealResponse, error) {
	var id types.RequestID
	if len(r.GetRequestId()) != len(id) {
		return nil, twirp.InvalidArgumentError("request_id", "must have 16 bytes")
	}
	copy(id[:], r.GetRequestId())
	var result admission.SealResult
	err := s.w.state.Do(func(st *state) {
		result = st.requests.Seal(s.w.node.Clock(), admission.SealRequest{
			ID:         id,
			Target:     types.Incarnation(r.GetIncarnation()),
			ValidUntil: time.Duration(r.GetValidUntilNs()),
		})
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &wirepb.SealResponse{
		State:       string(result.State),
		Outcome:     string(result.Outcome),
		Response:    result.Response,
		Incarnation: uint64(s.w.node.Incarnation),
	}, nil
}

// Command implements wirepb.WorkerService.
func (s workerService) Command(ctx context.Context, r *wirepb.CommandRequest) (*wirepb.CommandResponse, error) {
	return s.w.tasks.handleCommands(ctx, r)
}

// Tasks implements wirepb.WorkerService.
func (s workerService) Tasks(ctx context.Context, _ *wirepb.TasksRequest) (*wirepb.TasksResponse, error) {
	return s.w.tasks.taskReports(ctx)
}

// Drain implements wirepb.WorkerService.
func (s workerService) Drain(_ context.Context, r *wirepb.DrainRequest) (*wirepb.DrainResponse, error) {
	if types.Incarnation(r.GetIncarnation()) != s.w.node.Incarnation {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the worker's incarnation has changed; read the status again")
	}
	if !r.GetDraining() {
		return nil, twirp.NewError(twirp.FailedPrecondition, "a draining worker takes new work only after a restart; restart it")
	}
	s.w.Drain()
	return &wirepb.DrainResponse{
		Incarnation:        uint64(s.w.node.Incarnation),
		RequestsInProgress: int32(s.w.inFlight.Load()),
	}, nil
}

// StoredResponse is the JSON form of a response that is stored for later seal
// calls.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// encodeResponse encodes a response, or returns nil if it cannot be encoded.
func encodeResponse(r *response) []byte {
	b, err := json.Marshal(StoredResponse{Status: r.status, Header: r.header, Body: r.body})
	if err != nil {
		return nil
	}
	return b
}
