package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// driver applies records to a state at consecutive offsets.
type driver struct {
	t *testing.T
	s *State
}

func newDriver(t *testing.T) *driver {
	d := &driver{t: t, s: New()}
	d.put(&resource.Organisation{Metadata: resource.Metadata{Name: "org"}})
	d.apply(Record{ID: "claim", Claim: &ZoneClaim{Zone: "z1", Epoch: epoch1}})
	return d
}

var epoch1 = platform.Epoch{Number: 1, Holder: "i"}

func (d *driver) apply(r Record) Verdict {
	d.t.Helper()
	offset := d.s.Applied + 1
	if r.ID == "" {
		r.ID = fmt.Sprintf("id-%d", offset)
	}
	if r.Base == 0 {
		r.Base = offset - 1
	}
	r.Version, r.Time = RecordVersion, testTime
	return d.s.Apply(offset, r)
}

func putRecord(t *testing.T, object resource.Object) Record {
	t.Helper()
	data, err := json.Marshal(object)
	require.NoError(t, err)
	return Record{Put: &Put{Kind: object.Kind(), Object: data}}
}

func (d *driver) put(object resource.Object) Verdict {
	d.t.Helper()
	return d.apply(putRecord(d.t, object))
}

func testJob(name string) *resource.Job {
	return &resource.Job{
		Metadata: resource.Metadata{Name: name}, Status: resource.JobStatus{Zone: "z1"},
		Spec: resource.JobSpec{Organisation: "org", Members: 1, AcceleratorsPerMember: 1, Payload: "p"},
	}
}

func (d *driver) update(job string, status resource.JobStatus) Verdict {
	d.t.Helper()
	status.Zone = "z1"
	update := JobUpdate{Name: job, UID: d.s.Jobs[job].UID, Status: status}
	return d.apply(Record{ZoneUpdate: &ZoneUpdate{Zone: "z1", Epoch: epoch1, Jobs: []JobUpdate{update}}})
}

// TestBaseMustBeBeforeTheRecord guards against a record whose base is above its offset. It could
// take effect again after the append window, when its id is no longer kept.
func TestBaseMustBeBeforeTheRecord(t *testing.T) {
	d := newDriver(t)
	r := putRecord(t, testJob("a"))
	r.Base = ^platform.Offset(0)
	require.Equal(t, Invalid, d.apply(r).Code)
}

// TestLateRecordIsStale guards against a record that is applied a second time, because it was
// appended again after its id was dropped.
func TestLateRecordIsStale(t *testing.T) {
	d := newDriver(t)
	r := putRecord(t, testJob("a"))
	r.ID, r.Base = "late", d.s.Applied
	require.Equal(t, Accepted, d.apply(r).Code)
	require.Equal(t, Accepted, d.apply(Record{Delete: &Delete{Kind: resource.KindJob, Name: "a"}}).Code)
	require.Equal(t, Accepted, d.apply(Record{Delete: &Delete{Kind: resource.KindJob, Name: "a"}}).Code)
	for range AppendWindow + 1 {
		d.s.Skip(d.s.Applied + 1)
	}
	require.NotContains(t, d.s.Verdicts, "late")
	require.Equal(t, Stale, d.apply(r).Code)
	require.Empty(t, d.s.Jobs)
}

// TestRepeatedCreateAfterAppendWindow guards against a conflict for a create that was appended
// twice: the second append finds the resource that the first one created, and the verdict of the
// first one has been dropped.
func TestRepeatedCreateAfterAppendWindow(t *testing.T) {
	d := newDriver(t)
	r := putRecord(t, testJob("a"))
	r.ID, r.Put.IfVersion = "create", new(uint64)
	first := d.apply(r)
	for range AppendWindow + 1 {
		d.s.Skip(d.s.Applied + 1)
	}
	again := d.apply(r)
	require.Equal(t, Accepted, again.Code)
	require.Equal(t, first.Version, again.Version)
}

// TestAttemptsNeverGoBack guards against a status of an earlier attempt that was appended late and
// replaces a newer one, and against a second attempt of a job that must not run twice.
func TestAttemptsNeverGoBack(t *testing.T) {
	d := newDriver(t)
	d.put(testJob("a"))
	d.update("a", resource.JobStatus{Phase: resource.PhaseRunning, Attempt: 2})
	d.update("a", resource.JobStatus{Phase: resource.PhaseRunning, Attempt: 1})
	require.Equal(t, uint64(2), d.s.Jobs["a"].Status.Attempt)

	once := testJob("once")
	once.Spec.Restart = resource.RestartNever
	d.put(once)
	d.update("once", resource.JobStatus{Phase: resource.PhaseRunning, Attempt: 2})
	d.update("once", resource.JobStatus{Phase: resource.PhaseRunning, Attempt: 3})
	require.Equal(t, uint64(2), d.s.Jobs["once"].Status.Attempt)
	d.update("once", resource.JobStatus{Phase: resource.PhaseSucceeded, Attempt: 2})
	require.Equal(t, resource.PhaseSucceeded, d.s.Jobs["once"].Status.Phase)
}

// TestOldestEndedJobsAreRemoved guards against memory that grows with every job ever run. It also
// guards against removing a live job in place of an ended one with the same name.
func TestOldestEndedJobsAreRemoved(t *testing.T) {
	d := newDriver(t)
	cancel := func(name string) { d.apply(Record{Delete: &Delete{Kind: resource.KindJob, Name: name}}) }
	d.put(testJob("again"))
	cancel("again")
	cancel("again")
	d.put(testJob("again"))
	for i := range maxEndedJobs {
		name := fmt.Sprintf("job-%d", i)
		d.put(testJob(name))
		cancel(name)
	}
	require.Contains(t, d.s.Jobs, "again")
	require.Equal(t, resource.PhaseQueued, d.s.Jobs["again"].Status.Phase)
	d.put(testJob("last"))
	cancel("last")
	require.NotContains(t, d.s.Jobs, "job-0")
	require.Len(t, d.s.Jobs, maxEndedJobs+1)
	require.Len(t, d.s.EndedJobs, maxEndedJobs)
	require.Equal(t, 1, d.s.liveJobs)
	require.Equal(t, len("p"), d.s.payloadBytes)
}

// TestStateLimits guards against requests of operators that exhaust the memory of every
// instance, because the number or the size of resources has no limit.
func TestStateLimits(t *testing.T) {
	d := newDriver(t)
	for i := range MaxPolicies {
		require.Equal(t, Accepted, d.put(&resource.Policy{Metadata: resource.Metadata{Name: fmt.Sprintf("p%d", i)}}).Code)
	}
	require.Equal(t, LimitReached, d.put(&resource.Policy{Metadata: resource.Metadata{Name: "one-more"}}).Code)
	require.Equal(t, Accepted, d.put(&resource.Policy{Metadata: resource.Metadata{Name: "p0"}}).Code, "a change to a policy that exists was rejected")
	huge := testJob("huge")
	huge.Spec.Payload = strings.Repeat("x", resource.MaxPayloadBytes)
	count := 0
	for ; d.put(huge).Code == Accepted; count++ {
		huge.Name = fmt.Sprintf("huge-%d", count)
	}
	require.LessOrEqual(t, count*resource.MaxPayloadBytes, MaxTotalPayloadBytes)
	verdict := d.apply(Record{Delete: &Delete{Kind: resource.KindJob, Name: string(make([]byte, 1<<16))}})
	require.LessOrEqual(t, len(verdict.Message)+len(verdict.Resource), 2*maxMessageBytes+10)
}

// TestConcurrentGuaranteesConflict guards against accepting two guarantees that were checked
// against the same capacity and each fit, but do not fit together.
func TestConcurrentGuaranteesConflict(t *testing.T) {
	d := newDriver(t)
	g := &resource.Guarantee{
		Metadata: resource.Metadata{Name: "g1"}, Status: resource.GuaranteeStatus{Zone: "z1"},
		Spec: resource.GuaranteeSpec{Organisation: "org", Gangs: 1, Members: 1, AcceleratorsPerMember: 1},
	}
	require.Equal(t, Accepted, d.put(g).Code)
	g.Name = "g2"
	require.Equal(t, RevisionConflict, d.put(g).Code)
	require.NotContains(t, d.s.Guarantees, "g2")
}

// TestNewerVersionIsNotMalformed guards against an old process that skips a record of a newer
// version as malformed. Newer processes apply it, so their states would differ permanently.
func TestNewerVersionIsNotMalformed(t *testing.T) {
	for data, want := range map[string]error{
		`{"v":2,"id":"a","newPayload":{}}`: ErrRecordVersion,
		`{"v":2,"id":7}`:                   ErrRecordVersion,
		`{"v":1,"id":"a"}`:                 ErrRecordFormat,
		`{"v":0,"id":"a","release":{}}`:    ErrRecordFormat,
		`{`:                                ErrRecordFormat,
	} {
		_, err := DecodeRecord([]byte(data))
		require.ErrorIs(t, err, want, data)
	}
	s := New()
	s.Format = RecordVersion + 1
	_, err := DecodeSnapshot(encodeSnapshot(t, s))
	require.ErrorIs(t, err, ErrRecordVersion)
}

// TestDamagedSnapshotIsRejected guards against restoring a state from damaged parts and against a
// restored state that makes a later record panic.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	d := newDriver(t)
	parts := d.s.SplitSnapshot("s", encodeSnapshot(t, d.s))
	_, err := JoinSnapshot(parts)
	require.NoError(t, err)
	parts[0].Data[len(parts[0].Data)/2]++
	_, err = JoinSnapshot(parts)
	require.ErrorIs(t, err, ErrSnapshotIncomplete)
	_, err = JoinSnapshot(nil)
	require.ErrorIs(t, err, ErrSnapshotIncomplete)

	d.s.Jobs["missing"] = nil
	_, err = DecodeSnapshot(encodeSnapshot(t, d.s))
	require.ErrorIs(t, err, ErrSnapshotFormat)
	delete(d.s.Jobs, "missing")
	d.s.VerdictOrder = nil
	_, err = DecodeSnapshot(encodeSnapshot(t, d.s))
	require.ErrorIs(t, err, ErrSnapshotFormat)
}

// TestChangesForWatchers guards against a watch that misses a change, or that resumes at an offset
// after which some changes are no longer kept.
func TestChangesForWatchers(t *testing.T) {
	d := newDriver(t)
	d.put(testJob("a"))
	version := d.s.Applied
	d.apply(Record{Delete: &Delete{Kind: resource.KindJob, Name: "a"}})
	d.apply(Record{Delete: &Delete{Kind: resource.KindJob, Name: "a"}})
	changes, ok := d.s.Changes(version)
	require.True(t, ok)
	require.Equal(t, []Change{
		{Offset: version + 1, Kind: resource.KindJob, Name: "a"},
		{Offset: version + 2, Kind: resource.KindJob, Name: "a", Deleted: true},
	}, changes)
	for i := range maxHistory {
		d.put(&resource.Organisation{Metadata: resource.Metadata{Name: "org"}, Spec: resource.OrganisationSpec{AcceleratorQuota: i + 1}})
	}
	newest := d.s.Applied
	verdict := d.put(&resource.Organisation{Metadata: resource.Metadata{Name: "org"}, Spec: resource.OrganisationSpec{AcceleratorQuota: maxHistory}})
	require.Equal(t, uint64(newest), verdict.Version, "an unchanged put made a new version")
	changes, ok = d.s.Changes(newest)
	require.True(t, ok)
	require.Empty(t, changes)
	_, ok = d.s.Changes(version)
	require.False(t, ok)
	changes, ok = d.s.Changes(d.s.Applied)
	require.True(t, ok)
	require.Empty(t, changes)
}

// FuzzDecodeRecord guards against a log entry that makes every instance panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"v":1,"id":"a","put":{"kind":"jobs","object":{"metadata":{"name":"a"},"spec":{"members":1}}}}`))
	f.Add([]byte(`{"v":1,"id":"a","put":{"kind":"policies","object":null}}`))
	f.Add([]byte(`{"v":1,"id":"a","delete":{"kind":"jobs","name":"a","ifVersion":0}}`))
	f.Add([]byte(`{"v":1,"id":"a","claim":{"zone":"z","epoch":{"number":1,"holder":"i"}}}`))
	f.Add([]byte(`{"v":1,"id":"a","zoneUpdate":{"zone":"z","epoch":{"number":1,"holder":"i"},"jobs":[{"name":"a"}]}}`))
	f.Add([]byte(`{"v":1,"id":"a","snapshotPart":{"parts":-1,"part":9}}`))
	f.Add([]byte(`{"v":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			if !errors.Is(err, ErrRecordFormat) && !errors.Is(err, ErrRecordVersion) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		s := New()
		s.Apply(1, r)
		s.Apply(2, r)
		if _, err := DecodeSnapshot(encodeSnapshot(t, s)); err != nil {
			t.Fatalf("state after the record cannot be decoded from its snapshot: %v", err)
		}
	})
}

// FuzzDecodeSnapshot guards against a snapshot whose state makes the next record panic.
func FuzzDecodeSnapshot(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"format":1,"applied":3,"jobs":{"a":{"metadata":{"name":"a"},"status":{"phase":"Queued"}}}}`))
	f.Add([]byte(`{"format":1,"jobs":{"a":null}}`))
	f.Add([]byte(`{"format":1,"verdicts":{"a":{"code":"accepted"}},"verdictOrder":["a"],"endedJobs":[{"name":"x"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSnapshot(compress(t, data))
		if err != nil {
			return
		}
		if s.Applied >= ^platform.Offset(0)-2 {
			return
		}
		s.Apply(s.Applied+1, Record{Version: 1, ID: "x", Base: s.Applied, Delete: &Delete{Kind: resource.KindJob, Name: "a"}})
		s.Clone()
	})
}
