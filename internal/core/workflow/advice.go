package workflow

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// maxTicketWorkers limits the workers in a ticket request. The policy
	// service takes time for each.
	maxTicketWorkers = 30
	// ticketRetryInterval is the pause after a ticket request that got no usable
	// answer, and after a worker has rejected a ticket.
	ticketRetryInterval = 500 * time.Millisecond
	// ticketMargin is subtracted from the validity of tickets, since a start
	// takes time to reach the worker. It is at most half of the validity.
	ticketMargin = 300 * time.Millisecond
	// maxPolicyCalls is the number of calls to the policy service in progress. It serves
	// one at a time for each calling machine, so a second one suffices to keep it busy.
	// Calls beyond that would wait there until their callers give up, and the service
	// still takes its time for each.
	maxPolicyCalls = 2
	// latePolicyCall is the time after which a call is not counted by maxPolicyCalls: its
	// response may have been lost. maxLatePolicyCalls bounds all calls in progress, since
	// a slow service still has these to serve.
	latePolicyCall     = 3 * time.Second
	maxLatePolicyCalls = 4
	// refusalLifetime is how long a worker to which the policy service gave no
	// ticket is not named again. The policy does not change, but the service may
	// not have known the worker yet.
	refusalLifetime = 30 * time.Second
)

// TicketRequest asks the policy service for tickets: which workers may run a
// step.
type TicketRequest struct {
	// Step identifies the step; its Index is 0.
	Step TaskKey
	// Workers holds the boot IDs of the candidate workers.
	Workers []string
}

// TicketResponse is the answer to a TicketRequest.
type TicketResponse struct {
	Step TaskKey
	// Tickets maps the boot ID of each worker that may run the step to its
	// ticket.
	Tickets map[string]string
	// Valid is how long the tickets may be used, counted from the call of
	// Advised.
	Valid time.Duration
}

// ticket is the last answer of the policy service about one boot of a VM's worker.
type ticket struct {
	boot Boot
	// value permits the boot to run the tasks of the step; it is empty if the policy
	// does not allow that.
	value string
	// until is the time from which the answer is no longer used.
	until time.Duration
}

// tickets holds the tickets of a step and the state of its request to the
// policy service.
type tickets struct {
	// answers maps VMs to the last answer about their workers.
	answers map[types.VMID]ticket
	// pending holds the boots named in the request that has not been answered yet;
	// nil if there is none.
	pending map[types.VMID]Boot
	// retryAt is the earliest time of the next request.
	retryAt time.Duration
	// neededSince is the time since which a request is wanted; 0 if none is.
	neededSince time.Duration
}

// policyCalls holds the calls to the policy service in progress.
type policyCalls struct {
	// began maps the steps of the requests to the times when these were returned.
	began map[TaskKey]time.Duration
	// requests counts all requests.
	requests int
}

// free reports whether one more call may be made.
func (c *policyCalls) free(now time.Duration) bool {
	recent := 0
	for _, began := range c.began {
		if now < began+latePolicyCall {
			recent++
		}
	}
	return recent < maxPolicyCalls && len(c.began) < maxLatePolicyCalls
}

// begin records a request for a step.
func (c *policyCalls) begin(now time.Duration, step TaskKey) {
	if c.began == nil {
		c.began = make(map[TaskKey]time.Duration)
	}
	c.began[step] = now
	c.requests++
}

// answer returns the answer about the current boot of a VM's worker, and false if
// there is none that can still be used.
func (t *tickets) answer(now time.Duration, v *vm) (ticket, bool) {
	a, ok := t.answers[v.id]
	return a, ok && a.boot == v.boot && now < a.until
}

// valid returns the unexpired ticket for the current boot of a VM's worker, or
// the empty string.
func (t *tickets) valid(now time.Duration, v *vm) string {
	a, ok := t.answer(now, v)
	if !ok {
		return ""
	}
	return a.value
}

// refused reports whether the last answer about the current boot of a VM's worker,
// however old, was that it may not run the step.
func (t *tickets) refused(v *vm) bool {
	a, ok := t.answers[v.id]
	return ok && a.boot == v.boot && a.value == ""
}

// reject drops the ticket of a VM whose worker has rejected it.
func (t *tickets) reject(now time.Duration, v *vm) {
	delete(t.answers, v.id)
	t.retryAt = now + ticketRetryInterval
}

// ticketRank orders the workers in a ticket request; lower ranks are named first.
type ticketRank int

const (
	// rankRoom is a worker with room for a task, rankNoRoom one that may take a task
	// later, and rankRefused one to which the service gave no ticket some time ago.
	rankRoom ticketRank = iota
	rankNoRoom
	rankRefused
)

// requestTickets adds ticket requests for steps, in the order of placement, of which
// tasks still wait, or run in the background, after a placement pass. Placement alone
// decides whether the tickets at hand suffice, so a ticket that the waiting tasks cannot
// use never keeps others from being requested. While the calls in progress allow fewer
// requests than are wanted, every second one is for the step that has waited longest, so
// that steps which come first, and renew their tickets, do not keep the others from theirs.
func (o *Owner) requestTickets(steps []*step) {
	steps = slices.DeleteFunc(steps, func(s *step) bool { return !o.needsTickets(s) })
	for _, s := range steps {
		if s.tickets.neededSince == 0 {
			s.tickets.neededSince = o.now
		}
	}
	for len(steps) > 0 && o.policyCalls.free(o.now) {
		i := 0
		if o.policyCalls.requests%2 == 1 {
			for n, s := range steps {
				if s.tickets.neededSince < steps[i].tickets.neededSince {
					i = n
				}
			}
		}
		o.requestTicketsFor(steps[i])
		steps = slices.Delete(steps, i, i+1)
	}
}

// needsTickets reports whether a task of a step may use one more ticket now, and no
// request for the step is in progress.
func (o *Owner) needsTickets(s *step) bool {
	return s.tickets.pending == nil && o.now >= s.tickets.retryAt && o.ticketTask(s) != nil
}

// ticketTask returns the first task of a step that waits or runs in the background, or
// nil if there is none.
func (o *Owner) ticketTask(s *step) *task {
	i := slices.IndexFunc(s.tasks, func(t task) bool { return t.background || t.phase == phaseWaiting && o.now >= t.notBefore })
	if i < 0 {
		return nil
	}
	return &s.tasks[i]
}

// requestTicketsFor adds a ticket request for a step. It names the workers that could take
// one of the tasks but for a ticket, and about which there is no answer; without such
// workers there is no request.
func (o *Owner) requestTicketsFor(s *step) {
	t := o.ticketTask(s)
	s.tickets.neededSince = 0
	type candidate struct {
		vm    *vm
		rank  ticketRank
		score float64
	}
	var candidates []candidate
	for _, v := range o.vmOrder {
		if rank, ok := o.ticketRank(t, v); ok {
			candidates = append(candidates, candidate{v, rank, o.score(t, v)})
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.score, b.score))
	})
	candidates = candidates[:min(len(candidates), maxTicketWorkers)]
	request := TicketRequest{Step: TaskKey{Job: s.job.spec.ID, Occurrence: s.occurrence.number, Step: s.index}}
	s.tickets.pending = make(map[types.VMID]Boot, len(candidates))
	for _, c := range candidates {
		s.tickets.pending[c.vm.id] = c.vm.boot
		request.Workers = append(request.Workers, c.vm.boot.ID)
	}
	o.policyCalls.begin(o.now, request.Step)
	o.ticketRequests = append(o.ticketRequests, request)
}

// ticketRank returns the rank of a VM's worker in a ticket request for a waiting task,
// and false if the request need not name it.
func (o *Owner) ticketRank(t *task, v *vm) (ticketRank, bool) {
	s := t.step
	if v.upstream.Service != o.queueOf(s.job).Service || !o.usable(v) || v.quarantined && !o.probeFree(v) || v.boot.ID == "" || o.mismatch(t, v) != "" {
		return 0, false
	}
	_, answered := s.tickets.answer(o.now, v)
	switch {
	case answered:
		return 0, false
	case s.tickets.refused(v):
		return rankRefused, true
	case o.avoids(t, v), v.quarantined && !o.mayProbe(t, v), !v.hasRoom(s), s.spec.Fills && !o.mayFill(s.spec, v):
		return rankNoRoom, true
	default:
		return rankRoom, true
	}
}

// Advised applies the answer to a ticket request. r.Tickets is nil if the
// policy service did not answer. Each request must be followed by a call of Advised.
func (o *Owner) Advised(now time.Duration, r TicketResponse) {
	o.now = now
	delete(o.policyCalls.began, r.Step)
	o.placeDue = true // others may wait for their request
	t := o.findTask(r.Step)
	if t == nil {
		return
	}
	held := &t.step.tickets
	pending := held.pending
	held.pending = nil
	if r.Tickets == nil || r.Valid <= 0 {
		held.retryAt = now + ticketRetryInterval
		return
	}
	if held.answers == nil {
		held.answers = make(map[types.VMID]ticket)
	}
	for id, boot := range pending {
		a := ticket{boot: boot, value: r.Tickets[boot.ID], until: now + refusalLifetime}
		if a.value != "" {
			a.until = now + r.Valid - min(ticketMargin, r.Valid/2)
		}
		held.answers[id] = a
	}
}
