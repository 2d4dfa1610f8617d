package interference

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	svc  = types.ServiceName("berth")
	solo = 100 * time.Millisecond
)

func newMeasurement(vm string, takenAt time.Duration, slowdown float64) Measurement {
	return Measurement{
		VM: types.VMID(vm), Service: svc, TakenAt: takenAt, Interval: 10 * time.Second,
		Load: 0.2, Latency: time.Duration(slowdown * float64(solo)),
	}
}

func newTestModel() *Model {
	m := NewModel()
	m.SetSoloLatency(svc, solo)
	return m
}

// Guards against attributing a late measurement to the kind that runs when it
// arrives instead of the kind that ran when it was taken.
func TestLateMeasurementIsAttributedToTimeTaken(t *testing.T) {
	m := newTestModel()
	for i := range 40 {
		now := time.Duration(i) * 2 * time.Minute
		m.SetShare(now, "a", "noisy", 0.5)
		m.SetShare(now+30*time.Second, "a", "noisy", 0)
		m.SetShare(now+30*time.Second, "a", "quiet", 0.5)
		m.Observe(now+55*time.Second, newMeasurement("a", now+28*time.Second, 3))
		m.Observe(now+75*time.Second, newMeasurement("a", now+50*time.Second, 1))
		m.SetShare(now+80*time.Second, "a", "quiet", 0)
	}
	noisy, _ := m.Predict("noisy", svc, LoadLow)
	quiet, _ := m.Predict("quiet", svc, LoadLow)
	if noisy < 3 || noisy > 5 || quiet > 0.3 {
		t.Fatalf("noisy %.2f, want about 4; quiet %.2f, want about 0", noisy, quiet)
	}
}

// Guards against an estimate that follows a single noisy measurement, and against
// one that stays at its prior after many measurements.
func TestShrinkageTowardPrior(t *testing.T) {
	m := newTestModel()
	m.SetShare(0, "a", "k", 0.1)
	m.Observe(20*time.Second, newMeasurement("a", 15*time.Second, 2))
	one, _ := m.Predict("k", svc, LoadLow)
	for i := range 50 {
		at := time.Duration(i+3) * 10 * time.Second
		m.Observe(at+5*time.Second, newMeasurement("a", at, 2))
	}
	many, _ := m.Predict("k", svc, LoadLow)
	if one > 7 || many < 8 {
		t.Fatalf("estimate %.1f after 1 sample, %.1f after 51; the samples alone give 10", one, many)
	}
}

func newTestController(w Weights) *Controller {
	c := NewController(Options{Weights: w}, newTestModel())
	c.SetService(svc, ServiceInfo{Urgent: true, ToleratedSlowdown: 2})
	c.SetHosted("a", svc, true)
	return c
}

// drive passes severe measurements, each 20 s late, to the controller and returns
// the kinds of its actions in order.
func drive(c *Controller, task TaskInfo, rounds int) []ActionKind {
	var kinds []ActionKind
	speed := 1.0
	for i := range rounds {
		now := time.Duration(i+1) * 10 * time.Second
		c.model.SetShare(now, "a", task.Kind, task.Share*speed)
		c.Observe(now, newMeasurement("a", now-20*time.Second, 6))
		for _, a := range c.Decide(now, "a", []TaskInfo{task}) {
			kinds = append(kinds, a.Kind)
			if a.Kind == Throttle {
				speed = a.Factor
			}
		}
	}
	return kinds
}

// Guards against evicting before throttling, and against ignoring the operator's
// weights.
func TestEscalationFollowsWeights(t *testing.T) {
	task := TaskInfo{Task: "t", Kind: "k", Share: 0.5, CanMove: true}
	cases := []struct {
		name    string
		weights Weights
		edit    func(*TaskInfo)
		last    ActionKind
	}{
		{"tail latency weighs more", Weights{TailLatency: 1, Eviction: 0.1}, func(*TaskInfo) {}, Move},
		{"tail latency weighs more, task cannot move", Weights{TailLatency: 1, Eviction: 0.1}, func(t *TaskInfo) { t.CanMove = false }, Evict},
		{"evictions weigh more", Weights{TailLatency: 0.01, Eviction: 1}, func(*TaskInfo) {}, Throttle},
		{"protected", Weights{TailLatency: 1, Eviction: 0.1}, func(t *TaskInfo) { t.Protected = true }, Throttle},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := task
			c.edit(&x)
			kinds := drive(newTestController(c.weights), x, 30)
			if len(kinds) == 0 || kinds[0] != Throttle || kinds[len(kinds)-1] != c.last {
				t.Fatalf("actions %v, want throttle first and %v last", kinds, c.last)
			}
		})
	}
}

// Guards against a second action on measurements that were taken before the
// first one could show an effect.
func TestNoActionOnStaleMeasurements(t *testing.T) {
	c := newTestController(Weights{TailLatency: 1, Eviction: 0.1})
	task := []TaskInfo{{Task: "t", Kind: "k", Share: 0.5, CanMove: true}}
	c.model.SetShare(0, "a", "k", 0.5)
	c.Observe(30*time.Second, newMeasurement("a", 25*time.Second, 6))
	if got := c.Decide(30*time.Second, "a", task); len(got) != 1 || got[0].Kind != Throttle {
		t.Fatalf("actions on the first measurement: %v, want one throttle", got)
	}
	for s := 31; s < 40; s++ {
		now := time.Duration(s) * time.Second
		c.Observe(now, newMeasurement("a", now-5*time.Second, 6))
		if got := c.Decide(now, "a", task); len(got) != 0 {
			t.Fatalf("second action at %v on a measurement taken before the first action", now)
		}
	}
}

// Guards against throttles that are never lifted, and against lifting them at
// once when pressure falls.
func TestThrottleIsLiftedAfterHold(t *testing.T) {
	c := newTestController(Weights{TailLatency: 1, Eviction: 0.1})
	task := []TaskInfo{{Task: "t", Kind: "k", Share: 0.5}}
	c.model.SetShare(0, "a", "k", 0.5)
	c.Observe(30*time.Second, newMeasurement("a", 25*time.Second, 6))
	c.Decide(30*time.Second, "a", task)
	for now := 45 * time.Second; now < time.Hour; now += 10 * time.Second {
		c.Observe(now, newMeasurement("a", now-5*time.Second, 1))
		for _, a := range c.Decide(now, "a", task) {
			if now < 45*time.Second+relaxHold {
				t.Fatalf("throttle lifted at %v, before the hold time ended", now)
			}
			if a.Factor == 1 {
				return
			}
		}
	}
	t.Fatal("still throttled after an hour without pressure")
}

// Guards against placing unknown pairings on a VM whose urgent service has no
// slack, is at high load or has no recent measurement.
func TestExplorationNeedsSlack(t *testing.T) {
	cost := func(slowdown float64, load float64, age time.Duration) float64 {
		c := newTestController(Weights{TailLatency: 1, Eviction: 0.1})
		m := newMeasurement("a", 15*time.Second, slowdown)
		m.Load = load
		c.Observe(20*time.Second, m)
		return c.Cost(20*time.Second+age, "a", "unknown", 0.5) - c.vms["a"].services[svc].pressure
	}
	slack := cost(1, 0.2, 0)
	for name, got := range map[string]float64{
		"no slack": cost(1.8, 0.2, 0), "high load": cost(1, 0.9, 0), "stale": cost(1, 0.2, 2*time.Minute),
	} {
		if got <= slack {
			t.Errorf("%s: an unknown kind costs %.2f, want more than with slack, %.2f", name, got, slack)
		}
	}
}

// Guards against many VMs exploring unknown pairings at once.
func TestExplorationIsBounded(t *testing.T) {
	c := newTestController(Weights{TailLatency: 1, Eviction: 0.1})
	explored := 0
	for i := range 30 {
		vm := types.VMID(fmt.Sprint(i))
		c.SetHosted(vm, svc, true)
		c.Observe(20*time.Second, newMeasurement(string(vm), 15*time.Second, 1))
	}
	for i := range 30 {
		vm := types.VMID(fmt.Sprint(i))
		if c.mayExplore(30*time.Second, c.vms[vm]) {
			explored++
			c.Placed(30*time.Second, vm, "unknown")
		}
	}
	if explored == 0 || explored > 4 {
		t.Fatalf("%d of 31 VMs explore at once, want 1 to 4", explored)
	}
}

// Guards against negative or very large estimates after measurements in any order
// and with any delay, and against speeds outside 0 to 1.
func TestPropertyEstimatesBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newTestController(Weights{TailLatency: rapid.Float64Range(0, 2).Draw(rt, "tail"), Eviction: rapid.Float64Range(0, 2).Draw(rt, "evict")})
		now := time.Minute
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(rt, "s")) * time.Second
			kind := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "kind")
			c.model.SetShare(now, "a", kind, rapid.Float64Range(0, 0.5).Draw(rt, "share"))
			late := time.Duration(rapid.IntRange(0, 30).Draw(rt, "late")) * time.Second
			c.Observe(now, newMeasurement("a", now-late, rapid.Float64Range(0.8, 5).Draw(rt, "slowdown")))
			tasks := []TaskInfo{{Task: "a/0", Kind: "a", Share: 0.3}, {Task: "b/0", Kind: "b", Share: 0.3}}
			for _, a := range c.Decide(now, "a", tasks) {
				if a.Kind == Throttle && (a.Factor <= 0 || a.Factor > 1) {
					rt.Fatalf("throttled to speed %v, want above 0 and at most 1", a.Factor)
				}
			}
			mean, dev := c.model.Predict(kind, svc, LoadLow)
			if !(mean >= 0) || !(dev >= 0) || mean > 1e4 {
				rt.Fatalf("estimate %v, deviation %v: negative or too large", mean, dev)
			}
		}
	})
}

// Guards against a risk that includes a burst only after it is measured. A VM
// that runs a kind with a remembered peak must have a higher risk than other VMs,
// also after the burst and without a recent measurement of that VM.
func TestRiskRemembersPeaks(t *testing.T) {
	m := NewModel()
	m.SetSoloLatency("svc", 100*time.Millisecond)
	c := NewController(Options{Weights: Weights{TailLatency: 1, Eviction: 1}}, m)
	c.SetService("svc", ServiceInfo{Urgent: true, ToleratedSlowdown: 2})
	for _, vm := range []types.VMID{"a", "b", "c"} {
		c.SetHosted(vm, "svc", true)
	}
	m.SetShare(0, "a", "noisy", 0.3)
	m.SetShare(0, "b", "noisy", 0.3)
	m.SetShare(0, "c", "steady", 0.3)
	at := time.Duration(0)
	observe := func(vm types.VMID, latency time.Duration) {
		c.Observe(at, Measurement{VM: vm, Service: "svc", TakenAt: at, Interval: 10 * time.Second, Load: 0.1, Latency: latency})
	}
	for range 12 {
		at += 10 * time.Second
		observe("a", 300*time.Millisecond)
		observe("c", 101*time.Millisecond)
	}
	if a, quiet := c.Risk(at, "a"), c.Risk(at, "c"); a < 1.9 || quiet > 0.2 {
		t.Errorf("risk during the burst %.2f, of a VM with a steady kind %.2f", a, quiet)
	}
	for range 30 {
		at += 10 * time.Second
		observe("a", 101*time.Millisecond)
		observe("c", 101*time.Millisecond)
	}
	if b, quiet := c.Risk(at, "b"), c.Risk(at, "c"); b < 0.5 || quiet > 0.2 {
		t.Errorf("risk after the burst %.2f on a VM without measurements, %.2f on a VM with a steady kind", b, quiet)
	}
	if r := c.Risk(at, "unknown"); r != 0 {
		t.Errorf("non-zero risk of an unknown VM: %.2f", r)
	}
}
