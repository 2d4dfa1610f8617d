package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// Size of the simulated fleet, which is smaller than the 36 owners that
// OwnerLimits allows for, and the schedule of the test.
const (
	fleetOwners   = 32
	fleetEntries  = 4
	outageStart   = 4 * time.Minute
	longOutage    = 10 * time.Minute
	recovery      = 5 * time.Minute
	steadyFrom    = 2 * time.Minute // by then the rate estimates have settled
	commitTimeout = 20 * time.Second
	maxWorkers    = 20 // per member and class
	leasePeriod   = 2 * time.Second
	leaseDeadline = 10 * time.Second // for the first renewal after the outage
)

// countingTable counts the calls to a table in each second.
type countingTable struct {
	*standin.FaultyTable
	start time.Time

	mu    sync.Mutex
	calls []int
}

func (m *countingTable) count() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[int(time.Since(m.start)/time.Second)]++
}

func (m *countingTable) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	m.count()
	return m.FaultyTable.Commit(ctx, txn)
}

func (m *countingTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	m.count()
	return m.FaultyTable.Get(ctx, keys...)
}

// callRate returns the mean and the maximum number of calls per second.
func (m *countingTable) callRate(from, to time.Duration) (mean float64, maximum int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, n := range m.calls[int(from/time.Second):int(to/time.Second)] {
		sum += n
		maximum = max(maximum, n)
	}
	return float64(sum) / (to - from).Seconds(), maximum
}

// member simulates one process of the fleet. It renews a lease and processes
// work that arrives at random, also during the outage, and is retried until it
// is done.
type member struct {
	store  *Store
	name   string
	rng    *rand.Rand
	runCtx context.Context
	wg     *sync.WaitGroup

	mu       sync.Mutex
	backlog  [numClasses]int
	workers  [numClasses]int
	serial   atomic.Int64
	renewals []time.Time
}

func (m *member) repeatEvery(mean time.Duration, do func()) {
	rng := rand.New(rand.NewPCG(m.rng.Uint64(), 3))
	m.wg.Go(func() {
		for m.runCtx.Err() == nil {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(mean)))
			do()
		}
	})
}

// addWork adds a row to be written. Workers take the rows one by one and retry
// each until it is committed, as callers with short timeouts do. A claim that is
// refused is not retried.
func (m *member) addWork(class Class) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backlog[class]++
	if m.workers[class] < maxWorkers {
		m.workers[class]++
		m.wg.Go(func() { m.drain(class) })
	}
}

func (m *member) drain(class Class) {
	for m.take(class) {
		key := fmt.Sprintf("%s/%v/%d", m.name, class, m.serial.Add(1)%100)
		txn := platform.Txn{Writes: []platform.Write{{Key: key}}}
		for m.runCtx.Err() == nil {
			ctx, cancel := context.WithTimeout(m.runCtx, commitTimeout)
			_, err := m.store.Commit(ctx, class, txn)
			cancel()
			if err == nil || class == Claim {
				break
			}
		}
	}
}

// take takes a row from the backlog. If it returns false, the worker ends.
func (m *member) take(class Class) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.backlog[class] == 0 || m.runCtx.Err() != nil {
		m.workers[class]--
		return false
	}
	m.backlog[class]--
	return true
}

func (m *member) startRenewals() {
	first := time.Duration(m.rng.Float64() * float64(leasePeriod))
	m.wg.Go(func() {
		time.Sleep(first)
		for m.runCtx.Err() == nil {
			ctx, cancel := context.WithTimeout(m.runCtx, leasePeriod)
			_, err := m.store.Commit(ctx, Lease, platform.Txn{Writes: []platform.Write{{Key: "lease/" + m.name}}})
			if err == nil {
				m.mu.Lock()
				m.renewals = append(m.renewals, time.Now())
				m.mu.Unlock()
			}
			<-ctx.Done()
			cancel()
		}
	})
}

// runFleet runs the fleet before, during and after the outage, and returns the
// table and the members.
func runFleet(seed uint64, outage time.Duration, noPacing bool) (*countingTable, []*member) {
	fleetEnd := outageStart + outage + recovery
	faults := standin.NewInjector(seed, nil)
	normal := standin.Faults{Delay: 5 * time.Millisecond}
	faults.Set(normal)
	table := &countingTable{FaultyTable: standin.NewFaultyTable(standin.NewTable(), faults),
		start: time.Now(), calls: make([]int, int(fleetEnd/time.Second)+100)}
	runCtx, cancel := context.WithTimeout(context.Background(), fleetEnd)
	defer cancel()
	var wg sync.WaitGroup
	var members []*member
	for n := range fleetOwners + fleetEntries {
		opts := testOptions(fmt.Sprint("p", n), seed*100+uint64(n))
		opts.Limits, opts.noPacing = OwnerLimits(), noPacing
		if n >= fleetOwners {
			opts.Limits = EntryLimits()
		}
		m := &member{store: New(table, opts), name: opts.Name, runCtx: runCtx, wg: &wg,
			rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		members = append(members, m)
		if n < fleetOwners {
			m.startRenewals()
			m.repeatEvery(time.Second, func() { m.addWork(Placement) })
			m.repeatEvery(10*time.Second, func() { m.addWork(Report) })
			continue
		}
		m.repeatEvery(100*time.Millisecond, func() { m.addWork(Claim) })
		m.repeatEvery(time.Second, func() { _, _ = m.store.Get(runCtx, Report, "config/head") })
	}
	time.Sleep(outageStart)
	faults.Set(standin.Faults{Down: true})
	time.Sleep(outage)
	faults.Set(normal)
	wg.Wait()
	return table, members
}

// Guards against a fleet that exceeds twice its steady rate after an outage, and
// against pacing so strict that leases are renewed late or the backlog does not
// shrink.
func TestFleetAfterOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		table, members := runFleet(1, longOutage, false)
		outageEnd := outageStart + longOutage
		mean, steadyMax := table.callRate(steadyFrom, outageStart)
		downMean, downMax := table.callRate(outageStart+time.Minute, outageEnd)
		afterMean, afterMax := table.callRate(outageEnd, outageEnd+recovery)
		t.Logf("calls per second: steady mean %.1f max %d, outage mean %.1f max %d, after mean %.1f max %d",
			mean, steadyMax, downMean, downMax, afterMean, afterMax)
		if float64(afterMax) > 2*mean {
			t.Errorf("%d calls in a second after the outage, over twice the steady mean of %.1f", afterMax, mean)
		}
		if afterMean < 1.2*mean {
			t.Errorf("mean after the outage is %.1f: the backlog does not shrink", afterMean)
		}
		outageEndTime := table.start.Add(outageEnd)
		for _, m := range members[:fleetOwners] {
			first := time.Duration(1 << 62)
			for _, r := range m.renewals {
				if r.After(outageEndTime) {
					first = min(first, r.Sub(outageEndTime))
				}
			}
			if first > leaseDeadline {
				t.Errorf("%s first renewed its lease %v after the end of the outage", m.name, first)
			}
		}
	})
}

// Guards against a fleet test that cannot fail: without pacing, the same fleet
// must exceed twice its steady rate.
func TestFleetExceedsRateWithoutPacing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		outage := 2 * time.Minute
		table, _ := runFleet(1, outage, true)
		mean, _ := table.callRate(steadyFrom, outageStart)
		_, after := table.callRate(outageStart+outage, outageStart+outage+recovery)
		t.Logf("calls per second: steady mean %.1f, after max %d", mean, after)
		if float64(after) <= 2*mean {
			t.Errorf("%d calls in a second without pacing; the fleet test cannot detect missing pacing", after)
		}
	})
}
