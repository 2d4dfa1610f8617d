package agent

import (
	"errors"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/workflow"
)

// Guards against an owner that gives up the ownership because a new boot of a worker
// refuses an order for the previous boot: the order had been checked before the agent
// knew the new boot.
func TestOrderForAnEarlierBootIsNotASupersededOwner(t *testing.T) {
	born := int64(3)
	var a *Agent
	a = newAgent(&scriptedWorker{
		hold: func(HoldRequest) (RunLists, error) { return RunLists{Born: born}, nil },
		execute: func(workflow.Fence, *workflow.Order) workflow.Result {
			born = 4
			a.hold(t.Context()) // the agent notices the boot while the order is under way
			a.hold(t.Context())
			return workflow.ResultFenced
		},
	})
	watchOnce(a, 2)
	a.hold(t.Context())
	order := workflow.Order{Kind: workflow.OrderStart, Boot: workflow.Boot{Born: 3}}
	if r := a.Carry(t.Context(), 2, []workflow.Order{order}); r[0].Result != workflow.ResultWrongBoot {
		t.Errorf("order refused by a new boot: %s, want wrong-boot", r[0].Result)
	}
}

// Guards against a new boot that takes the lease and the acknowledgement of the
// previous one for its own. A worker that restarts breaks the call in progress.
func TestCallAfterAFailedOneNamesNoLease(t *testing.T) {
	var last HoldRequest
	err := error(nil)
	a := newAgent(&scriptedWorker{hold: func(r HoldRequest) (RunLists, error) {
		last = r
		return RunLists{Born: 3, Clock: time.Second, Ended: []workflow.End{{Number: 5}}}, err
	}})
	grant := workflow.Grant{Fence: workflow.FirstFence(2), Boot: workflow.Boot{Born: 3}, LeaseEnd: time.Minute, Acknowledged: 5}
	watchOnce(a, 2)
	a.hold(t.Context())
	a.Watch(t.Context(), grant, 0, 7, 0)
	a.hold(t.Context())
	if last.LeaseEnd != time.Minute || last.Acknowledged != 5 {
		t.Fatalf("call to a known boot: %+v, want the lease and the acknowledgement", last)
	}
	err = errors.New("connection reset")
	a.hold(t.Context())
	err = nil
	a.hold(t.Context())
	if last.LeaseEnd != 0 || last.Acknowledged != 0 || last.Wait != 0 {
		t.Errorf("first call after a failed one: %+v, want no lease, acknowledgement or wait", last)
	}
	a.hold(t.Context())
	if last.LeaseEnd != time.Minute || last.Acknowledged != 5 {
		t.Errorf("second call after a failed one: %+v, want the lease and the acknowledgement", last)
	}
}

// Guards against a worker that never counts as present again: a leave message names
// only the ID, and one of an earlier boot arrived after the next boot with that ID had
// announced itself.
func TestLateLeaveOfAnEarlierBoot(t *testing.T) {
	a := newAgent(nil)
	a.Announce(announcement(5, 1))
	a.Leave("i")
	if a.WorkerPresent() {
		t.Error("present after its leave message")
	}
	a.Announce(announcement(5, 2))
	if !a.WorkerPresent() {
		t.Error("not present although the boot has announced that it is ready since")
	}
}

// Guards against a worker that stays unusable: an announcement with a mistaken start
// time came from another writer, and all later ones of the worker were older.
func TestMistakenStartTimeDoesNotKeepOutTheWorker(t *testing.T) {
	a := newAgent(&scriptedWorker{hold: func(HoldRequest) (RunLists, error) { return RunLists{Born: 5}, nil }})
	watchOnce(a, 1)
	a.Announce(announcement(5, 1))
	a.hold(t.Context())
	a.Announce(announcement(1<<41, 1))
	if a.Announce(announcement(5, 2)) {
		t.Error("an older boot was accepted before a call showed that the later one does not answer")
	}
	a.hold(t.Context())
	if !a.Announce(announcement(5, 3)) || watchOnce(a, 1).Upstream == nil {
		t.Error("the boot that answers calls is not accepted")
	}
}

// Guards against an agent that goes on calling an earlier boot: after a call that was
// not sent because another boot listens, the next one asks any boot, without lease and
// acknowledgement, and does not report the worker as gone before it has the lists.
func TestCallAfterARestartAsksAnyBoot(t *testing.T) {
	var last HoldRequest
	err := error(nil)
	lists := RunLists{Born: 3, Ended: []workflow.End{{Number: 5}}}
	a := newAgent(&scriptedWorker{hold: func(r HoldRequest) (RunLists, error) {
		last = r
		return lists, err
	}})
	a.Watch(t.Context(), workflow.Grant{Fence: workflow.FirstFence(2), Boot: workflow.Boot{Born: 3}, LeaseEnd: time.Minute, Acknowledged: 5}, 0, 7, 0)
	a.hold(t.Context())
	a.hold(t.Context())
	if last.Boot.Born != 3 || last.LeaseEnd == 0 {
		t.Fatalf("call to a known boot: %+v, want its start time and the lease", last)
	}
	err = ErrRestarted
	if pause := a.hold(t.Context()); pause > unacknowledgedInterval || watchOnce(a, 2).Gone {
		t.Errorf("pause of %v after a restart, gone: %t", pause, watchOnce(a, 2).Gone)
	}
	err, lists = nil, RunLists{Born: 4}
	a.hold(t.Context())
	if last.Boot.Born != 0 || last.LeaseEnd != 0 || last.Acknowledged != 0 || last.Wait != 0 {
		t.Errorf("first call after a restart: %+v, want no start time, lease, acknowledgement or wait", last)
	}
	a.hold(t.Context())
	if last.Boot.Born != 4 {
		t.Errorf("second call after a restart: %+v, want the start time of the new boot", last)
	}
}
