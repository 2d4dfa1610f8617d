// Package confsync keeps the configuration of a process up to date: it reads the
// accepted configuration from the table (entries and shard owners), fetches
// deltas from peers, and decides whether the process may accept new work.
package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/clock"
	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

var (
	eventInEffect = telemetry.Define(250, logrus.InfoLevel, "configuration in effect",
		"The process uses a newly accepted version. No action.")
	eventRejected = telemetry.Define(251, logrus.ErrorLevel, "configuration delta rejected",
		"A delta was incomplete, damaged or inconsistent with the current version; the current version stays in effect and a full copy is fetched. If it repeats, compare the release of the sending process.")
	eventUnconfirmed = telemetry.Define(252, logrus.WarnLevel, "new work stopped: configuration cannot be confirmed",
		"The process is disconnected from the table and from most failure domains of its region. Check the network of its VM.")
	eventConfirmed = telemetry.Define(253, logrus.InfoLevel, "new work allowed again",
		"The configuration is confirmed again. No action.")
)

// Syncer holds the configuration that is in effect in one process. It is safe
// for concurrent use.
type Syncer struct {
	log    *telemetry.Logger
	now    clock.Func
	region types.Region

	current atomic.Pointer[config.Config]

	mu             sync.Mutex
	confirmer      *config.Confirmer
	confirmedAt    time.Duration
	confirmed      bool
	newWorkStopped bool
	watchers       []func(*config.Config)
}

// New returns a syncer without a configuration.
func New(region types.Region, now clock.Func, log *telemetry.Logger) *Syncer {
	return &Syncer{log: log, now: now, region: region, confirmer: config.NewConfirmer()}
}

// Current returns the configuration in effect, or nil.
func (s *Syncer) Current() *config.Config { return s.current.Load() }

// Version returns the version in effect, or 0 if there is none.
func (s *Syncer) Version() types.Version {
	if c := s.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// Watch calls f with the configuration in effect, immediately if there is one
// and after each change. f runs on the goroutine that calls Watch or Apply. It may
// be called concurrently and more than once with the same version.
func (s *Syncer) Watch(f func(*config.Config)) {
	s.mu.Lock()
	s.watchers = append(s.watchers, f)
	s.mu.Unlock()
	if c := s.current.Load(); c != nil {
		f(c)
	}
}

// Apply puts a delta into effect if it is newer than the current version. It
// returns an error if the delta cannot be applied.
func (s *Syncer) Apply(d config.Delta) error {
	s.mu.Lock()
	held := s.current.Load()
	next, err := held.Apply(d)
	if err != nil {
		s.mu.Unlock()
		s.log.Log(eventRejected, err, telemetry.Fields{"version": d.Head.Version})
		return err
	}
	if next == held {
		s.mu.Unlock()
		return nil
	}
	s.current.Store(next)
	s.confirmer.Hold(next, s.region)
	watchers := s.watchers
	s.mu.Unlock()
	s.log.Log(eventInEffect, nil, telemetry.Fields{"version": next.Version()})
	for _, f := range watchers {
		f(s.current.Load())
	}
	return nil
}

// Confirm records that v was the accepted version at the given time on this
// process's clock.
func (s *Syncer) Confirm(at time.Duration, v types.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmer.Confirmed(at, v)
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed, s.confirmedAt = true, at
	}
}

// RecordPeer records the header of a message from a peer: the peer's failure
// domain ("" if unknown), its version, and how long ago it last confirmed that
// version. Confirmations older than config.ContactValidity are ignored.
// RecordPeer reports whether the version is higher than the current one, in which
// case the caller should fetch a delta.
func (s *Syncer) RecordPeer(domain types.FailureDomain, v types.Version, age time.Duration, ageKnown bool) bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if domain != "" {
		s.confirmer.PeerReached(now, domain)
	}
	if ageKnown && age < config.ContactValidity {
		at := now - age
		s.confirmer.Confirmed(at, v)
		if !s.confirmed || at > s.confirmedAt {
			s.confirmed, s.confirmedAt = true, at
		}
	}
	return v > s.confirmer.Held()
}

// TableReached records that the table has answered. The time is one between
// sending the request and receiving the answer, on this process's clock.
func (s *Syncer) TableReached(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmer.TableReached(at)
}

// MayTakeNew reports whether the process may accept new work now. It logs
// an event when that changes.
func (s *Syncer) MayTakeNew() bool {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.confirmer.MayTakeNew(now)
	if s.confirmer.Held() != 0 && verdict.MayTakeNew == s.newWorkStopped {
		s.newWorkStopped = !verdict.MayTakeNew
		event := eventConfirmed
		if s.newWorkStopped {
			event = eventUnconfirmed
		}
		s.log.Log(event, nil, telemetry.Fields{"basis": verdict.Basis.String()})
	}
	return verdict.MayTakeNew
}

// Age returns the time since a version was last confirmed, and false if none has
// been confirmed yet.
func (s *Syncer) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() - s.confirmedAt, s.confirmed
}

// AgeMS returns the result of Age in milliseconds, or -1 if no version has been
// confirmed yet.
func (s *Syncer) AgeMS() int64 {
	age, ok := s.Age()
	if !ok {
		return -1
	}
	return age.Milliseconds()
}

// Fetch implements the server side of ConfigService.Fetch.
func (s *Syncer) Fetch(_ context.Context, r *wirepb.FetchRequest) (*wirepb.FetchResponse, error) {
	c := s.Current()
	resp := &wirepb.FetchResponse{ConfirmedAgeMs: s.AgeMS()}
	if c == nil {
		return resp, nil
	}
	resp.Version = uint64(c.Version())
	if r.GetHeld() >= resp.GetVersion() {
		return resp, nil
	}
	delta, err := json.Marshal(c.DeltaSince(types.Version(r.GetHeld())))
	if err != nil {
		return nil, err
	}
	resp.Delta = delta
	return resp, nil
}

// FetchChanges fetches from the peer the changes since the current version. If
// the delta lacks parts that this process does not have, FetchChanges fetches the
// whole configuration. It also records the age of the peer's confirmation.
func (s *Syncer) FetchChanges(ctx context.Context, peer wirepb.ConfigService) error {
	err := s.fetchChanges(ctx, peer, s.Version())
	var gap *config.GapError
	if errors.As(err, &gap) {
		return s.fetchChanges(ctx, peer, 0)
	}
	return err
}

func (s *Syncer) fetchChanges(ctx context.Context, peer wirepb.ConfigService, held types.Version) error {
	sent := s.now()
	resp, err := peer.Fetch(ctx, &wirepb.FetchRequest{Held: uint64(held)})
	if err != nil {
		return err
	}
	if len(resp.GetDelta()) > 0 {
		var d config.Delta
		if err := json.Unmarshal(resp.GetDelta(), &d); err != nil {
			return err
		}
		if err := s.Apply(d); err != nil {
			return err
		}
	}
	if age := resp.GetConfirmedAgeMs(); age >= 0 {
		s.Confirm(sent-time.Duration(age)*time.Millisecond, types.Version(resp.GetVersion()))
	}
	return nil
}
