package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderbend/oleanderbend/internal/admission"
)

var testStart = time.Unix(1_000_000, 0)

// cluster runs homes and claimants with messages that are late, lost or out of order.
type cluster struct {
	now        time.Time
	ids        []string
	tables     map[string]*KeyTable
	inFlight   []func()
	dispatched map[Key][]time.Time
	nextClaim  byte
	key        Key
}

func newCluster(n int) *cluster {
	c := &cluster{now: testStart, tables: make(map[string]*KeyTable), dispatched: make(map[Key][]time.Time)}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("e%d", i))
	}
	for _, id := range c.ids {
		c.tables[id] = NewKeyTable(id, c.ids, true, c.now)
	}
	c.key = KeyOf(admission.Flow{Organisation: "o", Caller: "c"}, "key")
	return c
}

// claim starts a claim that dispatches at the grant that completes it.
func (c *cluster) claim() {
	c.nextClaim++
	id := ClaimID{c.nextClaim}
	quorum := NewQuorum(ReplicasOf(c.key, c.ids), c.now)
	done := false
	for _, replica := range ReplicasOf(c.key, c.ids) {
		c.send(func() {
			result := c.tables[replica].Claim(c.now, c.key, id)
			c.send(func() {
				quorum.Add(c.now, replica, result)
				if result, decided := quorum.Result(); decided && result == Granted && !done {
					done = true
					c.dispatched[c.key] = append(c.dispatched[c.key], c.now)
				}
			})
		})
	}
}

func (c *cluster) send(message func()) { c.inFlight = append(c.inFlight, message) }

func (c *cluster) restart(id string) { c.tables[id] = NewKeyTable(id, c.ids, false, c.now) }

func (c *cluster) copyMissing(id string) {
	table := c.tables[id]
	for _, from := range table.MissingCopies(c.now) {
		c.send(func() {
			entries, complete := c.tables[from].EntriesFor(c.now, id)
			c.send(func() {
				// The answer belongs to the run of the home that asked.
				if complete && c.tables[id] == table {
					table.Merge(c.now, from, entries)
				}
			})
		})
	}
}

func (c *cluster) deliver(i int) {
	message := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	message()
}

func (c *cluster) check() error {
	times := c.dispatched[c.key]
	for i := 1; i < len(times); i++ {
		if times[i].Sub(times[i-1]) < ClaimValidity {
			return fmt.Errorf("key dispatched at %s and again at %s", times[i-1].Sub(testStart), times[i].Sub(testStart))
		}
	}
	return nil
}

// Guards against two dispatches of one key while homes restart, grants are late or lost and
// claims run at the same time.
func TestKeyIsDispatchedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 7).Draw(t, "instances"))
		replicas := ReplicasOf(c.key, c.ids)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if err := c.check(); err != nil {
					t.Fatal(err)
				}
			},
			"claim": func(*rapid.T) { c.claim() },
			"deliver": func(t *rapid.T) {
				if len(c.inFlight) == 0 {
					t.Skip()
				}
				c.deliver(rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message"))
			},
			"deliverAll": func(*rapid.T) {
				for len(c.inFlight) > 0 {
					c.deliver(0)
				}
			},
			"lose": func(*rapid.T) { c.inFlight = nil },
			"wait": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.SampledFrom([]int{1, 300, 1000, 1500}).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) { c.restart(rapid.SampledFrom(replicas).Draw(t, "home")) },
			"recover": func(t *rapid.T) { c.copyMissing(rapid.SampledFrom(replicas).Draw(t, "home")) },
		})
	})
}

// Guards against a dispatch by a resend whose homes restarted after the first dispatch.
func TestResendAfterRestartIsRefused(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		c := newCluster(3)
		c.claim()
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
		require.Len(t, c.dispatched[c.key], 1)
		for _, id := range c.ids[:lost] {
			c.restart(id)
		}
		c.now = c.now.Add(copyDelay)
		for _, id := range c.ids {
			c.copyMissing(id)
		}
		c.claim()
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
		require.Len(t, c.dispatched[c.key], 1, "%d homes lost", lost)
	}
}

// Guards against a key that stays burned although its request did not run, and against keys
// that are never forgotten.
func TestReleaseAndExpiry(t *testing.T) {
	h := NewKeyTable("e0", []string{"e0"}, true, testStart)
	key := Key{1}
	require.Equal(t, Granted, h.Claim(testStart, key, ClaimID{1}))
	require.Equal(t, AlreadyClaimed, h.Claim(testStart, key, ClaimID{2}))
	h.Release(key, ClaimID{1})
	require.Equal(t, Granted, h.Claim(testStart, key, ClaimID{2}))
	require.Equal(t, AlreadyClaimed, h.Claim(testStart.Add(Retention-1), key, ClaimID{3}))
	require.Equal(t, Granted, h.Claim(testStart.Add(Retention), key, ClaimID{3}))
	require.Equal(t, 1, h.KeyCount())
}

// Guards against keyed requests that get an unknown outcome while any two of six instances are
// lost, or after both have been replaced by new ones that know no keys.
func TestTwoLostInstancesDoNotStopKeys(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		c := newCluster(6)
		lost := ReplicasOf(c.key, c.ids)[:2]
		for _, id := range lost {
			c.restart(id)
		}
		if replaced {
			c.now = c.now.Add(copyDelay)
			for _, id := range lost {
				c.copyMissing(id)
			}
		}
		c.claim()
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
		require.Len(t, c.dispatched[c.key], 1)
		require.Equal(t, replaced, c.tables[lost[0]].Complete(c.now))
	}
}

// Guards against a single instance that forgets its keys in a restart and grants them again.
func TestLoneHomeWaitsAfterRestart(t *testing.T) {
	h := NewKeyTable("e0", []string{"e0"}, false, testStart)
	require.Equal(t, Unknown, h.Claim(testStart.Add(Retention-1), Key{1}, ClaimID{1}))
	require.Equal(t, Granted, h.Claim(testStart.Add(Retention), Key{1}, ClaimID{1}))
}

// Guards against a home that copies tables before the claims of its last run are settled: a
// grant given before the restart and one still on its way would make a second majority.
func TestClaimInFlightAcrossRestart(t *testing.T) {
	c := newCluster(3)
	c.claim()
	c.deliver(0)           // the first home grants and its answer is on its way
	late := c.inFlight[:1] // the message to the second home is late
	answer := c.inFlight[len(c.inFlight)-1]
	replicas := ReplicasOf(c.key, c.ids)
	c.restart(replicas[0])
	c.inFlight = nil
	for range 3 {
		c.copyMissing(replicas[0])
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
		c.now = c.now.Add(ClaimTimeout / 4)
	}
	c.inFlight = append(c.inFlight, answer, late[0])
	for len(c.inFlight) > 0 {
		c.deliver(0)
	}
	c.claim()
	for len(c.inFlight) > 0 {
		c.deliver(0)
	}
	require.NoError(t, c.check())
}
