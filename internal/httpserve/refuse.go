package httpserve

import (
	"net/http"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// RefuseRequest writes a typed error with the outcome not-run, for requests of callers.
func RefuseRequest(w http.ResponseWriter, _ *http.Request, c Cause) {
	e := typedError("request", c)
	e.Outcome = apperr.OutcomeNotRun
	apperr.WriteHTTP(w, e)
}

// RefuseCall writes a typed error, for calls of operators, upstreams and other processes.
func RefuseCall(w http.ResponseWriter, r *http.Request, c Cause) {
	apperr.WriteHTTP(w, typedError("call "+r.URL.Path, c))
}

// typedError returns the error for a cause. Clients that were too slow get status 503,
// because they may send the request again.
func typedError(object string, c Cause) *apperr.Error {
	e := &apperr.Error{Kind: apperr.KindUnavailable, Object: object, RetryAfter: time.Second}
	switch c {
	case TooLarge:
		e.Kind, e.Problem, e.Remedy, e.RetryAfter = apperr.KindTooLarge, "body is larger than the limit", "send a smaller body", 0
	case HeaderTooLarge:
		e.Kind, e.Problem, e.Remedy, e.RetryAfter = apperr.KindTooLarge, "header is larger than the limit", "send fewer or shorter headers", 0
	case Truncated:
		e.Kind, e.Problem, e.Remedy, e.RetryAfter = apperr.KindInvalid, "body was truncated", "send the whole request", 0
	case Slow, Stalled:
		e.Problem, e.Remedy = "body was sent too slowly", "send the whole request again"
	default:
		e.Problem, e.Remedy = "needs memory that other requests hold", "send the request again later"
	}
	return e
}
