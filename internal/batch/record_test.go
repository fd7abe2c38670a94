package batch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
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

// Guards against a local copy that loses or revives a job after the latest records were read anew: pages
// are not a snapshot, so the records from the end of the first page on are applied again.
func TestTableAfterScanEqualsTableOfAllRecords(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 5))
		history := randomHistory(t, random, ids)
		all := NewTable(time.Now)
		all.Apply(ledger.Update{Entries: history})
		end := random.IntN(len(history))
		scanned := NewTable(time.Now)
		scanned.Apply(ledger.Update{Reset: true, Entries: randomScan(random, history, end)})
		scanned.Apply(ledger.Update{Entries: history[end:]})
		for _, id := range ids {
			want, got := all.Get(id), scanned.Get(id)
			require.Equal(t, want == nil, got == nil, "seed %d job %s", seed, id)
			if want != nil {
				require.Equal(t, want.VisiblePhase(), got.VisiblePhase(), "seed %d job %s", seed, id)
				require.Equal(t, want.Job.Org, got.Job.Org, "seed %d job %s", seed, id)
			}
		}
	}
}

// randomHistory returns submissions, repeated submissions, cancellations, phases, closed jobs and
// removals, in any order.
func randomHistory(t *testing.T, random *rand.Rand, ids []string) []ledger.Entry {
	t.Helper()
	var history []ledger.Entry
	for range 60 {
		id := ids[random.IntN(len(ids))]
		job := &Job{ID: id, Org: "o", Steps: []Step{{Count: 1}}}
		submitted, err := EncodeJob(job)
		require.NoError(t, err)
		closed, err := EncodeClosedJob(job)
		require.NoError(t, err)
		phase, err := EncodePhase(id, PhaseRecord{Phase: []Phase{Running, Completed, Failed}[random.IntN(3)]})
		require.NoError(t, err)
		kinds := [][]ledger.Record{{submitted}, {submitted}, {EncodeCancellation(id)}, {phase}, {closed}, JobTombstones(id)}
		for _, r := range kinds[random.IntN(len(kinds))] {
			history = append(history, ledger.Entry{Record: r, Offset: int64(len(history))})
		}
	}
	return history
}

// randomScan returns the latest record of each key, read at a random time after the topic ended at end.
func randomScan(random *rand.Rand, history []ledger.Entry, end int) []ledger.Entry {
	latest := make(map[string]ledger.Entry)
	readUntil := make(map[string]int)
	for n, e := range history {
		if _, drawn := readUntil[e.Key]; !drawn {
			readUntil[e.Key] = end + random.IntN(len(history)-end+1)
		}
		if n < readUntil[e.Key] {
			latest[e.Key] = e
		}
	}
	entries := slices.Collect(maps.Values(latest))
	entries = slices.DeleteFunc(entries, func(e ledger.Entry) bool { return len(e.Value) == 0 })
	slices.SortFunc(entries, func(a, b ledger.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// Guards against a stored job that ends every leader in turn: a step that depends on one that does not exist, or a
// number of tasks that does not fit into memory.
func TestTableSkipsJobsOfInvalidStructure(t *testing.T) {
	for _, steps := range [][]Step{
		{{Count: 1, After: []int{3}}}, {{Count: 1, After: []int{-1}}}, {{Count: 1 << 40}}, {{Count: -1}}, {{Count: 1, GPU: -8}},
	} {
		table := NewTable(time.Now)
		r, err := EncodeJob(&Job{ID: "1", Queue: "q", Steps: steps})
		require.NoError(t, err)
		_, errs := table.Apply(ledger.Update{Entries: []ledger.Entry{{Record: r}}})
		require.Len(t, errs, 1)
		require.Nil(t, table.Get("1"))
	}
	table := NewTable(time.Now)
	_, errs := table.Apply(ledger.Update{Entries: []ledger.Entry{{Record: ledger.Record{Key: jobPrefix + "2", Value: jobRecord(t, "").Value}}}})
	require.Len(t, errs, 1, "a record under the id of another job")
}

// Guards against jobs that are accepted although the sums that the scheduler forms of them overflow, or whose tasks
// do not fit into the leader's memory.
func TestSubmittedJobsAreBounded(t *testing.T) {
	for _, c := range []struct {
		job   Job
		valid bool
	}{
		{Job{Steps: []Step{{Count: 470}, {Count: 470, After: []int{0}}}, Repeat: 100}, true},
		{Job{Steps: []Step{{Count: 4096}}, Repeat: 10000}, false},
		{Job{Steps: []Step{{Count: 1, GPU: 1 << 62}}}, false},
		{Job{Steps: []Step{{Count: 1, EstimateMS: 1 << 62}}}, false},
		{Job{Steps: []Step{{Count: 1, EstimateMS: -1}}}, false},
		{Job{Steps: []Step{{Count: 1, MaxPerWorker: -1}}}, false},
		{Job{Steps: []Step{{Count: 1}}, Repeat: 10, IntervalMS: 1 << 62}, false},
		{Job{Steps: []Step{{Count: 1}}, Repeat: 10, StartAtMS: 1 << 62}, false},
	} {
		err := c.job.Validate()
		if c.valid {
			require.NoError(t, err)
		} else {
			require.ErrorIs(t, err, ErrInvalid)
		}
	}
}
