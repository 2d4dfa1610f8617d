package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a takeover from a live owner after an outage of 4 s in which
// neither the owner nor the candidate reached the table, and against a dead
// owner that keeps its lease forever after such an outage.
func TestOutageGivesTheOwnerTimeToRenew(t *testing.T) {
	cfg := Config{TTL: 2300 * time.Millisecond, Renewal: 600 * time.Millisecond, Margin: 300 * time.Millisecond, MaxReadAge: 1200 * time.Millisecond, RenewalGrace: 1200 * time.Millisecond}
	const poll = 400 * time.Millisecond
	for _, alive := range []bool{true, false} {
		rng := rand.New(rand.NewPCG(1, 2))
		o := NewObserver(cfg, "s", "candidate", 2)
		row, revision := Row{Shard: "s", Owner: "owner", Incarnation: 1, Epoch: 3}, uint64(10)
		begin := time.Minute
		outageEnd := begin + 5*time.Second
		tookOver := time.Duration(0)
		for now := begin; now < outageEnd+4*time.Second; now += 50 * time.Millisecond {
			inOutage := now >= begin+time.Second && now < outageEnd
			renews := now < begin+time.Second || alive && now >= outageEnd+time.Second
			if renews && (now-begin)%cfg.Renewal == 0 {
				row.Renewal++
				revision++
			}
			if !inOutage && (now-begin)%poll == 0 {
				o.Observe(row, revision, true, now, rng)
			}
			if _, ok := o.TryTakeover(now, nil); ok && tookOver == 0 {
				tookOver = now
			}
		}
		switch {
		case alive && tookOver > 0:
			t.Errorf("lease taken over from a live owner %v after the outage", tookOver-outageEnd)
		case !alive && (tookOver < outageEnd || tookOver > outageEnd+cfg.RenewalGrace+poll+100*time.Millisecond):
			t.Errorf("lease taken over from a dead owner %v after the outage, want at most %v", tookOver-outageEnd, cfg.RenewalGrace+poll)
		}
	}
}
