package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/boragecrank/boragecrank/internal/platform"
)

func putTxn(key string) platform.Txn {
	return platform.Txn{Writes: []platform.Write{{Key: key, Value: []byte("v")}}}
}

// Guards against faults whose effect differs from their error: a lost response
// without effect, a lost request with an effect, or a late write that never
// takes effect.
func TestTableFaults(t *testing.T) {
	ctx := context.Background()
	table := NewTable()
	faulty := NewFaultyTable(table, NewInjector(1, nil))
	exists := func(key string) bool {
		rows, _ := table.Get(ctx, key)
		return rows[0].Revision > 0
	}
	cases := []struct {
		name    string
		faults  Faults
		err     error
		applied bool
		kind    Fault
	}{
		{"down", Faults{Down: true}, platform.ErrUnavailable, false, FaultDown},
		{"lose-request", Faults{LoseRequest: 1}, platform.ErrUncertain, false, FaultLoseRequest},
		{"lose-answer", Faults{LoseAnswer: 1}, platform.ErrUncertain, true, FaultLoseAnswer},
		{"late", Faults{LateWrite: 1}, platform.ErrUncertain, false, FaultLateWrite},
	}
	for _, c := range cases {
		faulty.Set(c.faults)
		_, err := faulty.Commit(ctx, putTxn(c.name))
		if !errors.Is(err, c.err) || exists(c.name) != c.applied || faulty.Counts()[c.kind] != 1 {
			t.Errorf("%s: error %v, applied %v, counts %v", c.name, err, exists(c.name), faulty.Counts())
		}
	}
	faulty.Set(Faults{Frozen: true})
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	if _, err := faulty.Commit(short, putTxn("frozen")); !errors.Is(err, platform.ErrUncertain) || exists("frozen") {
		t.Errorf("frozen: error %v, applied %v", err, exists("frozen"))
	}
	faulty.Set(Faults{})
	// Each call applies at most one late write, with probability 1/2.
	for range 100 {
		_, _ = faulty.Get(ctx, "x")
	}
	if !exists("late") || !exists("frozen") {
		t.Error("late writes did not take effect")
	}
}

// Guards against faults set through the admin interface that have no effect on
// the services.
func TestFaultsOverHTTP(t *testing.T) {
	p := New(Options{})
	srv := httptest.NewServer(NewHandler(p))
	defer srv.Close()
	table := platform.NewHTTPTable(srv.URL, srv.Client())
	set := func(f Faults) {
		body, _ := json.Marshal(FaultsRequest{Service: ServiceTable, Faults: f})
		resp, err := http.Post(srv.URL+"/admin/faults", "application/json", bytes.NewReader(body))
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("set faults: response %v, error %v", resp, err)
		}
		_ = resp.Body.Close()
	}
	set(Faults{Down: true})
	if _, err := table.Commit(context.Background(), putTxn("a")); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("down: %v", err)
	}
	set(Faults{LoseAnswer: 1})
	if _, err := table.Commit(context.Background(), putTxn("b")); !errors.Is(err, platform.ErrUncertain) {
		t.Errorf("lost response: %v", err)
	}
	rows, _ := p.Table.Get(context.Background(), "a", "b")
	if rows[0].Revision != 0 || rows[1].Revision == 0 {
		t.Errorf("wrong effects, want only b written: %+v", rows)
	}
}

// Guards against a network that loses messages without counting them, never
// reorders messages, or differs between two runs with the same seed.
func TestFaultyNetwork(t *testing.T) {
	faults := NetworkFaults{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond,
		Drop: 0.1, Duplicate: 0.1, Reorder: 0.1, ReorderDelay: 50 * time.Millisecond}
	run := func() ([]int, map[Fault]int) {
		n := NewFaultyNetwork[int](7, faults)
		n.Blocked = func(m int) bool { return m == 3 }
		var got []int
		for i := range 1000 {
			now := time.Duration(i) * time.Millisecond
			n.Send(now, i)
			got = append(got, n.Deliver(now)...)
		}
		return append(got, n.Deliver(time.Hour)...), n.Counts()
	}
	got, counts := run()
	again, _ := run()
	if !reflect.DeepEqual(got, again) {
		t.Fatal("two runs with the same seed differ")
	}
	if want := 1000 - counts[FaultDrop] - counts[FaultBlocked] + counts[FaultDuplicate]; len(got) != want {
		t.Errorf("%d messages delivered, want %d according to the counts %v", len(got), want, counts)
	}
	reordered := 0
	for i := 1; i < len(got); i++ {
		if got[i] < got[i-1] {
			reordered++
		}
	}
	if reordered == 0 || counts[FaultReorder] == 0 || counts[FaultBlocked] != 1 {
		t.Errorf("%d messages out of order, counts %v", reordered, counts)
	}
}
