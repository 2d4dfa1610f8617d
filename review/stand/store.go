package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is one row of the platform's metadata store. Value is base64 on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// Limits of the store, from the platform's pages.
const (
	rowBytes     = 65536
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxPage      = 500
	// storeDelay is the usual time of a call: 4 ms an answer.
	storeDelay = 4 * time.Millisecond
)

// store is a stand-in for the metadata store. It keeps its rows in memory, applies
// transactions atomically and answers linearizably.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	ver     uint64
	changed chan struct{}
	began   time.Time
	rec     *recorder
	// delay is the time that a call takes.
	delay atomic.Int64
	// tooLarge counts the transactions refused because of a row above rowBytes.
	tooLarge int
}

func newStore(rec *recorder) *store {
	s := &store{rows: make(map[rowID]row), changed: make(chan struct{}), began: time.Now(), rec: rec}
	s.delay.Store(int64(storeDelay))
	return s
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	data = toWire(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

// value returns the value of a row, or nil.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table, part, key}].Value
}

func (s *store) apply(puts, removes []row) {
	s.ver++
	for _, r := range puts {
		r.Ver, r.Removed = s.ver, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		delete(s.rows, r.id())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(time.Duration(s.delay.Load()))
	switch r.Method + " " + r.URL.Path {
	case "POST " + names["path transaction"]:
		s.serveTx(w, r)
	case "GET " + names["path rows"]:
		s.serveGet(w, r)
	case "GET " + names["path feed"]:
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := decode(http.MaxBytesReader(w, r.Body, maxTxBytes), &t); err != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > maxTxEntries {
		s.rec.log("store refuses a transaction: not readable, or over 100 entries or 1 MB")
		http.Error(w, "not a transaction, or too large", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range t.Puts {
		if n := len(t.Puts[i].Value); n > rowBytes {
			s.tooLarge++
			if s.tooLarge <= 5 {
				s.rec.log("store refuses a transaction: the value of row %s/%s/%s has %d bytes, over row_bytes %d", t.Puts[i].Table, t.Puts[i].Part, t.Puts[i].Key, n, rowBytes)
			}
			http.Error(w, "a value is above row_bytes", http.StatusBadRequest)
			return
		}
	}
	holds := true
	reply := rowsReply{Rows: []row{}}
	for _, e := range t.Expected {
		current, ok := s.rows[e.id()]
		if !ok {
			current = row{Table: e.Table, Part: e.Part, Key: e.Key}
		} else {
			reply.Rows = append(reply.Rows, current)
		}
		holds = holds && current.Ver == e.Ver
	}
	if !holds {
		reply.Ver, reply.NowMs = s.ver, s.now()
		writeJSON(w, http.StatusPreconditionFailed, reply)
		return
	}
	s.apply(t.Puts, t.Remove)
	writeJSON(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := rowsReply{Rows: []row{}, Ver: s.ver, NowMs: s.now()}
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			reply.Rows = append(reply.Rows, x)
		}
	}
	sort.Slice(reply.Rows, func(i, j int) bool { return reply.Rows[i].Key < reply.Rows[j].Key })
	if len(reply.Rows) > limit {
		reply.Rows, reply.HasMore = reply.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		reply := rowsReply{Rows: []row{}, Ver: s.ver, NowMs: s.now()}
		from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, x := range s.history[from:] {
			if x.Table == q.Get("table") {
				reply.Rows = append(reply.Rows, x)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(reply.Rows) > 0 {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a failure means that the caller has gone
}
