package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/standin"
)

// The fleet of the test and its schedule.
const (
	fleetOwners   = 32
	fleetEntries  = 4
	outageStart   = 4 * time.Minute
	outageEnd     = 14 * time.Minute
	fleetEnd      = 24 * time.Minute
	steadyFrom    = 2 * time.Minute // the rate estimates have settled
	patience      = 20 * time.Second
	leasePeriod   = 2 * time.Second
	leaseDeadline = 10 * time.Second // for the first renewal after the outage
)

// meter counts all calls to a table by second.
type meter struct {
	*standin.FaultyTable
	start time.Time

	mu    sync.Mutex
	calls []int
}

func (m *meter) count() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[int(time.Since(m.start)/time.Second)]++
}

func (m *meter) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	m.count()
	return m.FaultyTable.Commit(ctx, txn)
}

func (m *meter) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	m.count()
	return m.FaultyTable.Get(ctx, keys...)
}

// between returns mean and maximum of the calls in a second.
func (m *meter) between(from, to time.Duration) (mean float64, most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, n := range m.calls[int(from/time.Second):int(to/time.Second)] {
		sum += n
		most = max(most, n)
	}
	return float64(sum) / (to - from).Seconds(), most
}

// member runs one process of the fleet: leases, and work that arrives at
// random whether the table is up or not and is repeated until it is done.
type member struct {
	store *Store
	name  string
	rng   *rand.Rand
	until context.Context
	wg    *sync.WaitGroup

	mu       sync.Mutex
	backlog  int
	renewals []time.Time
}

func (m *member) every(mean time.Duration, do func(i int)) {
	rng := rand.New(rand.NewPCG(m.rng.Uint64(), 3))
	m.wg.Go(func() {
		for i := 0; m.until.Err() == nil; i++ {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(mean)))
			do(i)
		}
	})
}

// work commits a new row however often it takes, as an impatient caller does.
func (m *member) work(class Class, i int) {
	m.wg.Go(func() {
		m.add(1)
		defer m.add(-1)
		for m.until.Err() == nil {
			ctx, cancel := context.WithTimeout(m.until, patience)
			_, err := m.store.Commit(ctx, class, create(fmt.Sprintf("%s/%v/%d", m.name, class, i), ""))
			cancel()
			if err == nil {
				return
			}
			if class == Claim {
				return // refused, and the caller went away
			}
		}
	})
}

func (m *member) add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backlog += n
}

func (m *member) renew() {
	m.wg.Go(func() {
		time.Sleep(time.Duration(m.rng.Float64() * float64(leasePeriod)))
		for m.until.Err() == nil {
			ctx, cancel := context.WithTimeout(m.until, leasePeriod)
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

// runFleet runs the fleet through the outage and returns the meter and the
// members.
func runFleet(seed uint64, noPacing bool) (*meter, []*member) {
	faults := standin.NewInjector(seed, nil)
	normal := standin.Faults{Delay: 5 * time.Millisecond}
	faults.Set(normal)
	table := &meter{FaultyTable: standin.NewFaultyTable(standin.NewTable(), faults),
		start: time.Now(), calls: make([]int, int(fleetEnd/time.Second)+100)}
	until, cancel := context.WithTimeout(context.Background(), fleetEnd)
	defer cancel()
	var wg sync.WaitGroup
	var members []*member
	for n := range fleetOwners + fleetEntries {
		opts := testOptions(fmt.Sprint("p", n), seed*100+uint64(n))
		opts.Limits, opts.noPacing = OwnerLimits(), noPacing
		if n >= fleetOwners {
			opts.Limits = EntryLimits()
		}
		m := &member{store: New(table, opts), name: opts.Name, until: until, wg: &wg,
			rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		members = append(members, m)
		if n < fleetOwners {
			m.renew()
			m.every(time.Second, func(i int) { m.work(Placement, i) })
			m.every(10*time.Second, func(i int) { m.work(Report, i) })
			continue
		}
		m.every(100*time.Millisecond, func(i int) { m.work(Claim, i) })
		m.every(time.Second, func(int) { _, _ = m.store.Get(until, Report, "config/head") })
	}
	time.Sleep(outageStart)
	faults.Set(standin.Faults{Down: true})
	time.Sleep(outageEnd - outageStart)
	faults.Set(normal)
	wg.Wait()
	return table, members
}

// Guards against a fleet that returns from an outage with more than twice its
// steady rate, or that pays for this with leases renewed late or a backlog
// that does not shrink.
func TestFleetAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, members := runFleet(1, false)
		mean, steadyMax := table.between(steadyFrom, outageStart)
		downMean, downMax := table.between(outageStart+time.Minute, outageEnd)
		afterMean, afterMax := table.between(outageEnd, fleetEnd)
		t.Logf("calls per second: steady mean %.1f max %d, outage mean %.1f max %d, after mean %.1f max %d",
			mean, steadyMax, downMean, downMax, afterMean, afterMax)
		if float64(afterMax) > 2*mean {
			t.Errorf("%d calls in a second after the outage, over twice the steady mean of %.1f", afterMax, mean)
		}
		if afterMean < 1.2*mean {
			t.Errorf("mean after the outage is %.1f: the backlog does not shrink", afterMean)
		}
		back := table.start.Add(outageEnd)
		for _, m := range members[:fleetOwners] {
			first := time.Duration(1 << 62)
			for _, r := range m.renewals {
				if r.After(back) {
					first = min(first, r.Sub(back))
				}
			}
			if first > leaseDeadline {
				t.Errorf("%s renewed its lease %v after the outage", m.name, first)
			}
		}
	})
}

// Guards against a fleet test that cannot fail: without pacing the same fleet
// has to exceed twice its steady rate.
func TestFleetExceedsRateWithoutPacing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := runFleet(1, true)
		mean, _ := table.between(steadyFrom, outageStart)
		_, after := table.between(outageEnd, fleetEnd)
		t.Logf("calls per second: steady mean %.1f, after max %d", mean, after)
		if float64(after) <= 2*mean {
			t.Errorf("%d calls in a second without pacing; the test proves nothing", after)
		}
	})
}
