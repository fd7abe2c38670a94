package relay

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/rotisserie/eris"
)

// explainTimeout limits a call to Explain, without the time for connecting. It is longer than the time limit of the
// leader's controller (2 s), so that the leader's own answer arrives.
const explainTimeout = 2500 * time.Millisecond

// ErrBusy means that the leader handles another call to Explain.
var ErrBusy = errors.New("relay: leader is busy with another explanation")

// ExplainFunc answers a request for an explanation. Request and answer are encoded by the caller of the relay. It
// returns an error that wraps ErrBusy if another call is in progress.
type ExplainFunc func(ctx context.Context, request []byte) ([]byte, error)

// ExplainArgs are the arguments of Server.Explain.
type ExplainArgs struct{ Request []byte }

// ExplainReply is the reply of Server.Explain. Failure is the text of the error, or empty; Busy means that the error is
// ErrBusy.
type ExplainReply struct {
	Answer  []byte
	Failure string
	Busy    bool
}

// Explain answers a request for an explanation. It always returns nil.
func (s *Server) Explain(args ExplainArgs, reply *ExplainReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	answer, err := s.explain(ctx, args.Request)
	if err != nil {
		reply.Failure, reply.Busy = err.Error(), errors.Is(err, ErrBusy)
		return nil
	}
	reply.Answer = answer
	return nil
}

// AskLeader requests an explanation at a relay address, on a connection of its own: an answer must not delay the records
// of jobs. It returns ErrBusy, or an error that says why there is no answer.
func AskLeader(ctx context.Context, address string, request []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout+explainTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "connect to the leader")
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	var reply ExplainReply
	call := client.Go(service+".Explain", ExplainArgs{Request: request}, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return nil, eris.Wrap(errUnreachable, "explain")
	}
	switch {
	case call.Error != nil:
		return nil, eris.Wrap(call.Error, "call the leader")
	case reply.Busy:
		return nil, ErrBusy
	case reply.Failure != "":
		return nil, errors.New(reply.Failure)
	}
	return reply.Answer, nil
}
