package benchsize

import (
	"strings"
)

// Role is the role of a process in the measurements.
type Role string

// Roles of processes. RoleMember is a worker that is neither owner nor relay.
const (
	RoleEntry  Role = "entry"
	RoleMember Role = "worker"
	RoleOwner  Role = "owner"
	RoleRelay  Role = "relay"
)

// Usage is the resource usage of a process between two samples. Rates are per
// second.
type Usage struct {
	Name string
	Role Role
	// Resident and Anonymous are sizes in bytes at the second sample.
	Resident, Anonymous uint64
	// Cores is the processor time as a share of one core.
	Cores float64
	// Datagrams counts sent and received datagrams.
	Datagrams float64
	// DatagramBytes are the bytes of datagrams in both directions, including
	// UDP and IP headers.
	DatagramBytes float64
	// CallBytes and TableBytes are the bytes of calls between processes and to
	// the table, in both directions, including HTTP headers but not TCP
	// headers.
	CallBytes, TableBytes float64
	// RuntimeBytes are the bytes of calls to the runtime, which stay on the VM.
	RuntimeBytes float64
	// Calls holds the rates of table calls, failed ones included. The keys are
	// the labels of the metric in the form of seriesName.
	Calls map[string]float64
}

// NetworkBytes returns the traffic that leaves or reaches the VM.
func (u *Usage) NetworkBytes() float64 {
	return u.DatagramBytes + u.CallBytes + u.TableBytes
}

// UsageBetween returns the usage from one sample of a process to a later one.
func UsageBetween(name string, a, b Sample) Usage {
	seconds := b.At.Sub(a.At).Seconds()
	rate := func(key string) float64 { return (b.Series[key] - a.Series[key]) / seconds }
	channel := func(name string) float64 {
		return rate(seriesName("network_bytes", map[string]string{"channel": name, "direction": "in"})) +
			rate(seriesName("network_bytes", map[string]string{"channel": name, "direction": "out"}))
	}
	u := Usage{
		Name: name, Role: roleOf(b), Resident: b.Resident, Anonymous: b.Anonymous,
		Cores: (b.Processor - a.Processor).Seconds() / seconds,
		Datagrams: rate(seriesName("datagrams", map[string]string{"direction": "in"})) +
			rate(seriesName("datagrams", map[string]string{"direction": "out"})),
		CallBytes: channel("calls"), TableBytes: channel("table"), RuntimeBytes: channel("runtime"),
		Calls: make(map[string]float64),
	}
	u.DatagramBytes = channel("datagrams") + u.Datagrams*datagramHeaderBytes
	for key := range b.Series {
		if r := rate(key); r > 0 && strings.HasPrefix(key, "store_calls") {
			u.Calls[strings.TrimPrefix(key, "store_calls")] += r
		}
	}
	return u
}

func roleOf(s Sample) Role {
	role, worker := s.Series[seriesName("shard_role", nil)]
	switch {
	case !worker:
		return RoleEntry
	case role == 1:
		return RoleOwner
	case role == 2:
		return RoleRelay
	default:
		return RoleMember
	}
}

// Line is a least-squares fit of y = Intercept + Slope*x.
type Line struct {
	Intercept, Slope float64
}

// ValueAt returns the fitted value at x.
func (l Line) ValueAt(x float64) float64 { return l.Intercept + l.Slope*x }

// FitLine returns the least-squares fit through the points. If all x are equal,
// the slope is 0.
func FitLine(x, y []float64) Line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	denominator := n*sxx - sx*sx
	if n == 0 {
		return Line{}
	}
	if denominator == 0 {
		return Line{Intercept: sy / n}
	}
	slope := (n*sxy - sx*sy) / denominator
	return Line{Intercept: (sy - slope*sx) / n, Slope: slope}
}

// Mean returns the mean and the largest value of a quantity over the usages
// with a role, and the number of these usages.
func Mean(list []Usage, role Role, quantity func(*Usage) float64) (mean, largest float64, n int) {
	for i := range list {
		if list[i].Role != role {
			continue
		}
		v := quantity(&list[i])
		mean += v
		largest = max(largest, v)
		n++
	}
	if n > 0 {
		mean /= float64(n)
	}
	return mean, largest, n
}
