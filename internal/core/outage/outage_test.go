package outage

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a service that counts as silent while it answers, however
// slowly, or between calls that are far apart.
func TestAnsweringServiceIsNotSilent(t *testing.T) {
	w := Detector{SilentAfter: 800 * ms}
	now := time.Minute
	for range 100 { // each call takes 600 ms, and the next one begins 5 s later
		w.Started(now)
		now += 600 * ms
		if w.Silent(now) {
			t.Fatal("silent while a call of 600 ms is under way")
		}
		w.Answered()
		now += 5 * time.Second
		if w.Silent(now) {
			t.Fatal("silent without a call")
		}
	}
}

// Guards against requests that are sent into an outage: replays calls every 300
// ms that time out after 700 ms, while the service answers none for 4 s.
func TestSilenceIsNoticedAndEnds(t *testing.T) {
	w := Detector{SilentAfter: 800 * ms}
	begin := time.Minute
	detectedAfter := time.Duration(0)
	for now := begin; now < begin+4*time.Second; now += 50 * ms {
		if (now-begin)%(300*ms) == 0 {
			w.Started(now)
		}
		if w.Silent(now) && detectedAfter == 0 {
			detectedAfter = now - begin
		}
	}
	if detectedAfter == 0 || detectedAfter > 900*ms {
		t.Errorf("silence was noticed after %v, want 0.8 s to 0.9 s", detectedAfter)
	}
	w.Answered()
	if w.Silent(begin + 4*time.Second) {
		t.Error("silent after an answer")
	}
}
