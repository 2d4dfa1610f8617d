package traffic

import (
	"context"
	"net"
	"testing"
)

// Guards against bytes that are not counted or are counted in the wrong
// direction.
func TestCountsBothDirections(t *testing.T) {
	var c Counter
	near, far := net.Pipe()
	dial := c.Dialer(func(context.Context, string, string) (net.Conn, error) { return near, nil })
	conn, err := dial(context.Background(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		buf := make([]byte, 5)
		_, _ = far.Read(buf)
		_, _ = far.Write([]byte("abc"))
	}()
	if _, err := conn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if c.Out() != 5 || c.In() != 3 {
		t.Fatalf("out %d, in %d; want 5 and 3", c.Out(), c.In())
	}
}
