// Package udp sends and receives the datagrams of package datagram on one
// socket, drops what is forged, damaged or repeated, and counts it.
package udp

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/telemetry"
	"github.com/boragecrank/boragecrank/internal/wire/datagram"
)

var eventDropped = telemetry.Define(901, logrus.DebugLevel, "datagram dropped",
	"A datagram was truncated, forged, repeated or of another version. A steady stream means that a process has another shared key or version; compare settings and releases.")

// Handler receives a message and the address that it came from. The message is
// valid during the call only.
type Handler func(m datagram.Message, from netip.AddrPort)

// Stats count the traffic of a socket since its start.
type Stats struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes, Dropped uint64
}

// Socket is a bound UDP socket.
type Socket struct {
	conn    *net.UDPConn
	log     *telemetry.Logger
	dropped tally.Counter

	mu  sync.Mutex
	out *datagram.Codec
	buf []byte
	seq uint64

	in     *datagram.Codec
	replay *datagram.ReplayFilter

	sentMessages, sentBytes, receivedMessages, receivedBytes, droppedCount atomic.Uint64
}

// Listen binds the address, an IP address with port.
func Listen(address string, key []byte, tel *telemetry.Telemetry) (*Socket, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, apperr.Wrap(err, apperr.KindInvalid, "datagram address "+address, "is not an IP address with port",
			"write it as 10.0.0.1:7201")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, apperr.Wrap(err, apperr.KindInvalid, "datagram address "+address, "cannot be bound",
			"choose a free port on an address of this VM")
	}
	return &Socket{
		conn:    conn,
		log:     tel.Log,
		dropped: tel.Metrics.Counter("datagrams_dropped"),
		out:     datagram.NewCodec(key),
		in:      datagram.NewCodec(key),
		buf:     make([]byte, 0, datagram.MaxSize),
		replay:  datagram.NewReplayFilter(),
	}, nil
}

// Send numbers, signs and sends a message. Losses are not reported; the
// protocols above expect them.
func (s *Socket) Send(m datagram.Message, to netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	m.Head().Seq = s.seq
	frame, err := s.out.Append(s.buf[:0], m)
	if err != nil {
		s.drop(err, to)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(frame, to); err != nil {
		s.drop(err, to)
		return
	}
	s.sentMessages.Add(1)
	s.sentBytes.Add(uint64(len(frame)))
}

// Receive calls the handler for each message until the socket is closed.
func (s *Socket) Receive(handle Handler) error {
	buf := make([]byte, datagram.MaxSize+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error about an earlier send; the socket stays usable.
			continue
		}
		s.receivedMessages.Add(1)
		s.receivedBytes.Add(uint64(n))
		m, err := s.in.Decode(buf[:n])
		if err != nil {
			s.drop(err, from)
			continue
		}
		if !s.replay.Accept(m.Head()) {
			s.drop(errRepeated, from)
			continue
		}
		handle(m, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

var errRepeated = errors.New("datagram was received before")

func (s *Socket) drop(err error, peer netip.AddrPort) {
	s.droppedCount.Add(1)
	s.dropped.Inc(1)
	s.log.Log(eventDropped, err, telemetry.Fields{"peer": peer.String()})
}

// Stats returns the traffic so far.
func (s *Socket) Stats() Stats {
	return Stats{
		SentMessages:     s.sentMessages.Load(),
		SentBytes:        s.sentBytes.Load(),
		ReceivedMessages: s.receivedMessages.Load(),
		ReceivedBytes:    s.receivedBytes.Load(),
		Dropped:          s.droppedCount.Load(),
	}
}

// Addr returns the bound address.
func (s *Socket) Addr() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }
