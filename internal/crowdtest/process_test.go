package crowdtest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/agentapi"
	"github.com/boragecrank/boragecrank/internal/core/workflow"
	"github.com/boragecrank/boragecrank/internal/localrun"
	"github.com/boragecrank/boragecrank/internal/wire/callauth"
	"github.com/boragecrank/boragecrank/internal/wire/wirepb"
	"github.com/boragecrank/boragecrank/platform/standin"
)

// Limits in the settings of the processes under test.
const (
	// memoryMB is a third to a half of the smallest VM in use (152 MB), so that a
	// crowd of a few hundred clients shows the fault.
	memoryMB = 64
	// maxOpenFiles of the tests with bodies. It admits the whole crowd.
	maxOpenFiles = 4096
	// fewOpenFiles of the tests with connections is below the number of connections.
	fewOpenFiles = 512
	// productMemoryMB is the default memory limit of the product's own processes,
	// whose settings files have none in the first version of these tests.
	productMemoryMB = 256
	// productOpenFiles is the bound on the descriptors of the product's own
	// processes: the default limit on callers' connections, and 200 for files.
	productOpenFiles = 4096 + 200
)

const (
	metricsPort = 7199
	// hangTimeout ends a test whose process does not answer at all.
	hangTimeout = 60 * time.Second
)

// binary is the path of the built command.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowdtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "boragecrank")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/boragecrank").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// listener is one listener of a running process.
type listener struct {
	// address is host:port; host and path are those of the crowd's requests.
	address, host, path string
	pid                 int
	memoryMB, openFiles int
	// bodyBytes is the size of the largest legal body.
	bodyBytes int
	// alive returns an error if the process has ended.
	alive func() error
	// ask sends one ordinary request and returns an error unless it is answered with
	// success.
	ask func() error
}

var ordinaryClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// request sends a request and returns an error unless its status is 200.
func request(method, url, host string, body []byte) error {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Host = host
	resp, err := ordinaryClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}

// await calls f until it succeeds, and fails the test after hangTimeout.
func await(t *testing.T, what string, f func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = f(); err == nil {
			return
		}
	}
	t.Fatalf("%s: %v", what, err)
}

// startStore serves a store with the operator's configuration.
func startStore(t *testing.T) string {
	t.Helper()
	store := standin.NewStore()
	queue := standin.Queue{Name: "r-q", Host: jobsHost, Prefix: "/q/", Service: "svc"}
	if err := store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, queue)); err != nil {
		t.Fatal(err)
	}
	return serve(t, standin.NewLocalVM().IP+":7180", store)
}

const jobsHost = "jobs.example"

// startRole starts a role on the users' platform and returns its process ID and a
// function that returns an error if the process has ended.
func startRole(t *testing.T, role string, p standin.ProcessOptions) (int, func() error) {
	t.Helper()
	dir := t.TempDir()
	file := filepath.Join(dir, "settings.toml")
	if err := os.WriteFile(file, []byte(p.Settings()), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(binary, role, "--metrics-port", strconv.Itoa(metricsPort))
	cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-done
		_ = log.Close()
	})
	return cmd.Process.Pid, func() error {
		select {
		case <-done:
			text, _ := os.ReadFile(log.Name())
			return fmt.Errorf("process has ended: %s\n%s", cmd.ProcessState, text[max(0, len(text)-2000):])
		default:
			return nil
		}
	}
}

// startEntry starts a store and a jobs-entry and returns its listeners by name.
func startEntry(t *testing.T, openFiles int) map[string]listener {
	t.Helper()
	p := standin.NewLocalVM().EntryOptions("entry", startStore(t))
	p.MemoryMB, p.MaxOpenFiles = memoryMB, openFiles
	pid, alive := startRole(t, "jobs-entry", p)
	base := listener{host: jobsHost, path: "/q/00000000000000ff", pid: pid, memoryMB: memoryMB, openFiles: openFiles, bodyBytes: 256 << 10, alive: alive}
	listeners := make(map[string]listener)
	add := func(name, address string, ask func() error) {
		l := base
		l.address, l.ask = address, ask
		listeners[name] = l
	}
	jobs := 0
	add("callers", p.CallerAPI, func() error {
		jobs++
		return request(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", p.CallerAPI, jobs), jobsHost, ordinaryJob())
	})
	add("ready", p.Ready, func() error { return request(http.MethodGet, "http://"+p.Ready+"/", "", nil) })
	metrics := fmt.Sprintf("%s:%d", p.IP, metricsPort)
	add("metrics", metrics, func() error { return request(http.MethodGet, "http://"+metrics+"/metrics", "", nil) })
	for name, l := range listeners {
		await(t, name+" before the crowd", l.ask)
	}
	return listeners
}

// startAgent starts a store, a worker and its jobs-agent, and returns the listeners of
// the agent by name.
func startAgent(t *testing.T, openFiles int) map[string]listener {
	t.Helper()
	vm := standin.NewLocalVM()
	p := vm.AgentOptions("agent", startStore(t), "svc", vm.WorkerAddress())
	p.MemoryMB, p.MaxOpenFiles = memoryMB, openFiles
	pid, alive := startRole(t, "jobs-agent", p)
	worker := standin.NewWorker(standin.WorkerOptions{
		ID: "i-0", Service: "svc", Address: vm.WorkerAddress(), AgentAddress: p.Announcements, MilliCPU: 4000, RunTime: time.Second,
	})
	serve(t, vm.WorkerAddress(), worker)
	internal := fmt.Sprintf("%s:%d", p.IP, p.InternalPort)
	base := listener{pid: pid, memoryMB: memoryMB, openFiles: openFiles, alive: alive}
	announcements, calls := base, base
	announcements.address, announcements.path, announcements.bodyBytes = p.Announcements, standin.AnnouncementPath("i-0"), 64<<10
	born := time.Now().UnixMilli()
	announcements.ask = func() error {
		body := marshal(standin.Announcement("svc", vm.WorkerAddress(), born))
		return request(http.MethodPost, "http://"+p.Announcements+announcements.path, "", body)
	}
	calls.address, calls.path, calls.bodyBytes = internal, wirepb.AgentServicePathPrefix+"Carry", 1<<20
	client := agentapi.NewClient("vm", internal, ordinaryClient)
	calls.ask = func() error {
		_, err := client.Watch(context.Background(), workflow.Grant{Fence: 1}, 0)
		return err
	}
	listeners := map[string]listener{"announcements": announcements, "internal": calls}
	for name, l := range listeners {
		await(t, name+" before the crowd", l.ask)
	}
	return listeners
}

// startProduct starts the stand-in platform and an entry of the product's own
// interface, and returns the listeners of the entry by name.
func startProduct(t *testing.T) map[string]listener {
	t.Helper()
	const octet = 57 // not used by other packages' tests
	d, err := localrun.New(localrun.Options{Binary: binary, Dir: t.TempDir(), Octet: octet, Entries: 1, Domains: 1, Workers: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	ctx := context.Background()
	if err := d.StartPlatform(ctx); err != nil {
		t.Fatal(err)
	}
	if err := d.StartEntry(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if out, err := d.Command(ctx, "apply", d.InventoryDir()); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	pid := d.Process(localrun.EntryName(1)).Pid()
	base := listener{pid: pid, memoryMB: productMemoryMB, openFiles: productOpenFiles, alive: func() error {
		if _, err := os.Stat(fmt.Sprintf("/proc/%d/fd/0", pid)); err != nil {
			return fmt.Errorf("process has ended: %s", d.Log(localrun.EntryName(1)))
		}
		return nil
	}}
	callers, operators, internal := base, base, base
	callers.address, callers.path, callers.bodyBytes = d.CallerAddr(1), "/v1/services/berth-check/x", 1<<20
	callers.ask = func() error { return request(http.MethodGet, "http://"+d.CallerAddr(1)+"/healthz", "", nil) }
	operators.address, operators.path, operators.bodyBytes = d.OperatorAddr(1), "/v1/config", 4<<20
	operators.ask = func() error { return request(http.MethodGet, "http://"+d.OperatorAddr(1)+"/metrics", "", nil) }
	internal.address, internal.path, internal.bodyBytes = d.EntryInternalAddr(1), wirepb.ConfigServicePathPrefix+"State", 8<<20
	signed := &http.Client{Timeout: ordinaryClient.Timeout, Transport: &callauth.Transport{Key: []byte(localrun.SharedKey), Base: ordinaryClient.Transport}}
	peer := wirepb.NewConfigServiceProtobufClient("http://"+d.EntryInternalAddr(1), signed)
	internal.ask = func() error {
		_, err := peer.State(ctx, &wirepb.StateRequest{})
		return err
	}
	listeners := map[string]listener{"callers": callers, "operators": operators, "internal": internal}
	for name, l := range listeners {
		await(t, name+" before the crowd", l.ask)
	}
	return listeners
}

// serve serves a handler on an address until the test ends.
func serve(t *testing.T, address string, h http.Handler) string {
	t.Helper()
	l, err := (&netListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// peakMemoryMB returns the highest resident memory of a process so far, in MiB.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("process has ended: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return (kb + 1023) / 1024
		}
	}
	t.Fatal("no VmHWM: process has ended")
	return 0
}

// openFiles returns the number of open descriptors of a process.
func openFiles(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatalf("process has ended: %v", err)
	}
	return len(entries)
}
