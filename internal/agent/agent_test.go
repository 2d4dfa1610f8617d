package agent

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// scriptedWorker answers calls with functions.
type scriptedWorker struct {
	hold    func(HoldRequest) (RunLists, error)
	execute func(workflow.Fence, *workflow.Order) workflow.Result
}

func (s *scriptedWorker) Hold(_ context.Context, r HoldRequest) (RunLists, error) { return s.hold(r) }

func (s *scriptedWorker) Execute(_ context.Context, f workflow.Fence, o *workflow.Order) (workflow.Result, error) {
	return s.execute(f, o), nil
}

func newAgent(r WorkerClient) *Agent {
	return New(Options{VM: "vm", Incarnation: 7, WorkerClient: r, Telemetry: telemetry.Nop()})
}

func announcement(born int64, sequence uint64) Announcement {
	return Announcement{Upstream: workflow.Upstream{Boot: workflow.Boot{ID: "i", Born: born}, Service: "s"}, Sequence: sequence}
}

// watchOnce makes a Watch call that does not wait and returns the report.
func watchOnce(a *Agent, epoch types.Epoch) workflow.Report {
	r, _ := a.Watch(context.Background(), workflow.Grant{Fence: workflow.FirstFence(epoch)}, 0, 7, 0)
	return r
}

// Guards against accepting a delayed announcement that arrives after one of a later
// boot, or after a newer one of the same boot.
func TestLateAnnouncements(t *testing.T) {
	a := newAgent(nil)
	for _, c := range []struct {
		born     int64
		sequence uint64
		want     bool
	}{{5, 1, true}, {5, 3, true}, {5, 2, false}, {9, 1, true}, {5, 4, false}, {9, 2, true}} {
		if got := a.Announce(announcement(c.born, c.sequence)); got != c.want {
			t.Errorf("boot %d, sequence %d: accepted %v, want %v", c.born, c.sequence, got, c.want)
		}
	}
}

// Guards against a worker that counts as gone after a single refused connection, and
// against one that does not after two.
func TestGoneAfterTwoRefusals(t *testing.T) {
	err := error(nil)
	a := newAgent(&scriptedWorker{hold: func(HoldRequest) (RunLists, error) { return RunLists{Born: 3}, err }})
	watchOnce(a, 1)
	a.hold(t.Context())
	if r := watchOnce(a, 1); r.Gone || r.Boot.Born != 3 {
		t.Fatalf("report of a worker that answers: %+v", r)
	}
	err = ErrNotListening
	a.hold(t.Context())
	if watchOnce(a, 1).Gone {
		t.Error("gone after one refused connection")
	}
	a.hold(t.Context())
	if !watchOnce(a, 1).Gone {
		t.Error("not gone after two refused connections")
	}
}

// Guards against a worker that restarts under the same ID and accepts orders for its
// previous boot: the fence must rise before any order is passed on.
func TestFenceRisesWithTheBoot(t *testing.T) {
	born := int64(3)
	var fence workflow.Fence
	a := newAgent(&scriptedWorker{
		hold: func(r HoldRequest) (RunLists, error) {
			fence = max(fence, r.Fence)
			return RunLists{Born: born}, nil
		},
		execute: func(f workflow.Fence, _ *workflow.Order) workflow.Result {
			if f < fence {
				return workflow.ResultFenced
			}
			return workflow.ResultDone
		},
	})
	watchOnce(a, 2)
	a.hold(t.Context())
	first := fence
	order := workflow.Order{Kind: workflow.OrderStart, Boot: workflow.Boot{Born: 3}}
	if r := a.Carry(t.Context(), 2, []workflow.Order{order}); r[0].Result != workflow.ResultDone {
		t.Errorf("order for the current boot: %s", r[0].Result)
	}
	born = 4
	a.hold(t.Context())
	if r := a.Carry(t.Context(), 2, []workflow.Order{{Kind: workflow.OrderStart, Boot: workflow.Boot{Born: 4}}}); r[0].Result != workflow.ResultRefused {
		t.Errorf("order before the fence is raised: %s, want refused", r[0].Result)
	}
	a.hold(t.Context())
	if fence <= first || fence.Epoch() != 2 {
		t.Errorf("fence %d after a restart, %d before", fence, first)
	}
	if r := a.Carry(t.Context(), 2, []workflow.Order{order}); r[0].Result != workflow.ResultRefused {
		t.Errorf("order for the previous boot: %s, want refused", r[0].Result)
	}
}

// Guards against accepting orders or leases from an older owner.
func TestOlderOwnerIsRefused(t *testing.T) {
	var deadline time.Duration
	a := newAgent(&scriptedWorker{hold: func(r HoldRequest) (RunLists, error) {
		deadline = max(deadline, r.LeaseEnd)
		return RunLists{Born: 3}, nil
	}})
	watchOnce(a, 5)
	a.hold(t.Context())
	boot := workflow.Boot{Born: 3}
	a.Watch(t.Context(), workflow.Grant{Fence: workflow.FirstFence(4), Boot: boot, LeaseEnd: time.Hour}, 0, 7, 0)
	a.hold(t.Context())
	if deadline != 0 {
		t.Errorf("a lease of %v was granted by an older owner", deadline)
	}
	if r := a.Carry(t.Context(), 4, []workflow.Order{{Kind: workflow.OrderStop, Boot: boot}}); r[0].Result != workflow.ResultFenced {
		t.Errorf("order of an older owner: %s, want fenced", r[0].Result)
	}
}

// Guards against starting tasks on a worker that has announced that it leaves.
func TestDrainingWorkerStartsNothing(t *testing.T) {
	a := newAgent(&scriptedWorker{
		hold:    func(HoldRequest) (RunLists, error) { return RunLists{Born: 3}, nil },
		execute: func(workflow.Fence, *workflow.Order) workflow.Result { return workflow.ResultDone },
	})
	watchOnce(a, 1)
	a.hold(t.Context())
	n := announcement(3, 1)
	n.Draining = true
	a.Announce(n)
	boot := workflow.Boot{Born: 3}
	r := a.Carry(t.Context(), 1, []workflow.Order{{Kind: workflow.OrderStart, Boot: boot}, {Kind: workflow.OrderStop, Boot: boot}})
	if r[0].Result != workflow.ResultRefused || r[1].Result != workflow.ResultDone {
		t.Errorf("start %s and stop %s on a draining worker, want refused and done", r[0].Result, r[1].Result)
	}
}

// Guards against an order that is delayed between the agent's check and the call to
// the worker, for example by a pause of the process, and is then carried out under
// the fence of a newer owner: an order must keep the fence that it was checked
// against.
func TestOrderDelayedPastTakeoverIsRefused(t *testing.T) {
	var fence atomic.Uint64
	resume := make(chan struct{})
	entered := make(chan struct{}, maxParallelOrders)
	a := newAgent(&scriptedWorker{
		hold: func(r HoldRequest) (RunLists, error) {
			fence.Store(max(fence.Load(), uint64(r.Fence)))
			return RunLists{Born: 3}, nil
		},
		execute: func(f workflow.Fence, _ *workflow.Order) workflow.Result {
			entered <- struct{}{}
			<-resume
			if uint64(f) < fence.Load() {
				return workflow.ResultFenced
			}
			return workflow.ResultDone
		},
	})
	watchOnce(a, 1)
	a.hold(t.Context())
	order := workflow.Order{Kind: workflow.OrderStart, Boot: workflow.Boot{Born: 3}}
	results := make(chan []workflow.OrderResult)
	go func() { // one more than may run in parallel: the last one waits after its check
		results <- a.Carry(t.Context(), 1, slices.Repeat([]workflow.Order{order}, maxParallelOrders+1))
	}()
	for range maxParallelOrders {
		<-entered
	}
	watchOnce(a, 2)
	a.hold(t.Context())
	close(resume)
	for i, r := range <-results {
		if r.Result != workflow.ResultFenced {
			t.Errorf("order %d of the earlier owner: %s, want fenced", i, r.Result)
		}
	}
}

// Guards against a stop that waits for the owner's long poll: with 195 VMs or more the
// poll takes longer than the 1 s that an agent may take to stop.
func TestStopEndsWaitingWatch(t *testing.T) {
	t.Parallel()
	a := newAgent(&scriptedWorker{hold: func(HoldRequest) (RunLists, error) { return RunLists{}, ErrNotListening }})
	ctx, stop := context.WithCancel(t.Context())
	ran := make(chan struct{})
	go func() {
		a.Run(ctx)
		close(ran)
	}()
	_, version := a.Watch(t.Context(), workflow.Grant{}, 0, 7, 0)
	answered := make(chan time.Duration, 1)
	begin := time.Now()
	go func() {
		a.Watch(t.Context(), workflow.Grant{}, version, 7, 5*time.Second)
		answered <- time.Since(begin)
	}()
	time.Sleep(50 * time.Millisecond)
	stop()
	<-ran
	if took := <-answered; took > time.Second {
		t.Errorf("a Watch call to a stopping agent was answered after %v", took)
	}
}

// Guards against an agent that registers without a worker, and against one that does
// not register when a worker appears. After a power loss the agents of VMs whose
// workers had left registered again, and the next owner waited for the leases of 23
// VMs that no longer existed.
func TestWorkerPresent(t *testing.T) {
	err := error(nil)
	born := int64(3)
	a := newAgent(&scriptedWorker{hold: func(HoldRequest) (RunLists, error) { return RunLists{Born: born}, err }})
	check := func(when string, want bool) {
		t.Helper()
		if got := a.WorkerPresent(); got != want {
			t.Errorf("%s: present %v, want %v", when, got, want)
		}
	}
	check("before an announcement", false)
	a.Announce(announcement(3, 1))
	check("announced", true)
	watchOnce(a, 1)
	a.hold(t.Context())
	a.Leave("i")
	check("about to end", false)
	err = ErrNotListening
	a.hold(t.Context())
	a.hold(t.Context())
	check("ended", false)
	born, err = 9, nil
	a.Announce(announcement(9, 1))
	a.hold(t.Context())
	check("started again", true)
	err = ErrNotListening
	a.hold(t.Context())
	a.hold(t.Context())
	check("crashed", false)
}
