package benchsize

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/config"
	"github.com/boragecrank/boragecrank/internal/localrun"
)

// pollInterval is the time between two readings of the version of a process. It
// limits the error of the measured times.
const pollInterval = 200 * time.Millisecond

// change is one accepted configuration version.
type change struct {
	version float64
	at      time.Time
}

// Propagation measures how long accepted configuration versions take to reach
// every process. It also checks that the version of a process never decreases,
// including across a restart.
type Propagation struct {
	d *localrun.Deployment

	mu        sync.Mutex
	targets   map[string]string
	highest   map[string]float64
	pending   []change
	decreases []string
	// Durations holds, for each version that has reached every process, the
	// time that this took.
	Durations []time.Duration
}

// NewPropagation returns a Propagation that watches the processes that are
// running.
func NewPropagation(d *localrun.Deployment) *Propagation {
	s := &Propagation{d: d, targets: make(map[string]string), highest: make(map[string]float64)}
	for _, t := range ListTargets(d) {
		s.targets[t.Name] = t.Metrics
	}
	return s
}

// StopWatching removes a process that was killed from the watched processes.
func (s *Propagation) StopWatching(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.targets, name)
}

// WatchProcess watches a restarted process. Its version must not be lower than
// before the restart.
func (s *Propagation) WatchProcess(name, metrics string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[name] = metrics
}

// ApplyChange changes the retry budget through the operator API and records
// when the change was accepted.
func (s *Propagation) ApplyChange(ctx context.Context, budget float64) error {
	c, err := Client(s.d)
	if err != nil {
		return err
	}
	present, err := c.Config(ctx)
	if err != nil {
		return err
	}
	next, err := withRetryBudget(present, budget)
	if err != nil {
		return err
	}
	if _, err := c.PutConfig(ctx, present.Version(), next); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{version: float64(next.Version()), at: time.Now()})
	return nil
}

func withRetryBudget(present *config.Config, budget float64) (*config.Config, error) {
	content := *present.Content()
	content.Rules.RetryBudget = budget
	return config.New(present.Version()+1, content, present)
}

// PollVersions reads the versions of the watched processes until the context is
// cancelled.
func (s *Propagation) PollVersions(ctx context.Context) {
	for Sleep(ctx, pollInterval) == nil {
		s.mu.Lock()
		targets := make([]Target, 0, len(s.targets))
		for name, metrics := range s.targets {
			targets = append(targets, Target{Name: name, Metrics: metrics})
		}
		s.mu.Unlock()
		s.recordVersions(s.readVersions(ctx, targets), targets)
	}
}

// readVersions reads the version of each process. Processes that do not answer
// are omitted.
func (s *Propagation) readVersions(ctx context.Context, targets []Target) map[string]float64 {
	out := make(map[string]float64)
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan struct{}, 16)
	for _, t := range targets {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			text, err := s.d.Get(ctx, t.Metrics)
			series := make(map[string]float64)
			if err != nil || parseMetrics(text, series) != nil {
				return
			}
			mu.Lock()
			out[t.Name] = series[seriesName("config_version", nil)]
			mu.Unlock()
		})
	}
	all.Wait()
	return out
}

func (s *Propagation) recordVersions(versions map[string]float64, targets []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest, complete := 0.0, true
	for _, t := range targets {
		v, ok := versions[t.Name]
		if _, watched := s.targets[t.Name]; !watched {
			continue
		}
		if !ok {
			complete = false
			continue
		}
		if v < s.highest[t.Name] {
			s.decreases = append(s.decreases, fmt.Sprintf("version of %s decreased from %v to %v", t.Name, s.highest[t.Name], v))
		}
		s.highest[t.Name] = max(v, s.highest[t.Name])
		if lowest == 0 || v < lowest {
			lowest = v
		}
	}
	if !complete {
		return
	}
	s.pending = slices.DeleteFunc(s.pending, func(c change) bool {
		if c.version > lowest {
			return false
		}
		s.Durations = append(s.Durations, time.Since(c.at))
		return true
	})
}

// AwaitPropagation waits until every accepted version has reached every
// process.
func (s *Propagation) AwaitPropagation(ctx context.Context) error {
	for {
		s.mu.Lock()
		pending := len(s.pending)
		var behind []string
		for name := range s.targets {
			if pending > 0 && s.highest[name] < s.pending[0].version {
				behind = append(behind, name)
			}
		}
		s.mu.Unlock()
		if pending == 0 {
			return nil
		}
		if err := Sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("%d versions have not reached every process, behind: %s: %w", pending, strings.Join(behind, ", "), err)
		}
	}
}

// CheckNoDecrease returns an error if the version of a process has decreased.
func (s *Propagation) CheckNoDecrease() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.decreases) == 0 {
		return nil
	}
	return errors.New(strings.Join(s.decreases, "; "))
}

// DurationSummary returns the number, the median and the maximum of the
// propagation times. They are zero if there are none.
func (s *Propagation) DurationSummary() (n int, median, largest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sorted := slices.Sorted(slices.Values(s.Durations))
	if len(sorted) == 0 {
		return 0, 0, 0
	}
	return len(sorted), sorted[len(sorted)/2], sorted[len(sorted)-1]
}
