package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// envelope has the fields of a frame of package peer, which precedes each message.
type envelope struct {
	ServiceMethod string
	Seq           uint64
	Error         string
	At            hlc.Timestamp
}

// wire counts the bytes of one direction of one connection. Its gob encoder sends the types
// once, as a long-lived connection does.
type wire struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	seq     uint64
}

// fleet simulates the pure cores of many instances in rounds of one period.
type fleet struct {
	now   time.Time
	cores []*core
	index map[string]int
	dead  map[string]bool
	// cut has pairs that cannot reach each other.
	cut      map[[2]string]bool
	indirect int
	wires    map[[2]string]*wire
	bytes    int
	messages int
	// misses are probes whose outcome is known later.
	misses []miss
}

type miss struct {
	at       time.Time
	observer int
	target   string
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), index: make(map[string]int), dead: make(map[string]bool),
		cut: make(map[[2]string]bool), wires: make(map[[2]string]*wire), indirect: IndirectProbes,
	}
	var peers []Peer
	for i := range n {
		peers = append(peers, Peer{ID: fmt.Sprintf("instance-%03d", i), Zone: fmt.Sprintf("zone-%d", i%5)})
	}
	for i, self := range peers {
		others := append(append([]Peer{}, peers[:i]...), peers[i+1:]...)
		c := newCore(self, others, uint64(f.now.UnixNano()), uint64(i))
		c.publish(func(info *Info) {
			info.Ready = true
			info.Epochs = map[string]platform.Epoch{}
			for z := range 5 {
				info.Epochs[fmt.Sprintf("zone-%d", z)] = platform.Epoch{Number: 7, Holder: peers[z].ID}
			}
		})
		f.cores = append(f.cores, c)
		f.index[self.ID] = i
	}
	// Each instance asks some peers for their tables when it starts.
	for i, c := range f.cores {
		for k := range syncPeers {
			other := f.cores[(i+1+k*7)%n]
			other.receive(f.now, c.compose(other.self.peer.ID))
			c.receive(f.now, other.table(c.self.peer.ID))
		}
	}
	return f
}

func (f *fleet) reaches(a, b string) bool {
	return !f.dead[a] && !f.dead[b] && !f.cut[[2]string{a, b}] && !f.cut[[2]string{b, a}]
}

// count encodes a message as the connection between two instances would.
func (f *fleet) count(from, to, method string, body any) {
	key := [2]string{from, to}
	w := f.wires[key]
	if w == nil {
		w = &wire{}
		w.encoder = gob.NewEncoder(&w.buffer)
		f.wires[key] = w
		// The types are sent once in the life of a connection, so they are not counted.
		if w.encoder.Encode(envelope{}) != nil || w.encoder.Encode(Message{}) != nil {
			panic("membership: encode")
		}
		w.buffer.Reset()
	}
	w.seq++
	if w.encoder.Encode(envelope{method, w.seq, "", hlc.Timestamp{Wall: f.now.UnixNano()}}) != nil || w.encoder.Encode(body) != nil {
		panic("membership: encode")
	}
	f.bytes += w.buffer.Len()
	w.buffer.Reset()
	f.messages++
}

// exchange sends a probe and its answer and reports whether the answer came.
func (f *fleet) exchange(from, to string) bool {
	a := f.cores[f.index[from]]
	request := a.compose(to)
	f.count(from, to, methodProbe, request)
	if !f.reaches(from, to) {
		return false
	}
	b := f.cores[f.index[to]]
	b.receive(f.now, request)
	reply := b.compose(from)
	f.count(to, from, methodProbe, reply)
	a.receive(f.now, reply)
	return true
}

func (f *fleet) period() {
	f.now = f.now.Add(ProbeInterval)
	due := f.misses
	f.misses = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.misses = append(f.misses, m)
		} else {
			f.cores[m.observer].missed(f.now, m.target)
		}
	}
	for i, c := range f.cores {
		if f.dead[c.self.peer.ID] {
			continue
		}
		targets, _ := c.tick(f.now)
		for _, target := range targets {
			f.probe(i, c, target)
		}
	}
}

func (f *fleet) probe(i int, c *core, target string) {
	self := c.self.peer.ID
	if f.exchange(self, target) {
		return
	}
	for _, helper := range c.helpers(target, f.indirect) {
		f.count(self, helper, methodAsk, AskArgs{Target: target})
		if f.reaches(self, helper) && f.exchange(helper, target) {
			f.count(helper, self, methodAsk, AskReply{Alive: true})
			return
		}
	}
	f.misses = append(f.misses, miss{at: f.now.Add(ProbeTimeout + IndirectProbeTimeout), observer: i, target: target})
}

func (f *fleet) statuses(id string) map[Status]int {
	count := make(map[Status]int)
	for _, c := range f.cores {
		if !f.dead[c.self.peer.ID] && c.self.peer.ID != id {
			count[c.entries[id].status]++
		}
	}
	return count
}

// detect kills an instance and returns when the first and when all others count it as silent.
func (f *fleet) detect(id string) (first, all time.Duration) {
	f.dead[id] = true
	begin := f.now
	for all == 0 {
		f.period()
		count := f.statuses(id)
		if first == 0 && count[Unreachable] > 0 {
			first = f.now.Sub(begin)
		}
		if count[Unreachable] == len(f.cores)-len(f.dead) {
			all = f.now.Sub(begin)
		}
	}
	return first, all
}

// Guards against a failed instance that is never found, or found late.
func TestSilenceIsDetectedByAll(t *testing.T) {
	f := newFleet(6)
	for range 20 {
		f.period()
	}
	require.Equal(t, 5, f.statuses("instance-002")[Alive])
	first, all := f.detect("instance-002")
	require.LessOrEqual(t, first, 2500*time.Millisecond)
	require.LessOrEqual(t, all, 4*time.Second)
}

// Guards against a takeover because of one broken path: with indirect probes nobody suspects
// an instance that one other cannot reach, without them it is suspected.
func TestIndirectProbesBridgeOneBrokenPath(t *testing.T) {
	suspicions := func(indirect int) int {
		f := newFleet(6)
		f.indirect = indirect
		f.cut[[2]string{"instance-000", "instance-001"}] = true
		suspected := 0
		for range 300 {
			f.period()
			if f.statuses("instance-001")[Suspect] > 0 {
				suspected++
			}
		}
		return suspected
	}
	require.Zero(t, suspicions(IndirectProbes))
	require.Positive(t, suspicions(0))
}

// Guards against a suspected instance that cannot clear itself, and a restarted one that is
// taken for its predecessor.
func TestRefutationAndRestart(t *testing.T) {
	f := newFleet(6)
	for range 20 {
		f.period()
	}
	victim := f.cores[3]
	for i := range f.cores {
		f.cores[i].missed(f.now, victim.self.peer.ID)
	}
	for range 6 {
		f.period()
	}
	require.Equal(t, 5, f.statuses(victim.self.peer.ID)[Alive])

	f.detect(victim.self.peer.ID)
	delete(f.dead, victim.self.peer.ID)
	var peers []Peer
	for _, c := range f.cores {
		if c != victim {
			peers = append(peers, c.self.peer)
		}
	}
	// The wall clock of the machine went back, so the incarnation is lower than before.
	f.cores[3] = newCore(victim.self.peer, peers, 1, 9)
	for range 40 {
		f.period()
	}
	require.Equal(t, 5, f.statuses(victim.self.peer.ID)[Alive])
	require.Greater(t, f.cores[0].entries[victim.self.peer.ID].info.Incarnation, victim.self.info.Incarnation)
}

// Guards against a graceful stop that looks like a failure.
func TestLeavingIsAnnounced(t *testing.T) {
	f := newFleet(6)
	for range 20 {
		f.period()
	}
	c := f.cores[4]
	c.leave(f.now)
	for _, target := range c.helpers("", announceTo) {
		f.exchange(c.self.peer.ID, target)
	}
	f.dead[c.self.peer.ID] = true
	for range 10 {
		f.period()
	}
	require.Equal(t, 5, f.statuses(c.self.peer.ID)[Left])
}

// runWithRecords runs some periods in which the state changes at the design size's rate of 0.3
// records a second, which is one in 17 periods.
func (f *fleet) runWithRecords(periods int) {
	for i := range periods {
		f.period()
		if i%17 != 0 {
			continue
		}
		for _, c := range f.cores {
			c.publish(func(info *Info) { info.Applied++ })
		}
	}
}

// BenchmarkCapacityMembership reports the cost for each instance and the time to detect a
// failure.
func BenchmarkCapacityMembership(b *testing.B) {
	for _, n := range []int{6, 50, 100, 200} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkMembership(b, n)
			}
		})
	}
}

func benchmarkMembership(b *testing.B, n int) {
	const warmUp, measured = 100, 300
	f := newFleet(n)
	f.runWithRecords(warmUp)
	f.bytes, f.messages = 0, 0
	f.runWithRecords(measured)
	perInstance := (measured * ProbeInterval).Seconds() * float64(n)
	b.ReportMetric(float64(f.bytes)/perInstance, "sent_B/s")
	b.ReportMetric(float64(f.messages)/perInstance, "messages/s")
	first, all := f.detect("instance-001")
	b.ReportMetric(first.Seconds(), "detect_first_s")
	b.ReportMetric(all.Seconds(), "detect_all_s")
}
