package store

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// Events of the store.
var (
	eventOutageStarted = telemetry.Define(301, logrus.WarnLevel, "table outage started",
		"Three consecutive attempts failed. Requests with a key are refused and nothing is placed until the table answers.")
	eventOutageEnded = telemetry.Define(302, logrus.InfoLevel, "table outage ended",
		"The table answers again. The rate of calls is limited until the backlog is gone.")
	eventUnresolved = telemetry.Define(303, logrus.WarnLevel, "outcome of a table write is unknown",
		"Another process took over this store's lane twice, or the lane row was deleted, while the outcome of a write was unknown. Check that no two processes run with the same name.")
	eventLaneTaken = telemetry.Define(304, logrus.InfoLevel, "lane taken over from another incarnation",
		"Expected once per class after a restart. If it repeats, two processes run with the same name.")
)

// result is the outcome of a call, as counted in the metrics.
type result int

const (
	resultDone result = iota
	resultConflict
	resultUnavailable
	resultLimited
	resultUncertain
	resultRefused
	resultRetried
	resultReadBack
	resultSealed
	numResults // number of results
)

func (r result) String() string {
	return [numResults]string{"done", "conflict", "unavailable", "limited", "uncertain",
		"refused", "retried", "read_back", "sealed"}[r]
}

// metrics holds the counters store_calls, tagged with access, class and result.
type metrics struct {
	calls [numAccesses][numClasses][numResults]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{}
	for a, access := range [numAccesses]string{"read", "write"} {
		for c := range numClasses {
			for r := range numResults {
				m.calls[a][c][r] = scope.Tagged(map[string]string{
					"access": access, "class": c.String(), "result": r.String(),
				}).Counter("store_calls")
			}
		}
	}
	return m
}

func (m *metrics) count(a access, c Class, r result) {
	m.calls[a][c][r].Inc(1)
}
