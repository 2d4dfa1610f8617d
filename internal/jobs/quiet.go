package jobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// quietCheckInterval is the time between two checks whether a period is quiet.
	quietCheckInterval = 250 * time.Millisecond
	// silentWorkerAfter is the age of a worker's last report from which on it counts as
	// silent. With 74 VMs each is polled every 0.3 s, and a failed poll takes 0.7 s longer.
	silentWorkerAfter = 1500 * time.Millisecond
	// quietReleaseTimeout bounds the last batch and the release. If the release fails, the
	// lease expires.
	quietReleaseTimeout = releaseReserve
)

// Causes for which a handover in a quiet period ends without a release.
const (
	causeNoAnswer  handover.Cause = "no larger candidate has answered"
	causeNotQuiet  handover.Cause = "the period is no longer quiet"
	causeTableRead handover.Cause = "the reservation could not be read"
)

var (
	eventQuietHandover = telemetry.Define(570, logrus.InfoLevel, "handover in a quiet period begins",
		"This owner has few cores, and a larger entry has answered. It goes on as the owner until that entry has read the rows (561, 562); 543 follows, or 571. Fields: epoch, cores, larger (number of larger entries that were asked). No action.")
	eventQuietHandoverEnded = telemetry.Define(571, logrus.InfoLevel, "handover in a quiet period ended without a release",
		"This owner goes on, and tries again later. Fields: epoch, cause. If it repeats with the cause no candidate or no larger candidate has answered, check the larger entries and the internal network between entries.")
)

// activityLog holds what the term has observed of its work.
type activityLog struct {
	mu sync.Mutex
	// second is the begin of the current second; starts counts its starts, and previous
	// those of the second before.
	second           time.Duration
	starts, previous int
	lostAt           time.Duration
	// callTime is the duration of the last renewal of the lease.
	callTime time.Duration
}

// decided records the decisions of the core.
func (a *activityLog) decided(now time.Duration, decisions []workflow.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	for i := range decisions {
		switch decisions[i].Kind {
		case workflow.DecisionPlaced:
			a.starts++
		case workflow.DecisionVMLost:
			a.lostAt = now
		}
	}
}

func (a *activityLog) advance(now time.Duration) {
	switch {
	case now >= a.second+2*time.Second:
		a.second, a.previous, a.starts = now, 0, 0
	case now >= a.second+time.Second:
		a.second, a.previous, a.starts = a.second+time.Second, a.starts, 0
	}
}

// renewed records the duration of a renewal.
func (a *activityLog) renewed(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callTime = d
}

// state returns the larger of the starts of the current and the last second, when a worker
// was last lost, and the duration of the last renewal.
func (a *activityLog) state(now time.Duration) (starts int, lostAt, callTime time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	return max(a.starts, a.previous), a.lostAt, a.callTime
}

// situation returns what the term knows of its deployment, and false before the core
// exists.
func (t *term) situation() (handover.Situation, bool) {
	if !t.handover.spawned.Load() {
		return handover.Situation{}, false
	}
	now := clock.Now()
	var a workflow.Activity
	if err := t.coreActor.Do(func(o *workflow.Owner) { a = o.Activity(now, silentWorkerAfter) }); err != nil {
		return handover.Situation{}, false
	}
	starts, lostAt, callTime := t.activity.state(now)
	return handover.Situation{
		Cores: t.c.opts.Cores, VMs: a.VMs, Confirmed: t.ownershipConfirmed(now), Recovered: a.Recovered, Failed: t.contact().Failed,
		CallTime: callTime, Silent: a.Silent, LostAt: lostAt, Starts: float64(starts),
	}, true
}

// handOverWhenQuiet hands the ownership over to a larger candidate in a quiet period. It
// returns true if the lease was released, and false when a context ends. A handover that is
// announced when parent ends goes on as that of a stopping process.
func (t *term) handOverWhenQuiet(ctx, parent context.Context) bool {
	q := handover.NewQuiet(t.c.quiet, clock.Now())
	ticker := time.NewTicker(quietCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-parent.Done():
			return false
		case <-ctx.Done():
			return false
		}
		s, ok := t.situation()
		if !ok {
			continue
		}
		if larger := q.Next(clock.Now(), s, t.c.opts.Peers()); len(larger) > 0 {
			release, ok := t.tryQuietHandover(ctx, parent, q, larger)
			if ok {
				t.releaseTo(ctx, release, clock.Now()+quietReleaseTimeout)
				return true
			}
			if parent.Err() != nil || ctx.Err() != nil {
				return false
			}
			t.handover.attempted = true
			t.log.Log(eventQuietHandoverEnded, nil, telemetry.Fields{"cause": release.Cause})
			t.metrics.countQuietHandover("not_released")
			q.Failed(clock.Now())
		}
	}
}

// tryQuietHandover announces a handover and waits until a larger candidate is ready. If it
// returns false, the owner goes on, and the announcement is withdrawn unless parent has
// ended.
func (t *term) tryQuietHandover(ctx, parent context.Context, q *handover.Quiet, larger []handover.Peer) (handover.Release, bool) {
	if !t.anyAnswers(ctx, larger) {
		return handover.Release{Cause: causeNoAnswer}, false
	}
	if err := t.ignoreReservation(ctx); err != nil {
		return handover.Release{Cause: causeTableRead}, false
	}
	t.log.Log(eventQuietHandover, nil, telemetry.Fields{"cores": t.c.opts.Cores, "larger": len(larger)})
	t.metrics.countQuietHandover("begun")
	h := handover.NewOwner(handover.DefaultConfig(), t.epoch, clock.Now()+t.c.quiet.Timeout)
	t.handover.announce(handover.ReasonQuiet)
	release := handover.Release{Cause: causeTermEnded}
	for ctx.Err() == nil {
		if parent.Err() != nil {
			return release, false
		}
		var due bool
		if release, due = h.Next(clock.Now()); due {
			break
		}
		t.observeReservation(ctx, h, func(vm types.VMID) bool {
			return slices.ContainsFunc(q.Larger(t.c.opts.Peers()), func(p handover.Peer) bool { return p.VM == vm })
		})
		sleep(ctx, reservationPollInterval)
	}
	if release.Cause == handover.CauseReady {
		s, ok := t.situation()
		if ok && q.Allows(clock.Now(), s) {
			return release, true
		}
		release.Cause = causeNotQuiet
	}
	t.handover.announce("")
	return release, false
}

// ignoreReservation makes the owner ignore the reservation that is stored now: one of an
// earlier attempt in the term may still be there, and is of a candidate that does not
// prepare any more.
func (t *term) ignoreReservation(ctx context.Context) error {
	_, revision, err := t.c.readReservation(ctx)
	if err == nil {
		t.handover.reservedBefore = revision
	}
	return err
}

// anyAnswers reports whether one of the candidates is alive and can take over.
func (t *term) anyAnswers(ctx context.Context, candidates []handover.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, t.c.quiet.AskTimeout)
	defer cancel()
	answers := make(chan bool, len(candidates))
	for _, p := range candidates {
		go func() {
			_, err := t.c.opts.PeerClient.ReadLease(ctx, p.Address)
			answers <- err == nil
		}()
	}
	for range candidates {
		if <-answers {
			return true
		}
	}
	return false
}

// observeReservation passes the reservation on to the owner's side of a handover once the
// announcement is stored. A reservation that was there before the announcement counts as
// none, as does one of a candidate that is not accepted.
func (t *term) observeReservation(ctx context.Context, h *handover.Owner, accepted func(types.VMID) bool) {
	if !t.handover.stored.Load() {
		return
	}
	h.Announced(clock.Now())
	row, revision, err := t.c.readReservation(ctx)
	if err != nil {
		return
	}
	if revision <= t.handover.reservedBefore || !accepted(row.VM) {
		row, revision = handover.Reservation{}, 0
	}
	h.Observe(row, revision, clock.Now())
}
