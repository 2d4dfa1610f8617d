package node

import (
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/traffic"
)

// Traffic counts the bytes of a process by channel.
type Traffic struct {
	// Calls are the calls between processes, in both roles.
	Calls traffic.Counter
	// Table is the table and the object store, which are reached over the network.
	Table traffic.Counter
	// Runtime is the task runtime on the process's own VM.
	Runtime traffic.Counter
}

// registerTrafficMetrics shows the traffic among the metrics: network_bytes by channel
// and direction, and datagrams by direction. Headers of TCP, UDP and IP are not
// included.
func (n *Node) registerTrafficMetrics() {
	tel := n.Telemetry
	registerBytes := func(channel, direction string, value func() uint64) {
		tel.CounterFunc("network_bytes", "Bytes without transport headers.",
			telemetry.Labels{"channel": channel, "direction": direction}, value)
	}
	for channel, c := range map[string]*traffic.Counter{
		"calls": &n.Traffic.Calls, "table": &n.Traffic.Table, "runtime": &n.Traffic.Runtime,
	} {
		registerBytes(channel, "in", c.In)
		registerBytes(channel, "out", c.Out)
	}
	registerBytes("datagrams", "in", func() uint64 { return n.Socket.Stats().ReceivedBytes })
	registerBytes("datagrams", "out", func() uint64 { return n.Socket.Stats().SentBytes })
	tel.CounterFunc("datagrams", "Datagrams.", telemetry.Labels{"direction": "in"},
		func() uint64 { return n.Socket.Stats().ReceivedMessages })
	tel.CounterFunc("datagrams", "Datagrams.", telemetry.Labels{"direction": "out"},
		func() uint64 { return n.Socket.Stats().SentMessages })
	tel.GaugeFunc("config_version", "Version in effect.", nil, func() float64 { return float64(n.Config.Version()) })
}
