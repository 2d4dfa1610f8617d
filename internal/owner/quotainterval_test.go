package owner

import (
	"testing"
	"time"
)

// Guards against an owner that reads and writes quota rows several times per
// second while a team's quota is used up.
func TestQuotaIntervalGrowsWhileShort(t *testing.T) {
	var q quotaSync
	now, comparisons := time.Duration(0), 0
	for now < 10*time.Minute {
		now += q.interval(true)
		q.recordStart(now, true)
		comparisons++
	}
	if comparisons > 70 {
		t.Fatalf("%d comparisons in 10 minutes without success, want at most 70", comparisons)
	}
	q.interval(false)
	if got := q.interval(true); got != quotaMinInterval {
		t.Fatalf("first interval of a new shortage is %v, want %v", got, quotaMinInterval)
	}
}
