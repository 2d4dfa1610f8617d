// Package apperr defines the typed errors of the program.
//
// An Error names the affected object, the problem and the remedy. Its kind
// determines the HTTP status and the exit code of a command. For requests, its
// outcome states whether the request was executed.
package apperr

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Kind classifies an error by how the caller can react to it.
type Kind string

// Kinds of errors.
const (
	// KindUsage: a command or a client was used wrongly.
	KindUsage Kind = "usage"
	// KindInvalid: the content of a request or a file is not valid.
	KindInvalid Kind = "invalid"
	// KindUnauthorized: the credential is missing or wrong.
	KindUnauthorized Kind = "unauthorized"
	// KindNotFound: the object does not exist.
	KindNotFound Kind = "not-found"
	// KindConflict: the call conflicts with another call or with an existing
	// object.
	KindConflict Kind = "conflict"
	// KindRefused: the receiver rejected the call and did not execute it.
	KindRefused Kind = "refused"
	// KindTooLarge: a body or header exceeds its maximum size.
	KindTooLarge Kind = "too-large"
	// KindLimited: a limit on rate, queue length or number was reached.
	KindLimited Kind = "limited"
	// KindUnavailable: a component cannot serve the call now.
	KindUnavailable Kind = "unavailable"
	// KindUnreachable: the component cannot be reached, or the connection to it
	// failed.
	KindUnreachable Kind = "unreachable"
	// KindTimeout: no response arrived in time.
	KindTimeout Kind = "timeout"
	// KindUncertain: a write was sent and it is unknown whether it took effect.
	KindUncertain Kind = "uncertain"
	// KindInternal: an unexpected error, or any error without a kind.
	KindInternal Kind = "internal"
)

// Outcome states whether a request was executed.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNone: the error concerns no request.
	OutcomeNone Outcome = ""
	// OutcomeDone: the request was executed.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun: the request was certainly not executed; a retry is safe.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request may have been executed.
	OutcomeUnknown Outcome = "unknown"
)

// Error is a typed error.
type Error struct {
	Kind Kind
	// Object is what the error concerns, for example `service "berths"`.
	Object string
	// Problem is what is wrong with the object.
	Problem string
	// Remedy is what the receiver can do.
	Remedy  string
	Outcome Outcome
	// RetryAfter is the delay after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error of the given kind with the caller's stack trace.
func New(kind Kind, object, problem, remedy string) error {
	return trace.Wrap(&Error{Kind: kind, Object: object, Problem: problem, Remedy: remedy})
}

// Wrap returns an error of the given kind with a cause and the caller's stack
// trace.
func Wrap(cause error, kind Kind, object, problem, remedy string) error {
	return trace.Wrap(&Error{Kind: kind, Object: object, Problem: problem, Remedy: remedy, Cause: cause})
}

// Error returns object, problem and cause, separated by ": ", and the remedy
// after "; ". A cause may contain newlines.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Object, e.Problem)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// From returns the first *Error in the chain of err. Any other error is wrapped
// as the cause of an error of kind internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Kind:    KindInternal,
		Object:  "boragecrank",
		Problem: "unexpected error",
		Remedy:  "report it with the log around this time",
		Cause:   err,
	}
}

// KindOf returns the kind of err, or the empty kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

// HTTPStatus returns the status code of a response with an error of this kind.
func (k Kind) HTTPStatus() int {
	switch k {
	case KindUsage, KindInvalid:
		return http.StatusBadRequest
	case KindUnauthorized:
		return http.StatusUnauthorized
	case KindNotFound:
		return http.StatusNotFound
	case KindConflict:
		return http.StatusConflict
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	case KindLimited:
		return http.StatusTooManyRequests
	case KindRefused, KindUnavailable:
		return http.StatusServiceUnavailable
	case KindUnreachable, KindUncertain:
		return http.StatusBadGateway
	case KindTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

// ExitCode returns the exit code of a command that ends with an error of this
// kind:
// 2 bad usage; 3 refused, limited, unauthorized, too large or unavailable;
// 4 unreachable or timed out; 5 conflict; 6 invalid input; 7 not found;
// 8 outcome uncertain; 1 any other kind.
func (k Kind) ExitCode() int {
	switch k {
	case KindUsage:
		return 2
	case KindRefused, KindLimited, KindUnauthorized, KindTooLarge, KindUnavailable:
		return 3
	case KindUnreachable, KindTimeout:
		return 4
	case KindConflict:
		return 5
	case KindInvalid:
		return 6
	case KindNotFound:
		return 7
	case KindUncertain:
		return 8
	default:
		return 1
	}
}
