package workflow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/overload"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// saturationTime is how long tasks must wait in every forecast until no capacity
	// counts as free: twice the time over which throughput is averaged. Before that, the
	// throughput is that of the little work that was there.
	saturationTime = 4 * time.Second
	// minForecastWait is how long a task must have waited to count. A task that finds
	// free capacity starts within a placement pass.
	minForecastWait = 5 * maxPlaceInterval
	// maxForecastPools bounds the pools, which are as many as services and kinds of work.
	maxForecastPools = 200
)

// forecastState is the owner's state for the forecast. It is kept in memory only.
type forecastState struct {
	pools map[poolKey]*forecastPool
}

// poolKey identifies the work that competes for the same processors: that of a service
// which reserves them, or which fills unused ones.
type poolKey struct {
	service types.ServiceName
	fills   bool
}

// forecastPool is the work of a pool.
type forecastPool struct {
	arrivals overload.Arrivals
	// reserved is the throughput of work that reserves processors, saturatedSince when
	// tasks began to wait, or 0.
	reserved       overload.Throughput
	saturatedSince time.Duration
	// work, waits and processors are as of the current forecast; processors are those
	// that the work has reserved or could reserve.
	work       []overload.Work
	waits      bool
	processors float64
}

// forecasting reports whether the owner makes forecasts.
func (o *Owner) forecasting() bool { return forecastAdmission && o.cfg.OverloadControl }

// recordForecastArrival records an occurrence for the forecast. A job that an earlier owner
// has read arrived when it was accepted, by the clock of its entry.
func (o *Owner) recordForecastArrival(oc *occurrence, j *job) {
	if !o.forecasting() || j.spec.standing() {
		return
	}
	o.forecast(oc, j)
	path, work := j.spec.Measure(func(i int) time.Duration { return oc.steps[i].runTime })
	q := o.queueOf(j)
	p := o.forecastPoolOf(poolKey{q.Service, j.spec.mostlyFills()})
	if p.arrivals.Len() >= maxRegressions {
		p.arrivals.Retain(func(queue string) bool {
			_, ok := o.queues[queue]
			return ok
		})
	}
	at := o.now
	if j.inherited {
		at = oc.due
	}
	p.arrivals.Add(j.spec.Queue, overload.Arrival{At: at, Priority: q.Priority, Size: work, Path: path, Objective: oc.objective})
}

// forecastPoolOf returns a pool. Those without work are dropped when there are too many.
func (o *Owner) forecastPoolOf(key poolKey) *forecastPool {
	pools := o.overload.forecast.pools
	p := pools[key]
	if p == nil {
		if pools == nil {
			pools = make(map[poolKey]*forecastPool)
			o.overload.forecast.pools = pools
		}
		if len(pools) >= maxForecastPools {
			maps.DeleteFunc(pools, func(_ poolKey, p *forecastPool) bool { return len(p.work) == 0 })
		}
		p = &forecastPool{}
		pools[key] = p
	}
	return p
}

// Forecast returns when jobs that arrive now would complete, by queue and pool. It
// returns false if the owner makes no forecasts.
func (o *Owner) Forecast(now time.Duration) ([]overload.QueueForecast, bool) {
	if !o.forecasting() {
		return nil, false
	}
	o.now = now
	o.collectForecastWork()
	o.measureReserved()
	var all []overload.QueueForecast
	for key, p := range o.overload.forecast.pools {
		queues := overload.Predict(overload.Pool{Now: now, Throughput: o.poolThroughput(key, p), Free: o.hasFreeCapacity(key, p), Work: p.work, Arrivals: &p.arrivals})
		for i := range queues {
			queues[i].Fills, queues[i].Line = key.fills, o.runTimeLine(queues[i].Queue)
		}
		all = append(all, queues...)
	}
	slices.SortFunc(all, func(a, b overload.QueueForecast) int {
		fills := func(q overload.QueueForecast) int {
			if q.Fills {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(fills(a), fills(b)))
	})
	return all, true
}

// collectForecastWork collects the unfinished occurrences by pool. Tasks that only some
// VMs may run, or that wait for a ticket, do not show that capacity is short.
func (o *Owner) collectForecastWork() {
	for _, p := range o.overload.forecast.pools {
		p.work, p.waits = p.work[:0], false
	}
	seen := make(map[*occurrence]bool)
	for _, s := range o.ready {
		j, oc := s.job, s.occurrence
		if j.outcome != "" || oc.finished || j.spec.standing() {
			continue
		}
		q := o.queueOf(j)
		p := o.forecastPoolOf(poolKey{q.Service, j.spec.mostlyFills()})
		if !p.waits && s.waiting > 0 && s.spec.Label == "" && s.spec.MaxPerVM == 0 && !q.Advised && o.waitsForCapacity(s) && o.needsOnlyCapacity(s) {
			p.waits = true
		}
		if seen[oc] {
			continue
		}
		seen[oc] = true
		o.forecast(oc, j)
		w := overload.Work{Priority: q.Priority, Due: oc.due + oc.objective, Abandon: oc.due + abandonFactor*oc.objective}
		w.Path, w.Left = o.remaining(oc)
		// The plan of filling work does not regard what has started, see applyPlan.
		planned := onTimePlan && j.spec.mostlyFills() && o.now+w.Path <= w.Due
		w.Started = oc.started() && !planned
		p.work = append(p.work, w)
	}
}

// waitsForCapacity reports whether a task of the step has waited for minForecastWait.
func (o *Owner) waitsForCapacity(s *step) bool {
	return slices.ContainsFunc(s.tasks, func(t task) bool {
		return t.phase == phaseWaiting && o.now >= t.waitingSince+minForecastWait && o.now >= t.notBefore
	})
}

// needsOnlyCapacity reports whether the VMs could run a task of the step, or its whole gang,
// if only standing tasks were there. The wait of others does not show that processors are
// short: it may last although all of them are unused. It is true if no VM takes work.
func (o *Owner) needsOnlyCapacity(s *step) bool {
	missing, vms := 1, 0
	if s.spec.Gang {
		missing = len(s.tasks)
	}
	service, reservation := o.queueOf(s.job).Service, s.reservation()
	for _, v := range o.vmOrder {
		if v.upstream.Service != service || !o.usable(v) || v.quarantined {
			continue
		}
		vms++
		if s.spec.Fills && v.targets > 0 && o.spareShare(v, s.spec.Image, nil) < float64(s.spec.Demand.MilliCPU)/v.processors() {
			continue // it would disturb the standing tasks too much
		}
		for free := v.upstream.Capacity.Sub(v.standingReserved); missing > 0 && reservation.Fits(free); missing-- {
			free = free.Sub(reservation)
		}
		if missing == 0 {
			return true
		}
	}
	return vms == 0
}

// remaining returns the longest critical path of the occurrence's ready steps, and the
// work that is left. Of a running task the part counts that is left by its estimate.
func (o *Owner) remaining(oc *occurrence) (path time.Duration, work float64) {
	for _, s := range oc.steps {
		if s.done == len(s.tasks) {
			continue
		}
		if s.ready {
			path = max(path, s.criticalPath)
		}
		left := float64(len(s.tasks)-s.done) * s.runTime.Seconds()
		for i := range s.tasks {
			if t := &s.tasks[i]; s.live > 0 && t.phase == phaseRunning && !t.background {
				left -= min(o.now-t.startedAt, s.runTime).Seconds() * float64(t.wantedPace) / fullPace
			}
		}
		work += max(0, left) * float64(s.spec.Demand.MilliCPU) / 1000
	}
	return path, work
}

// measureReserved updates the throughput of work that reserves processors: those that it
// has reserved, and those that it could reserve.
func (o *Owner) measureReserved() {
	pools := o.overload.forecast.pools
	for _, p := range pools {
		p.processors = 0
	}
	for _, v := range o.vmOrder {
		p := pools[poolKey{v.upstream.Service, false}]
		if p == nil {
			continue
		}
		if o.usable(v) && !v.quarantined {
			p.processors += float64(max(0, v.upstream.Capacity.MilliCPU-v.reserved.MilliCPU)) / 1000
		}
		for _, t := range v.tasks {
			if !t.step.spec.Standing && !t.step.spec.Fills {
				p.processors += float64(t.step.spec.Demand.MilliCPU) / 1000
			}
		}
	}
	for key, p := range pools {
		if !key.fills {
			p.reserved.Measure(o.now, p.processors)
		}
		switch {
		case !p.waits || !o.takeoverComplete:
			p.saturatedSince = 0
		case p.saturatedSince == 0:
			p.saturatedSince = o.now
		}
	}
}

// hasFreeCapacity reports whether capacity is free for work of the pool, or it is not
// known that none is. The throughput of filling work is known once the owner has planned
// filling work of the service that can be in time.
func (o *Owner) hasFreeCapacity(key poolKey, p *forecastPool) bool {
	unmeasured := key.fills && o.overload.services[key.service] == nil
	return unmeasured || p.saturatedSince == 0 || o.now < p.saturatedSince+saturationTime
}

// poolThroughput returns the processors that the work of a pool gets.
func (o *Owner) poolThroughput(key poolKey, p *forecastPool) float64 {
	if !key.fills {
		return p.reserved.Rate()
	}
	if plan := o.overload.services[key.service]; plan != nil {
		return max(plan.throughput.Rate(), minThroughputShare*plan.capacity)
	}
	return 0
}

// runTimeLine returns the estimated run times of a queue. The estimate is linear in the
// logarithm of the declared run time.
func (o *Owner) runTimeLine(queue string) overload.RunTimeLine {
	reg := o.runTimes[queue]
	at0 := reg.expected(0)
	return overload.RunTimeLine{Intercept: at0, Slope: reg.expected(1) - at0}
}

// Measure returns the critical path of an occurrence of the job and its work in processor
// seconds, given the run time of a task of each step. Standing steps have none.
func (j *Job) Measure(runTime func(step int) time.Duration) (path time.Duration, work float64) {
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Standing {
			continue
		}
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		d := runTime(i)
		ends[i] += d
		path = max(path, ends[i])
		work += float64(s.Tasks) * d.Seconds() * float64(s.Demand.MilliCPU) / 1000
	}
	return path, work
}

// standing reports whether the job has standing tasks.
func (j *Job) standing() bool {
	return slices.ContainsFunc(j.Steps, func(s Step) bool { return s.Standing })
}

// mostlyFills reports whether most of the declared work of the job is filling work.
func (j *Job) mostlyFills() bool {
	fills := 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		work := float64(s.Tasks) * float64(s.Demand.MilliCPU) * max(s.RunTime, minRunTime).Seconds()
		if s.Fills {
			fills += work
		} else {
			fills -= work
		}
	}
	return fills > 0
}

// Submission returns the job as the admission of an entry sees it, and false if it is
// always admitted: standing tasks do not complete, and occurrences at set times arrive
// later.
func (j *Job) Submission() (overload.Submission, bool) {
	if j.standing() || j.Occurrences > 0 {
		return overload.Submission{}, false
	}
	return overload.Submission{
		Job: string(j.ID), Queue: j.Queue, Fills: j.mostlyFills(),
		Measure: func(line overload.RunTimeLine) (time.Duration, float64) {
			return j.Measure(func(step int) time.Duration { return line.Expected(cmp.Or(j.Steps[step].RunTime, unknownRunTime)) })
		},
		Objective: func(path time.Duration) time.Duration {
			return time.Duration(j.Policy.Stretch*float64(path)) + j.Policy.Target
		},
	}, true
}
