package standin

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Defaults of a task whose payload does not set them.
const (
	defaultTaskDuration   = 10 * time.Second
	defaultCheckpointTime = time.Second
	// defaultUsedShare is the share of the declared size that a task uses.
	defaultUsedShare = 0.8
)

// program is what a task does, read from its payload.
type program struct {
	// duration is the work until success, at full speed.
	duration time.Duration
	// failAt is the work after which the task fails; negative for never.
	failAt time.Duration
	// checkpointTime is how long a checkpoint takes; negative if the task cannot write one.
	checkpointTime time.Duration
	// cores and memoryMB are what the task uses; negative if it follows the declared size.
	cores    float64
	memoryMB float64
}

// parsePayload reads "duration=30s checkpoint=1s fail=2s cores=200 memory=1024", in any
// order, all optional. "checkpoint=never" is a task that cannot write a checkpoint.
func parsePayload(payload string) (program, error) {
	p := program{
		duration:       defaultTaskDuration,
		failAt:         -1,
		checkpointTime: defaultCheckpointTime,
		cores:          -1,
		memoryMB:       -1,
	}
	for field := range strings.FieldsSeq(payload) {
		key, value, found := strings.Cut(field, "=")
		if !found {
			return program{}, fmt.Errorf("%w: %q is not key=value", ErrInvalidPayload, field)
		}
		if err := p.set(key, value); err != nil {
			return program{}, fmt.Errorf("%w: %s: %w", ErrInvalidPayload, key, err)
		}
	}
	return p, nil
}

func (p *program) set(key, value string) (err error) {
	switch key {
	case "duration":
		p.duration, err = time.ParseDuration(value)
	case "fail":
		p.failAt, err = time.ParseDuration(value)
	case "checkpoint":
		if value == "never" {
			p.checkpointTime = -1
			return nil
		}
		p.checkpointTime, err = time.ParseDuration(value)
	case "cores":
		p.cores, err = parseFinite(value)
	case "memory":
		p.memoryMB, err = parseFinite(value)
	default:
		return errors.New("unknown key")
	}
	if err == nil && strings.HasPrefix(value, "-") {
		return errors.New("must not be negative")
	}
	return err
}

// parseFinite refuses NaN and infinities, which JSON cannot carry.
func parseFinite(value string) (float64, error) {
	f, err := strconv.ParseFloat(value, 64)
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0)) {
		return 0, errors.New("must be finite")
	}
	return f, err
}
