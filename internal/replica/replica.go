// Package replica maintains the copy of the durable state in one process. It applies the records
// of the platform's log, appends records and waits for their verdicts, writes snapshots to the
// log, and recovers the state from a snapshot in the log or from a peer.
package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// Name is the name of the service in the kernel.
const Name = "replica"

// Errors of the replica. Err returns the first two, wrapped.
var (
	// ErrNewerVersion means that the log has a record of a newer version of the program.
	ErrNewerVersion = errors.New("replica: the log has a record of a newer version")
	// ErrHistoryLost means that records expired in the log before this instance applied them, and
	// that neither a snapshot in the log nor a peer has provided them.
	ErrHistoryLost = errors.New("replica: records expired before this instance applied them")
	// ErrGap means that the first entry to apply is not at the offset after the applied one.
	ErrGap = errors.New("replica: entries do not follow the applied offset")
)

// Dependencies are the services and settings of a replica. Log, Now and Logger are required.
type Dependencies struct {
	// ID is the id of this instance.
	ID  string
	Log platform.Log
	// Peers calls the other instances and Registrar accepts their calls; nil for a single instance.
	Peers     peer.Caller
	Registrar peer.Registrar
	// View is the list of instances and their status; nil for a single instance.
	View   membership.View
	Now    func() time.Time
	Logger *log.Logger
	Events *timeline.Recorder
	// Metrics is the set in which the metrics are registered; nil stands for a private set.
	Metrics *metrics.Set
	// Seed makes the jitter of backoffs and periods reproducible.
	Seed uint64
}

// Replica is the kernel service that maintains the state. It implements state.Reader,
// state.Writer and state.LogTail.
type Replica struct {
	deps    Dependencies
	metrics replicaMetrics
	kernel  *kernel.Kernel

	mu      sync.RWMutex
	state   *state.State
	changed chan struct{}
	// waiters has the writes that wait for a verdict, by record id.
	waiters map[string]*waiter
	// recent has the newest applied entries, for peers that are behind.
	recent recentEntries
	// recovered is true once state includes every record up to state.Applied.
	recovered bool
	// failure wraps ErrNewerVersion or ErrHistoryLost while one of them prevents the replica from
	// applying records, and is nil otherwise.
	failure error
	// policyWriter is the id of the instance that wrote the last policy change that was applied.
	policyWriter atomic.Pointer[string]
	// installCount is how often install has replaced the state.
	installCount int

	readyOnce sync.Once
	ready     chan struct{}

	logHealth logHealth
	snapshots snapshotTracker

	randMu sync.Mutex
	rand   *rand.Rand
}

var (
	_ kernel.Service = (*Replica)(nil)
	_ state.Reader   = (*Replica)(nil)
	_ state.Writer   = (*Replica)(nil)
	_ state.LogTail  = (*Replica)(nil)
)

// New returns a replica with an empty state that is not ready.
func New(deps Dependencies) *Replica {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewSet()
	}
	r := &Replica{
		deps:    deps,
		state:   state.New(),
		changed: make(chan struct{}),
		waiters: make(map[string]*waiter),
		ready:   make(chan struct{}),
		rand:    rand.New(rand.NewPCG(deps.Seed, uint64(len(deps.ID)))),
	}
	r.metrics = newMetrics(deps.Metrics, r)
	return r
}

// Provision implements kernel.Service. It registers the RPC methods that peers call.
func (r *Replica) Provision(k *kernel.Kernel) error {
	r.kernel = k
	if r.deps.Registrar == nil {
		return nil
	}
	return eris.Wrap(r.deps.Registrar.Register(receiverName, &Receiver{replica: r}), "register the RPC methods of the replica")
}

// Start implements kernel.Service. The state is recovered in the background; the channel of Ready
// is closed when it can be used.
func (r *Replica) Start(ctx context.Context) error {
	r.runInBackground(ctx, "follow", r.follow)
	r.runInBackground(ctx, "catch-up", r.catchUp)
	r.runInBackground(ctx, "snapshots", r.writeSnapshotsWhenDue)
	return nil
}

// runInBackground runs f in a goroutine. If there is a kernel, it supervises the goroutine under the
// name.
func (r *Replica) runInBackground(ctx context.Context, name string, f func(context.Context)) {
	if r.kernel == nil {
		go f(ctx)
		return
	}
	r.kernel.Go(Name, name, func(ctx context.Context) error {
		f(ctx)
		return nil
	})
}

// Stop implements kernel.Service. The goroutines end when their context is done: that of the kernel
// or, without a kernel, that of Start.
func (r *Replica) Stop(context.Context) error { return nil }

// Ready returns a channel that is closed when the state first reaches the end of the log or, while
// the log is unreachable, the highest offset that the peers report.
func (r *Replica) Ready() <-chan struct{} { return r.ready }

// Err returns the error that prevents the replica from applying records, or nil. An instance whose
// replica has an error must not report that it is ready.
func (r *Replica) Err() error {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.failure
}

// IsReady reports whether the instance may serve requests with this state.
func (r *Replica) IsReady() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.isReadyLocked()
}

func (r *Replica) isReadyLocked() bool {
	select {
	case <-r.ready:
		return r.failure == nil
	default:
		return false
	}
}

// Read implements state.Reader.
func (r *Replica) Read(f func(*state.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Changed implements state.Reader.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Applied returns the offset of the last record that the state includes.
func (r *Replica) Applied() platform.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Applied
}

func (r *Replica) markReady() {
	r.readyOnce.Do(func() {
		close(r.ready)
		r.deps.Logger.Info().Str("event", "replica-ready").Uint64("applied", uint64(r.Applied())).Msg("")
	})
}
