package jobs

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// registrant is an agent that no owner calls, with or without a worker.
type registrant struct {
	present atomic.Bool
}

func (r *registrant) WorkerPresent() bool { return r.present.Load() }
func (r *registrant) OwnerTimedOut() bool { return true }

// Guards against a row for a VM on which nothing can run, and against an agent that
// does not register when its worker appears or after its row was deleted.
func TestAgentRegistersWithItsWorker(t *testing.T) {
	t.Parallel()
	// Time passes in the bubble only while the agent sleeps, however busy the machine is.
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		table := standin.NewTable()
		var a registrant
		ended := make(chan struct{})
		go func() {
			KeepRegistered(ctx, table, &a, Registration{VM: "vm", Address: "10.0.0.1:1"}, telemetry.Discard())
			close(ended)
		}()
		revision := func() uint64 {
			rows, err := table.Get(t.Context(), prefixAgent+"vm")
			if err != nil {
				t.Fatal(err)
			}
			return rows[0].Revision
		}
		time.Sleep(3 * workerCheckInterval)
		if revision() != 0 {
			t.Error("the agent registered without a worker")
		}
		a.present.Store(true)
		time.Sleep(4 * workerCheckInterval)
		first := revision()
		if first == 0 {
			t.Fatal("the agent did not register when its worker appeared")
		}
		time.Sleep(3 * ownerCheckInterval)
		if revision() == first {
			t.Error("the agent did not register again although no owner calls it")
		}
		cancel()
		<-ended
	})
}

// Guards against a large deployment whose first owner has too little CPU because no
// agent had registered when the candidates counted the agents. In a recorded run,
// urgent jobs then earned only 0.12 of their attainable value, and standing tasks did
// not run although there was room.
func TestAgentRegistersAtTheFirstStart(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	table := standin.NewTable()
	ended := make(chan struct{})
	go func() {
		KeepRegistered(ctx, table, &registrant{}, Registration{VM: "vm", Address: "10.0.0.1:1", FirstStart: true}, telemetry.Discard())
		close(ended)
	}()
	time.Sleep(workerCheckInterval)
	rows, err := table.Get(t.Context(), prefixAgent+"vm")
	if err != nil {
		t.Fatal(err)
	}
	if rows[0].Revision == 0 {
		t.Error("the agent did not register at the first start")
	}
	cancel()
	<-ended
}

// Guards against an odd row among those of the agents: it must not hide the others,
// and a new owner must not wait for the lease of a worker without an address.
func TestOddRowsOfAgentsAreLeftOut(t *testing.T) {
	term := &term{log: telemetry.Discard()}
	const good = `{"address":"10.0.0.1:7720","name":"a","failure_domain":"z","incarnation":"7"}`
	rows := []platform.Row{{Key: prefixAgent + "good", Value: []byte(good)}}
	for i, value := range []string{
		strings.Repeat("[", 20000) + strings.Repeat("]", 20000), strings.Replace(good, `"7"`, `"99999999999999999999999"`, 1),
		strings.Replace(good, "7720", "99999", 1), strings.Replace(good, "7720", "0", 1), strings.Replace(good, ":7720", "", 1), strings.Replace(good, "10.0.0.1", "", 1),
	} {
		rows = append(rows, platform.Row{Key: fmt.Sprintf("%s%d", prefixAgent, i), Value: []byte(value)})
	}
	if agents := term.agents(rows); len(agents) != 1 || agents["good"].Address != "10.0.0.1:7720" {
		t.Errorf("agents %v, want the good one only", agents)
	}
}
