package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// jobsBaseline places jobs in the order of their arrival on the first workers that fit.
// Without backfill, a job that does not fit now blocks all jobs behind it. The baseline ignores
// guarantees and never preempts.
type jobsBaseline struct{ backfill bool }

// RecordRunTime implements scheduler.Scheduler.
func (jobsBaseline) RecordRunTime(*resource.Job, time.Duration) {}

// CheckGuarantee implements scheduler.Scheduler.
func (jobsBaseline) CheckGuarantee(scheduler.Snapshot, *resource.Guarantee) scheduler.GuaranteeResult {
	return scheduler.GuaranteeResult{}
}

// workerCapacity is the free and the total capacity of one worker. Memory is in MB.
type workerCapacity struct {
	id, rack               string
	accel, cores, memory   int
	totalAccel, totalCores int
	totalMemory            int
}

// Schedule implements scheduler.Scheduler.
func (b jobsBaseline) Schedule(_ time.Time, s scheduler.Snapshot) scheduler.Plan {
	var plan scheduler.Plan
	capacities := workerCapacities(&s)
	queued := slices.Clone(s.Queued)
	slices.SortStableFunc(queued, func(a, b *resource.Job) int {
		return cmp.Or(a.Created.Compare(b.Created), cmp.Compare(a.Name, b.Name))
	})
	for _, j := range queued {
		workers := firstFit(capacities, &j.Spec, false)
		if workers != nil {
			plan.Placements = append(plan.Placements, scheduler.Placement{Job: j, Workers: workers, Reclaimable: true})
			allocateGang(capacities, &j.Spec, workers)
			continue
		}
		if firstFit(capacities, &j.Spec, true) == nil {
			plan.Waiting = append(plan.Waiting, scheduler.Waiting{Job: j.Name, Code: scheduler.ReasonImpossible})
			continue
		}
		if !b.backfill {
			break
		}
	}
	return plan
}

// workerCapacities returns the capacities of all workers of a snapshot. Workers that are not
// usable have no free accelerators.
func workerCapacities(s *scheduler.Snapshot) []*workerCapacity {
	var capacities []*workerCapacity
	byID := make(map[string]*workerCapacity)
	for _, w := range s.Workers {
		r := &workerCapacity{
			id: w.ID, rack: w.Rack, accel: w.Accelerators, cores: w.Cores, memory: w.MemoryMB,
			totalAccel: w.Accelerators, totalCores: w.Cores, totalMemory: w.MemoryMB,
		}
		if !w.Usable {
			r.accel = 0
		}
		capacities = append(capacities, r)
		byID[w.ID] = r
	}
	for _, run := range s.Running {
		for _, id := range run.Workers {
			byID[id].allocate(&run.Job.Spec)
		}
	}
	return capacities
}

// allocate subtracts one member of a gang from the free capacity.
func (r *workerCapacity) allocate(s *resource.JobSpec) {
	r.accel -= s.AcceleratorsPerMember
	r.cores -= s.CoresPerMember
	r.memory -= s.MemoryMBPerMember
}

// fittingMembers returns how many members fit into the free capacity, or into the total
// capacity if whenEmpty is true.
func (r *workerCapacity) fittingMembers(s *resource.JobSpec, whenEmpty bool) int {
	accel, cores, memory := r.accel, r.cores, r.memory
	if whenEmpty {
		accel, cores, memory = r.totalAccel, r.totalCores, r.totalMemory
	}
	n := max(accel, 0) / s.AcceleratorsPerMember
	if s.CoresPerMember > 0 {
		n = min(n, max(cores, 0)/s.CoresPerMember)
	}
	if s.MemoryMBPerMember > 0 {
		n = min(n, max(memory, 0)/s.MemoryMBPerMember)
	}
	return n
}

// firstFit returns the ids of the workers for the members of a gang, one for each member, or nil
// if the gang does not fit. The workers are the first that fit and satisfy the adjacency. If
// whenEmpty is true, all workers count as idle.
func firstFit(capacities []*workerCapacity, s *resource.JobSpec, whenEmpty bool) []string {
	group := func(r *workerCapacity) string {
		switch s.Adjacency {
		case resource.AdjacentWorker:
			return r.id
		case resource.AdjacentRack:
			return r.rack
		default:
			return ""
		}
	}
	found := make(map[string][]string)
	for _, r := range capacities {
		key := group(r)
		for n := r.fittingMembers(s, whenEmpty); n > 0 && len(found[key]) < s.Members; n-- {
			found[key] = append(found[key], r.id)
		}
		if len(found[key]) == s.Members {
			return found[key]
		}
	}
	return nil
}

// allocateGang subtracts a gang from the free capacity of its workers.
func allocateGang(capacities []*workerCapacity, s *resource.JobSpec, workers []string) {
	for _, r := range capacities {
		for _, id := range workers {
			if id == r.id {
				r.allocate(s)
			}
		}
	}
}
