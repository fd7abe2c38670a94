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
	// defaultUsedShare is the fraction of the declared cores and memory that a task uses.
	defaultUsedShare = 0.8
)

// program describes what a task does, parsed from its payload. Work is measured as the time that
// it takes at full speed.
type program struct {
	// duration is the total work, including that of earlier attempts, after which the task succeeds.
	duration time.Duration
	// failAt is the total work, including that of earlier attempts, after which the task fails, if
	// that is not more than duration; negative if the task does not fail.
	failAt time.Duration
	// checkpointTime is how long a checkpoint takes; negative if the task cannot write one.
	checkpointTime time.Duration
	// cores and memoryMB are what the task uses; negative for the default fraction of the
	// declared size.
	cores    float64
	memoryMB float64
}

// parsePayload parses a payload such as "duration=30s checkpoint=1s fail=2s cores=200
// memory=1024". The fields are optional and can be in any order. With "checkpoint=never" the task
// cannot write a checkpoint. The error wraps ErrInvalidPayload.
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

// parseFinite parses a number. It rejects NaN and infinities, which JSON cannot represent.
func parseFinite(value string) (float64, error) {
	f, err := strconv.ParseFloat(value, 64)
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0)) {
		return 0, errors.New("must be finite")
	}
	return f, err
}
