//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/boragecrank/boragecrank/platform/standin"
)

// fleet is a small deployment.
type fleet struct {
	*lab
	entries   []string // names
	addresses []string // of the entries' caller interfaces
	proxies   []*proxy // to the store, of each process
	stop      context.CancelFunc
	ctx       context.Context
}

const heartbeat = 1500 * time.Millisecond

func queue(name string) standin.Queue {
	return standin.Queue{Name: name, Host: hostName, Prefix: "/" + name + "/", Service: serviceName, Attempts: 2}
}

// startFleet starts entries and workers with their agents.
func (l *lab) startFleet(entries, workers int, record func(vm, event, task string, run uint64)) (*fleet, error) {
	f := &fleet{lab: l}
	f.ctx, f.stop = context.WithCancel(context.Background())
	l.ends = append(l.ends, f.stop)
	store := l.serveStore()
	via := func() string {
		p := l.startProxy(store)
		f.proxies = append(f.proxies, p)
		return p.address
	}
	for i := range entries {
		o := standin.NewLocalVM().EntryOptions(fmt.Sprintf("front-%d", i+1), via())
		o.MemoryMB, o.MaxOpenFiles, o.CPUShare = 284, 4100, 0.4
		l.startEntry(o)
		f.entries, f.addresses = append(f.entries, o.Name), append(f.addresses, o.CallerAPI)
	}
	for i := range workers {
		vm := standin.NewLocalVM()
		name := fmt.Sprintf("side-%d", i+1)
		o := vm.AgentOptions(name, via(), serviceName, vm.WorkerAddress())
		o.MemoryMB, o.MaxOpenFiles, o.CPUShare = 152, 4096, 0.24
		w := standin.NewWorker(standin.WorkerOptions{
			ID: "i-" + name, Service: serviceName, Address: vm.WorkerAddress(), AgentAddress: o.Announcements, MilliCPU: 16000, RunTime: 800 * time.Millisecond,
			Record: func(event, task string, run uint64) { record(name, event, task, run) },
		})
		l.serve(vm.WorkerAddress(), w)
		l.startAgent(o)
		go w.Announce(f.ctx, heartbeat)
	}
	for _, a := range f.addresses {
		if err := waitAccepting(a, 15*time.Second); err != nil {
			return f, err
		}
	}
	return f, nil
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

// silentConfig checks CONFIG after the open connections to the store have gone silent.
func silentConfig(l *lab) int {
	const (
		contact = 3 * time.Second // contact_ms
		apply   = 2 * time.Second // config_apply_ms
		warmUp  = 12 * time.Second
		after   = 700 * time.Millisecond // from the silence to the new configuration
	)
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(1, queue("checks"), queue("old")))
	f, err := l.startFleet(3, 3, func(vm, event, task string, run uint64) { l.logf("%s %s %s run %d", vm, event, task, run) })
	if err != nil {
		l.logf("%v", err)
		return exitCannot
	}
	// Seven jobs per second, as on the sheet, at random times, to random entries.
	go func() {
		for f.ctx.Err() == nil {
			go func() {
				id, at := newID(), rand.IntN(len(f.addresses))
				status, _ := call(http.MethodPost, f.addresses[at], "/checks/"+id, standin.Job("0.8s", standin.Step{Tasks: 6, MilliCPU: 240, RunTime: 800 * time.Millisecond}))
				l.logf("POST /checks/%s at %s: %d", id, f.entries[at], status)
			}()
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / 7))
		}
	}()
	time.Sleep(warmUp + rand.N(1100*time.Millisecond))
	l.logf("owner: %s", l.owner(f.entries...))
	silent := time.Now()
	if l.trial {
		for i, p := range f.proxies {
			l.logf("open connections to the store that go silent, process %d: %d", i+1, p.silence())
		}
	}
	time.Sleep(time.Until(silent.Add(after)))
	_ = l.store.Put(standin.ConfigTable, standin.ConfigKey, standin.Configuration(2, queue("checks"), queue("new")))
	confirmed := time.Now()
	l.logf("version 2 is confirmed: it drops the queue old and adds the queue new")
	judged := silent.Add(contact)
	if from := confirmed.Add(apply); from.After(judged) {
		judged = from
	}
	time.Sleep(time.Until(judged.Add(20 * time.Millisecond)))
	broken := false
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i, a := range f.addresses {
			added, _ := call(http.MethodGet, a, "/new/", nil)
			dropped, _ := call(http.MethodGet, a, "/old/", nil)
			if added == http.StatusNotFound || dropped == http.StatusOK {
				broken = true
				l.logf("BROKEN: %s, %.2f s after the confirmation and %.2f s after the silence: GET /new/ %d, GET /old/ %d", f.entries[i], time.Since(confirmed).Seconds(), time.Since(silent).Seconds(), added, dropped)
			}
		}
	}
	for _, name := range f.entries {
		l.logf("%s: version 2 in effect %s after the silence", name, l.since(name, 240, silent))
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}
