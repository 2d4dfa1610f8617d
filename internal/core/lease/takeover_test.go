package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against two owners, a takeover that comes too late, and many
// concurrent takeover writes when 32 candidates see a lease expire. Each
// candidate has its own clock and reads the row every 500 ms with responses
// delayed by up to 200 ms.
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
		// Candidates with different live lists compute different ranks.
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
			t.Fatalf("%d takeovers succeeded, epoch %d", wins, row.Epoch)
		}
		if wonAt < cfg.TTL || wonAt > cfg.TTL+2*time.Second {
			t.Fatalf("lease taken over after %v", wonAt)
		}
		if attempts > 3 {
			t.Fatalf("%d takeover writes", attempts)
		}
		maxAttempts, maxWonAt = max(maxAttempts, attempts), max(maxWonAt, wonAt)
	})
	t.Logf("at most %d takeover writes, latest takeover after %v", maxAttempts, maxWonAt)
}

// Guards against waiting for the lease of the previous process on the same VM,
// which cannot be running any more: neither for its TTL nor for a jitter.
func TestLeaseOfEarlierIncarnationIsReclaimed(t *testing.T) {
	cfg := Config{TTL: 10 * time.Second, Jitter: 200 * time.Millisecond}
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
			t.Errorf("candidate %s, reclaim own lease %v: takeover %v %+v, want %v", c.self, c.reclaimOwn, ok, takeover, c.want)
		}
	}
}
