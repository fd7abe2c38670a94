// Package replica keeps one process's copy of the durable state. It follows the platform's
// log, appends records and finds their verdicts, writes snapshots, and recovers from a
// snapshot in the log or from a peer.
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

// Errors of the replica.
var (
	// ErrNewerVersion means that the log has a record of a newer version of the program.
	ErrNewerVersion = errors.New("replica: the log has a record of a newer version")
	// ErrHistoryLost means that records expired before this instance applied them and that no
	// snapshot and no peer has them.
	ErrHistoryLost = errors.New("replica: records expired unseen")
	// ErrGap means that entries do not follow the applied offset.
	ErrGap = errors.New("replica: entries do not follow the applied offset")
)

// Dependencies are what a replica uses. Log, Now and Logger are required.
type Dependencies struct {
	// ID is the id of this instance.
	ID  string
	Log platform.Log
	// Peers calls the other instances and Registrar accepts their calls; nil for a single one.
	Peers     peer.Caller
	Registrar peer.Registrar
	// View is the membership; nil for a single instance.
	View   membership.View
	Now    func() time.Time
	Logger *log.Logger
	Events *timeline.Recorder
	// Metrics gets the counters of the replica; nil keeps them private.
	Metrics *metrics.Set
	// Seed makes the jitter of the back-off reproducible.
	Seed uint64
}

// Replica is the service. It implements state.Reader and state.Writer.
type Replica struct {
	deps    Dependencies
	metrics replicaMetrics
	kernel  *kernel.Kernel

	mu      sync.RWMutex
	state   *state.State
	changed chan struct{}
	// waiters has the writers that wait for a verdict, by record id.
	waiters map[string]*waiter
	// recent has the newest entries for peers.
	recent recentEntries
	// recovered is set when state holds everything up to state.Applied.
	recovered bool
	// failure is ErrNewerVersion or ErrHistoryLost while one of them stops the replica.
	failure error
	// policyWriter is the instance that wrote the policy in force.
	policyWriter atomic.Pointer[string]
	// installCount counts replacements of the state by a snapshot.
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

// Provision implements kernel.Service. It registers the calls that peers make.
func (r *Replica) Provision(k *kernel.Kernel) error {
	r.kernel = k
	if r.deps.Registrar == nil {
		return nil
	}
	return eris.Wrap(r.deps.Registrar.Register(rpcName, &Receiver{replica: r}), "register replica calls")
}

// Start implements kernel.Service. The state is recovered in the background; Ready tells when
// it may be used.
func (r *Replica) Start(ctx context.Context) error {
	r.runInBackground(ctx, "follow", r.follow)
	r.runInBackground(ctx, "catch-up", r.catchUp)
	r.runInBackground(ctx, "snapshots", r.writeSnapshotsWhenDue)
	return nil
}

// runInBackground starts one duty, under the kernel if there is one.
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

// Stop implements kernel.Service. The goroutines end with the context of Start.
func (r *Replica) Stop(context.Context) error { return nil }

// Ready returns a channel that is closed when the state has first reached the log's tail or,
// while the log is down, the highest offset that its peers report.
func (r *Replica) Ready() <-chan struct{} { return r.ready }

// Err returns what keeps the replica from applying records, or nil. An instance whose replica
// has an error must not report that it is ready.
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

// Applied returns the offset that the state has reached.
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
