// Package routing chooses workers for the requests at one entry.
//
// A Router holds the state of the workers in the entry's region, as received in
// member states and in load reports on responses. Pick chooses the less loaded of
// two random workers in the entry's failure domain, and uses other failure domains
// when both are nearly full. Evacuated failure domains get a request only if no
// other has a free slot. Requests for which no slot is free wait in a queue
// ordered by urgency and deadline. The worker makes the final decision: if a
// choice was based on a stale report, the worker refuses the request as not run.
//
// A Router must be used by one goroutine only. Time and randomness are inputs.
// Pick, Started and Finished do not allocate memory.
package routing

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the parameters of a router.
type Config struct {
	// Domain is the failure domain of the entry.
	Domain types.FailureDomain
	// FreshReportAge is the age up to which a load report has full weight.
	// StaleReportAge is the age from which it has none.
	FreshReportAge time.Duration
	StaleReportAge time.Duration
	// SpillThreshold is the utilization (0 to 1) of the better local candidate
	// from which remote candidates are considered. A remote candidate is chosen
	// if its utilization is lower by more than SpillMargin.
	SpillThreshold float64
	SpillMargin    float64
	// SlowStart is the time in which the share of requests to a new or
	// readmitted member grows to its full value.
	SlowStart time.Duration
	// FailuresToEject is the number of consecutive failures after which a
	// member, one service on one worker, is ejected.
	FailuresToEject int
	// FailureRateToEject is the moving failure rate (0 to 1) from which a
	// member is ejected, after at least FailureRateSamples results.
	FailureRateToEject float64
	FailureRateSamples int
	// MaxEjectedShare is the maximum share (0 to 1) of a service's members
	// that may be ejected at the same time.
	MaxEjectedShare float64
	// EjectionBase is the time from an ejection to the first probe. It doubles
	// with each ejection or failed probe up to EjectionMax. A member that is
	// ejected EjectionReset or more after its last readmission starts with
	// EjectionBase again.
	EjectionBase  time.Duration
	EjectionMax   time.Duration
	EjectionReset time.Duration
	// RetryShare is the number of retries allowed per first attempt. RetryBurst
	// is the maximum number of unused retries that accumulate.
	RetryShare float64
	RetryBurst float64
	// QueueLimit is the maximum number of queued requests per service.
	QueueLimit int
	// ServiceTimeWindow is the length of the windows in which service times are
	// measured.
	ServiceTimeWindow time.Duration
}

// DefaultConfig returns the parameters for an entry in the given failure
// domain. Load reports arrive with responses. A report older than 1 s counts less,
// and one older than 10 s is ignored. The time to the first probe, 5 s, can double
// five times. One retry is allowed per ten first attempts.
func DefaultConfig(domain types.FailureDomain) Config {
	return Config{
		Domain:             domain,
		FreshReportAge:     time.Second,
		StaleReportAge:     10 * time.Second,
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
