package shard

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/membership"
	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against running a task a second time: an attempt ends, and much later
// than CommandValidity, an owner that has not seen the end sends a valid start
// for the same attempt. Regression test for seed 424415 of the random runs in
// internal/soak.
func TestEndedAttemptIsRememberedUntilForgotten(t *testing.T) {
	cfg := Config{RunRight: time.Hour, CommandValidity: 12 * time.Second}
	g := NewGate(cfg, "vm5", 6)
	g.Acked(0, HeartbeatReply{Ack: membership.Ack{Incarnation: 6}, Epoch: 5, Right: true})
	command := func(now time.Duration, kind CommandKind, epoch types.Epoch) GateVerdict {
		return g.Command(now, Command{
			Kind: kind, VM: "vm5", Incarnation: 6, Epoch: epoch, Task: "j/0", Attempt: 1, ValidUntil: now + cfg.CommandValidity,
		})
	}
	if v := command(time.Second, CommandStart, 5); v != Execute {
		t.Fatalf("first start: %s", v)
	}
	g.RecordEnd("j/0", 1)
	if v := command(time.Minute, CommandStart, 8); v != StaleAttempt {
		t.Errorf("start by a new owner after the end: %s, want %s", v, StaleAttempt)
	}
	if v := command(2*time.Minute, CommandForget, 8); v != Execute {
		t.Fatalf("forget: %s", v)
	}
	if v := command(2*time.Minute+cfg.CommandValidity, CommandStart, 8); v != StaleAttempt {
		t.Errorf("start sent before the forget command: %s, want %s", v, StaleAttempt)
	}
	g.Tick(2*time.Minute + 2*cfg.CommandValidity)
	if len(g.tasks) != 0 {
		t.Errorf("the gate keeps %d tasks after the forget command, want 0", len(g.tasks))
	}
}
