package jobs

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/handover"
	"github.com/boragecrank/boragecrank/internal/core/outage"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/platform"
	"github.com/boragecrank/boragecrank/internal/telemetry"
)

const (
	// forwardPoll is the time between two decisions about a waiting submission: a peer
	// usually answers within a few milliseconds.
	forwardPoll = 5 * time.Millisecond
	// forwardReturn is the part of the time of a forwarded submission that is left for
	// the peer's response to arrive.
	forwardReturn = 50 * time.Millisecond
	// forwardReadTimeout bounds the read with which a peer checks that the table serves the
	// job's partition. It is shorter than the time of any forwarded submission, and a
	// write must fit into the rest.
	forwardReadTimeout = 250 * time.Millisecond
	// unresolvedRetention is how long a submission without a known outcome is remembered.
	// Callers make all attempts within about 3 s, and the table carries out a write within
	// a few seconds; outages take about 10 s.
	unresolvedRetention = 30 * time.Second
	// maxUnresolved bounds the submissions that are remembered: 30 s of 15 submissions per
	// second, and as many again.
	maxUnresolved = 1024
	// forwardEpisodeGap is the time without forwarded submissions after which 745 is
	// logged again. It is longer than the pauses between a caller's attempts.
	forwardEpisodeGap = 10 * time.Second
	// maxForwardedIDBytes bounds the ID of a forwarded job. The caller's interface accepts
	// 16 characters.
	maxForwardedIDBytes = 64
)

var (
	eventForwarding = telemetry.Define(745, logrus.WarnLevel, "submissions are forwarded to another entry",
		"The table does not serve this entry (356), but the other one. Callers get its response; 730 names it in the field by. Logged once until nothing was forwarded for 10 s. Fields: job, to, cause. Check the network path from this entry to the platform's store, and whether the store rejects this entry.")
	eventNotForwarded = telemetry.Define(746, logrus.InfoLevel, "submission forwarded but not accepted",
		"The other entry has not stored the job, so the caller is asked to retry (731). Fields: job, to, cause. If it repeats, the table fails for both entries, or the other one runs without --pass-submissions.")
	eventForwardLost = telemetry.Define(747, logrus.WarnLevel, "no response to a forwarded submission",
		"The other entry may have stored the job. This entry reads it back (734), and otherwise answers that the outcome is unknown. Fields: job, to. Check the other entry and the internal network.")
	eventForwardReceived = telemetry.Define(748, logrus.InfoLevel, "forwarded submission received",
		"Another entry, which the table does not serve, has forwarded a job to this one. 730 or 731 states the outcome, unless the table does not serve the job's partition here either. Fields: job. No action.")
	eventForwardMalformed = telemetry.Define(749, logrus.WarnLevel, "forwarded submission is not usable",
		"The job of a forwarded submission cannot be decoded or is not valid; it is rejected. Fields: job. Check that all entries run compatible versions, and that no other process uses the internal port.")
)

// ForwardedJob is a job that one entry forwards to another.
type ForwardedJob struct {
	ID types.JobID
	// Spec is the job as it is stored.
	Spec []byte
	// Version is the configuration with which it was accepted.
	Version types.Version
}

// ForwardAnswer is the response to a forwarded job.
type ForwardAnswer struct {
	Outcome outage.ForwardResult
	// By is the entry that has answered.
	By types.VMID
	// Cause says why the job was not accepted.
	Cause      string
	RetryAfter time.Duration
	// State is the state row of an accepted job, and Revision its revision; 0 if unknown.
	State    []byte
	Revision uint64
}

// ForwardClient calls other entries.
type ForwardClient interface {
	// ReadLeaseForSubmissions asks the entry at an address to read the lease row, and
	// returns an error if it cannot store submissions.
	ReadLeaseForSubmissions(ctx context.Context, address string) error
	// SubmitJob forwards a job to the entry at an address, which ends its attempt before
	// the timeout. The outcome is lost if it is unknown.
	SubmitJob(ctx context.Context, address string, job ForwardedJob, timeout time.Duration) (ForwardAnswer, error)
}

// Forwarder forwards submissions that the table does not serve to other entries.
type Forwarder struct {
	// peers returns the other entries as last read.
	peers  func() []handover.Peer
	client ForwardClient
	log    *telemetry.Logger
	scope  tally.Scope

	mu      sync.Mutex
	machine *outage.Forwarding
	lastAt  time.Duration // of the last forwarded submission; 0 before
	// unresolved holds the submissions whose outcome is not known.
	unresolved map[types.JobID]unresolvedJob
}

// unresolvedJob is a submission that was sent to the table or to another entry.
type unresolvedJob struct {
	inFlight int
	// until is the time until which it may be carried out by an earlier attempt.
	until time.Duration
}

// NewForwarder returns a forwarder. The offset, which should differ between entries,
// spreads their calls over the peers.
func NewForwarder(peers func() []handover.Peer, client ForwardClient, offset uint64, t *telemetry.Telemetry) *Forwarder {
	return &Forwarder{
		peers: peers, client: client, log: t.Log, scope: t.Metrics,
		machine: outage.NewForwarding(outage.DefaultForwardConfig(), offset), unresolved: make(map[types.JobID]unresolvedJob),
	}
}

// begin records the start of an attempt. It returns true if the outcome of another attempt
// of the same job is unknown: then this one may not be forwarded, nor reported as not run.
func (f *Forwarder) begin(id types.JobID) bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.unresolved[id]
	unknown := u.unknown(clock.Now())
	u.inFlight++
	f.unresolved[id] = u
	return unknown
}

// unknown reports whether the outcome of an attempt of the job is unknown.
func (f *Forwarder) unknown(id types.JobID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unresolved[id].unknown(clock.Now())
}

func (u unresolvedJob) unknown(now time.Duration) bool { return u.inFlight > 0 || now < u.until }

// end records the end of an attempt. unknown is set if it may have stored the job, or may
// still do so.
func (f *Forwarder) end(id types.JobID, unknown bool) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	u := f.unresolved[id]
	u.inFlight--
	if unknown {
		u.until = now + unresolvedRetention
	}
	f.unresolved[id] = u
	if u.inFlight == 0 && now >= u.until {
		delete(f.unresolved, id)
	}
	f.limitUnresolved(now)
}

// limitUnresolved forgets what has expired, and the oldest submission if there are still
// too many. The caller must hold f.mu.
func (f *Forwarder) limitUnresolved(now time.Duration) {
	if len(f.unresolved) <= maxUnresolved {
		return
	}
	var oldest types.JobID
	for id, u := range f.unresolved {
		switch {
		case u.inFlight > 0:
		case now >= u.until:
			delete(f.unresolved, id)
		case oldest == "" || u.until < f.unresolved[oldest].until:
			oldest = id
		}
	}
	if len(f.unresolved) > maxUnresolved {
		delete(f.unresolved, oldest)
	}
}

// forward tries to have a job stored by another entry. The job must not have been sent to
// the table. It returns false if the job was not forwarded.
func (f *Forwarder) forward(ctx context.Context, job ForwardedJob, cause error) (ForwardAnswer, bool) {
	if f == nil || !errors.Is(cause, errTableUnresponsive) && !errors.Is(cause, errOutageSuspected) {
		return ForwardAnswer{}, false
	}
	begin := clock.Now()
	for ctx.Err() == nil {
		now, peers := clock.Now(), f.peers()
		s := outage.Submission{Partition: partition(job.ID), Bytes: len(job.Spec), Remaining: remaining(ctx), Waited: now - begin}
		f.mu.Lock()
		step := f.machine.Next(now, s, names(peers))
		f.mu.Unlock()
		switch step.Kind {
		case outage.ForwardGiveUp:
			f.count("rejected_" + step.Cause)
			return ForwardAnswer{}, false
		case outage.ForwardSend:
			return f.send(ctx, job, step, addressOf(peers, step.Peer), cause)
		case outage.ForwardAsk:
			f.ask(step, peers)
		case outage.ForwardWait:
		}
		sleep(ctx, forwardPoll)
	}
	return ForwardAnswer{}, false
}

// noDeadline is the time that a caller without a deadline waits. Callers of the platform
// have one.
const noDeadline = 3 * time.Second

func remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return noDeadline
}

func names(peers []handover.Peer) []string {
	out := make([]string, len(peers))
	for i, p := range peers {
		out[i] = string(p.VM)
	}
	return out
}

func addressOf(peers []handover.Peer, name string) string {
	for _, p := range peers {
		if string(p.VM) == name {
			return p.Address
		}
	}
	return ""
}

// ask asks the peers of a round in the background. All submissions that wait use the
// answers, so that the end of one of them does not end the calls.
func (f *Forwarder) ask(step outage.ForwardStep, peers []handover.Peer) {
	f.scope.Counter("jobs_forward_rounds").Inc(1)
	for _, name := range step.Peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), outage.DefaultForwardConfig().AskTimeout)
			defer cancel()
			err := f.client.ReadLeaseForSubmissions(ctx, addressOf(peers, name))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.machine.Answered(clock.Now(), step.Round, name, err == nil)
		}()
	}
}

func (f *Forwarder) send(caller context.Context, job ForwardedJob, step outage.ForwardStep, address string, cause error) (ForwardAnswer, bool) {
	ctx, cancel := context.WithTimeout(caller, step.Timeout)
	defer cancel()
	began := clock.Now()
	f.mu.Lock()
	first := f.lastAt == 0 || began >= f.lastAt+forwardEpisodeGap
	f.lastAt = began
	f.mu.Unlock()
	if first {
		f.log.Log(eventForwarding, nil, telemetry.Fields{"job": job.ID, "to": step.Peer, "cause": refusalCause(cause)})
	}
	a, err := f.client.SubmitJob(ctx, address, job, step.Timeout-forwardReturn)
	a.By = types.VMID(step.Peer)
	f.mu.Lock()
	if a.Outcome == outage.ForwardLost && errors.Is(caller.Err(), context.Canceled) {
		f.machine.GivenUp(step.Peer) // the caller has closed its connection
	} else {
		f.machine.Ended(clock.Now(), began, step.Peer, partition(job.ID), a.Outcome)
	}
	f.mu.Unlock()
	f.count(a.Outcome.String())
	fields := telemetry.Fields{"job": job.ID, "to": step.Peer}
	switch a.Outcome {
	case outage.ForwardLost:
		f.log.Log(eventForwardLost, err, fields)
	case outage.ForwardNotRun, outage.ForwardUnsent:
		fields["cause"] = a.Cause
		f.log.Log(eventNotForwarded, err, fields)
	case outage.ForwardAccepted:
	}
	return a, a.Outcome != outage.ForwardUnsent
}

// count counts the results of submissions that the table does not serve.
func (f *Forwarder) count(outcome string) {
	f.scope.Tagged(map[string]string{"outcome": outcome}).Counter("jobs_forwarded_submissions").Inc(1)
}

// ForwardTo makes the intake forward submissions that the table does not serve, and accept
// those of other entries. It must be called before the intake is used.
func (in *Intake) ForwardTo(f *Forwarder) { in.forwarder = f }

// AcceptForwarded stores a job that another entry has forwarded. It is never forwarded
// again. The outcome is not run only if the job is not stored and never will be.
func (in *Intake) AcceptForwarded(ctx context.Context, f ForwardedJob) ForwardAnswer {
	if in.forwarder == nil {
		return ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: "the entry does not accept forwarded submissions"}
	}
	in.log.Log(eventForwardReceived, nil, telemetry.Fields{"job": f.ID})
	job, err := decodeForwarded(f)
	if err != nil {
		in.log.Log(eventForwardMalformed, err, telemetry.Fields{"job": f.ID})
		return ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: err.Error()}
	}
	if err = in.checkPartition(ctx, job.ID); err == nil {
		err = in.submit(ctx, job, f.Version, true)
	}
	a := in.forwardAnswer(job.ID, err)
	in.forwarder.scope.Tagged(map[string]string{"outcome": a.Outcome.String()}).Counter("jobs_received_submissions").Inc(1)
	return a
}

// decodeForwarded decodes and checks a forwarded job.
func decodeForwarded(f ForwardedJob) (*workflow.Job, error) {
	if f.ID == "" || len(f.ID) > maxForwardedIDBytes || strings.Contains(string(f.ID), "/") {
		return nil, fmt.Errorf("job ID %.64q cannot be part of a key", f.ID)
	}
	job, err := decode[workflow.Job](jobKey(f.ID), f.Spec)
	if err != nil {
		return nil, err
	}
	if job.ID != f.ID {
		return nil, fmt.Errorf("the job has the ID %q, not %q", job.ID, f.ID)
	}
	return &job, job.Check()
}

// checkPartition reads a job's state, which shows that the table serves its partition
// here: one that fails for all entries would otherwise lose the write, and the caller would
// get an unknown outcome instead of a rejection.
func (in *Intake) checkPartition(ctx context.Context, id types.JobID) error {
	if in.stored(id) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardReadTimeout)
	defer cancel()
	rows, err := in.table.Get(ctx, stateKey(id))
	if err != nil {
		if in.forwarder.unknown(id) {
			return apperr.Wrap(err, apperr.KindUncertain, "the platform's table", "gave no answer, and an earlier attempt may be stored", "submit the job again under the same ID")
		}
		return in.unavailableError(stateKey(id), err)
	}
	if rows[0].Revision != 0 {
		in.recordState(&rows[0])
	}
	return nil
}

func (in *Intake) forwardAnswer(id types.JobID, err error) ForwardAnswer {
	switch {
	case err == nil:
		in.mu.RLock()
		defer in.mu.RUnlock()
		known := in.states[id]
		return ForwardAnswer{Outcome: outage.ForwardAccepted, State: encode(known.stateRow), Revision: known.revision}
	case apperr.KindOf(err) == apperr.KindUnavailable:
		return ForwardAnswer{Outcome: outage.ForwardNotRun, Cause: err.Error(), RetryAfter: apperr.From(err).RetryAfter}
	}
	return ForwardAnswer{Outcome: outage.ForwardLost, Cause: err.Error()}
}

// acceptedRow returns the state row of a job that another entry has accepted. If the
// response does not hold it, the follower will receive it.
func acceptedRow(created platform.Write, a ForwardAnswer) platform.Row {
	if _, err := decode[stateRow](created.Key, a.State); err != nil || a.Revision == 0 {
		return platform.Row{Key: created.Key, Value: created.Value}
	}
	return platform.Row{Key: created.Key, Value: a.State, Revision: a.Revision}
}
