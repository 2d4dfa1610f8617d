package standin

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/boragecrank/boragecrank/internal/platform"
)

// Table is an in-memory platform.Table. All rows draw their revisions from one
// counter, so a row that is deleted and recreated never reuses a revision.
type Table struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	keys     []string // sorted
	revision uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]platform.Row)}
}

var _ platform.Table = (*Table)(nil)

// Commit applies the transaction if every condition holds. If several writes
// have the same key, the last one wins.
func (t *Table) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	if err := ctx.Err(); err != nil {
		return platform.TxnResult{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var res platform.TxnResult
	if t.conditionsHold(txn.Conditions) {
		res.Committed = true
		if len(txn.Writes) > 0 {
			t.revision++
			res.Revision = t.revision
		}
		for _, w := range txn.Writes {
			t.apply(w)
		}
	}
	res.Rows = t.read(txn.Reads)
	return res, nil
}

func (t *Table) conditionsHold(conditions []platform.Condition) bool {
	for _, c := range conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return false
		}
	}
	return true
}

func (t *Table) apply(w platform.Write) {
	_, exists := t.rows[w.Key]
	i := sort.SearchStrings(t.keys, w.Key)
	if w.Delete {
		if exists {
			delete(t.rows, w.Key)
			t.keys = slices.Delete(t.keys, i, i+1)
		}
		return
	}
	if !exists {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: t.revision}
}

func (t *Table) read(keys []string) []platform.Row {
	if len(keys) == 0 {
		return nil
	}
	rows := make([]platform.Row, len(keys))
	for i, k := range keys {
		rows[i] = t.row(k)
	}
	return rows
}

func (t *Table) row(key string) platform.Row {
	r, ok := t.rows[key]
	if !ok {
		return platform.Row{Key: key}
	}
	r.Value = slices.Clone(r.Value)
	return r
}

// Get returns the rows of the keys in order; a missing row has revision 0.
func (t *Table) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read(keys), nil
}

// Scan returns the rows with the prefix whose keys are greater than after, in
// key order. A limit of 0 or less means no limit.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for i := sort.SearchStrings(t.keys, max(prefix, after)); i < len(t.keys); i++ {
		k := t.keys[i]
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k <= after {
			continue
		}
		rows = append(rows, t.row(k))
		if len(rows) == limit {
			break
		}
	}
	return rows, nil
}
