// Package batch defines the jobs that queues take: steps of tasks that run on workers, with
// dependencies, gangs, schedules and tasks that last. It also defines the durable records of
// jobs and of their progress.
package batch

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Step is a set of equal tasks of a job.
type Step struct {
	Count int `json:"count"`
	// CPU is the request of each task, in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// MemoryMB is the request of each task, in megabytes.
	MemoryMB int64 `json:"mem,omitempty"`
	// GPU is the number of accelerators of each task.
	GPU int64 `json:"gpu,omitempty"`
	// EstimateMS is the submitter's rough estimate of a task's duration, in milliseconds.
	EstimateMS int64 `json:"est,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints says that tasks save their progress.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang says that the tasks work only while all of them are present.
	Gang bool `json:"gang,omitempty"`
	// RackLocal says that the tasks are slow when spread over several racks.
	RackLocal bool `json:"rackBound,omitempty"`
	// Label is a label that workers of the step must have; empty for none.
	Label string `json:"label,omitempty"`
	// DataRack is the rack near the step's data; empty for none.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on one worker; 0 for no bound.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative allows several runs of a task in parallel; the first to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// TailLatencyTargetMS bounds the tail of the response times of a serving task; 0 for none.
	TailLatencyTargetMS int64 `json:"tail,omitempty"`
	// Filler tasks use processor time that others leave; their CPU request is not counted.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable is how many lasting tasks may be away at once because of the scheduler.
	MaxUnavailable int `json:"maxAbsent,omitempty"`
}

// QueueRules are a queue's rules for its jobs.
type QueueRules struct {
	// Service is the pool of workers that runs the tasks.
	Service     string `json:"service"`
	Priority    int    `json:"priority,omitempty"`
	MaxAttempts int    `json:"attempts,omitempty"`
	// Stretch times the longest chain of work, plus TargetMS, is the objective of a job.
	Stretch  float64 `json:"stretch,omitempty"`
	TargetMS int64   `json:"target,omitempty"`
}

// Job is a job as submitted.
type Job struct {
	ID string `json:"id"`
	// Queue is the name of the queue that took the job.
	Queue string `json:"queue"`
	// Org is the organisation that the job's key belongs to; empty on public queues.
	Org   string `json:"org,omitempty"`
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Repeat is the number of occurrences of a scheduled job; 0 for a job without a schedule.
	Repeat int `json:"repeat,omitempty"`
	// StartAtMS is when the first occurrence is due, in Unix milliseconds.
	StartAtMS int64 `json:"startAt,omitempty"`
	// IntervalMS is the time between occurrences, in milliseconds.
	IntervalMS int64 `json:"interval,omitempty"`
	// Rules are the queue's rules when the job was accepted. They hold on if the queue goes.
	Rules QueueRules `json:"terms"`
	// AcceptedMS is when an instance took the job, in Unix milliseconds of its clock.
	AcceptedMS int64 `json:"accepted"`
}

// Occurrences is how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// LongRunning says whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Limits of a job.
const (
	maxSteps     = 64
	maxStepTasks = 4096
	maxSpecBytes = 4000
	maxRepeat    = 10000
)

// ErrInvalid means that a job cannot be run as it is described.
var ErrInvalid = errors.New("batch: invalid job")

// Validate checks a job's description. It returns ErrInvalid with the field at fault.
func (j *Job) Validate() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > maxSteps:
		return fmt.Errorf("%w: %d steps", ErrInvalid, len(j.Steps))
	case len(j.Spec) > maxSpecBytes:
		return fmt.Errorf("%w: spec of %d bytes", ErrInvalid, len(j.Spec))
	case j.Repeat < 0 || j.Repeat > maxRepeat || j.IntervalMS < 0:
		return fmt.Errorf("%w: schedule", ErrInvalid)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > maxStepTasks {
		return fmt.Errorf("%w: step %d has %d tasks", ErrInvalid, index, s.Count)
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.GPU < 0 {
		return fmt.Errorf("%w: step %d has a negative request", ErrInvalid, index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("%w: step %d depends on %d", ErrInvalid, index, earlier)
		}
	}
	return nil
}

// TaskID names a task: job, occurrence, step and index.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String renders the id as the workers know it.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// StepName names the step of an occurrence.
func (t TaskID) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step)
}

// ParseTaskID reads an id that String has written. It returns ErrInvalid.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("%w: task id %q", ErrInvalid, s)
	}
	t := TaskID{Job: parts[0]}
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return TaskID{}, fmt.Errorf("%w: task id %q", ErrInvalid, s)
		}
		*field = n
	}
	return t, nil
}

// ValidJobID says whether s is an id that a caller may choose: 16 hexadecimal digits.
func ValidJobID(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
