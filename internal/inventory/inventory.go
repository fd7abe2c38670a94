// Package inventory caches the platform's list of instances for all services of a process.
package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

const (
	// maxAge is the maximum age of the cached list. As the gateway polls the cache every 500 ms, it
	// learns that a target is leaving within a second of the change in the list.
	maxAge = 400 * time.Millisecond
	// fetchTimeout is the timeout of one request for the list.
	fetchTimeout = 2 * time.Second
)

// Cache is a platform.Instances that requests the list from the platform at most once per maxAge.
// While the platform is unreachable it returns the last known list, because changes appear in the list
// with a delay anyway. It is safe for concurrent use.
type Cache struct {
	source platform.Instances
	now    func() time.Time

	mu   sync.Mutex
	list []platform.Instance
	// fetchedAt is when the last request ended, also if it failed.
	fetchedAt time.Time
	// inFlight is closed when the request in flight ends; nil if there is none.
	inFlight chan struct{}
	// err is the error of the last request.
	err error
}

// New returns a cache of the list of source.
func New(source platform.Instances, now func() time.Time) *Cache {
	return &Cache{source: source, now: now}
}

// List implements platform.Instances. The result is shared by all callers and must not be modified.
// It returns an error only if no request for the list has succeeded yet: the error of the last
// request, or that of ctx.
func (c *Cache) List(ctx context.Context) ([]platform.Instance, error) {
	c.mu.Lock()
	if c.list != nil && c.now().Sub(c.fetchedAt) < maxAge {
		defer c.mu.Unlock()
		return c.list, nil
	}
	inFlight := c.inFlight
	if inFlight == nil {
		inFlight = make(chan struct{})
		c.inFlight = inFlight
		go c.fetch(context.WithoutCancel(ctx), inFlight)
	}
	c.mu.Unlock()
	select {
	case <-inFlight:
	case <-ctx.Done():
	}
	return c.lastResult(ctx)
}

// lastResult returns the cached list, or else the error of the last request or of ctx.
func (c *Cache) lastResult(ctx context.Context) ([]platform.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.list != nil {
		return c.list, nil
	}
	if c.err != nil {
		return nil, c.err
	}
	return nil, ctx.Err()
}

// fetch requests the list once and closes done, for which callers of List wait.
func (c *Cache) fetch(ctx context.Context, done chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	list, err := c.source.List(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.list = list
	}
	c.err = err
	// fetchedAt is also set after a failure, so that not every call during an outage causes a
	// request.
	c.fetchedAt = c.now()
	c.inFlight = nil
	close(done)
}
