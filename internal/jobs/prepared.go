package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/boragecrank/boragecrank/internal/platform"
)

// catchUpAttempts is the number of attempts to read the changes since a snapshot. If
// all fail, the new owner lists the rows, as it does without a snapshot.
const catchUpAttempts = 3

// errBehind reports that the change log has not reached the revision asked for.
var errBehind = errors.New("changes end before the revision of the takeover")

// preparedRows are the rows that a successor has read before its takeover, by prefix.
type preparedRows struct {
	changes platform.ChangeLog
	// listed is closed when the rows are listed. The fields below are set then.
	listed chan struct{}
	mu     sync.Mutex
	sets   map[string]*rowSet
	// learned is the row of learned estimates as first read, if it could be read.
	learned     platform.Row
	learnedRead bool
}

// rowSet holds the rows of one prefix as of a revision.
type rowSet struct {
	rows     map[string]platform.Row
	revision uint64
}

func newRowSet(s platform.Snapshot) *rowSet {
	set := &rowSet{rows: make(map[string]platform.Row, len(s.Rows)), revision: s.Revision}
	for _, r := range s.Rows {
		set.rows[r.Key] = r
	}
	return set
}

// apply applies changes up to a revision. A listed row may be newer than the snapshot,
// so earlier changes of it are skipped.
func (s *rowSet) apply(changed []platform.ChangedRow, revision uint64) {
	for i := range changed {
		r := &changed[i]
		if s.rows[r.Key].Revision > r.Revision {
			continue
		}
		if r.Deleted {
			delete(s.rows, r.Key)
		} else {
			s.rows[r.Key] = r.Row
		}
	}
	s.revision = max(s.revision, revision)
}

func (s *rowSet) snapshot() platform.Snapshot {
	out := platform.Snapshot{Revision: s.revision, Rows: make([]platform.Row, 0, len(s.rows))}
	for _, r := range s.rows {
		out.Rows = append(out.Rows, r)
	}
	return out
}

// prepareRows begins to list all rows that a new owner needs, and returns without
// waiting. The lists are retried until they succeed or the context ends.
func (c *Candidate) prepareRows(ctx context.Context) *preparedRows {
	p := &preparedRows{changes: c.opts.Changes, listed: make(chan struct{})}
	go func() {
		var calls errgroup.Group
		calls.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, tableTimeout)
			defer cancel()
			if rows, err := c.opts.Table.Get(callCtx, keyLearned); err == nil {
				p.learned, p.learnedRead = rows[0], true
			}
			return nil
		})
		s, ok := c.readRows(ctx)
		_ = calls.Wait() // the estimates are optional
		if ok {
			p.sets = map[string]*rowSet{
				prefixJob: newRowSet(s.jobs), prefixState: newRowSet(s.states), prefixProgress: newRowSet(s.progress), prefixAgent: newRowSet(s.agents),
			}
			close(p.listed)
		}
	}()
	return p
}

// wait waits until the rows are listed, and returns false if the context ends first.
func (p *preparedRows) wait(ctx context.Context) bool {
	select {
	case <-p.listed:
		return true
	case <-ctx.Done():
		return false
	}
}

// catchUp reads the changes of all prefixes since they were last read.
func (p *preparedRows) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	var calls errgroup.Group
	for prefix, set := range p.sets {
		calls.Go(func() error {
			p.mu.Lock()
			after := set.revision
			p.mu.Unlock()
			changed, revision, err := p.changes.Changes(ctx, prefix, after, 0)
			if err != nil {
				return err
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if set.revision == after { // otherwise another call has read them
				set.apply(changed, revision)
			}
			return nil
		})
	}
	return calls.Wait()
}

// asOf returns the rows as of a revision or a later one. It waits for the lists if they
// are not complete, which began before those of a new owner would. It fails if the
// changes since then cannot be read.
func (p *preparedRows) asOf(ctx context.Context, revision uint64) (storedRows, error) {
	if !p.wait(ctx) {
		return storedRows{}, ctx.Err()
	}
	var err error
	for range catchUpAttempts {
		if err = p.catchUp(ctx); err == nil {
			err = p.reached(revision)
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, platform.ErrCompacted) {
			break
		}
		sleep(ctx, jitter(tableBackoffMin))
	}
	if err != nil {
		return storedRows{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return storedRows{
		jobs: p.sets[prefixJob].snapshot(), states: p.sets[prefixState].snapshot(),
		progress: p.sets[prefixProgress].snapshot(), agents: p.sets[prefixAgent].snapshot(),
	}, nil
}

func (p *preparedRows) reached(revision uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, set := range p.sets {
		if set.revision < revision {
			return errBehind
		}
	}
	return nil
}

// keepFresh reads the changes at an interval until the context ends, so that few are
// left for the takeover.
func (p *preparedRows) keepFresh(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		sleep(ctx, interval)
		// After an error the next attempt, or the takeover, reads the same changes.
		_ = p.catchUp(ctx)
	}
}
