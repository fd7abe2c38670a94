package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// shape describes the resources of a gang: its number of members, the size of each member and
// how close together the members must be placed.
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

// adjacencyOf returns the adjacency, or the default (the zone) if it is empty.
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

// unitsPerMember returns the number of the node's accelerators that one member of the shape
// occupies. A member that needs a larger share of the node's cores or memory than of its
// accelerators occupies accelerators in proportion to that larger share. This way a single
// number describes the load of a node, and reclaiming an accelerator always frees its share of
// cores and memory as well. The result exceeds the accelerators of the node if the member can
// never fit.
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

// proportionalUnits returns accel*need/total, rounded up.
func proportionalUnits(need, total, accel int) int {
	if total <= 0 {
		return accel + 1
	}
	return (need*accel + total - 1) / total
}

// run is a running job in the index, or a job that this decision starts or makes wait for a
// reclaim.
type run struct {
	job   *resource.Job
	name  string
	shape shape
	// nodes contains the node index of each member's worker, or -1 if the worker is not known.
	nodes []int
	// footprint contains the units that the run occupies on each known node, in ascending order
	// of nodes.
	footprint        []nodeUnits
	hasUnknownWorker bool
	startedAt        time.Time
	// startOrder orders runs by their start. It is the start time in Unix nanoseconds; for the
	// jobs that a plan places, Validate uses a number that is greater than that of all running
	// jobs.
	startOrder int64
	// orgIndex is the organisation's value in cluster.orgIndexes.
	orgIndex      int
	checkpointAge time.Duration
	stopping      bool
	// placedReclaimable is set if the run was placed without use of its organisation's
	// guarantee and is restartable, see Placement.Reclaimable.
	placedReclaimable bool
	// restartable is false for a job that must not be stopped, because it must not be started a
	// second time.
	restartable bool
	// isNew is set for a job that is not running yet: this decision starts it or makes it wait
	// for a reclaim. awaitingReclaim is set only for a job that waits for a reclaim.
	isNew           bool
	awaitingReclaim bool
}

// nodeUnits is the number of units that a gang occupies on a node.
type nodeUnits struct{ node, units int }

// setFootprint computes the footprint and hasUnknownWorker from the nodes of the run.
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

// accelerators returns the total number of accelerators that the job declares.
func (r *run) accelerators() int { return r.shape.members * r.shape.accel }

// cluster is an index of a snapshot. Units are accelerators, see node.unitsPerMember. The index
// can be loaded again with the next snapshot and then reuses everything that has not changed,
// so that loading costs little if little has changed.
type cluster struct {
	// workers are the workers from which nodes, byID and racks were built.
	workers []Worker
	nodes   []node
	byID    map[string]int
	racks   [][]int
	runs    []*run
	// runByJob contains the runs of earlier loads by job name. orgIndexes assigns a number to
	// each organisation.
	runByJob   map[string]*run
	orgIndexes map[string]int
	// free contains the unoccupied units of each node.
	free []int
	// freeSoon contains the units of each node that are free or occupied by jobs that have been
	// asked to stop.
	freeSoon []int
	// hasSuspects is set if at least one node is suspect.
	hasSuspects bool
	// feasible caches the results of isFeasible.
	feasible map[shape]bool
	// runsOn contains the runs that have a member on each node.
	runsOn [][]*run
}

func newCluster(snapshot *Snapshot) *cluster {
	c := &cluster{}
	c.load(snapshot)
	return c
}

// load replaces the content of the index by the snapshot.
func (c *cluster) load(snapshot *Snapshot) {
	c.loadNodes(snapshot.Workers)
	for n := range c.nodes {
		c.free[n] = 0
		c.runsOn[n] = c.runsOn[n][:0]
		if c.nodes[n].usable {
			c.free[n] = c.nodes[n].accel
		}
	}
	for id, orphaned := range snapshot.Orphaned {
		if i, ok := c.byID[id]; ok {
			c.free[i] -= orphaned
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

// sameWorkers reports whether the workers have the same ids, racks and capacities as at the
// last load; only Usable and Suspect may differ.
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
// the order of the workers in the snapshot.
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
			// A worker that is listed twice is indexed once.
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
	// maxOrganisations bounds orgIndexes, which also contains organisations of earlier loads.
	const maxOrganisations = 4096
	if c.orgIndexes == nil || len(c.orgIndexes) > maxOrganisations {
		c.orgIndexes, c.runByJob = make(map[string]int), nil
	}
	// Entries of ended runs are dropped once they outnumber the current runs by more than 64.
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
		out.stopping, out.placedReclaimable, out.isNew = r.Reclaiming, r.Reclaimable, false
		out.restartable = r.Job.Spec.Restart != resource.RestartNever
		c.occupy(out)
	}
}

// unchanged reports whether the run of an earlier load still has the same shape, organisation
// and workers.
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

// nodeIndexes returns the node index of each worker id, or -1 for an unknown id.
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

// occupy adds a run to the index and subtracts its units from the free ones.
func (c *cluster) occupy(r *run) {
	c.runs = append(c.runs, r)
	for _, f := range r.footprint {
		c.free[f.node] -= f.units
		if !r.stopping {
			c.freeSoon[f.node] -= f.units
		}
		c.runsOn[f.node] = append(c.runsOn[f.node], r)
	}
}

const (
	// unprovenPeriod is how long a gang counts as unproven after its start. A worker on which
	// every job fails shows it within this time.
	unprovenPeriod = 10 * time.Second
	// maxUnprovenGangs is how many gangs may be on a worker at once while all of them are
	// unproven. It bounds how many starts a bad worker can waste before its first failure is
	// reported.
	maxUnprovenGangs = 2
)

// unprovenGangs returns the number of gangs on a node that started less than unprovenPeriod
// ago.
func (c *cluster) unprovenGangs(n int, now time.Time) int {
	count := 0
	for _, r := range c.runsOn[n] {
		if now.Sub(r.startedAt) < unprovenPeriod {
			count++
		}
	}
	return count
}

// markStopping records that a run has been asked to stop, and adds its units to freeSoon.
func (c *cluster) markStopping(r *run) {
	r.stopping = true
	for _, f := range r.footprint {
		c.freeSoon[f.node] += f.units
	}
}

// isFeasible reports whether a gang would fit if no job were running and all workers were
// usable.
func (c *cluster) isFeasible(s shape) bool {
	// maxShapes bounds the memory of the cache.
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

// workerIDs returns the worker ids of nodes.
func (c *cluster) workerIDs(nodes []int) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = c.nodes[n].id
	}
	return out
}
