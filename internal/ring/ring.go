// Package ring provides a bounded first-in first-out queue for passing items between goroutines.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Push and TryPush if the ring is closed, and by Pop once a closed ring is empty.
var ErrClosed = errors.New("ring: closed")

// ErrFull is returned by TryPush when the ring is full.
var ErrFull = errors.New("ring: full")

// Ring is a bounded queue, safe for concurrent use by several producers and consumers.
type Ring[T any] struct {
	mu     sync.Mutex
	items  []T
	head   int
	count  int
	closed bool
	// changed is closed and replaced at each push, pop and close, which wakes waiting goroutines.
	changed chan struct{}
}

// New returns a ring for up to capacity items. It panics if capacity is not positive.
func New[T any](capacity int) *Ring[T] {
	if capacity <= 0 {
		panic("ring: capacity must be positive")
	}
	return &Ring[T]{items: make([]T, capacity), changed: make(chan struct{})}
}

// TryPush appends an item without waiting. It returns ErrFull if the ring is full, or ErrClosed.
func (r *Ring[T]) TryPush(item T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pushLocked(item)
}

// PushEvict appends an item and drops the oldest one if the ring is full. If the ring is closed, the
// new item is dropped instead. It reports whether an item was dropped.
func (r *Ring[T]) PushEvict(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return true
	}
	evicted := r.count == len(r.items)
	if evicted {
		r.popLocked()
	}
	_ = r.pushLocked(item)
	return evicted
}

// Push appends an item and waits while the ring is full. It returns ErrClosed or the context's error.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	for {
		r.mu.Lock()
		err := r.pushLocked(item)
		changed := r.changed
		r.mu.Unlock()
		if !errors.Is(err, ErrFull) {
			return err
		}
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}

// Pop removes and returns the oldest item and waits while the ring is empty. It returns ErrClosed if
// the ring is closed and empty, or the context's error.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		r.mu.Lock()
		if r.count > 0 {
			item := r.popLocked()
			r.mu.Unlock()
			return item, nil
		}
		closed, changed := r.closed, r.changed
		r.mu.Unlock()
		var zero T
		if closed {
			return zero, ErrClosed
		}
		if err := wait(ctx, changed); err != nil {
			return zero, err
		}
	}
}

// TryPop removes and returns the oldest item without waiting. It reports whether there was one.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	return r.popLocked(), true
}

// Snapshot returns a copy of the items, oldest first.
func (r *Ring[T]) Snapshot() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]T, 0, r.count)
	for i := range r.count {
		out = append(out, r.items[(r.head+i)%len(r.items)])
	}
	return out
}

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close makes later calls of Push and TryPush fail, and later calls of PushEvict drop their item. Items already in the ring can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	r.wakeLocked()
}

func (r *Ring[T]) pushLocked(item T) error {
	if r.closed {
		return ErrClosed
	}
	if r.count == len(r.items) {
		return ErrFull
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	r.wakeLocked()
	return nil
}

func (r *Ring[T]) popLocked() T {
	var zero T
	item := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	r.wakeLocked()
	return item
}

func (r *Ring[T]) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
