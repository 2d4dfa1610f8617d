// Package routing chooses a worker for a request at one entry.
//
// A Router holds the workers of the entry's region as known from digests and
// from load reports on responses. Pick chooses between two random workers of
// the entry's failure domain and spills over to the other failure domains when
// these are near full. Requests that find no slot wait in a queue ordered by
// urgency and deadline. The worker makes the final decision: a choice made on a
// stale report is refused there as not run.
//
// A Router is owned by one goroutine. Time and randomness are inputs. Pick,
// Started and Finished do not allocate.
package routing

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the constants of a router.
type Config struct {
	// Domain is the failure domain of the entry.
	Domain types.FailureDomain
	// ReportFresh is the age up to which a load report counts in full, and
	// ReportStale the age from which it counts nothing.
	ReportFresh time.Duration
	ReportStale time.Duration
	// SpillThreshold is the use of the better local candidate (0 to 1) from which
	// remote ones are considered. They are taken if they are less used by
	// SpillMargin.
	SpillThreshold float64
	SpillMargin    float64
	// SlowStart is the time over which a fresh upstream comes to its share.
	SlowStart time.Duration
	// FailuresToEject is the number of failures in a row that eject.
	FailuresToEject int
	// FailureRateToEject ejects by the moving failure rate (0 to 1) after
	// FailureRateSamples results.
	FailureRateToEject float64
	FailureRateSamples int
	// MaxEjectedShare bounds the ejected share of a service's upstreams.
	MaxEjectedShare float64
	// EjectionBase is the time until the first probe; it doubles with each
	// ejection or failed probe up to EjectionMax. EjectionReset is the time
	// without ejection after which it starts over.
	EjectionBase  time.Duration
	EjectionMax   time.Duration
	EjectionReset time.Duration
	// RetryShare is the number of retries allowed per first attempt, and
	// RetryBurst the number that may be saved up.
	RetryShare float64
	RetryBurst float64
	// QueueLimit bounds the queue of one service.
	QueueLimit int
	// ServiceTimeWindow is the time over which service times are measured.
	ServiceTimeWindow time.Duration
}

// DefaultConfig returns the constants for an entry in the given failure
// domain. Reports come with digests every second and with responses, so a
// report of over 1 s is suspect and one of 10 s is worthless.
func DefaultConfig(domain types.FailureDomain) Config {
	return Config{
		Domain:             domain,
		ReportFresh:        time.Second,
		ReportStale:        10 * time.Second,
		SpillThreshold:     0.85,
		SpillMargin:        0.1,
		SlowStart:          10 * time.Second,
		FailuresToEject:    5,
		FailureRateToEject: 0.5,
		FailureRateSamples: 20,
		MaxEjectedShare:    0.3,
		EjectionBase:       5 * time.Second,
		EjectionMax:        160 * time.Second,
		EjectionReset:      5 * time.Minute,
		RetryShare:         0.1,
		RetryBurst:         10,
		QueueLimit:         1024,
		ServiceTimeWindow:  30 * time.Second,
	}
}
