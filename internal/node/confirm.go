package node

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// maxConfirmationAge is the age of the last confirmation above which a
	// process asks a peer. Owners read the table every 2 s and workers receive
	// the owner's messages every 2 s, so an age of 4 s is normal. A worker whose
	// shard has no owner then asks a peer in time to receive a change within the
	// required 7 s.
	maxConfirmationAge = 4500 * time.Millisecond
	// peerPollInterval is the mean time between requests to peers. It doubles up
	// to maxPeerPollInterval while no peer can confirm the configuration, which
	// limits the load on peers during an outage of the table.
	peerPollInterval    = 500 * time.Millisecond
	maxPeerPollInterval = 15 * time.Second
)

// KeepConfirmed asks a random peer for the configuration whenever the last
// confirmation is older than maxConfirmationAge, for example after the death of
// the shard's owner. The peer confirms the version or sends a newer one.
// KeepConfirmed returns when the context ends.
func (n *Node) KeepConfirmed(ctx context.Context) {
	pause := peerPollInterval
	for {
		// Jitter keeps the workers of a shard from asking at the same time.
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
		// If the peer does not answer, the next iteration picks another at
		// random.
		_ = n.FetchFrom(ctx, n.Peers[rand.IntN(len(n.Peers))])
		if !n.confirmed() {
			pause = min(2*pause, maxPeerPollInterval)
		}
	}
}

func (n *Node) confirmed() bool {
	age, known := n.Config.Age()
	return known && age < maxConfirmationAge
}
