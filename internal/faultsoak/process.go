package faultsoak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// stopTimeout is the time from SIGTERM to SIGKILL.
const stopTimeout = 6 * time.Second

// process is an entry or agent process that the soak starts. Signals go only to
// processes that the soak itself has started, through their handles.
type process struct {
	name, binary, role, settings, log string
	// flags follow the role on the command line.
	flags []string
	// mu guards cmd: the end of a pause may come while the process is restarted.
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// cycleMu is held from the signal that ends the process until it has started again.
	cycleMu sync.Mutex
	// ending is set before the soak ends the process. onCrash, if not nil, is called
	// when it has ended otherwise.
	ending  atomic.Bool
	onCrash func(name string, err error)
	// kills and pauses hold the times of these faults.
	kills, pauses faultLog
	// pausedUntil is the end of a pause of the process, in Unix nanoseconds.
	pausedUntil atomic.Int64
}

func newProcess(dir, binary, role string, settings standin.ProcessOptions) (*process, error) {
	name := settings.Name
	p := &process{name: name, binary: binary, role: role, settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log")}
	return p, os.WriteFile(p.settings, []byte(settings.Settings()), 0o600)
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), p.binary, append([]string{p.role}, p.flags...)...) //nolint:gosec // flags of the soak
	cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("process %s cannot be started: %w", p.name, err)
	}
	p.mu.Lock()
	p.pausedUntil.Store(0)
	p.cmd = cmd
	p.mu.Unlock()
	ended := make(chan struct{})
	p.ended = ended
	p.ending.Store(false)
	go func() {
		err := cmd.Wait() // the status of a killed process is not an error here
		_ = out.Close()
		if !p.ending.Load() && p.onCrash != nil {
			p.onCrash(p.name, err)
		}
		close(ended)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // the process may have ended already
}

// kill continues the process, which may be paused, and ends it immediately with
// SIGKILL.
func (p *process) kill() {
	p.ending.Store(true)
	p.kills.set(true)
	p.kills.set(false)
	p.pauses.set(false)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop sends SIGTERM to the process and kills it after stopTimeout. It reports
// whether the process ended without being killed. A paused process handles the
// signal only when it runs again, so stopTimeout counts from then on, also if the pause
// begins after the signal.
func (p *process) stop() bool {
	p.ending.Store(true)
	p.signal(syscall.SIGTERM)
	for sentAt := time.Now(); ; {
		runsFrom := time.Unix(0, max(sentAt.UnixNano(), p.pausedUntil.Load()))
		left := time.Until(runsFrom.Add(stopTimeout))
		if left <= 0 {
			p.kill()
			return false
		}
		select {
		case <-p.ended:
			return true
		case <-time.After(left):
		}
	}
}
