// Package relay sends the records of all instances through the leader, which stores them in
// common appends. A slow log takes a few appends a second only, however many instances there
// are. When the leader does not answer, an instance stores its records by itself.
package relay

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

const (
	// service names the relay in calls between instances.
	service = "Relay"
	// dialTimeout is some hundred times the way between zones.
	dialTimeout = 300 * time.Millisecond
	// hubTimeout is how long the leader may answer no call at all. A slow log takes some hundred
	// milliseconds for an append, and a record may have to wait for the one before.
	hubTimeout = 1500 * time.Millisecond
	// storeTimeout bounds a store at the leader, past the deadlines of callers.
	storeTimeout = 4 * time.Second
	// hubPause is how long a leader that did not answer is left out.
	hubPause = time.Second
)

// Outcome is what became of records at the leader.
type Outcome int

// Outcomes of a store.
const (
	// Stored records are in the log.
	Stored Outcome = iota
	// NotStored records certainly are not, and never will be.
	NotStored
	// Unknown records may be.
	Unknown
	// NotLeader means that the instance has not tried, because it does not lead.
	NotLeader
)

// StoreArgs is a call to store records.
type StoreArgs struct{ Records []ledger.Record }

// StoreReply is the answer.
type StoreReply struct {
	Outcome Outcome
	Reason  string
}

// Server stores the records of other instances while this one leads.
type Server struct {
	store ledger.Storer
	leads func() bool
}

// Store is called by other instances.
func (s *Server) Store(args StoreArgs, reply *StoreReply) error {
	if !s.leads() {
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

// Serve answers calls on a listener until it is closed.
func Serve(listener net.Listener, store ledger.Storer, leads func() bool) error {
	server := rpc.NewServer()
	if err := server.RegisterName(service, &Server{store: store, leads: leads}); err != nil {
		return eris.Wrap(err, "register the relay")
	}
	go server.Accept(listener)
	return nil
}

// Writer stores records through the leader, or by itself.
type Writer struct {
	direct ledger.Storer
	// leader returns the leader's relay address; empty if there is none or it is this instance.
	leader func() string
	logger *log.Logger

	mu      sync.Mutex
	address string
	client  *rpc.Client
	badTill time.Time
	// replied is when the leader last answered a call: one that answers others is slow, not gone.
	replied time.Time
}

// NewWriter returns a writer without a connection.
func NewWriter(direct ledger.Storer, leader func() string, logger *log.Logger) *Writer {
	return &Writer{direct: direct, leader: leader, logger: logger}
}

// Write stores records. Records of the system name their subject by key, so that storing them
// twice, through the leader and by this instance, has one effect.
func (w *Writer) Write(ctx context.Context, records []ledger.Record) error {
	outcome := w.viaLeader(ctx, records)
	switch outcome {
	case Stored:
		return nil
	case NotStored:
		return eris.Wrap(ledger.ErrUnavailable, "refused at the leader")
	}
	err := w.direct.Write(ctx, records)
	if outcome == Unknown && errors.Is(err, ledger.ErrUnavailable) {
		return eris.Wrap(ledger.ErrUnknownOutcome, "the leader may have stored it: "+err.Error())
	}
	return err
}

func (w *Writer) viaLeader(ctx context.Context, records []ledger.Record) Outcome {
	address := w.leader()
	if address == "" {
		return NotLeader
	}
	client, err := w.connect(address)
	if err != nil {
		w.drop(nil, err)
		return NotLeader
	}
	if client == nil {
		return NotLeader
	}
	var reply StoreReply
	call := client.Go(service+".Store", StoreArgs{Records: records}, &reply, make(chan *rpc.Call, 1))
	silence := time.NewTimer(hubTimeout)
	defer silence.Stop()
	for {
		select {
		case <-call.Done:
			if call.Error != nil {
				w.drop(client, call.Error)
				return Unknown
			}
			w.noteReply()
			return reply.Outcome
		case <-ctx.Done():
			return Unknown
		case <-silence.C:
			left := hubTimeout - w.sinceReply()
			if left <= 0 {
				w.drop(client, errSilent)
				return Unknown
			}
			silence.Reset(left)
		}
	}
}

// errSilent means that the leader has answered nobody for too long.
var errSilent = errors.New("relay: leader is silent")

func (w *Writer) noteReply() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replied = time.Now()
}

func (w *Writer) sinceReply() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.replied)
}

// connect returns a connection to the leader; nil while it is left out.
func (w *Writer) connect(address string) (*rpc.Client, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.client != nil && w.address == address {
		return w.client, nil
	}
	if w.address == address && time.Now().Before(w.badTill) {
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

// drop closes a connection on which a call failed and leaves the leader out for a while.
func (w *Writer) drop(client *rpc.Client, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.badTill = time.Now().Add(hubPause)
	if client != nil && client == w.client {
		w.client.Close()
		w.client = nil
	}
	w.logger.Warn().Str("leader", w.address).Err(cause).Msg("leader does not store, storing directly")
}
