package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the times of the lease protocol.
type Config struct {
	// TTL is how long a lease row must be unchanged before a takeover.
	TTL time.Duration
	// Renewal is the interval between renewals.
	Renewal time.Duration
	// Margin is how long before the end of the TTL the holder stops acting.
	Margin time.Duration
	// RankDelay is the additional wait per rank of a candidate.
	RankDelay time.Duration
	// Jitter bounds the random wait added to the rank's.
	Jitter time.Duration
	// ReclaimOwnLease lets a candidate take the lease of an earlier incarnation on its
	// own VM at once. It needs a VM that runs one process of the role at a time.
	ReclaimOwnLease bool
	// MaxReadAge is how recent the last read of a candidate must be for a takeover; 0
	// asks for none. After a longer time without a read, when the table was away
	// for the candidate and maybe for the owner too, the owner gets RenewalGrace to renew
	// the lease: without it each outage longer than the TTL ended with a takeover
	// from an owner that was alive.
	MaxReadAge, RenewalGrace time.Duration
}

// DefaultConfig returns TTL 6 s, renewal 2 s, margin 1 s, rank step 500 ms and
// jitter up to 100 ms.
func DefaultConfig() Config {
	return Config{
		TTL:       6 * time.Second,
		Renewal:   2 * time.Second,
		Margin:    time.Second,
		RankDelay: 500 * time.Millisecond,
		Jitter:    100 * time.Millisecond,
	}
}

// Row is the lease row of a shard.
type Row struct {
	Shard types.ShardID `json:"shard"`
	// Owner is empty after a release.
	Owner       types.VMID        `json:"owner"`
	Incarnation types.Incarnation `json:"incarnation,string"`
	Epoch       types.Epoch       `json:"epoch"`
	// Renewal counts the renewals within the epoch.
	Renewal uint64 `json:"renewal"`
	// Address is where the owner serves calls and datagrams.
	Address string `json:"address,omitempty"`
}

// Key returns the key of a shard's lease row.
func Key(shard types.ShardID) string {
	return "lease/" + string(shard)
}

// FenceKey returns the key of a shard's fence row. Its value is the lease row
// as written by the takeover.
func FenceKey(shard types.ShardID) string {
	return "fence/" + string(shard)
}

// Encode returns the JSON form of the row.
func (r Row) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode reads the form that Encode writes. It fails on malformed JSON and on
// a row without a shard.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("lease row is malformed: %w", err)
	}
	if r.Shard == "" {
		return Row{}, fmt.Errorf("lease row names no shard")
	}
	return r, nil
}

// sameTerm reports whether both rows belong to one holder's term.
func (r Row) sameTerm(o Row) bool {
	return r.Owner == o.Owner && r.Incarnation == o.Incarnation && r.Epoch == o.Epoch
}
