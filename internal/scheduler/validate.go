package scheduler

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// ErrInvalidPlan is wrapped by every error that Validate returns.
var ErrInvalidPlan = errors.New("scheduler: invalid plan")

func invalid(format string, args ...any) error { return eris.Wrapf(ErrInvalidPlan, format, args...) }

// Validate checks a plan against the snapshot to which it will be applied, which may be newer
// than the one from which the plan was made. It returns an error that wraps ErrInvalidPlan unless
//
//   - each placed gang is queued, is placed only once with all its members, and is on usable
//     workers as close to each other as its adjacency requires;
//   - the placements do not oversubscribe the accelerators, declared cores or declared memory
//     of any worker, where reclaimed jobs still count as running;
//   - the placements do not take any organisation over its quota;
//   - only running jobs that may be restarted and that no guarantee covers are reclaimed, except
//     that a covered job of another shape may be reclaimed if a job of its organisation that
//     has the guaranteed shape (apart from cores and memory) is queued;
//   - each guarantee that could be reclaimed before the plan can still be reclaimed after it.
func Validate(snapshot Snapshot, plan Plan) error {
	v := newValidation(&snapshot)
	for i := range plan.Placements {
		if err := v.checkPlacement(&plan.Placements[i]); err != nil {
			return err
		}
	}
	if err := v.checkQuotas(&plan); err != nil {
		return err
	}
	if len(snapshot.Guarantees) == 0 {
		return v.checkReclaims(&plan, nil)
	}
	c := newCluster(&snapshot)
	before := c.reserve(snapshot.Guarantees)
	if err := v.checkReclaims(&plan, before.coveredByName()); err != nil {
		return err
	}
	return checkGuarantees(c, before, &snapshot, &plan)
}

// load is the amount of one worker's resources that jobs occupy.
type load struct{ accelerators, cores, memoryMB int }

type validation struct {
	snapshot *Snapshot
	workers  map[string]*Worker
	queued   map[string]*resource.Job
	running  map[string]*Running
	loads    map[string]*load
	usage    map[string]int
	placed   map[string]bool
}

func newValidation(snapshot *Snapshot) *validation {
	v := &validation{
		snapshot: snapshot,
		workers:  make(map[string]*Worker, len(snapshot.Workers)),
		queued:   make(map[string]*resource.Job, len(snapshot.Queued)),
		running:  make(map[string]*Running, len(snapshot.Running)),
		loads:    make(map[string]*load, len(snapshot.Workers)),
		usage:    make(map[string]int),
		placed:   make(map[string]bool),
	}
	for i := range snapshot.Workers {
		w := &snapshot.Workers[i]
		v.workers[w.ID] = w
		v.loads[w.ID] = &load{accelerators: snapshot.Orphaned[w.ID]}
	}
	for _, j := range snapshot.Queued {
		v.queued[j.Name] = j
	}
	for i := range snapshot.Running {
		r := &snapshot.Running[i]
		v.running[r.Job.Name] = r
		v.usage[r.Job.Spec.Organisation] += r.Job.Spec.Accelerators()
		for _, id := range r.Workers {
			v.addLoad(id, &r.Job.Spec)
		}
	}
	return v
}

func (v *validation) addLoad(worker string, s *resource.JobSpec) {
	if l := v.loads[worker]; l != nil {
		l.accelerators += s.AcceleratorsPerMember
		l.cores += s.CoresPerMember
		l.memoryMB += s.MemoryMBPerMember
	}
}

func (v *validation) checkPlacement(p *Placement) error {
	name := p.Job.Name
	queued := v.queued[name]
	switch {
	case queued == nil:
		return invalid("job %s is not queued", name)
	case v.running[name] != nil:
		return invalid("job %s is already running", name)
	case v.placed[name]:
		return invalid("job %s is placed twice", name)
	case len(p.Workers) != queued.Spec.Members:
		return invalid("job %s: %d of %d members are placed", name, len(p.Workers), queued.Spec.Members)
	}
	v.placed[name] = true
	for _, id := range p.Workers {
		w := v.workers[id]
		if w == nil || !w.Usable {
			return invalid("job %s: worker %s is not usable", name, id)
		}
		if slices.Contains(v.snapshot.Avoid[name], id) {
			return invalid("job %s: worker %s is on the avoid list of the job", name, id)
		}
		first := v.workers[p.Workers[0]]
		switch adjacencyOf(queued.Spec.Adjacency) {
		case resource.AdjacentWorker:
			if w.ID != first.ID {
				return invalid("job %s: members are on different workers %s and %s", name, first.ID, id)
			}
		case resource.AdjacentRack:
			if w.Rack != first.Rack {
				return invalid("job %s: workers %s and %s are in different racks", name, first.ID, id)
			}
		}
		v.addLoad(id, &queued.Spec)
	}
	for _, id := range p.Workers {
		w, l := v.workers[id], v.loads[id]
		if l.accelerators > w.Accelerators || l.cores > w.Cores && queued.Spec.CoresPerMember > 0 ||
			l.memoryMB > w.MemoryMB && queued.Spec.MemoryMBPerMember > 0 {
			return invalid("job %s: worker %s is oversubscribed", name, id)
		}
	}
	return nil
}

func (v *validation) checkQuotas(plan *Plan) error {
	for _, p := range plan.Placements {
		org := p.Job.Spec.Organisation
		v.usage[org] += p.Job.Spec.Accelerators()
		o := v.snapshot.Organisations[org]
		if o != nil && o.Spec.AcceleratorQuota > 0 && v.usage[org] > o.Spec.AcceleratorQuota {
			return invalid("job %s takes organisation %s over its quota", p.Job.Name, org)
		}
	}
	return nil
}

func (v *validation) checkReclaims(plan *Plan, covered map[string]*slot) error {
	seen := make(map[string]bool, len(plan.Reclaims))
	for _, r := range plan.Reclaims {
		running := v.running[r.Job]
		switch {
		case running == nil:
			return invalid("reclaimed job %s is not running", r.Job)
		case seen[r.Job] || running.Reclaiming:
			return invalid("job %s is reclaimed twice", r.Job)
		case running.Job.Spec.Restart == resource.RestartNever:
			return invalid("reclaimed job %s must not be restarted", r.Job)
		case covered[r.Job] != nil && !v.mayBeReclaimed(running.Job, covered[r.Job]):
			return invalid("reclaimed job %s is within its organisation's guarantee", r.Job)
		case r.Deadline.IsZero():
			return invalid("reclaim of job %s has no deadline", r.Job)
		}
		seen[r.Job] = true
	}
	return nil
}

// mayBeReclaimed reports whether a covered job may be stopped: it does not have the guaranteed
// shape itself, and a job of its organisation that has it is queued (see slot.matchesShape). It
// may then be stopped for any other job, because it loses its cover as soon as the queued job
// starts or waits for a reclaim.
func (v *validation) mayBeReclaimed(victim *resource.Job, s *slot) bool {
	if s.matchesShape(jobShape(&victim.Spec)) {
		return false
	}
	return slices.ContainsFunc(v.snapshot.Queued, func(j *resource.Job) bool {
		return j.Spec.Organisation == victim.Spec.Organisation && s.matchesShape(jobShape(&j.Spec))
	})
}

func (r *reservation) coveredByName() map[string]*slot {
	out := make(map[string]*slot, len(r.covered))
	for run, s := range r.covered {
		out[run.name] = s
	}
	return out
}

// checkGuarantees computes the reservation plan including the placements and compares it with
// the reservation plan before them.
func checkGuarantees(c *cluster, before *reservation, snapshot *Snapshot, plan *Plan) error {
	// Among otherwise equal runs older ones are covered first (see coverOrder), and the placed
	// jobs start last.
	var last int64
	for _, r := range c.runs {
		last = max(last, r.startOrder)
	}
	for i := range plan.Placements {
		p := &plan.Placements[i]
		r := &run{
			job: p.Job, name: p.Job.Name, shape: jobShape(&p.Job.Spec), nodes: c.nodeIndexes(p.Workers),
			startOrder: last + 1, orgIndex: c.orgIndexOf(p.Job), placedReclaimable: p.Reclaimable, isNew: true,
			restartable: p.Job.Spec.Restart != resource.RestartNever,
		}
		c.setFootprint(r)
		c.occupy(r)
	}
	after := c.reserve(snapshot.Guarantees)
	for i, g := range snapshot.Guarantees {
		if after.unplaced[i] > before.unplaced[i] {
			return invalid("guarantee %s can no longer be reclaimed: %d of %d gangs have no place",
				g.Name, after.unplaced[i], g.Spec.Gangs)
		}
	}
	return after.check(c)
}

// check verifies the reservation plan independently of the algorithm that computed it.
func (r *reservation) check(c *cluster) error {
	taken := make([]int, len(c.nodes))
	reserved := make([]bool, len(c.nodes))
	for _, s := range r.slots {
		if err := s.check(c, taken, reserved); err != nil {
			return err
		}
	}
	for _, run := range c.runs {
		if run.restartable || r.covered[run] != nil {
			continue
		}
		for _, f := range run.footprint {
			taken[f.node] += f.units
		}
	}
	for n, units := range taken {
		if reserved[n] && units > c.nodes[n].accel {
			return invalid("reservation oversubscribes worker %s: %d of %d accelerators", c.nodes[n].id, units, c.nodes[n].accel)
		}
	}
	return nil
}

// check verifies one slot and adds its units to taken and its nodes to reserved.
func (s *slot) check(c *cluster, taken []int, reserved []bool) error {
	first := -1
	for _, n := range s.nodes {
		if !c.nodes[n].usable || !c.adjacentToFirst(s.shape.adjacency, &first, n) {
			return invalid("reservation of the guarantee with index %d in the snapshot: worker %s is not usable or not adjacent", s.guarantee, c.nodes[n].id)
		}
		taken[n] += s.shape.accel
		reserved[n] = true
	}
	if s.nodes != nil && len(s.nodes) != s.shape.members {
		return invalid("reservation of the guarantee with index %d in the snapshot: a slot has the wrong number of members", s.guarantee)
	}
	return nil
}
