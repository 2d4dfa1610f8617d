package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// ReasonStopping is the announcement of an owner whose process stops.
const ReasonStopping = "stopping"

// Config holds the times of a handover. All fields are required.
type Config struct {
	// ReserveTimeout is how long the owner waits for a reservation after its
	// announcement was stored.
	ReserveTimeout time.Duration
	// BeatInterval is the time between the writes of a successor, BeatTimeout the
	// time without a change of its row after which it counts as dead.
	BeatInterval, BeatTimeout time.Duration
	// FullCores is the number of cores from which on a candidate reserves at once.
	// One with 0 cores waits for MaxDelay, others in proportion.
	FullCores float64
	MaxDelay  time.Duration
}

// DefaultConfig returns the times for a table that takes up to 0.25 s for a call. A
// candidate notices an announcement within 0.65 s: 0.4 s between two reads of the lease,
// and the read.
func DefaultConfig() Config {
	return Config{
		// An entry of 0.19 cores, the smallest ones in use, stores its reservation 1.8 s
		// after the announcement: 0.65 s, its delay of 0.9 s, and a write.
		ReserveTimeout: 2 * time.Second,
		// BeatTimeout covers BeatInterval, a write that times out after 0.8 s, and a
		// read.
		BeatInterval: 400 * time.Millisecond,
		BeatTimeout:  1500 * time.Millisecond,
		// The delay of an entry of 0.19 cores, 0.9 s, lets a larger one notice the
		// announcement and store its reservation first.
		FullCores: 0.5,
		MaxDelay:  1500 * time.Millisecond,
	}
}

// Reservation is the row of the candidate that prepares to succeed an owner.
type Reservation struct {
	// Epoch is the epoch of the owner that announced the handover.
	Epoch       types.Epoch       `json:"epoch"`
	VM          types.VMID        `json:"vm"`
	Incarnation types.Incarnation `json:"incarnation,string"`
	// Beat counts the writes of the reservation.
	Beat uint64 `json:"beat"`
	// Ready is set once the candidate has read all rows.
	Ready bool `json:"ready"`
}

// Key is the key of the reservation row.
const Key = "handover/jobs"

// Encode returns the JSON form of the row.
func (r Reservation) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode parses the format written by Encode. It fails on malformed JSON and on a row
// without a VM.
func Decode(value []byte) (Reservation, error) {
	var r Reservation
	if err := json.Unmarshal(value, &r); err != nil {
		return Reservation{}, fmt.Errorf("reservation is malformed: %w", err)
	}
	if r.VM == "" {
		return Reservation{}, errors.New("reservation names no VM")
	}
	return r, nil
}

// observed is a reservation row as last read, and since when it is unchanged.
type observed struct {
	row      Reservation
	revision uint64
	since    time.Duration
	seen     bool
}

func (o *observed) update(r Reservation, revision uint64, now time.Duration) {
	if !o.seen || revision != o.revision {
		o.since = now
	}
	o.row, o.revision, o.seen = r, revision, true
}

// live reports whether a candidate holds the reservation for the epoch.
func (o *observed) live(epoch types.Epoch, now, timeout time.Duration) bool {
	return o.seen && o.revision != 0 && o.row.Epoch == epoch && now < o.since+timeout
}
