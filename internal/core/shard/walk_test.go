package shard

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against faults that need more moves than the exhaustive search makes:
// random walks of 40 moves with up to eight faults, then a run without faults.
func TestRandomWalks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := mutant{fresh: rapid.Bool().Draw(t, "fresh"), pair: rapid.Bool().Draw(t, "pair")}
		w := newWorld(m, 8)
		for range 40 {
			move := rapid.SampledFrom(w.moves()).Draw(t, "move")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				move = "round"
			}
			if problem := w.step(move); problem != "" {
				t.Fatal(problem)
			}
		}
		if problem := w.close(); problem != "" {
			t.Fatal(problem)
		}
	})
}
