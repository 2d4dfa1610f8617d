package benchpolicy

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/placement"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against results that depend on anything but the seed, such as the
// order of a map.
func TestNightIsDeterministic(t *testing.T) {
	for _, c := range []int{2, 4} {
		a := newSim(&Deployments[0], 7, Contenders[c].build).run()
		b := newSim(&Deployments[0], 7, Contenders[c].build).run()
		if a != b {
			t.Errorf("%s: two runs of one seed differ:\n%+v\n%+v", Contenders[c].Name, a, b)
		}
	}
}

// Guards against policies that see different nights for the same seed.
func TestPoliciesSeeTheSameRequests(t *testing.T) {
	a := newSim(&Deployments[1], 3, Contenders[1].build).run()
	b := newSim(&Deployments[1], 3, Contenders[4].build).run()
	if a.requests != b.requests {
		t.Fatalf("%d and %d requests", a.requests, b.requests)
	}
}

// Guards against overfilled VMs in a whole night with failures, and against
// impossible jobs that are not refused.
func TestNightKeepsInvariants(t *testing.T) {
	for i := range Deployments {
		r := newSim(&Deployments[i], 11, newOwn(Off{})).run()
		if r.Overfilled != 0 || r.Refused != 2 || r.BatchDone < 0.5 {
			t.Errorf("%s: %+v", Deployments[i].Name, r)
		}
	}
}

// BenchmarkOwnerDecision measures all that an owner does to start and end one
// task on a loaded shard: learned size and run time, placement with predicted
// interference, and the book-keeping of both.
func BenchmarkOwnerDecision(b *testing.B) {
	s := newSim(&Deployments[1], 1, newOwn(Off{}))
	o := s.policy.(*own)
	now := time.Duration(0)
	for ; now < 3*time.Hour; now += tick {
		s.step++
		for s.nextTask < len(s.w.tasks) && s.w.tasks[s.nextTask].arrival <= now {
			o.arrive(now, s.w.tasks[s.nextTask])
			s.nextTask++
		}
		s.deliver(now)
		o.schedule(now)
		s.interfere(now)
		s.progress(now)
		s.serveRequests(now)
		if s.step%10 == 0 {
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
		o.put(now, &extra, &r, d.VM, 0)
		vm := extra.vm
		s.stop(&extra, true)
		o.health.Report(now, s.ids[vm], r.Kind, true)
		o.forget(now, &extra, vm, 1)
	}
}
