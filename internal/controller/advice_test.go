package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// useAdvice makes the queue of the cluster use an advice service that permits the given workers. It must be called
// before instances start.
func (c *cluster) useAdvice(ticketValidity time.Duration, permitted ...string) *workertest.Advisor {
	config := *testConfig
	config.Queues = []opconfig.Queue{testConfig.Queues[0]}
	config.Queues[0].Advice = &opconfig.AdviceService{
		BaseLatency: 20 * time.Millisecond, LatencyPerWorker: 2 * time.Millisecond, TicketValidity: ticketValidity,
	}
	config.BuildIndexes()
	c.config = &config
	advisor := workertest.NewAdvisor(c.fleet, ticketValidity, permitted...)
	c.advisor = advisor
	return advisor
}

// wholeWorker returns a step of the given number of tasks, each of which needs all accelerators of a worker.
func wholeWorker(tasks int) batch.Step { return batch.Step{Count: tasks, CPU: 1000, GPU: 8} }

// loseWorkers stops workers for good and removes their registry entries.
func (c *cluster) loseWorkers(ids ...string) {
	for _, id := range ids {
		c.fleet.Remove(id)
	}
	time.Sleep(3 * time.Second)
	for _, id := range ids {
		c.write(workersTopic, ledger.Record{Key: id})
	}
}

// Guards against a job with advice that never runs again: the workers that were granted for it were lost for good,
// and the leader never asked about those that replaced them.
func TestJobWithAdviceRunsOnReplacedWorkers(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		inVirtualTime(t, 1, fixedWork(4*time.Second), func(c *cluster) {
			c.useAdvice(3*time.Second, "w1", "w2", "w3", "w4")
			for _, id := range []string{"w1", "w2", "other1", "other2"} {
				c.addWorker(id, "r1")
			}
			leader := c.startInstance("a")
			c.submit(jobID(1), wholeWorker(2))
			c.waitFor(4*time.Second, "started", func() bool { return c.fleet.RunCount("w1") == 1 && c.fleet.RunCount("w2") == 1 })
			c.loseWorkers("w1", "w2")
			if takeover {
				leader.kill()
				c.startInstance("b")
			}
			c.addWorker("w3", "r1")
			c.addWorker("w4", "r1")
			c.waitFor(15*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
			require.Empty(t, c.fleet.Violations())
		})
	}
}

// As TestJobWithAdviceRunsOnReplacedWorkers, for a worker that was refused and starts again under its ID as another
// kind.
func TestAdviceIsRequestedForNewIncarnations(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		advisor := c.useAdvice(3*time.Second, "w1")
		c.addWorker("w1", "r1")
		c.addWorker("w2", "r1")
		c.startInstance("a")
		c.submit(jobID(1), wholeWorker(1), batch.Step{Count: 1, CPU: 1000, GPU: 8, After: []int{0}})
		c.waitFor(4*time.Second, "started", func() bool { return c.fleet.RunCount("w1") == 1 })
		c.loseWorkers("w1")
		time.Sleep(7 * time.Second)
		require.NotEqual(t, batch.Completed, c.phase(jobID(1)))
		advisor.Permit("w2")
		c.restartWorker("w2", 0)
		c.waitFor(5*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against a job with advice that waits although a permitted worker is idle: as many workers were granted as
// tasks wait, but other work keeps those busy.
func TestAdviceIsRequestedForIdleWorkersWhileGrantedOnesAreBusy(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(20*time.Second), func(c *cluster) {
		c.useAdvice(3*time.Second, "w1", "w2")
		c.addWorker("w1", "r1")
		c.startInstance("a")
		c.submit(jobID(1), wholeWorker(1))
		c.waitFor(4*time.Second, "first job started", func() bool { return c.fleet.RunCount("w1") == 1 })
		c.submit(jobID(2), wholeWorker(1))
		time.Sleep(4 * time.Second)
		c.addWorker("w2", "r1")
		c.waitFor(2*time.Second, "second job started", func() bool { return c.fleet.RunCount("w2") == 1 })
	})
}

// Guards against tasks with advice that wait although permitted workers are idle: more workers were granted than one
// call may name, and only the first of them were asked about again.
func TestAdviceCoversMoreWorkersThanOneCall(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(20*time.Second), func(c *cluster) {
		const workers = maxWorkersPerCall + 10
		var ids []string
		for n := range workers {
			ids = append(ids, fmt.Sprintf("w%02d", n))
		}
		c.useAdvice(3*time.Second, ids...)
		for _, id := range ids {
			c.addWorker(id, "r1")
		}
		c.startInstance("a")
		c.submit(jobID(1), wholeWorker(workers))
		c.waitFor(5*time.Second, "started", func() bool {
			_, runs := c.fleet.JobCounts(jobID(1))
			return runs == workers
		})
	})
}

// Guards against a job with advice that never starts another task once a configuration has removed its route: the leader
// knew of the advice service only from the current configuration, and its starts had no tickets.
func TestJobWithAdviceGoesOnAfterItsRouteIsRemoved(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		inVirtualTime(t, 1, fixedWork(2*time.Second), func(c *cluster) {
			c.useAdvice(3*time.Second, "w1")
			c.addWorker("w1", "r1")
			c.addWorker("w2", "r1")
			leader := c.startInstance("a")
			c.submit(jobID(1), wholeWorker(1), batch.Step{Count: 1, CPU: 1000, GPU: 8, After: []int{0}})
			c.waitFor(4*time.Second, "started", func() bool { return c.fleet.RunCount("w1") == 1 })
			c.config = &opconfig.Config{Version: 2, Orgs: testConfig.Orgs}
			c.config.BuildIndexes()
			if takeover {
				leader.kill()
				c.startInstance("b")
			} else {
				require.True(t, leader.intake.SetConfig(c.config))
			}
			c.waitFor(15*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
			require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(1), Step: 1}))
		})
	}
}

// stepAdvisor is an advice service that refuses all workers, or does not respond, for the steps of some jobs.
type stepAdvisor struct {
	*workertest.Advisor
	refused, failing map[string]bool
}

func (a *stepAdvisor) Advise(ctx context.Context, step string, workers []string) ([]worker.Grant, time.Duration, error) {
	job, _, _ := strings.Cut(step, ".")
	switch {
	case a.failing[job]:
		<-ctx.Done()
		return nil, 0, worker.ErrUnknownOutcome
	case a.refused[job]:
		time.Sleep(time.Duration(20+2*len(workers)) * time.Millisecond)
		return nil, 0, nil
	}
	return a.Advisor.Advise(ctx, step, workers)
}

// Guards against jobs with advice that never start because of earlier ones for which no call to the advice service
// helps: the leader went on choosing the earlier ones.
func TestHopelessJobsDoNotKeepOthersFromAdvice(t *testing.T) {
	for _, test := range []struct {
		name string
		jobs int
		step batch.Step
	}{
		{"label", 30, batch.Step{Count: 1, CPU: 1000, GPU: 1, Label: "none"}},
		{"refused", 30, batch.Step{Count: 1, CPU: 1000, GPU: 1}},
		{"failing", 2, batch.Step{Count: 1, CPU: 1000, GPU: 1}},
		// The permitted workers suffice for two of these tasks, but the gang needs all.
		{"gang", 30, batch.Step{Count: 3, CPU: 1000, GPU: 8, Gang: true}},
		// No worker is large enough.
		{"large", 30, batch.Step{Count: 1, CPU: 1000, GPU: 9}},
	} {
		for _, takeover := range []bool{false, true} {
			inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
				advisor := &stepAdvisor{Advisor: c.useAdvice(3*time.Second, "w1", "w2"), refused: make(map[string]bool), failing: make(map[string]bool)}
				for n := range test.jobs {
					advisor.refused[jobID(n)], advisor.failing[jobID(n)] = test.name == "refused", test.name == "failing"
				}
				c.advisor = advisor
				testHopelessJobs(c, test.jobs, test.step, takeover)
			})
		}
	}
}

// testHopelessJobs submits jobs that cannot be done and then some that can. With a takeover, the leader is replaced in
// between.
func testHopelessJobs(c *cluster, jobs int, hopeless batch.Step, takeover bool) {
	for _, id := range []string{"w1", "w2", "other1", "other2"} {
		c.addWorker(id, "r1")
	}
	leader := c.startInstance("a")
	for n := range jobs {
		c.submit(jobID(n), hopeless)
	}
	time.Sleep(4 * time.Second)
	if takeover {
		leader.kill()
		c.startInstance("b")
	}
	const first, last = 100, 106
	for n := first; n < last; n++ {
		c.submit(jobID(n), batch.Step{Count: 2, CPU: 1000, GPU: 4}, batch.Step{Count: 1, CPU: 1000, GPU: 8, After: []int{0}})
	}
	for n := first; n < last; n++ {
		c.waitFor(25*time.Second, "completed", func() bool { return c.phase(jobID(n)) == batch.Completed })
	}
	require.Empty(c.t, c.fleet.Violations())
}
