package standin

import (
	"errors"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Errors of this package. Errors that are returned to a caller of the platform also wrap an
// error of package platform.
var (
	errOutage        = errors.New("standin: call rejected by the outage fault")
	errResponseLost  = errors.New("standin: response dropped by a fault")
	errRateLimit     = errors.New("standin: append rate limit exceeded")
	errUnknownWorker = errors.New("standin: unknown worker")
	// ErrNotFound means that the service, worker, target or instance does not exist, or that a
	// selector matches none.
	ErrNotFound = errors.New("standin: not found")
	// ErrInvalidFaults means that faults are malformed or out of bounds.
	ErrInvalidFaults = errors.New("standin: invalid faults")
	// ErrInvalidPayload means that a field of a task's payload is not of the form key=value, or has
	// an unknown key or an invalid value.
	ErrInvalidPayload = errors.New("standin: invalid payload")
)

// callError is the error of a failed call. outcome is platform.ErrUnavailable or
// platform.ErrUnknownOutcome; cause is, for example, the error of the call's context.
type callError struct{ outcome, cause error }

// Error implements error.
func (e *callError) Error() string { return e.outcome.Error() + ": " + e.cause.Error() }

// Unwrap returns the outcome and the cause, so that errors.Is and errors.As match either.
func (e *callError) Unwrap() []error { return []error{e.outcome, e.cause} }

func unavailable(cause error) error { return &callError{platform.ErrUnavailable, cause} }

func unknownOutcome(cause error) error { return &callError{platform.ErrUnknownOutcome, cause} }

// readError replaces an unknown outcome by ErrUnavailable, because a read has no effect.
func readError(err error) error {
	var failed *callError
	if errors.As(err, &failed) && failed.outcome == platform.ErrUnknownOutcome {
		return unavailable(failed.cause)
	}
	return err
}
