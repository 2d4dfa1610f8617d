package config

import (
	"fmt"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Head is a version and the references of all of its parts.
type Head struct {
	Version types.Version `json:"version"`
	// Parts is in order of name.
	Parts []Ref `json:"parts"`
}

// Delta carries a configuration to a process that holds an older one: the
// complete head, and the bodies of the parts that the receiver lacks.
type Delta struct {
	From  types.Version `json:"from"`
	Head  Head          `json:"head"`
	Parts []Part        `json:"parts"`
}

// GapError means that a delta leaves out parts that the receiver lacks. The
// receiver fetches a delta from the version that it holds.
type GapError struct {
	Held types.Version
	To   types.Version
	// Missing names the parts.
	Missing []string
}

// Error names the missing parts.
func (e *GapError) Error() string {
	return fmt.Sprintf("delta to version %d lacks parts that version %d does not hold: %s",
		e.To, e.Held, strings.Join(e.Missing, ", "))
}

// DamagedError means that the body of a part does not have its declared hash.
type DamagedError struct {
	Part      string
	Want, Got uint64
}

// Error names the part.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("part %q has hash %016x, want %016x", e.Part, e.Got, e.Want)
}

// DivergedError means that two different configurations claim the same
// version, or that a later one carries an older part. Neither can happen while
// versions are set by compare-and-set on the head row.
type DivergedError struct {
	Version types.Version
	Part    string
}

// Error names version and part.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("configuration version %d contradicts the held one in part %q", e.Version, e.Part)
}

// Difference returns what a holder of from, or of any version between, needs to
// reach to. from may be nil. It goes by version and not by content: a part that
// changed and changed back since from is missing at holders in between.
func Difference(from, to *Config) Delta {
	if from == nil {
		return to.DeltaSince(0)
	}
	return to.DeltaSince(from.version)
}

// DeltaSince returns what a holder of the given version, 0 for none, needs to reach c.
func (c *Config) DeltaSince(held types.Version) Delta {
	d := Delta{From: held, Head: c.Head()}
	for _, p := range c.parts {
		if p.Version > held {
			d.Parts = append(d.Parts, p)
		}
	}
	return d
}

// hasPart reports whether c has a part with the same content. c may be nil.
func (c *Config) hasPart(ref Ref) bool {
	if c == nil {
		return false
	}
	p, ok := c.Part(ref.Name)
	return ok && p.Hash == ref.Hash
}

// Apply returns the configuration of d, or c itself if d is not newer. c may
// be nil. Deltas may arrive in any order and more than once: the version never
// falls, and the result is always one complete accepted configuration. Errors
// are *GapError, *DamagedError or *DivergedError; c stays valid then.
func (c *Config) Apply(d Delta) (*Config, error) {
	if c != nil && d.Head.Version <= c.version {
		return c, c.checkSame(d.Head)
	}
	parts := make([]Part, 0, len(d.Head.Parts))
	var missing []string
	for _, ref := range d.Head.Parts {
		if err := c.checkNotOlder(d.Head.Version, ref); err != nil {
			return c, err
		}
		body, ok := c.bodyFor(ref, d.Parts)
		if !ok {
			missing = append(missing, ref.Name)
			continue
		}
		p := Part{Ref: ref, Body: body}
		if err := p.verify(); err != nil {
			return c, err
		}
		parts = append(parts, p)
	}
	if len(missing) > 0 {
		return c, &GapError{Held: c.versionOrZero(), To: d.Head.Version, Missing: missing}
	}
	next, err := assemble(d.Head.Version, parts)
	if err != nil {
		return c, err
	}
	return next, nil
}

// bodyFor returns the body of a part from what is held or shipped.
func (c *Config) bodyFor(ref Ref, shipped []Part) ([]byte, bool) {
	for _, p := range shipped {
		if p.Name == ref.Name && p.Hash == ref.Hash {
			return p.Body, true
		}
	}
	if !c.hasPart(ref) {
		return nil, false
	}
	p, _ := c.Part(ref.Name)
	return p.Body, true
}

// checkSame compares a head of the held version with the held parts.
func (c *Config) checkSame(h Head) error {
	if h.Version < c.version {
		return nil
	}
	if len(h.Parts) != len(c.parts) {
		return &DivergedError{Version: h.Version}
	}
	for _, ref := range h.Parts {
		if !c.hasPart(ref) {
			return &DivergedError{Version: h.Version, Part: ref.Name}
		}
	}
	return nil
}

// checkNotOlder refuses a later configuration with an older part.
func (c *Config) checkNotOlder(version types.Version, ref Ref) error {
	if ref.Version > version {
		return &DivergedError{Version: version, Part: ref.Name}
	}
	if c == nil {
		return nil
	}
	if p, ok := c.Part(ref.Name); ok && ref.Version < p.Version {
		return &DivergedError{Version: version, Part: ref.Name}
	}
	return nil
}

func (c *Config) versionOrZero() types.Version {
	if c == nil {
		return 0
	}
	return c.version
}
