package standin

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	// Clock is the system clock if nil.
	Clock Clock
	// Workers are the rows of the workers in the instance list. If Accelerators of a row is 0, the
	// worker has no accelerators.
	Workers []platform.Instance
	// UsageLag is how long after its start a task is missing from usage reports, and the age that
	// the reports state. The usage itself is current.
	UsageLag time.Duration
}

// Fleet simulates many workers within the process. It implements platform.Workers and is safe for
// concurrent use. Tasks are only simulated: how long they run and how they end follows from their
// payload, the clock and the faults. Reserve checks the free accelerators, but not cores or memory.
type Fleet struct {
	clock    Clock
	usageLag time.Duration
	ids      []string

	mu      sync.Mutex
	workers map[string]*worker
}

// NewFleet returns a fleet of idle workers.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{clock: clockOrSystem(config.Clock), usageLag: config.UsageLag, workers: make(map[string]*worker)}
	store := &checkpointStore{work: make(map[checkpointKey]time.Duration)}
	for _, row := range config.Workers {
		f.ids = append(f.ids, row.ID)
		f.workers[row.ID] = &worker{
			row:         row,
			injector:    faultInjector{clock: f.clock},
			checkpoints: store,
			leasedTasks: make(map[platform.LeaseID]*leasedTask),
			computedAt:  f.clock.Now(),
		}
	}
	return f
}

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.ids) }

// SetFaults replaces the faults of one worker. It returns ErrNotFound for an unknown id and
// ErrInvalidFaults for values out of bounds.
func (f *Fleet) SetFaults(id string, faults WorkerFaults) error {
	if err := faults.Validate(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w, found := f.workers[id]
	if !found {
		return fmt.Errorf("%w: worker %q", ErrNotFound, id)
	}
	w.advance(f.clock.Now())
	w.setFaults(faults)
	return nil
}

// Runs returns the recorded runs, ordered by worker and start.
func (f *Fleet) Runs() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runs []Run
	for _, id := range f.ids {
		w := f.workers[id]
		w.advance(f.clock.Now())
		runs = append(runs, w.runs...)
	}
	return runs
}

// LongestPartialTimes returns the result of the function LongestPartialTimes for the recorded runs.
func (f *Fleet) LongestPartialTimes() map[AttemptID]time.Duration {
	return LongestPartialTimes(f.Runs(), f.clock.Now())
}

// Snapshot returns the current leases of one worker. Faults don't affect it and it checks no epoch.
// It returns nil if the id is unknown.
func (f *Fleet) Snapshot(id string) []platform.Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, found := f.workers[id]
	if !found {
		return nil
	}
	w.advance(f.clock.Now())
	return w.leases()
}

// call runs apply on a worker, subject to the worker's faults. Results that apply sets can be used
// only if the error is nil; otherwise a delayed call may still be running.
func (f *Fleet) call(ctx context.Context, row platform.Instance, apply func(*worker)) error {
	return f.callUsing(ctx, (*faultInjector).call, row, apply)
}

// callUsing is like call, with a method of faultInjector that applies the faults.
func (f *Fleet) callUsing(ctx context.Context, inject func(*faultInjector, context.Context, func()) error, row platform.Instance, apply func(*worker)) error {
	w, found := f.workers[row.ID]
	if !found {
		return unavailable(fmt.Errorf("%w: %q", errUnknownWorker, row.ID))
	}
	var applied chan struct{}
	err := inject(&w.injector, ctx, func() { applied = f.applyOrQueue(w, apply) })
	if err != nil || applied == nil {
		return err
	}
	select {
	case <-applied:
		return nil
	case <-ctx.Done():
		return unknownOutcome(ctx.Err())
	}
}

// applyOrQueue runs apply and returns nil. If the worker is frozen, it queues apply until the
// worker continues, and returns a channel that is closed when apply has run.
func (f *Fleet) applyOrQueue(w *worker, apply func(*worker)) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.advance(f.clock.Now())
	if !w.faults.Frozen {
		apply(w)
		return nil
	}
	done := make(chan struct{})
	w.queuedCalls = append(w.queuedCalls, func() {
		apply(w)
		close(done)
	})
	return done
}

// Leases implements platform.Workers.
func (f *Fleet) Leases(ctx context.Context, row platform.Instance, epoch platform.Epoch) ([]platform.Lease, error) {
	var (
		leases   []platform.Lease
		rejected error
	)
	err := f.call(ctx, row, func(w *worker) {
		if rejected = w.acceptEpoch(epoch); rejected == nil {
			leases = w.leases()
		}
	})
	if err != nil {
		return nil, err
	}
	return leases, rejected
}

// Reserve implements platform.Workers.
func (f *Fleet) Reserve(ctx context.Context, row platform.Instance, req platform.ReserveRequest) error {
	req.Leases = slices.Clone(req.Leases)
	var rejected error
	if err := f.call(ctx, row, func(w *worker) { rejected = w.reserve(req) }); err != nil {
		return err
	}
	return rejected
}

// changeLeases applies change to each lease of the request that the worker has.
func (f *Fleet) changeLeases(ctx context.Context, row platform.Instance, req platform.LeaseRequest, change func(*worker, *leasedTask)) ([]platform.LeaseResult, error) {
	req.Leases = slices.Clone(req.Leases)
	var (
		results  []platform.LeaseResult
		rejected error
	)
	err := f.call(ctx, row, func(w *worker) {
		results, rejected = w.changeLeases(req, func(t *leasedTask) { change(w, t) })
	})
	if err != nil {
		return nil, err
	}
	return results, rejected
}

// Start implements platform.Workers.
func (f *Fleet) Start(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.changeLeases(ctx, row, req, func(w *worker, t *leasedTask) { w.start(t, ttlDuration(req.TTLSeconds)) })
}

// Renew implements platform.Workers.
func (f *Fleet) Renew(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.changeLeases(ctx, row, req, func(w *worker, t *leasedTask) { w.renew(t, ttlDuration(req.TTLSeconds)) })
}

// Checkpoint implements platform.Workers.
func (f *Fleet) Checkpoint(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.changeLeases(ctx, row, req, func(w *worker, t *leasedTask) { w.beginCheckpoint(t) })
}

// Throttle implements platform.Workers.
func (f *Fleet) Throttle(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.changeLeases(ctx, row, req, func(w *worker, t *leasedTask) { w.throttle(t, req.Throttle) })
}

// Stop implements platform.Workers.
func (f *Fleet) Stop(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.changeLeases(ctx, row, req, func(w *worker, t *leasedTask) { w.stop(t, req.Reason) })
}

// Release implements platform.Workers.
func (f *Fleet) Release(ctx context.Context, row platform.Instance, req platform.LeaseRequest) error {
	ids := slices.Clone(req.Leases)
	var rejected error
	err := f.call(ctx, row, func(w *worker) {
		if rejected = w.acceptEpoch(req.Epoch); rejected == nil {
			w.release(ids)
		}
	})
	if err != nil {
		return err
	}
	return rejected
}

// Usage implements platform.Workers.
func (f *Fleet) Usage(ctx context.Context, row platform.Instance) ([]platform.Usage, error) {
	var reports []platform.Usage
	if err := f.callUsing(ctx, (*faultInjector).read, row, func(w *worker) { reports = w.usage(f.usageLag) }); err != nil {
		return nil, readError(err)
	}
	return reports, nil
}

var (
	_ platform.Workers   = (*Fleet)(nil)
	_ platform.Log       = (*Log)(nil)
	_ platform.Instances = (*Instances)(nil)
)
