package faultsoak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// regressions are seeds that have failed, with their causes. They run with the
// faults of one seed each; what exactly overlaps differs from run to run.
var regressions = map[uint64]string{
	1:   "an entry took a job for queued whose submission was answered late",
	107: "the stand-in told only one feed that its history was gone",
	126: "the stand-in told only one feed that its history was gone",
	671: "the soak counted the grace of a stop from a moment at which the process was paused",
	568: "the stand-in recorded ends of runs only when it was called",
}

func buildBinary(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "boragecrank")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/boragecrank/boragecrank/cmd/boragecrank").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// Guards against jobs that are lost, doubled or shown wrongly when processes are
// killed, paused, stopped and reloaded, connections misbehave and the store
// refuses, loses answers or forgets.
func TestRegressionSeeds(t *testing.T) {
	binary := buildBinary(t)
	for seed, cause := range regressions {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Options{
				Seed: seed, Binary: binary, Dir: t.TempDir(), Entries: 3, Workers: 3, Faults: 8 * time.Second, JobsPerSecond: 4,
			})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Errorf("seed %d: %s", seed, v)
			}
			if r.Completed == 0 || len(r.Faults) == 0 {
				t.Errorf("seed %d did too little: %+v", seed, r)
			}
		})
	}
}
