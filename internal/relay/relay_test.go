package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/logging"
)

// fakeStore counts writes and answers with an error.
type fakeStore struct {
	writes int
	err    error
}

func (s *fakeStore) Write(context.Context, []ledger.Record) error {
	s.writes++
	return s.err
}

// start serves a relay on loopback and returns its address.
func start(t *testing.T, store ledger.Storer, leads bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	require.NoError(t, Serve(listener, store, func() bool { return leads }))
	return listener.Addr().String()
}

func writeVia(t *testing.T, address string, direct ledger.Storer) error {
	t.Helper()
	w := NewWriter(direct, func() string { return address }, logging.Discard())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return w.Write(ctx, []ledger.Record{{Key: "k", Value: []byte("v")}})
}

// Guards against an append of every instance at a slow log.
func TestLeaderStoresForOthers(t *testing.T) {
	hub, direct := &fakeStore{}, &fakeStore{}
	require.NoError(t, writeVia(t, start(t, hub, true), direct))
	require.Equal(t, 1, hub.writes)
	require.Zero(t, direct.writes)
}

// Guards against jobs that cannot be accepted while there is no leader, or an old one.
func TestInstanceStoresByItselfWithoutALeader(t *testing.T) {
	direct := &fakeStore{}
	require.NoError(t, writeVia(t, "", direct))
	require.NoError(t, writeVia(t, start(t, &fakeStore{}, false), direct))
	require.NoError(t, writeVia(t, "127.0.0.1:1", direct))
	require.Equal(t, 3, direct.writes)
}

// Guards the truth of refusals: after an outcome that is not known at the leader, a refusal of
// the log says nothing.
func TestRefusalAfterAnUnknownOutcomeIsUnknown(t *testing.T) {
	hub := &fakeStore{err: ledger.ErrUnknownOutcome}
	err := writeVia(t, start(t, hub, true), &fakeStore{err: ledger.ErrUnavailable})
	require.ErrorIs(t, err, ledger.ErrUnknownOutcome)
	require.NotErrorIs(t, err, ledger.ErrUnavailable)

	hub.err = ledger.ErrUnavailable
	direct := &fakeStore{}
	require.ErrorIs(t, writeVia(t, start(t, hub, true), direct), ledger.ErrUnavailable)
	require.Zero(t, direct.writes, "a definite refusal is passed on")
}

// slowStore answers after a while.
type slowStore struct{ takes time.Duration }

func (s slowStore) Write(context.Context, []ledger.Record) error {
	time.Sleep(s.takes)
	return nil
}

// Guards against instances that all store by themselves, and make a slow log slower, while the
// leader still answers.
func TestSlowLeaderIsNotGivenUp(t *testing.T) {
	direct := &fakeStore{}
	address := start(t, slowStore{takes: hubTimeout / 2}, true)
	w := NewWriter(direct, func() string { return address }, logging.Discard())
	outcomes := make(chan error, 4)
	for n := range 4 {
		time.AfterFunc(time.Duration(n)*hubTimeout/4, func() {
			outcomes <- w.Write(context.Background(), []ledger.Record{{Key: "k"}})
		})
	}
	for range 4 {
		require.NoError(t, <-outcomes)
	}
	require.Zero(t, direct.writes)
}
