package overload

import "slices"

const (
	// classMemory is the number of a queue's occurrences over which sizes and outcomes
	// are remembered: about 50 s of the large jobs of the deployments.
	classMemory = 100
	// minSizes is the number of sizes from which on a queue has size classes.
	minSizes = 10
	// minServed is the share of a size class in time, relative to its whole queue, that
	// callers require.
	minServed = 0.5
	// missAllowance is how many more occurrences of a class must be able to miss their
	// due times before it falls below minServed; otherwise it is protected. With 1, one
	// of 40 simulated overloads of 4 minutes ended below it (0.48), with 2 none did.
	missAllowance = 2
	// minMissed is how many misses of a class must be remembered before it is protected.
	minMissed = 0.5
)

// sizeClass is a share of a queue's occurrences by size.
type sizeClass int

const (
	classOther sizeClass = iota
	// classUpper is the fifth below the largest tenth.
	classUpper
	classLargest
	classCount
)

// Classes records how often the occurrences of each queue are in time, by size. The zero
// value is ready for use. It is not safe for concurrent use.
type Classes struct {
	queues map[string]*queueClasses
}

type queueClasses struct {
	// recent is a ring of the last sizes, next the index of the oldest one once it is
	// full. upper and largest are the least sizes of the classes.
	recent         []float64
	next           int
	upper, largest float64
	// ended and inTime count occurrences by class; older ones lose weight.
	ended, inTime [classCount]float64
}

// Arrived records the size of an occurrence, in processor seconds.
func (c *Classes) Arrived(queue string, size float64) {
	q := c.queues[queue]
	if q == nil {
		if c.queues == nil {
			c.queues = make(map[string]*queueClasses)
		}
		q = &queueClasses{}
		c.queues[queue] = q
	}
	if len(q.recent) < classMemory {
		q.recent = append(q.recent, size)
	} else {
		q.recent[q.next] = size
		q.next = (q.next + 1) % classMemory
	}
	sorted := slices.Sorted(slices.Values(q.recent))
	q.upper, q.largest = sorted[len(sorted)*7/10], sorted[len(sorted)*9/10]
}

// Ended records that an occurrence is done in time, or that it is due and not done. Each
// occurrence counts once.
func (c *Classes) Ended(queue string, size float64, inTime bool) {
	const keep = 1 - 1.0/classMemory
	q := c.queues[queue]
	if q == nil {
		return
	}
	for i := range q.ended {
		q.ended[i] *= keep
		q.inTime[i] *= keep
	}
	class := q.class(size)
	q.ended[class]++
	if inTime {
		q.inTime[class]++
	}
}

// Protected reports whether an occurrence must not be deferred for its size, since its
// size class is in time half as often as its queue, or nearly.
func (c *Classes) Protected(queue string, size float64) bool {
	q := c.queues[queue]
	if q == nil || len(q.recent) < minSizes {
		return false
	}
	class := q.class(size)
	if class == classOther {
		return false
	}
	var ended, inTime float64
	for i := range q.ended {
		ended += q.ended[i]
		inTime += q.inTime[i]
	}
	missed := q.ended[class] - q.inTime[class]
	return missed >= minMissed && q.inTime[class] < minServed*inTime/ended*(q.ended[class]+missAllowance)
}

// Len returns the number of queues.
func (c *Classes) Len() int { return len(c.queues) }

// Retain drops the queues for which keep returns false.
func (c *Classes) Retain(keep func(queue string) bool) {
	for queue := range c.queues {
		if !keep(queue) {
			delete(c.queues, queue)
		}
	}
}

// class returns the class of a size.
func (q *queueClasses) class(size float64) sizeClass {
	switch {
	case len(q.recent) < minSizes:
		return classOther
	case size >= q.largest:
		return classLargest
	case size >= q.upper:
		return classUpper
	default:
		return classOther
	}
}
