package owner

import (
	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/guard"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// guardEvents maps the number of each invariant rule to the event that is logged
// when the rule is violated.
var guardEvents = defineGuardEvents()

func defineGuardEvents() map[int]telemetry.Event {
	events := make(map[int]telemetry.Event)
	for _, r := range guard.Rules() {
		events[r.Number] = telemetry.Define(r.Number, logrus.ErrorLevel, r.Message, r.Meaning)
	}
	return events
}
