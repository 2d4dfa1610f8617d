package datagram

import (
	"errors"
	"net/netip"
	"reflect"
	"testing"
)

var testAddr = netip.MustParseAddrPort("10.1.2.3:7201")

func testHeader() Header {
	return Header{Sender: HashName("gent-01"), Incarnation: 77, Seq: 9, ConfigVersion: 12, ConfigAgeMS: 40}
}

func testMessages() []Message {
	upstreams := []Upstream{{Service: HashName("berths"), Slots: 8, Connections: 64, InFlight: 3}, {Service: 5, Leaving: true}}
	return []Message{
		&Heartbeat{Header: testHeader(), Shard: 4, Clock: 123456, Epoch: 3, Draining: true, Leaving: true,
			EchoListener: 5, EchoReadAt: 6, TasksHash: 8, Upstreams: upstreams},
		&HeartbeatAck{Header: testHeader(), Shard: 4, Epoch: 3, ToIncarnation: 5, Echo: 99, ReadAt: 12, Challenge: true, Superseded: true,
			Owner: true, Right: true, Relay: 6, RelayAddress: testAddr, Appointment: 2},
		&Digest{Header: testHeader(), Shard: 4, Epoch: 3, Relay: true, Appointment: 1, Version: 2, Hash: 1,
			FreeMilliCPU: 16000, FreeMemoryBytes: 1 << 36, FreeAccelerators: 2},
		&VersionNotice{Header: testHeader()},
	}
}

// Guards against fields that are encoded but not decoded, or decoded but not encoded.
func TestRoundTrip(t *testing.T) {
	out, in := NewCodec([]byte("key")), NewCodec([]byte("key"))
	for _, want := range testMessages() {
		datagram, err := out.Append(nil, want)
		if err != nil {
			t.Fatalf("%T: %v", want, err)
		}
		got, err := in.Decode(datagram)
		if err != nil {
			t.Fatalf("%T: %v", want, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// Guards against accepting damaged or forged datagrams.
func TestDecodeRejects(t *testing.T) {
	c := NewCodec([]byte("key"))
	good, err := c.Append(nil, testMessages()[0])
	if err != nil {
		t.Fatal(err)
	}
	mutate := func(i int) []byte {
		b := append([]byte(nil), good...)
		b[i] ^= 0xff
		return b
	}
	foreign, err := NewCodec([]byte("other")).Append(nil, testMessages()[0])
	if err != nil {
		t.Fatal(err)
	}
	anonymous, err := c.Append(nil, &VersionNotice{})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name     string
		datagram []byte
		want     error
	}{
		{"empty", nil, ErrTruncated},
		{"truncated header", good[:headerSize-1], ErrTruncated},
		{"truncated payload", good[:len(good)-1], ErrMAC},
		{"other version", mutate(0), ErrVersion},
		{"other type", mutate(1), ErrType},
		{"damaged code", mutate(2), ErrMAC},
		{"damaged payload", mutate(headerSize), ErrMAC},
		{"other key", foreign, ErrMAC},
		{"no sender", anonymous, ErrMalformed},
		{"oversize", make([]byte, MaxSize+1), ErrOversize},
	}
	for _, tt := range tests {
		if _, err := c.Decode(tt.datagram); !errors.Is(err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.name, err, tt.want)
		}
	}
}

// Guards against sending a heartbeat that the network would fragment.
func TestAppendRejectsOversize(t *testing.T) {
	h := &Heartbeat{Header: testHeader(), Upstreams: make([]Upstream, 100)}
	for i := range h.Upstreams {
		h.Upstreams[i] = Upstream{Service: 1 << 60, Slots: 8, Connections: 64}
	}
	if _, err := NewCodec([]byte("key")).Append(nil, h); !errors.Is(err, ErrOversize) {
		t.Fatalf("got %v, want %v", err, ErrOversize)
	}
}

// Guards against processing a datagram twice if the network or an attacker repeats
// it.
func TestReplay(t *testing.T) {
	r := NewReplayFilter()
	tests := []struct {
		incarnation, seq uint64
		want             bool
	}{
		{1, 1, true}, {1, 1, false}, {1, 3, true}, {1, 2, true}, {1, 2, false},
		{1, 200, true}, {1, 150, true}, {1, 150, false}, {1, 136, false}, {2, 1, true}, {2, 1, false},
	}
	for i, tt := range tests {
		h := Header{Sender: 5, Incarnation: tt.incarnation, Seq: tt.seq}
		if got := r.Accept(&h); got != tt.want {
			t.Errorf("step %d: incarnation %d, sequence number %d: got %v", i, tt.incarnation, tt.seq, got)
		}
	}
}

// Guards against allocations in the encoding and decoding of heartbeats, which happen
// continuously.
func TestHeartbeatDoesNotAllocate(t *testing.T) {
	c := NewCodec([]byte("key"))
	hb := testMessages()[0]
	buf := make([]byte, 0, MaxSize)
	allocs := testing.AllocsPerRun(200, func() {
		datagram, err := c.Append(buf[:0], hb)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Decode(datagram); err != nil {
			t.Fatal(err)
		}
	})
	if allocs != 0 {
		t.Fatalf("%v allocations for one heartbeat, want 0", allocs)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	c := NewCodec([]byte("key"))
	hb := testMessages()[0]
	buf := make([]byte, 0, MaxSize)
	b.ReportAllocs()
	for b.Loop() {
		datagram, err := c.Append(buf[:0], hb)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.Decode(datagram); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(datagram)), "bytes/msg")
	}
}

// Guards against a decoder that panics or does not terminate on hostile input. The
// datagrams are signed, so that the fuzzer reaches the decoding of the payload.
func FuzzDecode(f *testing.F) {
	c := NewCodec([]byte("key"))
	for _, m := range testMessages() {
		datagram, err := c.Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(datagram[1], datagram[headerSize:])
	}
	f.Fuzz(func(t *testing.T, typ byte, payload []byte) {
		datagram := make([]byte, headerSize, headerSize+len(payload))
		datagram[0], datagram[1] = wireVersion, typ
		datagram = append(datagram, payload...)
		copy(datagram[2:headerSize], c.sign(datagram))
		m, err := c.Decode(datagram)
		if err != nil {
			return
		}
		if _, err := c.Append(nil, m); err != nil && !errors.Is(err, ErrOversize) {
			t.Fatalf("decoded message cannot be encoded: %v", err)
		}
	})
}
