package node

import (
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/traffic"
)

// Traffic counts the bytes that a process receives and sends, by channel.
type Traffic struct {
	// Calls counts calls between processes, both as client and as server.
	Calls traffic.Counter
	// Table counts traffic with the table and the object store, which are reached
	// over the network.
	Table traffic.Counter
	// Runtime counts traffic with the task runtime on the process's own VM.
	Runtime traffic.Counter
}

// registerTrafficMetrics registers the metrics network_bytes, by channel and
// direction, datagrams, by direction, and config_version. Bytes do not include
// TCP, UDP and IP headers.
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
