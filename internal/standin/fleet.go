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
	// Workers are the rows of the workers; the zero capacity of a row means no accelerators.
	Workers []platform.Instance
	// UsageLag is how old usage reports are.
	UsageLag time.Duration
}

// Fleet simulates many workers in process. It implements platform.Workers and is safe for
// concurrent use. Tasks run in simulated time as their payload says.
type Fleet struct {
	clock    Clock
	usageLag time.Duration
	ids      []string

	mu      sync.Mutex
	workers map[string]*worker
}

// NewFleet returns a fleet of idle workers.
func NewFleet(config FleetConfig) *Fleet {
	f := &Fleet{clock: orSystem(config.Clock), usageLag: config.UsageLag, workers: make(map[string]*worker)}
	store := &checkpointStore{work: make(map[checkpointKey]time.Duration)}
	for _, row := range config.Workers {
		f.ids = append(f.ids, row.ID)
		f.workers[row.ID] = &worker{
			row:   row,
			gate:  gate{clock: f.clock},
			store: store,
			tasks: make(map[platform.LeaseID]*task),
			last:  f.clock.Now(),
		}
	}
	return f
}

// Len returns the number of workers.
func (f *Fleet) Len() int { return len(f.ids) }

// SetFaults replaces the faults of one worker. It returns ErrNotFound for an unknown id and
// ErrFaults for values out of bounds.
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

// Runs returns the record of what ran where, by worker and start.
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

// LongestPartialTimes applies LongestPartialTimes to the fleet's record.
func (f *Fleet) LongestPartialTimes() map[AttemptID]time.Duration {
	return LongestPartialTimes(f.Runs(), f.clock.Now())
}

// Snapshot returns the leases of one worker as they are, without any fault or fencing.
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

// call carries out apply at a worker through its faults. Results that apply sets must be
// used only if the error is nil, because a delayed call may still be running otherwise.
func (f *Fleet) call(ctx context.Context, row platform.Instance, apply func(*worker)) error {
	return f.callThrough(ctx, (*gate).do, row, apply)
}

func (f *Fleet) callThrough(ctx context.Context, pass func(*gate, context.Context, func()) error, row platform.Instance, apply func(*worker)) error {
	w, found := f.workers[row.ID]
	if !found {
		return unavailable(fmt.Errorf("%w: %q", errNoWorker, row.ID))
	}
	var frozenDone chan struct{}
	err := pass(&w.gate, ctx, func() { frozenDone = f.applyOrWait(w, apply) })
	if err != nil || frozenDone == nil {
		return err
	}
	select {
	case <-frozenDone:
		return nil
	case <-ctx.Done():
		return unknownOutcome(ctx.Err())
	}
}

// applyOrWait carries out apply, or keeps it until a frozen worker continues and returns a
// channel that is closed then.
func (f *Fleet) applyOrWait(w *worker, apply func(*worker)) chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.advance(f.clock.Now())
	if !w.faults.Frozen {
		apply(w)
		return nil
	}
	done := make(chan struct{})
	w.pending = append(w.pending, func() {
		apply(w)
		close(done)
	})
	return done
}

// Leases implements platform.Workers.
func (f *Fleet) Leases(ctx context.Context, row platform.Instance, epoch platform.Epoch) ([]platform.Lease, error) {
	var (
		leases  []platform.Lease
		refused error
	)
	err := f.call(ctx, row, func(w *worker) {
		if refused = w.fence(epoch); refused == nil {
			leases = w.leases()
		}
	})
	if err != nil {
		return nil, err
	}
	return leases, refused
}

// Reserve implements platform.Workers.
func (f *Fleet) Reserve(ctx context.Context, row platform.Instance, req platform.ReserveRequest) error {
	req.Leases = slices.Clone(req.Leases)
	var refused error
	if err := f.call(ctx, row, func(w *worker) { refused = w.reserve(req) }); err != nil {
		return err
	}
	return refused
}

func (f *Fleet) change(ctx context.Context, row platform.Instance, req platform.LeaseRequest, change func(*worker, *task)) ([]platform.LeaseResult, error) {
	req.Leases = slices.Clone(req.Leases)
	var (
		results []platform.LeaseResult
		refused error
	)
	err := f.call(ctx, row, func(w *worker) {
		results, refused = w.each(req, func(t *task) { change(w, t) })
	})
	if err != nil {
		return nil, err
	}
	return results, refused
}

// Start implements platform.Workers.
func (f *Fleet) Start(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.change(ctx, row, req, func(w *worker, t *task) { w.start(t, seconds(req.TTLSeconds)) })
}

// Renew implements platform.Workers.
func (f *Fleet) Renew(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.change(ctx, row, req, func(w *worker, t *task) { w.renew(t, seconds(req.TTLSeconds)) })
}

// Checkpoint implements platform.Workers.
func (f *Fleet) Checkpoint(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.change(ctx, row, req, func(w *worker, t *task) { w.beginCheckpoint(t) })
}

// Throttle implements platform.Workers.
func (f *Fleet) Throttle(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.change(ctx, row, req, func(w *worker, t *task) { w.throttle(t, req.Throttle) })
}

// Stop implements platform.Workers.
func (f *Fleet) Stop(ctx context.Context, row platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	return f.change(ctx, row, req, func(w *worker, t *task) { w.stop(t, req.Reason) })
}

// Release implements platform.Workers.
func (f *Fleet) Release(ctx context.Context, row platform.Instance, req platform.LeaseRequest) error {
	ids := slices.Clone(req.Leases)
	var refused error
	err := f.call(ctx, row, func(w *worker) {
		if refused = w.fence(req.Epoch); refused == nil {
			w.release(ids)
		}
	})
	if err != nil {
		return err
	}
	return refused
}

// Usage implements platform.Workers.
func (f *Fleet) Usage(ctx context.Context, row platform.Instance) ([]platform.Usage, error) {
	var reports []platform.Usage
	if err := f.callThrough(ctx, (*gate).read, row, func(w *worker) { reports = w.usage(f.usageLag) }); err != nil {
		return nil, readError(err)
	}
	return reports, nil
}

var (
	_ platform.Workers   = (*Fleet)(nil)
	_ platform.Log       = (*Log)(nil)
	_ platform.Instances = (*Instances)(nil)
)
