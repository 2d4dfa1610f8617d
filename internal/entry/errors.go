package entry

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/routing"
)

// retryAfter is the delay proposed to callers whose request was refused because
// of load or an outage. It is about as long as most shortages of slots last.
const retryAfter = time.Second

func requestObject(c *call) string {
	return "request " + c.id.String() + " to service " + string(c.service.Name)
}

func errNoWorker(c *call, v routing.Verdict) error {
	e := &apperr.Error{Kind: apperr.KindUnavailable, Object: requestObject(c), Outcome: apperr.OutcomeNotRun, RetryAfter: retryAfter}
	switch v {
	case routing.NoUpstream:
		e.Problem, e.Remedy = "no upstream of the service takes requests", "repeat the request later"
	case routing.QueueFull:
		e.Kind = apperr.KindLimited
		e.Problem, e.Remedy = "the queue of the service is full", "repeat the request later, at a lower rate"
	default:
		e.Problem, e.Remedy = "the request cannot be served within its deadline", "repeat the request later"
	}
	return e
}

func errUnreachable(c *call, t target, cause error) error {
	return &apperr.Error{
		Kind: apperr.KindUnavailable, Object: requestObject(c), Problem: "worker " + string(t.VM) + " cannot be reached",
		Remedy: "repeat the request", Outcome: apperr.OutcomeNotRun, RetryAfter: retryAfter, Cause: cause,
	}
}

func errRefused(c *call, t target, reason string) error {
	return &apperr.Error{
		Kind: apperr.KindUnavailable, Object: requestObject(c), Problem: "worker " + string(t.VM) + " refused it: " + reason,
		Remedy: "repeat the request", Outcome: apperr.OutcomeNotRun, RetryAfter: retryAfter,
	}
}

func errClaimUnavailable(c *call) error {
	return &apperr.Error{
		Kind: apperr.KindUnavailable, Object: requestObject(c), Problem: "its Idempotency-Key cannot be recorded, because the table does not answer",
		Remedy: "repeat the request with the same key later", Outcome: apperr.OutcomeNotRun, RetryAfter: retryAfter,
	}
}

// errKeyUnreadable reports an unknown outcome: this request was not run, but an
// earlier request with its key may have run, and the outcome applies to the key.
func errKeyUnreadable(c *call) error {
	return &apperr.Error{
		Kind: apperr.KindUnavailable, Object: requestObject(c), Problem: "its Idempotency-Key cannot be looked up, because the table does not answer; this request was not run, but an earlier one with the key may have been",
		Remedy: "repeat the request with the same key later", Outcome: apperr.OutcomeUnknown, RetryAfter: retryAfter,
	}
}

func errClaimTaken(c *call) error {
	return &apperr.Error{
		Kind: apperr.KindConflict, Object: requestObject(c), Problem: "another request with the same Idempotency-Key is in progress",
		Remedy: "repeat the request with the same key to get its answer", Outcome: apperr.OutcomeUnknown, RetryAfter: retryAfter,
	}
}

func errKeyReused(c *call) error {
	return &apperr.Error{
		Kind: apperr.KindConflict, Object: requestObject(c), Problem: "its Idempotency-Key was already used for a request with different content",
		Remedy: "use a new key for each new request", Outcome: apperr.OutcomeNotRun,
	}
}

func errResponseNotKept(c *call) error {
	return &apperr.Error{
		Kind: apperr.KindConflict, Object: requestObject(c), Problem: "the request has run, but its response is not kept",
		Remedy: "read the result from the service; do not send it again with a new key", Outcome: apperr.OutcomeDone,
	}
}

func errOutcomeUnknown(c *call) error {
	return &apperr.Error{
		Kind: apperr.KindUncertain, Object: requestObject(c), Problem: "the outcome cannot be determined; the request may have run",
		Remedy: "read the result from the service before sending it again", Outcome: apperr.OutcomeUnknown,
	}
}

func errConfigUnconfirmed(c *call) error {
	outcome := apperr.OutcomeNotRun
	if c.key != "" {
		// An earlier request with the key may have run through another entry.
		outcome = apperr.OutcomeUnknown
	}
	return &apperr.Error{
		Kind: apperr.KindUnavailable, Object: requestObject(c), Problem: "this entry cannot confirm its configuration and takes no new work",
		Remedy: "repeat the request; the balancer will use another entry", Outcome: outcome, RetryAfter: retryAfter,
	}
}
