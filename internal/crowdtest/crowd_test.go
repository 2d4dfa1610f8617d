package crowdtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

const (
	// clients is the number of clients that send bodies of up to 256 KiB, all of
	// them together about memoryMB.
	clients = 240
	// crowdBytes bounds the sum of the bodies of one crowd where bodies are larger.
	crowdBytes = 480 << 20
	// connections is the number of clients that send no body.
	connections = 700
	// headerBytes is the size of a legal header, below max_header_bytes (16384).
	headerBytes = 16000
	// oversizeBytes is how much a client sends of a body over the limit, unless its
	// connection is closed; announcedBytes is the length that it announces.
	oversizeBytes  = 16 << 20
	announcedBytes = 1 << 30
	// writeTimeout is how long a client waits for the process to read more. It then
	// leaves the connection open.
	writeTimeout = 5 * time.Second
)

var (
	netListenConfig net.ListenConfig
	dialer          = net.Dialer{Timeout: 10 * time.Second}
)

// ordinaryJob returns a small legal submission.
func ordinaryJob() []byte {
	return marshal(standin.Job("payload", standin.Step{Tasks: 2, MilliCPU: 500, RunTime: time.Second}))
}

func marshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the value is fixed
	}
	return data
}

// chunk returns data in chunked transfer encoding, in chunks of size bytes.
func chunk(data []byte, size int) []byte {
	var b bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// load is what each client of a crowd sends.
type load struct {
	name    string
	clients func(bodyBytes int) int
	// message returns the bytes that each client sends first, and those that it sends
	// after the whole crowd has sent the first; without the latter it stays silent.
	message func(l listener) (first, last []byte)
	// piece is the size of one write; 0 means one write for the whole.
	piece int
	// repeat is how often first is repeated.
	repeat int
}

func bodyClients(bodyBytes int) int { return min(clients, crowdBytes/bodyBytes) }

func head(l listener, transfer string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s\r\n\r\n", l.path, l.host, transfer)
}

// wholeBody returns a request with an announced length, without and with its last byte.
func wholeBody(l listener) []byte {
	body := standin.ManyStepsBody(l.bodyBytes)
	return append([]byte(head(l, fmt.Sprintf("Content-Length: %d", len(body)))), body...)
}

func chunkedBody(size int) func(l listener) []byte {
	return func(l listener) []byte {
		return append([]byte(head(l, "Transfer-Encoding: chunked")), chunk(standin.ManyStepsBody(l.bodyBytes), size)...)
	}
}

// stalled splits a request just before its end and never sends the rest. The rest is
// longer than the end of a chunked body.
func stalled(request func(listener) []byte) func(listener) ([]byte, []byte) {
	return func(l listener) ([]byte, []byte) {
		data := request(l)
		return data[:len(data)-restBytes], nil
	}
}

// finished splits a request just before its end.
func finished(request func(listener) []byte) func(listener) ([]byte, []byte) {
	return func(l listener) ([]byte, []byte) {
		data := request(l)
		return data[:len(data)-restBytes], data[len(data)-restBytes:]
	}
}

const restBytes = 8

// bodyLoads are the crowds with bodies.
var bodyLoads = []load{
	{name: "whole stalled", clients: bodyClients, message: stalled(wholeBody)},
	{name: "pieces stalled", clients: bodyClients, message: stalled(wholeBody), piece: 2 << 10},
	{name: "large chunks stalled", clients: bodyClients, message: stalled(chunkedBody(32 << 10))},
	{name: "1-byte chunks stalled", clients: bodyClients, message: stalled(chunkedBody(1))},
	{name: "whole finished", clients: bodyClients, message: finished(wholeBody)},
	{name: "large chunks finished", clients: bodyClients, message: finished(chunkedBody(32 << 10))},
	{name: "oversize announced", clients: bodyClients, repeat: oversizeBytes >> 16, message: func(l listener) ([]byte, []byte) {
		return []byte(head(l, fmt.Sprintf("Content-Length: %d", announcedBytes))), bytes.Repeat([]byte{' '}, 1<<16)
	}},
	{name: "oversize chunked", clients: bodyClients, repeat: oversizeBytes >> 16, message: func(l listener) ([]byte, []byte) {
		data := chunk(bytes.Repeat([]byte{' '}, 1<<16), 1<<16)
		return []byte(head(l, "Transfer-Encoding: chunked")), data[:len(data)-len("0\r\n\r\n")]
	}},
	{name: "headers stalled", clients: func(int) int { return clients }, message: func(listener) ([]byte, []byte) {
		var b strings.Builder
		b.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
		for i := 0; b.Len() < headerBytes; i++ {
			fmt.Fprintf(&b, "%x:\r\n", i)
		}
		return []byte(b.String()), nil
	}},
}

// connectionLoads are the crowds without bodies, of more clients than descriptors.
var connectionLoads = []load{
	{name: "silent", clients: func(int) int { return connections }, message: func(listener) ([]byte, []byte) { return nil, nil }},
	{name: "header begun", clients: func(int) int { return connections }, message: func(listener) ([]byte, []byte) {
		return []byte("GET / HTTP/1.1\r\nHost: x\r\nA"), nil
	}},
}

// crowd holds the connections of the clients.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// connect opens the connections at the same time. A refused connection is the
// process's right.
func (c *crowd) connect(address string, n int) {
	c.each(n, func(int) {
		if conn, err := dialer.Dial("tcp", address); err == nil {
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
		}
	})
}

// each calls f for 0 to n-1 at the same time.
func (c *crowd) each(n int, f func(int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// send sends data on every connection, in pieces of the given size. It ignores
// connections that the process closes or does not read.
func (c *crowd) send(data []byte, piece, repeat int) {
	if len(data) == 0 {
		return
	}
	if piece == 0 {
		piece = len(data)
	}
	c.each(len(c.conns), func(i int) {
		for range max(1, repeat) {
			for rest := data; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
				_ = c.conns[i].SetWriteDeadline(time.Now().Add(writeTimeout))
				if _, err := c.conns[i].Write(rest[:min(piece, len(rest))]); err != nil {
					return
				}
			}
		}
	})
}

// awaitEnd reads the answer on every connection until it ends or nothing comes.
func (c *crowd) awaitEnd() {
	c.each(len(c.conns), func(i int) {
		_ = c.conns[i].SetReadDeadline(time.Now().Add(writeTimeout))
		_, _ = io.Copy(io.Discard, c.conns[i])
	})
}

// play exposes a listener to a crowd and checks the bounds.
func play(t *testing.T, l listener, m load) {
	c := &crowd{}
	defer c.close()
	c.connect(l.address, m.clients(l.bodyBytes))
	first, last := m.message(l)
	c.send(first, m.piece, 1)
	files := openFiles(t, l.pid)
	await(t, "ordinary request beside the crowd", l.ask)
	if last != nil {
		c.send(last, 0, m.repeat)
		c.awaitEnd()
	}
	files = max(files, openFiles(t, l.pid))
	c.close()
	await(t, "ordinary request after the crowd", l.ask)
	if err := l.alive(); err != nil {
		t.Error(err)
	}
	peak := peakMemoryMB(t, l.pid)
	t.Logf("peak of resident memory %d MB of %d, open descriptors %d of %d", peak, l.memoryMB, files, l.openFiles)
	if peak > l.memoryMB {
		t.Errorf("peak of resident memory is %d MB, want at most %d", peak, l.memoryMB)
	}
	if files > l.openFiles {
		t.Errorf("%d open descriptors, want at most %d", files, l.openFiles)
	}
}

// playAll exposes each of the named listeners to each load, each time in new processes.
func playAll(t *testing.T, names []string, loads []load, start func(*testing.T) map[string]listener) {
	for _, name := range names {
		for _, m := range loads {
			t.Run(name+"/"+m.name, func(t *testing.T) { play(t, start(t)[name], m) })
		}
	}
}

var (
	entryListeners   = []string{"callers", "ready", "metrics"}
	agentListeners   = []string{"announcements", "internal"}
	productListeners = []string{"callers", "operators", "internal"}
)

// Guards against clients whose bodies or headers exhaust the memory of an entry.
func TestEntryBodies(t *testing.T) {
	playAll(t, entryListeners, bodyLoads, func(t *testing.T) map[string]listener { return startEntry(t, maxOpenFiles) })
}

// Guards against clients whose bodies or headers exhaust the memory of an agent.
func TestAgentBodies(t *testing.T) {
	playAll(t, agentListeners, bodyLoads, func(t *testing.T) map[string]listener { return startAgent(t, maxOpenFiles) })
}

// Guards against clients whose connections exhaust the descriptors of an entry.
func TestEntryConnections(t *testing.T) {
	playAll(t, entryListeners, connectionLoads, func(t *testing.T) map[string]listener { return startEntry(t, fewOpenFiles) })
}

// Guards against clients whose connections exhaust the descriptors of an agent.
func TestAgentConnections(t *testing.T) {
	playAll(t, agentListeners, connectionLoads, func(t *testing.T) map[string]listener { return startAgent(t, fewOpenFiles) })
}

// Guards against clients whose bodies exhaust the memory of an entry of the product's
// own interface.
func TestProductBodies(t *testing.T) {
	playAll(t, productListeners, bodyLoads, startProduct)
}
