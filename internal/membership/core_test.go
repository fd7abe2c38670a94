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

// envelope has the fields of the frame that package peer sends before each message.
type envelope struct {
	ServiceMethod string
	Seq           uint64
	Error         string
	At            hlc.Timestamp
}

// countingConnection counts the bytes of one direction of a connection. Its gob encoder sends
// type definitions once, like that of a long-lived connection.
type countingConnection struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	seq     uint64
}

// fleet simulates the failure detectors of many instances in steps of one probe interval.
type fleet struct {
	now     time.Time
	cores   []*core
	index   map[string]int
	stopped map[string]bool
	// partitioned has pairs of instances that cannot reach each other, in either order.
	partitioned    map[[2]string]bool
	indirectProbes int
	connections    map[[2]string]*countingConnection
	bytes          int
	messages       int
	// pendingFailures are failed probes whose timeout has not passed yet.
	pendingFailures []pendingFailure
}

// pendingFailure is a failed probe that its sender notices at a later time.
type pendingFailure struct {
	at       time.Time
	observer int
	target   string
}

func newFleet(n int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), index: make(map[string]int), stopped: make(map[string]bool),
		partitioned: make(map[[2]string]bool), connections: make(map[[2]string]*countingConnection), indirectProbes: IndirectProbes,
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
	// Each instance fetches the known members from a few peers when it starts.
	for i, c := range f.cores {
		for k := range syncPeers {
			other := f.cores[(i+1+k*7)%n]
			other.receive(f.now, c.compose(other.self.peer.ID))
			c.receive(f.now, other.composeFull(c.self.peer.ID))
		}
	}
	return f
}

func (f *fleet) reaches(a, b string) bool {
	return !f.stopped[a] && !f.stopped[b] && !f.partitioned[[2]string{a, b}] && !f.partitioned[[2]string{b, a}]
}

// count adds the encoded size of a message on the connection between two instances.
func (f *fleet) count(from, to, method string, body any) {
	key := [2]string{from, to}
	w := f.connections[key]
	if w == nil {
		w = &countingConnection{}
		w.encoder = gob.NewEncoder(&w.buffer)
		f.connections[key] = w
		// Type definitions are sent once per connection, so they are not counted.
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

// exchange sends a probe and its response and reports whether the response arrived.
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
	due := f.pendingFailures
	f.pendingFailures = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.pendingFailures = append(f.pendingFailures, m)
		} else {
			f.cores[m.observer].probeFailed(f.now, m.target)
		}
	}
	for i, c := range f.cores {
		if f.stopped[c.self.peer.ID] {
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
	for _, helper := range c.randomAlivePeers(target, f.indirectProbes) {
		f.count(self, helper, methodAsk, AskArgs{Target: target})
		if f.reaches(self, helper) && f.exchange(helper, target) {
			f.count(helper, self, methodAsk, AskReply{Alive: true})
			return
		}
	}
	f.pendingFailures = append(f.pendingFailures, pendingFailure{at: f.now.Add(ProbeTimeout + IndirectProbeTimeout), observer: i, target: target})
}

func (f *fleet) statuses(id string) map[Status]int {
	count := make(map[Status]int)
	for _, c := range f.cores {
		if !f.stopped[c.self.peer.ID] && c.self.peer.ID != id {
			count[c.entries[id].status]++
		}
	}
	return count
}

// detect stops an instance and returns the time until the first and until all other instances mark
// it as unreachable.
func (f *fleet) detect(id string) (first, all time.Duration) {
	f.stopped[id] = true
	begin := f.now
	for all == 0 {
		f.period()
		count := f.statuses(id)
		if first == 0 && count[Unreachable] > 0 {
			first = f.now.Sub(begin)
		}
		if count[Unreachable] == len(f.cores)-len(f.stopped) {
			all = f.now.Sub(begin)
		}
	}
	return first, all
}

// TestFailedInstanceIsDetectedByAll guards against a failed instance that some members detect too
// late or never.
func TestFailedInstanceIsDetectedByAll(t *testing.T) {
	f := newFleet(6)
	for range 20 {
		f.period()
	}
	require.Equal(t, 5, f.statuses("instance-002")[Alive])
	first, all := f.detect("instance-002")
	require.LessOrEqual(t, first, 2500*time.Millisecond)
	require.LessOrEqual(t, all, 4*time.Second)
}

// TestIndirectProbesBridgeOneBrokenPath guards against a suspicion, and so a takeover, because of one
// broken network path. With indirect probes no member suspects an instance that only one other
// cannot reach; without them it is suspected.
func TestIndirectProbesBridgeOneBrokenPath(t *testing.T) {
	suspicions := func(indirect int) int {
		f := newFleet(6)
		f.indirectProbes = indirect
		f.partitioned[[2]string{"instance-000", "instance-001"}] = true
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

// TestRefutationAndRestart guards against an instance that cannot refute a suspicion, and against a
// restarted instance that is mistaken for its earlier incarnation.
func TestRefutationAndRestart(t *testing.T) {
	f := newFleet(6)
	for range 20 {
		f.period()
	}
	restarted := f.cores[3]
	for i := range f.cores {
		f.cores[i].probeFailed(f.now, restarted.self.peer.ID)
	}
	for range 6 {
		f.period()
	}
	require.Equal(t, 5, f.statuses(restarted.self.peer.ID)[Alive])

	f.detect(restarted.self.peer.ID)
	delete(f.stopped, restarted.self.peer.ID)
	var peers []Peer
	for _, c := range f.cores {
		if c != restarted {
			peers = append(peers, c.self.peer)
		}
	}
	// The wall clock was set back, so the new incarnation is lower than the previous one.
	f.cores[3] = newCore(restarted.self.peer, peers, 1, 9)
	for range 40 {
		f.period()
	}
	require.Equal(t, 5, f.statuses(restarted.self.peer.ID)[Alive])
	require.Greater(t, f.cores[0].entries[restarted.self.peer.ID].info.Incarnation, restarted.self.info.Incarnation)
}

// TestLeavingIsAnnounced guards against a graceful stop that the other instances treat as a failure.
func TestLeavingIsAnnounced(t *testing.T) {
	f := newFleet(6)
	for range 20 {
		f.period()
	}
	c := f.cores[4]
	c.leave(f.now)
	for _, target := range c.randomAlivePeers("", announcePeers) {
		f.exchange(c.self.peer.ID, target)
	}
	f.stopped[c.self.peer.ID] = true
	for range 10 {
		f.period()
	}
	require.Equal(t, 5, f.statuses(c.self.peer.ID)[Left])
}

// runWithRecords simulates a number of probe intervals with 0.3 log records a second, the rate at the
// design size, which is one record in 17 intervals.
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

// BenchmarkCapacityMembership reports the traffic of each instance and the time to detect a failure.
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
