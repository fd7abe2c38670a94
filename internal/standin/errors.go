package standin

import (
	"errors"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Errors of this package. Those that a caller of the platform sees also wrap an error of
// package platform.
var (
	errOutage        = errors.New("standin: outage")
	errResponseLost  = errors.New("standin: answer lost")
	errRateLimit     = errors.New("standin: append rate limit reached")
	errUnknownWorker = errors.New("standin: no such worker")
	// ErrNotFound means that a fault was set for a service that does not exist.
	ErrNotFound = errors.New("standin: no such service")
	// ErrInvalidFaults means that faults are malformed or out of bounds.
	ErrInvalidFaults = errors.New("standin: invalid faults")
	// ErrInvalidPayload means that a task's payload is not in the form key=value.
	ErrInvalidPayload = errors.New("standin: invalid payload")
)

// callError is the outcome of a failed call with its cause, such as a context's error.
type callError struct{ outcome, cause error }

// Error implements error.
func (e *callError) Error() string { return e.outcome.Error() + ": " + e.cause.Error() }

// Unwrap gives errors.Is and errors.As both the outcome and the cause.
func (e *callError) Unwrap() []error { return []error{e.outcome, e.cause} }

func unavailable(cause error) error { return &callError{platform.ErrUnavailable, cause} }

func unknownOutcome(cause error) error { return &callError{platform.ErrUnknownOutcome, cause} }

// readError turns an unknown outcome into ErrUnavailable: a read has no effect.
func readError(err error) error {
	var failed *callError
	if errors.As(err, &failed) && failed.outcome == platform.ErrUnknownOutcome {
		return unavailable(failed.cause)
	}
	return err
}
