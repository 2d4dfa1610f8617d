package store

import (
	"context"
	"fmt"

	"github.com/boragecrank/boragecrank/internal/apperr"
	"github.com/boragecrank/boragecrank/internal/platform"
)

// View implements platform.Table on a store, with all calls in one class. Its
// errors wrap platform.ErrUncertain or platform.ErrUnavailable. Errors of calls
// that were refused or limited also wrap platform.ErrUnavailable.
type View struct {
	store *Store
	class Class
}

// View returns a platform.Table whose calls are of the given class.
func (s *Store) View(class Class) *View {
	return &View{store: s, class: class}
}

// Commit implements platform.Table.
func (v *View) Commit(ctx context.Context, txn platform.Txn) (platform.TxnResult, error) {
	result, err := v.store.Commit(ctx, v.class, txn)
	return result, platformError(err)
}

// Get implements platform.Table.
func (v *View) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	rows, err := v.store.Get(ctx, v.class, keys...)
	return rows, platformError(err)
}

// Scan implements platform.Table.
func (v *View) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, err := v.store.Scan(ctx, v.class, prefix, after, limit)
	return rows, platformError(err)
}

func platformError(err error) error {
	if err == nil {
		return nil
	}
	if apperr.KindOf(err) == apperr.KindUncertain {
		return fmt.Errorf("%w: %w", platform.ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
}
