package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

func unitWithPriority(id, priority int, step batch.Step) *unit {
	u := &unit{id: id, step: &step, job: &job{spec: &batch.Job{Rules: batch.QueueRules{Service: "s", Priority: priority}}, order: int64(id)}}
	for index := range step.Count {
		u.addTask(&task{unit: u, id: batch.TaskID{Index: index}})
	}
	return u
}

// Guards against units that never get a call to the advice service because others, of a higher priority or accepted
// earlier, need calls again and again.
func TestAdviceRequestsAlternateBetweenPriorityAndAge(t *testing.T) {
	var requests []*adviceRequest
	for n := range 4 {
		u := unitWithPriority(n, 1-n%2, batch.Step{Count: 1})
		u.advice.calledAt = boottime.Instant(10 - n)
		requests = append(requests, &adviceRequest{unit: u})
	}
	order := func(byAge bool) (ids []int) {
		sortAdviceRequests(requests, byAge)
		for _, r := range requests {
			ids = append(ids, r.unit.id)
		}
		return ids
	}
	require.Equal(t, []int{1, 3, 0, 2}, order(false), "by priority and acceptance")
	require.Equal(t, []int{3, 2, 1, 0}, order(true), "by the time of the last call")
}

// Guards against calls for units that cannot start now before calls for those that can: gangs of which a part fits, and
// units that fit nowhere. Units of priority 0 can start by preemption.
func TestUnitsThatMayStartGetAdviceFirst(t *testing.T) {
	var workers []availableWorker
	for _, id := range []string{"w1", "w2"} {
		ws := newWorkerState(id, id, 1)
		ws.info = worker.Info{ID: id, Service: "s", CPU: 8000, MemoryMB: 8000, GPU: 8}
		workers = append(workers, availableWorker{ws, ws.free()})
	}
	full := []availableWorker{{workers[0].workerState, workers[0].capacity().Sub(workers[0].capacity())}}
	whole := func(count int, gang bool) batch.Step { return batch.Step{Count: count, CPU: 1000, GPU: 8, Gang: gang} }
	for _, test := range []struct {
		name            string
		workers         []availableWorker
		priority        int
		step            batch.Step
		asked, mayStart bool
	}{
		{"fits", workers, 1, whole(2, false), true, true},
		{"a part fits", workers, 1, whole(3, false), true, true},
		{"gang fits", workers, 1, whole(2, true), true, true},
		{"a part of a gang fits", workers, 1, whole(3, true), true, false},
		{"no room", full, 1, whole(1, false), true, false},
		{"no room, urgent", full, 0, whole(1, false), true, true},
		{"too large, urgent", workers, 0, batch.Step{Count: 1, GPU: 9}, false, false},
		{"no worker has the label", workers, 0, batch.Step{Count: 1, Label: "none"}, false, false},
		{"one on each worker", workers, 1, batch.Step{Count: 8, GPU: 1, MaxPerWorker: 1}, true, true},
	} {
		request := &adviceRequest{unit: unitWithPriority(1, test.priority, test.step)}
		request.chooseWorkers(test.workers, boottime.Now())
		require.Equal(t, test.asked, len(request.workers) > 0, test.name)
		require.Equal(t, test.mayStart, request.mayStart, test.name)
	}
}
