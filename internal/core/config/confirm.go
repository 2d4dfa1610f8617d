package config

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// ConfirmWithin is how long a confirmation or a contact counts. With 1 s
// between reads of the head row and 2 s between lease renewals it tolerates
// one lost exchange, and it keeps new work off a stale configuration well
// within the 7 s in which a change must take effect.
const ConfirmWithin = 5 * time.Second

// Confirmer decides whether a process may take new work on the configuration
// that it holds. Times are on one monotonic clock of the process. A process
// may take new work if it holds a configuration and within ConfirmWithin has
// confirmed a version, reached the table, or heard from processes in a
// majority of the failure domains of its region. Its own failure domain counts
// only through another process there: two majorities that meet only in a
// domain whose processes cannot reach each other would share no version.
type Confirmer struct {
	domains     []types.FailureDomain
	lastHeard   []optionalTime
	confirmed   optionalTime
	table       optionalTime
	held        types.Version
	highestSeen types.Version
	behindSince optionalTime
}

// optionalTime is a time that may be unset.
type optionalTime struct {
	at  time.Duration
	set bool
}

func (s *optionalTime) advanceTo(at time.Duration) {
	if !s.set || at > s.at {
		s.at = at
		s.set = true
	}
}

// fresh reports whether the time is at most ConfirmWithin old.
func (s optionalTime) fresh(now time.Duration) bool {
	return s.set && now-s.at <= ConfirmWithin
}

// Basis says what a verdict rests on.
type Basis uint8

// Bases of a verdict.
const (
	// BasisNone: cut off, no new work.
	BasisNone Basis = iota
	// BasisNoConfiguration: no configuration is held yet, no new work.
	BasisNoConfiguration
	// BasisConfirmed: a version was confirmed.
	BasisConfirmed
	// BasisTable: the table was reached.
	BasisTable
	// BasisMajority: a majority of the failure domains was heard.
	BasisMajority
)

// String returns the basis as written in logs.
func (b Basis) String() string {
	switch b {
	case BasisNoConfiguration:
		return "no-configuration"
	case BasisConfirmed:
		return "confirmed"
	case BasisTable:
		return "table"
	case BasisMajority:
		return "majority"
	default:
		return "cut-off"
	}
}

// Verdict is the answer of a Confirmer.
type Verdict struct {
	MayTakeNew bool
	Basis      Basis
}

// NewConfirmer returns the state of a process that holds no configuration and
// has heard from nobody.
func NewConfirmer() *Confirmer {
	return &Confirmer{}
}

// Hold records that cfg is in effect in this process. The failure domains of
// region replace those of the configuration held before.
func (c *Confirmer) Hold(cfg *Config, region types.Region) {
	if cfg.version < c.held {
		return
	}
	c.held = cfg.version
	if c.held >= c.highestSeen {
		c.highestSeen = c.held
		c.behindSince = optionalTime{}
	}
	c.setDomains(cfg.DomainsOf(region))
}

func (c *Confirmer) setDomains(domains []types.FailureDomain) {
	lastHeard := make([]optionalTime, len(domains))
	for i, name := range domains {
		if j := c.domainIndex(name); j >= 0 {
			lastHeard[i] = c.lastHeard[j]
		}
	}
	c.domains = domains
	c.lastHeard = lastHeard
}

func (c *Confirmer) domainIndex(name types.FailureDomain) int {
	for i, d := range c.domains {
		if d == name {
			return i
		}
	}
	return -1
}

// Confirmed records that version was the accepted one at a time: the head row
// read at that time, or a message about such a read.
func (c *Confirmer) Confirmed(at time.Duration, version types.Version) {
	c.confirmed.advanceTo(at)
	if version <= c.highestSeen {
		return
	}
	c.highestSeen = version
	if c.held < version && !c.behindSince.set {
		c.behindSince.advanceTo(at)
	}
}

// TableReached records an answer of the table.
func (c *Confirmer) TableReached(at time.Duration) {
	c.table.advanceTo(at)
}

// PeerReached records a message from another process of a failure domain.
// Domains of other regions are ignored.
func (c *Confirmer) PeerReached(at time.Duration, domain types.FailureDomain) {
	if i := c.domainIndex(domain); i >= 0 {
		c.lastHeard[i].advanceTo(at)
	}
}

// MayTakeNew returns whether new work may be taken at a time, and why.
func (c *Confirmer) MayTakeNew(now time.Duration) Verdict {
	switch {
	case c.held == 0:
		return Verdict{Basis: BasisNoConfiguration}
	case c.confirmed.fresh(now):
		return Verdict{MayTakeNew: true, Basis: BasisConfirmed}
	case c.table.fresh(now):
		return Verdict{MayTakeNew: true, Basis: BasisTable}
	case c.majority(now):
		return Verdict{MayTakeNew: true, Basis: BasisMajority}
	default:
		return Verdict{Basis: BasisNone}
	}
}

func (c *Confirmer) majority(now time.Duration) bool {
	n := 0
	for _, s := range c.lastHeard {
		if s.fresh(now) {
			n++
		}
	}
	return 2*n > len(c.lastHeard)
}

// Held returns the version in effect in this process, 0 for none.
func (c *Confirmer) Held() types.Version {
	return c.held
}

// Behind returns how long the process has known a higher version than it
// holds, and that version. It returns 0, 0 when the process is up to date.
func (c *Confirmer) Behind(now time.Duration) (time.Duration, types.Version) {
	if !c.behindSince.set {
		return 0, 0
	}
	return now - c.behindSince.at, c.highestSeen
}
