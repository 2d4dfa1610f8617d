package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the identity and the times of an owner's term.
type Config struct {
	// DisableInvariantChecks switches the invariant checks off.
	DisableInvariantChecks bool
	Shard                  types.ShardID
	// Incarnation is that of the process that hosts the owner.
	Incarnation types.Incarnation
	Epoch       types.Epoch
	// FenceRevision is the revision of the fence row after the takeover.
	FenceRevision uint64
	// RunRight is R: how long a worker may run batch attempts after its own
	// reading that an owner acknowledged.
	RunRight time.Duration
	// BatchInterval is the time between batches without urgent work.
	BatchInterval time.Duration
	// MaxBatchRows bounds the rows of one batch, and so the size of a gang.
	MaxBatchRows int
	// CommandRetry is the time after which an unanswered command is repeated.
	CommandRetry time.Duration
	// CommandBudget bounds the validity of a command on its worker's clock. It
	// is shorter than RunRight, so that no command outlives the proof by time.
	CommandBudget time.Duration
	// ReadyAfter bounds the wait for reports after a takeover.
	ReadyAfter time.Duration
	// EvictTimeout is how long an eviction may wait for its checkpoint.
	EvictTimeout time.Duration
	// StoreBackoff is the wait after a batch or read that was not answered.
	StoreBackoff time.Duration
	// PlaceInterval is the time between placement passes for waiting tasks when
	// nothing has changed.
	PlaceInterval time.Duration
	// MaxPlacements bounds the placement decisions of one pass.
	MaxPlacements int
}

// DefaultConfig returns the default times: R 5 min, batches every 500 ms with
// at most 64 rows, commands repeated after 2 s and valid for 10 s, ready after
// 3 s, evictions given up after 30 s.
func DefaultConfig() Config {
	return Config{
		RunRight:      5 * time.Minute,
		BatchInterval: 500 * time.Millisecond,
		MaxBatchRows:  64,
		CommandRetry:  2 * time.Second,
		CommandBudget: 10 * time.Second,
		ReadyAfter:    3 * time.Second,
		EvictTimeout:  30 * time.Second,
		StoreBackoff:  time.Second,
		PlaceInterval: time.Second,
		MaxPlacements: 128,
	}
}

// runRightEnd returns when a right that started at the owner's reading at is
// over on every clock: R plus 1% for clock drift.
func (c Config) runRightEnd(at time.Duration) time.Duration {
	return at + c.RunRight + c.RunRight/100
}
