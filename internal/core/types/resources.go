package types

import "fmt"

// Resources is an amount of CPU, memory and accelerators.
type Resources struct {
	// MilliCPU is the amount of CPU, in thousandths of a core.
	MilliCPU int64
	// MemoryBytes is the amount of memory, in bytes.
	MemoryBytes int64
	// Accelerators is the number of accelerator devices.
	Accelerators int64
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryBytes:  r.MemoryBytes + o.MemoryBytes,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o. Amounts in the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryBytes:  r.MemoryBytes - o.MemoryBytes,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Max returns the larger of r and o in each dimension.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		MemoryBytes:  max(r.MemoryBytes, o.MemoryBytes),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU &&
		r.MemoryBytes <= capacity.MemoryBytes &&
		r.Accelerators <= capacity.Accelerators
}

// IsZero reports whether every amount is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// Negative reports whether any amount is below zero.
func (r Resources) Negative() bool {
	return r.MilliCPU < 0 || r.MemoryBytes < 0 || r.Accelerators < 0
}

// String returns the amounts with their units.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d bytes memory, %d accelerators", r.MilliCPU, r.MemoryBytes, r.Accelerators)
}
