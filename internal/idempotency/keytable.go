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
	// copyDelay is the wait of a restarted home before it copies tables. After it, claims
	// that its last run granted are complete or void. It exceeds ClaimTimeout to allow for
	// clocks that run at different speeds.
	copyDelay = ClaimTimeout + ClaimTimeout/2
	// ClaimValidity is how long after its claim a request may be dispatched. The margin to
	// Retention covers a pause between the check and the dispatch.
	ClaimValidity = Retention - time.Minute
	// replicaCount is the number of homes of a key. With five, any two instances may be down or
	// restarted and keys are still granted. With three, a load run of six instances that lost
	// two answered a fifth of the keyed requests with an unknown outcome.
	replicaCount = 5
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

type grant struct {
	claim     ClaimID
	grantedAt time.Time
}

// KeyTable is the table of one instance. It is pure and not safe for concurrent use.
type KeyTable struct {
	id              string
	instances       []string
	startedAt       time.Time
	noEarlierGrants bool
	copiedFrom      map[string]bool
	grants          map[Key]grant
	// byGrantTime has the keys by time of grant, to expire them.
	byGrantTime []Entry
	firstGrant  time.Time
}

// NewKeyTable returns the empty table of an instance that starts now. instances are all in the
// settings. assured states that no key was granted by an earlier run in the last Retention.
func NewKeyTable(id string, instances []string, noEarlierGrants bool, now time.Time) *KeyTable {
	return &KeyTable{
		id: id, instances: slices.Sorted(slices.Values(instances)), startedAt: now, noEarlierGrants: noEarlierGrants,
		copiedFrom: make(map[string]bool), grants: make(map[Key]grant),
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
	replicas := make([]string, 0, replicaCount)
	for _, r := range ranked[:min(replicaCount, len(ranked))] {
		replicas = append(replicas, r.id)
	}
	return replicas
}

// Majority returns the number of grants that a dispatch needs.
func Majority(replicas int) int { return replicas/2 + 1 }

// Claim is the test-and-set of a key. A repeated claim gets the same answer.
func (t *KeyTable) Claim(now time.Time, key Key, claim ClaimID) ClaimResult {
	t.expire(now)
	if existing, known := t.grants[key]; known {
		if existing.claim == claim {
			return Granted
		}
		return AlreadyClaimed
	}
	if !t.completeFor(now, key) || len(t.byGrantTime) >= maxKeys {
		return Unknown
	}
	t.recordGrant(key, claim, now)
	return Granted
}

// Release forgets a key whose claimant certainly did not and will not dispatch.
func (t *KeyTable) Release(key Key, claim ClaimID) {
	if t.grants[key].claim == claim {
		delete(t.grants, key)
	}
}

// completeFor reports whether the table knows all valid grants of a key.
func (t *KeyTable) completeFor(now time.Time, key Key) bool {
	if t.noEarlierGrants || now.Sub(t.startedAt) >= Retention {
		return true
	}
	replicas := ReplicasOf(key, t.instances)
	copies := 0
	for _, id := range replicas {
		if t.copiedFrom[id] {
			copies++
		}
	}
	// A home without others has nobody to copy from.
	return len(replicas) > 1 && copies >= requiredCopies(len(replicas))
}

// requiredCopies returns how many other homes a restarted home must copy. A granted key is held
// by a majority of the homes, this one perhaps among them. So many copies leave out at most
// Majority-2 other homes, which is fewer than hold the key.
func requiredCopies(replicas int) int { return replicas - Majority(replicas) + 1 }

// Complete reports whether the table knows all valid grants of all its keys.
func (t *KeyTable) Complete(now time.Time) bool {
	if t.noEarlierGrants || now.Sub(t.startedAt) >= Retention {
		return true
	}
	replicas := min(replicaCount, len(t.instances))
	notCopied := len(t.instances) - 1 - len(t.copiedFrom)
	return len(t.instances) > 1 && notCopied <= replicas-1-requiredCopies(replicas)
}

// MissingCopies returns the instances whose tables should be copied now.
func (t *KeyTable) MissingCopies(now time.Time) []string {
	if now.Sub(t.startedAt) < copyDelay || t.Complete(now) {
		return nil
	}
	var missing []string
	for _, id := range t.instances {
		if id != t.id && !t.copiedFrom[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// EntriesFor returns the entries whose keys have the named instance as another home. It returns
// false if this table is not complete itself.
func (t *KeyTable) EntriesFor(now time.Time, replica string) ([]Entry, bool) {
	if !t.Complete(now) {
		return nil, false
	}
	t.expire(now)
	var entries []Entry
	for key, g := range t.grants {
		if slices.Contains(ReplicasOf(key, t.instances), replica) {
			entries = append(entries, Entry{Key: key, Claim: g.claim, Age: now.Sub(g.grantedAt)})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(b.Age, a.Age) })
	return entries, true
}

// Merge takes the copy of another home's table. The copy must have been asked for after
// Missing named that home.
func (t *KeyTable) Merge(now time.Time, from string, entries []Entry) {
	for _, e := range entries {
		if _, known := t.grants[e.Key]; !known {
			t.recordGrant(e.Key, e.Claim, now.Add(-e.Age))
		}
	}
	t.copiedFrom[from] = true
}

// KeyCount returns the number of keys held.
func (t *KeyTable) KeyCount() int { return len(t.grants) }

func (t *KeyTable) recordGrant(key Key, claim ClaimID, at time.Time) {
	if t.firstGrant.IsZero() {
		t.firstGrant = at
	}
	t.grants[key] = grant{claim: claim, grantedAt: at}
	t.byGrantTime = append(t.byGrantTime, Entry{Key: key, Claim: claim, Age: at.Sub(t.firstGrant)})
}

// expire forgets keys older than Retention. Copied keys may be out of order; those behind a
// younger one are forgotten later, which is safe.
func (t *KeyTable) expire(now time.Time) {
	n := 0
	for ; n < len(t.byGrantTime); n++ {
		e := t.byGrantTime[n]
		if now.Sub(t.firstGrant.Add(e.Age)) < Retention {
			break
		}
		if t.grants[e.Key].claim == e.Claim {
			delete(t.grants, e.Key)
		}
	}
	t.byGrantTime = t.byGrantTime[n:]
}

// Quorum collects the answers to one claim.
type Quorum struct {
	replicas  []string
	startedAt time.Time
	results   map[string]ClaimResult
}

// NewQuorum returns the attempt of a claim that starts now.
func NewQuorum(replicas []string, now time.Time) *Quorum {
	return &Quorum{replicas: replicas, startedAt: now, results: make(map[string]ClaimResult)}
}

// Add takes the answer of a home. A grant that comes after ClaimTimeout does not count.
func (q *Quorum) Add(now time.Time, replica string, result ClaimResult) {
	if result == Granted && now.Sub(q.startedAt) >= ClaimTimeout {
		result = Unknown
	}
	q.results[replica] = result
}

// Result returns Granted or Held if a majority of the homes said so, otherwise Unvouched.
// decided is false while further answers may change it.
func (q *Quorum) Result() (result ClaimResult, decided bool) {
	counts := make(map[ClaimResult]int)
	for _, r := range q.results {
		counts[r]++
	}
	majority := Majority(len(q.replicas))
	outstanding := len(q.replicas) - len(q.results)
	switch {
	case counts[Granted] >= majority:
		return Granted, true
	case counts[AlreadyClaimed] >= majority:
		return AlreadyClaimed, true
	default:
		unreachable := counts[Granted]+outstanding < majority && counts[AlreadyClaimed]+outstanding < majority
		return Unknown, outstanding == 0 || unreachable
	}
}
