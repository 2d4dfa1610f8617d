package jobs

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/boragecrank/boragecrank/internal/actors"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/lease"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

// memoryTable is a table in memory with its history.
type memoryTable struct {
	mu       sync.Mutex
	revision uint64
	rows     map[string]platform.Row
	history  []platform.ChangedRow
	changed  chan struct{}
	net      peerNet // between the entries at this table
}

func newMemoryTable() *memoryTable {
	return &memoryTable{rows: make(map[string]platform.Row), changed: make(chan struct{}), revision: 1}
}

func (m *memoryTable) commit(txn platform.Txn) platform.TxnResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	res := platform.TxnResult{Committed: true}
	for _, c := range txn.Conditions {
		res.Committed = res.Committed && m.rows[c.Key].Revision == c.Revision
	}
	if res.Committed {
		m.revision++
		res.Revision = m.revision
		for _, w := range txn.Writes {
			row := platform.Row{Key: w.Key, Value: w.Value, Revision: m.revision}
			m.rows[w.Key] = row
			if w.Delete {
				delete(m.rows, w.Key)
			}
			m.history = append(m.history, platform.ChangedRow{Row: row, Deleted: w.Delete})
		}
		close(m.changed)
		m.changed = make(chan struct{})
	}
	for _, key := range txn.Reads {
		res.Rows = append(res.Rows, platform.Row{Key: key, Value: m.rows[key].Value, Revision: m.rows[key].Revision})
	}
	return res
}

func (m *memoryTable) put(key string, value []byte) uint64 {
	return m.commit(platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}}).Revision
}

// entryTable is the table as one entry reaches it. Each call takes callTime before the
// table executes it, and a transaction over several partitions twice as long.
type entryTable struct {
	*memoryTable
	callTime time.Duration
	// interceptor may replace the execution of a transaction; nil if none is replaced.
	interceptor atomic.Pointer[interceptor]
	// cut is closed when the entry reaches the table no more.
	cut chan struct{}
	// fault makes the table refuse the calls of the entry, or leave them unanswered.
	fault atomic.Int32
}

const (
	faultRefused = iota + 1
	faultSilent
)

type interceptor func(txn platform.Txn) (handled bool, err error)

func (e *entryTable) intercept(f interceptor) { e.interceptor.Store(&f) }

func (e *entryTable) transit(ctx context.Context, d time.Duration) error {
	sleep(ctx, d)
	switch e.fault.Load() {
	case faultRefused:
		return platform.ErrUnavailable
	case faultSilent:
		<-ctx.Done()
	}
	select {
	case <-e.cut:
		<-ctx.Done()
	default:
	}
	return ctx.Err()
}

func (e *entryTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	d := e.callTime
	if len(txn.Writes) > partitions {
		d *= 2
	}
	if err := e.transit(ctx, d); err != nil {
		if errors.Is(err, platform.ErrUnavailable) {
			return platform.TxnResult{}, err
		}
		return platform.TxnResult{}, fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	if f := e.interceptor.Load(); f != nil {
		if handled, err := (*f)(txn); handled {
			return platform.TxnResult{}, err
		}
	}
	return e.commit(txn), nil
}

func (e *entryTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := e.transit(ctx, e.callTime); err != nil {
		return nil, platform.ErrUnavailable
	}
	return e.commit(platform.Txn{Conditions: []platform.Condition{{Revision: 1}}, Reads: keys}).Rows, nil
}

func (e *entryTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	panic("not used")
}

func (e *entryTable) List(ctx context.Context, prefix string) (platform.Snapshot, error) {
	if err := e.transit(ctx, e.callTime); err != nil {
		return platform.Snapshot{}, platform.ErrUnavailable
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := platform.Snapshot{Revision: e.revision}
	for key, r := range e.rows {
		if strings.HasPrefix(key, prefix) {
			s.Rows = append(s.Rows, r)
		}
	}
	return s, nil
}

func (e *entryTable) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.ChangedRow, uint64, error) {
	if err := e.transit(ctx, e.callTime); err != nil {
		return nil, 0, platform.ErrUnavailable
	}
	for end := time.After(wait); ; {
		e.mu.Lock()
		var out []platform.ChangedRow
		for _, r := range e.history {
			if r.Revision > after && strings.HasPrefix(r.Key, prefix) {
				out = append(out, r)
			}
		}
		revision, changed := e.revision, e.changed
		e.mu.Unlock()
		if len(out) > 0 || wait == 0 {
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-ctx.Done():
			return nil, 0, platform.ErrUnavailable
		}
	}
}

// handoverEntry is a candidate at a table.
type handoverEntry struct {
	table *entryTable
	c     *Candidate
	log   *logtest.Hook
	stop  context.CancelFunc
	done  chan struct{}
}

func startEntry(t *testing.T, m *memoryTable, vm types.VMID, cores float64, callTime time.Duration, options ...func(*Candidate)) *handoverEntry {
	logger, hook := logtest.NewNullLogger()
	e := &handoverEntry{table: &entryTable{memoryTable: m, callTime: callTime, cut: make(chan struct{})}, log: hook, done: make(chan struct{})}
	system := actors.NewSystem()
	tel := telemetry.Nop()
	tel.Log = telemetry.NewLogger(logger, nil)
	c := NewCandidate(CandidateOptions{
		VM: vm, Incarnation: types.Incarnation(len(vm)), Cores: cores, Table: e.table, Takeovers: e.table, Changes: e.table, Telemetry: tel, System: system, StopTimeout: 5 * time.Second,
		Queues: func() (map[string]workflow.Queue, bool) { return nil, true },
		Peers:  func() []handover.Peer { return m.net.peers(vm) }, PeerClient: &m.net,
	})
	e.c = c
	for _, set := range options {
		set(c)
	}
	m.net.add(c)
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go func() {
		defer close(e.done)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-e.done
		system.Shutdown()
	})
	return e
}

// event returns the first line of an event after a time.
func (e *handoverEntry) event(number int, after time.Time) *logrus.Entry {
	for _, l := range e.log.AllEntries() {
		if l.Data["event"] == number && l.Time.After(after) {
			return l
		}
	}
	return nil
}

// await waits for an event of this entry, and awaitAny for one of any entry after a time.
func (e *handoverEntry) await(t *testing.T, number int) *logrus.Entry {
	t.Helper()
	return awaitAny(t, number, time.Time{}, map[string]*handoverEntry{"": e})
}

func awaitAny(t *testing.T, number int, after time.Time, entries map[string]*handoverEntry) *logrus.Entry {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, e := range entries {
			if l := e.event(number, after); l != nil {
				return l
			}
		}
	}
	t.Fatalf("no event %d within 20 s", number)
	return nil
}

// releaseOf reports whether a transaction releases the lease.
func releaseOf(txn platform.Txn) bool {
	row, err := lease.Decode(txn.Writes[0].Value)
	return txn.Writes[0].Key == lease.Key(jobsShard) && err == nil && row.Owner == ""
}

// handoverAttempts is the number of attempts of a test with limits in real time. A busy
// machine delays calls at random; a fault of the code shows in each attempt.
const handoverAttempts = 4

func bestOf(t *testing.T, attempt func(t *testing.T) error) {
	t.Helper()
	for i := range handoverAttempts {
		err := attempt(t)
		if err == nil {
			return
		}
		t.Logf("attempt %d: %v", i, err)
	}
	t.Error("every attempt failed")
}

// Guards against a deployment that places nothing for seconds when the owner stops while
// the table is 60 times slower than usual: the next owner noticed the release late and
// read all rows after its takeover (5 s in a recorded run).
func TestOwnerStopsWhileTableIsSlow(t *testing.T) {
	t.Parallel()
	bestOf(t, func(t *testing.T) error {
		const callTime = 240 * time.Millisecond
		m := newMemoryTable()
		a := startEntry(t, m, "a", 1, callTime)
		a.await(t, 542)
		b := startEntry(t, m, "b", 1, callTime)
		time.Sleep(2 * callTime)
		releaseSent := make(chan time.Time, 1)
		a.table.intercept(func(txn platform.Txn) (bool, error) {
			if releaseOf(txn) {
				select {
				case releaseSent <- time.Now().Add(-callTime):
				default: // a repetition
				}
			}
			return false, nil
		})
		a.stop()
		taken, recovered := b.await(t, 540), b.await(t, 542)
		sent := <-releaseSent
		// One call releases the lease, and the takeover takes two.
		unconfirmed, unknown := taken.Time.Sub(sent), recovered.Time.Sub(sent)
		t.Logf("no confirmed owner for %v, rows known after %v", unconfirmed, unknown)
		if unconfirmed >= 4*callTime || unknown >= 5*callTime || recovered.Data["prepared"] != true {
			return fmt.Errorf("want less than %v and %v, prepared: %v", 4*callTime, 5*callTime, recovered.Data["prepared"])
		}
		return nil
	})
}

// Guards against faults halfway through a handover that leave the deployment without an
// owner for longer than the lease, that let two entries own the jobs in one epoch, or
// that make a prepared successor read all rows again.
func TestHandoverWithFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		// fault is set up before the owner stops; b has more cores than c.
		fault func(a, b *handoverEntry)
		// next is the owner afterwards, limit the time within which it knows the rows.
		next  string
		limit time.Duration
	}{
		{"no fault", func(_, _ *handoverEntry) {}, "b", time.Second},
		{"the successor dies while it prepares", func(_, b *handoverEntry) {
			b.table.intercept(func(txn platform.Txn) (bool, error) {
				if txn.Writes[0].Key == handover.Key {
					b.table.commit(txn)
					close(b.table.cut)
				}
				return false, nil
			})
		}, "c", 4 * time.Second},
		{"the release is executed late", func(a, _ *handoverEntry) {
			a.table.intercept(func(txn platform.Txn) (bool, error) {
				if !releaseOf(txn) {
					return false, nil
				}
				time.AfterFunc(time.Second, func() { a.table.commit(txn) })
				a.table.intercept(func(platform.Txn) (bool, error) { return true, platform.ErrUncertain })
				return true, platform.ErrUncertain
			})
		}, "b", 2500 * time.Millisecond},
		{"the answer of the takeover is lost", func(_, b *handoverEntry) {
			b.table.intercept(func(txn platform.Txn) (bool, error) {
				if len(txn.Writes) <= partitions {
					return false, nil
				}
				b.table.commit(txn)
				b.table.interceptor.Store(nil)
				return true, platform.ErrUncertain
			})
		}, "b", 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bestOf(t, func(t *testing.T) error {
				m := newMemoryTable()
				entries := map[string]*handoverEntry{"a": startEntry(t, m, "a", 1, time.Millisecond)}
				entries["a"].await(t, 542)
				entries["b"] = startEntry(t, m, "b", 1, time.Millisecond)
				entries["c"] = startEntry(t, m, "c", 0.2, time.Millisecond)
				c.fault(entries["a"], entries["b"])
				time.Sleep(leasePollInterval)
				begin := time.Now()
				entries["a"].stop()
				recovered := awaitAny(t, 542, begin, entries)
				requireOneOwnerPerEpoch(t, entries)
				if took := recovered.Time.Sub(begin); took > c.limit || recovered.Data["prepared"] != true || entries[c.next].event(542, begin) == nil {
					return fmt.Errorf("the jobs were recovered %v after the stop by %v, want at most %v, by the prepared %s", took, recovered.Data, c.limit, c.next)
				}
				return nil
			})
		})
	}
}

func requireOneOwnerPerEpoch(t *testing.T, entries map[string]*handoverEntry) {
	t.Helper()
	epochs := make(map[any]bool)
	for _, e := range entries {
		for _, l := range e.log.AllEntries() {
			if l.Data["event"] == 540 {
				if epochs[l.Data["epoch"]] {
					t.Errorf("epoch %v has two owners", l.Data["epoch"])
				}
				epochs[l.Data["epoch"]] = true
			}
		}
	}
}

// Guards against a successor that misses a change between its reading of the rows and
// its takeover: a finished task would start again, or a job that the former owner may
// have started would count as fresh.
func TestPreparedRowsFollowChanges(t *testing.T) {
	m := newMemoryTable()
	m.put(progressKey("old"), []byte("1"))
	m.put(jobKey("old"), nil)
	m.put(jobKey("over"), nil)
	table := &entryTable{memoryTable: m, cut: make(chan struct{})}
	c := &Candidate{opts: CandidateOptions{Table: table, Changes: table}}
	p := c.prepareRows(t.Context())
	<-p.listed
	m.put(progressKey("old"), []byte("2"))
	m.commit(platform.Txn{Writes: []platform.Write{{Key: jobKey("over"), Delete: true}}})
	before := m.put(jobKey("before"), nil)
	takeover := m.put(lease.Key(jobsShard), nil)
	s, err := p.asOf(t.Context(), takeover)
	if err != nil {
		t.Fatal(err)
	}
	jobs := make(map[string]uint64)
	for _, r := range s.jobs.Rows {
		jobs[r.Key] = r.Revision
	}
	if len(jobs) != 2 || jobs[jobKey("old")] == 0 || jobs[jobKey("before")] != before {
		t.Errorf("jobs: %v, want old and before", jobs)
	}
	if len(s.progress.Rows) != 1 || string(s.progress.Rows[0].Value) != "2" {
		t.Errorf("progress: %v, want the latest", s.progress.Rows)
	}
	if s.jobs.Revision < takeover {
		t.Errorf("the rows are as of %d, before the takeover at %d", s.jobs.Revision, takeover)
	}
	if _, err := p.asOf(t.Context(), takeover+1); err == nil {
		t.Error("rows older than the takeover are used")
	}
}
