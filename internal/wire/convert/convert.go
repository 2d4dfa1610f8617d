// Package convert converts types.Resources to and from its protobuf message, which
// the system's processes exchange.
package convert

import (
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
)

// ResourcesToWire converts resources to their protobuf message.
func ResourcesToWire(r types.Resources) *wirepb.Resources {
	return &wirepb.Resources{MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes, Accelerators: r.Accelerators}
}

// ResourcesFromWire converts resources from their protobuf message. Nil stands for
// zero resources.
func ResourcesFromWire(r *wirepb.Resources) types.Resources {
	return types.Resources{MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}
