package shard

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against violations that need more moves than the exhaustive search
// makes. Each random walk makes 40 moves with up to eight faults and then
// checks that the task completes without further faults.
func TestRandomWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := scenario{beforePlacement: rapid.Bool().Draw(t, "fresh"), twoJobs: rapid.Bool().Draw(t, "pair")}
		w := newModel(m, 8)
		for range 40 {
			move := rapid.SampledFrom(w.moves()).Draw(t, "move")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				move = "round"
			}
			if problem := w.step(move); problem != "" {
				t.Fatal(problem)
			}
		}
		if problem := w.checkCompletion(); problem != "" {
			t.Fatal(problem)
		}
	})
}
