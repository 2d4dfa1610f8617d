package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a deployment without an owner after a takeover whose answer was
// lost: the candidate saw its own lease and waited for another candidate, and a lone
// candidate waited forever.
func TestLeaseOfUnansweredTakeoverIsTakenOverAgain(t *testing.T) {
	cfg := DefaultConfig()
	cfg.ReclaimOwnLease = true
	rng := rand.New(rand.NewPCG(1, 2))
	o := NewObserver(cfg, "s", "b", 9)
	o.Observe(Row{}, 0, false, time.Second, rng)
	first, ok := o.TryTakeover(2*time.Second, nil)
	if !ok {
		t.Fatal("a lease without an owner is not taken over")
	}
	const receivedAt = 3 * time.Second
	o.Observe(first.Row, 5, true, receivedAt, rng)
	again, ok := o.TryTakeover(receivedAt+cfg.Jitter, nil)
	if !ok || again.Row.Epoch != first.Row.Epoch+1 || again.Revision != 5 {
		t.Errorf("takeover of the own lease: got %+v, %v, want the next epoch at once", again, ok)
	}
	o.Observe(Row{Shard: "s", Owner: "c", Incarnation: 4, Epoch: 3}, 6, true, 2*receivedAt, rng)
	if _, ok := o.TryTakeover(2*receivedAt+cfg.Jitter, nil); ok {
		t.Error("the lease of another owner is taken over before its TTL")
	}
}
