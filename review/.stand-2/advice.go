package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// advisor is a stand-in for the policy service. It handles one call at a time for each
// calling machine, in turn, and answers 429 when 32 calls wait.
type advisor struct {
	w            *world
	decide, each time.Duration
	valid        time.Duration
	// allowed says whether a worker may run a step; it does not change for a step.
	allowed func(step string, k *workerNode) bool
	mu      sync.Mutex
	queues  map[string]*callQueue
	tickets map[string]ticket
}

type ticket struct {
	step, worker string
	until        time.Time
}

type callQueue struct {
	waiting int
	turn    chan struct{}
}

const maxWaitingCalls = 32

func (w *world) addAdvisor(decide, each, valid time.Duration, allowed func(string, *workerNode) bool) error {
	a := &advisor{w: w, decide: decide, each: each, valid: valid, allowed: allowed, queues: make(map[string]*callQueue), tickets: make(map[string]ticket)}
	l, err := net.Listen("tcp", w.ip(2)+":8169")
	if err != nil {
		return errNoRun
	}
	w.advice = a
	w.config.advice = map[string]any{"decide_ms": decide.Milliseconds(), "each_ms": each.Milliseconds(), "valid_ms": valid.Milliseconds()}
	go func() { _ = http.Serve(l, a) }()
	return nil
}

// accepts reports whether a ticket is valid for a step on a boot of a worker.
func (a *advisor) accepts(value, step, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.tickets[value]
	return ok && t.step == step && t.worker == worker && time.Now().Before(t.until)
}

func (a *advisor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || len(q.Workers) > 100 || r.URL.Path != "/v1/advise" {
		http.Error(rw, "not a request for advice", http.StatusBadRequest)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	queue := a.queues[host]
	if queue == nil {
		queue = &callQueue{turn: make(chan struct{}, 1)}
		a.queues[host] = queue
	}
	if queue.waiting >= maxWaitingCalls {
		a.mu.Unlock()
		a.w.logf("policy service: %s with %d workers -> 429", q.Step, len(q.Workers))
		http.Error(rw, "too many calls wait", http.StatusTooManyRequests)
		return
	}
	queue.waiting++
	a.mu.Unlock()
	received := time.Now()
	queue.turn <- struct{}{} // Go serves the senders of a channel in turn
	a.mu.Lock()
	queue.waiting--
	a.mu.Unlock()
	time.Sleep(a.decide + time.Duration(len(q.Workers))*a.each)
	good := [][2]string{}
	a.w.mu.Lock()
	nodes := make(map[string]*workerNode)
	for _, k := range a.w.workers {
		if k.up {
			nodes[k.id] = k
		}
	}
	a.w.mu.Unlock()
	a.mu.Lock()
	for _, id := range q.Workers {
		if k := nodes[id]; k != nil && a.allowed(q.Step, k) {
			value := fmt.Sprintf("t-%d", len(a.tickets)+1)
			a.tickets[value] = ticket{q.Step, id, time.Now().Add(a.valid)}
			good = append(good, [2]string{id, value})
		}
	}
	a.mu.Unlock()
	<-queue.turn
	a.w.logf("policy service: %s with %d workers -> %d tickets after %d ms; caller still there: %t", q.Step, len(q.Workers), len(good), time.Since(received).Milliseconds(), r.Context().Err() == nil)
	reply(rw, http.StatusOK, map[string]any{"good": good, "valid_ms": a.valid.Milliseconds()})
}
