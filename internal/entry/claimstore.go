package entry

import (
	"context"
	"errors"

	"github.com/boragecrank/boragecrank/internal/platform"
)

// TableClaims implements Claims with rows in the table.
type TableClaims struct {
	Table platform.Table
}

// Get implements Claims.
func (c TableClaims) Get(ctx context.Context, key string) (platform.Row, error) {
	rows, err := c.Table.Get(ctx, key)
	if err != nil {
		return platform.Row{}, err
	}
	if len(rows) != 1 {
		return platform.Row{}, errors.New("table did not return exactly one row for one key")
	}
	return rows[0], nil
}

// Put implements Claims.
func (c TableClaims) Put(ctx context.Context, key string, revision uint64, value []byte) (uint64, bool, error) {
	result, err := c.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: revision}},
		Writes:     []platform.Write{{Key: key, Value: value}},
	})
	return result.Revision, result.Committed, err
}
