package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/boragecrank/boragecrank/internal/platform"
)

// Objects is an in-memory platform.Objects.
type Objects struct {
	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{data: make(map[string][]byte)}
}

var _ platform.Objects = (*Objects)(nil)

// Put stores a copy of the data under the key and replaces an existing object.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.data[key] = slices.Clone(data)
	return nil
}

// Get returns a copy of the object or platform.ErrNotFound.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	if !ok {
		return nil, fmt.Errorf("object %q: %w", key, platform.ErrNotFound)
	}
	return slices.Clone(data), nil
}

// Delete removes the object. Deleting a missing object succeeds.
func (o *Objects) Delete(ctx context.Context, key string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.data, key)
	return nil
}
