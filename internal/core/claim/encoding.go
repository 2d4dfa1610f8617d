package claim

import (
	"encoding/json"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// storedRow is the JSON encoding of a row.
type storedRow struct {
	Fingerprint string            `json:"fingerprint"`
	Attempt     string            `json:"attempt"`
	VM          types.VMID        `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
	// ValidUntil is a reading of the target's clock in nanoseconds.
	ValidUntil int64  `json:"valid_until_ns"`
	State      State  `json:"state"`
	Response   []byte `json:"response,omitempty"`
	// HasResponse distinguishes an empty response from one that was not stored.
	HasResponse bool `json:"has_response,omitempty"`
}

// Encode returns the row as stored in the table.
func (r Row) Encode() ([]byte, error) {
	return json.Marshal(storedRow{
		Fingerprint: r.Fingerprint,
		Attempt:     r.Attempt.String(),
		VM:          r.Target.VM,
		Incarnation: r.Target.Incarnation,
		ValidUntil:  int64(r.Target.ValidUntil),
		State:       r.State,
		Response:    r.Response,
		HasResponse: r.Response != nil,
	})
}

// Decode parses a stored row. It returns an error of kind internal if the row
// is malformed, has an unknown state, or has no attempt, target or fingerprint.
func Decode(data []byte) (Row, error) {
	var s storedRow
	if err := json.Unmarshal(data, &s); err != nil {
		return Row{}, decodeError(err, "is not valid JSON")
	}
	attempt, err := types.ParseRequestID(s.Attempt)
	if err != nil {
		return Row{}, decodeError(err, "has no valid attempt ID")
	}
	switch s.State {
	case StateClaimed, StateDone, StateNotRun, StateUnknown:
	default:
		return Row{}, decodeError(nil, "has an unknown state")
	}
	if s.VM == "" || s.Fingerprint == "" {
		return Row{}, decodeError(nil, "has no target or no fingerprint")
	}
	return s.row(attempt), nil
}

func (s storedRow) row(attempt types.RequestID) Row {
	r := Row{
		Fingerprint: s.Fingerprint,
		Attempt:     attempt,
		Target:      request.Target{VM: s.VM, Incarnation: s.Incarnation, ValidUntil: time.Duration(s.ValidUntil)},
		State:       s.State,
		Response:    s.Response,
	}
	if s.HasResponse && r.Response == nil {
		r.Response = []byte{}
	}
	return r
}

func decodeError(cause error, problem string) error {
	return apperr.Wrap(cause, apperr.KindInternal, "idempotency claim", problem,
		"report this error; the row does not give the outcome of the request")
}
