package membership

import "time"

// Config holds the timing parameters of failure detection.
type Config struct {
	// Interval is the time between acknowledged heartbeats.
	Interval time.Duration
	// FastInterval is the time between heartbeats while the last one is
	// unacknowledged.
	FastInterval time.Duration
	// DeadAfter is the time without a heartbeat after which a worker is
	// declared dead.
	DeadAfter time.Duration
	// PauseThreshold is the gap between two ticks of a listener above which the
	// listener assumes that it was paused itself, and does not count the gap as
	// silence of the workers.
	PauseThreshold time.Duration
}

// DefaultConfig returns an interval of 500 ms, a fast interval of 125 ms, death
// after 3.5 s and a pause threshold of 1 s. The fast interval is needed
// because, with one in five datagrams lost, seven consecutive losses occur
// about every 13 worker-hours. While acknowledgements are missing, a worker
// sends 28 datagrams in 3.5 s instead of 7.
func DefaultConfig() Config {
	return Config{
		Interval:       500 * time.Millisecond,
		FastInterval:   125 * time.Millisecond,
		DeadAfter:      3500 * time.Millisecond,
		PauseThreshold: time.Second,
	}
}

// DeployedConfig returns the parameters used in deployments: an interval of 2
// s, which reduces the load of a full shard on its owner, and death after 4.4
// s. With the default of 3.5 s, a live worker that pauses for 2 s just before a
// heartbeat is due would be declared dead. Entries must know within 5 s
// that a worker is dead, and the digest takes up to 0.2 s to reach them.
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
	// ackedSent is the latest send time that the listener acknowledged.
	ackedSent time.Duration
	// unackedSince is the send time of the first heartbeat after the last
	// acknowledged one. If an acknowledgement of an older heartbeat arrives
	// later, it is the send time of the last heartbeat.
	unackedSince time.Duration
	unacked      bool
}

// NewSender returns the sender for a listener to which nothing was sent yet.
func NewSender(cfg Config) *Sender {
	return &Sender{cfg: cfg}
}

// NextAt returns when the next heartbeat is due. While the last heartbeat is
// unacknowledged, the fast interval applies, for at most DeadAfter: after that
// time a dead listener is more likely than datagram loss.
func (s *Sender) NextAt() time.Duration {
	if !s.started {
		return 0
	}
	if s.unacked && s.lastSent-s.unackedSince < s.cfg.DeadAfter {
		return s.lastSent + s.cfg.FastInterval
	}
	return s.lastSent + s.cfg.Interval
}

// Sent records that a heartbeat was sent at now.
func (s *Sender) Sent(now time.Duration) {
	if !s.unacked {
		s.unacked = true
		s.unackedSince = now
	}
	s.started = true
	s.lastSent = now
}

// Acked records an acknowledgement. sentAt is the SentAt of the acknowledged
// heartbeat.
func (s *Sender) Acked(sentAt time.Duration) {
	if !s.started || sentAt < s.ackedSent || sentAt > s.lastSent {
		return
	}
	s.ackedSent = sentAt
	if sentAt == s.lastSent {
		s.unacked = false
		return
	}
	s.unackedSince = s.lastSent
}
