package outage

import (
	"slices"
	"time"
)

// ForwardConfig holds the times and limits of forwarded submissions. All fields are
// required.
type ForwardConfig struct {
	// A round asks up to MaxAsked peers whether the service serves them. Rounds are at
	// least Interval apart. The interval doubles up to MaxInterval with each round, until
	// a peer confirms. Answers after AskTimeout are ignored.
	MaxAsked              int
	Interval, MaxInterval time.Duration
	AskTimeout            time.Duration
	// Validity is how long a peer counts as served after the start of the call that has
	// shown it.
	Validity time.Duration
	// MaxInFlight bounds the forwarded submissions without a response, and MaxPerPeer
	// those at one peer.
	MaxInFlight, MaxPerPeer int
	// A submission is not forwarded if less than MinTime is left for the peer. The peer
	// is asked for at most MaxTime, and Reserve is left for the caller's response.
	MinTime, MaxTime, Reserve time.Duration
	// MaxWait bounds the wait of a submission for answers and for other submissions.
	MaxWait time.Duration
	// PeerPause is how long a peer that has not responded is left alone.
	PeerPause time.Duration
	// PartitionPause is how long submissions to a partition are not forwarded after a
	// peer has not accepted one to it. It doubles each time, up to MaxPartitionPause.
	PartitionPause, MaxPartitionPause time.Duration
	// MaxBytes is the largest job that is forwarded.
	MaxBytes int
}

// DefaultForwardConfig returns the limits for callers that wait for 2.85 s, of which the
// admission of a submission takes up to 0.7 s.
func DefaultForwardConfig() ForwardConfig {
	return ForwardConfig{
		// After the loss of a failure domain a third of the listed entries are dead: with
		// three peers a round reaches a live one in 96% of cases.
		MaxAsked: 3,
		// A rejected submission probes the table as often.
		Interval: 200 * time.Millisecond,
		// In an outage of the whole table each of 15 entries asks for 1.5 reads per second.
		MaxInterval: 2 * time.Second,
		// A read usually takes 4 ms. A peer that needs longer is no better off than this
		// process.
		AskTimeout: 300 * time.Millisecond,
		// A probe of the table takes as long at most. After a whole outage has begun,
		// nothing is forwarded for longer than that.
		Validity: 650 * time.Millisecond,
		// An entry gets 2 to 15 submissions per second: 8 in flight suffice at 0.5 s each.
		// Half of them at one peer leave it room for its own.
		MaxInFlight: 8, MaxPerPeer: 4,
		// A peer reads and writes once: 360 ms in all if the table is 60 times slower.
		MinTime: 400 * time.Millisecond,
		// With the admission and MaxWait, 0.35 s of the callers' 2.85 s are left to read
		// the job back after a lost response.
		MaxTime: 1400 * time.Millisecond,
		Reserve: 150 * time.Millisecond,
		MaxWait: 400 * time.Millisecond,
		// The other peers are asked meanwhile, and a paused VM usually goes on within it.
		PeerPause: 2 * time.Second,
		// A partition that fails for all is tried as often as submissions to it probe it,
		// and less often when it lasts: outages of a partition take about 6 s.
		PartitionPause: 400 * time.Millisecond, MaxPartitionPause: 2 * time.Second,
		// A caller's body is as large at most, unless the operator allows more.
		MaxBytes: 256 << 10,
	}
}

// ForwardKind is what to do with a submission that this process cannot send.
type ForwardKind int

// Kinds of steps.
const (
	// ForwardGiveUp: reject the submission, which was not sent.
	ForwardGiveUp ForwardKind = iota
	// ForwardAsk: ask the peers of the round, and then wait.
	ForwardAsk
	// ForwardWait: call Next again soon.
	ForwardWait
	// ForwardSend: forward the submission to the peer. Ended or GivenUp must follow.
	ForwardSend
)

// ForwardStep is a decision about a submission.
type ForwardStep struct {
	Kind ForwardKind
	// Round identifies a round of questions to Peers.
	Round uint64
	Peers []string
	// Peer is asked for at most Timeout.
	Peer    string
	Timeout time.Duration
	// Cause is the reason for giving up.
	Cause string
}

// ForwardResult is the result of a forwarded submission.
type ForwardResult int

// Results. ForwardUnsent means that no connection to the peer could be made, so that it
// cannot have received the submission.
const (
	ForwardLost ForwardResult = iota
	ForwardUnsent
	ForwardNotRun
	ForwardAccepted
)

func (r ForwardResult) String() string {
	return [...]string{"lost", "unsent", "not_run", "accepted"}[r]
}

// Submission is what Next needs to know of a submission.
type Submission struct {
	Partition string
	Bytes     int
	// Remaining is the time until the caller's deadline, Waited the time since the first
	// call of Next for this submission.
	Remaining, Waited time.Duration
}

// Forwarding decides whether a submission that the service does not serve is forwarded to
// a peer that it serves. Peers are asked only while there are such submissions. In an
// outage of the whole service none confirms, and the rounds become rare.
//
// Submissions are first forwarded one at a time; each accepted one allows one more, and a
// lost response allows one only again.
//
// Times are readings of one monotonic clock. A Forwarding is not safe for concurrent use.
type Forwarding struct {
	cfg ForwardConfig
	// offset rotates the choice of peers. Processes start with different values, so that
	// they do not all ask the same ones.
	offset uint64
	round  uint64
	// roundAt is the start of the last round, pending the number of its answers that are
	// missing, and interval the time until the next one.
	roundAt, interval time.Duration
	pending           int
	// confirmed holds the time of the latest evidence that a peer is served, and pausedTo
	// the time until which a peer is not used.
	confirmed, pausedTo map[string]time.Duration
	inFlight            map[string]int
	total, window       int
	partitions          map[string]partitionPause
}

type partitionPause struct {
	until, length time.Duration
}

// NewForwarding returns a Forwarding that has asked nobody yet.
func NewForwarding(cfg ForwardConfig, offset uint64) *Forwarding {
	return &Forwarding{
		cfg: cfg, offset: offset, window: 1, confirmed: make(map[string]time.Duration), pausedTo: make(map[string]time.Duration),
		inFlight: make(map[string]int), partitions: make(map[string]partitionPause),
	}
}

// Next decides about a submission that the service does not serve.
func (f *Forwarding) Next(now time.Duration, s Submission, peers []string) ForwardStep {
	timeout := min(s.Remaining-f.cfg.Reserve, f.cfg.MaxTime)
	switch {
	case s.Bytes > f.cfg.MaxBytes:
		return ForwardStep{Cause: "too_large"}
	case timeout < f.cfg.MinTime:
		return ForwardStep{Cause: "deadline"}
	case now < f.partitions[s.Partition].until:
		return ForwardStep{Cause: "partition"}
	}
	served, free := f.choose(now, peers)
	switch {
	case free != "" && f.total < f.window:
		f.inFlight[free]++
		f.total++
		f.offset++
		return ForwardStep{Kind: ForwardSend, Peer: free, Timeout: timeout}
	case s.Waited >= f.cfg.MaxWait:
		return ForwardStep{Cause: map[bool]string{true: "busy", false: "no_peer"}[served]}
	case served || f.pending > 0 && now < f.roundAt+f.cfg.AskTimeout:
		return ForwardStep{Kind: ForwardWait}
	case f.round > 0 && now < f.roundAt+f.interval:
		return ForwardStep{Cause: "no_peer"}
	}
	return f.ask(now, peers)
}

// choose returns the peer to forward to, and whether any peer is served. The peer with the
// fewest submissions in flight comes first.
func (f *Forwarding) choose(now time.Duration, peers []string) (served bool, free string) {
	least := f.cfg.MaxPerPeer
	for i := range peers {
		p := peers[(f.offset+uint64(i))%uint64(len(peers))]
		if at, ok := f.confirmed[p]; !ok || now >= at+f.cfg.Validity {
			continue
		}
		served = true
		if f.inFlight[p] < least {
			least, free = f.inFlight[p], p
		}
	}
	return served, free
}

func (f *Forwarding) ask(now time.Duration, peers []string) ForwardStep {
	var asked []string
	for i := range peers {
		p := peers[(f.offset+uint64(i))%uint64(len(peers))]
		if now >= f.pausedTo[p] && len(asked) < f.cfg.MaxAsked {
			asked = append(asked, p)
		}
	}
	if len(asked) == 0 {
		return ForwardStep{Cause: "no_peer"}
	}
	f.interval = min(max(2*f.interval, f.cfg.Interval), f.cfg.MaxInterval)
	f.round++
	f.roundAt, f.pending = now, len(asked)
	f.offset += uint64(len(asked))
	f.forget(peers)
	return ForwardStep{Kind: ForwardAsk, Round: f.round, Peers: asked}
}

// forget drops what is known of peers that no longer exist.
func (f *Forwarding) forget(peers []string) {
	for _, m := range []map[string]time.Duration{f.confirmed, f.pausedTo} {
		for p := range m {
			if !slices.Contains(peers, p) {
				delete(m, p)
			}
		}
	}
}

// Answered records the answer of a peer to a round of questions: whether the service
// serves it.
func (f *Forwarding) Answered(now time.Duration, round uint64, peer string, served bool) {
	if round != f.round {
		return
	}
	f.pending--
	if served && now < f.roundAt+f.cfg.AskTimeout {
		f.confirm(peer, f.roundAt)
	}
}

func (f *Forwarding) confirm(peer string, at time.Duration) {
	f.confirmed[peer] = max(f.confirmed[peer], at)
	f.interval = 0
}

// Ended records the result of a submission that was forwarded to the peer at the time
// started.
func (f *Forwarding) Ended(now, started time.Duration, peer, partition string, r ForwardResult) {
	f.release(peer)
	if r == ForwardAccepted {
		f.window = min(f.window+1, f.cfg.MaxInFlight)
		f.confirm(peer, started)
		delete(f.partitions, partition)
		return
	}
	// The peer must confirm again that it is served before it gets another submission.
	delete(f.confirmed, peer)
	if r == ForwardNotRun {
		pause := f.partitions[partition]
		pause.length = min(max(2*pause.length, f.cfg.PartitionPause), f.cfg.MaxPartitionPause)
		pause.until = now + pause.length
		f.partitions[partition] = pause
		return
	}
	f.window = 1
	f.pausedTo[peer] = now + f.cfg.PeerPause
}

// GivenUp records that the caller of a submission that was forwarded to the peer does not
// wait for its result any more, which says nothing about the peer.
func (f *Forwarding) GivenUp(peer string) { f.release(peer) }

func (f *Forwarding) release(peer string) {
	f.total--
	if f.inFlight[peer]--; f.inFlight[peer] == 0 {
		delete(f.inFlight, peer)
	}
}
