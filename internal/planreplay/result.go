package planreplay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/oleanderbend/oleanderbend/internal/planner"
)

// Result is the result of a replay.
type Result struct {
	// Classes has the result of each class, Orgs that of each organisation.
	Classes, Orgs []Group
	// Rounds is the number of planning rounds with waiting jobs; MeanRound and LongestRound are how long they took on
	// this machine.
	Rounds                  int
	MeanRound, LongestRound time.Duration

	// Stops has the stopped and lost runs by cause.
	Stops []Stops
	// StoppedAgain is the number of preempted runs of which an earlier run of the same task had been preempted.
	StoppedAgain int
	// SparedRounds is the number of rounds in which runs that were preempted before were spared.
	SparedRounds int
	// LateGuarantees is the number of jobs that their organisation's guarantee covered and that began later than it allows.
	LateGuarantees int
	// StrandedGPU is the mean share of the accelerators that are idle and that no waiting task can use for lack of
	// another resource, in rounds with waiting jobs.
	StrandedGPU float64
	// Interference is nil if the pattern has none.
	Interference *InterferenceResult

	// Evacuations has the results of the evacuations of the pattern.
	Evacuations []EvacuationResult

	pattern    *Pattern
	totalRound time.Duration
	// waiting is the number of jobs without a started task, by class, at each step of the plot.
	waiting [][]float64
	steps   []float64
}

// Group is the result of the jobs of a class or an organisation.
type Group struct {
	Name string
	Jobs int
	// InTime jobs ended within their objective, Late ones within three times the objective; the others ended later or
	// not at all.
	InTime, Late int
	// Value is the value of these jobs, as a share of that of all jobs in time.
	Value float64
	// WaitMedian and WaitHigh are the median and the 95th percentile of the time from the arrival to the first start.
	WaitMedian, WaitHigh time.Duration
	// Preempted is the number of runs that were preempted, ThrownAway the work that was lost, in weighted
	// core-seconds.
	Preempted  int
	ThrownAway float64

	waits         []time.Duration
	earned, value float64
}

// Stops is the number of runs that were stopped or lost for one cause, and the work that was lost, in weighted
// core-seconds.
type Stops struct {
	Cause planner.StopCause
	Runs  int
	Lost  float64
}

// plotStep is the time between two points of the plot.
const plotStep = 250 * time.Millisecond

func newResult(p *Pattern) *Result {
	res := &Result{pattern: p, waiting: make([][]float64, len(p.Classes)), Evacuations: make([]EvacuationResult, len(p.Evacuations))}
	for i := range p.Classes {
		res.Classes = append(res.Classes, Group{Name: p.Classes[i].Name})
	}
	if len(p.Interference) > 0 || p.LearnInterference {
		res.Interference = &InterferenceResult{}
	}
	for i := range p.Orgs {
		res.Orgs = append(res.Orgs, Group{Name: p.Orgs[i].Name})
	}
	return res
}

// groups returns the groups that a job belongs to.
func (res *Result) groups(j *job) []*Group {
	class := slices.IndexFunc(res.pattern.Classes, func(c Class) bool { return c.Name == j.class.Name })
	return []*Group{&res.Classes[class], &res.Orgs[j.org]}
}

// stopped counts a stopped or lost run.
func (res *Result) stopped(j *job, cause planner.StopCause) {
	res.byCause(cause).Runs++
	if cause == causeLost {
		return
	}
	for _, g := range res.groups(j) {
		g.Preempted++
	}
}

func (res *Result) thrownAway(j *job, worked time.Duration, cause planner.StopCause) {
	lost := j.need.WorkPerSecond() * worked.Seconds()
	res.byCause(cause).Lost += lost
	for _, g := range res.groups(j) {
		g.ThrownAway += lost
	}
}

func (res *Result) byCause(cause planner.StopCause) *Stops {
	i := slices.IndexFunc(res.Stops, func(s Stops) bool { return s.Cause == cause })
	if i < 0 {
		i = len(res.Stops)
		res.Stops = append(res.Stops, Stops{Cause: cause})
	}
	return &res.Stops[i]
}

// stranded adds the stranded resources of a round to the mean.
func (res *Result) stranded(amount planner.Resources) {
	w := &res.pattern.Workers
	if total := w.GPU * int64(w.Count); total > 0 {
		res.StrandedGPU += (float64(amount.GPU)/float64(total) - res.StrandedGPU) / float64(res.Rounds+1)
	}
}

// WorstOrg returns the organisation with the lowest value.
func (res *Result) WorstOrg() *Group {
	worst := &res.Orgs[0]
	for i := range res.Orgs {
		if g := &res.Orgs[i]; g.Jobs > 0 && (worst.Jobs == 0 || g.Value < worst.Value) {
			worst = g
		}
	}
	return worst
}

func (res *Result) round(took time.Duration) {
	res.Rounds++
	res.totalRound += took
	res.LongestRound = max(res.LongestRound, took)
}

// observe adds a point to the plot if one is due.
func (res *Result) observe(r *replay) {
	if len(res.steps) > 0 && r.now < time.Duration(len(res.steps))*plotStep {
		return
	}
	res.steps = append(res.steps, r.now.Seconds())
	for i := range res.waiting {
		n := 0.0
		for _, j := range r.active {
			if j.class == &res.pattern.Classes[i] && j.firstStartAt == 0 {
				n++
			}
		}
		res.waiting[i] = append(res.waiting[i], n)
	}
}

func (res *Result) finish(r *replay) {
	if res.Rounds > 0 {
		res.MeanRound = res.totalRound / time.Duration(res.Rounds)
	}
	sizes, counts := make(map[*Class]float64), make(map[*Class]float64)
	for _, j := range r.jobs {
		sizes[j.class] += j.size()
		counts[j.class]++
	}
	for _, j := range r.jobs {
		if res.Interference != nil && j.class.ServingLevel > 0 {
			res.Interference.Serving += len(j.tasks)
		}
		// Larger jobs are worth more, up to four times the value of the class.
		weight := min(4, 0.3+0.7*j.size()*counts[j.class]/sizes[j.class])
		for _, g := range res.groups(j) {
			g.add(r, j, weight)
		}
	}
	res.finishEvacuations(r)
	for _, groups := range [][]Group{res.Classes, res.Orgs} {
		for i := range groups {
			groups[i].finish()
		}
	}
}

// add adds the result of a job, with a weight of its value.
func (g *Group) add(r *replay, j *job, weight float64) {
	took := j.endedAt - j.arrivedAt
	wait := j.firstStartAt - j.arrivedAt
	if j.firstStartAt == 0 {
		wait = r.now - j.arrivedAt
	}
	g.Jobs++
	g.value += weight * j.class.Value
	g.waits = append(g.waits, wait)
	switch {
	case j.endedAt == 0 || took > 3*j.objective():
	case took > j.objective() || j.harmed:
		g.Late++
		g.earned += weight * j.class.LateValue
	default:
		g.InTime++
		g.earned += weight * j.class.Value
	}
}

func (g *Group) finish() {
	if g.Jobs == 0 {
		return
	}
	slices.Sort(g.waits)
	g.WaitMedian, g.WaitHigh = g.waits[len(g.waits)/2], g.waits[len(g.waits)*95/100]
	g.Value = g.earned / g.value
}

// Value returns the value of all jobs, as a share of that of all jobs in time.
func (res *Result) Value() float64 {
	earned, value := 0.0, 0.0
	for i := range res.Classes {
		earned += res.Classes[i].earned
		value += res.Classes[i].value
	}
	if value == 0 {
		return 0
	}
	return earned / value
}

// missed returns the number of jobs that did not meet their objective.
func (res *Result) missed() int {
	n := 0
	for i := range res.Classes {
		n += res.Classes[i].Jobs - res.Classes[i].InTime
	}
	return n
}

// ThrownAway returns the lost work of all jobs, in weighted core-seconds.
func (res *Result) ThrownAway() float64 {
	total := 0.0
	for i := range res.Classes {
		total += res.Classes[i].ThrownAway
	}
	return total
}

// Write writes the result as a table.
func (res *Result) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "class or organisation\tjobs\tin time\tlate\tvalue\twait p50\twait p95\tpreempted\tthrown away\n")
	for _, groups := range [][]Group{res.Classes, res.Orgs} {
		for i := range groups {
			g := &groups[i]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.3f\t%v\t%v\t%d\t%.0f\n", g.Name, g.Jobs, g.InTime, g.Late, g.Value,
				g.WaitMedian.Round(time.Millisecond), g.WaitHigh.Round(time.Millisecond), g.Preempted, g.ThrownAway)
		}
	}
	fmt.Fprintf(w, "all\t\t\t\t%.3f\t\t\t\t%.0f\n", res.Value(), res.ThrownAway())
	fmt.Fprintf(w, "\ncause of stops\truns\tthrown away\n")
	for _, s := range res.Stops {
		fmt.Fprintf(w, "%s\t%d\t%.0f\n", s.Cause, s.Runs, s.Lost)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	worst := res.WorstOrg()
	fmt.Fprintf(out, "worst organisation: %s (value %.3f); late or unfinished jobs: %d; preempted again: %d (spared in %d rounds); late guarantees: %d; stranded accelerators: %.1f %%\n",
		worst.Name, worst.Value, res.missed(), res.StoppedAgain, res.SparedRounds, res.LateGuarantees, 100*res.StrandedGPU)
	if res.Interference != nil {
		if err := res.Interference.write(out); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(out, "%d rounds, %v on average, %v at most\n", res.Rounds, res.MeanRound.Round(time.Microsecond), res.LongestRound.Round(time.Microsecond)); err != nil {
		return err
	}
	return res.writeEvacuations(out)
}

// WritePlot writes a plot of the waiting jobs over time to a file, whose name gives the format (.svg, .png or .pdf).
func (res *Result) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Jobs that wait for their first start", "seconds", "jobs"
	var lines []any
	for i := range res.waiting {
		points := make(plotter.XYs, len(res.steps))
		for k := range points {
			points[k] = plotter.XY{X: res.steps[k], Y: res.waiting[i][k]}
		}
		lines = append(lines, res.Classes[i].Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(8*vg.Inch, 4*vg.Inch, file)
}
