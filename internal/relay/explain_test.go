package relay

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/clients"
)

// Guards against an answer or an error of the leader that does not reach the instance that was asked, and against a call
// that fails without saying why if the leader cannot be reached.
func TestAskLeader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	explain := func(_ context.Context, request []byte) ([]byte, error) {
		switch string(request) {
		case "busy":
			return nil, eris.Wrap(ErrBusy, "controller")
		case "bad":
			return nil, errors.New("unknown job")
		}
		return append([]byte("answer to "), request...), nil
	}
	require.NoError(t, Serve(listener, &fakeStore{}, func() bool { return true }, neverEnds, explain, Limits{Refused: func(clients.Cause) {}}))
	address := listener.Addr().String()
	answer, err := AskLeader(t.Context(), address, []byte("question"))
	require.NoError(t, err)
	require.Equal(t, "answer to question", string(answer))
	_, err = AskLeader(t.Context(), address, []byte("busy"))
	require.ErrorIs(t, err, ErrBusy)
	_, err = AskLeader(t.Context(), address, []byte("bad"))
	require.ErrorContains(t, err, "unknown job")
	_, err = AskLeader(t.Context(), "127.0.0.1:1", nil)
	require.ErrorContains(t, err, "connect to the leader")
}
