// Package modelcheck explores all reachable states of a model.
//
// The search is breadth-first, so a counterexample has minimal length. States
// are comparable values and should be in canonical form: if two states that
// behave the same are not equal, both are explored.
package modelcheck

import (
	"fmt"
	"strings"
)

// Model describes a state space.
type Model[S comparable] struct {
	// Initial is the state in which the exploration starts.
	Initial S
	// Moves yields every successor of a state together with the move that leads
	// to it. For a given state it must always yield the same moves in the same
	// order.
	Moves func(s S, yield func(Move, S))
	// Check returns an error for a state that violates an invariant.
	Check func(s S) error
}

// Move names a transition without formatting it.
type Move struct {
	Name string
	// A and B are arguments of the move. The model defines their meaning.
	A, B int
}

// String formats the move for traces.
func (m Move) String() string {
	return fmt.Sprintf("%s(%d,%d)", m.Name, m.A, m.B)
}

// Violation is a violated invariant and a shortest sequence of moves that leads
// to it.
type Violation struct {
	Err   error
	Trace []Move
}

// String formats the violated invariant, followed by one move per line.
func (v *Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v after %d moves", v.Err, len(v.Trace))
	for i, m := range v.Trace {
		fmt.Fprintf(&b, "\n%3d %v", i+1, m)
	}
	return b.String()
}

// Result summarizes an exploration.
type Result struct {
	States      int
	Transitions int
	// Depth is the largest d for which all states reachable in at most d moves
	// were visited.
	Depth int
	// Complete is false if the search ended because the number of states
	// reached the limit. Otherwise it is true, even if a violation ended the
	// search.
	Complete bool
	// Violation is the first violation found, or nil.
	Violation *Violation
}

// origin records how a state was first reached.
type origin struct {
	parent int32
	// move is the index of the move among the moves of the parent.
	move int32
}

// explorer is a search in progress.
type explorer[S comparable] struct {
	model   Model[S]
	limit   int
	seen    map[S]struct{}
	origins []origin
	// level and next hold the states of the current depth and of the next one.
	level  []numberedState[S]
	next   []numberedState[S]
	result Result
}

// numberedState is a state with its index in explorer.origins.
type numberedState[S comparable] struct {
	state  S
	number int32
}

// Explore visits the states of the model until all have been visited, a state
// violates an invariant, or the number of visited states reaches limit.
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

// visit records and checks a state unless it was visited before.
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

// trace returns the moves from the initial state to a state by replaying them.
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

// nthMove returns the nth move of a state and the resulting state.
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

// Interner assigns numbers to values, so that a state can refer to a large
// value by a small comparable number. Numbers start at 0. The zero value is an
// empty Interner that is ready to use.
type Interner[K comparable, V any] struct {
	numbers map[K]uint32
	values  []V
}

// Number returns the number of the value with the given canonical key. It
// assigns a new number if the key is new.
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

// Value returns the value with the given number. Callers must not modify it.
func (n *Interner[K, V]) Value(number uint32) V {
	return n.values[number]
}
