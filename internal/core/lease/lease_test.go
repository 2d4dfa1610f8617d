package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

func newTestHolder() *Holder {
	return NewHolder(DefaultConfig(), Row{Shard: "s", Owner: "a", Incarnation: 7, Epoch: 3}, 10, 100*time.Second)
}

// Guards against validity counted from the response to a renewal instead of its
// send time.
func TestValidityCountsFromSend(t *testing.T) {
	h := newTestHolder()
	if _, ok := h.BeginRenewal(101 * time.Second); ok {
		t.Fatal("renewal began before it was due")
	}
	r, ok := h.BeginRenewal(102 * time.Second)
	if !ok || r.Row.Renewal != 1 || r.Revision != 10 {
		t.Fatalf("renewal %+v, %v", r, ok)
	}
	h.Committed(11)
	if got := h.ValidUntil(); got != 107*time.Second {
		t.Fatalf("valid until %v, want send time + TTL - margin", got)
	}
}

// Guards against an uncertain renewal that extends the lease, and against a
// renewal that took effect late being counted from the send time of its retry.
func TestUncertainRenewal(t *testing.T) {
	h := newTestHolder()
	h.BeginRenewal(102 * time.Second)
	h.Uncertain()
	if h.ValidUntil() != 105*time.Second || !h.NeedsRead() {
		t.Fatalf("valid until %v, needs read %v", h.ValidUntil(), h.NeedsRead())
	}
	h.Observed(Row{Shard: "s", Owner: "a", Incarnation: 7, Epoch: 3}, 10, true)
	h.BeginRenewal(104 * time.Second)
	h.Observed(Row{Shard: "s", Owner: "a", Incarnation: 7, Epoch: 3, Renewal: 1}, 11, true)
	if h.ValidUntil() != 107*time.Second {
		t.Fatalf("valid until %v, want it counted from the first send", h.ValidUntil())
	}
	h.Observed(Row{Shard: "s", Owner: "b", Incarnation: 9, Epoch: 4}, 12, true)
	if !h.Lost() || h.MayAct(0) {
		t.Fatal("holder may act after a takeover")
	}
}

// Guards against a takeover before the TTL has passed on the observer's clock,
// also when the lease was renewed in the meantime.
func TestObserverWaitsForTTL(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	o := NewObserver(DefaultConfig(), "s", "b", 9)
	row := Row{Shard: "s", Owner: "a", Incarnation: 7, Epoch: 3}
	o.Observe(row, 10, true, 50*time.Second, rng)
	row.Renewal = 1
	o.Observe(row, 11, true, 55*time.Second, rng)
	if _, ok := o.TryTakeover(61*time.Second-1, []types.VMID{"b"}); ok {
		t.Fatal("takeover before the end of the TTL")
	}
	take, ok := o.TryTakeover(62*time.Second, []types.VMID{"b"})
	if !ok || take.Row.Epoch != 4 || take.Revision != 11 {
		t.Fatalf("takeover %+v, %v", take, ok)
	}
	o.Observe(Row{Shard: "s", Epoch: 4}, 12, true, 70*time.Second, rng)
	if _, ok := o.TryTakeover(70*time.Second+DefaultConfig().Jitter, []types.VMID{"b"}); !ok {
		t.Fatal("released lease was not taken over at once")
	}
}

// Guards against a codec that loses digits of the incarnation.
func TestRowRoundTrip(t *testing.T) {
	want := Row{Shard: "s", Owner: "a", Incarnation: 1<<63 + 1, Epoch: 3, Renewal: 4}
	b, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(b)
	if err != nil || got != want {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := Decode([]byte(`{}`)); err == nil {
		t.Fatal("row without a shard was accepted")
	}
}
