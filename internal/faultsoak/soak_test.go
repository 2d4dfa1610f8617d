package faultsoak

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// regressions maps seeds that once failed to the causes of the failures. The
// seed determines the faults, but their exact overlap differs from run to run.
var regressions = map[uint64]string{
	1:   "an entry treated a job as queued after its submission was answered late",
	107: "the stand-in store reported the compacted history to only one of its change feeds",
	126: "the stand-in store reported the compacted history to only one of its change feeds",
	671: "the stop timeout of the soak began while the process was still paused",
	568: "the stand-in worker recorded the end of a run only when it received the next call",
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "boragecrank")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/boragecrank/boragecrank/cmd/boragecrank").CombinedOutput()
	if err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return binary
}

// runSeed performs a run, which must have no violation, complete a job, inject a fault,
// and inject the named faults.
func runSeed(t *testing.T, o Options, faults ...string) {
	t.Helper()
	o.Dir = t.TempDir()
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Errorf("seed %d: %s", o.Seed, v)
	}
	if r.Completed == 0 || len(r.Faults) == 0 {
		t.Errorf("seed %d completed no job or injected no fault: %+v", o.Seed, r)
	}
	for _, f := range faults {
		if r.Faults[f] == 0 {
			t.Errorf("seed %d injected no fault %q: %+v", o.Seed, f, r.Faults)
		}
	}
}

// Guards against jobs that are lost, run twice or reported wrongly when
// processes are killed, paused, stopped and reloaded, connections fail, and the
// store refuses calls, loses responses or compacts its history.
func TestRegressionSeeds(t *testing.T) {
	binary := buildBinary(t)
	for seed, cause := range regressions {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			runSeed(t, Options{Seed: seed, Binary: binary, Entries: 3, Workers: 3, Faults: 8 * time.Second, JobsPerSecond: 4})
		})
	}
}

// workerRegressions maps seeds with faults of workers that once failed to the causes.
var workerRegressions = map[uint64]string{
	3200: "a new boot of a worker carried out a start for the previous one, and the task ran twice",
	3300: "failed tasks of jobs for one worker never started there again",
}

// Guards against jobs that are lost or run twice when workers crash, restart under
// their ID or another one, and fail their tasks, with jobs of several sizes beside the
// faults of TestRegressionSeeds.
func TestWorkerFaultSeeds(t *testing.T) {
	binary := buildBinary(t)
	for seed, cause := range workerRegressions {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			runSeed(t, Options{
				Seed: seed, Binary: binary, Entries: 3, Workers: 6, Faults: 12 * time.Second, WorkerFaults: true, JobsPerSecond: 12,
			}, "worker restarts")
		})
	}
}

// silentRestartSeeds maps seeds with workers that restart behind a silent network to
// the causes of their failures.
var silentRestartSeeds = map[uint64]string{
	50001: "a new owner assumed a shorter lease than a worker had from an order for its earlier boot",
	50101: "a call for the earlier boot made the new one forget ends that no one had seen",
}

// Guards against tasks that run twice, or again after an end that is acknowledged, when
// workers take calls for their earlier boots and are cut off soon after, with the owner
// alive or killed.
func TestSilentRestartSeeds(t *testing.T) {
	binary := buildBinary(t)
	for seed, cause := range silentRestartSeeds {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			runSeed(t, Options{
				Seed: seed, Binary: binary, Entries: 3, Workers: 6, Faults: 30 * time.Second, SilentRestarts: true, OnlySilentRestarts: true, JobsPerSecond: 8,
			}, "worker restarts in silence", "agents cut off after the restart")
		})
	}
}

// Guards against starts in evacuated failure domains, and against jobs that are lost or
// run twice and processes that end, when the store resets connections, is slow or
// refuses the owner, owners stop one after another, and untrusted clients stall, beside
// the faults of TestWorkerFaultSeeds.
func TestPlatformFaultSeeds(t *testing.T) {
	runSeed(t, Options{
		Seed: 70001, Binary: buildBinary(t), Entries: 3, Workers: 6, Faults: 9 * time.Second, WorkerFaults: true, PlatformFaults: true, JobsPerSecond: 8,
	}, platformFaultKinds...)
}

// Guards against the failures of TestPlatformFaultSeeds, against a third run of a task, two
// runs of a task that tolerates none, and refused jobs that run, with overload control,
// copies and forwarded submissions.
func TestMechanismSeeds(t *testing.T) {
	runSeed(t, Options{
		Seed: 70018, Binary: buildBinary(t), Entries: 3, Workers: 6, Faults: 9 * time.Second, WorkerFaults: true, PlatformFaults: true, Mechanisms: true, JobsPerSecond: 4,
	}, "store fails a candidate")
}

// Guards against a check that misses three runs, two runs of a step without copies, or a
// start too long after an acknowledged end.
func TestCheckOfCopies(t *testing.T) {
	const a, b, c = "1.0.0.0", "1.0.1.0", "1.0.2.0"
	newChecker := func() *runChecker {
		var w runChecker
		w.reset()
		w.addSpeculative(stepOf(a), true)
		w.addSpeculative(stepOf(c), false)
		return &w
	}
	type event struct {
		event, task string
		run         uint64
	}
	for name, test := range map[string]struct {
		events   []event
		violates bool
	}{
		"two runs with copies":                           {[]event{{"start", a, 1}, {"start", a, 2}, {"done", a, 2}, {"stopped", a, 1}}, false},
		"three runs with copies":                         {[]event{{"start", a, 1}, {"start", a, 2}, {"start", a, 3}}, true},
		"two runs without copies":                        {[]event{{"start", b, 1}, {"start", b, 2}}, true},
		"two runs of a step that gets none":              {[]event{{"start", c, 1}, {"start", c, 2}}, true},
		"copy before the acknowledgement":                {[]event{{"start", a, 1}, {"done", a, 1}, {"start", a, 2}, {"noted", a, 1}}, false},
		"copy soon after the acknowledgement":            {[]event{{"start", a, 1}, {"done", a, 1}, {"noted", a, 1}, {"start", a, 2}}, false},
		"late copy":                                      {[]event{{"start", a, 1}, {"done", a, 1}, {"noted", a, 1}, {"late", "", 0}, {"start", a, 2}}, true},
		"start without copies after the acknowledgement": {[]event{{"start", b, 1}, {"done", b, 1}, {"noted", b, 1}, {"start", b, 2}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newChecker()
			for _, e := range test.events {
				if e.event == "late" {
					w.doneRuns[a][0].acknowledgedAt = time.Now().Add(-copyStartGrace - time.Millisecond)
					continue
				}
				w.record(e.event, e.task, e.run)
			}
			if (len(w.violations) > 0) != test.violates {
				t.Errorf("violations %q, want some: %v", w.violations, test.violates)
			}
		})
	}
}

// Guards against a driver that crashes when a pause of a process ends while the process
// is restarted (seed 31107, once): the new command had no process yet.
func TestSignalDuringRestart(t *testing.T) {
	p := &process{name: "sleep", binary: "sleep", role: "60", log: filepath.Join(t.TempDir(), "log")}
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				p.signal(syscall.SIGCONT)
			}
		}
	}()
	for range 30 {
		p.kill()
		if err := p.start(); err != nil {
			t.Fatal(err)
		}
	}
	close(stop)
	<-done
	p.kill()
}
