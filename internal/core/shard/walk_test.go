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
		sc := scenario{beforePlacement: rapid.Bool().Draw(t, "fresh"), twoJobs: rapid.Bool().Draw(t, "pair")}
		m := newModel(sc, 8)
		for range 40 {
			move := rapid.SampledFrom(m.moves()).Draw(t, "move")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				move = "round"
			}
			if problem := m.step(move); problem != "" {
				t.Fatal(problem)
			}
		}
		if problem := m.checkCompletion(); problem != "" {
			t.Fatal(problem)
		}
	})
}
