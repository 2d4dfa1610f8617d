package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against two owners, an owner later than the lease allows, and a storm
// of takeovers when 32 candidates see a lease expire. Candidates read the row
// every 500 ms with answers delayed by up to 200 ms, on clocks of their own.
func TestTakeoverByRank(t *testing.T) {
	maxAttempts, maxWonAt := 0, time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		const candidates = 32
		cfg := DefaultConfig()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		live := make([]types.VMID, 0, candidates)
		for i := range candidates {
			live = append(live, types.VMID(fmt.Sprintf("vm%02d", i)))
		}
		// A lost live list makes ranks differ between candidates.
		liveViews := make([][]types.VMID, candidates)
		for i := range liveViews {
			liveViews[i] = live[rng.IntN(2):]
		}
		row, revision := Row{Shard: "s", Owner: "dead", Incarnation: 1, Epoch: 3, Renewal: 9}, uint64(10)
		observers := make([]*Observer, 0, candidates)
		offsets := make([]time.Duration, 0, candidates)
		for i, vm := range live {
			observers = append(observers, NewObserver(cfg, "s", vm, types.Incarnation(i+2)))
			offsets = append(offsets, time.Duration(rng.Int64N(int64(time.Hour))))
		}
		attempts, wins := 0, 0
		var wonAt time.Duration
		type takeover struct {
			Takeover
			by int
			at time.Duration
		}
		inFlight := make([]bool, candidates)
		var sent []takeover
		for now := time.Duration(0); now < 12*time.Second; now += 10 * time.Millisecond {
			for _, s := range sent {
				if s.at != now {
					continue
				}
				if s.Revision == revision {
					row, revision = s.Row, revision+1
					wins++
					wonAt = now
				}
				inFlight[s.by] = false
				observers[s.by].Observe(row, revision, true, now+offsets[s.by], rng)
			}
			for i, o := range observers {
				observerNow := now + offsets[i]
				if now%(500*time.Millisecond) == time.Duration(i*10)*time.Millisecond {
					o.Observe(row, revision, true, observerNow+time.Duration(rng.Int64N(20))*10*time.Millisecond, rng)
				}
				if inFlight[i] {
					continue
				}
				if take, ok := o.TryTakeover(observerNow, liveViews[i]); ok {
					attempts++
					inFlight[i] = true
					delay := time.Duration(1+rng.Int64N(20)) * 10 * time.Millisecond
					sent = append(sent, takeover{take, i, now + delay})
				}
			}
		}
		if wins != 1 || row.Epoch != 4 {
			t.Fatalf("%d takeovers, epoch %d", wins, row.Epoch)
		}
		if wonAt < cfg.TTL || wonAt > cfg.TTL+2*time.Second {
			t.Fatalf("taken over after %v", wonAt)
		}
		if attempts > 3 {
			t.Fatalf("%d writes", attempts)
		}
		maxAttempts, maxWonAt = max(maxAttempts, attempts), max(maxWonAt, wonAt)
	})
	t.Logf("at most %d writes, the latest takeover after %v", maxAttempts, maxWonAt)
}

// Guards against a wait for the lease of a process that is surely gone: the one
// that ran before on the same VM.
func TestOwnPredecessorIsFree(t *testing.T) {
	cfg := Config{TTL: 10 * time.Second, ReclaimOwnLease: true}
	row := Row{Shard: "s", Owner: "vm1", Incarnation: 1, Epoch: 4}
	for _, c := range []struct {
		self       types.VMID
		reclaimOwn bool
		want       bool
	}{{"vm1", true, true}, {"vm2", true, false}, {"vm1", false, false}} {
		cfg.ReclaimOwnLease = c.reclaimOwn
		o := NewObserver(cfg, "s", c.self, 2)
		o.Observe(row, 7, true, time.Second, rand.New(rand.NewPCG(1, 1)))
		takeover, ok := o.TryTakeover(time.Second, nil)
		if ok != c.want || ok && (takeover.Row.Epoch != 5 || takeover.Revision != 7) {
			t.Errorf("candidate %s, own lease free %v: takeover %v %+v, want %v", c.self, c.reclaimOwn, ok, takeover, c.want)
		}
	}
}
