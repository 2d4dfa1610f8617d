package apperr

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// HeaderOutcome carries the outcome of a caller's request.
const HeaderOutcome = "Boragecrank-Outcome"

// Body is the JSON form of an error.
type Body struct {
	Kind    Kind    `json:"kind"`
	Object  string  `json:"object"`
	Message string  `json:"message"`
	Remedy  string  `json:"remedy,omitempty"`
	Outcome Outcome `json:"outcome,omitempty"`
}

// WriteHTTP answers a request with the error as JSON. Internal causes are not
// part of the body.
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
	// The receiver has gone if this fails; there is nobody left to tell.
	_, _ = w.Write(body)
}

// retryAfterSeconds rounds up, because a zero would ask for an immediate repeat.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
