package membership

import "time"

// Config holds the times of failure detection.
type Config struct {
	// Interval is the time between acknowledged heartbeats.
	Interval time.Duration
	// FastInterval is the time between heartbeats while one is unacknowledged.
	FastInterval time.Duration
	// DeadAfter is the silence after which a worker is declared dead.
	DeadAfter time.Duration
	// PauseThreshold is the gap between two ticks of a listener above which it takes
	// itself as paused and does not count the gap as silence of others.
	PauseThreshold time.Duration
}

// DefaultConfig returns interval 500 ms, fast interval 125 ms, dead after
// 3.5 s and own pause 1 s. The fast interval exists because at a loss of one
// in five, seven lost datagrams in a row happen every 13 worker-hours; while
// acknowledgements are missing, 3.5 s hold 28 datagrams instead of 7.
func DefaultConfig() Config {
	return Config{
		Interval:       500 * time.Millisecond,
		FastInterval:   125 * time.Millisecond,
		DeadAfter:      3500 * time.Millisecond,
		PauseThreshold: time.Second,
	}
}

// DeployedConfig returns the times in use: interval 2 s, so that a full shard
// costs its owner less, and dead after 4.4 s. At the default of 3.5 s a pause of
// 2 s just before a heartbeat made a living worker dead; 5 s is the bound for
// entries to know of a death, and a digest of it takes up to 0.2 s.
func DeployedConfig() Config {
	c := DefaultConfig()
	c.Interval = 2 * time.Second
	c.DeadAfter = 4400 * time.Millisecond
	return c
}

// Sender decides when a worker sends heartbeats to one listener.
type Sender struct {
	cfg      Config
	started  bool
	lastSent time.Duration
	// ackedSent is the latest own reading that the listener echoed.
	ackedSent time.Duration
	// unackedSince is when the oldest unacknowledged heartbeat was sent.
	unackedSince time.Duration
	unacked      bool
}

// NewSender returns the sender for a listener that has heard nothing yet.
func NewSender(cfg Config) *Sender {
	return &Sender{cfg: cfg}
}

// NextAt returns when the next heartbeat is due. While the last one is
// unacknowledged the interval is short, for at most DeadAfter: after that the
// listener is more likely dead than the network lossy.
func (s *Sender) NextAt() time.Duration {
	if !s.started {
		return 0
	}
	if s.unacked && s.lastSent-s.unackedSince < s.cfg.DeadAfter {
		return s.lastSent + s.cfg.FastInterval
	}
	return s.lastSent + s.cfg.Interval
}

// Sent records that a heartbeat with the reading now was sent.
func (s *Sender) Sent(now time.Duration) {
	if !s.unacked {
		s.unacked = true
		s.unackedSince = now
	}
	s.started = true
	s.lastSent = now
}

// Acked records an acknowledgement that echoes the reading of a heartbeat.
func (s *Sender) Acked(echo time.Duration) {
	if !s.started || echo < s.ackedSent || echo > s.lastSent {
		return
	}
	s.ackedSent = echo
	if echo == s.lastSent {
		s.unacked = false
		return
	}
	s.unackedSince = s.lastSent
}
