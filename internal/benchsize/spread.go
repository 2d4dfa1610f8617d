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

// pollPause is the time between two readings of one process's version. It
// bounds the error of the measured times.
const pollPause = 200 * time.Millisecond

// change is one accepted configuration version.
type change struct {
	version float64
	at      time.Time
}

// Spread measures how long accepted versions take until every process has
// them, and that no process's version falls, also across a restart.
type Spread struct {
	d *localrun.Deployment

	mu      sync.Mutex
	targets map[string]string
	seen    map[string]float64
	pending []change
	falls   []string
	// Took holds the time of each version that every process has.
	Took []time.Duration
}

// NewSpread watches the processes that run now.
func NewSpread(d *localrun.Deployment) *Spread {
	s := &Spread{d: d, targets: make(map[string]string), seen: make(map[string]float64)}
	for _, t := range Targets(d) {
		s.targets[t.Name] = t.Metrics
	}
	return s
}

// Drop stops waiting for a process that was killed.
func (s *Spread) Drop(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.targets, name)
}

// Add watches a restarted process; its version must not be lower than before
// its end.
func (s *Spread) Add(name, metrics string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[name] = metrics
}

// Change applies rules that differ from the present ones, through the
// operators' API, and records when the change was accepted.
func (s *Spread) Change(ctx context.Context, budget float64) error {
	c, err := Client(s.d)
	if err != nil {
		return err
	}
	present, err := c.Config(ctx)
	if err != nil {
		return err
	}
	next, err := withBudget(present, budget)
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

func withBudget(present *config.Config, budget float64) (*config.Config, error) {
	content := *present.Content()
	content.Rules.RetryBudget = budget
	return config.New(present.Version()+1, content, present)
}

// Watch reads the versions until the context ends.
func (s *Spread) Watch(ctx context.Context) {
	for Sleep(ctx, pollPause) == nil {
		s.mu.Lock()
		targets := make([]Target, 0, len(s.targets))
		for name, metrics := range s.targets {
			targets = append(targets, Target{Name: name, Metrics: metrics})
		}
		s.mu.Unlock()
		s.note(s.versions(ctx, targets), targets)
	}
}

// versions reads the version of each process; one that does not answer is left out.
func (s *Spread) versions(ctx context.Context, targets []Target) map[string]float64 {
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

func (s *Spread) note(versions map[string]float64, targets []Target) {
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
		if v < s.seen[t.Name] {
			s.falls = append(s.falls, fmt.Sprintf("%s fell from %v to %v", t.Name, s.seen[t.Name], v))
		}
		s.seen[t.Name] = max(v, s.seen[t.Name])
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
		s.Took = append(s.Took, time.Since(c.at))
		return true
	})
}

// Await waits until every accepted version is everywhere.
func (s *Spread) Await(ctx context.Context) error {
	for {
		s.mu.Lock()
		pending := len(s.pending)
		var behind []string
		for name := range s.targets {
			if pending > 0 && s.seen[name] < s.pending[0].version {
				behind = append(behind, name)
			}
		}
		s.mu.Unlock()
		if pending == 0 {
			return nil
		}
		if err := Sleep(ctx, pollPause); err != nil {
			return fmt.Errorf("%d versions are not everywhere, behind: %s: %w", pending, strings.Join(behind, ", "), err)
		}
	}
}

// Falls returns an error if a version fell.
func (s *Spread) Falls() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.falls) == 0 {
		return nil
	}
	return errors.New(strings.Join(s.falls, "; "))
}

// Times returns count, median and largest of the times.
func (s *Spread) Times() (n int, median, largest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sorted := slices.Sorted(slices.Values(s.Took))
	if len(sorted) == 0 {
		return 0, 0, 0
	}
	return len(sorted), sorted[len(sorted)/2], sorted[len(sorted)-1]
}
