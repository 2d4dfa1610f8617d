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
	domains   []types.FailureDomain
	heard     []stamp
	confirmed stamp
	table     stamp
	held      types.Version
	seen      types.Version
	behind    stamp
}

// stamp is a time that may be unset.
type stamp struct {
	at  time.Duration
	set bool
}

func (s *stamp) raise(at time.Duration) {
	if !s.set || at > s.at {
		s.at = at
		s.set = true
	}
}

// fresh reports whether the stamp is at most ConfirmWithin old.
func (s stamp) fresh(now time.Duration) bool {
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
	if c.held >= c.seen {
		c.seen = c.held
		c.behind = stamp{}
	}
	c.setDomains(cfg.DomainsOf(region))
}

func (c *Confirmer) setDomains(domains []types.FailureDomain) {
	heard := make([]stamp, len(domains))
	for i, name := range domains {
		if j := c.find(name); j >= 0 {
			heard[i] = c.heard[j]
		}
	}
	c.domains = domains
	c.heard = heard
}

func (c *Confirmer) find(name types.FailureDomain) int {
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
	c.confirmed.raise(at)
	if version <= c.seen {
		return
	}
	c.seen = version
	if c.held < version && !c.behind.set {
		c.behind.raise(at)
	}
}

// TableReached records an answer of the table.
func (c *Confirmer) TableReached(at time.Duration) {
	c.table.raise(at)
}

// PeerReached records a message from another process of a failure domain.
// Domains of other regions are ignored.
func (c *Confirmer) PeerReached(at time.Duration, domain types.FailureDomain) {
	if i := c.find(domain); i >= 0 {
		c.heard[i].raise(at)
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
	for _, s := range c.heard {
		if s.fresh(now) {
			n++
		}
	}
	return 2*n > len(c.heard)
}

// Held returns the version in effect in this process, 0 for none.
func (c *Confirmer) Held() types.Version {
	return c.held
}

// Behind returns how long the process has known a higher version than it
// holds, and that version. It returns 0, 0 when the process is up to date.
func (c *Confirmer) Behind(now time.Duration) (time.Duration, types.Version) {
	if !c.behind.set {
		return 0, 0
	}
	return now - c.behind.at, c.seen
}
