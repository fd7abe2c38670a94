package intake

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
)

// fakeAge is an AgeReporter with a fixed age.
type fakeAge struct {
	age   time.Duration
	known bool
}

func (a *fakeAge) Age() (time.Duration, bool) { return a.age, a.known }

// fakeStore stores records in memory and returns err.
type fakeStore struct {
	records []ledger.Record
	err     error
}

func (s *fakeStore) Write(_ context.Context, records []ledger.Record) error {
	s.records = append(s.records, records...)
	return s.err
}

type fixture struct {
	service   *Service
	store     *fakeStore
	configAge *fakeAge
	jobsAge   *fakeAge
}

func config(version int64, keys ...string) *opconfig.Config {
	c := &opconfig.Config{
		Version: version,
		Queues: []opconfig.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxFailedRuns: 3},
			{Name: "p", Host: "h", Prefix: "/p/", Service: "s", Public: true},
		},
		Orgs: []opconfig.Org{{Name: "o", Keys: keys}, {Name: "other", Keys: []string{"k9"}}},
	}
	c.BuildIndexes()
	return c
}

func newFixture() *fixture {
	f := &fixture{store: &fakeStore{}, configAge: &fakeAge{known: true}, jobsAge: &fakeAge{known: true}}
	f.service = New(Config{
		Writer: f.store, ConfigAge: f.configAge, JobsAge: f.jobsAge, Metrics: metrics.NewSet(), Logger: logging.Discard(),
	})
	f.service.SetConfig(config(1, "k1", "k2"))
	return f
}

const id = "5c0e7a21d94b36f8"

func job() *batch.Job { return &batch.Job{ID: id, Steps: []batch.Step{{Count: 1}}} }

// updateTable applies all stored records to the local copy of the jobs.
func (f *fixture) updateTable() {
	u := ledger.Update{}
	for n, r := range f.store.records {
		u.Entries = append(u.Entries, ledger.Entry{Record: r, Offset: int64(n)})
	}
	f.service.Apply(u)
}

// Guards against requests with a revoked key: the key must be rejected once a configuration without it
// is in force, an older configuration must not replace a newer one, and no key may be accepted while
// the configuration is too old to tell whether the key is still valid.
func TestKeys(t *testing.T) {
	f := newFixture()
	access, err := f.service.Authorize("H", "/q/"+id, "k2")
	require.NoError(t, err)
	require.Equal(t, "o", access.Org)
	_, err = f.service.Authorize("h", "/q/"+id, "")
	require.ErrorIs(t, err, ErrInvalidKey)
	_, err = f.service.Authorize("h", "/x/"+id, "k1")
	require.ErrorIs(t, err, ErrNoQueue)
	require.True(t, f.service.SetConfig(config(3, "k1")))
	require.False(t, f.service.SetConfig(config(2, "k1", "k2")))
	_, err = f.service.Authorize("h", "/q/"+id, "k2")
	require.ErrorIs(t, err, ErrInvalidKey)
	f.configAge.age = maxConfigAge + time.Millisecond
	_, err = f.service.Authorize("h", "/q/"+id, "k1")
	require.ErrorIs(t, err, ErrStaleCopy, "the key may have been revoked since")
	_, err = f.service.Authorize("h", "/p/"+id, "")
	require.NoError(t, err, "public queues need no key")
	require.False(t, f.service.Ready())
}

// Guards against a job that is stored twice by a repeated submit, and against a wrong outcome: a job that
// was certainly not stored, one that may be stored, and an invalid job must give different errors.
func TestSubmit(t *testing.T) {
	f := newFixture()
	access, err := f.service.Authorize("h", "/q/"+id, "k1")
	require.NoError(t, err)
	var rejected *RejectedError
	f.store.err = ledger.ErrUnavailable
	require.ErrorAs(t, f.service.Submit(t.Context(), access, job()), &rejected)
	require.Positive(t, rejected.RetryAfter)
	f.store.err = ledger.ErrUnknownOutcome
	require.ErrorIs(t, f.service.Submit(t.Context(), access, job()), ledger.ErrUnknownOutcome)
	f.store.err, f.store.records = nil, nil
	require.NoError(t, f.service.Submit(t.Context(), access, job()))
	f.updateTable()
	require.NoError(t, f.service.Submit(t.Context(), access, job()))
	require.Len(t, f.store.records, 1, "a repeated submit stores nothing")
	require.ErrorIs(t, f.service.Submit(t.Context(), access, &batch.Job{ID: "0000000000000001"}), batch.ErrInvalid)
}

// Guards against wrong responses about a job: a wrong phase, access to the jobs of other organisations,
// and "no such job" from a local copy that is too old.
func TestStatusAndCancel(t *testing.T) {
	f := newFixture()
	access, _ := f.service.Authorize("h", "/q/"+id, "k1")
	_, err := f.service.Status(access, id)
	require.ErrorIs(t, err, ErrNoJob)
	f.jobsAge.age = maxTableAge + time.Millisecond
	_, err = f.service.Status(access, id)
	require.ErrorIs(t, err, ErrStaleCopy)
	require.NoError(t, f.service.Submit(t.Context(), access, job()))
	f.updateTable()
	phase, err := f.service.Status(access, id)
	require.NoError(t, err)
	require.Equal(t, batch.Queued, phase)
	require.Equal(t, 1, f.service.UnstartedJobs("q"))
	other, _ := f.service.Authorize("h", "/q/"+id, "k9")
	_, err = f.service.Status(other, id)
	require.ErrorIs(t, err, ErrNoJob)
	require.ErrorIs(t, f.service.Cancel(t.Context(), other, id), ErrNoJob)
	require.NoError(t, f.service.Cancel(t.Context(), access, id))
	f.updateTable()
	phase, _ = f.service.Status(access, id)
	require.Equal(t, batch.Cancelled, phase)
	require.Zero(t, f.service.UnstartedJobs("q"))
}
