package batch

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// Topics of the durable state.
const (
	// JobsTopic holds jobs, cancellations and phases. All instances follow it.
	JobsTopic = "keyed.jobs"
	// TasksTopic holds the progress of tasks. Only a new leader reads it.
	TasksTopic = "keyed.tasks"
)

// Prefixes of keys in JobsTopic.
const (
	jobPrefix    = "j/"
	cancelPrefix = "c/"
	phasePrefix  = "p/"
)

// Phase is how far a job is.
type Phase string

// Phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final says whether the phase is the last one.
func (p Phase) Final() bool { return p == Completed || p == Failed || p == Cancelled }

// PhaseRecord is the durable phase of a job.
type PhaseRecord struct {
	Phase Phase `json:"phase"`
	// AtMS is when the phase was entered, in Unix milliseconds of the leader's clock.
	AtMS int64 `json:"at"`
}

// TaskRecord is the durable progress of a task.
type TaskRecord struct {
	Done bool `json:"d,omitempty"`
	// Failures counts the runs that ended with a failure.
	Failures int `json:"f,omitempty"`
	// FailedRun is the run that was counted last.
	FailedRun int64 `json:"l,omitempty"`
	// Run is the highest run number that was given out.
	Run int64 `json:"r,omitempty"`
	// Worker is where that run was sent; empty when it is known to be over.
	Worker string `json:"w,omitempty"`
	// Address is where the worker is reached, for the time when its entry is gone.
	Address string `json:"a,omitempty"`
	// WorkerStartedAtMS tells lives of the worker apart, in Unix milliseconds.
	WorkerStartedAtMS int64 `json:"b,omitempty"`
	// Checkpoint is the newest one that was known when the record was written.
	Checkpoint string `json:"c,omitempty"`
}

// JobRecord returns the record of a submitted job.
func JobRecord(j *Job) (ledger.Record, error) { return encode(jobPrefix+j.ID, j) }

// ClosedJobRecord returns the record that replaces a job's description once nothing of the job can run
// any more: what its callers may still ask needs neither its steps nor its specification, and
// each instance reads the whole table when it starts.
func ClosedJobRecord(j *Job) (ledger.Record, error) {
	return JobRecord(&Job{ID: j.ID, Queue: j.Queue, Org: j.Org, Repeat: j.Repeat, AcceptedMS: j.AcceptedMS})
}

// CancelRecord returns the record of a cancellation.
func CancelRecord(id string) ledger.Record {
	return ledger.Record{Key: cancelPrefix + id, Value: []byte("{}")}
}

// EncodePhase returns the record of a job's phase.
func EncodePhase(id string, p PhaseRecord) (ledger.Record, error) { return encode(phasePrefix+id, p) }

// EncodeTask returns the record of a task.
func EncodeTask(id TaskID, t TaskRecord) (ledger.Record, error) { return encode(id.String(), t) }

// TaskTombstone returns the record that forgets a task.
func TaskTombstone(id TaskID) ledger.Record { return ledger.Record{Key: id.String()} }

// JobTombstones returns the records that forget a job.
func JobTombstones(id string) []ledger.Record {
	return []ledger.Record{{Key: cancelPrefix + id}, {Key: phasePrefix + id}, {Key: jobPrefix + id}}
}

func encode(key string, value any) (ledger.Record, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return ledger.Record{}, eris.Wrapf(err, "encode %s", key)
	}
	return ledger.Record{Key: key, Value: data}, nil
}

// DecodeTask reads a record of TasksTopic.
func DecodeTask(e ledger.Entry) (TaskID, TaskRecord, error) {
	id, err := ParseTaskID(e.Key)
	if err != nil {
		return TaskID{}, TaskRecord{}, err
	}
	var t TaskRecord
	if len(e.Value) == 0 {
		return id, t, nil
	}
	return id, t, eris.Wrapf(json.Unmarshal(e.Value, &t), "decode task %s", e.Key)
}

// JobState is what the table holds about one job.
type JobState struct {
	Job       *Job
	Cancelled bool
	Phase     PhaseRecord
}

// VisiblePhase is the phase that callers see.
func (s *JobState) VisiblePhase() Phase {
	if s.Phase.Phase.Final() {
		return s.Phase.Phase
	}
	if s.Cancelled {
		return Cancelled
	}
	if s.Phase.Phase == "" {
		return Queued
	}
	return s.Phase.Phase
}

// Table is the state of JobsTopic in memory. It is not safe for concurrent use.
type Table struct {
	jobs map[string]*JobState
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{jobs: make(map[string]*JobState)} }

// Get returns a job's state, or nil.
func (t *Table) Get(id string) *JobState {
	s := t.jobs[id]
	if s == nil || s.Job == nil {
		return nil
	}
	return s
}

// ForEach calls visit for each job.
func (t *Table) ForEach(visit func(*JobState)) {
	for _, s := range t.jobs {
		if s.Job != nil {
			visit(s)
		}
	}
}

// Apply takes an update and returns the ids of the jobs that it changed. Records that cannot be
// read are returned as errors and have no effect.
func (t *Table) Apply(u ledger.Update) (changed []string, errs []error) {
	if u.Reset {
		// Keys that are gone from the topic were dropped by a leader; jobs that are still
		// present keep their identity.
		old := t.jobs
		t.jobs = make(map[string]*JobState, len(u.Entries))
		for id := range old {
			changed = append(changed, id)
		}
	}
	for _, entry := range u.Entries {
		id, err := t.applyEntry(entry)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		changed = append(changed, id)
	}
	return changed, errs
}

func (t *Table) applyEntry(e ledger.Entry) (string, error) {
	prefix, id, found := strings.Cut(e.Key, "/")
	if !found {
		return "", eris.Errorf("batch: key %q", e.Key)
	}
	s := t.jobs[id]
	if s == nil {
		s = &JobState{}
		t.jobs[id] = s
	}
	switch prefix + "/" {
	case jobPrefix:
		return id, t.applyJob(id, s, e.Value)
	case cancelPrefix:
		s.Cancelled = len(e.Value) > 0
	case phasePrefix:
		s.Phase = PhaseRecord{}
		if len(e.Value) > 0 {
			return id, eris.Wrapf(json.Unmarshal(e.Value, &s.Phase), "decode %s", e.Key)
		}
	default:
		return "", eris.Errorf("batch: key %q", e.Key)
	}
	return id, nil
}

// applyJob keeps the first description of a job: a repeated submit does not change it. Only the
// record of a closed job, which has no steps, replaces it.
func (t *Table) applyJob(id string, s *JobState, value []byte) error {
	if len(value) == 0 {
		delete(t.jobs, id)
		return nil
	}
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return eris.Wrapf(err, "decode job %s", id)
	}
	if s.Job == nil || len(j.Steps) == 0 {
		s.Job = &j
	}
	return nil
}
