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

// ReceiverName is the name of the rpc receiver.
const ReceiverName = "Idempotency"

// recoverPeriod is the period of attempts to copy missing tables.
const recoverPeriod = 500 * time.Millisecond

// Errors of calls between homes.
var (
	// ErrSettingsMismatch means that the other side has other instances in its settings.
	ErrSettingsMismatch = errors.New("idempotency: the lists of instances in the settings differ")
	// ErrIncomplete means that the other home has lost its own table and not yet copied it.
	ErrIncomplete = errors.New("idempotency: table is not complete")
)

// ClaimArgs asks a home for a key, or gives it back.
type ClaimArgs struct {
	Key   Key
	Claim ClaimID
	// Settings is the digest of the list of instances in the caller's settings.
	Settings uint64
}

// CopyArgs asks a home for the entries that it shares with another one.
type CopyArgs struct {
	To       string
	Settings uint64
}

// Service claims keys for this instance and is a home for the keys of others.
type Service struct {
	id             string
	instances      []string
	settingsDigest uint64
	caller         peer.Caller
	now            func() time.Time

	mu    sync.Mutex
	table *KeyTable
}

// New returns the service of an instance and registers its rpc receiver. assured is
// described at NewHome.
func New(id string, caller peer.Caller, registrar peer.Registrar, now func() time.Time, noEarlierGrants bool) (*Service, error) {
	instances := slices.Sorted(slices.Values(append(caller.Peers(), id)))
	s := &Service{
		id: id, instances: instances, caller: caller, now: now,
		settingsDigest: xxhash.Sum64String(strings.Join(instances, "\x00")),
		table:          NewKeyTable(id, instances, noEarlierGrants, now()),
	}
	return s, eris.Wrap(registrar.Register(ReceiverName, &receiver{s}), "register idempotency")
}

// KeyCount returns the number of keys that this home holds.
func (s *Service) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.KeyCount()
}

// Complete reports whether this home can vouch for all its keys.
func (s *Service) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Complete(s.now())
}

// Claim asks the homes of a key for it. On Granted the request may be dispatched for
// UseLimit; on Held an earlier request with the key may have run; on Unvouched that is not
// known. A claim that is not granted is given back.
func (s *Service) Claim(ctx context.Context, key Key) (ClaimID, ClaimResult) {
	args := ClaimArgs{Key: key, Claim: ClaimID(uuid.New()), Settings: s.settingsDigest}
	replicas := ReplicasOf(key, s.instances)
	quorum := NewQuorum(replicas, s.now())
	callCtx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	type reply struct {
		replica string
		result  ClaimResult
	}
	replies := make(chan reply, len(replicas))
	for _, replica := range replicas {
		go func() { replies <- reply{replica, s.claimAt(callCtx, replica, args)} }()
	}
	for range replicas {
		r := <-replies
		quorum.Add(s.now(), r.replica, r.result)
		if result, decided := quorum.Result(); decided {
			if result != Granted {
				s.Release(key, args.Claim)
			}
			return args.Claim, result
		}
	}
	s.Release(key, args.Claim)
	return args.Claim, Unknown
}

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

// Release gives a claim back whose request certainly did not run. It does not wait for the
// homes; if a message is lost, the key stays held and a resend gets an unknown outcome.
func (s *Service) Release(key Key, claim ClaimID) {
	args := ClaimArgs{Key: key, Claim: claim, Settings: s.settingsDigest}
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

// Recover copies the tables that a restarted home lacks, until ctx is done.
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

func (s *Service) copyFrom(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	var entries []Entry
	args := CopyArgs{To: s.id, Settings: s.settingsDigest}
	if err := s.caller.Call(ctx, id, ReceiverName+".Copy", args, &entries); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(s.now(), id, entries)
}

// receiver has the rpc methods.
type receiver struct{ s *Service }

// Claim answers a claim.
func (r *receiver) Claim(args ClaimArgs, result *ClaimResult) error {
	if args.Settings != r.s.settingsDigest {
		return ErrSettingsMismatch
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	*result = r.s.table.Claim(r.s.now(), args.Key, args.Claim)
	return nil
}

// Release forgets a claim.
func (r *receiver) Release(args ClaimArgs, done *bool) error {
	if args.Settings != r.s.settingsDigest {
		return ErrSettingsMismatch
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	r.s.table.Release(args.Key, args.Claim)
	*done = true
	return nil
}

// Copy returns the entries shared with another home.
func (r *receiver) Copy(args CopyArgs, entries *[]Entry) error {
	if args.Settings != r.s.settingsDigest {
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
