package apperr

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HeaderOutcome is the response header with the outcome of a caller's request.
const HeaderOutcome = "Boragecrank-Outcome"

// Body is the JSON form of an error.
type Body struct {
	Kind    Kind    `json:"kind"`
	Object  string  `json:"object"`
	Message string  `json:"message"`
	Remedy  string  `json:"remedy,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
}

// WriteHTTP writes err as an error response with a JSON body. The body leaves
// out the cause, which may hold internal details.
func WriteHTTP(w http.ResponseWriter, err error) {
	e := From(err)
	body, marshalErr := json.Marshal(Body{
		Kind:    e.Kind,
		Object:  e.Object,
		Message: e.Problem,
		Remedy:  e.Remedy,
		Outcome: e.Outcome,
	})
	if marshalErr != nil {
		body = []byte(`{"kind":"internal"}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.Outcome != OutcomeNone {
		h.Set(HeaderOutcome, string(e.Outcome))
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(e.Kind.HTTPStatus())
	// A write error means that the client has disconnected; it cannot be
	// reported to anyone.
	_, _ = w.Write(body)
}

// retryAfterSeconds rounds up, because 0 would ask for an immediate retry.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
