package worker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/shard"
	"github.com/boragecrank/boragecrank/internal/core/types"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
)

var eventSuperseded = telemetry.Define(411, logrus.ErrorLevel, "worker superseded",
	"Another worker process has replaced this one on the VM, and this one stops. If two were started by mistake, keep one.")

// minHeartbeatInterval is the minimum delay of the heartbeat timer. Triggered
// heartbeats are sent without this delay.
const minHeartbeatInterval = 50 * time.Millisecond

// receiver receives heartbeats: it is the owner or the relay of the shard.
type receiver struct {
	address netip.AddrPort
	sender  *membership.Sender
	// incarnation and readAt are from the receiver's last acknowledgement and are
	// echoed in heartbeats.
	incarnation uint64
	readAt      int64
}

// heartbeatSender sends heartbeats to the owner and the relay of the shard.
type heartbeatSender struct {
	w   *Worker
	cfg membership.Config

	mu         sync.Mutex
	owner      *receiver
	relay      *receiver
	epoch      uint64
	superseded chan struct{}
	once       sync.Once
	// wake makes run check which heartbeats are due. Worker.heartbeatDue makes it
	// send to all receivers immediately.
	wake chan struct{}
}

func newHeartbeatSender(w *Worker, cfg membership.Config) *heartbeatSender {
	return &heartbeatSender{w: w, cfg: cfg, superseded: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// SetOwner sets the address of the shard's owner. An invalid address means that
// the owner is unknown.
func (w *Worker) SetOwner(address netip.AddrPort) {
	s := w.heartbeatSender
	s.mu.Lock()
	s.setReceiver(&s.owner, address)
	s.mu.Unlock()
	s.signal()
}

// Superseded returns a channel that is closed when another process has replaced
// this worker.
func (w *Worker) Superseded() <-chan struct{} { return w.heartbeatSender.superseded }

func (s *heartbeatSender) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// setReceiver replaces the receiver if its address has changed, and removes it
// if the address is invalid.
func (s *heartbeatSender) setReceiver(l **receiver, address netip.AddrPort) {
	if !address.IsValid() {
		*l = nil
		return
	}
	if *l == nil || (*l).address != address {
		*l = &receiver{address: address, sender: membership.NewSender(s.cfg)}
	}
}

// run sends heartbeats when they are due or their content has changed, until the
// context ends.
func (s *heartbeatSender) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.wake:
		case <-s.w.heartbeatDue:
			urgent = true
		}
		timer.Reset(max(s.send(urgent), minHeartbeatInterval))
	}
}

// send sends the heartbeats that are due, or all if urgent, and returns the time
// until the next one is due.
func (s *heartbeatSender) send(urgent bool) time.Duration {
	m := s.w.heartbeat()
	s.mu.Lock()
	defer s.mu.Unlock()
	m.Epoch = s.epoch
	now := s.w.node.Clock()
	next := s.cfg.Interval
	for _, l := range []*receiver{s.owner, s.relay} {
		if l == nil {
			continue
		}
		if urgent || now >= l.sender.NextAt() {
			now = s.w.node.Clock()
			m.Clock = int64(now)
			m.EchoListener, m.EchoReadAt = l.incarnation, l.readAt
			s.w.node.Socket.Send(m, l.address)
			l.sender.Sent(now)
		}
		next = min(next, l.sender.NextAt()-now)
	}
	return next
}

// heartbeat returns a heartbeat with the current state of the worker.
func (w *Worker) heartbeat() *datagram.Heartbeat {
	m := &datagram.Heartbeat{
		Header:    w.node.Header(),
		Shard:     datagram.HashName(string(w.shard)),
		Draining:  w.draining.Load(),
		Leaving:   w.leaving.Load(),
		TasksHash: w.tasks.hash.Load(),
	}
	// If the state's actor has stopped, the heartbeat lists no upstreams.
	_ = w.state.Do(func(s *state) {
		for id, u := range s.upstreams {
			if a, ok := s.requests.Announced(id); ok {
				m.Upstreams = append(m.Upstreams, datagram.Upstream{
					Service:     datagram.HashName(string(u.service)),
					Slots:       uint32(a.Slots),
					Connections: uint32(a.Connections),
				})
			}
		}
	})
	sortUpstreams(m.Upstreams)
	return m
}

// Ack handles the answer of the owner or the relay to a heartbeat.
func (w *Worker) Ack(m *datagram.HeartbeatAck, from netip.AddrPort) {
	if types.Incarnation(m.ToIncarnation) != w.node.Incarnation {
		return
	}
	if m.Superseded {
		w.heartbeatSender.once.Do(func() {
			w.tel.Log.Log(eventSuperseded, nil, nil)
			close(w.heartbeatSender.superseded)
		})
		return
	}
	w.heartbeatSender.recordAck(m, from)
	if m.Owner {
		w.Acked(shard.HeartbeatReply{
			Ack:   membership.Ack{Incarnation: types.Incarnation(m.ToIncarnation), SentAt: time.Duration(m.Echo)},
			Epoch: types.Epoch(m.Epoch),
			Right: m.Right,
		})
	}
	if m.Challenge {
		w.triggerHeartbeat()
	}
}

func (s *heartbeatSender) recordAck(m *datagram.HeartbeatAck, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch = max(s.epoch, m.Epoch)
	if m.Owner && m.Epoch == s.epoch {
		s.setReceiver(&s.owner, from)
		relay := m.RelayAddress
		if m.Relay == s.w.node.Hash() {
			// The relay does not send heartbeats to itself; the owner receives
			// them.
			relay = netip.AddrPort{}
		}
		s.setReceiver(&s.relay, relay)
	}
	for _, l := range []*receiver{s.owner, s.relay} {
		if l != nil && l.address == from {
			l.incarnation, l.readAt = m.Incarnation, m.ReadAt
			l.sender.Acked(time.Duration(m.Echo))
		}
	}
}
