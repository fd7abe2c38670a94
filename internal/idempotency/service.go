package idempotency

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/peer"
)

// ReceiverName is the name of the RPC receiver.
const ReceiverName = "Idempotency"

// recoverPeriod is the retry interval for copying the tables that are missing after a restart.
const recoverPeriod = 500 * time.Millisecond

// Errors of RPCs between replicas.
var (
	// ErrSettingsMismatch means that the two instances have different lists of instances in their
	// settings.
	ErrSettingsMismatch = errors.New("idempotency: the lists of instances in the settings differ")
	// ErrIncomplete means that the other replica has lost its own table in a restart and not yet
	// recovered it.
	ErrIncomplete = errors.New("idempotency: key table is not complete since a restart")
)

// ClaimArgs are the arguments of the RPCs Claim and Release.
type ClaimArgs struct {
	Key   Key
	Claim ClaimID
	// Settings is a hash of the list of instances in the settings of the calling instance.
	Settings uint64
}

// CopyArgs are the arguments of the RPC Copy.
type CopyArgs struct {
	// To is the id of the calling instance. The response has the entries of keys of which that
	// instance is a replica.
	To string
	// Settings is a hash of the list of instances, as in ClaimArgs.
	Settings uint64
}

// Service claims keys for the requests of one instance and serves claims of which the instance is a
// replica. It is safe for concurrent use.
type Service struct {
	id        string
	instances []string
	// instancesHash is a hash of instances, which is compared in each RPC.
	instancesHash uint64
	caller        peer.Caller
	now           func() time.Time

	mu    sync.Mutex
	table *KeyTable
}

// New returns the service of the instance with the given id and registers its RPC receiver. noEarlierGrants is
// described at NewKeyTable. It returns the error of the registration.
func New(id string, caller peer.Caller, registrar peer.Registrar, now func() time.Time, noEarlierGrants bool) (*Service, error) {
	instances := slices.Sorted(slices.Values(append(caller.Peers(), id)))
	s := &Service{
		id: id, instances: instances, caller: caller, now: now,
		instancesHash: xxhash.Sum64String(strings.Join(instances, "\x00")),
		table:         NewKeyTable(id, instances, noEarlierGrants, now()),
	}
	return s, eris.Wrap(registrar.Register(ReceiverName, &receiver{s}), "register idempotency")
}

// KeyCount returns the number of keys in the table of this instance.
func (s *Service) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.KeyCount()
}

// Complete reports whether this instance can grant all keys of which it is a replica; see
// KeyTable.Complete.
func (s *Service) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Complete(s.now())
}

// Claim claims a key at its replicas. On Granted, the request may be dispatched within ClaimValidity.
// On AlreadyClaimed, an earlier request with the key may have run. On Unknown, it is not known whether
// there was one. A claim that is not granted is released.
func (s *Service) Claim(ctx context.Context, key Key) (ClaimID, ClaimResult) {
	args := ClaimArgs{Key: key, Claim: ClaimID(uuid.New()), Settings: s.instancesHash}
	replicas := ReplicasOf(key, s.instances)
	quorum := NewQuorum(replicas, s.now())
	callCtx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	type response struct {
		replica string
		result  ClaimResult
	}
	responses := make(chan response, len(replicas))
	for _, replica := range replicas {
		go func() { responses <- response{replica, s.claimAt(callCtx, replica, args)} }()
	}
	for range replicas {
		r := <-responses
		quorum.Add(s.now(), r.replica, r.result)
		if result, decided := quorum.Result(); decided {
			if result != Granted {
				s.Release(key, args.Claim)
			}
			return args.Claim, result
		}
	}
	// Not reached: once all replicas have responded, the result is decided.
	s.Release(key, args.Claim)
	return args.Claim, Unknown
}

// claimAt claims a key at one replica. It returns Unknown if the call fails.
func (s *Service) claimAt(ctx context.Context, replica string, args ClaimArgs) ClaimResult {
	result := Unknown
	if replica == s.id {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table.Claim(s.now(), args.Key, args.Claim)
	}
	if err := s.caller.Call(ctx, replica, ReceiverName+".Claim", args, &result); err != nil {
		return Unknown
	}
	return result
}

// Release withdraws a claim whose request was certainly not dispatched. It does not wait for the
// replicas. If a call fails, the replica keeps the grant, and a request that is sent again with the
// same key can get an unknown outcome.
func (s *Service) Release(key Key, claim ClaimID) {
	args := ClaimArgs{Key: key, Claim: claim, Settings: s.instancesHash}
	for _, replica := range ReplicasOf(key, s.instances) {
		if replica == s.id {
			s.mu.Lock()
			s.table.Release(key, claim)
			s.mu.Unlock()
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), ClaimTimeout)
			defer cancel()
			var done bool
			_ = s.caller.Call(ctx, replica, ReceiverName+".Release", args, &done)
		}()
	}
}

// Recover runs until ctx is done. While the table is not complete after a restart, it copies the
// missing entries from other replicas. It always returns nil.
func (s *Service) Recover(ctx context.Context) error {
	ticker := time.NewTicker(recoverPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.mu.Lock()
		missing := s.table.MissingCopies(s.now())
		s.mu.Unlock()
		for _, id := range missing {
			s.copyFrom(ctx, id)
		}
	}
}

// copyFrom copies the entries of one other instance. After a failure, Recover tries again.
func (s *Service) copyFrom(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	var entries []Entry
	args := CopyArgs{To: s.id, Settings: s.instancesHash}
	if err := s.caller.Call(ctx, id, ReceiverName+".Copy", args, &entries); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(s.now(), id, entries)
}

// receiver has the RPC methods.
type receiver struct{ s *Service }

// Claim claims a key at this replica.
func (r *receiver) Claim(args ClaimArgs, result *ClaimResult) error {
	if args.Settings != r.s.instancesHash {
		return ErrSettingsMismatch
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	*result = r.s.table.Claim(r.s.now(), args.Key, args.Claim)
	return nil
}

// Release removes the grant of a claim at this replica.
func (r *receiver) Release(args ClaimArgs, done *bool) error {
	if args.Settings != r.s.instancesHash {
		return ErrSettingsMismatch
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.table.Release(args.Key, args.Claim)
	*done = true
	return nil
}

// Copy returns the entries of keys of which the calling instance is a replica too.
func (r *receiver) Copy(args CopyArgs, entries *[]Entry) error {
	if args.Settings != r.s.instancesHash {
		return ErrSettingsMismatch
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	copied, complete := r.s.table.EntriesFor(r.s.now(), args.To)
	if !complete {
		return ErrIncomplete
	}
	*entries = copied
	return nil
}
