// Package batch defines the jobs that queues accept: steps of tasks that run on workers, with
// dependencies, gangs, schedules and long-running tasks. It also defines the durable records of
// jobs and of their progress.
package batch

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Step is a set of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// CPU is the CPU request of each task, in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// MemoryMB is the memory request of each task, in megabytes.
	MemoryMB int64 `json:"mem,omitempty"`
	// GPU is the number of accelerators that each task requests.
	GPU int64 `json:"gpu,omitempty"`
	// EstimateMS is the submitter's rough estimate of a task's duration, in milliseconds.
	EstimateMS int64 `json:"est,omitempty"`
	// After lists the indices of earlier steps whose tasks must all be done before this step starts.
	After []int `json:"after,omitempty"`
	// Checkpoints means that the tasks save their progress and can resume from it.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang means that the tasks work only while all of them are running.
	Gang bool `json:"gang,omitempty"`
	// RackLocal means that the tasks are slow if they are spread over several racks.
	RackLocal bool `json:"rackBound,omitempty"`
	// Label is a label that a worker must have to run the tasks; empty for no requirement.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that is close to the step's data; empty for none.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker is the maximum number of tasks of one occurrence on one worker; 0 for no limit.
	MaxPerWorker int `json:"spread,omitempty"`
	// Speculative allows several simultaneous runs of a task; the first one to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image is the name of the image that the tasks run.
	Image string `json:"image,omitempty"`
	// TailLatencyTargetMS is the target for the tail latency of a serving task, in milliseconds; 0
	// if the tasks do not serve requests.
	TailLatencyTargetMS int64 `json:"tail,omitempty"`
	// Filler means that the tasks use processor time that other tasks leave idle; their CPU request
	// does not count against the capacity of a worker.
	Filler bool `json:"filler,omitempty"`
	// MaxUnavailable is how many long-running tasks the scheduler may make unavailable at the same
	// time.
	MaxUnavailable int `json:"maxAbsent,omitempty"`
}

// QueueRules are the rules of a queue for its jobs.
type QueueRules struct {
	// Service is the name of the group of workers that runs the tasks.
	Service string `json:"service"`
	// Priority orders queues; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	// MaxFailedRuns is the number of failed runs of a task or gang at which its job fails; 0 for no
	// limit. It does not apply to long-running tasks.
	MaxFailedRuns int `json:"attempts,omitempty"`
	// DurationFactor and DurationOffsetMS give the objective for the duration of a job: DurationFactor
	// times the estimated duration of its longest chain of dependent steps, plus DurationOffsetMS.
	DurationFactor   float64 `json:"stretch,omitempty"`
	DurationOffsetMS int64   `json:"target,omitempty"`
	// Advice is nil on queues without an advice service.
	Advice *AdviceRules `json:"advice,omitempty"`
}

// AdviceRules are the rules of a queue whose jobs may run only on workers that the advice service permits.
type AdviceRules struct {
	// A call takes BaseLatency, plus LatencyPerWorker for each worker that it names; both are in nanoseconds
	// in records.
	BaseLatency      time.Duration `json:"base,omitempty"`
	LatencyPerWorker time.Duration `json:"per_worker,omitempty"`
}

// Latency returns the time that a call takes that names the given number of workers.
func (r *AdviceRules) Latency(workers int) time.Duration {
	return r.BaseLatency + time.Duration(workers)*r.LatencyPerWorker
}

// Job is a job as submitted.
type Job struct {
	ID string `json:"id"`
	// Queue is the name of the queue that accepted the job.
	Queue string `json:"queue"`
	// Org is the organisation whose API key the submission had; empty on public queues.
	Org string `json:"org,omitempty"`
	// Spec is text of the submitter that is passed on to the workers unread.
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps"`
	// Repeat is the number of occurrences of a scheduled job; 0 for a job without a schedule.
	Repeat int `json:"repeat,omitempty"`
	// StartAtMS is when the first occurrence is due, in Unix milliseconds.
	StartAtMS int64 `json:"startAt,omitempty"`
	// IntervalMS is the time between occurrences, in milliseconds.
	IntervalMS int64 `json:"interval,omitempty"`
	// Rules are the queue's rules when the job was accepted. They stay in effect if the queue is
	// deleted.
	Rules QueueRules `json:"terms"`
	// AcceptedMS is when an instance accepted the job, in Unix milliseconds of its clock.
	AcceptedMS int64 `json:"accepted"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// LongRunning reports whether any step of the job runs until the job is cancelled.
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
	// MaxSteps is the maximum number of steps.
	MaxSteps     = 64
	maxStepTasks = 4096
	maxSpecBytes = 4000
	maxRepeat    = 10000
	// maxTasks limits the tasks of all occurrences. The leader keeps each task that is due in memory, a few hundred
	// bytes, and has a few hundred megabytes.
	maxTasks = 1 << 17
	// maxRequest is the highest request for one resource. Its product with the number of tasks fits into an int64.
	maxRequest = 1 << 40
	// maxDurationMS is the longest estimate and interval, in milliseconds: about 30 years.
	maxDurationMS = 1_000_000_000_000
	// maxTimeMS is the latest time of the first occurrence, in Unix milliseconds.
	maxTimeMS = 1 << 53
)

// ErrInvalid means that the description of a job, or a task id, is invalid.
var ErrInvalid = errors.New("batch: invalid job or task id")

// Validate checks the description of a submitted job. It returns an error that wraps ErrInvalid and says what is
// invalid.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("%w: spec too large: %d bytes", ErrInvalid, len(j.Spec))
	}
	if j.IntervalMS > maxDurationMS || j.StartAtMS < -maxTimeMS || j.StartAtMS > maxTimeMS {
		return fmt.Errorf("%w: time or interval of the occurrences out of range", ErrInvalid)
	}
	if err := j.ValidateStructure(); err != nil {
		return err
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		tasks += s.Count
		switch {
		case max(s.CPU, s.MemoryMB, s.GPU) > maxRequest:
			return fmt.Errorf("%w: step %d: resource request out of range", ErrInvalid, i)
		case s.EstimateMS < 0 || s.EstimateMS > maxDurationMS || s.TailLatencyTargetMS < 0:
			return fmt.Errorf("%w: step %d: estimate or latency target out of range", ErrInvalid, i)
		case s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
			return fmt.Errorf("%w: step %d: negative limit", ErrInvalid, i)
		}
	}
	if tasks*j.Occurrences() > maxTasks {
		return fmt.Errorf("%w: %d tasks in %d occurrences, at most %d in total", ErrInvalid, tasks, j.Occurrences(), maxTasks)
	}
	return nil
}

// ValidateStructure checks what the scheduler relies on in a job that is stored, whichever version of the program
// accepted it: the numbers of steps, tasks and occurrences, and the references between steps. It returns an
// error that wraps ErrInvalid and says what is invalid.
func (j *Job) ValidateStructure() error {
	switch {
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%w: number of steps out of range: %d", ErrInvalid, len(j.Steps))
	case j.Repeat < 0 || j.Repeat > maxRepeat || j.IntervalMS < 0:
		return fmt.Errorf("%w: repeat count or interval out of range", ErrInvalid)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validateStructure(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) validateStructure(index int) error {
	if s.Count < 1 || s.Count > maxStepTasks {
		return fmt.Errorf("%w: step %d: number of tasks out of range: %d", ErrInvalid, index, s.Count)
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.GPU < 0 {
		return fmt.Errorf("%w: step %d: negative resource request", ErrInvalid, index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("%w: step %d depends on step %d, which is not an earlier step", ErrInvalid, index, earlier)
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

// String returns the id in the form that workers and durable records use.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// StepName returns the name of the step of the task within its occurrence.
func (t TaskID) StepName() string {
	return fmt.Sprintf("%s.%d.%d", t.Job, t.Occurrence, t.Step)
}

// ParseTaskID parses an id that String returned. It returns an error that wraps ErrInvalid if s is
// not a task id.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("%w: task id %q", ErrInvalid, s)
	}
	t := TaskID{Job: parts[0]}
	for i, field := range []*int{&t.Occurrence, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("%w: task id %q", ErrInvalid, s)
		}
		*field = n
	}
	return t, nil
}

// ValidJobID reports whether s is a valid job id: 16 hexadecimal digits.
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
