package jobs

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

var (
	eventEvacuationBegun = telemetry.Define(340, logrus.InfoLevel, "evacuation of a failure domain begins",
		"Logged by the owner, also by a new one after its takeover: from now on it starts nothing there. Fields: failure_domain; vms, the known VMs there; tasks, those known to run there, which continue. No action.")
	eventEvacuationEnded = telemetry.Define(341, logrus.InfoLevel, "evacuation of a failure domain ends",
		"The operator's row was deleted; the VMs take new tasks again. Fields: failure_domain, vms, tasks. No action.")
	eventEvacuationApplied = telemetry.Define(342, logrus.InfoLevel, "evacuation is in effect",
		"The first placement pass has left out the VMs of the failure domain. Fields: failure_domain, vms; tasks, those known to run there, of which a new owner learns with the workers' lists. Event 658 (debug) has the tasks of each VM. No action.")
	eventEvacuationUnknown = telemetry.Define(343, logrus.WarnLevel, "evacuated failure domain has no VM",
		"The evacuation applies to VMs that register later. If the name is misspelt, delete the operator's row and write one with the right name. Fields: failure_domain.")
	eventStartsWithheld = telemetry.Define(346, logrus.InfoLevel, "starts not sent",
		"The VM's failure domain was evacuated after the owner had decided on the starts, or this process was paused in between. The tasks are placed again. Fields: vm, failure_domain, starts, age in ms. No action; if the age is high and this repeats, give the process more CPU.")
)

// Timing of orders that wait in this process.
const (
	// evacuationReadTime is the time after which a process has read an acknowledged
	// evacuation: a call of the change feed that gets no answer (followWait and 0.7 s),
	// a backoff and a list.
	evacuationReadTime = 2 * time.Second
	// minOrderAge is the least age up to which starts are sent, however short the
	// bound: the owner's goroutines may run late by this time on a busy VM.
	minOrderAge = 250 * time.Millisecond
)

// maxOrderAge returns up to which age a start is sent, so that it reaches its worker
// within the bound of an evacuation that the owner had not read when it decided.
func maxOrderAge(bound time.Duration) time.Duration {
	return max(minOrderAge, bound-evacuationReadTime-ordersTimeout)
}

// NotifyEvacuated notifies the owner that the set of evacuated failure domains has
// changed.
func (c *Candidate) NotifyEvacuated() {
	select {
	case c.evacuationChanged <- struct{}{}:
	default:
	}
}

// evacuated returns the failure domains that are evacuated, as last read.
func (t *term) evacuated() []types.FailureDomain {
	if t.c.opts.Evacuated == nil {
		return nil
	}
	return t.c.opts.Evacuated()
}

func (t *term) setEvacuated(o *workflow.Owner) {
	o.SetEvacuated(clock.Now(), t.evacuated())
}

// readOperatorRows reads the operator's rows, and retries until it succeeds or the
// context ends. A new owner may have followed them with a delay until now.
func (t *term) readOperatorRows(ctx context.Context) error {
	for t.c.opts.ReadOperatorRows != nil {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := t.c.opts.ReadOperatorRows(callCtx)
		cancel()
		if err == nil {
			break
		}
		sleep(ctx, jitter(recoverRetryDelay))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// withhold removes the starts that must not be sent any more from orders that the core
// gave at the time decided. It returns the orders to send, and the results of the others.
func (l *link) withhold(orders []workflow.Order, decided time.Duration) ([]workflow.Order, []workflow.OrderResult) {
	age := clock.Now() - decided
	evacuated := slices.Contains(l.t.evacuated(), l.row.FailureDomain)
	if !evacuated && age <= maxOrderAge(l.t.c.opts.Timing.EvacuationBound) {
		return orders, nil
	}
	var send []workflow.Order
	var withheld []workflow.OrderResult
	for i := range orders {
		if orders[i].Kind == workflow.OrderStart {
			withheld = append(withheld, workflow.OrderResult{Order: orders[i], Result: workflow.ResultRefused})
		} else {
			send = append(send, orders[i])
		}
	}
	if len(withheld) > 0 {
		l.t.log.Log(eventStartsWithheld, nil, telemetry.Fields{
			"vm": l.vm, "failure_domain": l.row.FailureDomain, "starts": len(withheld), "age": age.Milliseconds(),
		})
	}
	return send, withheld
}
