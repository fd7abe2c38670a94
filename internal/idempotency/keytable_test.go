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

// cluster connects the key tables of several instances and claims one key. It delivers messages late,
// out of order or not at all.
type cluster struct {
	now      time.Time
	ids      []string
	tables   map[string]*KeyTable
	inFlight []func()
	// dispatchTimes has the times at which requests with a key were dispatched.
	dispatchTimes map[Key][]time.Time
	nextClaim     byte
	key           Key
}

func newCluster(n int) *cluster {
	c := &cluster{now: testStart, tables: make(map[string]*KeyTable), dispatchTimes: make(map[Key][]time.Time)}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("e%d", i))
	}
	for _, id := range c.ids {
		c.tables[id] = NewKeyTable(id, c.ids, true, c.now)
	}
	c.key = KeyOf(admission.Flow{Organisation: "o", Caller: "c"}, "key")
	return c
}

// claim starts a claim of the key. When a majority has granted it, the request counts as dispatched.
func (c *cluster) claim() {
	c.nextClaim++
	id := ClaimID{c.nextClaim}
	quorum := NewQuorum(ReplicasOf(c.key, c.ids), c.now)
	done := false
	for _, replica := range ReplicasOf(c.key, c.ids) {
		c.send(func() {
			claimResult := c.tables[replica].Claim(c.now, c.key, id)
			c.send(func() {
				quorum.Add(c.now, replica, claimResult)
				if result, decided := quorum.Result(); decided && result == Granted && !done {
					done = true
					c.dispatchTimes[c.key] = append(c.dispatchTimes[c.key], c.now)
				}
			})
		})
	}
}

func (c *cluster) send(message func()) { c.inFlight = append(c.inFlight, message) }

func (c *cluster) restart(id string) { c.tables[id] = NewKeyTable(id, c.ids, false, c.now) }

// copyMissing requests the tables that the instance id needs after a restart.
func (c *cluster) copyMissing(id string) {
	table := c.tables[id]
	for _, from := range table.MissingCopies(c.now) {
		c.send(func() {
			entries, complete := c.tables[from].EntriesFor(c.now, id)
			c.send(func() {
				// A response to an earlier incarnation of the instance is dropped.
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

// check returns an error if two requests with the key were dispatched within ClaimValidity.
func (c *cluster) check() error {
	times := c.dispatchTimes[c.key]
	for i := 1; i < len(times); i++ {
		if times[i].Sub(times[i-1]) < ClaimValidity {
			return fmt.Errorf("requests with the same key dispatched at %s and at %s", times[i-1].Sub(testStart), times[i].Sub(testStart))
		}
	}
	return nil
}

// Guards against two dispatched requests with the same key while replicas restart, grants are late or
// lost and several claims are in progress.
func TestOneRequestPerKeyIsDispatched(t *testing.T) {
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
			"restart": func(t *rapid.T) { c.restart(rapid.SampledFrom(replicas).Draw(t, "replica")) },
			"recover": func(t *rapid.T) { c.copyMissing(rapid.SampledFrom(replicas).Draw(t, "replica")) },
		})
	})
}

// Guards against a second dispatch when a request is sent again after its first dispatch and after
// restarts of up to two of three replicas, which lose their tables.
func TestResendAfterRestartIsNotDispatched(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		c := newCluster(3)
		c.claim()
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
		require.Len(t, c.dispatchTimes[c.key], 1)
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
		require.Len(t, c.dispatchTimes[c.key], 1, "%d replicas lost their tables", lost)
	}
}

// Guards against a key that stays granted to a claim that was released because its request did not
// run, and against keys that never expire.
func TestReleaseAndExpiry(t *testing.T) {
	table := NewKeyTable("e0", []string{"e0"}, true, testStart)
	key := Key{1}
	require.Equal(t, Granted, table.Claim(testStart, key, ClaimID{1}))
	require.Equal(t, AlreadyClaimed, table.Claim(testStart, key, ClaimID{2}))
	table.Release(key, ClaimID{1})
	require.Equal(t, Granted, table.Claim(testStart, key, ClaimID{2}))
	require.Equal(t, AlreadyClaimed, table.Claim(testStart.Add(Retention-1), key, ClaimID{3}))
	require.Equal(t, Granted, table.Claim(testStart.Add(Retention), key, ClaimID{3}))
	require.Equal(t, 1, table.KeyCount())
}

// Guards against requests with keys that get an unknown outcome after two of six instances have lost
// their tables, before and after they have recovered the missing entries. An instance that is down is
// simulated by one that has not recovered: it grants nothing.
func TestTwoLostInstancesDoNotStopKeys(t *testing.T) {
	for _, recovered := range []bool{false, true} {
		c := newCluster(6)
		lost := ReplicasOf(c.key, c.ids)[:2]
		for _, id := range lost {
			c.restart(id)
		}
		if recovered {
			c.now = c.now.Add(copyDelay)
			for _, id := range lost {
				c.copyMissing(id)
			}
		}
		c.claim()
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
		require.Len(t, c.dispatchTimes[c.key], 1)
		require.Equal(t, recovered, c.tables[lost[0]].Complete(c.now))
	}
}

// Guards against a single instance that loses its table in a restart and grants the same keys again
// before Retention has passed.
func TestSingleInstanceWaitsAfterRestart(t *testing.T) {
	table := NewKeyTable("e0", []string{"e0"}, false, testStart)
	require.Equal(t, Unknown, table.Claim(testStart.Add(Retention-1), Key{1}, ClaimID{1}))
	require.Equal(t, Granted, table.Claim(testStart.Add(Retention), Key{1}, ClaimID{1}))
}

// Guards against a replica that copies tables too early after a restart, while a claim that its
// previous incarnation granted is still in progress. The copies would not contain that claim, and the
// replica would grant another one. If the other grants of the first claim arrive later, both claims
// have a majority.
func TestClaimInFlightAcrossRestart(t *testing.T) {
	c := newCluster(3)
	c.claim()
	c.deliver(0)           // the first replica grants the claim; its response is in flight
	late := c.inFlight[:1] // the claim arrives late at the second replica
	response := c.inFlight[len(c.inFlight)-1]
	replicas := ReplicasOf(c.key, c.ids)
	c.restart(replicas[0])
	c.inFlight = nil
	// The rounds take 3/4 of ClaimTimeout: less than copyDelay, and the late grant still counts.
	for range 3 {
		c.copyMissing(replicas[0])
		for len(c.inFlight) > 0 {
			c.deliver(0)
		}
		c.now = c.now.Add(ClaimTimeout / 4)
	}
	c.inFlight = append(c.inFlight, response, late[0])
	for len(c.inFlight) > 0 {
		c.deliver(0)
	}
	c.claim()
	for len(c.inFlight) > 0 {
		c.deliver(0)
	}
	require.NoError(t, c.check())
}
