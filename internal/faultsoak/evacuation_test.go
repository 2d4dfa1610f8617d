package faultsoak

import (
	"testing"
	"time"
)

// Guards against a check that overlooks a start in an evacuated failure domain, or
// excuses one by a fault that has ended before or that another entry had.
func TestEvacuationCheck(t *testing.T) {
	base := time.Now()
	at := func(s float64) time.Time { return base.Add(time.Duration(s * float64(time.Second))) }
	log := func(from, to float64) []*faultLog {
		return []*faultLog{{periods: []period{{at(from), at(to)}}}}
	}
	for name, c := range map[string]struct {
		worker               int
		start                float64
		store, owner, other  []*faultLog
		path                 []*faultLog
		violations, excusals int
	}{
		"in the domain, late":             {start: 15.1, violations: 1},
		"within the bound":                {start: 14.9},
		"before the evacuation":           {start: 9},
		"after the evacuation":            {start: 20.1},
		"in another domain":               {worker: 1, start: 16},
		"on another worker of the domain": {worker: 3, start: 16, violations: 1},
		"store away":                      {start: 16, store: log(15, 18), excusals: 1},
		"store away shortly before":       {start: 17.9, store: log(12, 14), excusals: 1},
		"store away long before":          {start: 18.1, store: log(12, 14), violations: 1},
		"store away afterwards":           {start: 16, store: log(16.1, 18), violations: 1},
		"owner killed":                    {start: 17.9, owner: log(14, 14), excusals: 1},
		"owner killed long before":        {start: 18.1, owner: log(14, 14), violations: 1},
		"owner cut off, succeeded":        {start: 18.1, owner: log(13.9, 19), violations: 1},
		"another entry cut off":           {start: 16, other: log(9, 13), violations: 1},
		"successor cut off":               {start: 18.1, other: log(14.2, 14.3), excusals: 1},
		"agent paused":                    {start: 16, path: log(11, 15), excusals: 1},
		"agent paused before":             {start: 16.6, path: log(11, 15), violations: 1},
	} {
		// Entry 0 is the owner until 14 s, entry 1 from then on.
		e := evacuationChecker{
			store: c.store, entries: [][]*faultLog{c.owner, c.other}, workers: [][]*faultLog{c.path, nil, nil, c.path},
			starts: []taskStart{{at: at(c.start), worker: c.worker}},
		}
		e.recordOwner(0, base)
		e.recordOwner(1, at(14))
		e.evacuations[0].periods = []period{{at(10), at(20)}}
		if violations, excused := e.check(); len(violations) != c.violations || excused != c.excusals {
			t.Errorf("%s: %v, %d excused, want %d and %d", name, violations, excused, c.violations, c.excusals)
		}
	}
}
