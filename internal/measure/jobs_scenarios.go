package measure

import (
	"fmt"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// jobsFullLoad returns a workload that fills a site with long reclaimable jobs at the start.
// Urgent jobs of several organisations follow after 5 minutes. Checkpoints take from 0.5 to 4 s,
// but one in ten of the long jobs needs longer than the preemption deadline and is stopped
// without a checkpoint.
func jobsFullLoad(site jobsSite, seed uint64) *jobsWorkload {
	g := newJobsGenerator(site, seed)
	const length = 30 * time.Minute
	workload := &jobsWorkload{
		workers: site.workers(), organisations: make(map[string]*resource.Organisation),
		window: length, horizon: 2 * time.Hour,
	}
	for i := range site.organisations {
		name := site.organisation(i)
		workload.organisations[name] = &resource.Organisation{Metadata: resource.Metadata{Name: name}}
	}
	// The long jobs need 5 % more than the capacity, so that jobs are always waiting.
	for filled := 0; filled < site.capacity()*105/100; {
		j := g.drawJob(0, g.pickOrganisation())
		j.resource.Spec.Restart = resource.RestartAlways
		j.runTime = 6*time.Hour + j.runTime
		if g.rng.Float64() < 0.1 {
			j.checkpointTime = time.Minute
		}
		filled += j.resource.Spec.Accelerators()
		workload.jobs = append(workload.jobs, j)
	}
	const firstUrgent = 5 * time.Minute
	for at := firstUrgent; at < length; at += time.Duration((0.5 + 5*g.rng.Float64()) * float64(time.Second)) {
		org := site.organisations/2 + g.rng.IntN(site.organisations-site.organisations/2)
		j := g.newJob(at, org, 1+g.rng.IntN(2), 1+g.rng.IntN(site.accelerators/4), resource.AdjacentWorker,
			g.lognormal(time.Minute, 0.5))
		j.resource.Spec.Urgency = g.rng.IntN(2)
		j.resource.Spec.Restart = resource.RestartAlways
		workload.jobs = append(workload.jobs, j)
	}
	return workload
}

// urgentWaits returns the time from arrival to start of each urgent job, in seconds. A job that
// did not start counts as started at the horizon.
func (s *jobsSim) urgentWaits() []float64 {
	var out []float64
	end := jobsEpoch.Add(s.workload.horizon)
	for _, j := range s.workload.jobs {
		if j.resource.Spec.Urgency > resource.DefaultUrgentAtMost {
			continue
		}
		started := j.started
		if started.IsZero() {
			started = end
		}
		out = append(out, started.Sub(j.resource.Created).Seconds())
	}
	return out
}

// jobsBadWorkerDay returns a workload for a half-loaded site of 48 workers. After six hours, two
// workers start to fail every run, and they do so for four hours. In the half hour after their
// first failures, a batch of jobs of one organisation arrives that fail on every worker.
func jobsBadWorkerDay(seed uint64) *jobsWorkload {
	site := jobsTumaini
	site.offeredLoad = 0.5
	site.jobsPerDay = 900
	workload := jobsDay(site, seed)
	g := newJobsGenerator(site, seed+1)
	workload.outages = nil
	for i := range 2 {
		workload.outages = append(workload.outages, jobsOutage{
			worker: workload.workers[(7+23*i)%len(workload.workers)].ID, at: jobsEpoch.Add(6 * time.Hour), length: 4 * time.Hour, bad: true,
		})
	}
	for range 12 {
		at := 6*time.Hour + time.Duration(g.rng.Float64()*float64(30*time.Minute))
		j := g.newJob(at, 1, 1, 1, resource.AdjacentWorker, 20*time.Minute)
		j.resource.Name = "faulty-" + j.resource.Name
		j.faulty = true
		j.resource.Spec.Restart = resource.RestartAlways
		workload.jobs = append(workload.jobs, j)
	}
	return workload
}

// jobsLargeGangSnapshot returns a snapshot of the design size with 8,400 tasks running and a gang
// of 64 members as the only queued job.
func jobsLargeGangSnapshot(seed uint64) scheduler.Snapshot {
	site := jobsDesign
	g := newJobsGenerator(site, seed)
	out := scheduler.Snapshot{Zone: "z1", Workers: site.workers(), Organisations: make(map[string]*resource.Organisation)}
	for i := range site.organisations {
		name := site.organisation(i)
		out.Organisations[name] = &resource.Organisation{
			Metadata: resource.Metadata{Name: name},
			Spec:     resource.OrganisationSpec{AcceleratorQuota: site.capacity() / 4},
		}
		if i%2 == 0 {
			out.Guarantees = append(out.Guarantees, &resource.Guarantee{
				Metadata: resource.Metadata{Name: "guarantee-" + name},
				Spec: resource.GuaranteeSpec{
					Organisation: name, Gangs: 1 + i%3, Members: 2, AcceleratorsPerMember: site.accelerators / 2,
					Adjacency: resource.AdjacentRack,
				},
			})
		}
	}
	const tasks = 8400
	baseline := jobsBaseline{backfill: true}
	for running := 0; running < tasks; {
		members := min(1+g.rng.IntN(8), tasks-running)
		j := g.newJob(0, g.pickOrganisation(), members, 1, resource.AdjacentZone, time.Hour)
		j.resource.Spec.CoresPerMember = 0
		j.resource.Spec.Restart = resource.RestartAlways
		running += members
		out.Queued = append(out.Queued, j.resource)
	}
	for _, p := range baseline.Schedule(jobsEpoch, out).Placements {
		out.Running = append(out.Running, scheduler.Running{
			Job: p.Job, Workers: p.Workers, StartedAt: jobsEpoch.Add(-time.Duration(g.rng.IntN(3600)) * time.Second),
			CheckpointAge: time.Duration(g.rng.IntN(600)) * time.Second,
		})
	}
	gang := g.newJob(0, 3, 64, site.accelerators/2, resource.AdjacentZone, time.Hour)
	gang.resource.Name = fmt.Sprintf("gang-%d", gang.resource.Spec.Members)
	gang.resource.Spec.CoresPerMember = 0
	out.Queued = []*resource.Job{gang.resource}
	return out
}
