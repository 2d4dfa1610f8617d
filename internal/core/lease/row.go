package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Config holds the timing parameters of the lease protocol.
type Config struct {
	// TTL is how long a lease row must be unchanged before a takeover.
	TTL time.Duration
	// Renewal is the interval between renewals; Row.Renewal is a counter.
	Renewal time.Duration
	// Margin is how long before the end of the TTL the holder must stop acting.
	Margin time.Duration
	// RankDelay is the additional wait per rank of a candidate.
	RankDelay time.Duration
	// Jitter is the upper bound of the random wait added to the wait for the
	// rank.
	Jitter time.Duration
	// ReclaimOwnLease lets a candidate take over a lease of its own VM at once:
	// that of an earlier incarnation, or its own after a takeover without an
	// answer. It requires that a VM runs only one process of the role at a time,
	// and that a process is no candidate while it acts as the holder.
	ReclaimOwnLease bool
	// MaxReadAge is the maximum age of a candidate's last read of the row for a
	// takeover; 0 disables the check. A longer gap means that the candidate,
	// and possibly the owner too, could not reach the table.
	//
	// RenewalGrace is the time that the owner has to renew the lease after such
	// a gap. Without it, every outage longer than the TTL would end with a
	// takeover from a live owner.
	MaxReadAge, RenewalGrace time.Duration
	// SuccessorGrace is the additional wait of a candidate for a lease that was
	// released to another one, so that this one can take over first.
	SuccessorGrace time.Duration
}

// DefaultConfig returns a TTL of 6 s, a renewal interval of 2 s, a margin of 1
// s, a rank delay of 500 ms and a jitter of up to 100 ms.
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
	// Owner is the VM of the holder; it is empty after a release.
	Owner       types.VMID        `json:"owner"`
	Incarnation types.Incarnation `json:"incarnation,string"`
	Epoch       types.Epoch       `json:"epoch"`
	// Renewal counts the renewals and the release within the epoch.
	Renewal uint64 `json:"renewal"`
	// Address is the address at which the owner serves calls and datagrams. It
	// is set by the caller of TryTakeover.
	Address string `json:"address,omitempty"`
	// Handover is the reason for which the owner wants to hand over the lease;
	// empty if it does not.
	Handover string `json:"handover,omitempty"`
	// Successor is set in a released row: the candidate that the lease was released
	// to. It may be empty.
	Successor types.VMID `json:"successor,omitempty"`
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

// Decode parses the format written by Encode. It fails on malformed JSON and on
// a row without a shard.
func Decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("lease row is malformed: %w", err)
	}
	if r.Shard == "" {
		return Row{}, fmt.Errorf("lease row has no shard")
	}
	return r, nil
}

// sameTerm reports whether both rows have the same owner, incarnation and
// epoch.
func (r Row) sameTerm(o Row) bool {
	return r.Owner == o.Owner && r.Incarnation == o.Incarnation && r.Epoch == o.Epoch
}
