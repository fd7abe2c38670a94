package standin

import (
	"errors"
	"fmt"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Errors of this package. Those that a caller of the platform sees also wrap an error of
// package platform.
var (
	errOutage     = errors.New("standin: outage")
	errAnswerLost = errors.New("standin: answer lost")
	errRateLimit  = errors.New("standin: append rate limit reached")
	errNoWorker   = errors.New("standin: no such worker")
	// ErrNotFound means that a fault was set for a service that does not exist.
	ErrNotFound = errors.New("standin: no such service")
	// ErrFaults means that faults are malformed or out of bounds.
	ErrFaults = errors.New("standin: invalid faults")
	// ErrPayload means that a task's payload is not in the form key=value.
	ErrPayload = errors.New("standin: invalid payload")
)

// readError turns an unknown outcome into ErrUnavailable: a read has no effect.
func readError(err error) error {
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return fmt.Errorf("%w: %w", platform.ErrUnavailable, hiddenOutcome{err})
	}
	return err
}

// hiddenOutcome hides ErrUnknownOutcome from errors.Is and keeps the rest, such as the error
// of a context.
type hiddenOutcome struct{ err error }

func (h hiddenOutcome) Error() string { return h.err.Error() }

func (h hiddenOutcome) Is(target error) bool {
	return target != platform.ErrUnknownOutcome && errors.Is(h.err, target)
}
