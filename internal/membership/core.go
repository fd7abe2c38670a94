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

// Timing and sizes of the failure detector.
const (
	// ProbeInterval is the time between two probes of one instance.
	ProbeInterval = 200 * time.Millisecond
	// ProbeTimeout bounds one direct probe.
	ProbeTimeout = 200 * time.Millisecond
	// IndirectProbeTimeout bounds an indirect probe, which has two hops.
	IndirectProbeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a suspect can refute before it counts as silent.
	SuspicionTimeout = 3 * ProbeInterval
	// IndirectProbes is how many others are asked to probe a peer that missed a direct probe.
	IndirectProbes = 3
	// maxUpdates bounds the updates in one message, which keeps the cost of a message constant.
	maxUpdates = 4
	// gossipFactor times log2 of the fleet is how often urgent news is passed on. SWIM uses 3,
	// which reaches all members with high probability.
	gossipFactor = 3
	// minorSends is how often other news is passed on. It reaches most members; the others
	// learn it at their next direct exchange. Urgent news has more sends left and goes first.
	minorSends = 3
	// silentProbeEvery is the number of periods between two probes of silent peers. Silent
	// peers are probed so that the two sides of a healed partition find each other again.
	silentProbeEvery = 5
	// joinPeriods is how many periods after the start silent peers are probed in each period,
	// because at the start every peer counts as silent.
	joinPeriods = 10
)

// Peer is an instance from the settings.
type Peer struct {
	ID     string
	Zone   string
	Region string
}

// Update is one piece of news about a member.
type Update struct {
	Info   Info
	Status Status
}

// Message is the content of a probe and of its answer.
type Message struct {
	From string
	// Incarnation, Version, Applied and PolicyVersion are those of the sender. Offsets change
	// too often to be news.
	Incarnation   uint64
	Version       uint64
	Applied       platform.Offset
	PolicyVersion platform.Offset
	// KnownIncarnation and KnownVersion tell what the sender knows of the receiver.
	KnownIncarnation uint64
	KnownVersion     uint64
	Updates          []Update
}

// entry is what is known of one member.
type entry struct {
	peer   Peer
	info   Info
	status Status
	// since is when status last changed.
	since time.Time
	// sends is how many more messages carry news of this member.
	sends int
	// knowsIncarnation and knowsVersion tell what the member knows of this instance.
	knowsIncarnation uint64
	knowsVersion     uint64
}

// core is the pure part of the failure detector. It is not safe for concurrent use.
type core struct {
	self    *entry
	entries map[string]*entry
	// ids is sorted and includes the instance itself.
	ids []string
	// order is the current random round of probes.
	order      []string
	silentNext int
	periods    int
	leaving    bool
	rng        *rand.Rand
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
	c.spread(c.self)
	return c
}

// spread queues urgent news of a member for the next messages.
func (c *core) spread(e *entry) {
	e.sends = gossipFactor * bits.Len(uint(len(c.ids)))
}

// spreadMinor queues other news of a member.
func (c *core) spreadMinor(e *entry) {
	e.sends = max(e.sends, minorSends)
}

// tick starts a period. It returns the peers to probe and reports whether a status changed.
func (c *core) tick(now time.Time) (targets []string, changed bool) {
	c.periods++
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
	if c.periods <= joinPeriods || c.periods%silentProbeEvery == 0 {
		if target, found := c.nextSilent(); found {
			targets = append(targets, target)
		}
	}
	return targets, changed
}

// nextLive walks the live peers in random order, so that each is probed once a round and the
// time to detect a failure is bounded.
func (c *core) nextLive() (string, bool) {
	for range 2 {
		for len(c.order) > 0 {
			id := c.order[0]
			c.order = c.order[1:]
			if c.probed(c.entries[id]) {
				return id, true
			}
		}
		c.order = slices.Clone(c.ids)
		c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	return "", false
}

func (c *core) probed(e *entry) bool {
	return e != c.self && (e.status == Alive || e.status == Suspect)
}

func (c *core) nextSilent() (string, bool) {
	for range c.ids {
		c.silentNext = (c.silentNext + 1) % len(c.ids)
		e := c.entries[c.ids[c.silentNext]]
		if e != c.self && !c.probed(e) {
			return e.peer.ID, true
		}
	}
	return "", false
}

// helpers returns up to count random live peers other than target.
func (c *core) helpers(target string, count int) []string {
	var live []string
	for _, id := range c.ids {
		e := c.entries[id]
		if id != target && e != c.self && e.status == Alive {
			live = append(live, id)
		}
	}
	c.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(count, len(live))]
}

// missed records that a peer answered neither a direct nor an indirect probe.
func (c *core) missed(now time.Time, target string) (changed bool) {
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
	c.spread(e)
}

// publish changes what this instance tells of itself and reports whether others must learn it
// soon.
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
		c.spread(c.self)
	case old.Ready != info.Ready || !maps.Equal(old.FreeAccelerators, info.FreeAccelerators) ||
		!maps.Equal(old.QueuedAccelerators, info.QueuedAccelerators):
		c.spreadMinor(c.self)
	}
	return urgent
}

// isUrgent reports whether a change should not wait for the next period. An epoch is news from
// its holder only: the others repeat it, and every direct exchange shows it.
func (c *core) isUrgent(old, changed Info) bool {
	for zone, epoch := range changed.Epochs {
		if epoch.Holder == changed.ID && epoch != old.Epochs[zone] {
			return true
		}
	}
	return old.Draining != changed.Draining || !slices.Equal(old.LeavingTargets, changed.LeavingTargets)
}

// leave marks this instance as gracefully stopped.
func (c *core) leave(now time.Time) {
	c.leaving = true
	c.self.info.Draining = true
	c.self.info.Version++
	c.setStatus(now, c.self, Left)
}

// compose builds a message for a peer. A suspicion of the receiver itself is always included,
// so that it can refute at once.
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
	if receiver.knowsIncarnation != self.Incarnation || receiver.knowsVersion < self.Version {
		m.Updates = append(m.Updates, Update{Info: self, Status: c.self.status})
	}
	return c.piggyback(m, receiver)
}

// piggyback fills the message with the news that was passed on least.
func (c *core) piggyback(m Message, receiver *entry) Message {
	var news []*entry
	for _, id := range c.ids {
		if e := c.entries[id]; e.sends > 0 && e != receiver && e != c.self {
			news = append(news, e)
		}
	}
	slices.SortStableFunc(news, func(a, b *entry) int { return cmp.Compare(b.sends, a.sends) })
	for _, e := range news {
		if len(m.Updates) >= maxUpdates {
			break
		}
		e.sends--
		m.Updates = append(m.Updates, Update{Info: e.info, Status: e.status})
	}
	return m
}

// table returns everything known, for an instance that has just started.
func (c *core) table(to string) Message {
	m := c.compose(to)
	m.Updates = nil
	for _, id := range c.ids {
		if e := c.entries[id]; e.info.Incarnation > 0 {
			m.Updates = append(m.Updates, Update{Info: e.info, Status: e.status})
		}
	}
	return m
}

// receive merges a message and reports whether anything that readers see changed.
func (c *core) receive(now time.Time, m Message) (changed bool) {
	sender, found := c.entries[m.From]
	if !found || sender == c.self {
		return false
	}
	sender.knowsIncarnation, sender.knowsVersion = m.KnownIncarnation, m.KnownVersion
	if m.KnownIncarnation > c.self.info.Incarnation {
		// The wall clock went back between two runs of this process.
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

func (c *core) mergeOffsets(sender *entry, m Message) (changed bool) {
	info := &sender.info
	changed = info.Applied < m.Applied || info.PolicyVersion < m.PolicyVersion
	info.Applied = max(info.Applied, m.Applied)
	info.PolicyVersion = max(info.PolicyVersion, m.PolicyVersion)
	return changed
}

// merge applies one update. A higher incarnation wins; within one incarnation a worse status
// and a newer version win.
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
			// Others learn of a new instance from the instance itself and the peers that it asked.
			e.sends = minorSends
		}
		return true
	}
	if u.Info.Version > e.info.Version {
		c.takeInfo(e, u.Info)
		changed = true
	}
	if rank(u.Status) > rank(e.status) {
		c.setStatus(now, e, u.Status)
		changed = true
	}
	return changed
}

// takeInfo replaces what is known of a member and passes on what others need.
func (c *core) takeInfo(e *entry, info Info) {
	old := e.info
	info.Applied = max(info.Applied, old.Applied)
	info.PolicyVersion = max(info.PolicyVersion, old.PolicyVersion)
	e.info = info
	if c.isUrgent(old, info) {
		c.spread(e)
	} else if !maps.Equal(old.FreeAccelerators, info.FreeAccelerators) || old.Ready != info.Ready ||
		!maps.Equal(old.QueuedAccelerators, info.QueuedAccelerators) {
		c.spreadMinor(e)
	}
}

// rank orders statuses within one incarnation.
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

func (c *core) mergeSelf(u Update) {
	if c.leaving || u.Info.Incarnation < c.self.info.Incarnation {
		return
	}
	if u.Status != Alive || u.Info.Incarnation > c.self.info.Incarnation {
		c.refute(u.Info.Incarnation)
	}
}

// refute raises the incarnation above the one that was suspected.
func (c *core) refute(suspected uint64) {
	c.self.info.Incarnation = suspected + 1
	c.self.info.Version++
	c.spread(c.self)
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
