package agentapi

import (
	"context"
	"net/http"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// Client calls the agent on one VM.
type Client struct {
	vm  types.VMID
	rpc wirepb.AgentService
	// version and agent are the version and the incarnation of the last report.
	version, agent uint64
}

// NewClient returns a client of the agent of vm at an address (host:port).
func NewClient(vm types.VMID, address string, client *http.Client) *Client {
	return &Client{vm: vm, rpc: wirepb.NewAgentServiceProtobufClient("http://"+address, client)}
}

// Watch passes the grant on to the agent, waits until the agent's report differs from
// the last one, and returns the report. The argument wait is how long the worker may
// wait for the end of a run; the call takes up to twice as long. Watch must not be
// called concurrently.
func (c *Client) Watch(ctx context.Context, g workflow.Grant, wait time.Duration) (workflow.Report, error) {
	resp, err := c.rpc.Watch(ctx, &wirepb.WatchRequest{
		Grant: grantToWire(g), KnownVersion: c.version, KnownAgent: c.agent, WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		return workflow.Report{}, err
	}
	c.version, c.agent = resp.GetVersion(), resp.GetAgent()
	return reportFromWire(c.vm, resp), nil
}

// Carry sends orders, all for the same boot, to the agent. It returns the agent's
// incarnation and one result for each order. With an error all results are
// workflow.ResultUnknown.
func (c *Client) Carry(ctx context.Context, epoch types.Epoch, orders []workflow.Order) (types.Incarnation, []workflow.OrderResult, error) {
	results := make([]workflow.OrderResult, len(orders))
	req := &wirepb.CarryRequest{Epoch: uint64(epoch)}
	for i := range orders {
		results[i].Order = orders[i]
		req.Boot = bootToWire(orders[i].Boot)
		req.Orders = append(req.Orders, orderToWire(&orders[i]))
	}
	resp, err := c.rpc.Carry(ctx, req)
	if err != nil {
		return 0, results, err
	}
	for i, r := range resp.GetResults() {
		if i < len(results) {
			results[i].Result = workflow.Result(r.GetResult()) //nolint:gosec // unknown values count as unknown
			results[i].Seq = r.GetSeq()
		}
	}
	return types.Incarnation(resp.GetAgent()), results, nil
}
