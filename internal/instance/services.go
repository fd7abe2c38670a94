package instance

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// gatedService starts the service inner in the background once ready is closed. Thus callers are not
// served before the state is recovered, while the process already serves operators.
type gatedService struct {
	name  string
	inner kernel.Service
	ready <-chan struct{}
	// onReady is called after inner has started.
	onReady func()

	kernel *kernel.Kernel
	mu     sync.Mutex
	// started is set when inner has started. stopped is set by Stop and prevents a later start.
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

// drainService announces a graceful stop to the other instances. It is registered last, so that its
// Stop is called before that of any other service.
type drainService struct {
	members  *membership.Service
	recorder *timeline.Recorder
	logger   *log.Logger
}

// Provision implements kernel.Service.
func (*drainService) Provision(*kernel.Kernel) error { return nil }

// Start implements kernel.Service.
func (*drainService) Start(context.Context) error { return nil }

// Stop implements kernel.Service. It announces nothing if ctx is already done.
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
