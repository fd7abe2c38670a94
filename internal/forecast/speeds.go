// Package forecast learns how fast each worker is, from the paces of tasks of the same step on different workers, and
// how long the work of each queue takes. It does no I/O and does not read the clock.
//
// The load that the speeds answer: workers differ in speed by a factor of two or more, nobody says which are fast, and the
// estimates of the tasks are wrong by as much. Tasks of one step do about the same work, so their paces on
// different workers show the relative speeds of these workers whatever the estimate says.
package forecast

import (
	"math"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// maxObservations is the number of runs per worker whose paces count. The median of a few runs keeps out the
	// few tasks that take several times as long as the others of their step.
	maxObservations = 7
	// maxObservationAge is the age from which the pace of a run is replaced by newer ones. A worker without newer ones
	// keeps its speed: it belongs to the machine.
	maxObservationAge = 2 * time.Minute
	// minRatio and maxRatio bound the speeds that count as a worker's own. A task outside of them is an outlier of its
	// step, or the worker has a temporary fault, which progress.Speed detects.
	minRatio, maxRatio = 0.3, 3.3
	// minKnownReferences is the number of other workers of known speed from which the work of a step is derived, and
	// minReferences the number of other workers that it takes if few of them are known.
	minKnownReferences, minReferences = 2, 3
	// maxCompared limits the runs of a step that are compared, and so the time that it takes.
	maxCompared = 64
	// maxExactReferences is the number of runs up to which each worker is compared with the others only. In larger steps its own
	// runs hardly move the median, and one median for all saves time at the leader.
	maxExactReferences = 12
)

// Pace is how fast one run of a step progresses.
type Pace struct {
	Worker string
	// Run identifies the run: a later pace of the same run replaces the earlier one. It is above 0.
	Run int64
	// Duration is how long the whole task takes at this pace.
	Duration time.Duration
}

// Speeds holds the speeds of the workers of one service. Use NewSpeeds to create it.
type Speeds struct {
	workers map[string]*estimate
	// scale is the median of the workers' own figures; speeds are relative to it.
	scale float64
	// offset is where the next comparison begins in a long list of paces.
	offset int
	// deviations and values are reused by Compare.
	deviations []Deviation
	values     []float64
}

// Deviation is how much longer a run takes than the runs of the same step on other workers.
type Deviation struct {
	Run int64
	// Factor is 1 if the run takes as long as the others, corrected by the speeds of all workers.
	Factor float64
}

// NewSpeeds returns speeds that know no worker.
func NewSpeeds() *Speeds { return &Speeds{workers: make(map[string]*estimate), scale: 1} }

// estimate is what is known of one worker.
type estimate struct {
	observations []observation
	// raw is the median of the observations, 0 if there is none.
	raw float64
}

// observation is the speed that one run shows.
type observation struct {
	run   int64
	speed float64
	at    boottime.Instant
}

// Speed returns the speed of a worker relative to the median worker, and false if it is not known.
func (s *Speeds) Speed(worker string) (float64, bool) {
	e := s.workers[worker]
	if e == nil || e.raw == 0 {
		return 0, false
	}
	return e.raw / s.scale, true
}

// Known returns the number of workers whose speed is known.
func (s *Speeds) Known() int {
	n := 0
	for _, e := range s.workers {
		if e.raw > 0 {
			n++
		}
	}
	return n
}

// Forget drops what is known of a worker: its next incarnation may run on another machine.
func (s *Speeds) Forget(worker string) { delete(s.workers, worker) }

// Compare updates the speeds with the paces of runs of one step at the given time. Runs that are slow because of where
// they are, away from their data or spread over racks, must not be among them. Paces of one worker must be next to each other.
//
// It returns the deviations of the runs on workers whose speed other runs show. They are valid until the next call.
func (s *Speeds) Compare(now boottime.Instant, paces []Pace) []Deviation {
	s.deviations = s.deviations[:0]
	if len(paces) > maxCompared {
		// Others each time, so that the workers of all tasks become known.
		s.offset = (s.offset + maxCompared) % len(paces)
		paces = append(paces[s.offset:len(paces):len(paces)], paces[:s.offset]...)[:maxCompared]
	}
	work := s.normalize(paces)
	all := work.reference("")
	for i := range paces {
		p := &paces[i]
		reference := all
		if len(work.entries) <= maxExactReferences {
			reference = work.reference(p.Worker)
		}
		if reference == 0 {
			continue
		}
		if speed := s.speedByOthers(p.Worker, p.Run); speed > 0 {
			s.deviations = append(s.deviations, Deviation{p.Run, p.Duration.Seconds() * speed / reference})
		}
		if ratio := reference / p.Duration.Seconds(); ratio >= minRatio && ratio <= maxRatio {
			// Speeds are kept on the scale of the observations, so that a change of the scale does not shift them.
			s.add(p.Worker, observation{p.Run, ratio * s.scale, now})
		} else {
			// The earlier paces of an outlier were on the way there.
			s.drop(p.Worker, p.Run)
		}
	}
	return s.deviations
}

// speedByOthers returns the speed of a worker without what the given run shows, so that a run that is slower than usual does
// not count as the usual speed of its worker. It returns 0 if there is no other observation.
func (s *Speeds) speedByOthers(worker string, run int64) float64 {
	e := s.workers[worker]
	if e == nil {
		return 0
	}
	s.values = s.values[:0]
	for _, o := range e.observations {
		if o.run != run {
			s.values = append(s.values, o.speed)
		}
	}
	if len(s.values) == 0 {
		return 0
	}
	return median(s.values) / s.scale
}

// stepWork is the work of a step as each of its runs shows it.
type stepWork struct {
	entries []workEntry
	// values is reused by reference.
	values []float64
}

// workEntry is the work of a step in seconds, from the pace of a run and the speed of its worker, or speed 1 if that is not known.
type workEntry struct {
	worker string
	work   float64
	known  bool
}

func (s *Speeds) normalize(paces []Pace) stepWork {
	w := stepWork{entries: make([]workEntry, len(paces)), values: make([]float64, 0, len(paces))}
	for i, p := range paces {
		speed, known := s.Speed(p.Worker)
		if !known {
			speed = 1
		}
		w.entries[i] = workEntry{p.Worker, p.Duration.Seconds() * speed, known}
	}
	return w
}

// reference returns the work of the step by the runs on other workers than the given one: by those of known speed if there are enough,
// otherwise by all. It returns 0 if there are too few.
func (w *stepWork) reference(except string) float64 {
	for _, knownOnly := range []bool{true, false} {
		w.values = w.values[:0]
		workers, last := 0, ""
		for i := range w.entries {
			e := &w.entries[i]
			if e.worker == except || (knownOnly && !e.known) {
				continue
			}
			w.values = append(w.values, e.work)
			if e.worker != last {
				workers++
				last = e.worker
			}
		}
		if (knownOnly && workers >= minKnownReferences) || (!knownOnly && workers >= minReferences) {
			return median(w.values)
		}
	}
	return 0
}

func (s *Speeds) add(worker string, o observation) {
	e := s.workers[worker]
	if e == nil {
		e = &estimate{}
		s.workers[worker] = e
	}
	e.observations = slices.DeleteFunc(e.observations, func(old observation) bool {
		return old.run == o.run || o.at.Sub(old.at) > maxObservationAge
	})
	if len(e.observations) >= maxObservations {
		e.observations = slices.Delete(e.observations, 0, 1)
	}
	e.observations = append(e.observations, o)
	e.update()
}

// drop removes the observation of a run.
func (s *Speeds) drop(worker string, run int64) {
	e := s.workers[worker]
	if e == nil {
		return
	}
	e.observations = slices.DeleteFunc(e.observations, func(o observation) bool { return o.run == run })
	e.update()
}

func (e *estimate) update() {
	if len(e.observations) == 0 {
		e.raw = 0
		return
	}
	speeds := make([]float64, len(e.observations))
	for i, o := range e.observations {
		speeds[i] = o.speed
	}
	e.raw = median(speeds)
}

// lastObserved returns the time of the last observation, of which there must be one. A restored one may be from before the
// boot of the machine.
func (e *estimate) lastObserved() boottime.Instant {
	last := e.observations[0].at
	for _, o := range e.observations {
		last = max(last, o.at)
	}
	return last
}

// Summary describes the known speeds of a service.
type Summary struct {
	Known int
	// Slower is the number of known workers below the limit that was asked for.
	Slower int
	// Slowest, Fastest are the tenth and the ninetieth percentile of the known speeds; 0 if none is known.
	Slowest, Fastest float64
}

// Summarize rescales the speeds so that the median worker has speed 1, and describes them. A worker below the limit
// counts as slower.
func (s *Speeds) Summarize(limit float64) Summary {
	speeds := make([]float64, 0, len(s.workers))
	for _, e := range s.workers {
		if e.raw > 0 {
			speeds = append(speeds, e.raw)
		}
	}
	if len(speeds) == 0 {
		return Summary{}
	}
	slices.Sort(speeds)
	s.scale = speeds[len(speeds)/2]
	sum := Summary{Known: len(speeds), Slowest: speeds[len(speeds)/10] / s.scale, Fastest: speeds[len(speeds)*9/10] / s.scale}
	sum.Slower, _ = slices.BinarySearch(speeds, limit*s.scale)
	return sum
}

// median returns the median of at least one value, the geometric mean of the middle two if their number is even. It
// sorts the values.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n%2 == 1 {
		return values[n/2]
	}
	return math.Sqrt(values[n/2-1] * values[n/2])
}
