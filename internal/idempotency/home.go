// Package idempotency grants each idempotency key to at most one dispatch. Every key has
// five home instances, and a dispatch needs the grants of a majority of them. The tables
// are in memory; a home that lost its table grants nothing until it has copied it back.
package idempotency

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/admission"
)

const (
	// Retention is how long a key is protected from its first grant.
	Retention = 10 * time.Minute
	// ClaimTimeout is the longest time between the start of a claim and the grant that
	// completes it; later grants are not used.
	ClaimTimeout = time.Second
	// settleTime is the wait of a restarted home before it copies tables. After it, claims
	// that its last run granted are complete or void. It exceeds ClaimTimeout to allow for
	// clocks that run at different speeds.
	settleTime = ClaimTimeout + ClaimTimeout/2
	// ClaimValidity is how long after its claim a request may be dispatched. The margin to
	// Retention covers a pause between the check and the dispatch.
	ClaimValidity = Retention - time.Minute
	// homeCount is the number of homes of a key. With five, any two instances may be down or
	// restarted and keys are still granted. With three, a load run of six instances that lost
	// two answered a fifth of the keyed requests with an unknown outcome.
	homeCount = 5
	// maxKeys bounds the table of one home. At 64 bytes a key it stays below 20 MB.
	maxKeys = 200_000
)

// Key identifies an idempotency key of one caller.
type Key [16]byte

// KeyOf returns the key of a caller's idempotency key. Equal texts of different callers are
// different keys.
func KeyOf(f admission.Flow, text string) Key {
	sum := sha256.Sum256([]byte(f.Organisation + "\x00" + f.Caller + "\x00" + text))
	return Key(sum[:len(Key{})])
}

// ClaimID identifies one claim. Each request that wants a key uses a new one.
type ClaimID [16]byte

// ClaimResult is a home's answer to a claim.
type ClaimResult int

// Answers to a claim.
const (
	// Unknown means that the home cannot tell whether the key was granted, or is full.
	Unknown ClaimResult = iota
	// Granted means that the key is held for this claim.
	Granted
	// AlreadyClaimed means that the key is held for another claim.
	AlreadyClaimed
)

// Entry is one granted key in a copy of a table.
type Entry struct {
	Key   Key
	Claim ClaimID
	Age   time.Duration
}

type holding struct {
	claim ClaimID
	at    time.Time
}

// KeyTable is the table of one instance. It is pure and not safe for concurrent use.
type KeyTable struct {
	id        string
	instances []string
	started   time.Time
	assured   bool
	copied    map[string]bool
	holdings  map[Key]holding
	// order has the keys by time of grant, to expire them.
	order []Entry
	first time.Time
}

// NewKeyTable returns the empty table of an instance that starts now. instances are all in the
// settings. assured states that no key was granted by an earlier run in the last Retention.
func NewKeyTable(id string, instances []string, assured bool, now time.Time) *KeyTable {
	return &KeyTable{
		id: id, instances: slices.Sorted(slices.Values(instances)), started: now, assured: assured,
		copied: make(map[string]bool), holdings: make(map[Key]holding),
	}
}

// ReplicasOf returns the homes of a key by rendezvous hash over all instances in the settings.
func ReplicasOf(key Key, instances []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	ranked := make([]scored, len(instances))
	for i, id := range instances {
		ranked[i] = scored{id, xxhash.Sum64String(string(key[:]) + id)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	homes := make([]string, 0, homeCount)
	for _, r := range ranked[:min(homeCount, len(ranked))] {
		homes = append(homes, r.id)
	}
	return homes
}

// Majority returns the number of grants that a dispatch needs.
func Majority(homes int) int { return homes/2 + 1 }

// Claim is the test-and-set of a key. A repeated claim gets the same answer.
func (h *KeyTable) Claim(now time.Time, key Key, claim ClaimID) ClaimResult {
	h.expire(now)
	if held, known := h.holdings[key]; known {
		if held.claim == claim {
			return Granted
		}
		return AlreadyClaimed
	}
	if !h.vouches(now, key) || len(h.order) >= maxKeys {
		return Unknown
	}
	h.hold(key, claim, now)
	return Granted
}

// Release forgets a key whose claimant certainly did not and will not dispatch.
func (h *KeyTable) Release(key Key, claim ClaimID) {
	if h.holdings[key].claim == claim {
		delete(h.holdings, key)
	}
}

// vouches reports whether the table knows all valid grants of a key.
func (h *KeyTable) vouches(now time.Time, key Key) bool {
	if h.assured || now.Sub(h.started) >= Retention {
		return true
	}
	homes := ReplicasOf(key, h.instances)
	copies := 0
	for _, id := range homes {
		if h.copied[id] {
			copies++
		}
	}
	// A home without others has nobody to copy from.
	return len(homes) > 1 && copies >= copiesNeeded(len(homes))
}

// copiesNeeded returns how many other homes a restarted home must copy. A granted key is held
// by a majority of the homes, this one perhaps among them. So many copies leave out at most
// Majority-2 other homes, which is fewer than hold the key.
func copiesNeeded(homes int) int { return homes - Majority(homes) + 1 }

// Complete reports whether the table knows all valid grants of all its keys.
func (h *KeyTable) Complete(now time.Time) bool {
	if h.assured || now.Sub(h.started) >= Retention {
		return true
	}
	homes := min(homeCount, len(h.instances))
	notCopied := len(h.instances) - 1 - len(h.copied)
	return len(h.instances) > 1 && notCopied <= homes-1-copiesNeeded(homes)
}

// MissingCopies returns the instances whose tables should be copied now.
func (h *KeyTable) MissingCopies(now time.Time) []string {
	if now.Sub(h.started) < settleTime || h.Complete(now) {
		return nil
	}
	var missing []string
	for _, id := range h.instances {
		if id != h.id && !h.copied[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// EntriesFor returns the entries whose keys have the named instance as another home. It returns
// false if this table is not complete itself.
func (h *KeyTable) EntriesFor(now time.Time, to string) ([]Entry, bool) {
	if !h.Complete(now) {
		return nil, false
	}
	h.expire(now)
	var entries []Entry
	for key, held := range h.holdings {
		if slices.Contains(ReplicasOf(key, h.instances), to) {
			entries = append(entries, Entry{Key: key, Claim: held.claim, Age: now.Sub(held.at)})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(b.Age, a.Age) })
	return entries, true
}

// Merge takes the copy of another home's table. The copy must have been asked for after
// Missing named that home.
func (h *KeyTable) Merge(now time.Time, from string, entries []Entry) {
	for _, e := range entries {
		if _, known := h.holdings[e.Key]; !known {
			h.hold(e.Key, e.Claim, now.Add(-e.Age))
		}
	}
	h.copied[from] = true
}

// KeyCount returns the number of keys held.
func (h *KeyTable) KeyCount() int { return len(h.holdings) }

func (h *KeyTable) hold(key Key, claim ClaimID, at time.Time) {
	if h.first.IsZero() {
		h.first = at
	}
	h.holdings[key] = holding{claim: claim, at: at}
	h.order = append(h.order, Entry{Key: key, Claim: claim, Age: at.Sub(h.first)})
}

// expire forgets keys older than Retention. Copied keys may be out of order; those behind a
// younger one are forgotten later, which is safe.
func (h *KeyTable) expire(now time.Time) {
	n := 0
	for ; n < len(h.order); n++ {
		e := h.order[n]
		if now.Sub(h.first.Add(e.Age)) < Retention {
			break
		}
		if h.holdings[e.Key].claim == e.Claim {
			delete(h.holdings, e.Key)
		}
	}
	h.order = h.order[n:]
}

// Quorum collects the answers to one claim.
type Quorum struct {
	homes   []string
	started time.Time
	answers map[string]ClaimResult
}

// NewQuorum returns the attempt of a claim that starts now.
func NewQuorum(homes []string, now time.Time) *Quorum {
	return &Quorum{homes: homes, started: now, answers: make(map[string]ClaimResult)}
}

// Add takes the answer of a home. A grant that comes after ClaimTimeout does not count.
func (a *Quorum) Add(now time.Time, home string, answer ClaimResult) {
	if answer == Granted && now.Sub(a.started) >= ClaimTimeout {
		answer = Unknown
	}
	a.answers[home] = answer
}

// Result returns Granted or Held if a majority of the homes said so, otherwise Unvouched.
// decided is false while further answers may change it.
func (a *Quorum) Result() (result ClaimResult, decided bool) {
	counts := make(map[ClaimResult]int)
	for _, answer := range a.answers {
		counts[answer]++
	}
	need := Majority(len(a.homes))
	open := len(a.homes) - len(a.answers)
	switch {
	case counts[Granted] >= need:
		return Granted, true
	case counts[AlreadyClaimed] >= need:
		return AlreadyClaimed, true
	default:
		hopeless := counts[Granted]+open < need && counts[AlreadyClaimed]+open < need
		return Unknown, open == 0 || hopeless
	}
}
