package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

func apply(t *testing.T, table *Table, records ...ledger.Record) {
	t.Helper()
	var u ledger.Update
	for _, r := range records {
		u.Entries = append(u.Entries, ledger.Entry{Record: r})
	}
	_, errs := table.Apply(u)
	require.Empty(t, errs)
}

func jobRecord(t *testing.T, spec string) ledger.Record {
	t.Helper()
	r, err := EncodeJob(&Job{ID: "1", Queue: "q", Org: "o", Spec: spec, Steps: []Step{{Count: 1}}})
	require.NoError(t, err)
	return r
}

// Guards against a repeated submit that changes a job, and against a closed job that keeps its
// description in memory or is queued again by a late record of its submission.
func TestTableKeepsFirstDescriptionUntilJobIsClosed(t *testing.T) {
	table := NewTable(time.Now)
	apply(t, table, jobRecord(t, "first"), jobRecord(t, "second"))
	require.Equal(t, "first", table.Get("1").Job.Spec)
	phase, err := EncodePhase("1", PhaseRecord{Phase: Completed})
	require.NoError(t, err)
	closed, err := EncodeClosedJob(table.Get("1").Job)
	require.NoError(t, err)
	apply(t, table, phase, closed)
	require.Empty(t, table.Get("1").Job.Spec)
	require.Equal(t, "o", table.Get("1").Job.Org)
	apply(t, table, jobRecord(t, "late"))
	require.Equal(t, Completed, table.Get("1").VisiblePhase())
	require.Empty(t, table.Get("1").Job.Spec)
	apply(t, table, JobTombstones("1")...)
	require.Nil(t, table.Get("1"))
}

// Guards against a wrong visible phase: a cancelled job must be shown as cancelled before the
// cancellation is carried out, but a job that has completed must stay completed.
func TestVisiblePhase(t *testing.T) {
	table := NewTable(time.Now)
	apply(t, table, jobRecord(t, ""))
	require.Equal(t, Queued, table.Get("1").VisiblePhase())
	apply(t, table, EncodeCancellation("1"))
	require.Equal(t, Cancelled, table.Get("1").VisiblePhase())
	phase, err := EncodePhase("1", PhaseRecord{Phase: Completed})
	require.NoError(t, err)
	apply(t, table, phase)
	require.Equal(t, Completed, table.Get("1").VisiblePhase())
}

// Guards against a change of the format of task ids, which workers and durable records use, and
// against invalid ids that are accepted.
func TestTaskIDFormat(t *testing.T) {
	id := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	parsed, err := ParseTaskID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, parsed)
	for _, bad := range []string{"", "a.b", "a.1.2.x", "a.1.2.3.4"} {
		_, err := ParseTaskID(bad)
		require.ErrorIs(t, err, ErrInvalid, bad)
	}
}

// Guards against a job that loses its place in the order of the jobs when its submit is repeated and the
// latest records are read again.
func TestRepeatedSubmitDoesNotMoveJob(t *testing.T) {
	table := NewTable(time.Now)
	for _, reset := range []bool{false, true} {
		offset := int64(3)
		if reset {
			offset = 7
		}
		_, errs := table.Apply(ledger.Update{Reset: reset, Entries: []ledger.Entry{{Record: jobRecord(t, ""), Offset: offset}}})
		require.Empty(t, errs)
		require.EqualValues(t, 3, table.Get("1").Offset)
	}
}
