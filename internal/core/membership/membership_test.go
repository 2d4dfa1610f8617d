package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const step = 25 * time.Millisecond

// simulation runs one worker, its two listeners and the directory of an entry.
type simulation struct {
	rng       *rand.Rand
	loss      float64
	now       time.Duration
	worker    types.Incarnation
	seq       uint64
	senders   [numRoles]*Sender
	detectors [numRoles]*Detector
	echoes    [numRoles]Echo
	directory *Directory
	pauseEnd  time.Duration
	dead      bool
	// datagrams is the number of heartbeats sent.
	datagrams int
}

// configs are the configurations that must meet the targets of failure
// detection.
var configs = map[string]Config{"default": DefaultConfig(), "deployed": DeployedConfig()}

// eachConfig runs a test with each configuration. The deployed configuration is
// tested too, because its interval and DeadAfter differ.
func eachConfig(t *testing.T, f func(t *testing.T, cfg Config)) {
	for name, cfg := range configs {
		t.Run(name, func(t *testing.T) { f(t, cfg) })
	}
}

func newSimulation(cfg Config, seed uint64, loss float64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, worker: 1, directory: NewDirectory(cfg)}
	for r := range numRoles {
		sim.senders[r] = NewSender(cfg)
		sim.detectors[r] = NewDetector(cfg, types.Incarnation(100+r))
	}
	return sim
}

func (sim *simulation) drawLoss() bool {
	return sim.rng.Float64() < sim.loss
}

func (sim *simulation) source(r Role) Source {
	return Source{Shard: "s", Role: r, Incarnation: types.Incarnation(100 + r), Epoch: 1}
}

// advance simulates one step of 25 ms. Digests reach the entry without loss,
// after each change found by Tick and every second.
func (sim *simulation) advance() {
	sim.now += step
	for r := range numRoles {
		s, d := sim.senders[r], sim.detectors[r]
		if !sim.dead && sim.now >= sim.pauseEnd && sim.now >= s.NextAt() {
			sim.seq++
			sim.datagrams++
			s.Sent(sim.now)
			if !sim.drawLoss() {
				ack, _, _ := d.Heartbeat(sim.now, Heartbeat{
					VM: "w", Incarnation: sim.worker, Seq: sim.seq, SentAt: sim.now, Echo: sim.echoes[r],
				})
				if !sim.drawLoss() {
					s.Acked(ack.SentAt)
					sim.echoes[r] = ack.Echo
				}
			}
		}
		changes := d.Tick(sim.now, nil)
		if len(changes) > 0 || sim.now%time.Second == 0 {
			if since, fetch := sim.directory.Digest(sim.now, d.Digest(sim.source(r))); fetch {
				sim.directory.Delta(sim.now, d.Delta(sim.source(r), since), nil)
			}
		}
	}
	sim.directory.Tick(sim.now, nil)
}

func (sim *simulation) status() Status {
	e, _ := sim.directory.Lookup("w")
	return e.Status
}

// Guards against entries that consider a live worker dead. One in five
// datagrams is lost each way, and the worker pauses for 2 s every 20 s. The 100
// runs of rapid simulate 2 hours each, 200 worker-hours in all.
func TestLossAndPausesDeclareNobodyDead(t *testing.T) {
	eachConfig(t, lossAndPausesDeclareNobodyDead)
}

func lossAndPausesDeclareNobodyDead(t *testing.T, cfg Config) {
	hours := 0
	oneListenerDeadSteps := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(cfg, rapid.Uint64().Draw(t, "seed"), 0.2)
		hours += 2
		for sim.now < 2*time.Hour {
			if sim.now%(20*time.Second) == 0 {
				sim.pauseEnd = sim.now + 2*time.Second + time.Duration(sim.rng.Int64N(int64(step)))
			}
			sim.advance()
			if sim.now > 3*time.Second && sim.status() != Alive {
				t.Fatalf("live worker is %s at %v", sim.status(), sim.now)
			}
			for _, d := range sim.detectors {
				if e, _ := d.Lookup("w"); e.Status == Dead {
					oneListenerDeadSteps++
				}
			}
		}
	})
	t.Logf("%d worker-hours; single listeners considered the worker dead for %v in total", hours, time.Duration(oneListenerDeadSteps)*step)
}

// Guards against entries that still use a worker 5 s after its death.
func TestDeadWithinFiveSeconds(t *testing.T) {
	eachConfig(t, deadWithinFiveSeconds)
}

func deadWithinFiveSeconds(t *testing.T, cfg Config) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(cfg, rapid.Uint64().Draw(t, "seed"), 0.2)
		end := 5*time.Second + time.Duration(rapid.Int64Range(0, 400).Draw(t, "steps"))*step
		for sim.now < end {
			sim.advance()
		}
		if sim.status() != Alive {
			t.Fatalf("worker is %s before its death", sim.status())
		}
		sim.dead = true
		for sim.now < end+5*time.Second {
			sim.advance()
		}
		if sim.status() != Dead {
			t.Fatalf("worker is %s 5 s after its death", sim.status())
		}
	})
}

// Guards against a steady rate of more than two heartbeats a second per
// listener.
func TestSteadyRate(t *testing.T) {
	sim := newSimulation(DefaultConfig(), 1, 0)
	for sim.now < 100*time.Second {
		sim.advance()
	}
	if sim.datagrams > 402 {
		t.Fatalf("sent %d datagrams in 100 s", sim.datagrams)
	}
}

func sendHeartbeat(t *testing.T, d *Detector, now time.Duration, i types.Incarnation, seq uint64, echo Echo, want Verdict) Ack {
	t.Helper()
	ack, _, got := d.Heartbeat(now, Heartbeat{VM: "w", Incarnation: i, Seq: seq, SentAt: now, Echo: echo})
	if got != want {
		t.Fatalf("incarnation %d, seq %d: verdict %d, want %d", i, seq, got, want)
	}
	return ack
}

// Guards against a superseded incarnation that returns with a delayed heartbeat
// or when its paused process resumes, and against an unconfirmed incarnation
// that replaces a live one.
func TestIncarnationsNeverReturn(t *testing.T) {
	d := NewDetector(DefaultConfig(), 100)
	ack := sendHeartbeat(t, d, 1, 7, 1, Echo{}, Changed)
	sendHeartbeat(t, d, 2, 7, 2, ack.Echo, Changed)
	sendHeartbeat(t, d, 3, 5, 1, Echo{}, Challenged)
	sendHeartbeat(t, d, 4, 5, 2, ack.Echo, Challenged)
	fresh := sendHeartbeat(t, d, 5, 5, 3, Echo{}, Challenged)
	sendHeartbeat(t, d, 6, 5, 4, fresh.Echo, Changed)
	e, confirmed := d.Lookup("w")
	if e.Incarnation != 5 || e.Previous != 7 || !confirmed {
		t.Fatalf("member state %+v, confirmed %v", e, confirmed)
	}
	if old := sendHeartbeat(t, d, 7, 7, 9, fresh.Echo, Superseded); !old.Superseded {
		t.Fatal("acknowledgement to the superseded process does not set Superseded")
	}
	sendHeartbeat(t, d, 8, 5, 4, fresh.Echo, Outdated)
	if got, _, v := d.Heartbeat(9, Heartbeat{VM: "w", Incarnation: 5, Seq: 6, Leaving: true}); v != Changed || got.Superseded {
		t.Fatalf("verdict %d", v)
	}
	sendHeartbeat(t, d, 10, 5, 7, fresh.Echo, Refreshed)
	if e, _ := d.Lookup("w"); e.Status != Leaving {
		t.Fatalf("leaving incarnation is %s again", e.Status)
	}
}

// Guards against a listener that declares all members dead after it was paused
// itself.
func TestListenerPauseDeclaresNobodyDead(t *testing.T) {
	d := NewDetector(DefaultConfig(), 100)
	sendHeartbeat(t, d, time.Second, 7, 1, Echo{}, Changed)
	d.Tick(time.Second, nil)
	if c := d.Tick(time.Minute, nil); len(c) != 0 {
		t.Fatalf("changes %+v", c)
	}
	dead := 0
	for now := time.Minute; now < time.Minute+4*time.Second; now += step {
		dead += len(d.Tick(now, nil))
	}
	if dead != 1 {
		t.Fatalf("%d members declared dead after the silence went on, want 1", dead)
	}
}

// Guards against a merge that loses a leaving member, a replacement or a live
// member.
func TestMerge(t *testing.T) {
	a := MemberState{VM: "w", Incarnation: 1, Status: Alive}
	cases := []struct {
		name string
		b    MemberState
		want MemberState
	}{
		{"alive in either view", MemberState{VM: "w", Incarnation: 1, Status: Dead}, a},
		{"unknown in one view", MemberState{}, a},
		{"leaving has precedence", MemberState{VM: "w", Incarnation: 1, Status: Leaving}, MemberState{VM: "w", Incarnation: 1, Status: Leaving}},
		{"replacement has precedence", MemberState{VM: "w", Incarnation: 2, Previous: 1, Status: Dead}, MemberState{VM: "w", Incarnation: 2, Previous: 1, Status: Dead}},
		{"other incarnation is dead", MemberState{VM: "w", Incarnation: 3, Status: Dead}, a},
	}
	for _, c := range cases {
		if got := Merge(a, c.b, false); got != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
		if got := Merge(c.b, a, true); got != c.want {
			t.Errorf("%s, arguments swapped: %+v", c.name, got)
		}
	}
}

// Guards against a lost or damaged delta that is not fetched again, and against
// accepting the digest of an earlier owner.
func TestDirectoryRefetches(t *testing.T) {
	d := NewDetector(DefaultConfig(), 100)
	sendHeartbeat(t, d, 1, 7, 1, Echo{}, Changed)
	dir := NewDirectory(DefaultConfig())
	src := Source{Shard: "s", Role: RoleOwner, Incarnation: 100, Epoch: 2}
	if since, fetch := dir.Digest(1, d.Digest(src)); !fetch || since != 0 {
		t.Fatalf("since %d, fetch %v", since, fetch)
	}
	damaged := d.Delta(src, 0)
	damaged.States[0].Incarnation = 8
	if _, refetch := dir.Delta(1, damaged, nil); !refetch {
		t.Fatal("damaged delta was not detected")
	}
	if changed, refetch := dir.Delta(1, d.Delta(src, 0), nil); refetch || len(changed) != 1 {
		t.Fatalf("changed %+v, refetch %v", changed, refetch)
	}
	old := src
	old.Epoch = 1
	if _, fetch := dir.Digest(2, d.Digest(old)); fetch {
		t.Fatal("digest of an earlier owner was accepted")
	}
}

// Guards against memory allocations for each heartbeat and digest.
func TestSteadyPathAllocatesNothing(t *testing.T) {
	d := NewDetector(DefaultConfig(), 100)
	dir := NewDirectory(DefaultConfig())
	src := Source{Shard: "s", Role: RoleOwner, Incarnation: 100, Epoch: 1}
	now := time.Second
	hb := Heartbeat{VM: "w", Incarnation: 7, Seq: 1}
	ack, _, _ := d.Heartbeat(now, hb)
	hb.Seq, hb.Echo = 2, ack.Echo
	d.Heartbeat(now, hb)
	dir.Delta(now, d.Delta(src, 0), nil)
	allocs := testing.AllocsPerRun(1000, func() {
		now += step
		hb.Seq++
		d.Heartbeat(now, hb)
		d.Tick(now, nil)
		if _, fetch := dir.Digest(now, d.Digest(src)); fetch {
			t.Fatal("fetch requested without a change")
		}
		dir.Tick(now, nil)
	})
	if allocs != 0 {
		t.Fatalf("%v allocations per step", allocs)
	}
}

// Guards against a relay that changes needlessly, and an owner that is its own
// relay.
func TestChooseRelay(t *testing.T) {
	live := []types.VMID{"a", "b", "c"}
	first := ChooseRelay("s", 1, "a", "", live)
	if first == "a" || first == "" {
		t.Fatalf("relay %q", first)
	}
	for _, present := range []types.VMID{"b", "c"} {
		if got := ChooseRelay("s", 1, "a", present, live); got != present {
			t.Fatalf("relay changed from %q to %q", present, got)
		}
	}
	if got := ChooseRelay("s", 1, "a", "", live[:1]); got != "" {
		t.Fatalf("relay %q without another member", got)
	}
}
