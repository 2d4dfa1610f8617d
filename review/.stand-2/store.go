package main

import (
	"cmp"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRow is one row of the metadata store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r *storeRow) compare(o *storeRow) int {
	return cmp.Or(cmp.Compare(r.Table, o.Table), cmp.Compare(r.Part, o.Part), cmp.Compare(r.Key, o.Key))
}

// store is a stand-in for the platform's metadata store. It loses nothing that it has
// acknowledged and answers one transaction after another.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    []storeRow
	history []storeRow
	changed chan struct{}
	begin   time.Time
	// away refuses all calls with 503 (nothing done), which is how an outage shows.
	away bool
	// silent leaves all calls without an answer and does nothing.
	silent bool
	// lost is the share of writes that are done and not answered; with late they are
	// done 1 to 6 s later, if their conditions still hold.
	lost float64
	late bool
}

// storeDoor is the address at which one machine reaches the store. Its path to the
// store can be disturbed without that of the others.
type storeDoor struct {
	store *store
	mu    sync.Mutex
	how   string // "", "busy", "silent" or "reset"
}

func (d *storeDoor) set(how string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.how = how
}

func (d *storeDoor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	how := d.how
	d.mu.Unlock()
	switch how {
	case "busy":
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	default:
		d.store.ServeHTTP(w, r)
	}
}

// txTime is the time that a transaction takes (tx_ms in the settings).
const txTime = 3 * time.Millisecond

func newStore() *store {
	return &store{changed: make(chan struct{}), begin: time.Now()}
}

// putJSON writes a row of the operator.
func (s *store) putJSON(table, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) find(r *storeRow) (int, bool) {
	return slices.BinarySearchFunc(s.rows, *r, func(a, b storeRow) int { return a.compare(&b) })
}

func (s *store) apply(puts, removes []storeRow) {
	s.ver++
	for _, r := range puts {
		r.Ver = s.ver
		if i, ok := s.find(&r); ok {
			s.rows[i] = r
		} else {
			s.rows = slices.Insert(s.rows, i, r)
		}
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if i, ok := s.find(&r); ok {
			s.rows = slices.Delete(s.rows, i, i+1)
		}
		s.history = append(s.history, storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// row returns the value of a row, or nil.
func (s *store) row(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.find(&storeRow{Table: table, Part: part, Key: key}); ok {
		return s.rows[i].Value
	}
	return nil
}

type storeAnswer struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"has_more"`
	Ver     uint64     `json:"ver"`
	NowMs   int64      `json:"now_ms"`
}

func (s *store) answer() storeAnswer {
	return storeAnswer{Rows: []storeRow{}, Ver: s.ver, NowMs: time.Since(s.begin).Milliseconds()}
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, silent := s.away, s.silent
	s.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if away {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rows-tx":
		s.transact(w, r)
	case "GET /v1/rows-get":
		s.get(w, r)
	case "GET /v1/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []storeRow `json:"expected_revision"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
		Across   bool       `json:"across"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > 100 {
		http.Error(w, "not a transaction, or too large", http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	lost, late := rand.Float64() < s.lost, s.late
	s.mu.Unlock()
	if lost && late {
		time.Sleep(time.Second + rand.N(5*time.Second))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range append(slices.Clone(t.Puts), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	a, holds := s.answer(), true
	for i := range t.Expected {
		var current uint64
		if n, ok := s.find(&t.Expected[i]); ok {
			current = s.rows[n].Ver
			a.Rows = append(a.Rows, s.rows[n])
		}
		holds = holds && current == t.Expected[i].Ver
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, a)
		return
	}
	s.apply(t.Puts, t.Remove)
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": a.NowMs})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.answer()
	for _, row := range s.rows {
		if row.Table != q.Get("table") || row.Part != q.Get("part") || row.Key < q.Get("from") || q.Get("to") != "" && row.Key >= q.Get("to") {
			continue
		}
		if len(a.Rows) == limit {
			a.HasMore = true
			break
		}
		a.Rows = append(a.Rows, row)
	}
	reply(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		a := s.answer()
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				a.Rows = append(a.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}
