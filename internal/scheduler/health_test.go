package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

func actionKinds(actions []HealthAction) []HealthActionKind {
	var out []HealthActionKind
	for _, a := range actions {
		out = append(out, a.Kind)
	}
	return out
}

// Guards against a worker that keeps getting jobs although every job fails on it, and against
// one that is never used again after its repair.
func TestBadWorkerIsQuarantinedProbedAndReused(t *testing.T) {
	h := NewHealth(resource.PlacementPolicy{})
	for i, org := range []string{"x", "y", "x"} {
		require.True(t, h.Usable("w"))
		h.RecordFailure(testStart, "w", job(fmt.Sprint("j", i), org, 1, 1, ""))
	}
	require.False(t, h.Usable("w"))
	require.Equal(t, []HealthActionKind{HealthQuarantine}, actionKinds(h.Actions(testStart)))
	now := testStart.Add(minProbeBackoff)
	require.Equal(t, []HealthActionKind{HealthProbe}, actionKinds(h.Actions(now)))
	h.RecordProbe(now, "w", false)
	require.Empty(t, h.Actions(now.Add(minProbeBackoff)), "the wait doubles after a failed probe")
	now = now.Add(2 * minProbeBackoff)
	for range probesToReturn {
		require.Equal(t, []HealthActionKind{HealthProbe}, actionKinds(h.Actions(now)))
		h.RecordProbe(now, "w", true)
		now = now.Add(minProbeBackoff)
	}
	require.Equal(t, []HealthActionKind{HealthReturn}, actionKinds(h.Actions(now)))
	require.True(t, h.Usable("w"))
	require.True(t, h.Suspect("w"), "a returned worker gets one gang at a time until a job has succeeded on it")
	h.RecordSuccess("w")
	require.False(t, h.Suspect("w"))
}

// Guards against healthy workers that are taken out of use because jobs of one organisation fail
// on every worker, and against such jobs being restarted without end.
func TestFaultyJobsDoNotQuarantineWorkers(t *testing.T) {
	h := NewHealth(resource.PlacementPolicy{})
	now := testStart
	for i := range 10 {
		j := job(fmt.Sprint("faulty", i), "x", 1, 1, "")
		for w := 0; ; w++ {
			worker := fmt.Sprint("w", w)
			require.Less(t, w, 20)
			if !h.Usable(worker) {
				continue
			}
			h.RecordFailure(now, worker, j)
			for _, a := range h.Actions(now) {
				require.Equal(t, HealthProbe, a.Kind)
				h.RecordProbe(now, a.Worker, true)
			}
			if _, atFault := h.JobAtFault(j.Name); atFault {
				h.ForgetJob(j.Name)
				break
			}
		}
	}
	for w := range 20 {
		require.True(t, h.Usable(fmt.Sprint("w", w)))
	}
}

// Guards against stopping a task because of a report that was measured before its throttle but
// arrived after it, and against a throttle that is not lifted after the use has dropped.
func TestOveruseIgnoresReportsFromBeforeThrottle(t *testing.T) {
	const lag = 4 * time.Second
	declared, over, fine := Size{Cores: 4, MemoryMB: 100}, Size{Cores: 8, MemoryMB: 90}, Size{Cores: 4, MemoryMB: 90}
	var o OveruseState
	var action OveruseAction
	now := testStart
	step := func(used Size) OveruseAction {
		now = now.Add(time.Second)
		o, action = o.Next(now, declared, used, lag)
		return action
	}
	for step(over) == OveruseNone {
		require.Less(t, now.Sub(testStart), time.Minute)
	}
	require.Equal(t, OveruseThrottle, action)
	throttled := now
	for range int(lag / time.Second) {
		require.Equal(t, OveruseNone, step(over))
	}
	for step(over) == OveruseNone {
		require.Less(t, now.Sub(throttled), time.Minute)
	}
	require.Equal(t, OveruseStop, action)
	require.GreaterOrEqual(t, now.Sub(throttled), lag+stopAfter)
	for step(fine) == OveruseNone {
		require.Less(t, now.Sub(throttled), 2*time.Minute)
	}
	require.Equal(t, OveruseRelease, action)
	require.Equal(t, OveruseNone, step(over), "a single report does not show overuse")
}

// Guards against estimates that trust declared run times: if the jobs of an organisation run
// ten times as long as declared, its estimates must become ten times as long, and those of
// other organisations must stay the same.
func TestPredictorLearnsRunTimeErrorByOrganisation(t *testing.T) {
	p := newPredictor()
	spec := resource.JobSpec{Organisation: "x", DeclaredSeconds: 60}
	before, _ := p.estimateTotal(&spec, conservativeQuantile)
	require.Equal(t, 4*time.Minute, before)
	for range minSamples {
		p.observe(&spec, 10*time.Minute)
	}
	after, _ := p.estimateTotal(&spec, conservativeQuantile)
	require.Equal(t, 10*time.Minute, after)
	other := resource.JobSpec{Organisation: "y", DeclaredSeconds: 60}
	unchanged, _ := p.estimateTotal(&other, conservativeQuantile)
	require.Equal(t, before, unchanged)
}
