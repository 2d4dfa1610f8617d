package store

import (
	"encoding/json"
	"fmt"

	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// mark identifies one transaction of one process.
type mark struct {
	Incarnation types.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
}

// laneValue is the content of a lane row.
type laneValue struct {
	Mark mark `json:"mark"`
	// Replaced is the last mark of the previous incarnation, and ReplacedRevision
	// is the revision of the lane row that held it.
	Replaced         mark   `json:"replaced"`
	ReplacedRevision uint64 `json:"replaced_revision"`
}

// laneState is a lane row as it was read; revision 0 means that the row does not
// exist.
type laneState struct {
	revision uint64
	value    laneValue
}

func parseLane(row platform.Row) (laneState, error) {
	st := laneState{revision: row.Revision}
	if row.Revision == 0 {
		return st, nil
	}
	if err := json.Unmarshal(row.Value, &st.value); err != nil {
		return st, fmt.Errorf("lane row %q: %w", row.Key, err)
	}
	return st, nil
}

// next returns the lane value that a transaction with mark m writes.
func (st laneState) next(m mark) laneValue {
	v := laneValue{Mark: m, Replaced: st.value.Replaced, ReplacedRevision: st.value.ReplacedRevision}
	if st.revision != 0 && st.value.Mark.Incarnation != m.Incarnation {
		v.Replaced = st.value.Mark
		v.ReplacedRevision = st.revision
	}
	return v
}

// verdict is the outcome of a transaction whose answer was lost, as far as the
// lane shows it.
type verdict int

const (
	// verdictPending: not committed; a copy in flight may still be committed.
	verdictPending verdict = iota
	verdictCommitted
	// verdictNotCommitted: not committed, and no copy can be committed any more.
	verdictNotCommitted
	// verdictUnknown: the lane does not show whether it was committed.
	verdictUnknown
)

// classify determines from the current state of the lane whether the transaction
// with mark m was committed. The transaction was sent on the condition that the
// lane is at the expected revision. For a committed transaction, classify also
// returns the revision of the commit.
func classify(m mark, expected uint64, now laneState) (verdict, uint64) {
	if now.revision == expected {
		return verdictPending, 0
	}
	v := now.value
	switch {
	case now.revision == 0:
		return verdictUnknown, 0
	case v.Mark == m:
		return verdictCommitted, now.revision
	case v.Mark.Incarnation == m.Incarnation:
		// An earlier transaction was committed late, or a seal was written: both
		// replaced the revision that this transaction requires.
		return verdictNotCommitted, 0
	case v.Replaced == m:
		return verdictCommitted, v.ReplacedRevision
	case v.Replaced.Incarnation == m.Incarnation, v.ReplacedRevision == expected:
		return verdictNotCommitted, 0
	default:
		return verdictUnknown, 0
	}
}
