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

// units returns the accelerators that one member of the shape occupies on the node. A member
// that takes a larger share of the cores or the memory than of the accelerators occupies
// accelerators in proportion to that share. One dimension then describes the whole node, and
// a reclaimed accelerator always brings its share of cores and memory with it. The result is
// larger than the node's accelerators if the member can never fit.
func (n *node) units(s shape) int {
	units := s.accel
	if n.accel == 0 {
		return max(units, 1)
	}
	if s.cores > 0 {
		units = max(units, share(s.cores, n.cores, n.accel))
	}
	if s.memoryMB > 0 {
		units = max(units, share(s.memoryMB, n.memoryMB, n.accel))
	}
	return max(units, 1)
}

// share returns need/total of accel, rounded up.
func share(need, total, accel int) int {
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
	// feet has what the run holds, by node in ascending order, without unknown workers.
	feet       []foot
	unknown    bool
	startedAt  time.Time
	lost       time.Duration
	reclaiming bool
	// movable is false for a job that must not be stopped because it may not start again.
	movable bool
	// placed is set for a job placed by this decision.
	placed bool
}

// foot is the units of a node that a gang holds.
type foot struct{ node, units int }

// setFeet computes the feet from the nodes.
func (c *cluster) setFeet(r *run) {
	r.feet = make([]foot, 0, min(len(r.nodes), 8))
	sorted := r.nodes
	if !slices.IsSorted(sorted) {
		sorted = slices.Clone(sorted)
		slices.Sort(sorted)
	}
	for _, n := range sorted {
		if n < 0 {
			r.unknown = true
			continue
		}
		units := c.nodes[n].units(r.shape)
		if k := len(r.feet); k > 0 && r.feet[k-1].node == n {
			r.feet[k-1].units += units
			continue
		}
		r.feet = append(r.feet, foot{n, units})
	}
}

// accelerators returns the declared total of the run.
func (r *run) accelerators() int { return r.shape.members * r.shape.accel }

// cluster is the index of a snapshot.
type cluster struct {
	nodes   []node
	byID    map[string]int
	racks   [][]int
	rackIDs []string
	runs    []*run
	// free has the units of each node that nothing holds now.
	free []int
	// soon has the units that are free or held by jobs that were asked to stop.
	soon []int
	// suspects is set if a node is suspect.
	suspects bool
	// on lists the runs that have a member on the node.
	on [][]*run
}

func newCluster(snapshot *Snapshot) *cluster {
	c := &cluster{
		nodes: make([]node, 0, len(snapshot.Workers)),
		byID:  make(map[string]int, len(snapshot.Workers)),
	}
	c.addNodes(snapshot.Workers)
	c.free = make([]int, len(c.nodes))
	c.on = make([][]*run, len(c.nodes))
	for i := range c.nodes {
		if c.nodes[i].usable {
			c.free[i] = c.nodes[i].accel
		}
	}
	for id, held := range snapshot.Held {
		if i, ok := c.byID[id]; ok {
			c.free[i] -= held
		}
	}
	c.soon = slices.Clone(c.free)
	c.addRuns(snapshot.Running)
	return c
}

// addNodes indexes the workers in the order of their ids, so that decisions do not depend on
// the order of the snapshot.
func (c *cluster) addNodes(workers []Worker) {
	order := make([]int, len(workers))
	for i := range order {
		order[i] = i
	}
	byID := func(a, b int) int { return cmp.Compare(workers[a].ID, workers[b].ID) }
	if !slices.IsSortedFunc(order, byID) {
		slices.SortFunc(order, byID)
	}
	rackIndex := make(map[string]int)
	for _, i := range order {
		w := &workers[i]
		if _, ok := c.byID[w.ID]; ok {
			continue
		}
		rack, ok := rackIndex[w.Rack]
		if !ok {
			rack = len(c.racks)
			rackIndex[w.Rack] = rack
			c.racks = append(c.racks, nil)
			c.rackIDs = append(c.rackIDs, w.Rack)
		}
		c.byID[w.ID] = len(c.nodes)
		c.racks[rack] = append(c.racks[rack], len(c.nodes))
		c.suspects = c.suspects || w.Suspect
		c.nodes = append(c.nodes, node{
			id: w.ID, rack: rack, accel: w.Accelerators, cores: w.Cores, memoryMB: w.MemoryMB,
			usable: w.Usable, suspect: w.Suspect,
		})
	}
}

func (c *cluster) addRuns(running []Running) {
	c.runs = make([]*run, 0, len(running)+8)
	block := make([]run, len(running))
	members := 0
	for i := range running {
		members += len(running[i].Workers)
	}
	nodes := make([]int, members)
	for i := range running {
		r := &running[i]
		out := &block[i]
		k := len(r.Workers)
		*out = run{
			job: r.Job, name: r.Job.Name, shape: jobShape(&r.Job.Spec), nodes: nodes[:k:k],
			startedAt: r.StartedAt, lost: r.CheckpointAge, reclaiming: r.Reclaiming,
			movable: r.Job.Spec.Restart != resource.RestartNever,
		}
		nodes = nodes[k:]
		for m, id := range r.Workers {
			n, ok := c.byID[id]
			if !ok {
				n = -1
			}
			out.nodes[m] = n
		}
		c.occupy(out)
	}
}

// occupy adds a run to the index and takes its units.
func (c *cluster) occupy(r *run) {
	c.setFeet(r)
	c.runs = append(c.runs, r)
	for _, f := range r.feet {
		c.free[f.node] -= f.units
		if !r.reclaiming {
			c.soon[f.node] -= f.units
		}
		if c.on[f.node] == nil {
			c.on[f.node] = make([]*run, 0, 8)
		}
		c.on[f.node] = append(c.on[f.node], r)
	}
}

const (
	// provingTime is how long a start counts as unproven on a worker with nothing older. A
	// worker that fails everything shows it within this time.
	provingTime = 10 * time.Second
	// provingStarts is how many unproven gangs such a worker takes. It bounds how many starts a
	// bad worker can waste before its first failure is reported.
	provingStarts = 2
)

// mayStart reports whether a node takes another gang now: a suspect node takes one gang at a
// time, and a node that has nothing running for longer takes a few.
func (c *cluster) mayStart(n int, now time.Time, suspects bool) bool {
	young := 0
	for _, r := range c.on[n] {
		if now.Sub(r.startedAt) < provingTime {
			young++
		}
	}
	if c.nodes[n].suspect {
		return suspects && young == 0
	}
	return young < provingStarts || young < len(c.on[n])
}

// yield marks a run as asked to stop: its units become free soon.
func (c *cluster) yield(r *run) {
	r.reclaiming = true
	for _, f := range r.feet {
		c.soon[f.node] += f.units
	}
}

// ids returns the worker ids of nodes.
func (c *cluster) ids(nodes []int) []string {
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = c.nodes[n].id
	}
	return out
}
