// Package e2e tests a deployment of separate processes on the loopback interface
// under faults: processes are killed, frozen and stopped under load, and the
// outcomes reported to callers are reconciled with the executions recorded by
// the upstreams.
package e2e

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/localrun"
)

// Environment variables that configure the tests.
const (
	// envSeconds names the variable for the duration of fault injection in each
	// test, in seconds.
	envSeconds = "BORAGECRANK_E2E_SECONDS"
	// envSeed names the variable for the seed of the faults and bookings.
	envSeed = "BORAGECRANK_E2E_SEED"
	// envRace names the variable that, if not empty, builds the processes with the
	// race detector.
	envRace = "BORAGECRANK_E2E_RACE"
	// envKeep names the variable for a directory in which settings and logs are
	// kept.
	envKeep = "BORAGECRANK_E2E_KEEP"
)

// Range of the second octet of the addresses of deployments. Concurrent
// deployments on one machine use different octets.
const (
	firstOctet = 41
	lastOctet  = 49
)

// binary is the path of the command under test. TestMain builds it once.
var binary string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "boragecrank-e2e-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "boragecrank")
	args := []string{"build", "-o", binary}
	if os.Getenv(envRace) != "" {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "../../cmd/boragecrank")...).CombinedOutput()
	if err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, out)
	}
	return m.Run(), nil
}

// intFromEnv returns the integer in an environment variable, or the default
// value if the variable is not set.
func intFromEnv(t *testing.T, name string, defaultValue int) int {
	t.Helper()
	s := os.Getenv(name)
	if s == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func faultDuration(t *testing.T, defaultSeconds int) time.Duration {
	return time.Duration(intFromEnv(t, envSeconds, defaultSeconds)) * time.Second
}

func seed(t *testing.T) uint64 { return uint64(intFromEnv(t, envSeed, 1)) }

// startFleet starts a deployment that is closed when the test ends. Its logs are
// then checked for panics, fatal errors and data races.
func startFleet(t *testing.T, opts localrun.Options) *fleet {
	t.Helper()
	opts.Binary = binary
	opts.Octet = freeOctet(t)
	opts.Dir = t.TempDir()
	if keepDir := os.Getenv(envKeep); keepDir != "" {
		opts.Dir = filepath.Join(keepDir, t.Name())
		if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
			t.Fatal(err)
		}
	}
	d, err := localrun.New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	if err := d.StartAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, d: d, opts: opts, started: time.Now(), faulted: make(map[string]bool)}
	t.Cleanup(func() { f.checkLogs() })
	return f
}

// freeOctet reserves an octet until the test ends. It uses a listener on an
// otherwise unused address as the lock. It also skips an octet whose platform
// address is still in use, for example by processes of an interrupted run.
func freeOctet(t *testing.T) int {
	t.Helper()
	for end := time.Now().Add(5 * time.Minute); time.Now().Before(end); time.Sleep(time.Second) {
		for octet := firstOctet; octet <= lastOctet; octet++ {
			lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.200.200:7999", octet))
			if err != nil {
				continue
			}
			platform, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.100:9000", octet))
			if err != nil {
				_ = lock.Close()
				continue
			}
			_ = platform.Close()
			t.Cleanup(func() { _ = lock.Close() })
			return octet
		}
	}
	t.Fatal("no free octet from 41 to 49 within 5 min")
	return 0
}

// checkLogs fails the test if a log reports a panic, a fatal error or a data
// race.
func (f *fleet) checkLogs() {
	logs, err := filepath.Glob(filepath.Join(f.opts.Dir, "*.log"))
	if err != nil {
		f.t.Error(err)
	}
	for _, file := range logs {
		b, err := os.ReadFile(file)
		if err != nil {
			f.t.Error(err)
		}
		for _, sign := range []string{"panic:", "DATA RACE", "fatal error:"} {
			if i := strings.Index(string(b), sign); i >= 0 {
				f.t.Errorf("%s: %.1500s", filepath.Base(file), b[i:])
			}
		}
	}
}
