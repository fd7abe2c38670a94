// Package kernel runs the services of one process. Services are registered and looked up by name,
// started in the order of their dependencies, and stopped in the reverse order.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"

	"github.com/rotisserie/eris"
)

// Errors of the kernel.
var (
	ErrDuplicateService = errors.New("kernel: service registered twice")
	ErrUnknownService   = errors.New("kernel: unknown service")
	ErrDependencyCycle  = errors.New("kernel: dependency cycle")
	ErrServiceType      = errors.New("kernel: unexpected service type")
	ErrServicePanic     = errors.New("kernel: service panicked")
)

// Service is one component of a process. Each method is called at most once per run, in the order listed
// here. Stop is called only if Start has succeeded.
type Service interface {
	// Provision looks up the services that this one uses and validates its settings.
	Provision(k *Kernel) error
	// Start starts the service and returns when it is ready for use. Goroutines must be started
	// with Kernel.Go and must return when ctx is done.
	Start(ctx context.Context) error
	// Stop finishes the work in progress, or abandons it when ctx is done. Services that depend
	// on this one have already been stopped.
	Stop(ctx context.Context) error
}

// FailureAction is the reaction to a goroutine of a service that returns an error or panics.
type FailureAction int

// Failure actions.
const (
	// ExitOnFailure stops all services and makes Run return the error. If Run is already stopping the
	// services, the error is lost.
	ExitOnFailure FailureAction = iota
	// RestartOnFailure runs the failed goroutine again at once, without backoff, at most maxRestarts times
	// over the whole run. The next failure is handled as in ExitOnFailure.
	RestartOnFailure
)

// maxRestarts limits the restarts of one goroutine, so that a permanent fault ends the process.
const maxRestarts = 5

// Registration describes a service to Kernel.Register. Requires lists the names of the services that
// must be started before this one.
type Registration struct {
	Name      string
	Requires  []string
	Service   Service
	OnFailure FailureAction
}

// Kernel registers and runs the services of one process.
type Kernel struct {
	mu         sync.Mutex
	services   map[string]Registration
	registered []string // names in the order of registration
	ctx        context.Context
	cancel     context.CancelCauseFunc
	goroutines sync.WaitGroup
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: make(map[string]Registration)}
}

// Register adds a service. It returns ErrDuplicateService if the name is taken.
func (k *Kernel) Register(r Registration) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, exists := k.services[r.Name]; exists {
		return eris.Wrap(ErrDuplicateService, r.Name)
	}
	k.services[r.Name] = r
	k.registered = append(k.registered, r.Name)
	return nil
}

// Lookup returns the service with the given name as type T. It returns ErrUnknownService if there is
// none, or ErrServiceType if it has another type.
func Lookup[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	r, found := k.services[name]
	if !found {
		return zero, eris.Wrap(ErrUnknownService, name)
	}
	service, ok := r.Service.(T)
	if !ok {
		return zero, eris.Wrapf(ErrServiceType, "%s is %T, want %T", name, r.Service, zero)
	}
	return service, nil
}

// Run provisions and starts all services, waits until ctx is done or a service fails, and then
// stops them in reverse order. stopContext returns the context that limits the time for stopping.
// Run returns nil if ctx was done and all services stopped without an error.
func (k *Kernel) Run(ctx context.Context, stopContext func() (context.Context, context.CancelFunc)) error {
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	for _, name := range order {
		if err := k.services[name].Service.Provision(k); err != nil {
			return eris.Wrapf(err, "provision %s", name)
		}
	}
	// The context of the services is not cancelled with ctx, so that they can finish their work
	// during a graceful stop.
	k.ctx, k.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	started, err := k.startAll(order)
	if err == nil {
		select {
		case <-ctx.Done():
		case <-k.ctx.Done():
			err = context.Cause(k.ctx)
		}
	}
	stopCtx, cancelStop := stopContext()
	defer cancelStop()
	stopErr := k.stopAll(stopCtx, started)
	k.cancel(nil)
	k.goroutines.Wait()
	return errors.Join(err, stopErr)
}

// Go runs a function in a goroutine of the given service; name identifies the goroutine in errors. An
// error or a panic is handled according to the service's FailureAction, unless the services' context
// has been cancelled.
func (k *Kernel) Go(service, name string, run func(ctx context.Context) error) {
	k.mu.Lock()
	action := k.services[service].OnFailure
	k.mu.Unlock()
	k.goroutines.Go(func() {
		for restarts := 0; ; restarts++ {
			err := runRecovered(k.ctx, run)
			if err == nil || k.ctx.Err() != nil {
				return
			}
			if action == ExitOnFailure || restarts == maxRestarts {
				k.cancel(eris.Wrapf(err, "%s/%s", service, name))
				return
			}
		}
	})
}

// runRecovered calls run and converts a panic into ErrServicePanic with the stack.
func runRecovered(ctx context.Context, run func(context.Context) error) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			err = eris.Wrap(ErrServicePanic, fmt.Sprintf("%v\n%s", panicValue, debug.Stack()))
		}
	}()
	return run(ctx)
}

func (k *Kernel) startAll(order []string) (started []string, err error) {
	for _, name := range order {
		if err := k.services[name].Service.Start(k.ctx); err != nil {
			return started, eris.Wrapf(err, "start %s", name)
		}
		started = append(started, name)
	}
	return started, nil
}

func (k *Kernel) stopAll(ctx context.Context, started []string) error {
	var errs []error
	for i := len(started) - 1; i >= 0; i-- {
		if err := k.services[started[i]].Service.Stop(ctx); err != nil {
			errs = append(errs, eris.Wrapf(err, "stop %s", started[i]))
		}
	}
	return errors.Join(errs...)
}

// startOrder returns the names of the services in an order in which each comes after those that it
// requires. It returns ErrDependencyCycle or ErrUnknownService if there is no such order.
func (k *Kernel) startOrder() ([]string, error) {
	const (
		visiting = 1
		done     = 2
	)
	progress := make(map[string]int)
	var order []string
	var visit func(name string) error
	visit = func(name string) error {
		switch progress[name] {
		case done:
			return nil
		case visiting:
			return eris.Wrap(ErrDependencyCycle, name)
		}
		r, found := k.services[name]
		if !found {
			return eris.Wrap(ErrUnknownService, name)
		}
		progress[name] = visiting
		for _, required := range r.Requires {
			if err := visit(required); err != nil {
				return err
			}
		}
		progress[name] = done
		order = append(order, name)
		return nil
	}
	for _, name := range k.registered {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
