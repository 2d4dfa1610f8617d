package runtimes

import "time"

// maxKinds limits the distributions that are kept: 400 take 280 KB. Callers choose the
// names of images.
const maxKinds = 400

// Kind is a group of tasks whose run times are expected to be distributed alike.
type Kind struct {
	Queue, Image string
}

// Kinds holds the distributions by kind.
type Kinds struct {
	distributions map[Kind]*Distribution
	uses          uint64
}

// New returns an empty set of distributions.
func New() *Kinds {
	return &Kinds{distributions: make(map[Kind]*Distribution)}
}

// Of returns the distribution of a kind; nil, which is usable, if nothing is known.
func (k *Kinds) Of(kind Kind) *Distribution { return k.distributions[kind] }

// Learn adds the run time of a task that has ended. Times of 0 or less are ignored.
func (k *Kinds) Learn(kind Kind, requested, ran time.Duration) {
	if requested > 0 && ran > 0 {
		k.use(kind).learn(float64(ran) / float64(requested))
	}
}

// LearnStopped adds a task that was stopped after a time and would have run for longer.
func (k *Kinds) LearnStopped(kind Kind, requested, ran time.Duration) {
	if requested > 0 && ran > 0 {
		k.use(kind).learnStopped(float64(ran) / float64(requested))
	}
}

// use returns the distribution of a kind, and creates it if needed. The one that has not
// been learned from for the longest makes room.
func (k *Kinds) use(kind Kind) *Distribution {
	d := k.distributions[kind]
	if d == nil {
		if len(k.distributions) >= maxKinds {
			k.dropOldest()
		}
		d = &Distribution{}
		k.distributions[kind] = d
	}
	k.uses++
	d.usedAt = k.uses
	return d
}

func (k *Kinds) dropOldest() {
	var oldest Kind
	first := k.uses + 1
	for kind, d := range k.distributions {
		if d.usedAt < first {
			oldest, first = kind, d.usedAt
		}
	}
	delete(k.distributions, oldest)
}
