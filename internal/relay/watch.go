package relay

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
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
type AwaitEndArgs struct{ Epoch int64 }

// AwaitEndReply is the reply of Server.AwaitEnd.
type AwaitEndReply struct {
	// Ended means that the called instance had the term and does nothing in it any more.
	Ended bool
}

// AwaitEnd waits until the term of this instance with the given epoch is over, for at most awaitEndTimeout. It always
// returns nil.
func (s *Server) AwaitEnd(args AwaitEndArgs, reply *AwaitEndReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), awaitEndTimeout)
	defer cancel()
	reply.Ended = s.awaitEnd(ctx, args.Epoch)
	return nil
}

// WatchLeader keeps a call to AwaitEnd open at the leader until ctx is done, and reports each term whose leader says
// that it is over: a leader that has lost the log cannot say so there. leader returns the relay address and the epoch of
// the leader; the epoch is 0 if there is none to watch.
func WatchLeader(ctx context.Context, leader func() (address string, epoch int64), onEnd func(epoch int64), logger *log.Logger) {
	for ctx.Err() == nil {
		address, epoch := leader()
		if epoch == 0 || address == "" {
			boottime.Sleep(ctx, watchInterval)
			continue
		}
		changed := func() bool {
			a, e := leader()
			return a != address || e != epoch
		}
		start := time.Now()
		ended, err := awaitEnd(ctx, address, epoch, changed)
		switch {
		case ended:
			logger.Info().Str("leader", address).Int64("epoch", epoch).Msg("leader has resigned")
			onEnd(epoch)
		case err != nil && ctx.Err() == nil:
			logger.Debug().Str("leader", address).Err(err).Msg("leader cannot be watched")
			boottime.Sleep(ctx, watchRetryInterval)
		case time.Since(start) < watchRetryInterval && !changed():
			// The called instance does not have the term: it has restarted, or the latest record is about to change.
			boottime.Sleep(ctx, watchRetryInterval)
		}
	}
}

// awaitEnd calls AwaitEnd until it fails, the term is over, or another instance leads.
func awaitEnd(ctx context.Context, address string, epoch int64, changed func() bool) (ended bool, err error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return false, err
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	var reply AwaitEndReply
	call := client.Go(service+".AwaitEnd", AwaitEndArgs{Epoch: epoch}, &reply, make(chan *rpc.Call, 1))
	timeout := time.NewTimer(awaitEndTimeout + awaitEndMargin)
	defer timeout.Stop()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-call.Done:
			return reply.Ended, call.Error
		case <-ticker.C:
			if changed() {
				return false, nil
			}
		case <-timeout.C:
			return false, errUnreachable
		case <-ctx.Done():
			return false, nil
		}
	}
}
