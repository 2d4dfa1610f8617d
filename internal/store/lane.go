package store

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// maxQueue bounds the transactions that wait in a lane. Processing a full lane
// takes several minutes of an owner's budget, so a longer queue would only delay
// the error that callers get.
const maxQueue = 4096

// lane sends the transactions of one class, one at a time.
type lane struct {
	store *Store
	class Class
	key   string

	mu      sync.Mutex
	queue   []*operation
	running bool

	// The following fields are used only by the goroutine that executes run.
	loaded bool // state has been read
	state  laneState
	seq    uint64
}

// operation is one caller's transaction.
type operation struct {
	txn  platform.Txn
	done chan outcome // receives once

	// The lane's mutex guards the following fields.
	batch *batch
	// open is set while the outcome is open: the transaction may have been sent
	// and committed although no answer has arrived.
	open      bool
	lastErr   error
	abandoned bool
}

type outcome struct {
	res platform.TxnResult
	err error
}

// batch is a group of operations sent as one transaction.
type batch struct {
	lane    *lane
	ops     []*operation
	ctx     context.Context // ends when all callers have given up
	cancel  context.CancelFunc
	waiting int // number of waiting callers, guarded by the lane's mutex

	mark mark
	// uncertain is set while a copy of the transaction may have been committed
	// or may still be.
	uncertain bool
	// readBack is set if the lane must be read before the next attempt.
	readBack bool
}

func newLane(s *Store, class Class) *lane {
	return &lane{store: s, class: class, key: "store/" + s.opts.Name + "/" + class.String()}
}

// commit queues the transaction and waits for its outcome.
func (l *lane) commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	o := &operation{txn: txn, done: make(chan outcome, 1)}
	l.mu.Lock()
	if len(l.queue) >= maxQueue {
		l.mu.Unlock()
		l.count(resultLimited)
		return platform.TxnResult{}, apperr.New(apperr.KindLimited, "table",
			fmt.Sprintf("%d transactions of class %v are already waiting; nothing was changed", maxQueue, l.class), "retry later")
	}
	l.queue = append(l.queue, o)
	if !l.running {
		l.running = true
		go l.run()
	}
	l.mu.Unlock()
	select {
	case out := <-o.done:
		return out.res, out.err
	case <-ctx.Done():
		return l.abandon(ctx, o)
	}
}

// abandon removes an operation whose caller's context has ended, and returns the
// outcome or the error for the caller.
func (l *lane) abandon(ctx context.Context, o *operation) (platform.TxnResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case out := <-o.done:
		return out.res, out.err
	default:
	}
	o.abandoned = true
	if i := slices.Index(l.queue, o); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
	if o.batch != nil {
		o.batch.waiting--
		if o.batch.waiting == 0 {
			o.batch.cancel()
		}
	}
	if o.open {
		l.count(resultUncertain)
		return platform.TxnResult{}, errUncertain(errors.Join(ctx.Err(), o.lastErr))
	}
	return platform.TxnResult{}, l.store.errGivenUp(accessWrite, l.class, ctx.Err(), o.lastErr)
}

// run sends batches until the queue is empty.
func (l *lane) run() {
	for {
		b := l.next()
		if b == nil {
			return
		}
		b.run()
		b.cancel()
	}
}

// next takes a batch from the queue. If the queue is empty, it returns nil and
// marks the lane as not running.
func (l *lane) next() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := 1
	if l.class == Claim || l.class == Report {
		limit = l.store.opts.GroupSize
	}
	g := newGroup()
	// Operations that conflict with the group wait for the next one. Callers in
	// the queue are concurrent, so their order does not matter.
	var deferred []*operation
	taken := 0
	for ; taken < len(l.queue) && len(g.ops) < limit; taken++ {
		if o := l.queue[taken]; !g.add(o) {
			deferred = append(deferred, o)
		}
	}
	l.queue = l.queue[taken:]
	if len(deferred) > 0 {
		l.queue = append(deferred, l.queue...)
	}
	if len(g.ops) == 0 {
		l.running = false
		return nil
	}
	b := &batch{lane: l, ops: g.ops, waiting: len(g.ops)}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for _, o := range g.ops {
		o.batch = b
	}
	return b
}

func (l *lane) count(r result) {
	l.store.metrics.count(accessWrite, l.class, r)
}

// newMark returns the mark of the next transaction.
func (l *lane) newMark() mark {
	l.seq++
	return mark{Incarnation: l.store.opts.Incarnation, Sequence: l.seq}
}

// setState stores the lane state that was read, and logs an event if another
// incarnation wrote it.
func (l *lane) setState(st laneState) {
	other := st.value.Mark.Incarnation
	if st.revision != 0 && other != l.store.opts.Incarnation {
		l.store.log.Log(eventLaneTaken, nil, telemetry.Fields{"lane": l.key, "incarnation": uint64(other)})
	}
	l.loaded = true
	l.state = st
}

// send makes one admitted attempt to commit the transaction.
func (l *lane) send(t ticket, txn platform.Txn) (platform.TxnResult, error) {
	// The attempt is not cancelled when its callers give up: the outcome of a
	// cancelled attempt would be uncertain and would have to be read back.
	ctx, cancel := context.WithTimeout(context.Background(), l.store.opts.AttemptTimeout)
	defer cancel()
	res, err := l.store.table.Commit(ctx, txn)
	l.store.recordResult(t, err)
	return res, err
}

// read waits for admission and makes one attempt to read the lane and the other
// rows.
func (l *lane) read(ctx context.Context, others []string) (laneState, []platform.Row, error) {
	t, err := l.store.gate.acquire(ctx, accessRead, l.class)
	if err != nil {
		return laneState{}, nil, err
	}
	rows, err := l.store.readOnce(ctx, t, func(ctx context.Context) ([]platform.Row, error) {
		return l.store.table.Get(ctx, append([]string{l.key}, others...)...)
	})
	if err != nil {
		return laneState{}, nil, err
	}
	st, err := parseLane(rows[0])
	return st, rows, err
}
