package membership

import (
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/core/types"
)

// Guards against a digest whose hash no longer matches the member states after a
// worker restarts, which would make every entry fetch the view again and again.
func TestHashMatchesMemberStatesAfterRestartAndContentChange(t *testing.T) {
	d := NewDetector(DefaultConfig(), 7)
	heartbeat := func(at time.Duration, inc types.Incarnation, seq, content uint64, echo time.Duration) Ack {
		ack, _, _ := d.Heartbeat(at, Heartbeat{
			VM: "gent-01", Incarnation: inc, Seq: seq, Content: content, Echo: Echo{Listener: 7, ReadAt: echo},
		})
		return ack
	}
	first := heartbeat(1*time.Second, 1, 1, 10, 0)
	heartbeat(2*time.Second, 1, 2, 11, first.Echo.ReadAt)
	challenge := heartbeat(3*time.Second, 2, 1, 12, 0)
	heartbeat(4*time.Second, 2, 2, 12, challenge.Echo.ReadAt)
	source := Source{Shard: "gent-0", Epoch: 1}
	var sum uint64
	for _, e := range d.Delta(source, 0).States {
		sum += e.hash()
	}
	if got := d.Digest(source).Hash; got != sum {
		t.Fatalf("digest hash %x, sum of member states %x", got, sum)
	}
	state, _ := d.Lookup("gent-01")
	if state.Incarnation != 2 || state.Content != 12 {
		t.Fatalf("got incarnation %d with content %d", state.Incarnation, state.Content)
	}
}
