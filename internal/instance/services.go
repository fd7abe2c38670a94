package instance

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// gatedService starts a service in the background once ready is closed, so that callers are
// not served from a state that is not recovered, and the process still answers operators.
type gatedService struct {
	name  string
	inner kernel.Service
	ready <-chan struct{}
	// onReady is called once ready is closed, unless the service has stopped before.
	onReady func()

	kernel *kernel.Kernel
	mu     sync.Mutex
	// started and stopped keep a stop from racing with a late start.
	started bool
	stopped bool
}

// Provision implements kernel.Service.
func (g *gatedService) Provision(k *kernel.Kernel) error {
	g.kernel = k
	return g.inner.Provision(k)
}

// Start implements kernel.Service.
func (g *gatedService) Start(ctx context.Context) error {
	g.kernel.Go(g.name, "wait-ready", func(waitCtx context.Context) error {
		select {
		case <-g.ready:
			return g.startInner(ctx)
		case <-waitCtx.Done():
			return nil
		}
	})
	return nil
}

func (g *gatedService) startInner(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return nil
	}
	if err := g.inner.Start(ctx); err != nil {
		return err
	}
	g.started = true
	g.onReady()
	return nil
}

// Stop implements kernel.Service.
func (g *gatedService) Stop(ctx context.Context) error {
	g.mu.Lock()
	g.stopped = true
	started := g.started
	g.mu.Unlock()
	if !started {
		return nil
	}
	return g.inner.Stop(ctx)
}

// drainService announces a graceful stop before any other service stops.
type drainService struct {
	members  *membership.Service
	recorder *timeline.Recorder
	logger   *log.Logger
}

// Provision implements kernel.Service.
func (*drainService) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (*drainService) Start(context.Context) error { return nil }

// Stop implements kernel.Service.
func (d *drainService) Stop(ctx context.Context) error {
	if ctx.Err() != nil {
		return nil
	}
	d.members.Publish(func(info *membership.Info) {
		info.Draining = true
		info.Ready = false
	})
	d.recorder.Record(timeline.Event{Type: timeline.TypeShutdown, Name: "draining"})
	d.logger.Info().Msg("draining")
	return nil
}
