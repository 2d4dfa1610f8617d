package claim

import (
	"reflect"
	"testing"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/core/admission"
	"github.com/boragecrank/boragecrank/internal/core/request"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

var (
	attempt1 = types.RequestID{1, 15: 1}
	attempt2 = types.RequestID{1, 15: 2}
	target   = request.Target{VM: "v1", Incarnation: 1 << 63, ValidUntil: 12345}
)

// Guards against a repeated key that runs a request again although it has run
// or may have run, or that is used for another request.
func TestDecide(t *testing.T) {
	row := func(s State, response []byte) *Row {
		return &Row{Fingerprint: "f", Attempt: attempt1, State: s, Response: response}
	}
	cases := []struct {
		row         *Row
		fingerprint string
		active      bool
		want        Decision
	}{
		{nil, "f", false, DecideClaim},
		{row(StateDone, []byte("x")), "g", false, DecideConflict},
		{row(StateDone, []byte("x")), "f", false, DecideReplay},
		{row(StateDone, nil), "f", false, DecideRan},
		{row(StateNotRun, nil), "f", false, DecideRerun},
		{row(StateUnknown, nil), "f", false, DecideUnknown},
		{row(StateClaimed, nil), "f", true, DecideInProgress},
		{row(StateClaimed, nil), "f", false, DecideSeal},
		// A state written by a later release.
		{row("later", nil), "f", false, DecideUnknown},
	}
	for _, c := range cases {
		if got := Decide(c.row, c.fingerprint, c.active); got != c.want {
			t.Errorf("%+v: %v, want %v", c.row, got, c.want)
		}
	}
}

// Guards against another run of a request without proof that the earlier
// attempt did not run.
func TestResolve(t *testing.T) {
	cases := []struct {
		sealed admission.SealResult
		want   Decision
		state  State
	}{
		{admission.SealResult{State: admission.SealNeverRan}, DecideRerun, StateClaimed},
		{admission.SealResult{State: admission.SealInProgress}, DecideInProgress, StateClaimed},
		{admission.SealResult{State: admission.SealDeferred}, DecideInProgress, StateClaimed},
		{admission.SealResult{State: admission.SealUnknown}, DecideUnknown, StateUnknown},
		{admission.SealResult{State: admission.SealIncarnationEnded}, DecideUnknown, StateUnknown},
		{admission.SealResult{State: admission.SealFinished, Outcome: apperr.OutcomeUnknown}, DecideUnknown, StateUnknown},
		{admission.SealResult{State: admission.SealFinished, Outcome: apperr.OutcomeDone}, DecideRan, StateDone},
		{admission.SealResult{State: admission.SealFinished, Outcome: apperr.OutcomeDone, Response: []byte("x")}, DecideReplay, StateDone},
	}
	for _, c := range cases {
		next, got, write := Resolve(New("f", attempt1, target), c.sealed)
		if got != c.want || next.State != c.state || write != (c.state != StateClaimed) {
			t.Errorf("%+v: %v %q write %v, want %v %q", c.sealed, got, next.State, write, c.want, c.state)
		}
	}
}

// Guards against an outcome being overwritten, or written for an attempt that
// the row does not name.
func TestSettleAndReclaim(t *testing.T) {
	row := New("f", attempt1, target)
	done, ok := Settle(row, attempt1, apperr.OutcomeDone, []byte("x"))
	if !ok || done.State != StateDone {
		t.Fatalf("done: %+v", done)
	}
	if _, ok := Settle(done, attempt1, apperr.OutcomeUnknown, nil); ok {
		t.Fatal("outcome done was overwritten")
	}
	if _, ok := Settle(row, attempt2, apperr.OutcomeDone, nil); ok {
		t.Fatal("outcome of another attempt was stored")
	}
	unknown, _ := Settle(row, attempt1, apperr.OutcomeUnknown, nil)
	if _, ok := Settle(unknown, attempt1, apperr.OutcomeDone, []byte("x")); !ok {
		t.Fatal("outcome done did not replace the unknown outcome")
	}
	if _, ok := Settle(unknown, attempt1, apperr.OutcomeNotRun, nil); ok {
		t.Fatal("outcome unknown was replaced by not-run")
	}
	for _, r := range []Row{done, unknown} {
		if _, err := Reclaim(r, attempt1, attempt2, target); apperr.KindOf(err) != apperr.KindConflict {
			t.Fatalf("reclaim of %q: %v", r.State, err)
		}
	}
	if _, err := Reclaim(row, attempt2, attempt1, target); err == nil {
		t.Fatal("reclaim accepted the proof of another attempt")
	}
	if next, err := Reclaim(row, attempt1, attempt2, target); err != nil || next.Attempt != attempt2 {
		t.Fatalf("reclaim: %+v %v", next, err)
	}
}

// Guards against a dispatch when the row was not written or belongs to another
// request.
func TestConfirm(t *testing.T) {
	none := types.RequestID{}
	row := New("f", attempt1, target)
	settled, _ := Settle(row, attempt1, apperr.OutcomeNotRun, nil)
	cases := []struct {
		row               *Row
		attempt, previous types.RequestID
		want              Confirmation
	}{
		{nil, attempt1, none, NotWritten},
		{nil, attempt2, attempt1, TakenByOther},
		{&row, attempt1, none, Held},
		{&row, attempt2, attempt1, NotWritten},
		{&row, attempt2, none, TakenByOther},
		{&settled, attempt1, none, TakenByOther},
	}
	for i, c := range cases {
		if got := Confirm(c.row, c.attempt, c.previous); got != c.want {
			t.Errorf("case %d: %v, want %v", i, got, c.want)
		}
	}
}

// Guards against a row that changes when it is encoded and decoded, and against
// a damaged row being accepted.
func TestEncoding(t *testing.T) {
	for _, response := range [][]byte{nil, {}, []byte("berth 4")} {
		row := Row{Fingerprint: "f", Attempt: attempt2, Target: target, State: StateDone, Response: response}
		data, err := row.Encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil || !reflect.DeepEqual(got, row) {
			t.Fatalf("%s: %+v %v", data, got, err)
		}
	}
	for _, data := range []string{"{", `{"attempt":"00"}`, `{"fingerprint":"f","vm":"v","attempt":"` + attempt1.String() + `","state":"later"}`} {
		if _, err := Decode([]byte(data)); apperr.KindOf(err) != apperr.KindInternal {
			t.Errorf("%s: %v", data, err)
		}
	}
	if Key("a", "bc") == Key("ab", "c") || Fingerprint("POST", "/a", nil) == Fingerprint("POST", "/", []byte("a")) {
		t.Error("different parts give the same hash")
	}
}
