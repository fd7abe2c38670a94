// Package leadership decides which instance leads which availability zone: normal claims
// through the log, planned handover, takeover on silence, and provisional epochs while the
// log is down.
package leadership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// Timing of claims.
const (
	// StartupDelay is how long an instance waits after its start before it claims anything.
	// Until then peers count as silent only because they were not probed yet.
	StartupDelay = 1500 * time.Millisecond
	// CandidateStagger is how long each further candidate waits for the one before it. It covers one
	// claim attempt, so that a candidate that cannot claim does not leave the zone without
	// a leader.
	CandidateStagger = time.Second
	// IsolationDelay is how long an instance that reaches no peer at all waits in addition.
	// It cannot tell its own isolation from the failure of all others.
	IsolationDelay = 3 * time.Second
	// MaxConfirmationAge is the largest age of a confirmation that still allows an act.
	MaxConfirmationAge = 2 * time.Second
	// refusalHoldOff is how long an instance that a worker refused does not claim the zone
	// again unless it learns of a newer epoch, which the refusal proves to exist.
	refusalHoldOff = 10 * time.Second
)

// Zone is an availability zone and its region.
type Zone struct {
	Name   string
	Region string
}

// Input is what one decision is made on.
type Input struct {
	Zones    []Zone
	Members  []membership.Member
	Recorded map[string]state.ZoneLeader
	// LogUp reports whether the log's tail was read lately.
	LogUp bool
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of action.
const (
	// ActClaim claims a vacant zone. The service falls back to a provisional epoch if the log
	// is down.
	ActClaim ActionKind = "claim"
	// ActRecord writes the claim of a provisional epoch to the log.
	ActRecord ActionKind = "record"
	// ActStepDown ends a term because a newer epoch exists.
	ActStepDown ActionKind = "step-down"
)

// Action is what to do for one zone.
type Action struct {
	Kind     ActionKind
	Zone     string
	Epoch    platform.Epoch
	Expected platform.Epoch
	// VerifyHolder names the holder whose silence has to be checked before a claim; empty if the
	// zone has no holder or the holder left.
	VerifyHolder string
	Reason       string
}

// Term is the leadership of one zone by this instance.
type Term struct {
	Zone  string
	Epoch platform.Epoch
	// Recorded reports whether the claim is in the log.
	Recorded bool
	Since    time.Time
}

// rules can switch off single rules, to measure what each is worth.
type rules struct {
	// failBack makes the best candidate replace a live holder.
	failBack bool
	// suspectIsSilent takes over from a holder that is only suspected.
	suspectIsSilent bool
	// overloadedAt treats a holder with so many queued accelerators as failed; 0 is off.
	overloadedAt int
}

// vacancy is a zone without a live leader as this instance sees it.
type vacancy struct {
	epoch platform.Epoch
	since time.Time
}

// core is the pure part. It is not safe for concurrent use.
type core struct {
	self      string
	started   time.Time
	rules     rules
	terms     map[string]Term
	vacancies map[string]vacancy
	// refused has the epoch that a worker refused and when, by zone.
	refused map[string]vacancy
	// isolatedSince is when this instance last lost sight of all peers, zero if it sees one.
	isolatedSince time.Time
	// seenAt has the newest epoch of each zone and when this instance first saw it.
	seenAt map[string]vacancy
	// pending has the zones with a claim or a record in progress.
	pending map[string]bool
}

func newCore(self string, now time.Time) *core {
	return &core{
		self: self, started: now,
		terms:     make(map[string]Term),
		vacancies: make(map[string]vacancy),
		refused:   make(map[string]vacancy),
		seenAt:    make(map[string]vacancy),
		pending:   make(map[string]bool),
	}
}

// decide returns what to do now, one action at most for each zone.
func (c *core) decide(now time.Time, in Input) []Action {
	c.noteIsolation(now, in)
	var actions []Action
	for _, zone := range in.Zones {
		if action, found := c.decideZone(now, zone, in); found {
			actions = append(actions, action)
		}
	}
	return actions
}

// noteIsolation follows since when this instance has seen no peer.
func (c *core) noteIsolation(now time.Time, in Input) {
	switch {
	case !isolated(c.self, in.Members):
		c.isolatedSince = time.Time{}
	case c.isolatedSince.IsZero():
		c.isolatedSince = now
	}
}

func (c *core) decideZone(now time.Time, zone Zone, in Input) (Action, bool) {
	newest := c.newest(zone.Name, in)
	if c.seenAt[zone.Name].epoch != newest {
		c.seenAt[zone.Name] = vacancy{epoch: newest, since: now}
	}
	if term, held := c.terms[zone.Name]; held {
		return c.decideHeld(term, newest, in)
	}
	if c.pending[zone.Name] {
		return Action{}, false
	}
	reason, verify, vacant := c.vacant(zone.Name, newest, in)
	if !vacant {
		delete(c.vacancies, zone.Name)
		return c.failBack(zone, newest, in)
	}
	if now.Sub(c.started) < StartupDelay {
		return Action{}, false
	}
	seen, known := c.vacancies[zone.Name]
	if !known || seen.epoch != newest {
		seen = vacancy{epoch: newest, since: now}
		c.vacancies[zone.Name] = seen
	}
	if !c.myTurn(now, seen, zone, newest, in) {
		return Action{}, false
	}
	return c.claim(zone.Name, newest, in, verify, reason), true
}

func (c *core) decideHeld(term Term, newest platform.Epoch, in Input) (Action, bool) {
	if newest.Compare(term.Epoch) > 0 {
		return Action{Kind: ActStepDown, Zone: term.Zone, Epoch: newest, Reason: "a newer epoch exists"}, true
	}
	if !term.Recorded && in.LogUp && !c.pending[term.Zone] {
		return Action{Kind: ActRecord, Zone: term.Zone, Epoch: term.Epoch, Reason: "the log is back"}, true
	}
	return Action{}, false
}

func (c *core) claim(zone string, newest platform.Epoch, in Input, verify, reason string) Action {
	return Action{
		Kind: ActClaim, Zone: zone,
		Epoch:        platform.Epoch{Number: newest.Number + 1, Holder: c.self},
		Expected:     in.Recorded[zone].Epoch,
		VerifyHolder: verify, Reason: reason,
	}
}

// failBack is only used to measure the rule against automatic fail-back.
func (c *core) failBack(zone Zone, newest platform.Epoch, in Input) (Action, bool) {
	if !c.rules.failBack || newest.Holder == c.self {
		return Action{}, false
	}
	order := candidates(zone, in.Members, "")
	if len(order) == 0 || order[0] != c.self {
		return Action{}, false
	}
	return c.claim(zone.Name, newest, in, "", "fail-back"), true
}

// newest returns the newest epoch of a zone that this instance knows from the log, from
// probes, or from its own term.
func (c *core) newest(zone string, in Input) platform.Epoch {
	newest := in.Recorded[zone].Epoch
	if term, held := c.terms[zone]; held && term.Epoch.Compare(newest) > 0 {
		newest = term.Epoch
	}
	for _, m := range in.Members {
		if e := m.Info.Epochs[zone]; e.Compare(newest) > 0 {
			newest = e
		}
	}
	return newest
}

// vacant reports whether a zone needs a new leader and why. verify is the holder whose
// silence the claimant has to check itself.
func (c *core) vacant(zone string, newest platform.Epoch, in Input) (reason, verify string, vacant bool) {
	recorded := in.Recorded[zone]
	switch {
	case newest.Number == 0:
		return "the zone has no leader", "", true
	case recorded.Released && recorded.Epoch == newest:
		return "handed over by " + newest.Holder, "", true
	case newest.Holder == c.self:
		return "this instance restarted", "", true
	}
	index := slices.IndexFunc(in.Members, func(m membership.Member) bool { return m.Info.ID == newest.Holder })
	if index < 0 {
		return newest.Holder + " is not configured", "", true
	}
	holder := in.Members[index]
	switch {
	case holder.Status == membership.Left:
		return newest.Holder + " left", "", true
	case holder.Status == membership.Unreachable:
		return newest.Holder + " is silent", newest.Holder, true
	case holder.Status == membership.Suspect && c.rules.suspectIsSilent:
		return newest.Holder + " is suspected", "", true
	case c.rules.overloadedAt > 0 && holder.Info.QueuedAccelerators[zone] >= c.rules.overloadedAt:
		return newest.Holder + " is overloaded", "", true
	}
	return "", "", false
}

// myTurn reports whether this instance should claim a vacant zone now.
func (c *core) myTurn(now time.Time, seen vacancy, zone Zone, newest platform.Epoch, in Input) bool {
	if r, found := c.refused[zone.Name]; found && now.Sub(r.since) < refusalHoldOff && newest.Compare(r.epoch) <= 0 {
		return false
	}
	excluded := newest.Holder
	if newest.Holder == c.self && !in.Recorded[zone.Name].Released {
		excluded = ""
	}
	order := candidates(zone, in.Members, excluded)
	recorded := in.Recorded[zone.Name]
	if recorded.Released && recorded.Epoch == newest {
		order = preferred(order, recorded.Successor)
	}
	position := slices.Index(order, c.self)
	if position < 0 {
		return false
	}
	wait := time.Duration(position) * CandidateStagger
	if !c.isolatedSince.IsZero() {
		wait += IsolationDelay
		if c.seenAt[zone.Name].since.After(c.isolatedSince) {
			// Another instance made a claim while this one reached nobody, so it is this one
			// that is cut off, and the log shows that the holder lives.
			return false
		}
	}
	return now.Sub(seen.since) >= wait
}

// isolated reports whether an instance with peers sees none of them alive.
func isolated(self string, members []membership.Member) bool {
	alive := slices.ContainsFunc(members, func(m membership.Member) bool {
		return m.Info.ID != self && m.Status == membership.Alive
	})
	return len(members) > 1 && !alive
}

// preferred moves an id to the front if it is a candidate.
func preferred(order []string, id string) []string {
	index := slices.Index(order, id)
	if index <= 0 {
		return order
	}
	return slices.Concat([]string{id}, order[:index], order[index+1:])
}

// candidates returns the ids of the instances that may lead a zone, best first: those of the
// zone, then of its region, then the others, each by rendezvous hash.
func candidates(zone Zone, members []membership.Member, excluded string) []string {
	type candidate struct {
		id    string
		class int
		score uint64
	}
	var eligible []candidate
	for _, m := range members {
		if m.Status != membership.Alive || !m.Info.Ready || m.Info.Draining || m.Info.ID == excluded {
			continue
		}
		score := xxhash.Sum64String(zone.Name + "/" + m.Info.ID)
		eligible = append(eligible, candidate{id: m.Info.ID, class: class(zone, m), score: score})
	}
	slices.SortFunc(eligible, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, len(eligible))
	for i, e := range eligible {
		ids[i] = e.id
	}
	return ids
}

func class(zone Zone, m membership.Member) int {
	switch {
	case m.Zone == zone.Name:
		return 0
	case m.Region == zone.Region:
		return 1
	default:
		return 2
	}
}

// take starts a term.
func (c *core) take(now time.Time, zone string, epoch platform.Epoch, recorded bool) {
	c.terms[zone] = Term{Zone: zone, Epoch: epoch, Recorded: recorded, Since: now}
	delete(c.vacancies, zone)
	delete(c.refused, zone)
}

// refuse ends a term because a worker refused its epoch. It reports whether the term was held.
func (c *core) refuse(now time.Time, zone string, epoch platform.Epoch) bool {
	term, held := c.terms[zone]
	if !held || term.Epoch != epoch {
		return false
	}
	delete(c.terms, zone)
	c.refused[zone] = vacancy{epoch: epoch, since: now}
	return true
}
