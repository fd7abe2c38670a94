package planreplay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/evacuation"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// Evacuation is the evacuation of a zone: its workers accept nothing and finish what runs there. After its return to
// service the zone is used step by step, as by the controller.
type Evacuation struct {
	At     settings.Duration `toml:"at"`
	Length settings.Duration `toml:"length"`
	// Share is the share of the workers in the zone, which has the last racks.
	Share float64 `toml:"share"`
}

const (
	// returnStep and returnSteps divide the two seconds after the return of a zone, for which starts are counted.
	returnStep  = 500 * time.Millisecond
	returnSteps = 4
)

// EvacuationResult is what an evacuation causes.
type EvacuationResult struct {
	// Classes has the jobs of each class that arrived from the evacuation until two seconds after the return of the zone.
	Classes []Group
	// LateGuarantees is the number of these jobs that their organisation's guarantee covered and that began later than it allows.
	LateGuarantees int
	// ThrownAway is the work that was lost in this time, in weighted core-seconds.
	ThrownAway float64
	// StartsPerSecond has the starts per second in the zone, in each half second after its return.
	StartsPerSecond [returnSteps]float64
	// StartsDuring is the number of starts in the zone while it was evacuated.
	StartsDuring int

	lostBefore float64
}

func (e *Evacuation) end() time.Duration { return time.Duration(e.At + e.Length) }

// observes reports whether a time counts towards the result of an evacuation.
func (e *Evacuation) observes(at time.Duration) bool {
	return at >= time.Duration(e.At) && at < e.end()+returnSteps*returnStep
}

// zone returns the workers in the zone of an evacuation.
func (r *replay) zone(e *Evacuation) []*worker {
	return r.workers[len(r.workers)-int(e.Share*float64(len(r.workers))):]
}

// applyEvacuations determines which workers get no work, because their zone is evacuated or has just returned to service.
func (r *replay) applyEvacuations() {
	if len(r.pattern.Evacuations) == 0 {
		return
	}
	for _, w := range r.workers {
		w.evacuated, w.closed = false, false
	}
	for i := range r.pattern.Evacuations {
		e, res := &r.pattern.Evacuations[i], &r.result.Evacuations[i]
		zone := r.zone(e)
		switch {
		case r.now < time.Duration(e.At):
			res.lostBefore = r.result.ThrownAway()
		case r.now < e.end():
			for _, w := range zone {
				w.evacuated, w.closed = true, true
			}
		default:
			for _, w := range zone[evacuation.Admitted(len(zone), r.now-e.end()):] {
				w.closed = true
			}
		}
		if e.observes(r.now) {
			res.ThrownAway = r.result.ThrownAway() - res.lostBefore
		}
	}
}

// countZoneStart counts the start of a task in the zone of an evacuation.
func (r *replay) countZoneStart(w *worker) {
	for i := range r.pattern.Evacuations {
		e, res := &r.pattern.Evacuations[i], &r.result.Evacuations[i]
		if !slices.Contains(r.zone(e), w) || !e.observes(r.now) {
			continue
		}
		if r.now < e.end() {
			res.StartsDuring++
		} else {
			res.StartsPerSecond[(r.now-e.end())/returnStep] += 1 / returnStep.Seconds()
		}
	}
}

// countLateGuarantee counts a job that began later than its guarantee allows.
func (r *replay) countLateGuarantee(j *job) {
	r.result.LateGuarantees++
	for i := range r.pattern.Evacuations {
		if r.pattern.Evacuations[i].observes(j.arrivedAt) {
			r.result.Evacuations[i].LateGuarantees++
		}
	}
}

// finishEvacuations determines the results of the classes.
func (res *Result) finishEvacuations(r *replay) {
	for i := range res.Evacuations {
		e := &res.Evacuations[i]
		for c := range r.pattern.Classes {
			e.Classes = append(e.Classes, Group{Name: r.pattern.Classes[c].Name})
		}
		for _, j := range r.jobs {
			if r.pattern.Evacuations[i].observes(j.arrivedAt) {
				class := slices.IndexFunc(e.Classes, func(g Group) bool { return g.Name == j.class.Name })
				e.Classes[class].add(r, j, 1)
			}
		}
		for c := range e.Classes {
			e.Classes[c].finish()
		}
	}
}

// writeEvacuations writes the results of the evacuations, if there were any.
func (res *Result) writeEvacuations(out io.Writer) error {
	for i := range res.Evacuations {
		e, pattern := &res.Evacuations[i], &res.pattern.Evacuations[i]
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(w, "\nevacuation of %.0f %% of the workers at %v for %v; jobs until 2 s after it:\n", 100*pattern.Share, time.Duration(pattern.At), time.Duration(pattern.Length))
		fmt.Fprintf(w, "class\tjobs\tin time\tlate\twait p50\twait p95\n")
		for c := range e.Classes {
			g := &e.Classes[c]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%v\n", g.Name, g.Jobs, g.InTime, g.Late, g.WaitMedian.Round(time.Millisecond), g.WaitHigh.Round(time.Millisecond))
		}
		if err := w.Flush(); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "late guarantees: %d; thrown away: %.0f; starts in the zone while evacuated: %d; per second after its return, by half seconds: %.0f\n",
			e.LateGuarantees, e.ThrownAway, e.StartsDuring, e.StartsPerSecond); err != nil {
			return err
		}
	}
	return nil
}
