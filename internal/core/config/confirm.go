package config

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// ContactValidity is how long a confirmation or a contact remains valid. The head
// row, the table row with the accepted version, is read every second, and leases
// are renewed in the table every 2 s, so 5 s tolerates one lost exchange.
// ContactValidity also stops new work on a stale configuration within the 7 s in
// which a change must take effect.
const ContactValidity = 5 * time.Second

// Confirmer decides whether a process may take new work with the configuration
// that it holds. All times are readings of one monotonic clock of the process.
//
// A process may take new work if it holds a configuration and, within the last
// ContactValidity, has confirmed a version, reached the table, or received
// messages from processes in a majority of the failure domains of its region.
// Its own failure domain counts only if another process there sent a message.
// If a process counted its own domain without such a message, two majorities might
// have only that domain in common, and a partition inside it would keep a new
// version from one of them.
type Confirmer struct {
	domains   []types.FailureDomain
	lastHeard []optionalTime
	// confirmedAt is when a version was last confirmed.
	confirmedAt optionalTime
	// tableReachedAt is when the table last responded.
	tableReachedAt optionalTime
	held           types.Version
	// highestConfirmed is the highest version that was confirmed or held.
	highestConfirmed types.Version
	behindSince      optionalTime
}

// optionalTime is a clock reading that may be unset.
type optionalTime struct {
	at  time.Duration
	set bool
}

func (t *optionalTime) advanceTo(at time.Duration) {
	if !t.set || at > t.at {
		t.at = at
		t.set = true
	}
}

// fresh reports whether the reading is set and at most ContactValidity old.
func (t optionalTime) fresh(now time.Duration) bool {
	return t.set && now-t.at <= ContactValidity
}

// Basis is the reason for a verdict.
type Basis uint8

// Bases of a verdict.
const (
	// BasisNoContact: there is no recent contact; new work is not allowed.
	BasisNoContact Basis = iota
	// BasisNoConfiguration: there is no configuration yet; new work is not
	// allowed.
	BasisNoConfiguration
	// BasisConfirmed: a version was confirmed recently.
	BasisConfirmed
	// BasisTable: the table was reached recently.
	BasisTable
	// BasisMajority: messages arrived recently from a majority of the failure
	// domains.
	BasisMajority
)

// String returns the name of the basis for logs.
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

// Verdict is the decision of a Confirmer and its reason.
type Verdict struct {
	MayTakeNew bool
	Basis      Basis
}

// NewConfirmer returns a Confirmer that holds no configuration and has recorded
// no contact.
func NewConfirmer() *Confirmer {
	return &Confirmer{}
}

// Hold records that cfg is in effect in this process. The failure domains of
// region in cfg replace those of the previous configuration. An older cfg is
// ignored.
func (c *Confirmer) Hold(cfg *Config, region types.Region) {
	if cfg.version < c.held {
		return
	}
	c.held = cfg.version
	if c.held >= c.highestConfirmed {
		c.highestConfirmed = c.held
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

// Confirmed records that a read of the head row returned version at the given time,
// here or in another process.
func (c *Confirmer) Confirmed(at time.Duration, version types.Version) {
	c.confirmedAt.advanceTo(at)
	if version <= c.highestConfirmed {
		return
	}
	c.highestConfirmed = version
	if c.held < version && !c.behindSince.set {
		c.behindSince.advanceTo(at)
	}
}

// TableReached records a response of the table.
func (c *Confirmer) TableReached(at time.Duration) {
	c.tableReachedAt.advanceTo(at)
}

// PeerReached records a message from another process in the given failure
// domain. Failure domains of other regions are ignored.
func (c *Confirmer) PeerReached(at time.Duration, domain types.FailureDomain) {
	if i := c.domainIndex(domain); i >= 0 {
		c.lastHeard[i].advanceTo(at)
	}
}

// MayTakeNew returns the verdict on new work at the given time.
func (c *Confirmer) MayTakeNew(now time.Duration) Verdict {
	switch {
	case c.held == 0:
		return Verdict{Basis: BasisNoConfiguration}
	case c.confirmedAt.fresh(now):
		return Verdict{MayTakeNew: true, Basis: BasisConfirmed}
	case c.tableReachedAt.fresh(now):
		return Verdict{MayTakeNew: true, Basis: BasisTable}
	case c.heardMajority(now):
		return Verdict{MayTakeNew: true, Basis: BasisMajority}
	default:
		return Verdict{Basis: BasisNoContact}
	}
}

// heardMajority reports whether messages arrived recently from a majority of the
// failure domains.
func (c *Confirmer) heardMajority(now time.Duration) bool {
	n := 0
	for _, t := range c.lastHeard {
		if t.fresh(now) {
			n++
		}
	}
	return 2*n > len(c.lastHeard)
}

// Held returns the version in effect in this process, 0 for none.
func (c *Confirmer) Held() types.Version {
	return c.held
}

// Behind returns the time since a version higher than the held one was first
// confirmed, and the highest confirmed version. It returns 0, 0 if the held
// version is up to date.
func (c *Confirmer) Behind(now time.Duration) (time.Duration, types.Version) {
	if !c.behindSince.set {
		return 0, 0
	}
	return now - c.behindSince.at, c.highestConfirmed
}
