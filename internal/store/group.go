package store

import (
	"slices"

	"github.com/boragecrank/boragecrank/internal/platform"
)

// group merges independent transactions. Two transactions are independent if
// neither writes a row that the other writes or is conditional on.
type group struct {
	ops     []*operation
	written map[string]bool
	// required holds the expected revision of each row that an operation of the
	// group is conditional on.
	required map[string]uint64
}

func newGroup() *group {
	return &group{written: make(map[string]bool), required: make(map[string]uint64)}
}

// add adds the operation if it is independent of the group, and reports whether
// it did.
func (g *group) add(o *operation) bool {
	for _, c := range o.txn.Conditions {
		rev, ok := g.required[c.Key]
		if g.written[c.Key] || ok && rev != c.Revision {
			return false
		}
	}
	for _, w := range o.txn.Writes {
		if _, ok := g.required[w.Key]; ok || g.written[w.Key] {
			return false
		}
	}
	for _, c := range o.txn.Conditions {
		g.required[c.Key] = c.Revision
	}
	for _, w := range o.txn.Writes {
		g.written[w.Key] = true
	}
	g.ops = append(g.ops, o)
	return true
}

// mergeOperations returns one transaction for the operations. Its first read is
// the lane. With several operations it also reads the rows of their conditions,
// so that a conflict can be attributed to its operation.
func mergeOperations(lane string, ops []*operation) platform.Txn {
	txn := platform.Txn{Reads: []string{lane}}
	seen := map[string]bool{lane: true}
	read := func(key string) {
		if !seen[key] {
			seen[key] = true
			txn.Reads = append(txn.Reads, key)
		}
	}
	for _, o := range ops {
		txn.Conditions = append(txn.Conditions, o.txn.Conditions...)
		txn.Writes = append(txn.Writes, o.txn.Writes...)
		for _, key := range o.txn.Reads {
			read(key)
		}
		if len(ops) == 1 {
			continue
		}
		for _, c := range o.txn.Conditions {
			read(c.Key)
		}
	}
	return txn
}

// rowsByKey indexes the rows of a result.
func rowsByKey(rows []platform.Row) map[string]platform.Row {
	m := make(map[string]platform.Row, len(rows))
	for _, r := range rows {
		m[r.Key] = r
	}
	return m
}

// readsOf returns the rows that the operation reads, in the order of its reads.
func readsOf(o *operation, rows map[string]platform.Row) []platform.Row {
	out := make([]platform.Row, 0, len(o.txn.Reads))
	for _, key := range o.txn.Reads {
		r, ok := rows[key]
		if !ok {
			r = platform.Row{Key: key}
		}
		out = append(out, r)
	}
	return out
}

// splitConflicting separates the operations of an uncommitted transaction into those
// whose conditions do not hold for the given rows and the rest. A single
// operation is always the conflicting one, so its rows are not needed.
func splitConflicting(ops []*operation, rows map[string]platform.Row) (conflicting, rest []*operation) {
	if len(ops) == 1 {
		return ops, nil
	}
	for _, o := range ops {
		if slices.ContainsFunc(o.txn.Conditions, func(c platform.Condition) bool {
			return rows[c.Key].Revision != c.Revision
		}) {
			conflicting = append(conflicting, o)
		} else {
			rest = append(rest, o)
		}
	}
	return conflicting, rest
}
