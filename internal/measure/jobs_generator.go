package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// jobsSite is the size of a deployment. All workers are in one zone, so that gangs of 64
// members fit at the design size.
type jobsSite struct {
	name           string
	racks          int
	workersPerRack int
	// accelerators, cores and memoryMB are those of one worker.
	accelerators  int
	cores         int
	memoryMB      int
	organisations int
	// jobsPerDay is the number of jobs in a day, without those of guarantees and impossible jobs.
	jobsPerDay int
	// offeredLoad is the work that arrives in a day, divided by the capacity of a day.
	offeredLoad float64
}

// The sites of section 1.5 of the design document. At the design size a worker has 16
// accelerators, because 8,400 tasks of at least one accelerator do not fit on 800 workers with
// 8. Its offered load is higher than that of the other two, because at lower loads hardly any
// queue forms.
var (
	jobsTumaini    = jobsSite{"tumaini", 8, 6, 8, 128, 256 << 10, 4, 600, 0.95}
	jobsHamnverket = jobsSite{"hamnverket", 6, 8, 8, 64, 128 << 10, 4, 600, 0.95}
	jobsDesign     = jobsSite{"design", 100, 8, 16, 128, 512 << 10, 130, 2900, 1.2}
)

func (s jobsSite) capacity() int { return s.racks * s.workersPerRack * s.accelerators }

func (s jobsSite) workers() []scheduler.Worker {
	var out []scheduler.Worker
	for r := range s.racks {
		for w := range s.workersPerRack {
			out = append(out, scheduler.Worker{
				ID: fmt.Sprintf("w%03d-%02d", r, w), Rack: fmt.Sprintf("r%03d", r),
				Accelerators: s.accelerators, Cores: s.cores, MemoryMB: s.memoryMB, Usable: true,
			})
		}
	}
	return out
}

func (s jobsSite) organisation(i int) string { return fmt.Sprintf("org-%03d", i) }

// jobsGenerator generates the jobs of a workload from a seed.
type jobsGenerator struct {
	site jobsSite
	rng  *rand.Rand
	// declaredBias is the median ratio of real to declared run time of each organisation.
	declaredBias []float64
	// cumulativeShares is each organisation's share of the jobs plus the shares of the
	// organisations before it. The first organisations have the largest shares.
	cumulativeShares []float64
	// drawn is the number of jobs generated so far.
	drawn int
}

func newJobsGenerator(site jobsSite, seed uint64) *jobsGenerator {
	g := &jobsGenerator{site: site, rng: jobsRand(seed)}
	total := 0.0
	for i := range site.organisations {
		g.declaredBias = append(g.declaredBias, math.Exp(g.rng.NormFloat64()*0.7))
		total += 1 / float64(i+2)
		g.cumulativeShares = append(g.cumulativeShares, total)
	}
	for i := range g.cumulativeShares {
		g.cumulativeShares[i] /= total
	}
	return g
}

func (g *jobsGenerator) pickOrganisation() int {
	x := g.rng.Float64()
	i, _ := slices.BinarySearch(g.cumulativeShares, x)
	return min(i, len(g.cumulativeShares)-1)
}

func (g *jobsGenerator) lognormal(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(g.rng.NormFloat64()*sigma))
}

// jobsClass is a size class of jobs. members and accel are inclusive ranges of the number of
// members and of accelerators per member; median is the median run time.
type jobsClass struct {
	// share is the fraction of all jobs that are of this class.
	share     float64
	members   [2]int
	accel     [2]int
	adjacency resource.Adjacency
	median    time.Duration
}

// classes returns the mix of size classes: many small, short jobs and few large gangs, which
// have most of the work.
func (s jobsSite) classes() []jobsClass {
	fullWorker := s.accelerators
	return []jobsClass{
		{0.45, [2]int{1, 1}, [2]int{1, 2}, resource.AdjacentWorker, 8 * time.Minute},
		{0.30, [2]int{1, 2}, [2]int{2, fullWorker / 2}, resource.AdjacentWorker, 40 * time.Minute},
		{0.13, [2]int{2, 8}, [2]int{1, fullWorker / 2}, resource.AdjacentZone, 90 * time.Minute},
		{0.08, [2]int{2, s.workersPerRack}, [2]int{fullWorker / 2, fullWorker}, resource.AdjacentRack, 2 * time.Hour},
		{0.04, [2]int{8, min(64, s.racks*s.workersPerRack/4)}, [2]int{fullWorker / 2, fullWorker / 2}, resource.AdjacentZone, 2 * time.Hour},
	}
}

// between returns a random number from r[0] to r[1], both included.
func (g *jobsGenerator) between(r [2]int) int { return r[0] + g.rng.IntN(r[1]-r[0]+1) }

// drawJob generates a job of a random size class.
func (g *jobsGenerator) drawJob(at time.Duration, org int) *simJob {
	classes := g.site.classes()
	x := g.rng.Float64()
	class := classes[len(classes)-1]
	for _, c := range classes {
		if x < c.share {
			class = c
			break
		}
		x -= c.share
	}
	members, accel := g.between(class.members), g.between(class.accel)
	if class.adjacency == resource.AdjacentWorker {
		accel = min(accel, g.site.accelerators/members)
	}
	j := g.newJob(at, org, members, accel, class.adjacency, g.lognormal(class.median, 1.0))
	j.resource.Spec.Urgency = 2 + g.rng.IntN(6)
	return j
}

// newJob generates a job of the given size and run time. A fifth of the jobs declare more cores than
// correspond to their accelerators, and one in ten declares no run time. The declared run time of
// the other jobs deviates from the real one by the bias of the organisation and a random factor.
func (g *jobsGenerator) newJob(at time.Duration, org, members, accel int, adjacency resource.Adjacency, runTime time.Duration) *simJob {
	g.drawn++
	site := g.site
	spec := resource.JobSpec{
		Organisation: site.organisation(org), Members: members, AcceleratorsPerMember: accel, Adjacency: adjacency,
		Urgency: 4, Checkpointable: g.rng.Float64() < 0.8, Restart: resource.RestartAlways,
	}
	// A fifth of the jobs declare up to twice the cores that correspond to their accelerators.
	spec.CoresPerMember = accel * site.cores / site.accelerators
	if g.rng.Float64() < 0.2 {
		spec.CoresPerMember = min(int(float64(spec.CoresPerMember)*(1+g.rng.Float64())), site.cores/max(1, members*btoi(adjacency == resource.AdjacentWorker)))
	}
	if g.rng.Float64() < 0.9 {
		declared := runTime.Seconds() / (g.declaredBias[org] * math.Exp(g.rng.NormFloat64()*0.5))
		spec.DeclaredSeconds = min(declared, resource.MaxDeclaredSeconds)
	}
	if g.rng.Float64() < 0.02 {
		spec.Restart = resource.RestartNever
	}
	return &simJob{
		resource: &resource.Job{
			Metadata: resource.Metadata{Name: fmt.Sprintf("job-%05d", g.drawn), Created: jobsEpoch.Add(at)},
			Spec:     spec,
		},
		runTime:        runTime,
		checkpointTime: time.Duration((0.5 + 3.5*g.rng.Float64()) * float64(time.Second)),
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// jobsDay returns a workload of a day with bursts, wrong declared sizes and run times, failing
// workers, impossible jobs and many cancellations at one time.
func jobsDay(site jobsSite, seed uint64) *jobsWorkload {
	g := newJobsGenerator(site, seed)
	const day = 24 * time.Hour
	workload := &jobsWorkload{
		workers: site.workers(), organisations: make(map[string]*resource.Organisation),
		window: day, horizon: 14 * day,
	}
	for i := range site.organisations {
		name := site.organisation(i)
		workload.organisations[name] = &resource.Organisation{Metadata: resource.Metadata{Name: name}}
	}
	// A third of the jobs arrive in bursts, each of one organisation and within two minutes.
	for len(workload.jobs) < site.jobsPerDay {
		at := time.Duration(g.rng.Float64() * float64(day))
		org := g.pickOrganisation()
		count := 1
		if g.rng.Float64() < 0.03 {
			count = 10 + g.rng.IntN(20)
		}
		for range min(count, site.jobsPerDay-len(workload.jobs)) {
			workload.jobs = append(workload.jobs, g.drawJob(at+time.Duration(g.rng.Float64()*float64(2*time.Minute)), org))
		}
	}
	g.addGuarantees(workload, day)
	g.scaleRunTimes(workload, day)
	g.addDisturbances(workload, day)
	slices.SortStableFunc(workload.jobs, func(a, b *simJob) int { return a.resource.Created.Compare(b.resource.Created) })
	return workload
}

// addGuarantees adds guarantees and jobs of exactly their shapes.
func (g *jobsGenerator) addGuarantees(workload *jobsWorkload, day time.Duration) {
	site := g.site
	count := min(site.organisations, max(3, site.organisations/4))
	for i := range count {
		org := site.organisations - 1 - i
		members := 1 + i%3
		adjacency := resource.AdjacentRack
		if i%3 == 0 {
			adjacency = resource.AdjacentWorker
		}
		name := site.organisation(org)
		workload.guarantees = append(workload.guarantees, &resource.Guarantee{
			Metadata: resource.Metadata{Name: "guarantee-" + name},
			Spec: resource.GuaranteeSpec{
				Organisation: name, Gangs: 1 + i%2, Members: members,
				AcceleratorsPerMember: site.accelerators, Adjacency: adjacency,
			},
		})
		for range 12 {
			at := time.Duration(g.rng.Float64() * float64(day))
			j := g.newJob(at, org, members, site.accelerators, adjacency, g.lognormal(30*time.Minute, 0.8))
			j.resource.Spec.Restart = resource.RestartAlways
			workload.jobs = append(workload.jobs, j)
		}
	}
}

// scaleRunTimes scales the run times so that the work is the offered load of the site, as a
// fraction of the capacity of a day. The minimum run time of 10 s can make it more.
func (g *jobsGenerator) scaleRunTimes(workload *jobsWorkload, day time.Duration) {
	work := 0.0
	for _, j := range workload.jobs {
		j.runTime = min(j.runTime, 10*time.Hour)
		work += j.runTime.Seconds() * float64(j.resource.Spec.Accelerators())
	}
	factor := g.site.offeredLoad * float64(g.site.capacity()) * day.Seconds() / work
	for _, j := range workload.jobs {
		j.runTime = max(time.Duration(float64(j.runTime)*factor), 10*time.Second)
		j.resource.Spec.DeclaredSeconds *= factor
	}
}

// addDisturbances adds impossible jobs, cancellations and worker outages.
func (g *jobsGenerator) addDisturbances(workload *jobsWorkload, day time.Duration) {
	for range 3 {
		j := g.newJob(time.Duration(g.rng.Float64()*float64(day)), 0, g.site.workersPerRack+1, g.site.accelerators,
			resource.AdjacentRack, time.Hour)
		j.impossible = true
		workload.jobs = append(workload.jobs, j)
	}
	cancelledAt := jobsEpoch.Add(time.Duration((0.4 + 0.2*g.rng.Float64()) * float64(day)))
	for _, j := range workload.jobs {
		if j.resource.Spec.Organisation == g.site.organisation(0) && j.resource.Created.Before(cancelledAt) &&
			cancelledAt.Sub(j.resource.Created) < 2*time.Hour && g.rng.Float64() < 0.3 {
			j.cancelAt = cancelledAt
		}
	}
	for range max(1, len(workload.workers)/48) {
		workload.outages = append(workload.outages, jobsOutage{
			worker: workload.workers[g.rng.IntN(len(workload.workers))].ID,
			at:     jobsEpoch.Add(time.Duration(g.rng.Float64() * float64(day))),
			length: 30 * time.Minute,
		})
	}
}
