package batch

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// Topics of the durable state.
const (
	// JobsTopic holds jobs, cancellations and phases. All instances keep a local copy of it.
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

// Phase is the phase of a job.
type Phase string

// Phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Final reports whether the job has ended, so that its phase does not change any more.
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
	// Failures is the number of runs that failed.
	Failures int `json:"f,omitempty"`
	// FailedRun is the number of the last run that is counted in Failures.
	FailedRun int64 `json:"l,omitempty"`
	// Started means that a run has started on a worker. It is not set if all starts so far were rejected.
	Started bool `json:"s,omitempty"`
	// Run is the highest run number that was assigned.
	Run int64 `json:"r,omitempty"`
	// Worker is the id of the worker that run number Run was sent to; empty once that run is known to
	// have ended.
	Worker string `json:"w,omitempty"`
	// Address is the address of the worker. It is needed when the worker's registry entry is gone.
	Address string `json:"a,omitempty"`
	// WorkerStartedAtMS is the start time of the worker's incarnation, in Unix milliseconds. It
	// distinguishes the incarnations of a worker.
	WorkerStartedAtMS int64 `json:"b,omitempty"`
	// Checkpoint is the latest checkpoint that was known when the record was written.
	Checkpoint string `json:"c,omitempty"`
}

// EncodeJob returns the record of a submitted job.
func EncodeJob(j *Job) (ledger.Record, error) { return encode(jobPrefix+j.ID, j) }

// EncodeClosedJob returns the record that replaces a job's description once the job is closed: no task of
// it can run any more. The record is small, because status requests need neither Steps nor Spec and each
// instance reads the whole topic when it starts.
func EncodeClosedJob(j *Job) (ledger.Record, error) {
	return EncodeJob(&Job{ID: j.ID, Queue: j.Queue, Org: j.Org, Repeat: j.Repeat, AcceptedMS: j.AcceptedMS})
}

// EncodeCancellation returns the record of a cancellation.
func EncodeCancellation(id string) ledger.Record {
	return ledger.Record{Key: cancelPrefix + id, Value: []byte("{}")}
}

// EncodePhase returns the record of a job's phase.
func EncodePhase(id string, p PhaseRecord) (ledger.Record, error) { return encode(phasePrefix+id, p) }

// EncodeTask returns the record of a task.
func EncodeTask(id TaskID, t TaskRecord) (ledger.Record, error) { return encode(id.String(), t) }

// TaskTombstone returns the record that deletes the stored progress of a task.
func TaskTombstone(id TaskID) ledger.Record { return ledger.Record{Key: id.String()} }

// JobTombstones returns the records that delete a job. The record of the job itself is the last one: when
// a Table applies it, it drops the job's entry, which a later record would create again.
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

// DecodeTask decodes a record of TasksTopic. The TaskRecord of a deleted task is zero.
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

// JobState is the state of one job in a Table.
type JobState struct {
	Job       *Job
	Cancelled bool
	Phase     PhaseRecord
	// Offset is the offset of the first record of the job that the table got. It gives the order in which
	// the jobs were stored, which does not depend on the clocks of the instances that accepted them.
	Offset int64
	// AcceptedAt is when the job was accepted, on this instance's boottime clock. It is 0 if the instance
	// does not know: the record was stored before the instance began to follow the topic. Job.AcceptedMS
	// is then the best estimate.
	AcceptedAt boottime.Instant
}

// VisiblePhase returns the phase that callers see: a job with a stored cancellation is shown as
// Cancelled before the cancellation has been carried out.
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

// maxRecordDelay is the longest plausible time from the acceptance of a job until an instance reads its
// record. Callers wait 3 s for the record to be stored.
const maxRecordDelay = 5 * time.Second

// Table is a local copy of the state in JobsTopic. It is not safe for concurrent use.
type Table struct {
	jobs map[string]*JobState
	// timeOfDay reads the time of day of this instance.
	timeOfDay func() time.Time
}

// NewTable returns an empty table of an instance with the given time of day.
func NewTable(timeOfDay func() time.Time) *Table {
	return &Table{jobs: make(map[string]*JobState), timeOfDay: timeOfDay}
}

// Get returns the state of a job, or nil if the table does not contain the job.
func (t *Table) Get(id string) *JobState {
	s := t.jobs[id]
	if s == nil || s.Job == nil {
		return nil
	}
	return s
}

// ForEach calls visit for each job, in no particular order.
func (t *Table) ForEach(visit func(*JobState)) {
	for _, s := range t.jobs {
		if s.Job != nil {
			visit(s)
		}
	}
}

// Apply applies an update and returns the ids of the jobs that may have changed. For each record that
// cannot be decoded it returns an error, and does not return the id of its job in changed because of
// it. Such a record does not replace the description of a job. But an invalid phase record clears the
// phase or sets it in part, and any key with a "/" may create an entry without a description, which Get
// and ForEach skip.
func (t *Table) Apply(u ledger.Update) (changed []string, errs []error) {
	old := t.jobs
	if u.Reset {
		// The update has the latest record of every key. A job that is missing was deleted by a
		// leader, so all earlier jobs count as changed.
		t.jobs = make(map[string]*JobState, len(u.Entries))
		for id := range old {
			changed = append(changed, id)
		}
	}
	for _, entry := range u.Entries {
		id, err := t.applyEntry(entry, !u.Reset)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		changed = append(changed, id)
	}
	if u.Reset {
		t.keepAcceptance(old)
		t.raiseAcceptanceTimes()
	}
	return changed, errs
}

// keepAcceptance keeps the offsets and acceptance times of an earlier copy of the table. The latest record
// of a job, which the new copy was read from, may be a repeated submit.
func (t *Table) keepAcceptance(earlier map[string]*JobState) {
	for id, s := range t.jobs {
		if known := earlier[id]; known != nil && known.Job != nil {
			s.Offset, s.AcceptedAt = known.Offset, known.AcceptedAt
		}
	}
}

// raiseAcceptanceTimes raises the acceptance times that are before those of earlier records: the clock of
// the accepting instance was behind. If the clock of an earlier record was ahead instead, a job seems
// younger than it is, by at most that error. That does less harm than a job that seems older, which would
// count as overdue for good.
func (t *Table) raiseAcceptanceTimes() {
	var states []*JobState
	t.ForEach(func(s *JobState) { states = append(states, s) })
	slices.SortFunc(states, func(a, b *JobState) int { return cmp.Compare(a.Offset, b.Offset) })
	latest := int64(0)
	for _, s := range states {
		latest = max(latest, s.Job.AcceptedMS)
		s.Job.AcceptedMS = latest
	}
}

func (t *Table) applyEntry(e ledger.Entry, live bool) (string, error) {
	prefix, id, found := strings.Cut(e.Key, "/")
	if !found {
		return "", eris.Errorf("batch: invalid key %q", e.Key)
	}
	s := t.jobs[id]
	if s == nil {
		s = &JobState{}
		t.jobs[id] = s
	}
	switch prefix + "/" {
	case jobPrefix:
		return id, t.applyJob(id, s, e, live)
	case cancelPrefix:
		s.Cancelled = len(e.Value) > 0
	case phasePrefix:
		s.Phase = PhaseRecord{}
		if len(e.Value) > 0 {
			return id, eris.Wrapf(json.Unmarshal(e.Value, &s.Phase), "decode %s", e.Key)
		}
	default:
		return "", eris.Errorf("batch: key %q has an unknown prefix", e.Key)
	}
	return id, nil
}

// acceptedAt returns when a job whose record has just been read was accepted. A time that the record
// cannot have taken to get here shows that the clock of this or the accepting instance is wrong. If this
// instance was cut off from the log instead, the job seems younger by that time.
func (t *Table) acceptedAt(j *Job) boottime.Instant {
	delay := time.Duration(t.timeOfDay().UnixMilli()-j.AcceptedMS) * time.Millisecond
	if delay < 0 || delay > maxRecordDelay {
		delay = 0
	}
	return boottime.Now().Add(-delay)
}

// applyJob stores the first description of a job. A repeated submit does not change it; only the
// record of a closed job (see EncodeClosedJob), which has no steps, replaces it. live means that the record
// has just been stored.
func (t *Table) applyJob(id string, s *JobState, e ledger.Entry, live bool) error {
	if len(e.Value) == 0 {
		delete(t.jobs, id)
		return nil
	}
	var j Job
	if err := json.Unmarshal(e.Value, &j); err != nil {
		return eris.Wrapf(err, "decode job %s", id)
	}
	if j.ID != id {
		return eris.Wrapf(ErrInvalid, "record of job %s describes job %.40q", id, j.ID)
	}
	// A closed job has no steps.
	if len(j.Steps) > 0 {
		if err := j.ValidateStructure(); err != nil {
			return eris.Wrapf(err, "job %s", id)
		}
	}
	if s.Job == nil {
		s.Offset = e.Offset
		if live {
			s.AcceptedAt = t.acceptedAt(&j)
		}
	}
	if s.Job == nil || len(j.Steps) == 0 {
		s.Job = &j
	}
	return nil
}
