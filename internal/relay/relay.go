// Package relay sends the records of the other instances to the leader, which combines them into common
// appends: a slow log accepts only a few appends per second in total, whatever the number of instances.
// When the leader does not respond, an instance appends its records to the log directly.
package relay

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/clients"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

const (
	// service is the name of the RPC service.
	service = "Relay"
	// dialTimeout is a few hundred times the network latency between zones.
	dialTimeout = 300 * time.Millisecond
	// leaderTimeout is the time without a response to any call after which the leader is considered
	// unreachable. A slow log takes a few hundred milliseconds for an append, and a record may have to
	// wait for the append before it.
	leaderTimeout = 1500 * time.Millisecond
	// storeTimeout limits a call to Store at the leader. It is longer than the default deadline of callers
	// (3 s).
	storeTimeout = 4 * time.Second
	// leaderBackoff is how long no records are sent to a leader after a call to it failed.
	leaderBackoff = time.Second
)

// Outcome is the result of a call to Server.Store.
type Outcome int

// Outcomes of Server.Store.
const (
	// Stored means that the records are in the log.
	Stored Outcome = iota
	// NotStored means that the log is unavailable or rejected the records: the leader reports that they are
	// not in the log and will not be added to it.
	NotStored
	// Unknown means that the records may be in the log, or may still be added to it.
	Unknown
	// NotLeader means that nothing was attempted because the instance is not the leader. As the result of
	// viaLeader, it can also mean that nothing was sent.
	NotLeader
)

// StoreArgs are the arguments of Server.Store.
type StoreArgs struct{ Records []ledger.Record }

// StoreReply is the reply of Server.Store. Reason is the text of the error, or empty.
type StoreReply struct {
	Outcome Outcome
	Reason  string
}

// Server is the RPC service that stores the records of other instances while this one is the leader.
type Server struct {
	store    ledger.Storer
	isLeader func() bool
	// awaitEnd is election.Elector.AwaitEnd.
	awaitEnd func(ctx context.Context, term election.LeaderTerm) election.EndState
	explain  ExplainFunc
}

// Store stores the records of another instance and reports the outcome in reply. It always returns nil.
func (s *Server) Store(args StoreArgs, reply *StoreReply) error {
	if !s.isLeader() {
		reply.Outcome = NotLeader
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err := s.store.Write(ctx, args.Records)
	switch {
	case err == nil:
		reply.Outcome = Stored
	case errors.Is(err, ledger.ErrUnavailable), errors.Is(err, ledger.ErrRejected):
		reply.Outcome, reply.Reason = NotStored, err.Error()
	default:
		reply.Outcome, reply.Reason = Unknown, err.Error()
	}
	return nil
}

// Limits are the limits of the relay's server.
type Limits struct {
	// MaxConns is the maximum number of connections; 0 for a default. Each other instance has two, and a third one during an explanation.
	MaxConns int
	// Refused is called for each connection that is closed because of a limit.
	Refused func(clients.Cause)
}

// Serve starts to accept connections on a listener in the background, until the listener is closed.
func Serve(listener net.Listener, store ledger.Storer, isLeader func() bool, awaitEnd func(context.Context, election.LeaderTerm) election.EndState, explain ExplainFunc, limits Limits) error {
	server := rpc.NewServer()
	if err := server.RegisterName(service, &Server{store: store, isLeader: isLeader, awaitEnd: awaitEnd, explain: explain}); err != nil {
		return eris.Wrap(err, "register the relay's RPC service")
	}
	g := &guard{maxConns: cmp.Or(limits.MaxConns, defaultMaxConns), refused: limits.Refused}
	go g.accept(listener, server)
	return nil
}

// Writer stores records through the leader, or directly if that is not possible.
type Writer struct {
	direct ledger.Storer
	// leader returns the leader's relay address. It is empty if there is no leader or if this instance
	// is the leader.
	leader func() string
	logger *log.Logger

	mu sync.Mutex
	// address is the address of the last leader, client the connection to it or nil.
	address string
	client  *rpc.Client
	// backoffUntil is when records may be sent to the leader at address again.
	backoffUntil time.Time
	// lastResponseAt is when the leader last responded to any call. A leader that responds to other calls is
	// slow, but not unreachable.
	lastResponseAt time.Time
}

// NewWriter returns a writer. It connects to the leader at the first write.
func NewWriter(direct ledger.Storer, leader func() string, logger *log.Logger) *Writer {
	return &Writer{direct: direct, leader: leader, logger: logger}
}

// Write stores records. If the outcome at the leader is unknown, the records are also stored directly. A
// record replaces the one with the same key, so storing it twice has no further effect unless another
// record of the key was stored in between. Write returns the errors of ledger.Storer; records that the log
// rejected at the leader are reported as ErrUnavailable.
func (w *Writer) Write(ctx context.Context, records []ledger.Record) error {
	outcome := w.viaLeader(ctx, records)
	switch outcome {
	case Stored:
		return nil
	case NotStored:
		return eris.Wrap(ledger.ErrUnavailable, "leader could not store the records")
	}
	err := w.direct.Write(ctx, records)
	if outcome == Unknown && errors.Is(err, ledger.ErrUnavailable) {
		return eris.Wrap(ledger.ErrUnknownOutcome, "leader may have stored the records; direct write failed: "+err.Error())
	}
	return err
}

// viaLeader sends records to the leader and returns the outcome. NotLeader means that the receiver is not
// the leader or that nothing was sent: there is no other instance that leads, it cannot be reached, or the
// backoff lasts.
func (w *Writer) viaLeader(ctx context.Context, records []ledger.Record) Outcome {
	address := w.leader()
	if address == "" {
		return NotLeader
	}
	client, err := w.connect(address)
	if err != nil {
		w.recordFailure(nil, err)
		return NotLeader
	}
	if client == nil {
		return NotLeader
	}
	var reply StoreReply
	call := client.Go(service+".Store", StoreArgs{Records: records}, &reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(leaderTimeout)
	defer timer.Stop()
	for {
		select {
		case <-call.Done:
			if call.Error != nil {
				w.recordFailure(client, call.Error)
				return Unknown
			}
			w.recordResponse()
			return reply.Outcome
		case <-ctx.Done():
			return Unknown
		case <-timer.C:
			remaining := leaderTimeout - w.timeSinceResponse()
			if remaining <= 0 {
				w.recordFailure(client, errUnreachable)
				return Unknown
			}
			timer.Reset(remaining)
		}
	}
}

// errUnreachable means that the leader has responded to no call for leaderTimeout.
var errUnreachable = errors.New("relay: leader unreachable: no response to any call")

func (w *Writer) recordResponse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastResponseAt = time.Now()
}

func (w *Writer) timeSinceResponse() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastResponseAt)
}

// connect returns a connection to the leader, or nil during the backoff after a failure.
func (w *Writer) connect(address string) (*rpc.Client, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.client != nil && w.address == address {
		return w.client, nil
	}
	if w.address == address && time.Now().Before(w.backoffUntil) {
		return nil, nil
	}
	if w.client != nil {
		w.client.Close()
	}
	w.address, w.client = address, nil
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	w.client = rpc.NewClient(conn)
	return w.client, nil
}

// recordFailure starts the backoff for the leader that the writer last connected to, even if the failed call
// was to an earlier leader. It closes the connection if client, on which the call failed, is the current
// one; client is nil if connecting failed.
func (w *Writer) recordFailure(client *rpc.Client, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backoffUntil = time.Now().Add(leaderBackoff)
	if client != nil && client == w.client {
		w.client.Close()
		w.client = nil
	}
	w.logger.Warn().Str("leader", w.address).Err(cause).Msg("cannot store records through the leader; storing them directly")
}
