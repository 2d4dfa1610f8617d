package claim

import (
	"encoding/json"
	"time"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// storedRow is the JSON form of a row.
type storedRow struct {
	Fingerprint string            `json:"fingerprint"`
	Attempt     string            `json:"attempt"`
	VM          types.VMID        `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation"`
	// ValidUntil is in nanoseconds of the target's clock.
	ValidUntil int64  `json:"valid_until_ns"`
	State      State  `json:"state"`
	Response   []byte `json:"response,omitempty"`
	// HasResponse tells an empty response from one that was not kept.
	HasResponse bool `json:"has_response,omitempty"`
}

// Encode returns the stored form of the row.
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

// Decode reads a stored row. A row with an unknown state or no target is an
// error of kind internal.
func Decode(data []byte) (Row, error) {
	var s storedRow
	if err := json.Unmarshal(data, &s); err != nil {
		return Row{}, decodeError(err, "is not valid JSON")
	}
	attempt, err := types.ParseRequestID(s.Attempt)
	if err != nil {
		return Row{}, decodeError(err, "has no valid attempt")
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
		"report it; the outcome of the request is not known from this row")
}
