package handover

import (
	"cmp"
	"slices"
	"time"
)

// ReasonQuiet is the announcement of an owner with few cores that goes on if no larger
// candidate is ready in time. Only candidates of QuietConfig.FullCores or more take part.
const ReasonQuiet = "quiet"

// QuietConfig holds the limits of a handover in a quiet period. All fields are required.
type QuietConfig struct {
	// An owner with less than FullCores, of a deployment with MinVMs or more, hands over to
	// a candidate with FullCores or more.
	FullCores float64
	MinVMs    int
	// MinInterval is the least time from the begin of a term to the first attempt, and
	// between attempts. It doubles with each failed one, up to MaxInterval.
	MinInterval, MaxInterval time.Duration
	// CalmFor is how long a period must have been quiet.
	CalmFor time.Duration
	// MaxCallTime is the longest duration of the last renewal, MaxStarts the largest number
	// of starts per second, and LossCalm the time since a worker was last lost.
	MaxCallTime time.Duration
	MaxStarts   float64
	LossCalm    time.Duration
	// MaxPeers bounds the candidates that are asked whether they are alive, AskTimeout the
	// time for their answers.
	MaxPeers   int
	AskTimeout time.Duration
	// Timeout is how long the owner waits for a candidate to prepare.
	Timeout time.Duration
}

// DefaultQuietConfig returns the limits for deployments of up to 74 VMs.
func DefaultQuietConfig() QuietConfig {
	return QuietConfig{
		// As for the delay of takeovers: entries with less need more than their share of a
		// core at 400 starts/s.
		FullCores: 0.5, MinVMs: 30,
		// Each attempt makes a candidate list all rows. Required: at most one in 10 s.
		MinInterval: 10 * time.Second, MaxInterval: 5 * time.Minute,
		// Bursts of submissions come seconds apart.
		CalmFor: 2 * time.Second,
		// A renewal usually takes 3 ms. At 60 ms a takeover takes 120 ms.
		MaxCallTime: 60 * time.Millisecond,
		// A quarter of the peak load. A handover without an owner for 50 ms delays 5 starts.
		MaxStarts: 100,
		// A lost worker's lease runs out after 6 s, and its tasks are started elsewhere.
		LossCalm: 10 * time.Second,
		// One candidate suffices; a third of the entries may be lost but still listed.
		MaxPeers:   3,
		AskTimeout: 300 * time.Millisecond,
		// Lists of all rows take up to 1 s while the table is not slow; the reservation
		// takes up to 0.7 s before them.
		Timeout: 5 * time.Second,
	}
}

// Situation is what an owner knows of its deployment.
type Situation struct {
	Cores float64
	VMs   int
	// Confirmed: the owner is confirmed. Recovered: it knows all runs of earlier owners.
	Confirmed, Recovered bool
	// Failed is the number of calls that have failed since the last answer, CallTime the
	// duration of the last renewal.
	Failed   int
	CallTime time.Duration
	// Silent counts the workers that have not reported recently and may still run tasks.
	Silent int
	// LostAt is when a worker was last lost; 0 if none was.
	LostAt time.Duration
	// Starts is the number of starts per second.
	Starts float64
}

// Quiet decides when the owner of one term hands over to a larger candidate although its
// process does not stop. Times are readings of one monotonic clock. A Quiet is not safe
// for concurrent use.
type Quiet struct {
	cfg QuietConfig
	// nextAt is the earliest time of the next attempt, interval the time after it.
	nextAt, interval time.Duration
	calm             bool
	calmSince        time.Duration
}

// NewQuiet returns the state for a term that begins at now.
func NewQuiet(cfg QuietConfig, now time.Duration) *Quiet {
	return &Quiet{cfg: cfg, nextAt: now + cfg.MinInterval, interval: cfg.MinInterval}
}

// Allows reports whether the ownership may change hands now. It returns false while the
// table is slow or has failed, a worker is lost or silent, or many tasks start.
func (q *Quiet) Allows(now time.Duration, s Situation) bool {
	return s.Confirmed && s.Recovered && s.Failed == 0 && s.CallTime <= q.cfg.MaxCallTime &&
		s.Silent == 0 && (s.LostAt == 0 || now >= s.LostAt+q.cfg.LossCalm) && s.Starts <= q.cfg.MaxStarts
}

// Next returns the candidates to ask, the largest first, if an attempt is due; none
// otherwise. Call it several times per second.
func (q *Quiet) Next(now time.Duration, s Situation, peers []Peer) []Peer {
	if !q.Allows(now, s) {
		q.calm = false
		return nil
	}
	if !q.calm {
		q.calm, q.calmSince = true, now
	}
	if now < q.nextAt || now < q.calmSince+q.cfg.CalmFor || s.Cores >= q.cfg.FullCores || s.VMs < q.cfg.MinVMs {
		return nil
	}
	larger := q.Larger(peers)
	slices.SortStableFunc(larger, func(a, b Peer) int { return cmp.Compare(b.Cores, a.Cores) })
	if len(larger) > 0 {
		q.nextAt = now + q.interval
	}
	return larger[:min(len(larger), q.cfg.MaxPeers)]
}

// Larger returns the candidates to which the ownership may be handed over.
func (q *Quiet) Larger(peers []Peer) []Peer {
	var larger []Peer
	for _, p := range peers {
		if p.Cores >= q.cfg.FullCores {
			larger = append(larger, p)
		}
	}
	return larger
}

// Failed records that an attempt ended at now and the owner goes on. The next one is due
// after twice the time.
func (q *Quiet) Failed(now time.Duration) {
	q.interval = min(2*q.interval, q.cfg.MaxInterval)
	q.nextAt = now + q.interval
}

// TakesPart reports whether a candidate with a number of cores takes part in a handover
// with the announced reason.
func (c QuietConfig) TakesPart(reason string, cores float64) bool {
	return reason != ReasonQuiet || cores >= c.FullCores
}
