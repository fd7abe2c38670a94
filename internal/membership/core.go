package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Timing and limits of the failure detector.
const (
	// ProbeInterval is the interval at which an instance sends probes.
	ProbeInterval = 200 * time.Millisecond
	// ProbeTimeout limits one direct probe.
	ProbeTimeout = 200 * time.Millisecond
	// IndirectProbeTimeout limits an indirect probe, which takes two hops.
	IndirectProbeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a suspect member can refute the suspicion before it
	// becomes unreachable.
	SuspicionTimeout = 3 * ProbeInterval
	// IndirectProbes is the number of peers that are asked to probe a peer whose direct probe
	// failed.
	IndirectProbes = 3
	// maxUpdates limits the updates in one probe and its response, so their cost does not depend on
	// the number of instances. The response to an instance that has just started has no limit.
	maxUpdates = 4
	// retransmitMultiplier times log2 of the number of instances is the number of messages in which
	// an urgent update is sent on. SWIM uses 3, which reaches all members with high probability.
	retransmitMultiplier = 3
	// lowPrioritySends is the number of messages in which other updates are sent on. They reach most
	// members; the remaining ones receive them at their next direct exchange with the member.
	// Urgent updates have more sends left and are sent first.
	lowPrioritySends = 3
	// unreachableProbeTicks is the number of probe intervals between two probes of peers that are
	// unreachable or have left. They are probed so that the two sides of a partition detect each other
	// again when it has healed.
	unreachableProbeTicks = 5
	// joinTicks is the number of probe intervals after the start in which unreachable peers are
	// probed in every interval, because every peer is unreachable at the start.
	joinTicks = 10
)

// Peer is an instance listed in the settings.
type Peer struct {
	ID     string
	Zone   string
	Region string
}

// Update is the state of a member as the sender of a message knows it.
type Update struct {
	Info   Info
	Status Status
}

// Message is the content of a probe and of its response.
type Message struct {
	From string
	// Incarnation, Version, Applied and PolicyVersion are those of the sender. Applied and
	// PolicyVersion change too often to be sent on as updates.
	Incarnation   uint64
	Version       uint64
	Applied       platform.Offset
	PolicyVersion platform.Offset
	// KnownIncarnation and KnownVersion are the newest ones of the receiver that the sender has
	// received.
	KnownIncarnation uint64
	KnownVersion     uint64
	Updates          []Update
}

// entry is the state kept for one member.
type entry struct {
	peer   Peer
	info   Info
	status Status
	// since is the time of the last change of status.
	since time.Time
	// sendsLeft is the number of further messages that include an update about this member. It has
	// no effect in the entry of this instance, whose Info is sent to each peer until the peer has
	// reported to have received it.
	sendsLeft int
	// ackedIncarnation and ackedVersion are those of this instance that the member has
	// reported to have received.
	ackedIncarnation uint64
	ackedVersion     uint64
}

// core is the state machine of the failure detector. It does no I/O and reads no clock. It is not
// safe for concurrent use.
type core struct {
	self    *entry
	entries map[string]*entry
	// ids is sorted and includes the instance itself.
	ids []string
	// probeOrder has the ids that remain in the current round of probes, in random order.
	probeOrder []string
	// notLiveCursor is the index in ids of the peer that nextNotLive returned last.
	notLiveCursor int
	// ticks is the number of calls of tick.
	ticks   int
	leaving bool
	rng     *rand.Rand
}

func newCore(self Peer, peers []Peer, incarnation, seed uint64) *core {
	c := &core{entries: make(map[string]*entry), rng: rand.New(rand.NewPCG(seed, incarnation))}
	for _, peer := range peers {
		c.entries[peer.ID] = &entry{peer: peer, info: Info{ID: peer.ID}, status: Unreachable}
	}
	c.self = &entry{peer: self, info: Info{ID: self.ID, Incarnation: incarnation, Version: 1}, status: Alive}
	c.entries[self.ID] = c.self
	for id := range c.entries {
		c.ids = append(c.ids, id)
	}
	slices.Sort(c.ids)
	c.queueUrgent(c.self)
	return c
}

// queueUrgent queues an urgent update about a member for the next messages.
func (c *core) queueUrgent(e *entry) {
	e.sendsLeft = retransmitMultiplier * bits.Len(uint(len(c.ids)))
}

// queueLowPriority queues an update about a member that other members can miss.
func (c *core) queueLowPriority(e *entry) {
	e.sendsLeft = max(e.sendsLeft, lowPrioritySends)
}

// tick is called once per ProbeInterval. It returns the peers to probe and reports whether a status
// changed.
func (c *core) tick(now time.Time) (targets []string, changed bool) {
	c.ticks++
	for _, id := range c.ids {
		e := c.entries[id]
		if e.status == Suspect && now.Sub(e.since) >= SuspicionTimeout {
			c.setStatus(now, e, Unreachable)
			changed = true
		}
	}
	if target, found := c.nextLive(); found {
		targets = append(targets, target)
	}
	if c.ticks <= joinTicks || c.ticks%unreachableProbeTicks == 0 {
		if target, found := c.nextNotLive(); found {
			targets = append(targets, target)
		}
	}
	return targets, changed
}

// nextLive returns the next live peer of the current round. Each round has all live peers in a new
// random order, which limits the time until the failure of any of them is detected.
func (c *core) nextLive() (string, bool) {
	for range 2 {
		for len(c.probeOrder) > 0 {
			id := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			if c.isLivePeer(c.entries[id]) {
				return id, true
			}
		}
		c.probeOrder = slices.Clone(c.ids)
		c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return "", false
}

// isLivePeer reports whether a member is another instance that is alive or suspect.
func (c *core) isLivePeer(e *entry) bool {
	return e != c.self && (e.status == Alive || e.status == Suspect)
}

// nextNotLive returns the next peer, in turn, that is unreachable or has left.
func (c *core) nextNotLive() (string, bool) {
	for range c.ids {
		c.notLiveCursor = (c.notLiveCursor + 1) % len(c.ids)
		e := c.entries[c.ids[c.notLiveCursor]]
		if e != c.self && !c.isLivePeer(e) {
			return e.peer.ID, true
		}
	}
	return "", false
}

// randomAlivePeers returns up to count random alive peers other than target.
func (c *core) randomAlivePeers(target string, count int) []string {
	var alive []string
	for _, id := range c.ids {
		e := c.entries[id]
		if id != target && e != c.self && e.status == Alive {
			alive = append(alive, id)
		}
	}
	c.rng.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}

// probeFailed marks a peer as suspect that responded to neither a direct nor an indirect
// probe. It reports whether the status changed.
func (c *core) probeFailed(now time.Time, target string) (changed bool) {
	e, found := c.entries[target]
	if !found || e == c.self || e.status != Alive {
		return false
	}
	c.setStatus(now, e, Suspect)
	return true
}

func (c *core) setStatus(now time.Time, e *entry, status Status) {
	e.status = status
	e.since = now
	c.queueUrgent(e)
}

// publish applies change to the Info of this instance. It reports whether the change is urgent, so
// that it should be sent at once.
func (c *core) publish(change func(*Info)) (urgent bool) {
	old, info := c.self.info, c.self.info
	change(&info)
	info.ID, info.Incarnation = old.ID, old.Incarnation
	offsetsOnly := old
	offsetsOnly.Applied, offsetsOnly.PolicyVersion = info.Applied, info.PolicyVersion
	if !reflect.DeepEqual(offsetsOnly, info) {
		info.Version = old.Version + 1
	}
	c.self.info = info
	if info.Version == old.Version {
		return false
	}
	urgent = c.isUrgent(old, info)
	switch {
	case urgent:
		c.queueUrgent(c.self)
	case old.Ready != info.Ready || !maps.Equal(old.FreeAccelerators, info.FreeAccelerators) ||
		!maps.Equal(old.QueuedAccelerators, info.QueuedAccelerators):
		c.queueLowPriority(c.self)
	}
	return urgent
}

// isUrgent reports whether a change should not wait for the next probe interval: a new epoch, or a
// change of Draining or LeavingTargets. A new epoch is urgent only in the Info of its holder, because
// other members repeat it in theirs and every direct exchange carries it.
func (c *core) isUrgent(old, changed Info) bool {
	for zone, epoch := range changed.Epochs {
		if epoch.Holder == changed.ID && epoch != old.Epochs[zone] {
			return true
		}
	}
	return old.Draining != changed.Draining || !slices.Equal(old.LeavingTargets, changed.LeavingTargets)
}

// leave marks this instance as having left after a graceful stop.
func (c *core) leave(now time.Time) {
	c.leaving = true
	c.self.info.Draining = true
	c.self.info.Version++
	c.setStatus(now, c.self, Left)
}

// compose returns a message for a peer. If the receiver was seen before and is not alive in the view
// of this instance, the message always includes that status, so the receiver can refute it at once.
func (c *core) compose(to string) Message {
	self := c.self.info
	m := Message{
		From: self.ID, Incarnation: self.Incarnation, Version: self.Version,
		Applied: self.Applied, PolicyVersion: self.PolicyVersion,
	}
	receiver, found := c.entries[to]
	if !found {
		return m
	}
	m.KnownIncarnation, m.KnownVersion = receiver.info.Incarnation, receiver.info.Version
	if receiver.status != Alive && receiver.info.Incarnation > 0 {
		m.Updates = append(m.Updates, Update{Info: Info{ID: to, Incarnation: receiver.info.Incarnation}, Status: receiver.status})
	}
	if receiver.ackedIncarnation != self.Incarnation || receiver.ackedVersion < self.Version {
		m.Updates = append(m.Updates, Update{Info: self, Status: c.self.status})
	}
	return c.piggyback(m, receiver)
}

// piggyback adds queued updates to the message, those with the most sends left first, up to
// maxUpdates in total.
func (c *core) piggyback(m Message, receiver *entry) Message {
	var queued []*entry
	for _, id := range c.ids {
		if e := c.entries[id]; e.sendsLeft > 0 && e != receiver && e != c.self {
			queued = append(queued, e)
		}
	}
	slices.SortStableFunc(queued, func(a, b *entry) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	for _, e := range queued {
		if len(m.Updates) >= maxUpdates {
			break
		}
		e.sendsLeft--
		m.Updates = append(m.Updates, Update{Info: e.info, Status: e.status})
	}
	return m
}

// composeFull returns a message with the state of all known members, for an instance that has just
// started.
func (c *core) composeFull(to string) Message {
	m := c.compose(to)
	m.Updates = nil
	for _, id := range c.ids {
		if e := c.entries[id]; e.info.Incarnation > 0 {
			m.Updates = append(m.Updates, Update{Info: e.info, Status: e.status})
		}
	}
	return m
}

// receive merges a message and reports whether the state of another member changed.
func (c *core) receive(now time.Time, m Message) (changed bool) {
	sender, found := c.entries[m.From]
	if !found || sender == c.self {
		return false
	}
	sender.ackedIncarnation, sender.ackedVersion = m.KnownIncarnation, m.KnownVersion
	if m.KnownIncarnation > c.self.info.Incarnation {
		// The wall clock was set back between an earlier incarnation of this instance and this one.
		c.refute(m.KnownIncarnation)
	}
	for _, u := range m.Updates {
		changed = c.merge(now, u) || changed
	}
	if sender.info.Incarnation == m.Incarnation {
		changed = c.mergeOffsets(sender, m) || changed
	}
	return changed
}

// mergeOffsets advances Applied and PolicyVersion of the sender and reports whether one changed.
func (c *core) mergeOffsets(sender *entry, m Message) (changed bool) {
	info := &sender.info
	changed = info.Applied < m.Applied || info.PolicyVersion < m.PolicyVersion
	info.Applied = max(info.Applied, m.Applied)
	info.PolicyVersion = max(info.PolicyVersion, m.PolicyVersion)
	return changed
}

// merge applies one update. The higher incarnation takes precedence; within one incarnation, the
// newer version and the status with the higher rank do.
func (c *core) merge(now time.Time, u Update) (changed bool) {
	e, found := c.entries[u.Info.ID]
	if !found {
		return false
	}
	if e == c.self {
		c.mergeSelf(u)
		return false
	}
	switch {
	case u.Info.Incarnation < e.info.Incarnation:
		return false
	case u.Info.Incarnation > e.info.Incarnation:
		discovered := e.info.Incarnation == 0 && u.Status == Alive
		e.info = u.Info
		c.setStatus(now, e, u.Status)
		if discovered {
			// The other members learn of a new instance from itself and from the peers whose
			// members it fetched at its start, so the update need not be urgent.
			e.sendsLeft = lowPrioritySends
		}
		return true
	}
	if u.Info.Version > e.info.Version {
		c.replaceInfo(e, u.Info)
		changed = true
	}
	if rank(u.Status) > rank(e.status) {
		c.setStatus(now, e, u.Status)
		changed = true
	}
	return changed
}

// replaceInfo replaces the Info of a member and queues an update if other instances need the change.
func (c *core) replaceInfo(e *entry, info Info) {
	old := e.info
	info.Applied = max(info.Applied, old.Applied)
	info.PolicyVersion = max(info.PolicyVersion, old.PolicyVersion)
	e.info = info
	if c.isUrgent(old, info) {
		c.queueUrgent(e)
	} else if !maps.Equal(old.FreeAccelerators, info.FreeAccelerators) || old.Ready != info.Ready ||
		!maps.Equal(old.QueuedAccelerators, info.QueuedAccelerators) {
		c.queueLowPriority(e)
	}
}

// rank returns the precedence of a status within one incarnation.
func rank(s Status) int {
	switch s {
	case Suspect:
		return 1
	case Unreachable:
		return 2
	case Left:
		return 3
	default:
		return 0
	}
}

// mergeSelf handles an update about this instance. It refutes a status other than Alive and an
// incarnation higher than its own, unless this instance is leaving.
func (c *core) mergeSelf(u Update) {
	if c.leaving || u.Info.Incarnation < c.self.info.Incarnation {
		return
	}
	if u.Status != Alive || u.Info.Incarnation > c.self.info.Incarnation {
		c.refute(u.Info.Incarnation)
	}
}

// refute raises the incarnation above the suspected one, so that the members accept this instance as
// alive. The incarnation is then no longer the start time of the process.
func (c *core) refute(suspected uint64) {
	c.self.info.Incarnation = suspected + 1
	c.self.info.Version++
	c.queueUrgent(c.self)
}

func (c *core) member(e *entry) Member {
	return Member{Info: e.info, Status: e.status, Zone: e.peer.Zone, Region: e.peer.Region}
}

func (c *core) members() []Member {
	out := make([]Member, 0, len(c.ids))
	for _, id := range c.ids {
		out = append(out, c.member(c.entries[id]))
	}
	return out
}
