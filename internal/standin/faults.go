package standin

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// CallFaults are the faults that every service can have.
type CallFaults struct {
	// Outage refuses every call at once, without effect.
	Outage bool `json:"outage,omitempty"`
	// Silent neither carries out nor answers any call.
	Silent bool `json:"silent,omitempty"`
	// Delay is added before a call takes effect. A caller that gives up does not stop the call.
	Delay settings.Duration `json:"delay,omitzero"`
	// LoseResponses is the number of next calls that take effect but whose answer is lost;
	// negative for all calls. Reads are not counted, so that a poll does not use up the fault.
	LoseResponses int `json:"loseAnswers,omitempty"`
}

// LogFaults are the faults of the log.
type LogFaults struct {
	CallFaults
	// LateAppends is the number of next appends whose answer is lost and that take effect
	// LateBy after the call; negative for all appends.
	LateAppends int               `json:"lateAppends,omitempty"`
	LateBy      settings.Duration `json:"lateBy,omitzero"`
}

// WorkerFaults are the faults of one worker.
type WorkerFaults struct {
	CallFaults
	// FailAll fails every task that runs or starts.
	FailAll bool `json:"failAll,omitempty"`
	// Frozen pauses tasks and answers; the lease clock goes on. Calls that arrived meanwhile
	// take effect when the worker continues, even if their callers gave up.
	Frozen bool `json:"frozen,omitempty"`
	// Crashed ends all tasks and forgets all leases. Calls are refused until it is cleared.
	Crashed bool `json:"crashed,omitempty"`
	// ClockRate is the speed of the lease clock against true time; 0 means 1.
	ClockRate float64 `json:"clockRate,omitempty"`
}

// Bounds of faults. Within them, times on every clock stay far from overflow.
const (
	maxFaultDelay = 24 * time.Hour
	maxClockRate  = 100
	minClockRate  = 0.01
	maxSlow       = 1000
)

func checkDelay(field string, d settings.Duration) error {
	if d < 0 || time.Duration(d) > maxFaultDelay {
		return fmt.Errorf("%w: %s must be between 0s and %v", ErrInvalidFaults, field, maxFaultDelay)
	}
	return nil
}

// Validate returns ErrFaults for values out of bounds.
func (f CallFaults) Validate() error { return checkDelay("delay", f.Delay) }

// Validate returns ErrFaults for values out of bounds.
func (f LogFaults) Validate() error {
	return errors.Join(f.CallFaults.Validate(), checkDelay("lateBy", f.LateBy))
}

// Validate returns ErrFaults for values out of bounds.
func (f WorkerFaults) Validate() error {
	if f.ClockRate != 0 && (f.ClockRate < minClockRate || f.ClockRate > maxClockRate) {
		return fmt.Errorf("%w: clockRate must be between %v and %v", ErrInvalidFaults, minClockRate, maxClockRate)
	}
	return f.CallFaults.Validate()
}

// Validate returns ErrFaults for values out of bounds.
func (f TargetFaults) Validate() error {
	if f.Share < 0 || f.Share > 1 {
		return fmt.Errorf("%w: share must be between 0 and 1", ErrInvalidFaults)
	}
	if f.SlowdownFactor < 0 || f.SlowdownFactor > maxSlow {
		return fmt.Errorf("%w: slow must be between 0 and %v", ErrInvalidFaults, maxSlow)
	}
	return checkDelay("delay", f.Delay)
}

// consumeOne consumes one of a count of faults; a negative count is not used up.
func consumeOne(count *int) bool {
	switch {
	case *count == 0:
		return false
	case *count > 0:
		*count--
	}
	return true
}

// faultInjector carries a call to a service through the faults of CallFaults.
type faultInjector struct {
	clock  Clock
	mu     sync.Mutex
	faults CallFaults
}

func (g *faultInjector) setFaults(f CallFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

func (g *faultInjector) currentFaults() CallFaults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

func (g *faultInjector) takeLostResponse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return consumeOne(&g.faults.LoseResponses)
}

// read carries out a call without an effect. Its error is never an unknown outcome.
func (g *faultInjector) read(ctx context.Context, apply func()) error {
	return readError(g.deliver(ctx, apply))
}

// call carries out apply, unless a fault prevents it. A nil error means that apply was carried
// out and its answer arrived; otherwise the results of apply must not be used.
func (g *faultInjector) call(ctx context.Context, apply func()) error {
	if err := g.deliver(ctx, apply); err != nil {
		return err
	}
	if g.takeLostResponse() {
		return unknownOutcome(errResponseLost)
	}
	return nil
}

// deliver carries a call to the service, without regard to its answer.
func (g *faultInjector) deliver(ctx context.Context, apply func()) error {
	if err := ctx.Err(); err != nil {
		return unavailable(err)
	}
	faults := g.currentFaults()
	if faults.Outage {
		return unavailable(errOutage)
	}
	if faults.Silent {
		<-ctx.Done()
		return unknownOutcome(ctx.Err())
	}
	if faults.Delay > 0 {
		arrival := g.clock.After(time.Duration(faults.Delay))
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

// waitError tells what the faults of now do to a call that is waiting for its answer.
func (g *faultInjector) waitError(ctx context.Context) error {
	faults := g.currentFaults()
	if faults.Outage {
		return unavailable(errOutage)
	}
	if faults.Silent {
		<-ctx.Done()
		return unavailable(ctx.Err())
	}
	return nil
}
