package soak

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/boragecrank/boragecrank/internal/apperr"
)

// idleWindow is how long a key must be unused before its history is checked.
const idleWindow = time.Minute

// checkLimit bounds one check of a history.
const checkLimit = 5 * time.Second

// keyHistory is the history of one key. The clock of the run has too few
// readings to order events, so a counter orders them.
type keyHistory struct {
	ops  []*operation
	last time.Duration
}

// operation is one operation with its place in the order of events.
type operation struct {
	key       *keyHistory
	call, end int64
	in        any
	out       any
}

// rowInput reads a row, or writes it if it holds the old value.
type rowInput struct {
	write    bool
	old, new string
}

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
		holds := value == in.old
		switch {
		case !in.write:
			return keep(value, value == out.value)
		case out.refused:
			return []any{value}
		case out.uncertain && holds:
			return []any{value, in.new}
		case out.uncertain:
			return []any{value}
		case out.committed:
			return keep(in.new, holds)
		default:
			return keep(value, !holds)
		}
	},
}).ToModel()

// bookingInput is a run at an upstream, or a caller's request.
type bookingInput struct{ run bool }

// bookingModel is a register that is set at most once by a run. A request may
// be answered as done only when it is set.
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

func keep(value string, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{value}
}

func (w *requests) tick() int64 {
	w.eventCount++
	return w.eventCount
}

// begin opens an operation on a key.
func (w *requests) begin(m map[string]*keyHistory, key string, in, out any) *operation {
	k := m[key]
	if k == nil {
		k = &keyHistory{}
		m[key] = k
	}
	k.last = w.now
	op := &operation{key: k, call: w.tick(), end: math.MaxInt64, in: in, out: out}
	k.ops = append(k.ops, op)
	return op
}

// close ends an operation with its output.
func (w *requests) close(op *operation, out any) {
	op.key.last = w.now
	op.end = w.tick()
	op.out = out
}

// window checks the histories of keys that are idle, and drops them.
func (w *requests) window() {
	w.checkIdle(w.rows, rowModel, "claim row")
	w.checkIdle(w.byKey, bookingModel, "booking by key")
}

func (w *requests) checkIdle(m map[string]*keyHistory, model porcupine.Model, what string) {
	for _, key := range slices.Sorted(maps.Keys(m)) {
		k := m[key]
		if w.now < k.last+idleWindow && !w.closing {
			continue
		}
		ops := make([]porcupine.Operation, 0, len(k.ops))
		for i, op := range k.ops {
			if op.out == nil {
				continue // a read without answer
			}
			ops = append(ops, porcupine.Operation{ClientId: i, Input: op.in, Call: op.call, Output: op.out, Return: op.end})
		}
		w.res.Outcomes["operations checked: "+what] += len(ops)
		switch porcupine.CheckOperationsTimeout(model, ops, checkLimit) {
		case porcupine.Illegal:
			w.fail("the history of %s %s is not linearizable", what, key)
		case porcupine.Unknown:
			w.res.Outcomes["histories not decided"]++
		}
		delete(m, key)
	}
}
