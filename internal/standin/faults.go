package standin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// CallFaults are the faults that the log, the instance list and the workers have in common.
type CallFaults struct {
	// Outage rejects every call at once, without effect.
	Outage bool `json:"outage,omitempty"`
	// Silent neither carries out any call nor responds to it.
	Silent bool `json:"silent,omitempty"`
	// Delay is the time until a call takes effect. It takes effect even if the caller gives up
	// before that.
	Delay settings.Duration `json:"delay,omitzero"`
	// LoseResponses is the number of following calls that take effect but whose response is lost;
	// negative for all calls. Log.Read, Instances.List and Fleet.Usage do not lose their responses
	// and are not counted, so that polls do not use up the fault. Fleet.Leases is counted, because
	// it records the caller's epoch.
	LoseResponses int `json:"loseAnswers,omitempty"`
}

// LogFaults are the faults of the log.
type LogFaults struct {
	CallFaults
	// LateAppends is the number of following appends whose response is lost and that take effect
	// LateBy after the call; negative for all appends. It has no effect if LateBy is 0.
	LateAppends int               `json:"lateAppends,omitempty"`
	LateBy      settings.Duration `json:"lateBy,omitzero"`
}

// WorkerFaults are the faults of one worker.
type WorkerFaults struct {
	CallFaults
	// FailAll fails every task that is running or starts.
	FailAll bool `json:"failAll,omitempty"`
	// Frozen pauses the tasks and the responses to calls, but not the lease clock. Calls that
	// arrive while the worker is frozen take effect when it continues, even if their callers gave up.
	Frozen bool `json:"frozen,omitempty"`
	// Crashed ends all tasks and removes all leases. Calls are rejected until the fault is cleared,
	// but a call that arrived before and is still delayed by Delay takes effect on the crashed worker.
	Crashed bool `json:"crashed,omitempty"`
	// ClockRate is the speed of the lease clock relative to real time; 0 means 1.
	ClockRate float64 `json:"clockRate,omitempty"`
}

// Bounds of faults. They keep the times on every clock far from an overflow.
const (
	maxFaultDelay     = 24 * time.Hour
	maxClockRate      = 100
	minClockRate      = 0.01
	maxSlowdownFactor = 1000
)

func checkDelay(field string, d settings.Duration) error {
	if d < 0 || time.Duration(d) > maxFaultDelay {
		return fmt.Errorf("%w: %s must be between 0s and %v", ErrInvalidFaults, field, maxFaultDelay)
	}
	return nil
}

// Validate returns ErrInvalidFaults for values out of bounds.
func (f CallFaults) Validate() error { return checkDelay("delay", f.Delay) }

// Validate returns ErrInvalidFaults for values out of bounds.
func (f LogFaults) Validate() error {
	return errors.Join(f.CallFaults.Validate(), checkDelay("lateBy", f.LateBy))
}

// Validate returns ErrInvalidFaults for values out of bounds.
func (f WorkerFaults) Validate() error {
	if f.ClockRate != 0 && (f.ClockRate < minClockRate || f.ClockRate > maxClockRate) {
		return fmt.Errorf("%w: clockRate must be between %v and %v", ErrInvalidFaults, minClockRate, maxClockRate)
	}
	return f.CallFaults.Validate()
}

// Validate returns ErrInvalidFaults for values out of bounds.
func (f TargetFaults) Validate() error {
	if f.Share < 0 || f.Share > 1 {
		return fmt.Errorf("%w: share must be between 0 and 1", ErrInvalidFaults)
	}
	if f.SlowdownFactor < 0 || f.SlowdownFactor > maxSlowdownFactor {
		return fmt.Errorf("%w: slow must be between 0 and %v", ErrInvalidFaults, maxSlowdownFactor)
	}
	return checkDelay("delay", f.Delay)
}

// consumeOne reports whether a fault applies. A positive count is the number of calls to which it
// still applies and is decremented. A negative count means that the fault always applies.
func consumeOne(count *int) bool {
	switch {
	case *count == 0:
		return false
	case *count > 0:
		*count--
	}
	return true
}

// faultInjector applies CallFaults to the calls of one service.
type faultInjector struct {
	clock  Clock
	mu     sync.Mutex
	faults CallFaults
}

func (i *faultInjector) setFaults(f CallFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

func (i *faultInjector) currentFaults() CallFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// takeLostResponse reports whether the response to a call that took effect is lost. If so, it
// decrements a positive LoseResponses.
func (i *faultInjector) takeLostResponse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return consumeOne(&i.faults.LoseResponses)
}

// read carries out a call without an effect. It never returns platform.ErrUnknownOutcome.
func (i *faultInjector) read(ctx context.Context, apply func()) error {
	return readError(i.deliver(ctx, apply))
}

// call runs apply, unless a fault prevents it. A nil error means that apply has returned and that
// the response is not lost. After an error, the results of apply must not be used, because apply
// may still be running.
func (i *faultInjector) call(ctx context.Context, apply func()) error {
	if err := i.deliver(ctx, apply); err != nil {
		return err
	}
	if i.takeLostResponse() {
		return unknownOutcome(errResponseLost)
	}
	return nil
}

// deliver runs apply after the faults that affect a request on its way to the service. It does not
// consider lost responses. If ctx is done during a delay, apply still runs at the end of the delay.
func (i *faultInjector) deliver(ctx context.Context, apply func()) error {
	if err := ctx.Err(); err != nil {
		return unavailable(err)
	}
	faults := i.currentFaults()
	if faults.Outage {
		return unavailable(errOutage)
	}
	if faults.Silent {
		<-ctx.Done()
		return unknownOutcome(ctx.Err())
	}
	if faults.Delay > 0 {
		arrival := i.clock.After(time.Duration(faults.Delay))
		select {
		case <-arrival:
		case <-ctx.Done():
			go func() {
				<-arrival
				apply()
			}()
			return unknownOutcome(ctx.Err())
		}
	}
	apply()
	return nil
}

// waitError returns the error that the current faults cause for a read that is waiting for its
// response, or nil. A silent service lets the read wait until ctx is done.
func (i *faultInjector) waitError(ctx context.Context) error {
	faults := i.currentFaults()
	if faults.Outage {
		return unavailable(errOutage)
	}
	if faults.Silent {
		<-ctx.Done()
		return unavailable(ctx.Err())
	}
	return nil
}
