package leadership

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// fakes implements membership, the replica and the list of instances.
type fakes struct {
	mu        sync.Mutex
	now       time.Time
	members   []membership.Member
	lastAcked time.Time
	reachable bool
	state     *state.State
	readAt    time.Time
	writeErr  error
	written   []state.Record
}

func (f *fakes) Self() membership.Member { return f.Members()[0] }
func (f *fakes) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

func (f *fakes) Changed() <-chan struct{} { return nil }
func (f *fakes) Publish(change func(*membership.Info)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.members[0].Info)
}

func (f *fakes) LastAckedProbeAt() time.Time            { return f.lastAcked }
func (f *fakes) Reachable(context.Context, string) bool { return f.reachable }
func (f *fakes) Read(read func(*state.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.state)
}

func (f *fakes) LastReadAt() time.Time                             { return f.readAt }
func (f *fakes) List(context.Context) ([]platform.Instance, error) { return nil, nil }

func (f *fakes) Write(_ context.Context, r state.Record) (state.Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeErr != nil {
		return state.Verdict{}, f.writeErr
	}
	f.written = append(f.written, r)
	r.ID, r.Base = time.Now().String(), f.state.Applied
	return f.state.Apply(f.state.Applied+1, r), nil
}

func newFakes() (*fakes, *Service) {
	f := &fakes{now: time.Unix(1000, 0), state: state.New()}
	for _, id := range []string{"i1", "i2"} {
		f.members = append(f.members, membership.Member{Info: membership.Info{ID: id, Ready: true}, Status: membership.Alive, Zone: "a"})
	}
	s := New(Config{
		Self: "i1", Peers: f, Reader: f, Writer: f, Tail: f, Instances: f,
		Now: func() time.Time { return f.now }, Log: logging.Discard(),
	})
	return f, s
}

// stepFor advances the time by d and runs one step of the service every simStep.
func (f *fakes) stepFor(s *Service, d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(simStep) {
		f.readAt = f.now
		s.step(context.Background())
		s.claims.Wait()
	}
}

// TestConfirmationExpires guards against a leader that resumes after a pause and acts before its
// leadership is confirmed again.
func TestConfirmationExpires(t *testing.T) {
	f, s := newFakes()
	epoch := platform.Epoch{Number: 3, Holder: "i1"}
	f.state.Zones["a"] = state.ZoneLeader{Epoch: epoch}
	s.core.startTerm(f.now, "a", epoch, true)
	require.False(t, s.Confirmed("a", epoch), "never confirmed")
	f.readAt = f.now
	require.True(t, s.Confirmed("a", epoch))
	f.now = f.now.Add(MaxConfirmationAge)
	require.False(t, s.Confirmed("a", epoch), "the confirmation is too old")
	f.lastAcked = f.now
	require.True(t, s.Confirmed("a", epoch), "a peer that knows no newer epoch confirms")
	f.members[1].Info.Epochs = map[string]platform.Epoch{"a": {Number: 4, Holder: "i2"}}
	require.False(t, s.Confirmed("a", epoch), "a peer knows a newer epoch")
}

// TestReachableHolderKeepsItsZone guards against a takeover from a holder that responds to the probes
// of the claimant itself.
func TestReachableHolderKeepsItsZone(t *testing.T) {
	f, s := newFakes()
	holder := platform.Epoch{Number: 3, Holder: "i2"}
	f.state.Zones["a"] = state.ZoneLeader{Epoch: holder}
	f.members[1].Status = membership.Unreachable
	f.reachable = true
	f.stepFor(s, 10*time.Second)
	require.Empty(t, s.Terms())
	f.reachable = false
	f.stepFor(s, 2*time.Second)
	require.Len(t, s.Terms(), 1)
	require.Equal(t, platform.Epoch{Number: 4, Holder: "i1"}, f.state.Zones["a"].Epoch)
}

// TestProvisionalTermIsRecordedWhenTheLogReturns guards against a zone without a leader while the log
// is down, and against a provisional term that is not recorded once the log is available again.
func TestProvisionalTermIsRecordedWhenTheLogReturns(t *testing.T) {
	synctest.Test(t, testProvisionalTerm)
}

func testProvisionalTerm(t *testing.T) {
	f, s := newFakes()
	f.state.Zones["a"] = state.ZoneLeader{Epoch: platform.Epoch{Number: 3, Holder: "i2"}}
	f.members[1].Status = membership.Unreachable
	f.writeErr = state.ErrNotApplied
	f.stepFor(s, 6*time.Second)
	require.Len(t, s.Terms(), 1)
	require.False(t, s.Terms()[0].Recorded)
	require.Equal(t, uint64(4), f.members[0].Info.Epochs["a"].Number, "the epoch is published to the peers")
	f.writeErr = nil
	f.stepFor(s, time.Second)
	require.True(t, s.Terms()[0].Recorded)
	require.True(t, f.written[0].Claim.Provisional)
}

// TestStopNamesASuccessor guards against a graceful stop after which the zone has no leader until the
// stopped one is detected as unreachable.
func TestStopNamesASuccessor(t *testing.T) {
	f, s := newFakes()
	epoch := platform.Epoch{Number: 3, Holder: "i1"}
	f.state.Zones["a"] = state.ZoneLeader{Epoch: epoch}
	s.core.startTerm(f.now, "a", epoch, true)
	require.NoError(t, s.Stop(context.Background()))
	require.Equal(t, "i2", f.state.Zones["a"].Successor)
	require.True(t, f.state.Zones["a"].Released)
	require.Empty(t, s.Terms())
}
