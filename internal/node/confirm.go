package node

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// maxConfirmationAge is the age of the confirmation from which a process asks a
	// peer. Owners read the table every 2 s and workers hear an owner every 2 s,
	// so an age of 4 s is ordinary; without an owner a worker still has a change
	// within the 7 s that are allowed.
	maxConfirmationAge = 4500 * time.Millisecond
	// peerPollInterval is the mean time between questions. It doubles up to
	// confirmPauseMax while no peer can confirm either, so that an outage of the
	// table makes no stream of questions.
	peerPollInterval    = 500 * time.Millisecond
	maxPeerPollInterval = 15 * time.Second
)

// KeepConfirmed asks peers for the configuration whenever the ordinary ways
// have not confirmed it for a while, for example after the death of the
// shard's owner. It returns when the context ends.
func (n *Node) KeepConfirmed(ctx context.Context) {
	pause := peerPollInterval
	for {
		// Jitter keeps the workers of a shard from asking in step.
		wait := pause/2 + rand.N(pause)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if n.confirmed() || len(n.Peers) == 0 {
			pause = peerPollInterval
			continue
		}
		// A peer that does not answer is passed over at the next turn.
		_ = n.PullFrom(ctx, n.Peers[rand.IntN(len(n.Peers))])
		if !n.confirmed() {
			pause = min(2*pause, maxPeerPollInterval)
		}
	}
}

func (n *Node) confirmed() bool {
	age, known := n.Config.Age()
	return known && age < maxConfirmationAge
}
