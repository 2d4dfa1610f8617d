package soak

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// minIdleTime is how long a key must be unused before its history is checked
// and dropped. It must exceed the time during which a booking is repeated,
// because a new history of a key starts with an empty row.
const minIdleTime = time.Minute

// checkTimeout limits the duration of one history check.
const checkTimeout = 5 * time.Second

// keyHistory is the history of one key. Events are ordered by a counter because
// many of them have the same virtual time.
type keyHistory struct {
	ops      []*operation
	lastUsed time.Duration
}

// operation is one operation with the event numbers of its call and its end.
// out is nil for a read whose response was lost or has not arrived.
type operation struct {
	key       *keyHistory
	call, end int64
	in        any
	out       any
}

// rowInput is the read of a row, or a write that requires the row to hold the
// old value.
type rowInput struct {
	write    bool
	old, new string
}

// rowOutput is the result of an operation on a row. value is the result of a
// read. For a write, committed means that it was made, refused that the table
// rejected the call without writing, and uncertain that it may have been made.
// If none is set, the row did not hold the old value.
type rowOutput struct {
	value     string
	committed bool
	refused   bool
	uncertain bool
}

var rowModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		value, in, out := state.(string), input.(rowInput), output.(rowOutput)
		matches := value == in.old
		switch {
		case !in.write:
			return stateIf(value, value == out.value)
		case out.refused:
			return []any{value}
		case out.uncertain && matches:
			return []any{value, in.new}
		case out.uncertain:
			return []any{value}
		case out.committed:
			return stateIf(in.new, matches)
		default:
			return stateIf(value, !matches)
		}
	},
}).ToModel()

// bookingInput is either a run of a booking at an upstream or a caller's
// request.
type bookingInput struct{ run bool }

// bookingModel is a register that a run sets and that may be set at most once.
// A request may be answered as done only if the register is set.
var bookingModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		ran := state.(bool)
		if input.(bookingInput).run {
			return !ran, true
		}
		return ran || output.(apperr.Outcome) != apperr.OutcomeDone, ran
	},
}

func stateIf(value string, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{value}
}

func (w *requests) nextEventNumber() int64 {
	w.eventCount++
	return w.eventCount
}

// beginOperation starts an operation on a key.
func (w *requests) beginOperation(histories map[string]*keyHistory, key string, in, out any) *operation {
	history := histories[key]
	if history == nil {
		history = &keyHistory{}
		histories[key] = history
	}
	history.lastUsed = w.now
	op := &operation{key: history, call: w.nextEventNumber(), end: math.MaxInt64, in: in, out: out}
	history.ops = append(history.ops, op)
	return op
}

// endOperation ends an operation with its output.
func (w *requests) endOperation(op *operation, out any) {
	op.key.lastUsed = w.now
	op.end = w.nextEventNumber()
	op.out = out
}

// checkHistories checks and drops the histories of idle keys.
func (w *requests) checkHistories() {
	w.checkIdleHistories(w.rows, rowModel, "claim row")
	w.checkIdleHistories(w.bookingHistories, bookingModel, "booking by key")
}

func (w *requests) checkIdleHistories(histories map[string]*keyHistory, model porcupine.Model, kind string) {
	for _, key := range slices.Sorted(maps.Keys(histories)) {
		history := histories[key]
		if w.now < history.lastUsed+minIdleTime && !w.checkAll {
			continue
		}
		ops := make([]porcupine.Operation, 0, len(history.ops))
		for i, op := range history.ops {
			if op.out == nil {
				continue // a read without a response
			}
			ops = append(ops, porcupine.Operation{ClientId: i, Input: op.in, Call: op.call, Output: op.out, Return: op.end})
		}
		w.res.Outcomes["operations checked: "+kind] += len(ops)
		switch porcupine.CheckOperationsTimeout(model, ops, checkTimeout) {
		case porcupine.Illegal:
			w.recordViolation("the history of %s %s is not linearizable", kind, key)
		case porcupine.Unknown:
			w.res.Outcomes["histories not decided"]++
		}
		delete(histories, key)
	}
}
