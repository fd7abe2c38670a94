package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

var testStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// zone returns a snapshot with workers that each have 8 accelerators, 64 cores and 128 GiB of
// memory.
func zone(racks, perRack int) Snapshot {
	s := Snapshot{Zone: "z1"}
	for r := range racks {
		for w := range perRack {
			s.Workers = append(s.Workers, Worker{
				ID: fmt.Sprintf("w%d-%d", r, w), Rack: fmt.Sprintf("r%d", r),
				Accelerators: 8, Cores: 64, MemoryMB: 128 << 10, Usable: true,
			})
		}
	}
	return s
}

func job(name, org string, members, accelerators int, adjacency resource.Adjacency) *resource.Job {
	return &resource.Job{
		Metadata: resource.Metadata{Name: name, Created: testStart},
		Spec: resource.JobSpec{
			Organisation: org, Members: members, AcceleratorsPerMember: accelerators,
			Adjacency: adjacency, Urgency: 3, Checkpointable: true,
		},
	}
}

func guarantee(name, org string, gangs, members, accelerators int, adjacency resource.Adjacency) *resource.Guarantee {
	return &resource.Guarantee{
		Metadata: resource.Metadata{Name: name},
		Spec: resource.GuaranteeSpec{
			Organisation: org, Gangs: gangs, Members: members,
			AcceleratorsPerMember: accelerators, Adjacency: adjacency,
		},
	}
}

// running returns a job that has been running on the workers for the given time without a
// checkpoint.
func running(j *resource.Job, age time.Duration, workers ...string) Running {
	return Running{Job: j, Workers: workers, StartedAt: testStart.Add(-age), CheckpointAge: age}
}

// decide returns the plan of a new scheduler after checking it with Validate.
func decide(t *testing.T, s Snapshot) Plan {
	t.Helper()
	plan := New(1).Schedule(testStart, s)
	require.NoError(t, Validate(s, plan))
	return plan
}

func placementOf(plan Plan, name string) *Placement {
	for i := range plan.Placements {
		if plan.Placements[i].Job.Name == name {
			return &plan.Placements[i]
		}
	}
	return nil
}

func waitingCode(plan Plan, name string) ReasonCode {
	for _, w := range plan.Waiting {
		if w.Job == name {
			return w.Code
		}
	}
	return ""
}

// Guards against a gang that is split over several racks although its adjacency forbids it.
func TestAdjacencyIsKept(t *testing.T) {
	s := zone(2, 2)
	s.Running = []Running{running(job("a", "x", 1, 8, ""), time.Hour, "w0-0")}
	s.Queued = []*resource.Job{
		job("rack", "x", 2, 8, resource.AdjacentRack),
		job("rack2", "x", 2, 8, resource.AdjacentRack),
	}
	plan := decide(t, s)
	require.Equal(t, []string{"w1-0", "w1-1"}, placementOf(plan, "rack").Workers)
	require.Nil(t, placementOf(plan, "rack2"))
}

// Guards against small jobs that are placed on empty workers while partly used workers have
// room for them.
func TestSmallJobsFillPartlyUsedWorkers(t *testing.T) {
	s := zone(2, 2)
	s.Running = []Running{running(job("a", "x", 1, 4, ""), time.Hour, "w1-1")}
	s.Queued = []*resource.Job{job("small", "x", 1, 2, "")}
	require.Equal(t, []string{"w1-1"}, placementOf(decide(t, s), "small").Workers)
}

// Guards against a job within its organisation's guarantee that waits for jobs that no
// guarantee covers, and against reclaiming a job that loses more work than another one would.
func TestGuaranteedJobReclaimsLeastLoss(t *testing.T) {
	s := zone(1, 2)
	s.Guarantees = []*resource.Guarantee{guarantee("g", "x", 1, 1, 8, resource.AdjacentWorker)}
	s.Running = []Running{
		running(job("long", "y", 1, 8, ""), 5*time.Hour, "w0-0"),
		running(job("short", "y", 1, 8, ""), time.Minute, "w0-1"),
	}
	s.Queued = []*resource.Job{job("mine", "x", 1, 8, resource.AdjacentWorker)}
	plan := decide(t, s)
	require.Len(t, plan.Reclaims, 1)
	require.Equal(t, "short", plan.Reclaims[0].Job)
	require.Equal(t, testStart.Add(5*time.Second), plan.Reclaims[0].Deadline)
	require.Equal(t, ReasonReclaiming, waitingCode(plan, "mine"))
}

// Guards against placing a job that cannot be stopped on accelerators that a guarantee needs.
func TestNonRestartableJobDoesNotBlockGuarantee(t *testing.T) {
	s := zone(1, 2)
	s.Guarantees = []*resource.Guarantee{guarantee("g", "x", 1, 1, 8, resource.AdjacentWorker)}
	first, second := job("first", "y", 1, 8, ""), job("second", "y", 1, 8, "")
	first.Spec.Restart, second.Spec.Restart = resource.RestartNever, resource.RestartNever
	s.Queued = []*resource.Job{first, second}
	plan := decide(t, s)
	require.NotNil(t, placementOf(plan, "first"))
	require.False(t, placementOf(plan, "first").Reclaimable)
	require.Equal(t, ReasonReservation, waitingCode(plan, "second"))
}

// Guards against counting the use of a guarantee in accelerators only. A running gang of the
// guaranteed shape uses one gang of the guarantee. A smaller job of the organisation uses none,
// however many accelerators it has: it must be stopped if that is necessary to free a whole
// worker for the other gang.
func TestGuaranteeUseIsCountedByShape(t *testing.T) {
	s := zone(1, 4)
	s.Guarantees = []*resource.Guarantee{guarantee("g", "x", 2, 1, 8, resource.AdjacentWorker)}
	s.Running = []Running{
		running(job("own", "x", 1, 2, ""), time.Hour, "w0-0"),
		running(job("a", "y", 1, 6, ""), time.Hour, "w0-0"),
		running(job("b", "y", 2, 8, ""), time.Hour, "w0-1", "w0-2"),
		running(job("whole", "x", 1, 8, resource.AdjacentWorker), 0, "w0-3"),
	}
	s.Queued = []*resource.Job{
		job("big", "x", 1, 8, resource.AdjacentWorker),
		job("big2", "x", 1, 8, resource.AdjacentWorker),
	}
	plan := decide(t, s)
	var victims []string
	for _, r := range plan.Reclaims {
		require.Equal(t, "big", r.NeededBy)
		victims = append(victims, r.Job)
	}
	require.ElementsMatch(t, []string{"own", "a"}, victims)
	require.Equal(t, ReasonReclaiming, waitingCode(plan, "big"))
	require.NotEqual(t, ReasonReclaiming, waitingCode(plan, "big2"))
}

// Guards against a job that can never run but is not reported as impossible at once.
func TestImpossibleJobIsReported(t *testing.T) {
	s := zone(2, 2)
	s.Queued = []*resource.Job{job("wide", "x", 3, 8, resource.AdjacentRack), job("fat", "x", 1, 9, "")}
	plan := decide(t, s)
	require.Equal(t, ReasonImpossible, waitingCode(plan, "wide"))
	require.Equal(t, ReasonImpossible, waitingCode(plan, "fat"))
}

// Guards against accepting a guarantee that fits alone but not together with an existing one.
func TestCheckGuaranteeCountsExisting(t *testing.T) {
	s := zone(1, 2)
	s.Guarantees = []*resource.Guarantee{guarantee("g", "x", 1, 1, 8, resource.AdjacentWorker)}
	require.True(t, New(1).CheckGuarantee(s, guarantee("h", "y", 1, 1, 8, "")).Honourable)
	result := New(1).CheckGuarantee(s, guarantee("h", "y", 1, 2, 8, resource.AdjacentRack))
	require.False(t, result.Honourable)
	require.NotEmpty(t, result.Reason)
}

// Guards against a gang that waits for hours for adjacent workers although a small job could
// move to another rack, and against moves that cost more than they gain.
func TestDefragmentationMovesOnlyForNetGain(t *testing.T) {
	s := zone(2, 2)
	blocker := job("blocker", "x", 1, 1, "")
	s.Running = []Running{
		running(blocker, time.Minute, "w0-0"),
		running(job("long", "x", 1, 8, ""), time.Minute, "w1-0"),
	}
	gang := job("gang", "y", 2, 8, resource.AdjacentRack)
	s.Queued = []*resource.Job{gang}
	plan := decide(t, s)
	require.Len(t, plan.Reclaims, 1)
	require.Equal(t, "blocker", plan.Reclaims[0].Job)
	require.Equal(t, ReasonReclaiming, waitingCode(plan, "gang"))

	// With defaultRunTimeFactor the estimate is 64 s, of which 4 s are left after one minute.
	blocker.Spec.DeclaredSeconds = 16
	require.Empty(t, decide(t, s).Reclaims, "the blocker ends soon by itself")
}
