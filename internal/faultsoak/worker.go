package faultsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// labelOfOne is the label that only the first worker has.
const labelOfOne = "one"

// soakWorker is an upstream worker in the driver. A restart closes its listener and
// all connections, as the end of a process does.
type soakWorker struct {
	worker  *standin.Worker
	address string
	// proxy carries the agent's calls to the worker.
	proxy *proxy
	// mu is held during a restart.
	mu            sync.Mutex
	id            string
	restarts      int
	server        *http.Server
	endAnnouncing context.CancelFunc
}

// The listener of an earlier boot is open until a process that the driver is starting
// meanwhile, which inherits it, has executed its program.
const (
	listenTimeout       = 3 * time.Second
	listenRetryInterval = 20 * time.Millisecond
)

// listen listens on the worker's address, and retries for listenTimeout.
func (s *soakWorker) listen() (net.Listener, error) {
	for end := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.address)
		if err == nil || time.Now().After(end) {
			return l, err
		}
	}
}

// start listens and announces the current boot.
func (s *soakWorker) start() error {
	l, err := s.listen()
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s.worker, ReadHeaderTimeout: time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	announcing, stop := context.WithCancel(context.Background())
	s.endAnnouncing = stop
	go s.worker.Announce(announcing, 300*time.Millisecond)
	return nil
}

func (s *soakWorker) stop() {
	s.endAnnouncing()
	_ = s.server.Close()
}

// restart ends the boot and starts another one after a pause, under the same ID or
// another one.
func (s *soakWorker) restart(pause time.Duration, newID bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.worker.Crash()
	s.stop()
	time.Sleep(pause)
	s.restarts++
	if newID {
		s.id = fmt.Sprintf("%s-%d", s.id, s.restarts)
	}
	s.worker.Boot(s.id)
	return s.start()
}

// injectWorkerFault restarts a worker, makes it fail its tasks for a while, or does
// nothing. Two of three restarts are under the same ID, and half of them so short that
// an agent may miss them.
func (w *soakRun) injectWorkerFault() {
	target := w.workers[w.workerRNG.IntN(len(w.workers))]
	switch w.workerRNG.IntN(3) {
	case 0:
		pause := time.Duration(w.workerRNG.Int64N(int64(80 * time.Millisecond)))
		if w.workerRNG.IntN(2) == 0 {
			pause = time.Duration(w.workerRNG.Int64N(int64(1500 * time.Millisecond)))
		}
		newID := w.workerRNG.IntN(3) == 0
		w.countFault("worker restarts")
		w.pendingUndos.Add(1)
		go func() {
			defer w.pendingUndos.Done()
			if err := target.restart(pause, newID); err != nil {
				w.addViolation("worker cannot be restarted: %v", err)
			}
		}()
	case 1:
		w.countFault("worker fails tasks")
		target.worker.SetFailing(true)
		length := time.Duration(w.workerRNG.Int64N(int64(4 * time.Second)))
		w.pendingUndos.Add(1)
		go func() {
			defer w.pendingUndos.Done()
			time.Sleep(length)
			target.worker.SetFailing(false)
		}()
	default:
	}
}
