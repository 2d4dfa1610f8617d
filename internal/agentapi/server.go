package agentapi

import (
	"context"
	"net/http"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// Agent implements the calls of an agent's server.
type Agent interface {
	// Watch accepts the grant, waits until the version of the report differs from
	// known, and returns the report with its version. The argument wait is how long
	// the worker may wait for the end of a run; the call takes up to twice as long.
	// Watch ignores known unless agent is its own incarnation.
	Watch(ctx context.Context, g workflow.Grant, known uint64, agent types.Incarnation, wait time.Duration) (workflow.Report, uint64)
	// Carry executes orders and returns one result for each.
	Carry(ctx context.Context, epoch types.Epoch, orders []workflow.Order) []workflow.OrderResult
	// Incarnation identifies the process of the agent.
	Incarnation() types.Incarnation
}

// maxWait bounds the wait that the caller of Watch may ask for. A call takes up to
// twice as long.
const maxWait = 5 * time.Second

// NewHandler returns the HTTP handler of an agent's RPC calls.
func NewHandler(a Agent) http.Handler {
	return wirepb.NewAgentServiceServer(&server{agent: a})
}

type server struct {
	agent Agent
}

// Watch implements wirepb.AgentService.
func (s *server) Watch(ctx context.Context, r *wirepb.WatchRequest) (*wirepb.WatchResponse, error) {
	wait := min(millis(r.GetWaitMs()), maxWait)
	report, version := s.agent.Watch(ctx, grantFromWire(r.GetGrant()), r.GetKnownVersion(), types.Incarnation(r.GetKnownAgent()), wait)
	return reportToWire(&report, version), nil
}

// Carry implements wirepb.AgentService.
func (s *server) Carry(ctx context.Context, r *wirepb.CarryRequest) (*wirepb.CarryResponse, error) {
	orders := make([]workflow.Order, len(r.GetOrders()))
	for i, o := range r.GetOrders() {
		orders[i] = orderFromWire(bootFromWire(r.GetBoot()), o)
	}
	results := s.agent.Carry(ctx, types.Epoch(r.GetEpoch()), orders)
	resp := &wirepb.CarryResponse{Agent: uint64(s.agent.Incarnation())}
	for _, res := range results {
		resp.Results = append(resp.Results, &wirepb.OrderResult{Result: uint32(res.Result), Seq: res.Seq})
	}
	return resp, nil
}
