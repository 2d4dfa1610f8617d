//go:build review

// Command stand-3 runs the scripted cases of the third review: it starts the project's
// programs as separate processes against stand-ins of the platform, on loopback addresses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	storeDelay  = 4 * time.Millisecond
	serviceName = "moorings"
	hostName    = "desk.example"
)

// lab holds the processes and servers of one run.
type lab struct {
	dir    string
	trial  bool // TROUBLE is not 0
	began  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*process
	store  *standin.Store
	ends   []func()
}

func newLab() *lab {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fail(err)
	}
	name := os.Getenv("RECORD")
	if name == "" {
		name = filepath.Join(dir, "record.txt")
	}
	f, err := os.Create(name)
	if err != nil {
		fail(err)
	}
	return &lab{dir: dir, trial: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f, store: standin.NewStore()}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	os.Exit(exitCannot)
}

// logf writes a line to the record with the time since the start.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f ", time.Since(l.began).Seconds())
	fmt.Fprintf(l.record, format+"\n", args...)
}

// close ends all processes and servers.
func (l *lab) close() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	for _, end := range l.ends {
		end()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

// serve serves a handler on an address and returns the server.
func (l *lab) serve(address string, h http.Handler) (*http.Server, string) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		l.close()
		fail(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(listener) }()
	l.ends = append(l.ends, func() { _ = s.Close() })
	return s, listener.Addr().String()
}

// serveStore serves the store, which answers after the time that the platform's sheet states.
func (l *lab) serveStore() string {
	_, address := l.serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		l.store.ServeHTTP(w, r)
	}))
	return address
}

// process is one process of the project.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	select {
	case <-p.done:
		return
	default:
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// start starts a role with the command of the deploy file.
func (l *lab) start(o standin.ProcessOptions, extra string, args ...string) *process {
	settings := filepath.Join(l.dir, o.Name+".toml")
	if err := os.WriteFile(settings, []byte(o.Settings()+extra), 0o600); err != nil {
		fail(err)
	}
	out, err := os.OpenFile(filepath.Join(l.dir, o.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	cmd := exec.Command("target/boragecrank", args...)
	cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		l.close()
		fail(err)
	}
	p := &process{name: o.Name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	return p
}

func (l *lab) startEntry(o standin.ProcessOptions) *process {
	return l.start(o, "", "jobs-entry", "--pass-submissions", "--quiet-handover", "--headroom", "--metrics-port", "9464")
}

func (l *lab) startAgent(o standin.ProcessOptions) *process {
	return l.start(o, "", "jobs-agent", "--metrics-port", "9464")
}

// logs returns the log of a process.
func (l *lab) logs(name string) string {
	text, _ := os.ReadFile(filepath.Join(l.dir, name+".log"))
	return string(text)
}

// owner returns the name of the entry that has taken the jobs over last.
func (l *lab) owner(names ...string) string {
	last, owner := "", ""
	for _, name := range names {
		for _, line := range strings.Split(l.logs(name), "\n") {
			var e struct {
				Event int    `json:"event"`
				Time  string `json:"time"`
			}
			if json.Unmarshal([]byte(line), &e) == nil && e.Event == 540 && e.Time > last {
				last, owner = e.Time, name
			}
		}
	}
	return owner
}

// call sends a request of a consumer and returns the status and the body; status 0 means
// that there was no answer.
func call(method, address, path string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Borage"+"crank-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// proxy passes TCP connections on. Silence makes the open ones go silent for good: nothing
// is passed on any more and nothing is closed, while new ones work.
type proxy struct {
	address string
	target  string
	mu      sync.Mutex
	conns   []*proxied
}

type proxied struct {
	mu     sync.Mutex
	silent bool
	a, b   net.Conn
}

func (l *lab) startProxy(target string) *proxy {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		l.close()
		fail(err)
	}
	p := &proxy{address: listener.Addr().String(), target: target}
	l.ends = append(l.ends, func() { _ = listener.Close() })
	go func() {
		for {
			a, err := listener.Accept()
			if err != nil {
				return
			}
			b, err := net.Dial("tcp", p.target)
			if err != nil {
				_ = a.Close() // a closed connection says less to the agent than a refused one
				continue
			}
			c := &proxied{a: a, b: b}
			p.mu.Lock()
			p.conns = append(p.conns, c)
			p.mu.Unlock()
			go c.copy(a, b)
			go c.copy(b, a)
		}
	}()
	return p
}

func (c *proxied) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *proxied) copy(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if c.isSilent() {
			if err != nil {
				return // the other side learns nothing
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence makes all open connections go silent and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

// tryServe serves a handler on an address.
func tryServe(address string, h http.Handler) (*http.Server, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(listener) }()
	return s, nil
}

// heartbeat is the interval between check-ins of a worker.
const heartbeat = 1500 * time.Millisecond

// queue returns a queue of the configuration.
func queue(name string) standin.Queue {
	return standin.Queue{Name: name, Host: hostName, Prefix: "/" + name + "/", Service: serviceName, Attempts: 2}
}

// waitAccepting waits until an entry knows a configuration and its states.
func waitAccepting(address string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if status, _ := call(http.MethodGet, address, "/checks/", nil); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %s does not serve", address)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
