package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// domainsOf returns the number of requests by failure domain, for a router whose
// workers are assigned to the domains in turn.
func domainsOf(got map[types.VMID]int, domains ...types.FailureDomain) map[types.FailureDomain]int {
	out := make(map[types.FailureDomain]int)
	for n := range 100 {
		vm := workerState(n, "", 1, 0).VM
		out[domains[n%len(domains)]] += got[vm]
	}
	return out
}

// Guards against requests to an evacuated failure domain while others have free
// slots, and against refused requests while only evacuated ones have some.
func TestEvacuatedDomainIsLastResort(t *testing.T) {
	const now = time.Minute
	r := newRouter(6, 8, "Gent", "Brugge", "Leuven")
	r.SetEvacuated([]types.FailureDomain{"Gent", "Brugge"})
	if got := domainsOf(startRequests(t, r, now, 16), "Gent", "Brugge", "Leuven"); got["Leuven"] != 16 {
		t.Fatalf("first 16 requests: %v, want all in Leuven", got)
	}
	if got := domainsOf(startRequests(t, r, now, 32), "Gent", "Brugge", "Leuven"); got["Leuven"] != 0 {
		t.Fatalf("next 32 requests: %v, want none in the full Leuven", got)
	}
	if _, v := r.Pick(now, berths, time.Hour, newRNG()); v != Full {
		t.Fatalf("verdict with all slots in use: %v", v)
	}
}

// Guards against a service that is refused because all its failure domains are
// evacuated.
func TestAllDomainsEvacuatedStillServe(t *testing.T) {
	r := newRouter(2, 8, "Gent", "Brugge")
	r.SetEvacuated([]types.FailureDomain{"Brugge", "Gent"})
	startRequests(t, r, time.Minute, 16)
}

// Guards against an evacuated worker that becomes routable again by an update or a
// restart, and against one that stays excluded after the end.
func TestEvacuationLastsUntilItsEnd(t *testing.T) {
	now := time.Minute
	r := newRouter(2, 1000, "Gent", "Brugge")
	r.SetEvacuated([]types.FailureDomain{"Gent"})
	r.Update(now, workerState(0, "Gent", 1000, 0))
	restarted := workerState(0, "Gent", 1000, 0)
	restarted.Incarnation = 2
	r.Update(now, restarted)
	if got := startRequests(t, r, now, 100); got["v000"] != 0 {
		t.Fatalf("%d requests to the evacuated worker", got["v000"])
	}
	r.SetEvacuated(nil)
	if got := startRequests(t, r, now+time.Minute, 200); got["v000"] != 200 {
		t.Fatalf("%d of 200 requests to the local worker after the end", got["v000"])
	}
}

// Guards against a choice in an evacuated failure domain while another member has
// a free slot, in random orders of evacuations, updates and results.
func TestEvacuatedOnlyIfOthersAreFull(t *testing.T) {
	domains := []types.FailureDomain{"Gent", "Brugge", "Leuven"}
	rapid.Check(t, func(t *rapid.T) {
		r := newRouter(6, 2, domains...)
		rng := newRNG()
		now := time.Minute
		var started []Choice
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Second
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				r.SetEvacuated(rapid.SliceOfNDistinct(rapid.SampledFrom(domains), 0, 3, rapid.ID).Draw(t, "evacuated"))
			case 1:
				n := rapid.IntRange(0, 5).Draw(t, "worker")
				r.Update(now, workerState(n, domains[n%3], 2, 0))
			case 2:
				if len(started) > 0 {
					result := rapid.SampledFrom([]Result{ResultSuccess, ResultFailure, ResultFull}).Draw(t, "result")
					r.Finished(now, started[0], result, time.Millisecond)
					started = started[1:]
				}
			default:
				s := r.services[berths]
				free := r.anyFree(now, s.local, rng) != nil || r.anyFree(now, s.remote, rng) != nil
				c, v := r.Pick(now, berths, time.Hour, rng)
				if v != Picked {
					continue
				}
				if c.member.pool == poolEvacuated && free {
					t.Fatalf("%s was chosen although another failure domain has a free slot", c.VM)
				}
				r.Started(c)
				started = append(started, c)
			}
		}
	})
}
