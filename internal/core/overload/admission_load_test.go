package overload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// admissionSim is a queue of large jobs behind entries that decide by a forecast.
type admissionSim struct {
	simQueue
	arrivals  Arrivals
	measured  Throughput
	saturated time.Duration
	entries   []Admission
	rng       *rand.Rand
	jobs      []*admittedJob
}

type admittedJob struct {
	simJob
	arrived, objective time.Duration
	rejected           bool
	worth              float64
}

// publish forecasts and passes the forecast to the entries, as an owner does each second.
func (s *admissionSim) publish() {
	p := Pool{Now: s.now, Throughput: s.measured.Rate(), Arrivals: &s.arrivals}
	waiting := 0.0
	for _, j := range s.jobs {
		if !j.rejected && j.left > 0 {
			waiting += j.size / j.path.Seconds()
			p.Work = append(p.Work, Work{Left: j.left, Path: s.pathLeft(&j.simJob), Due: j.due, Abandon: j.arrived + AbandonFactor*j.objective})
		}
	}
	s.measured.Measure(s.now, min(waiting, s.throughput))
	if waiting < s.throughput {
		s.saturated = s.now
	}
	p.Free = s.now < s.saturated+4*time.Second
	over := slices.DeleteFunc(Predict(p), func(q QueueForecast) bool { return !q.Over() })
	for i := range s.entries {
		s.entries[i].Observe(Forecast{Epoch: 1, Entries: len(s.entries), Queues: over}, s.now, true)
	}
}

func (s *admissionSim) arrive() {
	scale := math.Exp(0.6 * s.rng.NormFloat64())
	j := &admittedJob{simJob: simJob{size: simWork * scale, left: simWork * scale, path: time.Duration(float64(simPath) * math.Sqrt(scale))}, arrived: s.now}
	j.objective = time.Second + 2*j.path
	j.due = s.now + j.objective
	s.jobs = append(s.jobs, j)
	v := s.entries[s.rng.IntN(len(s.entries))].Decide(s.now, Submission{
		Job: strconv.Itoa(len(s.jobs)), Queue: "q", Measure: func(RunTimeLine) (time.Duration, float64) { return j.path, j.size },
		Objective: func(time.Duration) time.Duration { return j.objective },
	})
	if j.rejected = v.Reject; !v.Reject {
		s.arrivals.Add("q", Arrival{At: s.now, Size: j.size, Path: j.path, Objective: j.objective})
		s.classes.Arrived("q", j.size)
		s.active = append(s.active, &j.simJob)
	}
}

// admissionResult holds the worth of all jobs, and by size class the shares of jobs that
// were admitted and of those that were worth something.
type admissionResult struct {
	worth            float64
	admitted, served [3]float64
}

func runAdmission(seed uint64, load simLoad, throughput float64, admission bool) admissionResult {
	s := &admissionSim{simQueue: simQueue{throughput: throughput, less: byPlan}, entries: make([]Admission, 4), rng: rand.New(rand.NewPCG(seed, 7))}
	for next, published := time.Duration(0), time.Duration(0); s.now < load.ends+time.Minute; s.tick() {
		for next <= s.now && next < load.ends {
			s.arrive()
			rate := load.rate
			if next >= load.burstAt && next < load.burstEnd {
				rate *= load.burst
			}
			next += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		}
		if admission && s.now >= published+time.Second {
			published = s.now
			s.publish()
		}
		for _, j := range s.jobs {
			if took := s.now - j.arrived; !j.rejected && j.worth == 0 && j.left <= 1e-9 && took <= AbandonFactor*j.objective {
				j.worth = (1 + 6*float64(boolKey(took <= j.objective))) / 7
			}
		}
	}
	slices.SortStableFunc(s.jobs, func(a, b *admittedJob) int { return cmp.Compare(a.size, b.size) })
	var r admissionResult
	n := len(s.jobs)
	for i, class := range [][]*admittedJob{s.jobs, s.jobs[n*7/10 : n*9/10], s.jobs[n*9/10:]} {
		for _, j := range class {
			r.admitted[i] += float64(boolKey(!j.rejected)) / float64(len(class))
			r.served[i] += float64(boolKey(j.worth > 0)) / float64(len(class))
			if i == 0 {
				r.worth += j.worth / float64(n)
			}
		}
	}
	return r
}

// Load: large jobs at the usual rate, a burst of 2.4 times the rate for 6 s, and overload
// for minutes. Guards against rejections while the throughput suffices, against admission
// that costs callers more than it gains, and against size classes that are admitted or
// served less than half as often as all jobs. Callers that return are not simulated.
func TestAdmissionInOverload(t *testing.T) {
	for _, c := range []struct {
		name       string
		load       simLoad
		throughput float64 // as a multiple of the mean work per second of the usual rate
		overload   bool
		gain       float64 // the least difference of the mean worth of a job
	}{
		{"usual", simLoad{rate: simUsual, ends: 2 * time.Minute}, 1.25, false, 0},
		{"burst", simLoad{rate: simUsual, burst: 2.4, burstAt: 30 * time.Second, burstEnd: 36 * time.Second, ends: time.Minute}, 1.25, false, 0},
		{"overload 2.4", simLoad{rate: 2.4 * simUsual, ends: 4 * time.Minute}, 1.2, true, -0.02},
		{"overload 4", simLoad{rate: 4 * simUsual, ends: 4 * time.Minute}, 1.2, true, 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const seeds = 2
			gain := 0.0
			for seed := range uint64(seeds) {
				without := runAdmission(seed, c.load, c.throughput*simUsual*simWork, false)
				with := runAdmission(seed, c.load, c.throughput*simUsual*simWork, true)
				t.Logf("worth without admission %.3f, with it %.3f; admitted %.2f, served %.2f (all, fifth below the largest tenth, largest tenth)", without.worth, with.worth, with.admitted, with.served)
				gain += (with.worth - without.worth) / seeds
				if rejected := with.admitted[0] < 1-1e-9; rejected != c.overload {
					t.Errorf("rejections %v, want %v", rejected, c.overload)
				}
				if min(with.admitted[1], with.admitted[2]) < minServed*with.admitted[0] || min(with.served[1], with.served[2]) < minServed*with.served[0] {
					t.Errorf("admitted %.2f, served %.2f: a size class has less than half of the share of all", with.admitted, with.served)
				}
			}
			if gain < c.gain {
				t.Errorf("admission changes the worth of a job by %.3f, want at least %.3f", gain, c.gain)
			}
		})
	}
}
