package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// peerNet connects the candidates at a table. It implements PeerClient.
type peerNet struct {
	mu         sync.Mutex
	candidates []*Candidate
	yields     []handover.Yield
	// deliver is called for each yield, and decides whether it and its answer arrive; nil
	// means that both do.
	deliver func(y handover.Yield) (yield, answer bool)
}

func (n *peerNet) add(c *Candidate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.candidates = append(n.candidates, c)
}

func (n *peerNet) peers(self types.VMID) []handover.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []handover.Peer
	for _, c := range n.candidates {
		if vm := c.opts.VM; vm != self {
			out = append(out, handover.Peer{VM: vm, Address: string(vm), Cores: c.opts.Cores})
		}
	}
	return out
}

func (n *peerNet) candidate(address string) *Candidate {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.candidates {
		if string(c.opts.VM) == address {
			return c
		}
	}
	return nil
}

func (n *peerNet) ReadLease(ctx context.Context, address string) (handover.LeaseRead, error) {
	return n.candidate(address).ReadLease(ctx)
}

func (n *peerNet) Yield(_ context.Context, address string, y handover.Yield) (bool, error) {
	n.mu.Lock()
	n.yields = append(n.yields, y)
	deliver := n.deliver
	n.mu.Unlock()
	yield, answer := true, true
	if deliver != nil {
		yield, answer = deliver(y)
	}
	if !yield {
		return false, errors.New("lost")
	}
	accepted := n.candidate(address).AcceptYield(y)
	if !answer {
		return false, errors.New("lost")
	}
	return accepted, nil
}

// startThree starts the owner a, and the candidates b, which is larger, and c.
func startThree(t *testing.T) (*memoryTable, map[string]*handoverEntry) {
	m := newMemoryTable()
	entries := map[string]*handoverEntry{"a": startEntry(t, m, "a", 1, time.Millisecond)}
	entries["a"].await(t, 542)
	entries["b"] = startEntry(t, m, "bb", 1, time.Millisecond)
	entries["c"] = startEntry(t, m, "ccc", 0.2, time.Millisecond)
	time.Sleep(leaseRenewalInterval) // all have read the lease
	return m, entries
}

// Guards against a deployment that waits for the lease to expire (2.3 s after the last
// renewal, and a poll) when the table does not serve the owner alone; against a former
// owner that acts on after it; and against a takeover by an old yield.
func TestTableDoesNotServeTheOwner(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault int32
		// deliver decides about yields.
		deliver func(handover.Yield) (bool, bool)
		limit   time.Duration
	}{
		{"refused", faultRefused, nil, 1400 * time.Millisecond},
		{"silence", faultSilent, nil, 2 * time.Second},
		{"the answer to the yield is lost", faultRefused, func(handover.Yield) (bool, bool) { return true, false }, 1400 * time.Millisecond},
		{"the yields are lost", faultRefused, func(handover.Yield) (bool, bool) { return false, false }, 3500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bestOf(t, func(t *testing.T) error {
				m, entries := startThree(t)
				m.net.deliver = c.deliver
				begin := time.Now()
				entries["a"].table.fault.Store(c.fault)
				taken := awaitAny(t, 540, begin, entries)
				took := taken.Time.Sub(begin)
				t.Logf("taken over after %v", took)
				entries["a"].table.fault.Store(0)
				entries["a"].await(t, 541)
				if entries["b"].event(540, time.Time{}) == nil {
					// c handles no yield while it is the owner.
					requireOneOwnerPerEpoch(t, entries)
					return fmt.Errorf("taken over by %v, want b", taken.Data)
				}
				m.net.mu.Lock()
				old := m.net.yields[0]
				m.net.mu.Unlock()
				begin = time.Now()
				// c may not have read the next owner's lease yet: then its takeover must fail.
				entries["c"].c.AcceptYield(old)
				time.Sleep(2 * leasePollInterval)
				repeated := time.Now()
				entries["c"].c.AcceptYield(old)
				if l := awaitAny(t, 567, repeated, map[string]*handoverEntry{"": entries["c"]}); l.Data["accepted"] != false {
					t.Error("a yield of an earlier epoch is accepted")
				}
				time.Sleep(leasePollInterval)
				requireOneOwnerPerEpoch(t, entries)
				if l := entries["a"].event(540, begin); l != nil || entries["c"].event(540, begin) != nil {
					t.Error("another takeover after the one on the yield")
				}
				if took > c.limit {
					return fmt.Errorf("taken over after %v, want at most %v", took, c.limit)
				}
				return nil
			})
		})
	}
}

// Guards against a change of the owner, or a yield, in an outage of the whole table.
func TestWholeTableFails(t *testing.T) {
	for name, fault := range map[string]int32{"refused": faultRefused, "silence": faultSilent} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, entries := startThree(t)
			begin := time.Now()
			for _, f := range []int32{fault, 0} {
				for _, e := range entries {
					e.table.fault.Store(f)
				}
				time.Sleep(3 * time.Second)
			}
			a := entries["a"]
			if a.event(565, begin) == nil || a.event(545, begin) == nil {
				t.Error("the owner has not asked, or is not confirmed again")
			}
			for vm, e := range entries {
				if e.event(540, begin) != nil || e.event(566, begin) != nil {
					t.Errorf("%s has taken over or yielded", vm)
				}
			}
		})
	}
}

// Guards against a yield that is sent while the core may still act as the confirmed owner,
// and against a renewal in flight that makes the term confirmed again.
func TestYieldFollowsTheCore(t *testing.T) {
	system := actors.NewSystem()
	defer system.Shutdown()
	table := &entryTable{memoryTable: newMemoryTable(), cut: make(chan struct{})}
	table.fault.Store(faultRefused)
	sent := make(chan bool, 10)
	table.net.deliver = func(handover.Yield) (bool, bool) {
		sent <- true
		return false, false
	}
	c := NewCandidate(CandidateOptions{
		VM: "a", Incarnation: 1, Table: table, Changes: table, System: system, Telemetry: telemetry.Nop(), PeerClient: &table.net,
		Peers: func() []handover.Peer { return nil },
	})
	tm := newTerm(c, lease.NewHolder(leaseConfig(), lease.Row{Shard: jobsShard, Owner: "a", Incarnation: 1, Epoch: 4}, 9, clock.Now()), 9)
	tm.ctx, tm.end = context.WithCancel(t.Context())
	if err := tm.spawn(workflow.New(workflow.Config{Epoch: 4, MaxChanges: 18}, clock.Now())); err != nil {
		t.Fatal(err)
	}
	defer tm.finish()
	busy := make(chan struct{})
	tm.coreActor.Enqueue(func(*workflow.Owner) { <-busy })
	e := &emergency{t: tm, machine: handover.NewEmergency(handover.DefaultEmergencyConfig(), tm.id()), answers: make(chan func())}
	go e.yield(tm.ctx, handover.Step{Kind: handover.StepYield, Peers: []handover.Peer{{VM: "b", Address: "b"}}})
	select {
	case <-sent:
		t.Fatal("the yield was sent before the core had taken note")
	case <-time.After(50 * time.Millisecond):
	}
	if tm.ownershipConfirmed(clock.Now()) {
		t.Error("the ownership is confirmed during the yield")
	}
	close(busy)
	<-sent
	renewal, _ := tm.holder.BeginRenewal(clock.Now() + leaseRenewalInterval)
	tm.holder.Committed(renewal.Revision + 1)
	if tm.validity.set(tm.holder.ValidUntil()); tm.ownershipConfirmed(clock.Now()) {
		t.Error("a late renewal has confirmed the ownership again")
	}
	tm.holder.Yield()
	if _, ok := tm.holder.BeginRenewal(clock.Now() + time.Hour); ok || tm.holder.ValidUntil() != 0 {
		t.Error("the lease is renewed after the yield")
	}
}

// Guards against a list of entries that fills with dead ones or lacks live ones, and
// against an unreadable row that hides the others.
func TestEntryRegistry(t *testing.T) {
	table := &entryTable{memoryTable: newMemoryTable(), cut: make(chan struct{})}
	owns := false
	registry := func(vm types.VMID) *EntryRegistry {
		return NewEntryRegistry(table, table, EntryRegistration{VM: vm, Address: string(vm) + ":1", Incarnation: 3, Cores: 0.5}, func() bool { return owns }, telemetry.Discard())
	}
	a, b := registry("a"), registry("b")
	a.register(t.Context(), 0)
	b.register(t.Context(), 0)
	table.put(prefixEntry+"x", []byte("{"))
	table.put(prefixEntry+"y", []byte(`{"address":"nowhere"}`))
	for now := time.Duration(0); now <= entryDeadAfter; now += entryListInterval {
		s, err := a.list(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		a.update(s, now)
		a.deleteDead(t.Context(), s, now)
		if p := a.Peers(); len(p) != 1 || p[0] != (handover.Peer{VM: "b", Address: "b:1", Cores: 0.5}) {
			t.Fatalf("peers after %v: %v, want b", now, p)
		}
	}
	s, _ := a.list(t.Context())
	dead := entryDeadAfter + entryListInterval
	a.update(s, dead)
	a.deleteDead(t.Context(), s, dead)
	if s, _ = a.list(t.Context()); len(a.Peers()) != 0 || len(s.Rows) != 4 {
		t.Errorf("peers %v, %d rows, want no peer and all rows: this entry is not the owner", a.Peers(), len(s.Rows))
	}
	owns = true
	a.deleteDead(t.Context(), s, dead)
	if s, _ = b.list(t.Context()); len(s.Rows) != 1 {
		t.Errorf("%d rows, want that of a only", len(s.Rows))
	}
	b.update(s, 0)
	if b.ownRevision != 0 {
		t.Error("b does not write its deleted row again")
	}
	a.remove()
	if s, _ = b.list(t.Context()); len(s.Rows) != 0 {
		t.Error("an entry that stops leaves its row")
	}
}
