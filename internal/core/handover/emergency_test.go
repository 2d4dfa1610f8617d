package handover

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

var testTerm = Term{Owner: "a", Incarnation: 1, Epoch: 7}

// Guards against an owner that asks while the table answers, and against one that asks so
// late that the lease expires before the yield.
func TestOwnerSuspectsItsConnection(t *testing.T) {
	for _, c := range []struct {
		name    string
		now     time.Duration
		contact Contact
		want    bool
	}{
		{"quiet period, renewal in time", 1200 * ms, Contact{AnsweredAt: 0, RenewedAt: 0}, false},
		{"slow table that answers", 1500 * ms, Contact{AnsweredAt: 1000 * ms, RenewedAt: 0, Failed: 9}, false},
		{"one connection reset", 700 * ms, Contact{AnsweredAt: 0, RenewedAt: 0, Failed: 2}, false},
		{"several calls refused", 600 * ms, Contact{AnsweredAt: 0, RenewedAt: 0, Failed: 3}, true},
		{"silence", 1300 * ms, Contact{AnsweredAt: 400 * ms, RenewedAt: 0}, true},
	} {
		if got := NewEmergency(DefaultEmergencyConfig(), testTerm).Suspects(c.now, c.contact); got != c.want {
			t.Errorf("%s: suspects %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a yield to nobody, to an entry that has read another term or an old row,
// or while the table serves the owner again, and against a yield that ends with a lost
// answer.
func TestOwnerYields(t *testing.T) {
	cut := Contact{RenewedAt: 0, Failed: 5, Revision: 9}
	peers := []Peer{{VM: "small", Cores: 0.2}, {VM: "large", Cores: 0.8}}
	read := LeaseRead{testTerm, 9}
	const begin = time.Second
	for _, c := range []struct {
		name string
		// script answers the questions of step 1 and the probe, step 2.
		script func(e *Emergency)
		after  time.Duration
		now    Contact
		want   string // the peer that is yielded to
	}{
		{"confirmed by all", func(e *Emergency) {
			e.Confirmed(1, "small", read)
			e.Confirmed(1, "large", read)
			e.Next(begin, cut, peers)
			e.ProbeFailed(2)
		}, 0, cut, "large"},
		{"the larger one is awaited", func(e *Emergency) {
			e.Confirmed(1, "small", read)
			e.Next(begin, cut, peers)
			e.ProbeFailed(2)
		}, 99 * ms, cut, ""},
		{"the larger one does not answer", func(e *Emergency) {
			e.Confirmed(1, "small", read)
			e.Next(begin, cut, peers)
			e.ProbeFailed(2)
		}, 100 * ms, cut, "small"},
		{"silence", func(e *Emergency) {
			e.Confirmed(1, "large", read)
			e.Next(begin, cut, peers)
		}, 300 * ms, cut, "large"},
		{"the owner's read is not over", func(e *Emergency) {
			e.Confirmed(1, "large", read)
			e.Next(begin, cut, peers)
		}, 299 * ms, cut, ""},
		{"the table serves the owner again", func(e *Emergency) {
			e.Confirmed(1, "large", read)
			e.Next(begin, cut, peers)
		}, 300 * ms, Contact{AnsweredAt: begin + 299*ms}, ""},
		{"the whole table is out", func(e *Emergency) {
			e.NotConfirmed(1, "small")
			e.NotConfirmed(1, "large")
		}, 200 * ms, cut, ""},
		{"another term", func(e *Emergency) { e.Confirmed(1, "large", LeaseRead{Term{"b", 2, 8}, 11}) }, 400 * ms, cut, ""},
		{"an old read", func(e *Emergency) { e.Confirmed(1, "large", LeaseRead{testTerm, 8}) }, 400 * ms, cut, ""},
		{"an answer to an earlier question", func(e *Emergency) { e.Confirmed(0, "large", read) }, 400 * ms, cut, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEmergency(DefaultEmergencyConfig(), testTerm)
			if s := e.Next(begin, cut, peers); s.Kind != StepAsk || len(s.Peers) != 2 || s.Peers[0].VM != "large" {
				t.Fatalf("got %+v, want a question to the larger entry first", s)
			}
			c.script(e)
			s := e.Next(begin+c.after, c.now, peers)
			if c.want == "" && s.Kind == StepYield || c.want != "" && (s.Kind != StepYield || string(s.Peers[0].VM) != c.want || s.Yield != Yield{testTerm, 9}) {
				t.Fatalf("got %+v, want a yield to %q", s, c.want)
			}
			if s.Kind != StepYield {
				return
			}
			e.YieldAnswered(s.Number, false)
			s = e.Next(begin+time.Second, Contact{AnsweredAt: begin + time.Second}, peers)
			e.Confirmed(s.Number, "small", read)
			if again := e.Next(begin+time.Second, cut, peers); s.Kind != StepAsk || again.Kind != StepYield || again.Peers[0].VM != "small" {
				t.Errorf("after a lost answer: got %+v and %+v, want another yield without a probe", s, again)
			}
		})
	}
}

// Guards against a takeover on a yield of an earlier epoch or that was acted on, and on a
// row that was read before the owner's last renewal.
func TestAcceptYield(t *testing.T) {
	yield := Yield{testTerm, 9}
	for _, c := range []struct {
		vm   types.VMID
		read LeaseRead
		want error
	}{
		{"b", LeaseRead{testTerm, 9}, nil},
		{"b", LeaseRead{testTerm, 12}, nil}, // a renewal was executed late
		{"b", LeaseRead{testTerm, 8}, ErrOldRead},
		{"b", LeaseRead{Term{"b", 2, 8}, 12}, ErrOtherTerm},
		{"b", LeaseRead{Term{"a", 1, 9}, 12}, ErrOtherTerm}, // the former owner owns again
		{"b", LeaseRead{Term{"a", 3, 7}, 12}, ErrOtherTerm},
		{"b", LeaseRead{}, ErrOtherTerm},
		{"a", LeaseRead{testTerm, 9}, ErrOwnYield},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			if got := yield.Accept(c.vm, c.read); !errors.Is(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	if err := (Yield{}).Accept("b", LeaseRead{}); !errors.Is(err, ErrOtherTerm) {
		t.Errorf("empty yield: %v", err)
	}
}
