// Package kernel runs the services of one process. Services register by name, find each
// other by name, and are started and stopped in the order of their dependencies.
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
	ErrServiceType      = errors.New("kernel: service has another type")
	ErrServicePanic     = errors.New("kernel: service panicked")
)

// Service is one part of a process. Methods are called once per run, in this order.
type Service interface {
	// Provision finds the services that this one uses and checks its settings.
	Provision(k *Kernel) error
	// Start begins the work and returns when the service can be used. Its goroutines are
	// started with Kernel.Go and end when ctx is done.
	Start(ctx context.Context) error
	// Stop finishes work in progress until ctx is done. Services that depend on this one
	// have already stopped.
	Stop(ctx context.Context) error
}

// FailureAction says what happens when a service's goroutine fails.
type FailureAction int

// Failure actions.
const (
	// ExitOnFailure ends the process.
	ExitOnFailure FailureAction = iota
	// RestartOnFailure runs the failed goroutine again, at most maxRestarts times.
	RestartOnFailure
)

// maxRestarts bounds the restarts of one goroutine, so that a permanent fault ends the process.
const maxRestarts = 5

// Registration adds a service to a kernel.
type Registration struct {
	Name      string
	Requires  []string
	Service   Service
	OnFailure FailureAction
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services map[string]Registration
	order    []string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	tasks    sync.WaitGroup
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]Registration)}
}

// Register adds a service. It returns ErrDuplicateService if the name is taken.
func (k *Kernel) Register(r Registration) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, taken := k.services[r.Name]; taken {
		return eris.Wrap(ErrDuplicateService, r.Name)
	}
	k.services[r.Name] = r
	k.order = append(k.order, r.Name)
	return nil
}

// Lookup finds a service by name and type. It returns ErrUnknownService or ErrServiceType.
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

// Run provisions and starts all services, waits until ctx is done or a service fails, and
// stops them in reverse order. stopContext makes the context that bounds the stop.
// It returns nil after a requested stop.
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
	// The services outlive ctx while they stop, so that a graceful stop can finish their work.
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
	k.tasks.Wait()
	return errors.Join(err, stopErr)
}

// Go runs a goroutine of the named service until it returns. An error or a panic is handled
// as the service's FailureAction says, unless the kernel is stopping.
func (k *Kernel) Go(service, duty string, run func(ctx context.Context) error) {
	k.mu.Lock()
	action := k.services[service].OnFailure
	k.mu.Unlock()
	k.tasks.Go(func() {
		for attempt := 0; ; attempt++ {
			err := runRecovered(k.ctx, run)
			if err == nil || k.ctx.Err() != nil {
				return
			}
			if action == ExitOnFailure || attempt == maxRestarts {
				k.cancel(eris.Wrapf(err, "%s/%s", service, duty))
				return
			}
		}
	})
}

func runRecovered(ctx context.Context, run func(context.Context) error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Wrap(ErrServicePanic, fmt.Sprintf("%v\n%s", cause, debug.Stack()))
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

// startOrder sorts the services so that each comes after those that it requires.
func (k *Kernel) startOrder() ([]string, error) {
	const (
		visiting = 1
		done     = 2
	)
	marks := make(map[string]int)
	var order []string
	var visit func(name string) error
	visit = func(name string) error {
		switch marks[name] {
		case done:
			return nil
		case visiting:
			return eris.Wrap(ErrDependencyCycle, name)
		}
		r, found := k.services[name]
		if !found {
			return eris.Wrap(ErrUnknownService, name)
		}
		marks[name] = visiting
		for _, required := range r.Requires {
			if err := visit(required); err != nil {
				return err
			}
		}
		marks[name] = done
		order = append(order, name)
		return nil
	}
	for _, name := range k.order {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
