package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// receiverName is the name under which the net/rpc receiver is registered.
const receiverName = "Replica"

const (
	// catchUpPeriod is the mean period at which the replica compares its position with its peers'.
	catchUpPeriod = 250 * time.Millisecond
	// catchUpAfter is how long a peer may be ahead before this replica fetches the records from it.
	// The log normally delivers the same records within this time.
	catchUpAfter = 500 * time.Millisecond
	// peerTimeout limits one call to a peer.
	peerTimeout = 2 * time.Second
	// startGrace is how long a new instance waits for the log before it queries its peers.
	startGrace = time.Second
	// minQueryRounds is the number of rounds in which a new instance queries its peers before it
	// becomes ready although a peer does not respond. It applies while the log is unreachable.
	minQueryRounds = 3
	// maxTailEntries is the maximum number of entries in one response.
	maxTailEntries = 500
)

// errNotRecovered is the response to peers while this instance has no recovered state.
var errNotRecovered = errors.New("replica: this instance has not recovered its state")

// PositionArgs is the argument of Receiver.Position.
type PositionArgs struct{}

// PositionReply describes how up to date a replica is.
type PositionReply struct {
	// Applied is the offset of the last record that the state includes.
	Applied platform.Offset
	// Recovered is false if the replica has no state to copy yet.
	Recovered bool
	// Ready is true if the instance of the replica may serve requests with its state.
	Ready bool
}

// StateArgs is the argument of Receiver.State.
type StateArgs struct{}

// StateReply is a copy of the state at the offset Applied. Data is the encoded snapshot.
type StateReply struct {
	Applied platform.Offset
	Data    []byte
	// Snapshots is the recovery point that the peer has found in the log.
	Snapshots RecoveryPoint
}

// TailArgs is the argument of Receiver.Tail. From is the offset of the first entry to return.
type TailArgs struct {
	From platform.Offset
}

// TailReply contains entries without gaps that begin at TailArgs.From. Entries is empty if the peer
// has not applied that offset yet.
type TailReply struct {
	Entries []platform.Entry
	// Gone is set if the peer no longer keeps the entry at From.
	Gone bool
}

// Receiver implements the net/rpc methods of a replica. It is registered under the name Replica.
type Receiver struct{ replica *Replica }

// Position returns the position of the replica.
func (c *Receiver) Position(_ *PositionArgs, reply *PositionReply) error {
	reply.Applied, reply.Recovered, _ = c.replica.position()
	reply.Ready = c.replica.IsReady()
	return nil
}

// State returns a copy of the state. It fails while the replica has not recovered its state.
func (c *Receiver) State(_ *StateArgs, reply *StateReply) error {
	s, snapshots, err := c.replica.copyState()
	if err != nil {
		return err
	}
	data, err := s.EncodeSnapshot()
	if err != nil {
		return err
	}
	reply.Applied, reply.Data, reply.Snapshots = s.Applied, data, snapshots
	return nil
}

// Tail returns up to maxTailEntries applied entries from args.From on. It fails while the replica has
// not recovered its state.
func (c *Receiver) Tail(args *TailArgs, reply *TailReply) error {
	r := c.replica
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.recovered {
		return errNotRecovered
	}
	entries, ok := r.recent.from(args.From, maxTailEntries)
	reply.Gone = !ok
	reply.Entries = append(reply.Entries, entries...)
	return nil
}

// copyState returns a copy of the state that is safe to encode without the lock, and the recovery
// point. It returns errNotRecovered if there is no recovered state.
func (r *Replica) copyState() (*state.State, RecoveryPoint, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.recovered {
		return nil, RecoveryPoint{}, errNotRecovered
	}
	return r.state.Clone(), r.snapshots.recoveryPoint, nil
}

// catchUp periodically compares this replica with its peers until ctx is done. It recovers from peers
// when the log cannot make the replica ready, and fetches records from peers that stay ahead.
func (r *Replica) catchUp(ctx context.Context) {
	if r.deps.Peers == nil {
		return
	}
	started := r.deps.Now()
	var behindSince time.Time
	rounds := 0
	for {
		sleep(ctx, catchUpPeriod/2+r.randDuration(catchUpPeriod))
		if ctx.Err() != nil {
			return
		}
		now := r.deps.Now()
		switch {
		case r.needsPeers(now, started):
			rounds++
			r.recoverFromPeers(ctx, rounds)
		case r.highestAlivePeer() <= r.Applied():
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = now
		case now.Sub(behindSince) >= catchUpAfter:
			r.fetchFromLivePeers(ctx)
		}
	}
}

// needsPeers reports whether this replica must recover from its peers, because the log has lost
// records or, before the replica is ready, does not respond.
func (r *Replica) needsPeers(now, started time.Time) bool {
	_, _, failure := r.position()
	if errors.Is(failure, ErrHistoryLost) {
		return true
	}
	select {
	case <-r.ready:
		return false
	default:
		return now.Sub(started) >= startGrace && r.logHealth.unresponsive(started, now)
	}
}

// unresponsive reports whether the log has not responded for startGrace. The time counts from started
// or from the last response, whichever is later.
func (s *logHealth) unresponsive(started, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastResponse
	if last.Before(started) {
		last = started
	}
	return now.Sub(last) >= startGrace
}

// fetchFromLivePeers fetches the records that live peers have applied and this replica has not.
func (r *Replica) fetchFromLivePeers(ctx context.Context) {
	for _, m := range r.deps.View.Members() {
		if m.Info.ID == r.deps.ID || m.Status != membership.Alive || m.Info.Applied <= r.Applied() {
			continue
		}
		if err := r.fetchFromPeer(ctx, m.Info.ID); err != nil {
			r.deps.Logger.Debug().Str("event", "peer-fetch-failed").Str("peer", m.Info.ID).Err(err).Msg("")
		}
	}
}

// recoverFromPeers fetches the state of the peer with the highest applied offset. It marks this
// replica ready once it has reached the applied offset of every peer that responds. rounds is the
// number of rounds of queries so far, with this one.
func (r *Replica) recoverFromPeers(ctx context.Context, rounds int) {
	positions, unreachable := r.queryPositions(ctx)
	best, ready := "", false
	var highest platform.Offset
	for id, p := range positions {
		ready = ready || p.Ready
		if p.Recovered && (best == "" || p.Applied > highest) {
			best, highest = id, p.Applied
		}
	}
	if best == "" {
		return
	}
	if applied, recovered, _ := r.position(); !recovered || applied < highest {
		if err := r.fetchFromPeer(ctx, best); err != nil {
			r.deps.Logger.Warn().Str("event", "peer-recovery-failed").Str("peer", best).Err(err).Msg("")
			return
		}
	}
	// Peers that are not ready themselves may lack records that took effect, so at least one peer must
	// be ready.
	if !ready || unreachable > 0 && rounds < minQueryRounds {
		return
	}
	applied, recovered, failure := r.position()
	if recovered && failure == nil && applied >= highest && applied >= r.highestAlivePeer() {
		r.markReady()
	}
}

// queryPositions asks all peers concurrently for their positions. It returns the responses by id and
// the number of peers that did not respond.
func (r *Replica) queryPositions(ctx context.Context) (map[string]PositionReply, int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	positions := make(map[string]PositionReply)
	peers := r.deps.Peers.Peers()
	for _, id := range peers {
		group.Go(func() {
			var reply PositionReply
			if r.call(ctx, id, "Position", &PositionArgs{}, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			positions[id] = reply
		})
	}
	group.Wait()
	return positions, len(peers) - len(positions)
}

// fetchFromPeer brings this replica to the position of a peer. It fetches the missing entries if the
// peer still keeps them, and otherwise the whole state.
func (r *Replica) fetchFromPeer(ctx context.Context, id string) error {
	if _, recovered, failure := r.position(); recovered && failure == nil {
		done, err := r.fetchTail(ctx, id)
		if done || err != nil {
			return err
		}
	}
	return r.fetchState(ctx, id)
}

// fetchTail fetches and applies entries until the peer has no more. It returns false if the peer no
// longer keeps the next entry.
func (r *Replica) fetchTail(ctx context.Context, id string) (bool, error) {
	for {
		var reply TailReply
		if err := r.call(ctx, id, "Tail", &TailArgs{From: r.Applied() + 1}, &reply); err != nil {
			return false, err
		}
		if reply.Gone {
			return false, nil
		}
		if len(reply.Entries) == 0 {
			return true, nil
		}
		if err := r.applyEntries(reply.Entries); err != nil {
			return false, err
		}
		r.metrics.recordsFromPeers.Add(len(reply.Entries))
	}
}

// fetchState copies the whole state of a peer and installs it if it is newer.
func (r *Replica) fetchState(ctx context.Context, id string) error {
	var reply StateReply
	if err := r.call(ctx, id, "State", &StateArgs{}, &reply); err != nil {
		return err
	}
	s, err := state.DecodeSnapshot(reply.Data)
	if err != nil {
		return eris.Wrapf(err, "decode the state of peer %s", id)
	}
	if s.Applied != reply.Applied {
		return eris.Wrapf(state.ErrSnapshotFormat, "peer %s sent offset %d, the state has %d", id, reply.Applied, s.Applied)
	}
	r.metrics.stateCopies.Inc()
	if r.install(s, "peer "+id) {
		r.mu.Lock()
		r.snapshots.recoveryPoint = reply.Snapshots
		r.mu.Unlock()
	}
	return nil
}

func (r *Replica) call(ctx context.Context, id, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return r.deps.Peers.Call(ctx, id, receiverName+"."+method, args, reply)
}
