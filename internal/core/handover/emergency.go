package handover

import (
	"errors"
	"slices"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Term identifies a term of ownership.
type Term struct {
	Owner       types.VMID
	Incarnation types.Incarnation
	Epoch       types.Epoch
}

// LeaseRead is the lease row as an entry has read it. Owner is empty if the row names
// none.
type LeaseRead struct {
	Term
	Revision uint64
}

// Yield is the message of an owner that does not act as the confirmed owner any more, and
// never will in this epoch.
type Yield struct {
	Term
	// Revision is the last revision of the lease row that the owner knows.
	Revision uint64
}

// Reasons for which an entry does not act on a yield.
var (
	// ErrOtherTerm: the lease row names another owner or epoch, so the yield is old or
	// was acted on before.
	ErrOtherTerm = errors.New("the lease has another owner or epoch")
	// ErrOldRead: the row was read before the owner's last renewal.
	ErrOldRead = errors.New("the lease was read before the owner's last renewal")
	// ErrOwnYield: the entry itself is the owner that yields.
	ErrOwnYield = errors.New("the yield names this entry as the owner")
)

// Accept returns nil if the entry vm may take the lease over from the owner that yields,
// by a write conditional on the revision of the row that it has read.
func (y Yield) Accept(vm types.VMID, read LeaseRead) error {
	switch {
	case y.Owner == vm:
		return ErrOwnYield
	case y.Owner == "" || read.Term != y.Term:
		return ErrOtherTerm
	case read.Revision < y.Revision:
		return ErrOldRead
	}
	return nil
}

// Peer is another entry.
type Peer struct {
	VM      types.VMID
	Address string
	Cores   float64
}

// Contact is what an owner knows of its calls to the table.
type Contact struct {
	// AnsweredAt is when a call was last answered, Failed the number of calls that have
	// failed since.
	AnsweredAt time.Duration
	Failed     int
	// RenewedAt is when the last renewal that is known to be stored was sent, Revision
	// the revision of the lease row after it.
	RenewedAt time.Duration
	Revision  uint64
}

// EmergencyConfig holds the times and limits of an emergency handover. All fields are
// required.
type EmergencyConfig struct {
	// The owner asks other entries if no call was answered for AnswerAge, and either
	// FailedCalls calls have failed since or the last renewal is RenewalAge old.
	AnswerAge, RenewalAge time.Duration
	FailedCalls           int
	// AskInterval is the least time between two rounds of questions, AskTimeout the time
	// after which answers of a round are ignored. MaxPeers bounds a round.
	AskInterval, AskTimeout time.Duration
	MaxPeers                int
	// ProbeTimeout is how long the owner waits for its own read of the table after an
	// entry has confirmed that the table serves it.
	ProbeTimeout time.Duration
	// An entry with fewer cores than FullCores is chosen only if no larger one has
	// confirmed within LargePeerWait.
	FullCores     float64
	LargePeerWait time.Duration
	// YieldTimeout is how long the owner waits for the answer to a yield.
	YieldTimeout time.Duration
}

// DefaultEmergencyConfig returns the times for a lease of 2.3 s that is renewed every
// 0.6 s.
func DefaultEmergencyConfig() EmergencyConfig {
	return EmergencyConfig{
		// A table that is 78 times slower than usual answers after 0.4 s. In a quiet
		// period the renewals, 0.6 s apart, may be the only calls, so time alone does not
		// suffice: calls must have failed too, or a renewal be 0.7 s late.
		AnswerAge: 600 * time.Millisecond,
		// Calls that share a connection fail together when it is reset once.
		FailedCalls: 3,
		RenewalAge:  1300 * time.Millisecond,
		// In an outage of the whole table, each of up to 15 other entries gets 3 questions
		// a second and reads one row for each.
		AskInterval: 300 * time.Millisecond,
		MaxPeers:    15,
		// AskTimeout covers a read of 0.4 s at the other entry.
		AskTimeout: 500 * time.Millisecond,
		// A call takes up to 0.25 s while the table is 60 times slower than usual.
		ProbeTimeout: 300 * time.Millisecond,
		FullCores:    0.5,
		// Large entries answer within a few milliseconds if the table is not slow.
		LargePeerWait: 100 * time.Millisecond,
		YieldTimeout:  500 * time.Millisecond,
	}
}

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps.
const (
	StepNone StepKind = iota
	// StepAsk: ask Peers to read the lease row.
	StepAsk
	// StepProbe: read the table.
	StepProbe
	// StepYield: cease to act as the confirmed owner, then send Yield to Peers[0].
	StepYield
)

// Step is what the owner has to do.
type Step struct {
	Kind StepKind
	// Number is passed on with the answers.
	Number uint64
	Peers  []Peer
	Yield  Yield
}

type emergencyPhase int

const (
	phaseWatching emergencyPhase = iota
	phaseAsking
	phaseProbing
	phaseYielding
	phaseAccepted
)

// Emergency decides for the owner of one term when to ask other entries whether the table
// serves them, and when to yield to one of them.
type Emergency struct {
	cfg   EmergencyConfig
	term  Term
	phase emergencyPhase
	// number counts the steps. Answers to earlier ones are ignored.
	number  uint64
	nextAsk time.Duration
	askedAt time.Duration
	asked   []Peer // those that have not answered
	// confirmed is the largest peer that has confirmed.
	confirmed   Peer
	probedAt    time.Duration
	probe       uint64
	probeFailed bool
	yieldedAt   time.Duration
	yielded     bool
	revision    uint64
}

// NewEmergency returns the state for a term.
func NewEmergency(cfg EmergencyConfig, term Term) *Emergency {
	return &Emergency{cfg: cfg, term: term}
}

// Suspects reports whether the owner has to assume that it does not reach the table.
func (e *Emergency) Suspects(now time.Duration, c Contact) bool {
	return now >= c.AnsweredAt+e.cfg.AnswerAge && (c.Failed >= e.cfg.FailedCalls || now >= c.RenewedAt+e.cfg.RenewalAge)
}

// Next returns what is due at now. The peers are the other entries that are known.
func (e *Emergency) Next(now time.Duration, c Contact, peers []Peer) Step {
	e.revision = c.Revision
	if !e.yielded && !e.Suspects(now, c) {
		e.phase = phaseWatching
		return Step{}
	}
	switch e.phase {
	case phaseWatching:
		if now >= e.nextAsk && len(peers) > 0 {
			return e.ask(now, peers)
		}
	case phaseAsking:
		return e.afterQuestion(now)
	case phaseProbing:
		return e.afterProbe(now)
	case phaseYielding:
		if now >= e.yieldedAt+e.cfg.YieldTimeout {
			e.phase = phaseWatching
		}
	case phaseAccepted:
	}
	return Step{}
}

// afterQuestion returns the step after the answers so far. An owner that has yielded
// before needs no probe: it is no longer the confirmed owner.
func (e *Emergency) afterQuestion(now time.Duration) Step {
	switch {
	case e.confirmed.VM != "" && e.yielded:
		return e.yield(now)
	case e.confirmed.VM != "":
		e.phase, e.probedAt, e.probeFailed = phaseProbing, now, false
		e.number++
		e.probe = e.number
		return Step{Kind: StepProbe, Number: e.probe}
	case len(e.asked) == 0 || now >= e.askedAt+e.cfg.AskTimeout:
		e.phase = phaseWatching
	}
	return Step{}
}

// afterProbe returns the yield once the probe has failed and the peer is chosen.
func (e *Emergency) afterProbe(now time.Duration) Step {
	if now >= e.askedAt+e.cfg.AskTimeout+e.cfg.ProbeTimeout {
		e.phase = phaseWatching // this process was paused, so the confirmation is old
		return Step{}
	}
	failed := e.probeFailed || now >= e.probedAt+e.cfg.ProbeTimeout
	chosen := e.confirmed.Cores >= e.cfg.FullCores || len(e.asked) == 0 || now >= e.askedAt+e.cfg.LargePeerWait
	if failed && chosen {
		return e.yield(now)
	}
	return Step{}
}

func (e *Emergency) ask(now time.Duration, peers []Peer) Step {
	sorted := slices.Clone(peers)
	slices.SortStableFunc(sorted, func(a, b Peer) int {
		switch {
		case a.Cores > b.Cores:
			return -1
		case a.Cores < b.Cores:
			return 1
		}
		return 0
	})
	sorted = sorted[:min(len(sorted), e.cfg.MaxPeers)]
	e.number++
	e.phase, e.askedAt, e.nextAsk = phaseAsking, now, now+e.cfg.AskInterval
	e.asked, e.confirmed = slices.Clone(sorted), Peer{}
	return Step{Kind: StepAsk, Number: e.number, Peers: sorted}
}

func (e *Emergency) yield(now time.Duration) Step {
	e.number++
	e.phase, e.yieldedAt, e.yielded = phaseYielding, now, true
	return Step{Kind: StepYield, Number: e.number, Peers: []Peer{e.confirmed}, Yield: Yield{Term: e.term, Revision: e.revision}}
}

// Confirmed records that a peer which was asked in the step with the given number has
// read the lease row. Only a row that names this term, and is not older than the last
// known renewal, counts.
func (e *Emergency) Confirmed(number uint64, vm types.VMID, read LeaseRead) {
	if peer, ok := e.answered(number, vm); ok && read.Term == e.term && read.Revision >= e.revision && (e.confirmed.VM == "" || peer.Cores > e.confirmed.Cores) {
		e.confirmed = peer
	}
}

// NotConfirmed records that a peer which was asked could not read the row, or was not
// reached.
func (e *Emergency) NotConfirmed(number uint64, vm types.VMID) {
	e.answered(number, vm)
}

// answered removes the peer from those that are asked. It returns false if the answer is
// late or repeated.
func (e *Emergency) answered(number uint64, vm types.VMID) (Peer, bool) {
	current := e.phase == phaseAsking && number == e.number || e.phase == phaseProbing && number == e.probe-1
	i := slices.IndexFunc(e.asked, func(p Peer) bool { return p.VM == vm })
	if !current || i < 0 {
		return Peer{}, false
	}
	peer := e.asked[i]
	e.asked = slices.Delete(e.asked, i, i+1)
	return peer, true
}

// ProbeFailed records that the read of the step with the given number has failed.
func (e *Emergency) ProbeFailed(number uint64) {
	if e.phase == phaseProbing && number == e.probe {
		e.probeFailed = true
	}
}

// YieldAnswered records the answer to the yield of the step with the given number. If
// the peer does not accept it, or its answer is lost, the owner asks again. It has
// yielded nevertheless.
func (e *Emergency) YieldAnswered(number uint64, accepted bool) {
	if e.phase != phaseYielding || number != e.number {
		return
	}
	e.phase = phaseWatching
	if accepted {
		e.phase = phaseAccepted
	}
}
