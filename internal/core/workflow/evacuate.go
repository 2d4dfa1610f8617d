package workflow

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Evacuated failure domains. The operator evacuates a failure domain before it is taken
// out of service. Its VMs get no task that is not there yet: no start, no probe, no
// background run and no move. What runs there continues, at any pace, and starts
// elsewhere only if it ends or is stopped for another reason.

// evacuations holds the evacuated failure domains.
type evacuations struct {
	domains []types.FailureDomain
	// unapplied holds those that no placement pass has taken into account yet.
	unapplied []types.FailureDomain
}

// EvacuationState describes an evacuated failure domain in a Decision.
type EvacuationState struct {
	Domain types.FailureDomain
	// VMs counts the known VMs of the domain, Tasks the live tasks there.
	VMs, Tasks int
}

// SetEvacuated replaces the set of evacuated failure domains.
func (o *Owner) SetEvacuated(now time.Duration, domains []types.FailureDomain) {
	o.now = now
	e := &o.evacuations
	before := e.domains
	e.domains = slices.Clone(domains)
	for _, v := range o.vmOrder {
		v.evacuated = slices.Contains(e.domains, v.domain)
	}
	for _, d := range e.domains {
		if !slices.Contains(before, d) {
			e.unapplied = append(e.unapplied, d)
			o.recordEvacuation(DecisionEvacuationBegun, d)
			o.placeDue = true
		}
	}
	for _, d := range before {
		if !slices.Contains(e.domains, d) {
			e.unapplied = slices.DeleteFunc(e.unapplied, func(u types.FailureDomain) bool { return u == d })
			o.recordEvacuation(DecisionEvacuationEnded, d)
			o.placeDue = true
		}
	}
}

// SetFailureDomain sets the failure domain of a known VM.
func (o *Owner) SetFailureDomain(id types.VMID, domain types.FailureDomain) {
	v := o.vms[id]
	if v == nil {
		return
	}
	v.domain = domain
	v.evacuated = slices.Contains(o.evacuations.domains, domain)
	o.placeDue = true
}

// mayTake reports whether a VM may be chosen for a task. For a task that runs, the
// choice decides whether it moves, so its own VM stays a candidate: it must not move
// only because its failure domain is evacuated.
func (o *Owner) mayTake(t *task, v *vm) bool {
	return o.usable(v) || v.evacuated && t.vm == v && t.phase == phaseRunning && o.operational(v)
}

// EvacuatedDomains returns the number of evacuated failure domains.
func (o *Owner) EvacuatedDomains() int { return len(o.evacuations.domains) }

// EvacuatedVMs returns the number of known VMs in evacuated failure domains.
func (o *Owner) EvacuatedVMs() int {
	n := 0
	if o.EvacuatedDomains() == 0 {
		return n // called for each input of the owner
	}
	for _, v := range o.vmOrder {
		if v.evacuated {
			n++
		}
	}
	return n
}

// confirmEvacuations records the evacuations that the placement pass which has just
// ended was the first to apply. A domain without VMs may be a misspelt one.
func (o *Owner) confirmEvacuations() {
	for _, d := range o.evacuations.unapplied {
		kind := DecisionEvacuationApplied
		if !slices.ContainsFunc(o.vmOrder, func(v *vm) bool { return v.domain == d }) {
			kind = DecisionEvacuationUnknown
		}
		o.recordEvacuation(kind, d)
	}
	o.evacuations.unapplied = nil
}

func (o *Owner) recordEvacuation(kind DecisionKind, domain types.FailureDomain) {
	s := &EvacuationState{Domain: domain}
	for _, v := range o.vmOrder {
		if v.domain == domain {
			s.VMs++
			s.Tasks += len(v.tasks)
		}
	}
	o.recordDecision(Decision{Kind: kind, Evacuation: s})
}

// evacuatedReason returns why an evacuated VM takes no new tasks.
func (v *vm) evacuatedReason() string {
	return fmt.Sprintf("failure domain %s is evacuated", v.domain)
}

// evacuationNote names the evacuated failure domains with VMs that meet the
// requirements of a task; it is empty if there are none.
func (o *Owner) evacuationNote(t *task) string {
	service := o.queueOf(t.step.job).Service
	var names []string
	for _, v := range o.vmOrder {
		if v.evacuated && v.upstream.Service == service && o.mismatch(t, v) == "" && !slices.Contains(names, string(v.domain)) {
			names = append(names, string(v.domain))
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return "; evacuated failure domains: " + strings.Join(names, ", ")
}
