package owner

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/node"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// recordingWorker passes on the commands that it receives.
type recordingWorker struct {
	wirepb.WorkerService
	commands chan *wirepb.CommandRequest
}

func (w *recordingWorker) Command(_ context.Context, r *wirepb.CommandRequest) (*wirepb.CommandResponse, error) {
	w.commands <- r
	return &wirepb.CommandResponse{}, nil
}

// Guards against a start that waited for an earlier call to the worker and is sent after
// the failure domain was evacuated.
func TestQueuedStartIsNotSentToEvacuatedDomain(t *testing.T) {
	t.Parallel()
	for want, evacuated := range map[string]bool{"a b": false, "b": true} {
		w := &recordingWorker{commands: make(chan *wirepb.CommandRequest, 1)}
		server := httptest.NewServer(wirepb.NewWorkerServiceServer(w))
		t.Cleanup(server.Close)
		n, err := node.New(node.Options{Name: "self", Internal: "127.51.250.6:0", Key: []byte("0123456789abcdef0123456789abcdef"), Telemetry: telemetry.Nop()})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Shutdown(context.Background()) })
		h, err := NewHost(n, Options{Shard: "s", Lease: standin.NewTable(), Table: standin.NewTable(), OnOwnerAddress: func(netip.AddrPort) {}})
		if err != nil {
			t.Fatal(err)
		}
		h.ctx = t.Context()
		err = h.state.Do(func(s *hostState) {
			s.term = &term{evacuated: evacuated}
			s.memberStates["w"] = &memberState{address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
			s.exchange("w", &link{queue: []shard.Command{{Kind: shard.CommandStart, Task: "a"}, {Kind: shard.CommandStop, Task: "b"}}})
		})
		if err != nil {
			t.Fatal(err)
		}
		select {
		case r := <-w.commands:
			var got []string
			for _, c := range r.Commands {
				got = append(got, c.Task)
			}
			if strings.Join(got, " ") != want {
				t.Errorf("evacuated %t: commands for %v, want %s", evacuated, got, want)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("evacuated %t: no command", evacuated)
		}
	}
}
