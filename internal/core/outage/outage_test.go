package outage

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// Guards against a service that counts as silent although it answers slowly, or
// because there are long pauses between calls.
func TestAnsweringServiceIsNotSilent(t *testing.T) {
	d := Detector{SilentAfter: 800 * ms}
	now := time.Minute
	for range 100 { // each call takes 600 ms, and the next one starts 5 s later
		d.Started(now)
		started := now
		now += 600 * ms
		if d.Silent(now) {
			t.Fatal("service counts as silent during a call of 600 ms")
		}
		d.Answered(started)
		now += 5 * time.Second
		if d.Silent(now) {
			t.Fatal("service counts as silent without an unanswered call")
		}
	}
}

// Guards against sending requests during an outage. A call starts every 300 ms and
// times out after 700 ms, and the service answers no call for 4 s.
func TestSilenceIsNoticedAndEnds(t *testing.T) {
	d := Detector{SilentAfter: 800 * ms}
	begin := time.Minute
	detectedAfter := time.Duration(0)
	for now := begin; now < begin+4*time.Second; now += 50 * ms {
		if (now-begin)%(300*ms) == 0 {
			d.Started(now)
		}
		if d.Silent(now) && detectedAfter == 0 {
			detectedAfter = now - begin
		}
	}
	if detectedAfter == 0 || detectedAfter > 900*ms {
		t.Errorf("service counted as silent after %v, want 0.8 s to 0.9 s", detectedAfter)
	}
	d.Answered(begin + 4*time.Second - 300*ms)
	if d.Silent(begin + 4*time.Second) {
		t.Error("service counts as silent after an answer")
	}
}

// Guards against silence that is noticed late: an answer to a call that was sent before
// the outage, such as a wait for changes, counted as an answer to the calls after it.
// TestSilentStore of internal/jobserver failed by this: a submission was sent 2 s after
// the store had gone silent, and ended with an unknown outcome.
func TestLateAnswerOfEarlierCallDoesNotEndSilence(t *testing.T) {
	d := Detector{SilentAfter: 800 * ms}
	feed, outage := time.Minute, time.Minute+100*ms
	d.Started(outage)
	d.Started(outage + 300*ms)
	d.Answered(feed)
	if !d.Silent(outage + 800*ms) {
		t.Error("service does not count as silent 800 ms after the first unanswered call")
	}
	d.Answered(outage)
	if d.Silent(outage+1000*ms) || !d.Silent(outage+1100*ms) {
		t.Error("silence must be measured from the first call after the answered one")
	}
}
