package jobs

import (
	"sync"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

type cancellation struct {
	job      types.JobID
	revision uint64
}

// pendingCancellations passes cancellations to the current term. Without a term it
// drops them: a term that begins later reads the states of all jobs. It must be opened
// before these are read, since a cancellation that is stored afterwards is in neither
// otherwise. It has no limit, because nothing else tells a term of a cancelled job
// whose state the term does not write again; a term takes them as fast as they come.
type pendingCancellations struct {
	mu      sync.Mutex
	open    bool
	pending []cancellation
	// added holds an element while pending is not empty.
	added chan struct{}
}

func newPendingCancellations() pendingCancellations {
	return pendingCancellations{added: make(chan struct{}, 1)}
}

// setOpen begins or ends the collection for a term. It drops what is pending.
func (p *pendingCancellations) setOpen(open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open, p.pending = open, nil
}

func (p *pendingCancellations) add(x cancellation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.open {
		return
	}
	p.pending = append(p.pending, x)
	select {
	case p.added <- struct{}{}:
	default:
	}
}

// take returns and removes what is pending.
func (p *pendingCancellations) take() []cancellation {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.pending
	p.pending = nil
	return all
}
