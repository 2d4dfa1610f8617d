package store

import "fmt"

// Class is the priority class of a call to the table. Lower values take
// precedence.
type Class int

// Classes in order of precedence. Lease is also used to read a configuration
// that is newer than the current one of the process.
const (
	Lease Class = iota
	Claim
	Placement
	Report
	numClasses // number of classes
)

// String returns the name of the class as used in lane keys and metrics.
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

// access is the kind of a call; reads and writes have separate budgets.
type access int

const (
	accessRead access = iota
	accessWrite
	numAccesses // number of kinds of access
)
