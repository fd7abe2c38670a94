package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// gatedLog holds the appends to a topic back, until they time out or the topic is released.
type gatedLog struct {
	ledger.Log
	mu   sync.Mutex
	held map[string]chan struct{}
	// rejectRenewals is how long after the last renewal that was passed on further ones are rejected as
	// unavailable.
	rejectRenewals time.Duration
	renewedAt      time.Time
}

func (g *gatedLog) hold(topic string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		g.held = make(map[string]chan struct{})
	}
	g.held[topic] = make(chan struct{})
}

func (g *gatedLog) release(topic string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.held[topic])
	delete(g.held, topic)
}

// sinceRenewal returns the time since the last renewal was passed on.
func (g *gatedLog) sinceRenewal() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.renewedAt)
}

func (g *gatedLog) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	g.mu.Lock()
	held := g.held[a.Topic]
	renewal := a.Topic == election.Topic
	if renewal && held != nil && time.Since(g.renewedAt) < g.rejectRenewals {
		g.mu.Unlock()
		return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnavailable, "rejected")
	}
	if renewal && held == nil {
		g.renewedAt = time.Now()
	}
	g.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnknownOutcome, "no response")
		}
	}
	return g.Log.Append(ctx, a)
}

// Guards against a task that is never started, and keeps its place, because its placement was stored
// just while the response to a renewal of the leadership was late.
func TestPlacementStoredWhileRenewalIsLateIsStarted(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		gate := &gatedLog{rejectRenewals: 1700 * time.Millisecond}
		c.wrapLog = func(l ledger.Log) ledger.Log {
			gate.Log = l
			return gate
		}
		c.addWorker("w1", "r1")
		i := c.startInstance("a")
		time.Sleep(4 * time.Second)
		epoch := c.epoch()
		gate.hold(election.Topic)
		gate.hold(batch.TasksTopic)
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1})
		c.waitFor(3*time.Second, "validity has passed", func() bool { return gate.sinceRenewal() > election.Validity })
		_, leads := i.elector.Leader()
		require.False(t, leads)
		gate.release(batch.TasksTopic)
		time.Sleep(150 * time.Millisecond)
		gate.release(election.Topic)
		c.waitFor(3*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Equal(t, epoch, c.epoch(), "the term has not ended")
		require.Empty(t, c.fleet.Violations())
	})
}
