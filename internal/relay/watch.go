package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/election"
)

const (
	// watchInterval is how often a watcher checks whether there is another leader.
	watchInterval = 250 * time.Millisecond
	// watchRetryInterval is the pause after a failed call, for example to a leader of an earlier version.
	watchRetryInterval = time.Second
	// awaitEndTimeout limits a call to AwaitEnd at the leader. The caller then calls again, which also shows it that a
	// silent connection is dead.
	awaitEndTimeout = 10 * time.Second
	// awaitEndMargin is added to awaitEndTimeout for the response.
	awaitEndMargin = 2 * time.Second
)

// AwaitEndArgs are the arguments of Server.AwaitEnd.
type AwaitEndArgs struct{ Term election.LeaderTerm }

// AwaitEndReply is the reply of Server.AwaitEnd.
type AwaitEndReply struct{ State election.EndState }

// AwaitEnd waits until a term of the called instance is over, for at most awaitEndTimeout. It always returns nil.
func (s *Server) AwaitEnd(args AwaitEndArgs, reply *AwaitEndReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitEndTimeout)
	defer cancel()
	reply.State = s.awaitEnd(ctx, args.Term)
	return nil
}

// Watched is what a watcher needs of the election.
type Watched interface {
	// LeaderTerm returns the term of another instance that leads; its epoch is 0 if there is none.
	LeaderTerm() election.LeaderTerm
	// ObserveEnd reports that a term is over, ObserveRefusal that nothing listens at the leader's address.
	ObserveEnd(epoch int64)
	ObserveRefusal(epoch int64)
}

// WatchLeader keeps a call to AwaitEnd open at the leader until ctx is done: a leader that has lost the log cannot give
// up its leadership there. It reports the end of each term, and that nothing listens at the leader's address.
// addressOf returns the relay address of an instance.
func WatchLeader(ctx context.Context, e Watched, addressOf func(instance string) string, logger *log.Logger) {
	for ctx.Err() == nil {
		term := e.LeaderTerm()
		if term.Epoch == 0 {
			boottime.Sleep(ctx, watchInterval)
			continue
		}
		changed := func() bool { return e.LeaderTerm() != term }
		start := time.Now()
		state, err := awaitEnd(ctx, addressOf(term.Instance), term, changed)
		switch {
		case state == election.Ended:
			logger.Info().Str("leader", term.Instance).Int64("epoch", term.Epoch).Msg("leader has resigned")
			e.ObserveEnd(term.Epoch)
		case errors.Is(err, syscall.ECONNREFUSED):
			e.ObserveRefusal(term.Epoch)
			boottime.Sleep(ctx, watchInterval)
		case err != nil && errors.Is(err, errWatchLost):
			// The leader's process may have ended: connecting again shows whether anything listens.
		case err != nil && ctx.Err() == nil:
			logger.Debug().Str("leader", term.Instance).Err(err).Msg("leader cannot be watched")
			boottime.Sleep(ctx, watchRetryInterval)
		case time.Since(start) < watchRetryInterval && !changed():
			// The called instance does not know of the term: the latest record is about to change.
			boottime.Sleep(ctx, watchRetryInterval)
		}
	}
}

// errWatchLost means that the connection to the leader was lost while it was watched.
var errWatchLost = errors.New("relay: connection to the leader lost")

// awaitEnd calls AwaitEnd until it returns, fails, or another instance leads.
func awaitEnd(ctx context.Context, address string, term election.LeaderTerm, changed func() bool) (election.EndState, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return election.NotEnded, err
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	var reply AwaitEndReply
	call := client.Go(service+".AwaitEnd", AwaitEndArgs{Term: term}, &reply, make(chan *rpc.Call, 1))
	timeout := time.NewTimer(awaitEndTimeout + awaitEndMargin)
	defer timeout.Stop()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-call.Done:
			var rejected rpc.ServerError
			if call.Error != nil && !errors.As(call.Error, &rejected) {
				return election.NotEnded, fmt.Errorf("%w: %w", errWatchLost, call.Error)
			}
			return reply.State, call.Error
		case <-ticker.C:
			if changed() {
				return election.NotEnded, nil
			}
		case <-timeout.C:
			return election.NotEnded, errUnreachable
		case <-ctx.Done():
			return election.NotEnded, nil
		}
	}
}
