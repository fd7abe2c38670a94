package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// callLog records the calls of the methods of fake services.
type callLog struct{ calls []string }

type fakeService struct {
	name     string
	log      *callLog
	startErr error
	kernel   *Kernel
	run      func(context.Context) error
}

func (f *fakeService) Provision(k *Kernel) error {
	f.kernel = k
	return nil
}

func (f *fakeService) Start(context.Context) error {
	f.log.calls = append(f.log.calls, "start "+f.name)
	if f.run != nil {
		f.kernel.Go(f.name, "run", f.run)
	}
	return f.startErr
}

func (f *fakeService) Stop(context.Context) error {
	f.log.calls = append(f.log.calls, "stop "+f.name)
	return nil
}

// unlimitedStop returns a context without a deadline for stopping.
func unlimitedStop() (context.Context, context.CancelFunc) {
	return context.WithCancel(context.Background())
}

func register(t *testing.T, k *Kernel, f *fakeService, action FailureAction, requires ...string) {
	t.Helper()
	require.NoError(t, k.Register(Registration{Name: f.name, Requires: requires, Service: f, OnFailure: action}))
}

// Guards against a service that is started before, or stopped after, a service that it requires.
func TestOrderFollowsDependencies(t *testing.T) {
	k, log := New(), &callLog{}
	register(t, k, &fakeService{name: "a", log: log}, ExitOnFailure, "b")
	register(t, k, &fakeService{name: "b", log: log}, ExitOnFailure)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, k.Run(ctx, unlimitedStop))
	require.Equal(t, []string{"start b", "start a", "stop a", "stop b"}, log.calls)
}

// Guards against services that keep running after the start of another one failed.
func TestFailedStartStopsStarted(t *testing.T) {
	k, log := New(), &callLog{}
	startErr := errors.New("broken")
	register(t, k, &fakeService{name: "a", log: log}, ExitOnFailure)
	register(t, k, &fakeService{name: "b", log: log, startErr: startErr}, ExitOnFailure, "a")
	require.ErrorIs(t, k.Run(context.Background(), unlimitedStop), startErr)
	require.Equal(t, []string{"start a", "start b", "stop a"}, log.calls)
}

// Guards against a process that keeps running after one of its services panicked.
func TestPanicEndsTheProcess(t *testing.T) {
	k := New()
	f := &fakeService{name: "a", log: &callLog{}, run: func(context.Context) error { panic("fault") }}
	register(t, k, f, ExitOnFailure)
	require.ErrorIs(t, k.Run(context.Background(), unlimitedStop), ErrServicePanic)
}

// Guards against a failed goroutine that is not restarted, or that is restarted without limit.
func TestRestartIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, runs := New(), 0
		failed := errors.New("failed")
		f := &fakeService{name: "a", log: &callLog{}, run: func(context.Context) error {
			runs++
			return failed
		}}
		register(t, k, f, RestartOnFailure)
		require.ErrorIs(t, k.Run(context.Background(), unlimitedStop), failed)
		require.Equal(t, maxRestarts+1, runs)
	})
}

// Guards against cancelling the context of goroutines before Stop has finished their work.
func TestStopPrecedesCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, log := New(), &callLog{}
		f := &fakeService{name: "a", log: log}
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
		require.NoError(t, k.Run(ctx, unlimitedStop))
		require.Equal(t, []string{"start a", "stop a", "cancelled"}, log.calls)
	})
}

// Guards against unreported errors in the registration and lookup of services.
func TestWiringErrors(t *testing.T) {
	k, log := New(), &callLog{}
	register(t, k, &fakeService{name: "a", log: log}, ExitOnFailure, "b")
	require.ErrorIs(t, k.Register(Registration{Name: "a"}), ErrDuplicateService)
	require.ErrorIs(t, k.Run(context.Background(), unlimitedStop), ErrUnknownService)
	register(t, k, &fakeService{name: "b", log: log}, ExitOnFailure, "a")
	require.ErrorIs(t, k.Run(context.Background(), unlimitedStop), ErrDependencyCycle)
	_, err := Lookup[*callLog](k, "a")
	require.ErrorIs(t, err, ErrServiceType)
	found, err := Lookup[*fakeService](k, "a")
	require.NoError(t, err)
	require.Equal(t, "a", found.name)
}
