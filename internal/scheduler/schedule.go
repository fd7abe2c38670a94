package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// urgencyLevelWait is the wait that is equivalent to one level of urgency in the order of
	// the queue. It bounds how long more urgent jobs can overtake a less urgent one.
	urgencyLevelWait = 10 * time.Minute
	// agedAfter is the wait after which the oldest job of an organisation that is below its
	// fair share is placed first, and may stop reclaimable jobs that were created after it.
	// Before that, it waits for running jobs to end, which loses no work.
	agedAfter = 15 * time.Minute
	// agedOverShareAfter is the corresponding wait for an organisation that has reached its
	// fair share. Without it, a gang could wait forever behind smaller jobs of its own
	// organisation.
	agedOverShareAfter = 2 * time.Hour
	// minOverShareInterval is the minimum time between two starts that are due to
	// agedOverShareAfter. Without it, an organisation that queues many jobs could bypass fair
	// shares, because all of its old jobs would start in the order of their creation.
	minOverShareInterval = 10 * time.Minute
	// maxClaimedShare bounds the share of the zone's accelerators that are claimed, because
	// claimed accelerators are idle until the rest of the place is free. The bound applies only
	// to the second and later jobs in zoneScheduler.claimants. The first one, the aged job and
	// claims after a preemption are not limited, but count towards the share.
	maxClaimedShare = 0.1
	// minPlaceGain is how much sooner another place must become free before a claim moves
	// there. Each move wastes the time for which the previous place was kept free.
	minPlaceGain = 5 * time.Minute
	// placeSearchInterval is the minimum time between two searches for a better place for a
	// claim.
	placeSearchInterval = time.Minute
)

// zoneScheduler implements Scheduler.
type zoneScheduler struct {
	// seed is not used by any decision.
	seed      int64
	predictor *predictor
	// index is loaded with the snapshot of each decision.
	index *cluster
	// lastPlaces contains the places that the last decision claimed, by job name. The next
	// decision prefers the same places, so that a claim does not move whenever estimates change.
	lastPlaces map[string]claimedPlace
	// agedJobName is the queued job that is placed before all jobs that are neither guaranteed
	// nor urgent, because it has waited too long. claimants are the other blocked jobs for which
	// the last decision claimed a place, in the order of their first claim. A job becomes a
	// claimant when it is next in placeByShare, cannot start, and mayClaim allows a claim. Jobs
	// placed by placeGuaranteed or placeUrgent are not included.
	agedJobName string
	claimants   []string
	// lastOverShareStart is the time of the last start that was due to agedOverShareAfter.
	lastOverShareStart time.Time
	// lastMove and lastMoveSearch are the times at which defragment last stopped jobs and last
	// searched for jobs to stop.
	lastMove, lastMoveSearch time.Time
}

// New returns a Scheduler. The seed has no effect.
func New(seed int64) Scheduler {
	return &zoneScheduler{seed: seed, predictor: newPredictor(), index: &cluster{}, lastPlaces: make(map[string]claimedPlace)}
}

// RecordRunTime implements Scheduler.
func (s *zoneScheduler) RecordRunTime(job *resource.Job, ran time.Duration) {
	s.predictor.observe(&job.Spec, ran)
}

// CheckGuarantee implements Scheduler.
func (s *zoneScheduler) CheckGuarantee(snapshot Snapshot, candidate *resource.Guarantee) GuaranteeResult {
	c := newCluster(&snapshot)
	before := c.reserve(snapshot.Guarantees)
	guarantees := append(slices.Clone(snapshot.Guarantees), candidate)
	after := c.reserve(guarantees)
	result := GuaranteeResult{Guarantee: candidate.Name, Honourable: true}
	last := len(guarantees) - 1
	if n := after.unplaced[last]; n > 0 {
		result.Honourable = false
		result.Reason = fmt.Sprintf("%d of %d gangs of %s have no place beside the existing guarantees",
			n, candidate.Spec.Gangs, describeShape(guaranteeShape(&candidate.Spec)))
	} else if after.totalUnplaced() > before.totalUnplaced() {
		result.Honourable = false
		result.Reason = "an existing guarantee could no longer be honoured"
	}
	return result
}

// Schedule implements Scheduler.
func (s *zoneScheduler) Schedule(now time.Time, snapshot Snapshot) Plan {
	d := newDecision(s, now, &snapshot)
	d.reportGuarantees()
	queue := d.feasibleJobs(snapshot.Queued)
	d.ignoreUnprovenLimit = true
	queue = d.placeGuaranteed(queue)
	queue = d.placeUrgent(queue)
	d.ignoreUnprovenLimit = false
	queue = d.placeAged(queue)
	queue = d.placeClaimants(queue)
	d.placeByShare(queue)
	d.withdrawUnsafePlacements()
	s.lastPlaces = d.places
	return d.plan
}

// withdrawUnsafePlacements withdraws placements, the last one first, until each guarantee has
// at least as many reclaimable places as before the decision. This can be necessary because the
// search for a reservation plan is a heuristic: it may have found a reservation plan that
// included jobs waiting for a reclaim, and then find none for the running and placed jobs alone.
func (d *decision) withdrawUnsafePlacements() {
	if len(d.snapshot.Guarantees) == 0 {
		return
	}
	runs := slices.DeleteFunc(d.c.runs, func(r *run) bool { return r.awaitingReclaim })
	for len(d.plan.Placements) > 0 {
		d.c.runs = runs
		after := d.c.reserve(d.snapshot.Guarantees)
		guaranteesKept := true
		for i := range after.unplaced {
			guaranteesKept = guaranteesKept && after.unplaced[i] <= d.unplacedBefore[i]
		}
		if guaranteesKept {
			return
		}
		last := d.plan.Placements[len(d.plan.Placements)-1]
		d.plan.Placements = d.plan.Placements[:len(d.plan.Placements)-1]
		runs = slices.DeleteFunc(runs, func(r *run) bool { return r.isNew && r.job == last.Job })
		d.addWaiting(last.Job, ReasonReservation, "other jobs end", "no reservation plan for all guarantees was found with the job")
	}
}

// claim keeps units free for a job that cannot start yet. It lasts for one decision; its
// location is stored in lastPlaces for the next one.
type claim struct {
	job   string
	nodes []int
	shape shape
	// ready is when the place is expected to be free.
	ready time.Time
}

// decision is the working state of one call of Schedule.
type decision struct {
	sched      *zoneScheduler
	now        time.Time
	snapshot   *Snapshot
	policy     resource.PlacementPolicy
	c          *cluster
	res        *reservation
	guaranteed map[string]int
	// usage contains the number of accelerators that the jobs of each organisation occupy,
	// including those placed by this decision.
	usage map[string]int
	// uncoveredUsage is the part of usage that no guarantee covers.
	uncoveredUsage map[string]int
	// claimed contains the units of each node that claims keep free.
	claimed []int
	claims  []claim
	places  map[string]claimedPlace
	plan    Plan
	// noFreePlace contains the shapes for which no free place was found. The units that
	// availableNow returns only shrink until the next preemption, so a second search cannot
	// succeed. addClaim clears the map, because it also follows each preemption.
	noFreePlace map[shape]bool
	// ignoreUnprovenLimit is set while guaranteed and urgent jobs are placed.
	ignoreUnprovenLimit bool
	weightSum           float64
	// unplacedBefore contains the number of gangs of each guarantee that had no place at the
	// start of the decision.
	unplacedBefore []int
	// capacity is the number of units of all usable nodes.
	capacity int
}

func newDecision(s *zoneScheduler, now time.Time, snapshot *Snapshot) *decision {
	policy := resource.PolicySpec{Placement: snapshot.Policy}.WithDefaults().Placement
	c := s.index
	c.load(snapshot)
	d := &decision{
		sched: s, now: now, snapshot: snapshot, policy: policy, c: c,
		res:            c.reserve(snapshot.Guarantees),
		guaranteed:     make(map[string]int),
		usage:          make(map[string]int),
		uncoveredUsage: make(map[string]int),
		claimed:        make([]int, len(c.nodes)),
		places:         make(map[string]claimedPlace),
		noFreePlace:    make(map[shape]bool),
	}
	for _, g := range snapshot.Guarantees {
		d.guaranteed[g.Spec.Organisation] += g.Spec.Gangs * g.Spec.Members * g.Spec.AcceleratorsPerMember
	}
	for _, r := range c.runs {
		d.addUsage(r)
	}
	for n := range c.nodes {
		if c.nodes[n].usable {
			d.capacity += c.nodes[n].accel
		}
	}
	d.unplacedBefore = d.res.unplaced
	d.sumWeights()
	return d
}

func (d *decision) addUsage(r *run) {
	org := r.job.Spec.Organisation
	d.usage[org] += r.accelerators()
	if d.res.covered[r] == nil {
		d.uncoveredUsage[org] += r.accelerators()
	}
}

// sumWeights sets weightSum to the sum of the weights of all organisations with running or
// queued jobs.
func (d *decision) sumWeights() {
	active := make(map[string]bool, len(d.usage))
	for org := range d.usage {
		active[org] = true
	}
	for _, j := range d.snapshot.Queued {
		active[j.Spec.Organisation] = true
	}
	names := make([]string, 0, len(active))
	for org := range active {
		names = append(names, org)
	}
	slices.Sort(names)
	for _, org := range names {
		d.weightSum += d.weight(org)
	}
}

func (d *decision) weight(org string) float64 {
	if o := d.snapshot.Organisations[org]; o != nil && o.Spec.Weight > 0 {
		return o.Spec.Weight
	}
	return 1
}

func (d *decision) urgent(j *resource.Job) bool { return j.Spec.Urgency <= *d.policy.UrgentAtMost }

func (d *decision) reportGuarantees() {
	for i, g := range d.snapshot.Guarantees {
		result := GuaranteeResult{Guarantee: g.Name, Honourable: d.res.unplaced[i] == 0}
		if !result.Honourable {
			result.Reason = fmt.Sprintf("%d of %d gangs of %s have no place on the usable workers",
				d.res.unplaced[i], g.Spec.Gangs, describeShape(guaranteeShape(&g.Spec)))
		}
		d.plan.Guarantees = append(d.plan.Guarantees, result)
	}
}

func describeShape(s shape) string {
	text := fmt.Sprintf("%d x %d accelerators in one %s", s.members, s.accel, s.adjacency)
	if s.cores > 0 || s.memoryMB > 0 {
		text += fmt.Sprintf(" with %d cores and %d MB each", s.cores, s.memoryMB)
	}
	return text
}

func (d *decision) addWaiting(j *resource.Job, code ReasonCode, unblock, format string, args ...any) {
	d.plan.Waiting = append(d.plan.Waiting, Waiting{
		Job: j.Name, Code: code, Message: fmt.Sprintf(format, args...), Unblock: unblock,
	})
}

// feasibleJobs returns the jobs that could run in an empty zone with all workers usable, in the
// order of the queue. For the rest it records why they wait.
func (d *decision) feasibleJobs(queued []*resource.Job) []*resource.Job {
	out := make([]*resource.Job, 0, len(queued))
	for _, j := range queued {
		s := jobShape(&j.Spec)
		switch {
		case d.c.isFeasible(s):
			out = append(out, j)
		case len(d.c.nodes) == 0:
			d.addWaiting(j, ReasonCapacity, "workers of the zone are listed", "no worker of zone %q is known", d.snapshot.Zone)
		default:
			d.addWaiting(j, ReasonImpossible, "a smaller gang, a wider adjacency or larger workers",
				"%s fits on no set of the zone's %d workers, even if they were empty", describeShape(s), len(d.c.nodes))
		}
	}
	slices.SortStableFunc(out, compareQueueOrder)
	return out
}

// compareQueueOrder orders jobs by age and urgency, see urgencyLevelWait.
func compareQueueOrder(a, b *resource.Job) int {
	return cmp.Or(queueTime(a).Compare(queueTime(b)), cmp.Compare(a.Name, b.Name))
}

func queueTime(j *resource.Job) time.Time {
	return j.Created.Add(time.Duration(j.Spec.Urgency) * urgencyLevelWait)
}

// exceedsQuota reports whether the job would take its organisation over its quota.
func (d *decision) exceedsQuota(j *resource.Job) bool {
	o := d.snapshot.Organisations[j.Spec.Organisation]
	return o != nil && o.Spec.AcceleratorQuota > 0 &&
		d.usage[j.Spec.Organisation]+j.Spec.Accelerators() > o.Spec.AcceleratorQuota
}

// waitsForQuota reports whether the job exceeds the quota of its organisation. If so, it
// records that as the reason why the job waits.
func (d *decision) waitsForQuota(j *resource.Job) bool {
	if !d.exceedsQuota(j) {
		return false
	}
	org := j.Spec.Organisation
	d.addWaiting(j, ReasonQuota, "jobs of the organisation end or its quota is raised",
		"organisation %s holds %d of its quota of %d accelerators, the job needs %d",
		org, d.usage[org], d.snapshot.Organisations[org].Spec.AcceleratorQuota, j.Spec.Accelerators())
	return true
}

// unavailable marks a node that the job must not use, in a slice of available units by node. It
// is so far below zero that the units of stopping or ending jobs never make it positive.
const unavailable = -1 << 20

// availableNow returns the units of each node on which a job can start now without using
// claimed units. Suspect nodes have none unless suspects is set. Claims are met first from the
// units of jobs that are stopping, so they reduce the free units only by the rest.
func (d *decision) availableNow(j *resource.Job, claimed []int, suspects bool) []int {
	out := make([]int, len(d.c.free))
	for n := range out {
		out[n] = min(d.c.free[n], d.c.freeSoon[n]-claimed[n])
		if out[n] > 0 && !d.nodeAcceptsStart(n, suspects) {
			out[n] = 0
		}
	}
	d.maskAvoided(j, out)
	return out
}

// nodeAcceptsStart reports whether a job may start on a node that has free units. A suspect
// node accepts a gang only if it has no unproven one, and only if suspects is set. While all
// gangs on another node are unproven, it accepts at most maxUnprovenGangs, except for guaranteed
// and urgent jobs, which must not wait because of this limit.
func (d *decision) nodeAcceptsStart(n int, suspects bool) bool {
	if d.c.nodes[n].suspect {
		return suspects && d.c.unprovenGangs(n, d.now) == 0
	}
	if d.ignoreUnprovenLimit {
		return true
	}
	unproven := d.c.unprovenGangs(n, d.now)
	return unproven < maxUnprovenGangs || unproven < len(d.c.runsOn[n])
}

// availableSoon returns the unclaimed units of each node that are free now or will be free once
// the jobs that have been asked to stop have stopped. Suspect nodes are unavailable.
func (d *decision) availableSoon(j *resource.Job) []int {
	out := make([]int, len(d.c.freeSoon))
	for n := range out {
		out[n] = d.c.freeSoon[n] - d.claimed[n]
		if d.c.nodes[n].suspect {
			out[n] = unavailable
		}
	}
	d.maskAvoided(j, out)
	return out
}

func (d *decision) maskAvoided(j *resource.Job, units []int) {
	for _, id := range d.snapshot.Avoid[j.Name] {
		if n, ok := d.c.byID[id]; ok {
			units[n] = unavailable
		}
	}
}

// findNow returns the nodes on which the job can start now, or nil. It uses suspect workers
// only if the other workers do not suffice.
func (d *decision) findNow(j *resource.Job, claimed []int, s shape) []int {
	if nodes := d.c.locate(d.availableNow(j, claimed, false), s); nodes != nil || !d.c.hasSuspects {
		return nodes
	}
	return d.c.locate(d.availableNow(j, claimed, true), s)
}

func (d *decision) addClaim(j *resource.Job, nodes []int, ready time.Time) {
	s := jobShape(&j.Spec)
	d.claims = append(d.claims, claim{job: j.Name, nodes: nodes, shape: s, ready: ready})
	for _, n := range nodes {
		d.claimed[n] += d.c.nodes[n].unitsPerMember(s)
	}
	d.noFreePlace = make(map[shape]bool)
}

func (d *decision) newRun(j *resource.Job, nodes []int) *run {
	r := &run{
		job: j, name: j.Name, shape: jobShape(&j.Spec), nodes: nodes,
		startedAt: d.now, startOrder: d.now.UnixNano(), orgIndex: d.c.orgIndexOf(j),
		restartable: j.Spec.Restart != resource.RestartNever, isNew: true,
	}
	d.c.setFootprint(r)
	return r
}

// reservationWith returns the reservation plan to use if the run starts. For a restartable run
// that does not use its organisation's guarantee it returns the present reservation plan, which
// does not include the run, and sets placedReclaimable. For other runs it computes a reservation
// plan that includes the run. It returns nil if that reservation plan does not preserve the
// guarantees, or if the run is to use the guarantee and does not fit into it.
func (d *decision) reservationWith(r *run, useGuarantee bool) *reservation {
	if !useGuarantee && r.restartable {
		r.placedReclaimable = true
		return d.res
	}
	d.c.runs = append(d.c.runs, r)
	next := d.c.reserve(d.snapshot.Guarantees)
	d.c.runs = d.c.runs[:len(d.c.runs)-1]
	if !d.preservesGuarantees(next, r) || useGuarantee && next.covered[r] == nil {
		return nil
	}
	next.addedRun = r
	return next
}

// start places a job on nodes. It returns false without changing anything if the reservation
// plan does not allow the placement.
func (d *decision) start(j *resource.Job, nodes []int, useGuarantee bool) bool {
	r := d.newRun(j, nodes)
	next := d.reservationWith(r, useGuarantee)
	if next == nil {
		return false
	}
	d.res = next
	d.c.occupy(r)
	d.addUsage(r)
	d.plan.Placements = append(d.plan.Placements, Placement{
		Job: j, Workers: d.c.workerIDs(nodes), Reclaimable: !d.res.protected(r),
	})
	return true
}

// preservesGuarantees reports whether the reservation plan with an added run gives each
// guarantee at least the places that it has now, and does not take the cover away from any other
// run. There are two exceptions: runs of the same organisation that do not have the shape of
// their slot may lose their cover (see mayLoseCover), and a run that is not restartable needs no
// cover because it is never reclaimed.
func (d *decision) preservesGuarantees(next *reservation, added *run) bool {
	for i := range next.unplaced {
		if next.unplaced[i] > d.res.unplaced[i] {
			return false
		}
	}
	for r, slot := range d.res.covered {
		if next.covered[r] == nil && r.restartable && !mayLoseCover(r, slot, added.job.Spec.Organisation) {
			return false
		}
	}
	return true
}

// mayLoseCover reports whether a run that the slot covers may lose its cover to another run of
// the organisation org: it is a restartable run of the same organisation and does not have the
// shape of the slot. The shape of the other run is not checked.
func mayLoseCover(r *run, slot *slot, org string) bool {
	return r.restartable && r.job.Spec.Organisation == org && !slot.matchesShape(r.shape)
}

// placeGuaranteed places the jobs that fit into an unused part of their organisation's
// guarantee, and returns the remaining jobs. Jobs of a guaranteed shape (apart from cores and
// memory) are placed first, because a job of another shape would lose its place to them anyway.
func (d *decision) placeGuaranteed(queue []*resource.Job) []*resource.Job {
	if len(d.snapshot.Guarantees) == 0 {
		return queue
	}
	guaranteedShapes := make(map[string][]shape)
	for _, g := range d.snapshot.Guarantees {
		guaranteedShapes[g.Spec.Organisation] = append(guaranteedShapes[g.Spec.Organisation], guaranteeShape(&g.Spec))
	}
	handled := make(map[*resource.Job]bool)
	for _, exact := range []bool{true, false} {
		for _, j := range queue {
			shapes := guaranteedShapes[j.Spec.Organisation]
			if len(shapes) > 0 && slices.Contains(shapes, acceleratorShape(j)) == exact && !handled[j] {
				handled[j] = d.placeGuaranteedJob(j)
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(queue), func(j *resource.Job) bool { return handled[j] })
}

// acceleratorShape returns the shape of a job without its cores and memory.
func acceleratorShape(j *resource.Job) shape {
	s := jobShape(&j.Spec)
	s.cores, s.memoryMB = 0, 0
	return s
}

// placeGuaranteedJob places a job within its organisation's guarantee, or stops the jobs that
// are in the way. It returns true if it placed the job or recorded why the job waits, and false
// if the job does not fit into the unused part of the guarantee or no allowed place was found.
func (d *decision) placeGuaranteedJob(j *resource.Job) bool {
	s := jobShape(&j.Spec)
	unused := d.unusedSlots(j.Spec.Organisation, s)
	if len(unused) == 0 {
		return false
	}
	if d.waitsForQuota(j) {
		return true
	}
	if nodes := d.findNow(j, d.claimed, s); nodes != nil && d.start(j, nodes, true) {
		return true
	}
	available := d.availableNow(j, d.claimed, false)
	for _, slot := range unused {
		if nodes := d.c.locate(d.limitToSlot(slot, s, available), s); nodes != nil && d.start(j, nodes, true) {
			return true
		}
	}
	best, next := d.preemptForGuarantee(j, s, unused)
	if best == nil {
		return false
	}
	if len(best.victims) == 0 && d.fitsNow(j, s, best.nodes) && d.start(j, best.nodes, true) {
		return true
	}
	// The waiting job uses the guarantee from now on, so that no other job reclaims workers for
	// the same part of it.
	next.addedRun.awaitingReclaim = true
	d.c.runs = append(d.c.runs, next.addedRun)
	d.res = next
	d.preemptFor(j, best, "the job is within its organisation's guarantee")
	return true
}

// fitsNow reports whether a gang can start on the given nodes without waiting for jobs to stop.
func (d *decision) fitsNow(j *resource.Job, s shape, nodes []int) bool {
	units := d.availableNow(j, d.claimed, false)
	for _, n := range nodes {
		if units[n] -= d.c.nodes[n].unitsPerMember(s); units[n] < 0 {
			return false
		}
	}
	return true
}

// preemptForGuarantee returns the preemption that loses the least work at a place where the job
// is covered and that is outside the slots of other organisations, with the reservation plan
// that includes the job. It tries the place of an earlier decision first, then places within
// the unreserved units and the unused slots, and finally each unused slot alone. It returns nil
// if the reservation plan allows none of them.
func (d *decision) preemptForGuarantee(j *resource.Job, s shape, unused []*slot) (*preemption, *reservation) {
	soon := d.availableSoon(j)
	canStop := func(r *run) bool {
		if r.isNew || r.stopping {
			return false
		}
		slot := d.res.covered[r]
		return !d.res.protected(r) || slot != nil && slot.matchesShape(s) && mayLoseCover(r, slot, j.Spec.Organisation)
	}
	if pre := d.preemptionAtPlace(j, s, soon, canStop); pre != nil {
		if next := d.reservationWith(d.newRun(j, pre.nodes), true); next != nil {
			return pre, next
		}
	}
	limit := slices.Clone(d.res.unreserved)
	for _, slot := range unused {
		for n, units := range d.unusedUnits(slot, s) {
			limit[n] += units
		}
	}
	if pre := d.c.findPreemptionWithin(soon, s, canStop, limit); pre != nil {
		if next := d.reservationWith(d.newRun(j, pre.nodes), true); next != nil {
			return pre, next
		}
	}
	var found []*preemption
	for _, slot := range unused {
		if pre := d.c.findPreemptionWithin(soon, s, canStop, d.unusedUnits(slot, s)); pre != nil {
			found = append(found, pre)
		}
	}
	slices.SortStableFunc(found, func(a, b *preemption) int { return cmp.Compare(a.loss, b.loss) })
	for _, pre := range found {
		if next := d.reservationWith(d.newRun(j, pre.nodes), true); next != nil {
			return pre, next
		}
	}
	return nil, nil
}

// preemptionAtPlace returns the preemption at the place for which jobs were asked to stop in an
// earlier decision, or nil. If the place changed with each decision, jobs would be stopped for
// nothing.
func (d *decision) preemptionAtPlace(j *resource.Job, s shape, soon []int, canStop func(*run) bool) *preemption {
	ids := d.sched.lastPlaces[j.Name].workers
	if len(ids) != s.members {
		return nil
	}
	limit := make([]int, len(d.c.nodes))
	for _, n := range d.c.nodeIndexes(ids) {
		if n < 0 {
			return nil
		}
		limit[n] += d.c.nodes[n].unitsPerMember(s)
	}
	return d.c.findPreemptionWithin(soon, s, canStop, limit)
}

// findPreemption returns the preemption at the place of an earlier decision if there is one, or
// else the one that loses the least work.
func (d *decision) findPreemption(j *resource.Job, canStop func(*run) bool) *preemption {
	s, soon := jobShape(&j.Spec), d.availableSoon(j)
	if pre := d.preemptionAtPlace(j, s, soon, canStop); pre != nil {
		return pre
	}
	return d.c.findPreemption(soon, s, canStop)
}

// unusedSlots returns the slots of an organisation whose unused units can hold the gang.
func (d *decision) unusedSlots(org string, s shape) []*slot {
	var out []*slot
	for _, slot := range d.res.slots {
		if slot.nodes == nil || d.snapshot.Guarantees[slot.guarantee].Spec.Organisation != org {
			continue
		}
		if d.c.locate(d.unusedUnits(slot, s), s) != nil {
			out = append(out, slot)
		}
	}
	return out
}

// unusedUnits returns the units of a slot that a gang can use, by node. A gang of the slot's
// own shape can use the whole slot unless it is occupied, because restartable runs of other
// shapes lose their cover to it.
func (d *decision) unusedUnits(slot *slot, s shape) []int {
	out := make([]int, len(d.c.nodes))
	if slot.matchesShape(s) && slot.occupied() {
		return out
	}
	for _, n := range slot.nodes {
		out[n] += slot.shape.accel
	}
	if slot.matchesShape(s) {
		return out
	}
	for _, f := range slot.coveredUnits {
		out[f.node] -= f.units
	}
	return out
}

// limitToSlot returns the given units, limited to the unused part of a slot.
func (d *decision) limitToSlot(slot *slot, s shape, units []int) []int {
	out := d.unusedUnits(slot, s)
	for n := range out {
		out[n] = min(out[n], units[n])
	}
	return out
}

// preemptFor asks the victims to stop and claims their place for the job. It records that the
// job waits for them.
func (d *decision) preemptFor(j *resource.Job, pre *preemption, reason string) {
	deadline := d.now.Add(toDuration(d.policy.ReclaimSeconds))
	for _, v := range pre.victims {
		d.c.markStopping(v)
		d.plan.Reclaims = append(d.plan.Reclaims, Reclaim{Job: v.name, Deadline: deadline, NeededBy: j.Name, Reason: reason})
	}
	d.places[j.Name] = claimedPlace{workers: d.c.workerIDs(pre.nodes), searchedAt: d.now}
	// The claim is ready now, so that no job is backfilled into the place.
	d.addClaim(j, pre.nodes, d.now)
	d.addWaiting(j, ReasonReclaiming, "the stopped jobs leave their workers, at the latest at the deadline",
		"the job starts when reclaimed accelerators are free, %d jobs are asked to stop now", len(pre.victims))
}

// placeUrgent places urgent jobs and returns the remaining jobs. An urgent job may stop
// reclaimable jobs of its own organisation that are not urgent, and those of any organisation as
// long as its own organisation stays within its fair share. This limit prevents an organisation that
// marks all of its jobs as urgent from taking over the zone.
func (d *decision) placeUrgent(queue []*resource.Job) []*resource.Job {
	rest := queue[:0:0]
	for _, j := range queue {
		if !d.urgent(j) || !d.placeUrgentJob(j) {
			rest = append(rest, j)
		}
	}
	return rest
}

func (d *decision) placeUrgentJob(j *resource.Job) bool {
	if d.waitsForQuota(j) {
		return true
	}
	s := jobShape(&j.Spec)
	if nodes := d.findNow(j, d.claimed, s); nodes != nil && d.start(j, nodes, false) {
		return true
	}
	org := j.Spec.Organisation
	within := d.withinShare(j)
	canStop := func(r *run) bool {
		return !r.isNew && !r.stopping && !d.res.protected(r) && !d.urgent(r.job) &&
			(within || r.job.Spec.Organisation == org)
	}
	// A job that must not be restarted may start only outside all reservations, which
	// findPreemption does not respect.
	if j.Spec.Restart == resource.RestartNever {
		return false
	}
	pre := d.findPreemption(j, canStop)
	if pre == nil {
		return false
	}
	d.preemptFor(j, pre, "the job is urgent")
	return true
}

// fairShare returns the number of accelerators that the organisation gets if all organisations
// with running or queued jobs want more than their share. The minimum of 1e-9 avoids a division
// by zero.
func (d *decision) fairShare(org string) float64 {
	return float64(d.capacity) * d.weight(org) / max(d.weightSum, 1e-9)
}

// placeByShare places the remaining jobs or records why they wait. The next job is always from
// the organisation whose uncovered usage is the smallest relative to its weight; within the
// organisation, jobs are in the order of the queue.
func (d *decision) placeByShare(queue []*resource.Job) {
	byOrg := make(map[string][]*resource.Job)
	var orgs []string
	for _, j := range queue {
		org := j.Spec.Organisation
		if byOrg[org] == nil {
			orgs = append(orgs, org)
		}
		byOrg[org] = append(byOrg[org], j)
	}
	slices.Sort(orgs)
	for len(orgs) > 0 {
		i := d.nextOrg(orgs, byOrg)
		j := byOrg[orgs[i]][0]
		if byOrg[orgs[i]] = byOrg[orgs[i]][1:]; len(byOrg[orgs[i]]) == 0 {
			orgs = slices.Delete(orgs, i, i+1)
		}
		if d.waitsForQuota(j) || d.startNow(j) {
			continue
		}
		if d.mayClaim(j) && d.claimEarliestPlace(j) {
			d.sched.claimants = append(d.sched.claimants, j.Name)
			continue
		}
		d.explainWait(j)
	}
}

// placeAged places at most one job, one that has waited too long, before all jobs in the queue,
// and returns the remaining jobs.
func (d *decision) placeAged(queue []*resource.Job) []*resource.Job {
	j := d.agedJob(queue)
	if j == nil {
		d.sched.agedJobName = ""
		return queue
	}
	rest := slices.DeleteFunc(slices.Clone(queue), func(q *resource.Job) bool { return q == j })
	d.sched.agedJobName = j.Name
	below := d.belowShare(j)
	switch {
	case d.waitsForQuota(j):
		d.sched.agedJobName = ""
	case d.startNow(j):
		d.sched.agedJobName = ""
		if !below {
			d.sched.lastOverShareStart = d.now
		}
	case d.preemptForAged(j) || d.claimEarliestPlace(j):
		// The job waits for its claimed place and remains the aged job.
	default:
		d.explainWait(j)
		d.sched.agedJobName = ""
	}
	return rest
}

// agedJob returns the job that was selected in an earlier decision, or else the oldest job that
// has waited long enough for its organisation, can ever start and does not exceed the quota.
func (d *decision) agedJob(queue []*resource.Job) *resource.Job {
	var best *resource.Job
	for _, j := range queue {
		if j.Name == d.sched.agedJobName {
			return j
		}
		wait := d.now.Sub(j.Created)
		if wait < agedAfter || best != nil && compareAge(best, j) < 0 {
			continue
		}
		longWait := wait >= agedOverShareAfter && d.now.Sub(d.sched.lastOverShareStart) >= minOverShareInterval
		if (longWait || d.belowShare(j)) && d.canEverStart(j) && !d.exceedsQuota(j) {
			best = j
		}
	}
	return best
}

func compareAge(a, b *resource.Job) int {
	return cmp.Or(a.Created.Compare(b.Created), cmp.Compare(a.Name, b.Name))
}

// withinShare reports whether the job's organisation stays within its fair share with one more
// job.
func (d *decision) withinShare(j *resource.Job) bool {
	org := j.Spec.Organisation
	return float64(d.usage[org]+j.Spec.Accelerators()) <= d.fairShare(org)
}

// belowShare reports whether the job's organisation uses less than its fair share. The job
// itself may take it over its share; otherwise a gang larger than the share would never start.
func (d *decision) belowShare(j *resource.Job) bool {
	org := j.Spec.Organisation
	return float64(d.usage[org]) < d.fairShare(org)
}

// canEverStart reports whether a job could start if all running jobs that may end or be stopped
// did so. A job that is not restartable can only start outside all guarantees.
func (d *decision) canEverStart(j *resource.Job) bool {
	return j.Spec.Restart != resource.RestartNever || d.c.locate(d.res.unreserved, jobShape(&j.Spec)) != nil
}

// preemptForAged stops younger reclaimable jobs for a job that has waited too long. Only
// younger jobs are stopped, so that two jobs cannot stop each other in turn.
func (d *decision) preemptForAged(j *resource.Job) bool {
	// The reason is the same as in placeUrgentJob.
	if j.Spec.Restart == resource.RestartNever {
		return false
	}
	canStop := func(r *run) bool {
		return !r.isNew && !r.stopping && !d.res.protected(r) && !d.urgent(r.job) && compareAge(j, r.job) < 0
	}
	pre := d.findPreemption(j, canStop)
	if pre == nil {
		return false
	}
	d.preemptFor(j, pre, "the job has waited too long")
	return true
}

// placeClaimants places the claimants of the last decision, in the order of their first claims,
// and returns the remaining jobs.
func (d *decision) placeClaimants(queue []*resource.Job) []*resource.Job {
	before := d.sched.claimants
	d.sched.claimants = nil
	if len(before) == 0 {
		return queue
	}
	byName := make(map[string]*resource.Job, len(before))
	for _, j := range queue {
		if slices.Contains(before, j.Name) {
			byName[j.Name] = j
		}
	}
	for _, name := range before {
		j := byName[name]
		switch {
		case j == nil || d.waitsForQuota(j) || d.startNow(j):
			// The job is not in the queue any more, waits for its quota, or has been started.
		case d.mayClaim(j) && d.claimEarliestPlace(j):
			d.sched.claimants = append(d.sched.claimants, name)
		default:
			d.explainWait(j)
		}
	}
	return slices.DeleteFunc(slices.Clone(queue), func(j *resource.Job) bool { return byName[j.Name] == j })
}

// mayClaim reports whether a job may become a claimant. The first claimant always may, further
// ones only while all claims of the decision together are at most maxClaimedShare of the zone.
func (d *decision) mayClaim(j *resource.Job) bool {
	claimed := 0
	for _, cl := range d.claims {
		claimed += cl.shape.members * cl.shape.accel
	}
	return len(d.sched.claimants) == 0 || float64(claimed+j.Spec.Accelerators()) <= maxClaimedShare*float64(d.capacity)
}

func (d *decision) nextOrg(orgs []string, byOrg map[string][]*resource.Job) int {
	best := 0
	for i := 1; i < len(orgs); i++ {
		a, b := orgs[i], orgs[best]
		order := cmp.Or(
			cmp.Compare(float64(d.uncoveredUsage[a])/d.weight(a), float64(d.uncoveredUsage[b])/d.weight(b)),
			compareQueueOrder(byOrg[a][0], byOrg[b][0]))
		if order < 0 {
			best = i
		}
	}
	return best
}

// startNow starts a job on free units and returns whether it did. It uses claimed units only if
// backfillClaimed allows that.
func (d *decision) startNow(j *resource.Job) bool {
	s := jobShape(&j.Spec)
	if d.noFreePlace[s] && len(d.snapshot.Avoid[j.Name]) == 0 {
		return d.backfillClaimed(j, s)
	}
	nodes := d.findNow(j, d.claimed, s)
	if nodes == nil {
		d.noFreePlace[s] = d.noFreePlace[s] || len(d.snapshot.Avoid[j.Name]) == 0
		return d.backfillClaimed(j, s)
	}
	return d.startOrTryUnreserved(j, nodes, s)
}

// startOrTryUnreserved starts a job on the nodes. If the reservation plan does not allow that,
// because the job is not restartable, it tries a place within the unreserved units.
func (d *decision) startOrTryUnreserved(j *resource.Job, nodes []int, s shape) bool {
	if d.start(j, nodes, false) {
		return true
	}
	units := d.availableNow(j, d.claimed, false)
	for n := range units {
		units[n] = min(units[n], d.res.unreserved[n])
	}
	nodes = d.c.locate(units, s)
	return nodes != nil && d.start(j, nodes, false)
}

// backfillClaimed starts a job on units of claimed places if the job will very likely end before
// these places are ready.
func (d *decision) backfillClaimed(j *resource.Job, s shape) bool {
	left, ok := d.sched.predictor.estimateRemaining(j, conservativeQuantile)
	if !ok {
		return false
	}
	claimed := slices.Clone(d.claimed)
	anyIgnored := false
	for _, cl := range d.claims {
		if cl.ready.Before(d.now.Add(left)) {
			continue
		}
		anyIgnored = true
		for _, n := range cl.nodes {
			claimed[n] -= d.c.nodes[n].unitsPerMember(cl.shape)
		}
	}
	if !anyIgnored {
		return false
	}
	nodes := d.findNow(j, claimed, s)
	return nodes != nil && d.start(j, nodes, false)
}

// claimEarliestPlace claims the place that is expected to become free soonest for a blocked job,
// or lets defragment stop jobs to make a place free. It returns false if there is no place.
func (d *decision) claimEarliestPlace(j *resource.Job) bool {
	s := jobShape(&j.Spec)
	var limit []int
	if j.Spec.Restart == resource.RestartNever {
		limit = d.res.unreserved
	}
	nodes, ready := d.choosePlace(j, s, limit)
	if nodes == nil {
		return false
	}
	if ready.Before(d.now) {
		ready = d.now
	}
	if d.defragment(j, ready) {
		return true
	}
	d.addClaim(j, nodes, ready)
	d.addWaiting(j, ReasonReservation, "running jobs on the reserved workers end",
		"the job is the head of the queue and holds a reservation that is expected to be free in %s",
		max(ready.Sub(d.now), 0).Round(time.Second))
	return true
}

// estimatedEnd returns when a run is expected to end, which is now for a stopping run.
func (d *decision) estimatedEnd(r *run) time.Time {
	if r.stopping {
		return d.now
	}
	return d.sched.predictor.estimateEnd(d.now, r)
}

// claimedPlace is the location of a claim.
type claimedPlace struct {
	workers []string
	// searchedAt is when the place was last compared with other places.
	searchedAt time.Time
}

// choosePlace returns the previously claimed place unless another one is ready sooner by more
// than minPlaceGain. The search for another place is expensive and is made only every
// placeSearchInterval.
func (d *decision) choosePlace(j *resource.Job, s shape, limit []int) ([]int, time.Time) {
	soon := d.availableSoon(j)
	before := d.sched.lastPlaces[j.Name]
	old, oldReady, ok := d.previousPlace(before.workers, soon, s)
	if ok && d.now.Sub(before.searchedAt) < placeSearchInterval {
		d.places[j.Name] = before
		return old, oldReady
	}
	nodes, ready := d.c.earliestPlace(soon, s, limit, d.estimatedEnd)
	if ok && (nodes == nil || !ready.Add(minPlaceGain).Before(oldReady)) {
		nodes, ready = old, oldReady
	}
	if nodes != nil {
		d.places[j.Name] = claimedPlace{workers: d.c.workerIDs(nodes), searchedAt: d.now}
	}
	return nodes, ready
}

// previousPlace returns the nodes of a previously claimed place and the time when it is free.
// It returns false if there is none or if it can no longer hold the gang.
func (d *decision) previousPlace(ids []string, soon []int, s shape) ([]int, time.Time, bool) {
	if len(ids) != s.members {
		return nil, time.Time{}, false
	}
	old := d.c.nodeIndexes(ids)
	for _, n := range old {
		if n < 0 || !d.c.nodes[n].usable || soon[n] <= unavailable/2 {
			return nil, time.Time{}, false
		}
	}
	ready, ok := d.c.readyAt(soon, s, old, d.estimatedEnd)
	return old, ready, ok
}

// explainWait records why a job that neither starts nor claims a place waits.
func (d *decision) explainWait(j *resource.Job) {
	s := jobShape(&j.Spec)
	free, claimed, unusable := 0, 0, 0
	for n := range d.c.nodes {
		free += max(d.c.free[n], 0)
		claimed += min(max(d.c.free[n], 0), d.claimed[n])
		if !d.c.nodes[n].usable {
			unusable++
		}
	}
	need := j.Spec.Accelerators()
	switch {
	case len(d.snapshot.Avoid[j.Name]) > 0 && d.c.locate(d.c.free, s) != nil:
		d.addWaiting(j, ReasonBadWorkers, "other workers become free",
			"the job failed on %d workers and is not placed there again", len(d.snapshot.Avoid[j.Name]))
	case d.c.locate(d.c.free, s) != nil && j.Spec.Restart == resource.RestartNever:
		d.addWaiting(j, ReasonReservation, "jobs end, or the job may be restarted and so be reclaimed",
			"the job may not be restarted, so it could not be reclaimed from guaranteed accelerators")
	case d.c.locate(d.c.free, s) != nil:
		d.addWaiting(j, ReasonReservation, "the jobs that hold the reservations start",
			"%d of %d free accelerators are held for jobs before this one", claimed, free)
	case unusable > 0 && d.fitsIfUnusableReturned(s):
		d.addWaiting(j, ReasonBadWorkers, "workers return",
			"%d of %d workers are silent, leaving or quarantined", unusable, len(d.c.nodes))
	case free >= need:
		d.addWaiting(j, ReasonAdjacency, "jobs end so that enough free accelerators are adjacent",
			"%d accelerators are free, but not %s", free, describeShape(s))
	default:
		d.addWaiting(j, ReasonCapacity, "running jobs end",
			"%d accelerators are free, the job needs %d", free, need)
	}
}

// fitsIfUnusableReturned reports whether the gang would fit if the workers that are not usable
// returned and were empty.
func (d *decision) fitsIfUnusableReturned(s shape) bool {
	units := slices.Clone(d.c.free)
	for n := range units {
		if !d.c.nodes[n].usable {
			units[n] = d.c.nodes[n].accel
		}
	}
	return d.c.locate(units, s) != nil
}
