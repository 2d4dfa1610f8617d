// Package modelcheck explores all states that a model can reach.
//
// The search is breadth-first, so that a counterexample is one of the
// shortest. A state is a comparable value in canonical form: two states that
// behave the same should be equal, or the search does needless work.
package modelcheck

import (
	"fmt"
	"strings"
)

// Model describes the states to be explored.
type Model[S comparable] struct {
	// Initial is the state to start from.
	Initial S
	// Moves yields every successor of a state with the name of its move. It
	// must yield the same moves in the same order each time.
	Moves func(s S, yield func(Move, S))
	// Check returns an error for a state that violates an invariant.
	Check func(s S) error
}

// Move names a transition without formatting it.
type Move struct {
	Name string
	// A and B are the numbers of the parties, with a meaning set by the model.
	A, B int
}

// String returns the move for traces.
func (m Move) String() string {
	return fmt.Sprintf("%s(%d,%d)", m.Name, m.A, m.B)
}

// Violation is a state that violates an invariant and the way to it.
type Violation struct {
	Err   error
	Trace []Move
}

// String returns the violated invariant and one move per line.
func (v *Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v after %d moves", v.Err, len(v.Trace))
	for i, m := range v.Trace {
		fmt.Fprintf(&b, "\n%3d %v", i+1, m)
	}
	return b.String()
}

// Result counts what was explored.
type Result struct {
	States      int
	Transitions int
	// Depth is the number of moves up to which every state was visited.
	Depth int
	// Complete tells that all states were visited, not only those up to Depth.
	Complete bool
	// Violation is the first one found, or nil.
	Violation *Violation
}

// origin tells how a state was first reached.
type origin struct {
	parent int32
	// move is the index among the moves of the parent.
	move int32
}

// explorer is a search in progress.
type explorer[S comparable] struct {
	model   Model[S]
	limit   int
	seen    map[S]struct{}
	origins []origin
	// level and next hold the states of this depth and of the next one.
	level  []numberedState[S]
	next   []numberedState[S]
	result Result
}

// numberedState is a state with its number.
type numberedState[S comparable] struct {
	state  S
	number int32
}

// Explore visits the states of the model until all are visited, one violates
// an invariant, or the limit of states is reached.
func Explore[S comparable](model Model[S], limit int) Result {
	e := &explorer[S]{model: model, limit: limit, seen: make(map[S]struct{})}
	e.result.Complete = true
	e.visit(model.Initial, origin{parent: -1})
	for len(e.next) > 0 && !e.stopped() {
		e.level, e.next = e.next, e.level[:0]
		e.expandLevel()
	}
	e.result.States = len(e.origins)
	return e.result
}

func (e *explorer[S]) expandLevel() {
	for _, f := range e.level {
		if e.stopped() {
			return
		}
		e.expand(f)
	}
	if len(e.next) > 0 && !e.stopped() {
		e.result.Depth++
	}
}

func (e *explorer[S]) stopped() bool {
	return e.result.Violation != nil || !e.result.Complete
}

func (e *explorer[S]) expand(f numberedState[S]) {
	index := int32(0)
	e.model.Moves(f.state, func(_ Move, s S) {
		e.result.Transitions++
		e.visit(s, origin{parent: f.number, move: index})
		index++
	})
}

// visit records a state that is seen for the first time and checks it.
func (e *explorer[S]) visit(s S, from origin) {
	if _, ok := e.seen[s]; ok || e.stopped() {
		return
	}
	if len(e.origins) >= e.limit {
		e.result.Complete = false
		return
	}
	e.seen[s] = struct{}{}
	number := int32(len(e.origins))
	e.origins = append(e.origins, from)
	if err := e.model.Check(s); err != nil {
		e.result.Violation = &Violation{Err: err, Trace: e.trace(number)}
		return
	}
	e.next = append(e.next, numberedState[S]{state: s, number: number})
}

// trace replays the moves to a state from the initial one.
func (e *explorer[S]) trace(number int32) []Move {
	var path []int32
	for n := number; e.origins[n].parent >= 0; n = e.origins[n].parent {
		path = append(path, e.origins[n].move)
	}
	trace := make([]Move, 0, len(path))
	s := e.model.Initial
	for i := len(path) - 1; i >= 0; i-- {
		var move Move
		move, s = e.nthMove(s, path[i])
		trace = append(trace, move)
	}
	return trace
}

// nthMove returns the move of the given index and its successor.
func (e *explorer[S]) nthMove(from S, n int32) (move Move, to S) {
	index := int32(0)
	e.model.Moves(from, func(m Move, s S) {
		if index == n {
			move, to = m, s
		}
		index++
	})
	return move, to
}

// Interner numbers values, so that a state can hold a large value as a small
// comparable one.
type Interner[K comparable, V any] struct {
	numbers map[K]uint32
	values  []V
}

// Number returns the number of the value with the given canonical key.
func (n *Interner[K, V]) Number(key K, value V) uint32 {
	if number, ok := n.numbers[key]; ok {
		return number
	}
	if n.numbers == nil {
		n.numbers = make(map[K]uint32)
	}
	number := uint32(len(n.values))
	n.numbers[key] = number
	n.values = append(n.values, value)
	return number
}

// Value returns the value with the given number. It must not be changed.
func (n *Interner[K, V]) Value(number uint32) V {
	return n.values[number]
}
