// Package convert translates between the core's types and the messages of the
// system's own processes.
package convert

import (
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// ToWire converts an amount to its message.
func ToWire(r types.Resources) *wirepb.Resources {
	return &wirepb.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// FromWire converts an amount from its message; nil is zero.
func FromWire(r *wirepb.Resources) types.Resources {
	return types.Resources{MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}
