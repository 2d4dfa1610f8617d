package benchpolicy

import (
	"slices"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against results that depend on anything other than the seed, such as
// map iteration order; against workloads that differ between policies for the
// same seed; against overfilled VMs in a night with failures; and against jobs
// that fit no VM but are not refused.
func TestNights(t *testing.T) {
	var requests []int
	// The contenders are: no batch work, least-loaded, boragecrank, and routing
	// by risk.
	for _, c := range []int{0, 2, 4, len(Contenders) - 2} {
		a := newSim(&Deployments[0], 7, Contenders[c].build).run()
		requests = append(requests, a.requests)
		if c == 0 {
			continue
		}
		b := newSim(&Deployments[0], 7, Contenders[c].build).run()
		if a != b {
			t.Errorf("%s: two runs of one seed differ:\n%+v\n%+v", Contenders[c].Name, a, b)
		}
		if a.Overcommitted != 0 || a.Refused != 2 || a.BatchDone < 0.5 {
			t.Errorf("%s: %+v", Contenders[c].Name, a)
		}
	}
	if len(slices.Compact(slices.Clone(requests))) != 1 {
		t.Errorf("policies received different numbers of requests: %v", requests)
	}
}

// Guards against overfilled VMs and against jobs that fit no VM but are not
// refused, in the second deployment.
func TestNightAtLibrary(t *testing.T) {
	r := newSim(&Deployments[1], 11, newCorePolicy(Ablation{})).run()
	if r.Overcommitted != 0 || r.Refused != 2 || r.BatchDone < 0.5 {
		t.Errorf("%+v", r)
	}
}

// BenchmarkOwnerDecision measures the work of an owner to start and end one
// task on a loaded shard: estimates of size and run time, placement with
// predicted interference, and the updates of state for both.
func BenchmarkOwnerDecision(b *testing.B) {
	s := newSim(&Deployments[1], 1, newCorePolicy(Ablation{}))
	o := s.policy.(*corePolicy)
	now := time.Duration(0)
	for ; now < 3*time.Hour; now += tick {
		s.tickCount++
		for s.nextTask < len(s.w.tasks) && s.w.tasks[s.nextTask].arrival <= now {
			o.handleArrival(now, s.w.tasks[s.nextTask])
			s.nextTask++
		}
		s.deliverReports(now)
		o.schedule(now)
		s.updateVMs(now)
		s.progress(now)
		s.serveRequests(now)
		if s.tickCount%10 == 0 { // every reportInterval
			s.takeReports(now)
		}
	}
	extra := *s.w.tasks[0]
	extra.id, extra.job, extra.gang, extra.urgent = "extra/0", "extra", 0, true
	extra.declared = types.Resources{MilliCPU: 100, MemoryBytes: gib}
	o.byID[extra.id] = &extra
	b.ReportAllocs()
	for b.Loop() {
		now += time.Second / 24 // 710 starts per second over 30 owners
		o.now = now
		r := o.request(now, &extra)
		r.Size = extra.declared
		d := o.state.Place(now, &r)
		if d.Outcome != placement.Placed {
			b.Fatalf("%+v", d)
		}
		o.startOnVM(now, &extra, &r, d.VM, 0)
		vm := extra.vm
		s.stopTask(&extra, true)
		o.health.Report(now, s.ids[vm], r.Kind, true)
		o.untrack(now, &extra, vm, 1) // 1 is estimate.EndCompleted
	}
}
