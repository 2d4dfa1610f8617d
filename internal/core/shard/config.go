package shard

import (
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the identity, timeouts and limits of an owner's term.
type Config struct {
	// DisableInvariantChecks turns off the checks of package guard.
	DisableInvariantChecks bool
	Shard                  types.ShardID
	// Incarnation is the incarnation of the process that hosts the owner.
	Incarnation types.Incarnation
	Epoch       types.Epoch
	// FenceRevision is the revision of the fence row after the takeover.
	FenceRevision uint64
	// RunRight is the duration R of a run right: the permission to run batch
	// attempts, which a worker gets with each acknowledged heartbeat. It counts
	// from the worker's clock reading in the heartbeat.
	RunRight time.Duration
	// BatchInterval is the minimum time between batches that are not urgent.
	BatchInterval time.Duration
	// MaxBatchRows is the maximum number of rows in a batch. It also limits the
	// size of a gang, which is placed in one batch.
	MaxBatchRows int
	// CommandRetry is the time after which a command is repeated if no report
	// shows its effect.
	CommandRetry time.Duration
	// CommandValidity is how long a command is valid on the worker's clock. It
	// must be shorter than RunRight: the owner treats the end of the run right
	// as proof that an attempt has stopped, so no command may be valid after
	// it.
	CommandValidity time.Duration
	// ReadyAfter is the maximum wait for reports after a takeover. Nothing is
	// placed before every VM has reported or this time has passed.
	ReadyAfter time.Duration
	// EvictTimeout is how long an eviction waits for its checkpoint before it
	// is abandoned.
	EvictTimeout time.Duration
	// TableBackoff is the delay after the table rejected a batch, did not answer
	// a read, or returned an incomplete set of rows.
	TableBackoff time.Duration
	// PlaceInterval is the time between placement passes while tasks are
	// waiting and nothing has changed.
	PlaceInterval time.Duration
	// MaxPlacements is the maximum number of tasks and gangs that one placement
	// pass tries to place.
	MaxPlacements int
}

// DefaultConfig returns the default timeouts and limits. The run right lasts
// 5 min, batches are sent every 500 ms with at most 64 rows, commands are
// repeated after 2 s and valid for 10 s, placement starts at most 3 s after a
// takeover, and evictions are abandoned after 30 s. The caller sets Shard,
// Incarnation, Epoch and FenceRevision.
func DefaultConfig() Config {
	return Config{
		RunRight:        5 * time.Minute,
		BatchInterval:   500 * time.Millisecond,
		MaxBatchRows:    64,
		CommandRetry:    2 * time.Second,
		CommandValidity: 10 * time.Second,
		ReadyAfter:      3 * time.Second,
		EvictTimeout:    30 * time.Second,
		TableBackoff:    time.Second,
		PlaceInterval:   time.Second,
		MaxPlacements:   128,
	}
}

// runRightEnd returns the time at which a run right granted at the given time
// has ended on every clock. Both times are on the owner's clock. The result
// includes 1% of R for clock drift.
func (c Config) runRightEnd(granted time.Duration) time.Duration {
	return granted + c.RunRight + c.RunRight/100
}
