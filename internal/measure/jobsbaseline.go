package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// jobsBaseline places jobs in the order of their arrival on the first workers that fit.
// Without backfill the first job that does not fit holds up all others. It knows neither
// guarantees nor reclaim.
type jobsBaseline struct{ backfill bool }

// RecordRunTime implements scheduler.Scheduler.
func (jobsBaseline) RecordRunTime(*resource.Job, time.Duration) {}

// CheckGuarantee implements scheduler.Scheduler.
func (jobsBaseline) CheckGuarantee(scheduler.Snapshot, *resource.Guarantee) scheduler.GuaranteeResult {
	return scheduler.GuaranteeResult{}
}

// jobsRoom is what is left of one worker.
type jobsRoom struct {
	id, rack               string
	accel, cores, memory   int
	emptyAccel, emptyCores int
	emptyMemory            int
}

// Schedule implements scheduler.Scheduler.
func (b jobsBaseline) Schedule(_ time.Time, s scheduler.Snapshot) scheduler.Plan {
	var plan scheduler.Plan
	rooms := jobsRooms(&s)
	queued := slices.Clone(s.Queued)
	slices.SortStableFunc(queued, func(a, b *resource.Job) int {
		return cmp.Or(a.Created.Compare(b.Created), cmp.Compare(a.Name, b.Name))
	})
	for _, j := range queued {
		workers := jobsFirstFit(rooms, &j.Spec, false)
		if workers != nil {
			plan.Placements = append(plan.Placements, scheduler.Placement{Job: j, Workers: workers, Reclaimable: true})
			jobsTake(rooms, &j.Spec, workers)
			continue
		}
		if jobsFirstFit(rooms, &j.Spec, true) == nil {
			plan.Waiting = append(plan.Waiting, scheduler.Waiting{Job: j.Name, Code: scheduler.ReasonImpossible})
			continue
		}
		if !b.backfill {
			break
		}
	}
	return plan
}

func jobsRooms(s *scheduler.Snapshot) []*jobsRoom {
	var rooms []*jobsRoom
	byID := make(map[string]*jobsRoom)
	for _, w := range s.Workers {
		r := &jobsRoom{
			id: w.ID, rack: w.Rack, accel: w.Accelerators, cores: w.Cores, memory: w.MemoryMB,
			emptyAccel: w.Accelerators, emptyCores: w.Cores, emptyMemory: w.MemoryMB,
		}
		if !w.Usable {
			r.accel = 0
		}
		rooms = append(rooms, r)
		byID[w.ID] = r
	}
	for _, run := range s.Running {
		for _, id := range run.Workers {
			byID[id].take(&run.Job.Spec)
		}
	}
	return rooms
}

func (r *jobsRoom) take(s *resource.JobSpec) {
	r.accel -= s.AcceleratorsPerMember
	r.cores -= s.CoresPerMember
	r.memory -= s.MemoryMBPerMember
}

func (r *jobsRoom) fits(s *resource.JobSpec, empty bool) int {
	accel, cores, memory := r.accel, r.cores, r.memory
	if empty {
		accel, cores, memory = r.emptyAccel, r.emptyCores, r.emptyMemory
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

// jobsFirstFit returns the first workers that hold a gang, on empty workers if empty is set.
func jobsFirstFit(rooms []*jobsRoom, s *resource.JobSpec, empty bool) []string {
	group := func(r *jobsRoom) string {
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
	for _, r := range rooms {
		key := group(r)
		for n := r.fits(s, empty); n > 0 && len(found[key]) < s.Members; n-- {
			found[key] = append(found[key], r.id)
		}
		if len(found[key]) == s.Members {
			return found[key]
		}
	}
	return nil
}

func jobsTake(rooms []*jobsRoom, s *resource.JobSpec, workers []string) {
	for _, r := range rooms {
		for _, id := range workers {
			if id == r.id {
				r.take(s)
			}
		}
	}
}
