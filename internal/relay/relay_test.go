package relay

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/clients"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/logging"
)

// fakeStore counts writes and returns err from each.
type fakeStore struct {
	writes int
	err    error
}

func (s *fakeStore) Write(context.Context, []ledger.Record) error {
	s.writes++
	return s.err
}

// neverEnds is the awaitEnd of a server that does not know of the term.
func neverEnds(context.Context, election.LeaderTerm) election.EndState { return election.NotEnded }

// nothingToExplain is the explain function of a server that is not asked for explanations.
func nothingToExplain(context.Context, []byte) ([]byte, error) { return nil, nil }

// start starts a relay server on the loopback interface and returns its address.
func start(t *testing.T, store ledger.Storer, isLeader bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	require.NoError(t, Serve(listener, store, func() bool { return isLeader }, neverEnds, nothingToExplain, Limits{Refused: func(clients.Cause) {}}))
	return listener.Addr().String()
}

// writeVia writes a record with a new writer that uses the leader at an address, or the direct store.
func writeVia(t *testing.T, address string, direct ledger.Storer) error {
	t.Helper()
	w := NewWriter(direct, func() string { return address }, logging.Discard())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return w.Write(ctx, []ledger.Record{{Key: "k", Value: []byte("v")}})
}

// Guards against direct appends of all instances, which overload a slow log: records are stored by the
// leader only.
func TestLeaderStoresForOtherInstances(t *testing.T) {
	leaderStore, direct := &fakeStore{}, &fakeStore{}
	require.NoError(t, writeVia(t, start(t, leaderStore, true), direct))
	require.Equal(t, 1, leaderStore.writes)
	require.Zero(t, direct.writes)
}

// Guards against jobs that cannot be accepted while there is no leader, or while the known one no longer
// leads or cannot be reached.
func TestInstanceStoresDirectlyWithoutALeader(t *testing.T) {
	direct := &fakeStore{}
	require.NoError(t, writeVia(t, "", direct))
	require.NoError(t, writeVia(t, start(t, &fakeStore{}, false), direct))
	require.NoError(t, writeVia(t, "127.0.0.1:1", direct))
	require.Equal(t, 3, direct.writes)
}

// Guards against a write that is reported as not stored although the leader may have stored it: after an
// unknown outcome at the leader, a failure of the direct write leaves the outcome unknown.
func TestFailureAfterAnUnknownOutcomeIsUnknown(t *testing.T) {
	leaderStore := &fakeStore{err: ledger.ErrUnknownOutcome}
	err := writeVia(t, start(t, leaderStore, true), &fakeStore{err: ledger.ErrUnavailable})
	require.ErrorIs(t, err, ledger.ErrUnknownOutcome)
	require.NotErrorIs(t, err, ledger.ErrUnavailable)

	leaderStore.err = ledger.ErrUnavailable
	direct := &fakeStore{}
	require.ErrorIs(t, writeVia(t, start(t, leaderStore, true), direct), ledger.ErrUnavailable)
	require.Zero(t, direct.writes, "records that are certainly not stored at the leader are not stored directly")
}

// slowStore stores records after a delay.
type slowStore struct{ delay time.Duration }

func (s slowStore) Write(context.Context, []ledger.Record) error {
	time.Sleep(s.delay)
	return nil
}

// Guards against instances that all write directly, and make a slow log even slower, although the leader
// still responds to calls, each after half of leaderTimeout.
func TestSlowLeaderIsNotBypassed(t *testing.T) {
	direct := &fakeStore{}
	address := start(t, slowStore{delay: leaderTimeout / 2}, true)
	w := NewWriter(direct, func() string { return address }, logging.Discard())
	outcomes := make(chan error, 4)
	for n := range 4 {
		time.AfterFunc(time.Duration(n)*leaderTimeout/4, func() {
			outcomes <- w.Write(context.Background(), []ledger.Record{{Key: "k"}})
		})
	}
	for range 4 {
		require.NoError(t, <-outcomes)
	}
	require.Zero(t, direct.writes)
}

// FuzzServe guards against bytes from another program that end the process: each call is decoded by net/rpc.
func FuzzServe(f *testing.F) {
	var valid bytes.Buffer
	encoder := gob.NewEncoder(&valid)
	require.NoError(f, encoder.Encode(rpc.Request{ServiceMethod: service + ".Store", Seq: 1}))
	require.NoError(f, encoder.Encode(StoreArgs{Records: []ledger.Record{{Key: "k", Value: []byte("v")}}}))
	f.Add(valid.Bytes())
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	server := rpc.NewServer()
	require.NoError(f, server.RegisterName(service, &Server{store: discardStore{}, isLeader: func() bool { return true }, awaitEnd: neverEnds, explain: nothingToExplain}))
	f.Fuzz(func(_ *testing.T, data []byte) {
		g := &guard{maxConns: defaultMaxConns, refused: func(clients.Cause) {}}
		server.ServeCodec(newCodec(g.admit(&scriptedConn{Reader: bytes.NewReader(data)})))
	})
}

type discardStore struct{}

func (discardStore) Write(context.Context, []ledger.Record) error { return nil }

// scriptedConn is a connection whose other side sends fixed bytes and ignores the responses.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (c *scriptedConn) Read(p []byte) (int, error)     { return c.Reader.Read(p) }
func (*scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (*scriptedConn) Close() error                     { return nil }
func (*scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against connections of other programs that keep the instances out, and against messages for which the
// decoder allocates the announced size: such a message may take 1 GB.
func TestServeLimitsConnectionsAndMessages(t *testing.T) {
	leaderStore := &fakeStore{}
	address := start(t, leaderStore, true)
	dial := func(data string) net.Conn {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, data)
		require.NoError(t, err)
		return conn
	}
	requireClosed := func(conn net.Conn) {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(callTimeout/2)))
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		require.False(t, errors.As(err, &timeout) && timeout.Timeout(), "the connection is still open")
	}
	// Messages of 5 MB and 3 MB; the budget has room for two of the latter.
	requireClosed(dial("\xfd\x50\x00\x00"))
	var large []net.Conn
	for range 2 {
		large = append(large, dial("\xfd\x30\x00\x00xxx"))
	}
	time.Sleep(100 * time.Millisecond)
	requireClosed(dial("\xfd\x30\x00\x00"))
	for range defaultMaxConns {
		dial("")
	}
	for _, conn := range large {
		requireClosed(conn)
	}
	direct := &fakeStore{}
	require.NoError(t, writeVia(t, address, direct))
	require.Equal(t, 1, leaderStore.writes)
	require.Zero(t, direct.writes)
}
