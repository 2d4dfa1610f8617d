package workflow

import (
	"maps"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

const (
	// maxTicketWorkers limits the workers in a ticket request. The policy
	// service takes time for each.
	maxTicketWorkers = 30
	// ticketRetryInterval is the pause after a ticket request that got no
	// answer, or an answer without a usable worker.
	ticketRetryInterval = 500 * time.Millisecond
	// ticketMargin is subtracted from the validity of tickets, since a start
	// takes time to reach the worker.
	ticketMargin = 300 * time.Millisecond
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

// ticket permits one boot of a VM's worker to run the tasks of a step.
type ticket struct {
	value string
	boot  string
	until time.Duration
}

// tickets holds the tickets of a step and the state of its request to the
// policy service.
type tickets struct {
	// held maps VMs to their tickets.
	held map[types.VMID]ticket
	// pending: a request has been sent and has not been answered yet.
	pending bool
	// retryAt is the earliest time of the next request.
	retryAt time.Duration
	// nextWorker is the position among the candidate workers at which the next
	// request begins, usefulWorker that of the last request that brought tickets.
	nextWorker, usefulWorker int
	// named counts the workers in the pending request, asked those in all answered
	// requests since the step last had no ticket.
	named, asked int
}

// valid returns the unexpired ticket for the current boot of a VM's worker, or
// the empty string.
func (t *tickets) valid(now time.Duration, v *vm) string {
	held, ok := t.held[v.id]
	if !ok || held.boot != v.boot.ID || now >= held.until {
		return ""
	}
	return held.value
}

// dropExpired removes the expired tickets and reports whether there were any.
func (t *tickets) dropExpired(now time.Duration) bool {
	before := len(t.held)
	maps.DeleteFunc(t.held, func(_ types.VMID, held ticket) bool { return now >= held.until })
	return len(t.held) < before
}

// requestTickets adds a ticket request for a waiting step, unless a VM with a valid
// ticket has room for one of its tasks. A request names only some of the candidate
// workers. The next one names others, until all have been named: the policy may allow
// only workers that are full or gone among those named first.
func (o *Owner) requestTickets(s *step) {
	if s.tickets.pending || o.now < s.tickets.retryAt {
		return
	}
	service := o.queueOf(s.job).Service
	var ids []string
	held := false
	for _, v := range o.vmOrder {
		if v.upstream.Service != service || !o.usable(v) || v.quarantined && !o.probeFree(v) || v.boot.ID == "" {
			continue
		}
		if s.tickets.valid(o.now, v) != "" {
			if v.hasRoom(s) {
				return
			}
			held = true
		}
		if s.spec.Label == "" || v.hasLabel(s.spec.Label) {
			ids = append(ids, v.boot.ID)
		}
	}
	if !held {
		s.tickets.asked = 0
		if s.tickets.dropExpired(o.now) {
			s.tickets.nextWorker = s.tickets.usefulWorker
		}
	}
	if len(ids) == 0 || s.tickets.asked >= len(ids) {
		return
	}
	s.tickets.pending = true
	s.tickets.named = min(len(ids), maxTicketWorkers)
	s.tickets.nextWorker %= len(ids)
	workers := slices.Concat(ids[s.tickets.nextWorker:], ids[:s.tickets.nextWorker])[:s.tickets.named]
	key := TaskKey{Job: s.job.spec.ID, Occurrence: s.occurrence.number, Step: s.index}
	o.ticketRequests = append(o.ticketRequests, TicketRequest{Step: key, Workers: workers})
}

// Advised applies the answer to a ticket request. r.Tickets is nil if the
// policy service did not answer.
func (o *Owner) Advised(now time.Duration, r TicketResponse) {
	o.now = now
	t := o.findTask(r.Step)
	if t == nil {
		return
	}
	held := &t.step.tickets
	held.pending = false
	held.retryAt = now + ticketRetryInterval
	if held.held == nil {
		held.held = make(map[types.VMID]ticket)
	}
	for _, v := range o.vmOrder {
		if value, ok := r.Tickets[v.boot.ID]; ok && v.boot.ID != "" {
			held.held[v.id] = ticket{value: value, boot: v.boot.ID, until: now + r.Valid - ticketMargin}
			held.usefulWorker = held.nextWorker
		}
	}
	if r.Tickets != nil {
		held.nextWorker += held.named
		held.asked += held.named
	}
	o.placeDue = true
}
