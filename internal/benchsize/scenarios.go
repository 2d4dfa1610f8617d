package benchsize

import (
	"context"
	"errors"
)

// Wide measures three full shards with three entries at rest.
func (b *Bench) Wide(ctx context.Context) error {
	s := Size{Entries: 3, Domains: 3, Workers: 32}
	list, err := b.Rest(ctx, s)
	if err == nil {
		Print(b.Out, s.String(), list)
	}
	return err
}

// Tasks placeholder.
func (b *Bench) Tasks(context.Context) error { return errors.ErrUnsupported }

// Entry placeholder.
func (b *Bench) Entry(context.Context) error { return errors.ErrUnsupported }

// Churn placeholder.
func (b *Bench) Churn(context.Context) error { return errors.ErrUnsupported }
