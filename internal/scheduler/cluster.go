package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// shape is the size of a gang: so many members of equal size with an adjacency.
type shape struct {
	members   int
	accel     int
	cores     int
	memoryMB  int
	adjacency resource.Adjacency
}

func jobShape(s *resource.JobSpec) shape {
	return shape{
		members:   s.Members,
		accel:     s.AcceleratorsPerMember,
		cores:     s.CoresPerMember,
		memoryMB:  s.MemoryMBPerMember,
		adjacency: adjacencyOf(s.Adjacency),
	}
}

func guaranteeShape(s *resource.GuaranteeSpec) shape {
	return shape{members: s.Members, accel: s.AcceleratorsPerMember, adjacency: adjacencyOf(s.Adjacency)}
}

// adjacencyOf replaces an omitted adjacency by its default, the zone.
func adjacencyOf(a resource.Adjacency) resource.Adjacency {
	if a == "" {
		return resource.AdjacentZone
	}
	return a
}

// node is a worker in the index of a snapshot.
type node struct {
	id       string
	rack     int
	accel    int
	cores    int
	memoryMB int
	usable   bool
	suspect  bool
}

// unitsPerMember returns the accelerators that one member of the shape occupies on the node. A member
// that takes a larger share of the cores or the memory than of the accelerators occupies
// accelerators in proportion to that share. One dimension then describes the whole node, and
// a reclaimed accelerator always brings its share of cores and memory with it. The result is
// larger than the node's accelerators if the member can never fit.
func (n *node) unitsPerMember(s shape) int {
	units := s.accel
	if n.accel == 0 {
		return max(units, 1)
	}
	if s.cores > 0 {
		units = max(units, proportionalUnits(s.cores, n.cores, n.accel))
	}
	if s.memoryMB > 0 {
		units = max(units, proportionalUnits(s.memoryMB, n.memoryMB, n.accel))
	}
	return max(units, 1)
}

// proportionalUnits returns need/total of accel, rounded up.
func proportionalUnits(need, total, accel int) int {
	if total <= 0 {
		return accel + 1
	}
	return (need*accel + total - 1) / total
}

// run is a running job in the index, or one that this decision places.
type run struct {
	job   *resource.Job
	name  string
	shape shape
	// nodes has the index of each member's worker, -1 if the worker is not known.
	nodes []int
	// footprint has what the run holds, by node in ascending order, without unknown workers.
	footprint        []nodeUnits
	hasUnknownWorker bool
	startedAt        time.Time
	// startOrder is the time of the start in nanoseconds.
	startOrder int64
	// orgIndex is the number of the organisation in the index.
	orgIndex      int
	checkpointAge time.Duration
	reclaiming    bool
	// reclaimable is set if the run was placed as reclaimable.
	reclaimable bool
	// restartable is false for a job that must not be stopped because it may not start again.
	restartable bool
	// placed is set for a job placed by this decision, pending for one that waits for a reclaim.
	placed          bool
	awaitingReclaim bool
}

// nodeUnits is the units of a node that a gang holds.
type nodeUnits struct{ node, units int }

// setFootprint computes the footprint from the nodes.
func (c *cluster) setFootprint(r *run) {
	r.footprint = make([]nodeUnits, 0, min(len(r.nodes), 8))
	sorted := r.nodes
	if !slices.IsSorted(sorted) {
		sorted = slices.Clone(sorted)
		slices.Sort(sorted)
	}
	for _, n := range sorted {
		if n < 0 {
			r.hasUnknownWorker = true
			continue
		}
		units := c.nodes[n].unitsPerMember(r.shape)
		if k := len(r.footprint); k > 0 && r.footprint[k-1].node == n {
			r.footprint[k-1].units += units
			continue
		}
		r.footprint = append(r.footprint, nodeUnits{n, units})
	}
}

// accelerators returns the declared total of the run.
func (r *run) accelerators() int { return r.shape.members * r.shape.accel }

// cluster is the index of a snapshot. It can be loaded again with the next one, and then keeps
// what has not changed, so that the cost of a decision is mostly in the changes.
type cluster struct {
	// workers are those that nodes, byID and racks were built from.
	workers []Worker
	nodes   []node
	byID    map[string]int
	racks   [][]int
	runs    []*run
	// runByJob has the runs of earlier loads by the name of their job, orgs a number for each
	// organisation.
	runByJob   map[string]*run
	orgIndexes map[string]int
	// free has the units of each node that nothing holds now.
	free []int
	// freeSoon has the units that are free or held by jobs that were asked to stop.
	freeSoon []int
	// hasSuspects is set if a node is suspect.
	hasSuspects bool
	// feasible has the shapes for which it is known whether all workers together hold them.
	feasible map[shape]bool
	// runsOn lists the runs that have a member runsOn the node.
	runsOn [][]*run
}

func newCluster(snapshot *Snapshot) *cluster {
	c := &cluster{}
	c.load(snapshot)
	return c
}

// load replaces the content by that of a snapshot.
func (c *cluster) load(snapshot *Snapshot) {
	c.loadNodes(snapshot.Workers)
	for n := range c.nodes {
		c.free[n] = 0
		c.runsOn[n] = c.runsOn[n][:0]
		if c.nodes[n].usable {
			c.free[n] = c.nodes[n].accel
		}
	}
	for id, held := range snapshot.Orphaned {
		if i, ok := c.byID[id]; ok {
			c.free[i] -= held
		}
	}
	copy(c.freeSoon, c.free)
	c.loadRuns(snapshot.Running)
}

func (c *cluster) loadNodes(workers []Worker) {
	if !c.sameWorkers(workers) {
		c.buildNodes(workers)
	}
	c.hasSuspects = false
	for i := range workers {
		n := &c.nodes[c.byID[workers[i].ID]]
		n.usable, n.suspect = workers[i].Usable, workers[i].Suspect
		c.hasSuspects = c.hasSuspects || n.suspect
	}
}

// sameWorkers reports whether only the usability of workers differs from the last load.
func (c *cluster) sameWorkers(workers []Worker) bool {
	if c.byID == nil {
		return false
	}
	return slices.EqualFunc(c.workers, workers, func(a, b Worker) bool {
		return a.ID == b.ID && a.Rack == b.Rack && a.Accelerators == b.Accelerators &&
			a.Cores == b.Cores && a.MemoryMB == b.MemoryMB
	})
}

// buildNodes indexes the workers in the order of their ids, so that decisions do not depend on
// the order of the snapshot.
func (c *cluster) buildNodes(workers []Worker) {
	c.workers = slices.Clone(workers)
	c.runByJob, c.racks = nil, nil
	c.feasible = make(map[shape]bool)
	c.nodes = make([]node, 0, len(workers))
	c.byID = make(map[string]int, len(workers))
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	rackIndex := make(map[string]int)
	for _, w := range sorted {
		if _, ok := c.byID[w.ID]; ok {
			continue
		}
		rack, ok := rackIndex[w.Rack]
		if !ok {
			rack = len(c.racks)
			rackIndex[w.Rack] = rack
			c.racks = append(c.racks, nil)
		}
		c.byID[w.ID] = len(c.nodes)
		c.racks[rack] = append(c.racks[rack], len(c.nodes))
		c.nodes = append(c.nodes, node{id: w.ID, rack: rack, accel: w.Accelerators, cores: w.Cores, memoryMB: w.MemoryMB})
	}
	c.free = make([]int, len(c.nodes))
	c.freeSoon = make([]int, len(c.nodes))
	c.runsOn = make([][]*run, len(c.nodes))
}

func (c *cluster) loadRuns(running []Running) {
	const maxOrganisations = 4096
	if c.orgIndexes == nil || len(c.orgIndexes) > maxOrganisations {
		c.orgIndexes, c.runByJob = make(map[string]int), nil
	}
	// Runs that have ended are dropped once they are as many as those that have not.
	if c.runByJob == nil || len(c.runByJob) > 2*len(running)+64 {
		old := c.runByJob
		c.runByJob = make(map[string]*run, len(running))
		for i := range running {
			if r := old[running[i].Job.Name]; r != nil {
				c.runByJob[r.name] = r
			}
		}
	}
	c.runs = make([]*run, 0, len(running)+8)
	for i := range running {
		r := &running[i]
		out := c.runByJob[r.Job.Name]
		if out == nil || !c.unchanged(out, r) {
			out = &run{name: r.Job.Name, shape: jobShape(&r.Job.Spec), nodes: c.nodeIndexes(r.Workers), orgIndex: c.orgIndexOf(r.Job)}
			c.setFootprint(out)
			c.runByJob[out.name] = out
		}
		out.job, out.startedAt, out.checkpointAge = r.Job, r.StartedAt, r.CheckpointAge
		out.startOrder = r.StartedAt.UnixNano()
		out.reclaiming, out.reclaimable, out.placed = r.Reclaiming, r.Reclaimable, false
		out.restartable = r.Job.Spec.Restart != resource.RestartNever
		c.occupy(out)
	}
}

// unchanged reports whether a run of the last load still has its shape and its workers.
func (c *cluster) unchanged(old *run, r *Running) bool {
	if old.hasUnknownWorker || len(old.nodes) != len(r.Workers) || old.shape != jobShape(&r.Job.Spec) ||
		old.job.Spec.Organisation != r.Job.Spec.Organisation {
		return false
	}
	for m, id := range r.Workers {
		if c.nodes[old.nodes[m]].id != id {
			return false
		}
	}
	return true
}

// nodeIndexes returns the nodes of worker ids, -1 for an id that is not known.
func (c *cluster) nodeIndexes(ids []string) []int {
	out := make([]int, len(ids))
	for m, id := range ids {
		n, ok := c.byID[id]
		if !ok {
			n = -1
		}
		out[m] = n
	}
	return out
}

func (c *cluster) orgIndexOf(j *resource.Job) int {
	i, ok := c.orgIndexes[j.Spec.Organisation]
	if !ok {
		i = len(c.orgIndexes)
		c.orgIndexes[j.Spec.Organisation] = i
	}
	return i
}

// occupy adds a run with its footprint to the index and takes its units.
func (c *cluster) occupy(r *run) {
	c.runs = append(c.runs, r)
	for _, f := range r.footprint {
		c.free[f.node] -= f.units
		if !r.reclaiming {
			c.freeSoon[f.node] -= f.units
		}
		c.runsOn[f.node] = append(c.runsOn[f.node], r)
	}
}

const (
	// unprovenPeriod is how long a start counts as unproven on a worker with nothing older. A
	// worker that fails everything shows it within this time.
	unprovenPeriod = 10 * time.Second
	// maxUnprovenGangs is how many unproven gangs such a worker takes. It bounds how many starts a
	// bad worker can waste before its first failure is reported.
	maxUnprovenGangs = 2
)

// unprovenGangs returns how many gangs on a node have started lately.
func (c *cluster) unprovenGangs(n int, now time.Time) int {
	count := 0
	for _, r := range c.runsOn[n] {
		if now.Sub(r.startedAt) < unprovenPeriod {
			count++
		}
	}
	return count
}

// markReclaiming marks a run as asked to stop: its units become free soon.
func (c *cluster) markReclaiming(r *run) {
	r.reclaiming = true
	for _, f := range r.footprint {
		c.freeSoon[f.node] += f.units
	}
}

// isFeasible reports whether a gang would fit if nothing ran and all workers were usable.
func (c *cluster) isFeasible(s shape) bool {
	const maxShapes = 4096
	ok, known := c.feasible[s]
	if !known {
		total := make([]int, len(c.nodes))
		for n := range total {
			total[n] = c.nodes[n].accel
		}
		ok = c.locate(total, s) != nil
		if len(c.feasible) >= maxShapes {
			clear(c.feasible)
		}
		c.feasible[s] = ok
	}
	return ok
}

// workerIDs returns the worker workerIDs of nodes.
func (c *cluster) workerIDs(nodes []int) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = c.nodes[n].id
	}
	return out
}
