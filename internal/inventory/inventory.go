// Package inventory shares one copy of the platform's list of instances among the services
// of a process.
package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

const (
	// maxAge is how old a shared copy may be. With the poll of 500 ms by the gateway, a leaving
	// target is seen within a second of its entry in the list.
	maxAge = 400 * time.Millisecond
	// fetchTimeout bounds one request for the list.
	fetchTimeout = 2 * time.Second
)

// Cache is a platform.Instances that asks the platform at most once in maxAge. While the
// platform does not answer it returns the last known list, since the list lags anyway.
type Cache struct {
	source platform.Instances
	now    func() time.Time

	mu       sync.Mutex
	list     []platform.Instance
	fetched  time.Time
	fetching chan struct{}
	err      error
}

// New returns a cache in front of source.
func New(source platform.Instances, now func() time.Time) *Cache {
	return &Cache{source: source, now: now}
}

// List implements platform.Instances. The result is shared and must not be modified. It
// returns the platform's error only if there has never been a list.
func (c *Cache) List(ctx context.Context) ([]platform.Instance, error) {
	c.mu.Lock()
	if c.list != nil && c.now().Sub(c.fetched) < maxAge {
		defer c.mu.Unlock()
		return c.list, nil
	}
	fetching := c.fetching
	if fetching == nil {
		fetching = make(chan struct{})
		c.fetching = fetching
		go c.fetch(context.WithoutCancel(ctx), fetching)
	}
	c.mu.Unlock()
	select {
	case <-fetching:
	case <-ctx.Done():
	}
	return c.last(ctx)
}

func (c *Cache) last(ctx context.Context) ([]platform.Instance, error) {
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

// fetch asks the platform once and wakes all callers that wait for the answer.
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
	// A failure counts as fetched too, so that an outage does not cause a request for each call.
	c.fetched = c.now()
	c.fetching = nil
	close(done)
}
