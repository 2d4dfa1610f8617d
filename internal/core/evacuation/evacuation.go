package evacuation

import (
	"maps"
	"slices"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Request is a request to evacuate a failure domain.
type Request struct {
	Domain types.FailureDomain
	// Revision is the revision of the table at which the request was written.
	Revision uint64
}

// Snapshot holds all requests that exist at a revision of the table. Requests may be
// newer than the revision, but not older.
type Snapshot struct {
	Requests []Request
	Revision uint64
}

// Delta names the failure domains whose state an input has changed, in order.
type Delta struct {
	Added, Removed []types.FailureDomain
}

// Empty reports whether nothing has changed.
func (d Delta) Empty() bool { return len(d.Added)+len(d.Removed) == 0 }

// state is the state of one failure domain as of a revision.
type state struct {
	revision  uint64
	evacuated bool
}

// Set is the set of evacuated failure domains. The zero value is an empty set. It is
// not safe for concurrent use.
type Set struct {
	states map[types.FailureDomain]state
	// floor is the highest revision of a snapshot. A domain without a state was not
	// evacuated at this revision.
	floor uint64
}

// ApplySnapshot merges a snapshot.
func (s *Set) ApplySnapshot(snapshot Snapshot) Delta {
	before := s.Domains()
	listed := make(map[types.FailureDomain]bool, len(snapshot.Requests))
	for _, r := range snapshot.Requests {
		listed[r.Domain] = true
		s.apply(r, true)
	}
	for domain, known := range s.states {
		// A request that is not listed was deleted, unless it was written after the
		// snapshot. The snapshot may have been read later than its revision says, so
		// the revision of the deletion is unknown; it is at least the snapshot's.
		if known.evacuated && !listed[domain] && known.revision <= snapshot.Revision {
			s.states[domain] = state{revision: snapshot.Revision}
		}
	}
	if snapshot.Revision > s.floor {
		s.floor = snapshot.Revision
		maps.DeleteFunc(s.states, func(_ types.FailureDomain, known state) bool {
			return !known.evacuated && known.revision <= s.floor
		})
	}
	return s.delta(before)
}

// ApplyChange merges one change: the request was written at its revision, or deleted.
func (s *Set) ApplyChange(r Request, deleted bool) Delta {
	before := s.Domains()
	s.apply(r, !deleted)
	return s.delta(before)
}

// apply sets the state of a domain if it is newer than the known one.
func (s *Set) apply(r Request, evacuated bool) {
	known, ok := s.states[r.Domain]
	if !ok {
		known.revision = s.floor
	}
	if r.Revision <= known.revision {
		return
	}
	if s.states == nil {
		s.states = make(map[types.FailureDomain]state)
	}
	s.states[r.Domain] = state{r.Revision, evacuated}
}

// delta compares the set with its earlier domains.
func (s *Set) delta(before []types.FailureDomain) Delta {
	after := s.Domains()
	var d Delta
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			d.Added = append(d.Added, domain)
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			d.Removed = append(d.Removed, domain)
		}
	}
	return d
}

// Domains returns the evacuated failure domains in order.
func (s *Set) Domains() []types.FailureDomain {
	var domains []types.FailureDomain
	for domain, known := range s.states {
		if known.evacuated {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}
