package routing

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// failureRateWeight is the weight of the latest result in the moving failure
// rate. With 0.1 the rate reflects roughly the last 20 results.
const failureRateWeight = 0.1

// health is the record of recent results and ejections of a member.
type health struct {
	consecutiveFailures int
	failureRate         float64
	samples             int
	// backoffSteps counts ejections and failed probes since the last reset.
	backoffSteps int
	probeAt      time.Duration
	probing      bool
	// readmittedAt is when the member was last readmitted.
	readmittedAt time.Duration
}

// recordSuccess records a successful request.
func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.addSample(0)
}

// recordFailure records a failed request.
func (h *health) recordFailure() {
	h.consecutiveFailures++
	h.addSample(1)
}

func (h *health) addSample(v float64) {
	h.failureRate += failureRateWeight * (v - h.failureRate)
	h.samples++
}

// shouldEject reports whether the results justify an ejection.
func (h *health) shouldEject(c *Config) bool {
	if h.consecutiveFailures >= c.FailuresToEject {
		return true
	}
	return h.samples >= c.FailureRateSamples && h.failureRate >= c.FailureRateToEject
}

// scheduleProbe counts an ejection or a failed probe, ends the current probe and
// sets the time of the next one with exponential backoff.
func (h *health) scheduleProbe(now time.Duration, c *Config) {
	wait := c.EjectionBase
	for range h.backoffSteps {
		wait = min(2*wait, c.EjectionMax)
	}
	h.backoffSteps++
	h.probing = false
	h.probeAt = now + wait
}

// maxEjected returns the maximum number of members of a service that may be
// ejected.
func (r *Router) maxEjected(s *service) int {
	return int(r.config.MaxEjectedShare * float64(s.size()))
}

// eject excludes a member from routing unless too many members are ejected.
func (r *Router) eject(now time.Duration, m *member) {
	routable := m.pool == poolLocal || m.pool == poolRemote || m.pool == poolEvacuated
	if !routable || len(m.service.ejected) >= r.maxEjected(m.service) {
		return
	}
	if now-m.health.readmittedAt >= r.config.EjectionReset {
		m.health.backoffSteps = 0
	}
	m.health.scheduleProbe(now, &r.config)
	m.move(poolEjected)
}

// readmit returns an ejected member to routing with a slow start.
func (r *Router) readmit(now time.Duration, m *member) {
	m.health.consecutiveFailures, m.health.failureRate, m.health.samples = 0, 0, 0
	m.health.probing = false
	m.health.readmittedAt = now
	m.slowStartAt = now
	m.move(r.poolFor(m))
}

// limitEjected readmits members in the order of their ejection until the ejected
// share is within its limit. The limit can be exceeded after members were removed.
func (r *Router) limitEjected(now time.Duration, s *service) {
	for len(s.ejected) > r.maxEjected(s) {
		r.readmit(now, s.ejected[0])
	}
}

// Probe identifies a member to be probed.
type Probe struct {
	VM          types.VMID
	Incarnation types.Incarnation
	Service     types.ServiceName
}

// Probes appends to due the ejected members whose probe is due. A member is
// returned only once until ProbeResult is called for it.
func (r *Router) Probes(now time.Duration, due []Probe) []Probe {
	for _, s := range r.ordered {
		for _, m := range s.ejected {
			if m.health.probing || now < m.health.probeAt {
				continue
			}
			m.health.probing = true
			due = append(due, Probe{VM: m.worker.vm, Incarnation: m.worker.incarnation, Service: s.name})
		}
	}
	return due
}

// ProbeResult handles the result of a probe. If ok is true, the member is
// readmitted with a slow start; otherwise its next probe is delayed further.
func (r *Router) ProbeResult(now time.Duration, p Probe, ok bool) {
	w, known := r.workers[p.VM]
	if !known || w.incarnation != p.Incarnation {
		return
	}
	m := w.member(p.Service)
	if m == nil || m.pool != poolEjected || !m.health.probing {
		return
	}
	if ok {
		r.readmit(now, m)
		return
	}
	m.health.scheduleProbe(now, &r.config)
}

// retryBudget is a token bucket to which first attempts add tokens.
type retryBudget struct {
	tokens float64
}

// RecordFirstAttempt adds RetryShare retries to the retry budget, up to
// RetryBurst.
func (r *Router) RecordFirstAttempt() {
	r.retries.tokens = min(r.config.RetryBurst, r.retries.tokens+r.config.RetryShare)
}

// TakeRetry takes one retry from the budget and reports whether one was
// available.
func (r *Router) TakeRetry() bool {
	if r.retries.tokens < 1 {
		return false
	}
	r.retries.tokens--
	return true
}
