// Package udp sends and receives the messages of package datagram on one socket.
// It drops and counts datagrams that are forged, damaged or repeated.
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
	"A datagram was truncated, forged, repeated or of another version, or could not be sent. If it repeats, a process uses another shared key or version; compare settings and releases.")

// Handler is called with a message and its source address. The message is valid
// only during the call.
type Handler func(m datagram.Message, from netip.AddrPort)

// Stats holds the traffic of a socket since it was opened. The bytes are those of
// the UDP payloads.
type Stats struct {
	SentMessages, SentBytes, ReceivedMessages, ReceivedBytes, Dropped uint64
}

// Socket is a bound UDP socket.
type Socket struct {
	conn    *net.UDPConn
	log     *telemetry.Logger
	dropped tally.Counter

	// mu guards the fields for sending: out, buf and seq.
	mu  sync.Mutex
	out *datagram.Codec
	buf []byte
	seq uint64

	// Only Receive uses in and replay.
	in     *datagram.Codec
	replay *datagram.ReplayFilter

	sentMessages, sentBytes, receivedMessages, receivedBytes, droppedCount atomic.Uint64
}

// Listen opens a socket bound to the address, an IP address with port. The key
// signs and verifies the datagrams.
func Listen(address string, key []byte, tel *telemetry.Telemetry) (*Socket, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, apperr.Wrap(err, apperr.KindInvalid, "datagram address "+address, "is not an IP address with port",
			"use the form 10.0.0.1:7201")
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

// Send numbers, signs and sends a message. It reports no errors: a message that
// cannot be sent is dropped and counted, and the protocols above tolerate losses.
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

// Receive calls the handler for each message until the socket is closed, then
// returns nil. Only one goroutine may call it.
func (s *Socket) Receive(handle Handler) error {
	buf := make([]byte, datagram.MaxSize+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error caused by an earlier send; the socket remains usable.
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

var errRepeated = errors.New("datagram was already received")

func (s *Socket) drop(err error, peer netip.AddrPort) {
	s.droppedCount.Add(1)
	s.dropped.Inc(1)
	s.log.Log(eventDropped, err, telemetry.Fields{"peer": peer.String()})
}

// Stats returns the traffic since the socket was opened.
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

// Close closes the socket. Receive then returns nil.
func (s *Socket) Close() error { return s.conn.Close() }
