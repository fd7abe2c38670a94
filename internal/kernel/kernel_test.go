package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// recorder appends the calls that its services get.
type recorder struct{ calls []string }

type fake struct {
	name     string
	log      *recorder
	startErr error
	kernel   *Kernel
	run      func(context.Context) error
}

func (f *fake) Provision(k *Kernel) error {
	f.kernel = k
	return nil
}

func (f *fake) Start(context.Context) error {
	f.log.calls = append(f.log.calls, "start "+f.name)
	if f.run != nil {
		f.kernel.Go(f.name, "run", f.run)
	}
	return f.startErr
}

func (f *fake) Stop(context.Context) error {
	f.log.calls = append(f.log.calls, "stop "+f.name)
	return nil
}

func background() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

func register(t *testing.T, k *Kernel, f *fake, action FailureAction, requires ...string) {
	t.Helper()
	require.NoError(t, k.Register(Registration{Name: f.name, Requires: requires, Service: f, OnFailure: action}))
}

// Guards against a service that starts before, or stops after, one that it needs.
func TestOrderFollowsDependencies(t *testing.T) {
	k, log := New(), &recorder{}
	register(t, k, &fake{name: "a", log: log}, ExitOnFailure, "b")
	register(t, k, &fake{name: "b", log: log}, ExitOnFailure)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, k.Run(ctx, background))
	require.Equal(t, []string{"start b", "start a", "stop a", "stop b"}, log.calls)
}

// Guards against a failed start that leaves started services running.
func TestFailedStartStopsStarted(t *testing.T) {
	k, log := New(), &recorder{}
	broken := errors.New("broken")
	register(t, k, &fake{name: "a", log: log}, ExitOnFailure)
	register(t, k, &fake{name: "b", log: log, startErr: broken}, ExitOnFailure, "a")
	require.ErrorIs(t, k.Run(context.Background(), background), broken)
	require.Equal(t, []string{"start a", "start b", "stop a"}, log.calls)
}

// Guards against a process that lives on without one of its services.
func TestPanicEndsTheProcess(t *testing.T) {
	k := New()
	f := &fake{name: "a", log: &recorder{}, run: func(context.Context) error { panic("fault") }}
	register(t, k, f, ExitOnFailure)
	require.ErrorIs(t, k.Run(context.Background(), background), ErrServicePanic)
}

// Guards against a goroutine that is not restarted, and against endless restarts.
func TestRestartIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, runs := New(), 0
		failed := errors.New("failed")
		f := &fake{name: "a", log: &recorder{}, run: func(context.Context) error {
			runs++
			return failed
		}}
		register(t, k, f, RestartOnFailure)
		require.ErrorIs(t, k.Run(context.Background(), background), failed)
		require.Equal(t, maxRestarts+1, runs)
	})
}

// Guards against a stop that cuts the work of goroutines before Stop has finished it.
func TestStopPrecedesCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, log := New(), &recorder{}
		f := &fake{name: "a", log: log}
		f.run = func(ctx context.Context) error {
			<-ctx.Done()
			log.calls = append(log.calls, "cancelled")
			return nil
		}
		register(t, k, f, ExitOnFailure)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		require.NoError(t, k.Run(ctx, background))
		require.Equal(t, []string{"start a", "stop a", "cancelled"}, log.calls)
	})
}

// Guards against unnoticed mistakes in the wiring of services.
func TestWiringErrors(t *testing.T) {
	k, log := New(), &recorder{}
	register(t, k, &fake{name: "a", log: log}, ExitOnFailure, "b")
	require.ErrorIs(t, k.Register(Registration{Name: "a"}), ErrDuplicateService)
	require.ErrorIs(t, k.Run(context.Background(), background), ErrUnknownService)
	register(t, k, &fake{name: "b", log: log}, ExitOnFailure, "a")
	require.ErrorIs(t, k.Run(context.Background(), background), ErrDependencyCycle)
	_, err := Lookup[*recorder](k, "a")
	require.ErrorIs(t, err, ErrServiceType)
	found, err := Lookup[*fake](k, "a")
	require.NoError(t, err)
	require.Equal(t, "a", found.name)
}
