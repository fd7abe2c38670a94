package planreplay

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/planner"
)

// job is a job of one step. Times are since the start of the replay.
type job struct {
	class *Class
	org   int
	// order is the position in the order of arrival.
	order      int
	arrivedAt  time.Duration
	tasks      []task
	need       planner.Resources
	estimate   time.Duration
	gang       bool
	rackLocal  bool
	checkpoint bool
	guaranteed bool
	// firstStartAt is when the first task started, 0 before; endedAt is when the job was complete.
	firstStartAt, endedAt time.Duration
	heldBackSince         time.Duration
	done                  int
	running               int
	// harmed means that a serving task of the job was harmed.
	harmed bool
}

// task is a task of a job.
type task struct {
	job *job
	// number is the position in the job.
	number int
	work   time.Duration
	// saved is the work that is done and saved.
	saved time.Duration
	done  bool
	run   *run
	// preempted means that an earlier run of the task was preempted, lastly at preemptedAt.
	preempted   bool
	preemptedAt time.Duration
	// harmed means that it is a serving task that was above its target for harmTime.
	harmed bool
}

func (j *job) objective() time.Duration {
	return time.Duration(j.class.DurationFactor*float64(j.longestTask())) + time.Duration(j.class.Offset)
}

func (j *job) longestTask() time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks {
		longest = max(longest, j.tasks[i].work)
	}
	return longest
}

// size returns the work of the job in weighted core-seconds.
func (j *job) size() float64 {
	total, need := 0.0, j.need
	need.CPU = 1000 * j.class.Cores
	for i := range j.tasks {
		total += need.WorkPerSecond() * j.tasks[i].work.Seconds()
	}
	return total
}

// logNormal returns a value with the given mean whose logarithm has the given standard deviation.
func logNormal(random *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
}

// generate returns the jobs of a pattern in the order of arrival.
func generate(p *Pattern, random *rand.Rand) []*job {
	var jobs []*job
	for i := range p.Classes {
		c := &p.Classes[i]
		for at := time.Duration(0); c.PerSecond > 0; {
			at += time.Duration(random.ExpFloat64() / p.rate(c, at) * float64(time.Second))
			if at >= time.Duration(p.Duration) {
				break
			}
			jobs = append(jobs, newJob(p, c, at, random))
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.arrivedAt - b.arrivedAt) })
	for i, j := range jobs {
		j.order = i
	}
	return jobs
}

// rate returns the arrivals of a class per second at a time.
func (p *Pattern) rate(c *Class, at time.Duration) float64 {
	rate := c.PerSecond
	for _, b := range p.Bursts {
		if (b.Class == "" || b.Class == c.Name) && at >= time.Duration(b.At) && at < time.Duration(b.At+b.Length) {
			rate *= b.Factor
		}
	}
	return rate
}

func newJob(p *Pattern, c *Class, at time.Duration, random *rand.Rand) *job {
	j := &job{
		class: c, org: pickOrg(p.Orgs, random), arrivedAt: at,
		need:       planner.Resources{CPU: c.countedCPU(), MemoryMB: c.MemoryMB, GPU: c.GPUs[random.IntN(len(c.GPUs))]},
		checkpoint: random.Float64() < c.CheckpointShare,
	}
	count := min(c.MaxTasks, max(1, int(math.Round(logNormal(random, c.Tasks, c.TasksSpread)))))
	j.gang = count > 1 && random.Float64() < c.GangShare
	j.rackLocal = count > 1 && random.Float64() < c.RackLocalShare
	work := min(time.Duration(c.MaxWork), time.Duration(logNormal(random, float64(c.Work), c.WorkSpread)))
	j.estimate = time.Duration(logNormal(random, float64(work), 0.2))
	j.tasks = make([]task, count)
	for i := range j.tasks {
		j.tasks[i] = task{job: j, number: i, work: work}
	}
	return j
}

// countedCPU returns what a task takes of the processors of a worker; fillers use what others leave idle.
func (c *Class) countedCPU() int64 {
	if c.Filler {
		return 0
	}
	return 1000 * c.Cores
}

func pickOrg(orgs []Org, random *rand.Rand) int {
	total := 0.0
	for _, o := range orgs {
		total += o.Weight
	}
	x := random.Float64() * total
	for i, o := range orgs {
		if x -= o.Weight; x < 0 {
			return i
		}
	}
	return len(orgs) - 1
}
