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

// rpcName is the name of the net/rpc receiver.
const rpcName = "Replica"

const (
	// catchUpPeriod is how often the replica compares itself with its peers.
	catchUpPeriod = 250 * time.Millisecond
	// catchUpAfter is how long a peer may be ahead before its tail is fetched. Within it the
	// log normally brings the same records.
	catchUpAfter = 500 * time.Millisecond
	// peerTimeout bounds one call of a peer.
	peerTimeout = 2 * time.Second
	// startGrace is how long a fresh instance waits for the log before it asks peers.
	startGrace = time.Second
	// minQueryRounds is how many rounds of questions a peer may leave unanswered before a fresh
	// instance becomes ready without it while the log is down.
	minQueryRounds = 3
	// maxTailEntries bounds the entries of one answer.
	maxTailEntries = 500
)

// errNotRecovered is returned to peers while this instance has no state to copy.
var errNotRecovered = errors.New("replica: this instance has not recovered its state")

// PositionArgs asks for the position of a replica.
type PositionArgs struct{}

// PositionReply is the position of a replica.
type PositionReply struct {
	Applied platform.Offset
	// Recovered is false if the replica has no state to copy yet.
	Recovered bool
	// Ready is set if the replica's instance may serve with its state.
	Ready bool
}

// StateArgs asks for a copy of the state.
type StateArgs struct{}

// StateReply is a copy of the state at an offset, encoded as a snapshot.
type StateReply struct {
	Applied platform.Offset
	Data    []byte
	// Snapshots is what the peer knows of the snapshots in the log.
	Snapshots RecoveryPoint
}

// TailArgs asks for the entries from an offset on.
type TailArgs struct {
	From platform.Offset
}

// TailReply has entries without gaps that begin at TailArgs.From.
type TailReply struct {
	Entries []platform.Entry
	// Gone is set if the peer no longer keeps the entry at From.
	Gone bool
}

// Receiver has the net/rpc methods of a replica, under the name Replica.
type Receiver struct{ replica *Replica }

// Position tells how far the replica is.
func (c *Receiver) Position(_ *PositionArgs, reply *PositionReply) error {
	reply.Applied, reply.Recovered, _ = c.replica.position()
	reply.Ready = c.replica.IsReady()
	return nil
}

// State returns a copy of the state.
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

// Tail returns entries that the replica keeps.
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

// copyState returns a copy of the state that is safe to encode without the lock.
func (r *Replica) copyState() (*state.State, RecoveryPoint, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.recovered {
		return nil, RecoveryPoint{}, errNotRecovered
	}
	return r.state.Clone(), r.snapshots.recoveryPoint, nil
}

// catchUp compares this replica with its peers until ctx is done.
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
		case r.highestLivePeer() <= r.Applied():
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = now
		case now.Sub(behindSince) >= catchUpAfter:
			r.fetchFromLivePeers(ctx)
		}
	}
}

// needsPeers reports whether the log cannot make this replica ready.
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

// unresponsive reports whether the log has not answered for startGrace.
func (s *logHealth) unresponsive(started, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.lastResponse
	if last.Before(started) {
		last = started
	}
	return now.Sub(last) >= startGrace
}

// fetchFromLivePeers fetches what live members have applied beyond this replica.
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

// recoverFromPeers copies the state of the peer that is furthest, and makes this replica ready
// once it has reached every peer that answers.
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
	// A peer that is not ready itself may lack records that were in force.
	if !ready || unreachable > 0 && rounds < minQueryRounds {
		return
	}
	applied, recovered, failure := r.position()
	if recovered && failure == nil && applied >= highest && applied >= r.highestLivePeer() {
		r.markReady()
	}
}

// queryPositions asks all peers at once. It returns the answers and how many peers were silent.
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

// fetchFromPeer brings this replica to the peer's position, by its tail if that is long enough.
func (r *Replica) fetchFromPeer(ctx context.Context, id string) error {
	if _, recovered, failure := r.position(); recovered && failure == nil {
		done, err := r.fetchTail(ctx, id)
		if done || err != nil {
			return err
		}
	}
	return r.fetchState(ctx, id)
}

// fetchTail fetches entries until the peer has no more. It returns false if the peer no longer
// keeps the next one.
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

// fetchState copies the whole state of a peer.
func (r *Replica) fetchState(ctx context.Context, id string) error {
	var reply StateReply
	if err := r.call(ctx, id, "State", &StateArgs{}, &reply); err != nil {
		return err
	}
	s, err := state.DecodeSnapshot(reply.Data)
	if err != nil {
		return eris.Wrapf(err, "state of peer %s", id)
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
	return r.deps.Peers.Call(ctx, id, rpcName+"."+method, args, reply)
}
