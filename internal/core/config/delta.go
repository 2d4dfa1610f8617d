package config

import (
	"fmt"
	"strings"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Head is a version and the references of all of its parts.
type Head struct {
	Version types.Version `json:"version"`
	// Parts is sorted by name.
	Parts []Ref `json:"parts"`
}

// Delta updates a process from an older configuration. It holds the complete
// head and the bodies of the parts that the receiver does not have.
type Delta struct {
	// From is the version that the receiver is assumed to hold; 0 for a complete
	// delta.
	From  types.Version `json:"from"`
	Head  Head          `json:"head"`
	Parts []Part        `json:"parts"`
}

// GapError means that a delta omits parts that the receiver does not have. The
// receiver must fetch a delta from the version that it holds.
type GapError struct {
	Held types.Version
	To   types.Version
	// Missing holds the names of the missing parts.
	Missing []string
}

// Error returns a message that lists the missing parts.
func (e *GapError) Error() string {
	return fmt.Sprintf("delta to version %d omits parts that are not in version %d: %s",
		e.To, e.Held, strings.Join(e.Missing, ", "))
}

// DamagedError means that the body of a part does not have its declared hash.
type DamagedError struct {
	Part      string
	Want, Got uint64
}

// Error returns a message with the part and both hashes.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("configuration part %q has hash %016x, want %016x", e.Part, e.Got, e.Want)
}

// DivergedError means that two different configurations have the same version,
// or that the version of a part is lower than in an earlier configuration or
// higher than the version of its own configuration. None of these can happen while
// versions are set by compare-and-set on the head row.
type DivergedError struct {
	Version types.Version
	// Part is empty if the numbers of parts differ.
	Part string
}

// Error returns a message with the version and the part.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("configuration version %d conflicts with the held configuration in part %q", e.Version, e.Part)
}

// Difference returns the delta that updates a holder of from, or of any version
// between from and to, to the configuration to. from may be nil. Parts are
// selected by version and not by content: a part that was changed after from
// and then changed back is still needed by holders of the versions in between.
func Difference(from, to *Config) Delta {
	if from == nil {
		return to.DeltaSince(0)
	}
	return to.DeltaSince(from.version)
}

// DeltaSince returns the delta that updates a holder of the given version to c;
// 0 means that no configuration is held.
func (c *Config) DeltaSince(held types.Version) Delta {
	d := Delta{From: held, Head: c.Head()}
	for _, p := range c.parts {
		if p.Version > held {
			d.Parts = append(d.Parts, p)
		}
	}
	return d
}

// hasPart reports whether c has a part with the same name and hash. c may be
// nil.
func (c *Config) hasPart(ref Ref) bool {
	if c == nil {
		return false
	}
	p, ok := c.Part(ref.Name)
	return ok && p.Hash == ref.Hash
}

// Apply returns the configuration of d, or c itself if d is not newer. c may be
// nil. Deltas may arrive in any order and more than once: the version never
// decreases, and the result is always one complete accepted configuration.
// Errors include *GapError, *DamagedError and *DivergedError; c remains valid
// after an error.
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

// bodyFor returns the body of a part from the received parts or from c.
func (c *Config) bodyFor(ref Ref, received []Part) ([]byte, bool) {
	for _, p := range received {
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

// checkSame checks that a head of the held version has the same parts as c. It
// ignores heads of older versions.
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

// checkNotOlder rejects a part whose version is lower than that of the held
// part, or higher than the version of its configuration.
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
