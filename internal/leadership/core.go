// Package leadership elects a leading instance for each availability zone. An instance normally
// claims a zone by a record in the log. A leader that stops hands its zones over; the zones of an
// unreachable leader are taken over. While the log is down, an instance can lead a zone in a
// provisional epoch, which it records in the log later.
//
// The holder of an epoch is the instance that claimed it. The leader of a zone is the holder of the
// zone's newest epoch.
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

// Delays and time limits of claims.
const (
	// StartupDelay is how long an instance waits after its start before it claims a zone.
	// Until then, peers may be unreachable only because they have not been probed yet.
	StartupDelay = 1500 * time.Millisecond
	// CandidateStagger is the additional delay of each further candidate before it claims a vacant
	// zone. It covers one claim of the preceding candidate. If that candidate cannot claim, the
	// next one does, so the zone does not stay without a leader.
	CandidateStagger = time.Second
	// IsolationDelay is the additional delay of an instance that cannot reach any peer, because
	// it cannot distinguish its own isolation from a failure of all peers.
	IsolationDelay = 3 * time.Second
	// MaxConfirmationAge is the age up to which a confirmation of the leadership allows the
	// leader to act.
	MaxConfirmationAge = 2 * time.Second
	// rejectionBackoff is how long an instance whose epoch was rejected does not claim the zone
	// again. It ends early if the instance receives a newer epoch; the rejection proves that
	// one exists.
	rejectionBackoff = 10 * time.Second
)

// Zone is an availability zone and the region that contains it.
type Zone struct {
	Name   string
	Region string
}

// Input is the data on which one round of decisions is based.
type Input struct {
	Zones   []Zone
	Members []membership.Member
	// Recorded has the leader of each zone according to the log.
	Recorded map[string]state.ZoneLeader
	// LogUp reports whether the tail of the log was read recently.
	LogUp bool
}

// ActionKind is the kind of an Action.
type ActionKind string

// Values of ActionKind.
const (
	// ActClaim claims a vacant zone. If the log is down, the service starts a provisional epoch
	// instead.
	ActClaim ActionKind = "claim"
	// ActRecord records the claim of a provisional epoch in the log.
	ActRecord ActionKind = "record"
	// ActStepDown ends the term of this instance because a newer epoch exists.
	ActStepDown ActionKind = "step-down"
)

// Action is one step that the service has to carry out for a zone.
type Action struct {
	Kind ActionKind
	Zone string
	// Epoch is the epoch to claim or to record. For ActStepDown, it is the newer epoch.
	Epoch platform.Epoch
	// Expected is the epoch that must still be the recorded one for the claim to be accepted.
	Expected platform.Epoch
	// VerifyHolder is the holder whose unreachability has to be checked before a claim. It is
	// empty if no check is needed, for example because the zone has no holder or the holder left.
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

// ruleOverrides disables single election rules, to measure the effect of each. Outside of tests, all
// rules apply.
type ruleOverrides struct {
	// failBack lets the first candidate replace a live leader.
	failBack bool
	// suspectIsUnreachable lets an instance take over from a holder that is only suspect.
	suspectIsUnreachable bool
	// overloadThreshold is the number of queued accelerators from which on a holder is replaced;
	// 0 disables this.
	overloadThreshold int
}

// observedEpoch is an epoch of a zone and the time at which it was observed.
type observedEpoch struct {
	epoch platform.Epoch
	since time.Time
}

// core is the state machine of the election. It does no I/O and reads no clock. It is not safe for
// concurrent use.
type core struct {
	self      string
	started   time.Time
	overrides ruleOverrides
	// terms has the zones that this instance leads.
	terms map[string]Term
	// vacancies has the zones without a live leader, with the last epoch of each and the time
	// since which it has had no leader in the view of this instance.
	vacancies map[string]observedEpoch
	// rejections has the rejected epoch of this instance and the time of the rejection, by zone.
	rejections map[string]observedEpoch
	// isolatedSince is the time since which no peer has been alive; zero if one is.
	isolatedSince time.Time
	// newestSeen has the newest known epoch of each zone and the time at which it became known.
	newestSeen map[string]observedEpoch
	// pending has the zones with an ActClaim or ActRecord in progress.
	pending map[string]bool
}

func newCore(self string, now time.Time) *core {
	return &core{
		self: self, started: now,
		terms:      make(map[string]Term),
		vacancies:  make(map[string]observedEpoch),
		rejections: make(map[string]observedEpoch),
		newestSeen: make(map[string]observedEpoch),
		pending:    make(map[string]bool),
	}
}

// decide returns the actions to carry out now, at most one per zone.
func (c *core) decide(now time.Time, in Input) []Action {
	c.updateIsolation(now, in)
	var actions []Action
	for _, zone := range in.Zones {
		if action, found := c.decideZone(now, zone, in); found {
			actions = append(actions, action)
		}
	}
	return actions
}

// updateIsolation sets isolatedSince.
func (c *core) updateIsolation(now time.Time, in Input) {
	switch {
	case !isolated(c.self, in.Members):
		c.isolatedSince = time.Time{}
	case c.isolatedSince.IsZero():
		c.isolatedSince = now
	}
}

// decideZone returns the action for one zone, if any.
func (c *core) decideZone(now time.Time, zone Zone, in Input) (Action, bool) {
	newest := c.newest(zone.Name, in)
	if c.newestSeen[zone.Name].epoch != newest {
		c.newestSeen[zone.Name] = observedEpoch{epoch: newest, since: now}
	}
	if term, held := c.terms[zone.Name]; held {
		return c.decideLed(term, newest, in)
	}
	if c.pending[zone.Name] {
		return Action{}, false
	}
	reason, verify, vacant := c.vacancyReason(zone.Name, newest, in)
	if !vacant {
		delete(c.vacancies, zone.Name)
		return c.failBack(zone, newest, in)
	}
	if now.Sub(c.started) < StartupDelay {
		return Action{}, false
	}
	vacancy, known := c.vacancies[zone.Name]
	if !known || vacancy.epoch != newest {
		vacancy = observedEpoch{epoch: newest, since: now}
		c.vacancies[zone.Name] = vacancy
	}
	if !c.shouldClaim(now, vacancy, zone, newest, in) {
		return Action{}, false
	}
	return c.claim(zone.Name, newest, in, verify, reason), true
}

// decideLed returns the action for a zone that this instance leads, if any.
func (c *core) decideLed(term Term, newest platform.Epoch, in Input) (Action, bool) {
	if newest.Compare(term.Epoch) > 0 {
		return Action{Kind: ActStepDown, Zone: term.Zone, Epoch: newest, Reason: "a newer epoch exists"}, true
	}
	if !term.Recorded && in.LogUp && !c.pending[term.Zone] {
		return Action{Kind: ActRecord, Zone: term.Zone, Epoch: term.Epoch, Reason: "the log is back"}, true
	}
	return Action{}, false
}

// claim returns the action that claims a zone with the epoch after newest.
func (c *core) claim(zone string, newest platform.Epoch, in Input, verify, reason string) Action {
	return Action{
		Kind: ActClaim, Zone: zone,
		Epoch:        platform.Epoch{Number: newest.Number + 1, Holder: c.self},
		Expected:     in.Recorded[zone].Epoch,
		VerifyHolder: verify, Reason: reason,
	}
}

// failBack returns a claim of a zone with a live leader if this instance is its first candidate. It is
// used only to measure the effect of the rule that forbids automatic fail-back.
func (c *core) failBack(zone Zone, newest platform.Epoch, in Input) (Action, bool) {
	if !c.overrides.failBack || newest.Holder == c.self {
		return Action{}, false
	}
	order := candidates(zone, in.Members, "")
	if len(order) == 0 || order[0] != c.self {
		return Action{}, false
	}
	return c.claim(zone.Name, newest, in, "", "fail-back"), true
}

// newest returns the newest known epoch of a zone: that in the log, in the Info of a member, or of
// the term of this instance.
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

// vacancyReason reports whether a zone needs a new leader and why. verify is the holder that the
// claimant has to probe itself before it claims, or empty.
func (c *core) vacancyReason(zone string, newest platform.Epoch, in Input) (reason, verify string, vacant bool) {
	recorded := in.Recorded[zone]
	switch {
	case newest.Number == 0:
		return "the zone has no leader", "", true
	case recorded.Released && recorded.Epoch == newest:
		return "handed over by " + newest.Holder, "", true
	case newest.Holder == c.self:
		// This instance has no term for its own epoch. Usually its process has restarted, but the
		// reason is the same if the epoch was rejected and no newer one is known yet.
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
	case holder.Status == membership.Suspect && c.overrides.suspectIsUnreachable:
		return newest.Holder + " is suspected", "", true
	case c.overrides.overloadThreshold > 0 && holder.Info.QueuedAccelerators[zone] >= c.overrides.overloadThreshold:
		return newest.Holder + " is overloaded", "", true
	}
	return "", "", false
}

// shouldClaim reports whether this instance should now claim a zone that has been vacant since
// vacancy.since.
func (c *core) shouldClaim(now time.Time, vacancy observedEpoch, zone Zone, newest platform.Epoch, in Input) bool {
	if r, found := c.rejections[zone.Name]; found && now.Sub(r.since) < rejectionBackoff && newest.Compare(r.epoch) <= 0 {
		return false
	}
	// The holder of the newest epoch is no candidate. If that is this instance and the zone is not
	// released, the instance restarted or its epoch was rejected, and it may claim the zone again.
	excluded := newest.Holder
	if newest.Holder == c.self && !in.Recorded[zone.Name].Released {
		excluded = ""
	}
	order := candidates(zone, in.Members, excluded)
	recorded := in.Recorded[zone.Name]
	if recorded.Released && recorded.Epoch == newest {
		order = moveToFront(order, recorded.Successor)
	}
	position := slices.Index(order, c.self)
	if position < 0 {
		return false
	}
	wait := time.Duration(position) * CandidateStagger
	if !c.isolatedSince.IsZero() {
		wait += IsolationDelay
		if c.newestSeen[zone.Name].since.After(c.isolatedSince) {
			// Another instance claimed the zone while this one reached no peer. So this
			// instance is the isolated one, and the log shows that the holder is alive.
			return false
		}
	}
	return now.Sub(vacancy.since) >= wait
}

// isolated reports whether an instance has peers and none of them is alive.
func isolated(self string, members []membership.Member) bool {
	alive := slices.ContainsFunc(members, func(m membership.Member) bool {
		return m.Info.ID != self && m.Status == membership.Alive
	})
	return len(members) > 1 && !alive
}

// moveToFront moves an id to the front of the candidates if it is one of them.
func moveToFront(order []string, id string) []string {
	index := slices.Index(order, id)
	if index <= 0 {
		return order
	}
	return slices.Concat([]string{id}, order[:index], order[index+1:])
}

// candidates returns the ids of the instances that can lead a zone: those that are alive, ready and
// not draining, without the excluded one. They are in order of preference: first those in the zone,
// then those in its region, then the remaining ones. Each group is sorted by rendezvous hash.
func candidates(zone Zone, members []membership.Member, excluded string) []string {
	type candidate struct {
		id       string
		locality int
		score    uint64
	}
	var eligible []candidate
	for _, m := range members {
		if m.Status != membership.Alive || !m.Info.Ready || m.Info.Draining || m.Info.ID == excluded {
			continue
		}
		score := xxhash.Sum64String(zone.Name + "/" + m.Info.ID)
		eligible = append(eligible, candidate{id: m.Info.ID, locality: locality(zone, m), score: score})
	}
	slices.SortFunc(eligible, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.locality, b.locality), cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, len(eligible))
	for i, e := range eligible {
		ids[i] = e.id
	}
	return ids
}

// locality returns 0 for a member in the zone, 1 for one in its region, and 2 for all others.
func locality(zone Zone, m membership.Member) int {
	switch {
	case m.Zone == zone.Name:
		return 0
	case m.Region == zone.Region:
		return 1
	default:
		return 2
	}
}

// startTerm starts a term.
func (c *core) startTerm(now time.Time, zone string, epoch platform.Epoch, recorded bool) {
	c.terms[zone] = Term{Zone: zone, Epoch: epoch, Recorded: recorded, Since: now}
	delete(c.vacancies, zone)
	delete(c.rejections, zone)
}

// rejectTerm ends a term because its epoch was rejected. It reports whether this instance held the
// epoch.
func (c *core) rejectTerm(now time.Time, zone string, epoch platform.Epoch) bool {
	term, held := c.terms[zone]
	if !held || term.Epoch != epoch {
		return false
	}
	delete(c.terms, zone)
	c.rejections[zone] = observedEpoch{epoch: epoch, since: now}
	return true
}
