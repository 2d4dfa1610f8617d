package placement

import "github.com/boragecrank/boragecrank/internal/core/types"

// noCapacity is the value of a leaf that no request fits in, not even one of
// size zero.
var noCapacity = types.Resources{MilliCPU: -1, MemoryBytes: -1, Accelerators: -1}

// maxTree is a binary tree over positions that holds, per node, the largest
// amount of each dimension below it. A node that does not fit a request rules
// out its whole subtree.
type maxTree struct {
	leaves int // power of two
	node   []types.Resources
}

// reset makes a tree of n positions that all have noCapacity.
func (t *maxTree) reset(n int) {
	t.leaves = 1
	for t.leaves < n {
		t.leaves *= 2
	}
	t.node = make([]types.Resources, 2*t.leaves)
	for i := range t.node {
		t.node[i] = noCapacity
	}
}

// set stores the capacity at a position. It takes time logarithmic in the
// number of positions, and stops early at a node whose maximum does not change.
func (t *maxTree) set(pos int, r types.Resources) {
	i := pos + t.leaves
	t.node[i] = r
	for i >>= 1; i >= 1; i >>= 1 {
		m := t.node[2*i].Max(t.node[2*i+1])
		if m == t.node[i] {
			return
		}
		t.node[i] = m
	}
}

// nextFit returns the first position at or after from whose capacity holds
// want, or -1.
func (t *maxTree) nextFit(from int, want types.Resources) int {
	if from >= t.leaves {
		return -1
	}
	i := from + t.leaves
	for {
		if want.Fits(t.node[i]) {
			if i >= t.leaves {
				return i - t.leaves
			}
			i *= 2
			continue
		}
		for i&1 == 1 {
			i >>= 1
		}
		if i == 0 {
			return -1
		}
		i++
	}
}
