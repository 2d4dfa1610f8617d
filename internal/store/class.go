package store

import "fmt"

// Class orders the use of the table. Lower values go first.
type Class int

// Classes of table use in order of precedence. Lease is also for reads of a
// configuration that is newer than the one held.
const (
	Lease Class = iota
	Claim
	Placement
	Report
	numClasses // number of classes
)

// String returns the class as used in lane keys and metrics.
func (c Class) String() string {
	switch c {
	case Lease:
		return "lease"
	case Claim:
		return "claim"
	case Placement:
		return "placement"
	case Report:
		return "report"
	default:
		return fmt.Sprintf("class(%d)", int(c))
	}
}

// access separates the budgets for reads and writes.
type access int

const (
	accessRead access = iota
	accessWrite
	numAccesses // number of kinds of access
)
