// Package idempotency ensures that at most one request with a given idempotency key is dispatched.
// Every key has up to five replicas: instances that record which claim of the key was granted. A
// request may be dispatched if a majority of the replicas granted its claim. Replicas record grants
// in memory. A replica that lost its table in a restart grants nothing until it has copied the
// missing entries from others or Retention has passed.
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
	// Retention is how long replicas store a key after they granted it. During that time they
	// grant no other claim of it, unless the first claim is released.
	Retention = 10 * time.Minute
	// ClaimTimeout is the maximum time between the start of a claim and the grant that
	// completes the majority. Later grants are not counted.
	ClaimTimeout = time.Second
	// copyDelay is how long a restarted replica waits before it copies the tables of others.
	// After that, each claim that its previous incarnation granted has either reached its
	// majority or timed out. It exceeds ClaimTimeout to allow for clocks that run at different speeds.
	copyDelay = ClaimTimeout + ClaimTimeout/2
	// ClaimValidity is how long after the start of its claim a request may be dispatched. It is
	// shorter than Retention to allow for a pause between the check and the dispatch.
	ClaimValidity = Retention - time.Minute
	// replicaCount is the number of replicas of a key, or fewer if there are fewer instances.
	// With five, keys are still granted while any two instances are down or restarted. With
	// three, a fifth of the requests with keys got an unknown outcome in a load test in which two
	// of six instances were lost.
	replicaCount = 5
	// maxKeys is the number of grants in KeyTable.byGrantTime from which on a replica grants no
	// further keys. Released keys count until they would have expired; copied keys count but are
	// always stored. At 64 bytes a key the table of one replica stays below 20 MB.
	maxKeys = 200_000
)

// Key identifies the idempotency key of one caller: a hash of the caller and the key's text.
type Key [16]byte

// KeyOf returns the Key for the text of an idempotency key. Callers are distinguished by organisation
// and name, so that equal texts of different callers are different keys.
func KeyOf(f admission.Flow, text string) Key {
	sum := sha256.Sum256([]byte(f.Organisation + "\x00" + f.Caller + "\x00" + text))
	return Key(sum[:len(Key{})])
}

// ClaimID identifies one claim of a key. Each request that claims a key uses a new one.
type ClaimID [16]byte

// ClaimResult is the response of one replica, or the result of all replicas, to a claim.
type ClaimResult int

// Results of a claim.
const (
	// Unknown means that it is not known whether the key was granted before, or that the
	// replica's table is full.
	Unknown ClaimResult = iota
	// Granted means that the key is granted to this claim.
	Granted
	// AlreadyClaimed means that the key was granted to another claim.
	AlreadyClaimed
)

// Entry is one granted key in a copy of a key table.
type Entry struct {
	Key   Key
	Claim ClaimID
	// Age is the time since the grant when the copy was made.
	Age time.Duration
}

// grant records to which claim and when a key was granted.
type grant struct {
	claim     ClaimID
	grantedAt time.Time
}

// KeyTable records the granted keys of which one instance is a replica. It does no I/O and reads no
// clock. It is not safe for concurrent use.
type KeyTable struct {
	id              string
	instances       []string
	startedAt       time.Time
	noEarlierGrants bool
	copiedFrom      map[string]bool
	grants          map[Key]grant
	// byGrantTime has the grants, including those released since, in the order in which they
	// expire, apart from copied keys. The field Age has another meaning here than in copies: the
	// time from firstGrant to the grant.
	byGrantTime []Entry
	firstGrant  time.Time
}

// NewKeyTable returns the empty table of the instance with the given id, which has just started.
// instances are the ids of all instances in the settings. noEarlierGrants states that no earlier incarnation of the instance
// granted a key within the last Retention, so that the empty table is complete.
func NewKeyTable(id string, instances []string, noEarlierGrants bool, now time.Time) *KeyTable {
	return &KeyTable{
		id: id, instances: slices.Sorted(slices.Values(instances)), startedAt: now, noEarlierGrants: noEarlierGrants,
		copiedFrom: make(map[string]bool), grants: make(map[Key]grant),
	}
}

// ReplicasOf returns the replicas of a key: the replicaCount instances with the highest rendezvous
// hashes. instances are the ids of all instances in the settings.
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

// Majority returns the number of grants that a claim needs, given the number of replicas.
func Majority(replicas int) int { return replicas/2 + 1 }

// Claim grants a key to a claim unless it is granted to another one. A repeated claim returns Granted
// again.
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

// Release removes the grant of a key to a claim. It must be called only if the request of the claim
// was certainly not dispatched and will not be.
func (t *KeyTable) Release(key Key, claim ClaimID) {
	if t.grants[key].claim == claim {
		delete(t.grants, key)
	}
}

// completeFor reports whether the table is complete for a key: if a majority of the key's replicas
// granted it to a claim and that grant is still valid, the table certainly contains the grant.
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
	// A single replica has no other table to copy and grants nothing until Retention has passed.
	return len(replicas) > 1 && copies >= requiredCopies(len(replicas))
}

// requiredCopies returns the number of other replicas whose tables a restarted replica must copy. A
// majority of the replicas recorded a granted key. The restarted replica may have been one of them,
// so at least Majority-1 others have the key. With the returned number of copies, only Majority-2
// others are not copied, so at least one copy contains the key.
func requiredCopies(replicas int) int { return replicas - Majority(replicas) + 1 }

// Complete reports whether the table is complete for all keys of which the instance is a replica.
func (t *KeyTable) Complete(now time.Time) bool {
	if t.noEarlierGrants || now.Sub(t.startedAt) >= Retention {
		return true
	}
	replicas := min(replicaCount, len(t.instances))
	notCopied := len(t.instances) - 1 - len(t.copiedFrom)
	return len(t.instances) > 1 && notCopied <= replicas-1-requiredCopies(replicas)
}

// MissingCopies returns the ids of the instances whose tables should be copied now.
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

// EntriesFor returns the entries of keys of which the given instance is a replica too, oldest first.
// It returns false if this table is not complete.
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

// Merge adds the entries that were copied from the table of the instance source. The copy must have
// been requested after MissingCopies returned that instance.
func (t *KeyTable) Merge(now time.Time, source string, entries []Entry) {
	for _, e := range entries {
		if _, known := t.grants[e.Key]; !known {
			t.recordGrant(e.Key, e.Claim, now.Add(-e.Age))
		}
	}
	t.copiedFrom[source] = true
}

// KeyCount returns the number of keys in the table.
func (t *KeyTable) KeyCount() int { return len(t.grants) }

func (t *KeyTable) recordGrant(key Key, claim ClaimID, at time.Time) {
	if t.firstGrant.IsZero() {
		t.firstGrant = at
	}
	t.grants[key] = grant{claim: claim, grantedAt: at}
	t.byGrantTime = append(t.byGrantTime, Entry{Key: key, Claim: claim, Age: at.Sub(t.firstGrant)})
}

// expire removes keys that were granted at least Retention ago. Copied keys may be out of order in
// byGrantTime: one that stands behind a younger key stays until the younger key has expired too. This
// is safe, since a key may be stored for longer.
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

// Quorum counts the responses of the replicas to one claim.
type Quorum struct {
	replicas  []string
	startedAt time.Time
	results   map[string]ClaimResult
}

// NewQuorum returns the quorum for a claim that starts now.
func NewQuorum(replicas []string, now time.Time) *Quorum {
	return &Quorum{replicas: replicas, startedAt: now, results: make(map[string]ClaimResult)}
}

// Add counts the response of a replica. A grant that arrives ClaimTimeout or more after the start of
// the claim counts as Unknown.
func (q *Quorum) Add(now time.Time, replica string, result ClaimResult) {
	if result == Granted && now.Sub(q.startedAt) >= ClaimTimeout {
		result = Unknown
	}
	q.results[replica] = result
}

// Result returns Granted or AlreadyClaimed if a majority of the replicas responded so, otherwise
// Unknown. decided is false while further responses may change the result.
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
		noMajorityPossible := counts[Granted]+outstanding < majority && counts[AlreadyClaimed]+outstanding < majority
		return Unknown, outstanding == 0 || noMajorityPossible
	}
}
