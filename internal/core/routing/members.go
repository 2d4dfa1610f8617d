package routing

import (
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// WorkerState is the state of one worker. The entry builds it from the member
// state fetched from the owner or relay of the worker's shard, and from the
// configuration.
type WorkerState struct {
	VM          types.VMID
	Incarnation types.Incarnation
	Domain      types.FailureDomain
	// Reading is a reading of the worker's clock, extrapolated by the sender of
	// the member state to the time of sending.
	Reading time.Duration
	// Slots and Connections are the limits of the VM.
	Slots       int
	Connections int
	// InUse is the number of slots in use on the VM. The entry leaves it 0, so
	// that Update clears the use by other entries until the next load report.
	InUse    int
	Draining bool
	Services []ServiceState
}

// ServiceState is the state of one service on one worker. The entry passes one
// ServiceState for each upstream on the VM; Update keeps only the last one of a
// service.
type ServiceState struct {
	Service     types.ServiceName
	Slots       int
	Connections int
	InUse       int
}

// load is a limit and its use, as reported by the worker and as counted at this
// entry.
type load struct {
	limit int
	// otherUse is the reported use by other entries.
	otherUse   int
	reportedAt time.Duration
	// ownUse is the number of requests in flight from this entry.
	ownUse int
}

// applyReport records a reported limit and use. All requests in flight from
// this entry are assumed to be part of inUse. If the worker had not received
// some of them yet, otherUse is too low; the worker then refuses requests, and
// markFull corrects the value.
func (l *load) applyReport(now time.Duration, limit, inUse int) {
	l.limit = limit
	l.otherUse = max(0, inUse-l.ownUse)
	l.reportedAt = now
}

// markFull records that the worker refused a request because no slot or
// connection was free. The load counts as full at now and as slightly less than
// full after that, because slots become free within the time of one request: the
// report's time is set to now minus FreshReportAge, so that its weight decreases
// from now on.
func (l *load) markFull(now time.Duration, c *Config) {
	l.applyReport(now-c.FreshReportAge, l.limit, l.limit)
}

// full reports whether there is no room for another request.
func (l *load) full(now time.Duration, c *Config) bool {
	return l.ownUse >= l.limit || l.used(now, c) >= float64(l.limit)
}

// used returns the own use plus the use by other entries, weighted by the age
// of the report.
func (l *load) used(now time.Duration, c *Config) float64 {
	if l.otherUse == 0 {
		return float64(l.ownUse)
	}
	return float64(l.ownUse) + float64(l.otherUse)*c.reportWeight(now-l.reportedAt)
}

// utilization returns the use after one more request, relative to the limit.
func (l *load) utilization(now time.Duration, c *Config) float64 {
	return (l.used(now, c) + 1) / float64(l.limit)
}

// reportWeight returns the weight of a report of the given age. It is 1 up to
// FreshReportAge and decreases linearly to 0 at StaleReportAge.
func (c *Config) reportWeight(age time.Duration) float64 {
	if age <= c.FreshReportAge {
		return 1
	}
	if age >= c.StaleReportAge {
		return 0
	}
	return float64(c.StaleReportAge-age) / float64(c.StaleReportAge-c.FreshReportAge)
}

// worker is the state of one worker incarnation.
type worker struct {
	vm          types.VMID
	incarnation types.Incarnation
	domain      types.FailureDomain
	reading     time.Duration
	readingAt   time.Duration
	draining    bool
	load        load
	members     []*member
}

// member is the state of one service on one worker.
type member struct {
	worker  *worker
	service *service
	load    load
	// slowStartAt is when the slow start of the member began.
	slowStartAt time.Duration
	health      health
	// pool is the pool that contains the member.
	pool pool
}

// pool identifies one of the sets of members of a service.
type pool uint8

const (
	poolNone pool = iota // draining or removed members
	poolLocal
	poolRemote
	poolEjected
	// poolEvacuated holds the members in evacuated failure domains.
	poolEvacuated
)

// service is the router's state of one service.
type service struct {
	name    types.ServiceName
	local   []*member
	remote  []*member
	ejected []*member
	// evacuated members get a request only if no other member has a free slot.
	evacuated []*member
	// inFlight is the number of requests in flight from this entry.
	inFlight int
	times    serviceTimes
	queue    itemHeap
	// skippedInCall is the value of Router.nextCall in the last call of Next
	// that found no free slot.
	skippedInCall uint64
}

// size returns the number of members that are not draining.
func (s *service) size() int {
	return len(s.local) + len(s.remote) + len(s.ejected) + len(s.evacuated)
}

// members returns the members in a pool.
func (s *service) members(p pool) *[]*member {
	switch p {
	case poolLocal:
		return &s.local
	case poolRemote:
		return &s.remote
	case poolEvacuated:
		return &s.evacuated
	default:
		return &s.ejected
	}
}

// move moves a member to another pool.
func (m *member) move(p pool) {
	if m.pool == p {
		return
	}
	if m.pool != poolNone {
		members := m.service.members(m.pool)
		i := slices.Index(*members, m)
		*members = slices.Delete(*members, i, i+1)
	}
	m.pool = p
	if p != poolNone {
		members := m.service.members(p)
		*members = append(*members, m)
	}
}

// poolFor returns the pool of a routable member.
func (r *Router) poolFor(m *member) pool {
	if slices.Contains(r.evacuated, m.worker.domain) {
		return poolEvacuated
	}
	if m.worker.domain == r.config.Domain {
		return poolLocal
	}
	return poolRemote
}

// SetEvacuated sets the evacuated failure domains. Requests in flight there go
// on.
func (r *Router) SetEvacuated(domains []types.FailureDomain) {
	if slices.Equal(r.evacuated, domains) {
		return
	}
	r.evacuated = slices.Clone(domains)
	for _, w := range r.workers {
		for _, m := range w.members {
			if m.pool != poolNone && m.pool != poolEjected {
				m.move(r.poolFor(m))
			}
		}
	}
}

// Update applies the state of a worker. A new incarnation replaces the previous
// one, whose requests in flight no longer count towards the load of the VM.
func (r *Router) Update(now time.Duration, state WorkerState) {
	w, known := r.workers[state.VM]
	if known && w.incarnation != state.Incarnation {
		r.Remove(now, state.VM)
		known = false
	}
	if !known {
		w = &worker{
			vm: state.VM, incarnation: state.Incarnation, domain: state.Domain,
			reading: state.Reading, readingAt: now,
		}
		r.workers[state.VM] = w
	}
	w.updateReading(now, state.Reading)
	w.draining = state.Draining
	w.load.applyReport(now, min(state.Slots, state.Connections), state.InUse)
	r.dropMembers(now, w, state.Services)
	for _, s := range state.Services {
		r.updateMember(now, w, s)
	}
}

// updateReading keeps the reading that gives the highest estimate of the
// worker's clock at now. Apart from clock drift, every reading is a lower bound
// of that clock, and a delayed or repeated reading would shorten the validity of
// offers. After maxReadingAge any higher reading is accepted, so that clock drift
// does not accumulate.
func (w *worker) updateReading(now, reading time.Duration) {
	age := now - w.readingAt
	tighter := reading >= w.reading+age
	if tighter || age > maxReadingAge && reading > w.reading {
		w.reading = reading
		w.readingAt = now
	}
}

// maxReadingAge is the age after which any higher reading replaces the kept
// one. With a clock drift of 0.1%, 5 s limit the error to 5 ms.
const maxReadingAge = 5 * time.Second

func (r *Router) updateMember(now time.Duration, w *worker, state ServiceState) {
	m := w.member(state.Service)
	if m == nil {
		m = &member{worker: w, service: r.service(state.Service), slowStartAt: now}
		w.members = append(w.members, m)
	}
	m.load.applyReport(now, min(state.Slots, state.Connections), state.InUse)
	switch {
	case w.draining:
		m.move(poolNone)
	case m.pool != poolEjected:
		m.move(r.poolFor(m))
	}
	r.limitEjected(now, m.service)
}

func (w *worker) member(name types.ServiceName) *member {
	for _, m := range w.members {
		if m.service.name == name {
			return m
		}
	}
	return nil
}

// dropMembers removes the members for services that the worker no longer has.
func (r *Router) dropMembers(now time.Duration, w *worker, states []ServiceState) {
	w.members = slices.DeleteFunc(w.members, func(m *member) bool {
		kept := slices.ContainsFunc(states, func(s ServiceState) bool { return s.Service == m.service.name })
		if !kept {
			m.move(poolNone)
			r.limitEjected(now, m.service)
		}
		return !kept
	})
}

// Remove removes a worker that is dead or has left.
func (r *Router) Remove(now time.Duration, vm types.VMID) {
	w, ok := r.workers[vm]
	if !ok {
		return
	}
	r.dropMembers(now, w, nil)
	delete(r.workers, vm)
}

// Report applies the load report of a response. It is ignored if the worker is
// unknown or has another incarnation.
func (r *Router) Report(now time.Duration, vm types.VMID, incarnation types.Incarnation, reading time.Duration, inUse int) {
	w, ok := r.workers[vm]
	if !ok || w.incarnation != incarnation {
		return
	}
	w.updateReading(now, reading)
	w.load.applyReport(now, w.load.limit, inUse)
}

// Drain stops sending new work to a worker at once, without waiting for its
// next digest.
func (r *Router) Drain(now time.Duration, vm types.VMID, incarnation types.Incarnation) {
	w, ok := r.workers[vm]
	if !ok || w.incarnation != incarnation {
		return
	}
	w.draining = true
	for _, m := range w.members {
		m.move(poolNone)
		r.limitEjected(now, m.service)
	}
}

// service returns the state of a service and creates it on first use.
func (r *Router) service(name types.ServiceName) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{name: name, times: newServiceTimes(r.config.ServiceTimeWindow)}
		r.services[name] = s
		r.ordered = append(r.ordered, s)
	}
	return s
}
