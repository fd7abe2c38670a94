package interference

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// beginRatio is the effect from which a pair conflicts, endRatio the one below which it conflicts no more.
	beginRatio, endRatio = 1.25, 1.12
	// beginCertainty and endCertainty are the same for the effect divided by its standard error. Hundreds of pairs are tested
	// every second, so 2 would show several that do not exist.
	beginCertainty, endCertainty = 3, 1.5
	// minTrust is the sum of the trust in the workers, or times on one worker, that it takes for a conflict to begin;
	// minWorkers and minTimes are their least numbers.
	minTrust = 2
	// minObservationsWithout is the number of observations without the neighbour that it takes for a conflict to begin. Runs that
	// are seldom alone are so for a short time, and their few levels then say little.
	minObservationsWithout = 8
	minWorkers             = 2
	minTimes               = 3
	// unpairedTrust is the trust in a worker on which the victim was not seen without the neighbour and nothing shows that
	// the worker is not slow by itself; raisedTrust that in a worker on which all other runs were slower than usual at the same
	// time. Faults slow down a sixth of the workers at once, so two or three such workers can be a coincidence.
	unpairedTrust, raisedTrust = 0.5, 0.34
	// minAgreement is the share of the workers that must show the effect.
	minAgreement = 2.0 / 3
	// minDeviation is the least standard deviation of the logarithm of levels that is assumed.
	minDeviation = 0.1
	// shrinkage is the weight of the next wider reference (worker, then all workers) compared with that of one episode. At 0.15,
	// two tasks that take seven times as long as others on their workers would seem to show an effect of 1.25.
	shrinkage = 0.05
	// normalRatio is the level in comparisons of the usual one up to which a run does not count as slowed.
	normalRatio = 1.2
	// harmfulLevel is the level of serving runs below which no neighbour needs to be kept away. It is that below which
	// the controller speeds fillers up again.
	harmfulLevel = 0.6
	// endHarmfulLevel is the same for a conflict in force. It is lower so that a conflict does not begin and end again and again.
	endHarmfulLevel = 0.5
	// minReferences is the number of episodes without the neighbour that it takes.
	minReferences = 2
)

// sample is an episode as the evaluation uses it.
type sample struct {
	*episode
	// value is the mean logarithm of the level. recency is the weight by age, quality that by the number and kind of the
	// observations, and weight is their product.
	value, recency, quality, weight float64
	// workerIndex and runIndex number the workers and the runs of the evaluation.
	workerIndex, runIndex int
	// deviation is value minus its reference.
	deviation float64
}

// evaluation determines the neighbours that slow down the serving or the other runs of one kind.
type evaluation struct {
	samples []sample
	// byValue is the indices of the samples in the order of their values.
	byValue       []int32
	workers, runs int
	// serving means that the runs have a target for their response times.
	serving bool
	// established is the set of neighbours that have been found. Episodes beside them show nothing of others.
	established uint64
	// references is the weight of the episodes that compare has found without the neighbour.
	references float64
	// besideWorkers is the number of workers on which collectComparisons has found the neighbour. The other fields are scratch space.
	besideWorkers     int
	perRun, perWorker []weightedSum
	comparisonOf      []int
	comparisons       []comparison
	values            []weighted
}

// weighted is a value with its weight, weightedSum the sum of several.
type (
	weighted    struct{ value, weight float64 }
	weightedSum struct{ sum, weight float64 }
)

func (s *weightedSum) add(value, weight float64) {
	s.sum += value * weight
	s.weight += weight
}

// comparison is what one worker, or one stretch of time on the only worker, shows of an effect.
type comparison struct {
	deviations []weighted
	// trust is how much the comparison counts, recency its weight by age.
	trust, recency float64
	// normal and raised are the weights of the samples of either kind.
	normal, raised float64
	// interrupted means that the last episode on the worker in the order of time was without the neighbour.
	interrupted bool
}

// evaluate updates the usual level of a kind and the conflicts in which it is the victim.
func (t *Table) evaluate(now boottime.Instant, slot int) {
	t.expire(now, slot)
	victim := &t.kinds[slot]
	before := make(map[string]bool)
	for p := range t.conflicts {
		if p.Victim == victim.name {
			before[p.Neighbour] = true
			delete(t.conflicts, p)
		}
	}
	for _, serving := range []bool{false, true} {
		t.evaluateRuns(now, victim, serving, before)
	}
}

// evaluateRuns updates the usual level of the serving or other runs of a kind, and adds the conflicts in which they are the victim. The
// levels of the two sorts cannot be compared. before has the neighbours with a conflict at the last evaluation.
func (t *Table) evaluateRuns(now boottime.Instant, victim *kind, serving bool, before map[string]bool) {
	ev := newEvaluation(now, victim.episodes, serving)
	var union uint64
	for i := range ev.samples {
		union |= ev.samples[i].neighbours
	}
	for {
		best, group := ev.mostCertain(union, func(n int) bool { return before[t.kinds[n].name] })
		if group == 0 {
			break
		}
		ev.established |= group
		for rest := group; rest != 0; rest &= rest - 1 {
			pair := Pair{victim.name, t.kinds[bits.TrailingZeros64(rest)].name}
			if other, found := t.conflicts[pair]; !found || other.Effect < best.Effect {
				t.conflicts[pair] = best
			}
		}
	}
	u := victim.usualOf(serving)
	u.level, u.known = ev.usual(0)
}

func newEvaluation(now boottime.Instant, episodes []*episode, serving bool) *evaluation {
	ev := &evaluation{samples: make([]sample, 0, len(episodes)), serving: serving}
	workers, runs := make(map[string]int), make(map[int64]int)
	for _, e := range episodes {
		if e.serving != serving {
			continue
		}
		w, known := workers[e.worker]
		if !known {
			w = len(workers)
			workers[e.worker] = w
		}
		r, known := runs[e.run]
		if !known {
			r = len(runs)
			runs[e.run] = r
		}
		recency := decay(now.Sub(e.lastAt), halfLife)
		quality := min(1, e.weight)
		if e.raised > e.normal {
			quality *= raisedTrust
		}
		ev.samples = append(ev.samples, sample{
			episode: e, value: e.sum / e.weight, recency: recency, quality: quality, weight: recency * quality, workerIndex: w, runIndex: r,
		})
	}
	ev.byValue = make([]int32, len(ev.samples))
	for i := range ev.byValue {
		ev.byValue[i] = int32(i)
	}
	slices.SortFunc(ev.byValue, func(a, b int32) int { return cmp.Compare(ev.samples[a].value, ev.samples[b].value) })
	ev.workers, ev.runs = len(workers), len(runs)
	ev.perRun, ev.perWorker = make([]weightedSum, ev.runs), make([]weightedSum, ev.workers)
	ev.comparisonOf = make([]int, ev.workers)
	return ev
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// usual returns the median logarithm of the level beside none of the neighbours that were found and none of the given set,
// and false if there are too few episodes.
func (ev *evaluation) usual(except uint64) (float64, bool) {
	except |= ev.established
	total, n := 0.0, 0
	for i := range ev.samples {
		if s := &ev.samples[i]; s.neighbours&except == 0 {
			total += s.weight
			n++
		}
	}
	below := 0.0
	for _, i := range ev.byValue {
		if s := &ev.samples[i]; s.neighbours&except == 0 {
			if below += s.weight; below >= total/2 {
				return s.value, n >= minReferences
			}
		}
	}
	return 0, false
}

// finding is a neighbour with an effect.
type finding struct {
	bit       uint64
	evidence  Evidence
	certainty float64
}

// mostCertain returns the neighbour of the given set whose effect is the most certain, and all those that were always
// there at the same times. The set is empty if no other effect is certain enough.
func (ev *evaluation) mostCertain(candidates uint64, inForce func(n int) bool) (Evidence, uint64) {
	var found []finding
	for rest := candidates &^ ev.established; rest != 0; rest &= rest - 1 {
		n := bits.TrailingZeros64(rest)
		if evidence, certainty := ev.measure(uint64(1)<<n, inForce(n)); certainty > 0 {
			found = append(found, finding{uint64(1) << n, evidence, certainty})
		}
	}
	if len(found) == 0 {
		return Evidence{}, 0
	}
	slices.SortStableFunc(found, func(a, b finding) int { return cmp.Compare(b.certainty, a.certainty) })
	best := &found[0]
	for i := range found {
		if !ev.explainedByOther(found[i].bit, found) {
			best = &found[i]
			break
		}
	}
	return best.evidence, ev.together(best.bit)
}

// explainedByOther reports whether a neighbour shows no effect where another one is absent that shows one without it. It may
// seem to have an effect, even on more workers than the other one has it, because it is often there at the same time.
func (ev *evaluation) explainedByOther(bit uint64, found []finding) bool {
	for i := range found {
		other := found[i].bit
		if other == bit {
			continue
		}
		if effect, known := ev.effectWithout(bit, other); !known || effect >= math.Log(endRatio) {
			continue
		}
		if effect, known := ev.effectWithout(other, bit); !known || effect >= math.Log(endRatio) {
			return true
		}
	}
	return false
}

// effectWithout returns the effect of a neighbour in the episodes in which another one was not there, and false if there
// are none.
func (ev *evaluation) effectWithout(bit, other uint64) (float64, bool) {
	established := ev.established
	defer func() { ev.established = established }()
	ev.established |= other
	if _, ok := ev.compare(bit); !ok {
		return 0, false
	}
	effect, _, _ := ev.effect(bit)
	return effect, true
}

// together returns the neighbours that were beside the victim in the same episodes as the given one.
func (ev *evaluation) together(bit uint64) uint64 {
	group := ^uint64(0)
	for i := range ev.samples {
		s := &ev.samples[i]
		switch {
		case s.neighbours&ev.established != 0:
		case s.neighbours&bit != 0:
			group &= s.neighbours
		default:
			group &^= s.neighbours
		}
	}
	return group &^ ev.established
}

// measure returns the effect of a neighbour, and how certain it is; 0 if there is no conflict. inForce means that there was
// one at the last evaluation.
func (ev *evaluation) measure(bit uint64, inForce bool) (Evidence, float64) {
	evidence, ok := ev.compare(bit)
	if !ok {
		return evidence, 0
	}
	effect, trust, total := ev.effect(bit)
	evidence.Effect, evidence.Workers = math.Exp(effect), ev.besideWorkers
	harmful := harmfulLevel
	if inForce {
		harmful = endHarmfulLevel
	}
	if evidence.Effect < endRatio || (ev.serving && evidence.Beside < harmful) {
		return evidence, 0
	}
	agreement := 0.0
	for i, v := range ev.values {
		if v.value >= effect/2 {
			agreement += v.weight
		}
		ev.values[i].value = math.Abs(v.value - effect)
	}
	if agreement < minAgreement*total {
		return evidence, 0
	}
	deviation := max(minDeviation, robustFactor*median(ev.values), ev.noise(bit))
	// The references have an error of their own, which all comparisons share.
	certainty := effect / deviation / math.Sqrt(1/total+1/ev.references)
	switch {
	case inForce && certainty >= endCertainty:
		return evidence, certainty
	case evidence.Effect >= beginRatio && certainty >= beginCertainty && trust >= minTrust &&
		evidence.ObservationsWithout >= minObservationsWithout && len(ev.comparisons) >= minComparisons(evidence.Workers):
		return evidence, certainty
	default:
		return evidence, 0
	}
}

// noise returns the standard deviation of the episodes without the neighbour from their references.
func (ev *evaluation) noise(bit uint64) float64 {
	ev.values = ev.values[:0]
	for i := range ev.samples {
		if s := &ev.samples[i]; s.neighbours&(ev.established|bit) == 0 {
			ev.values = append(ev.values, weighted{math.Abs(s.deviation), s.weight})
		}
	}
	return robustFactor * median(ev.values)
}

// effect collects the comparisons, and returns the median of what they show, the sum of the trust in them, and that of their weights.
// values has what each of them shows.
func (ev *evaluation) effect(bit uint64) (effect, trust, total float64) {
	ev.collectComparisons(bit)
	ev.values = ev.values[:0]
	for i := range ev.comparisons {
		u := &ev.comparisons[i]
		trust += u.trust
		total += u.trust * u.recency
		ev.values = append(ev.values, weighted{median(u.deviations), u.trust * u.recency})
	}
	return median(ev.values), trust, total
}

// minComparisons returns the number of comparisons that it takes for a conflict to begin.
func minComparisons(workers int) int {
	if workers == 1 {
		return minTimes
	}
	return minWorkers
}

// robustFactor is the standard deviation of a normal distribution divided by its median absolute deviation.
const robustFactor = 1.4826

// compare sets the deviation of each sample from its reference without the neighbour. The reference of an episode is the same
// run without the neighbour; without such episodes it is the same worker, and then all workers. So neither a long task nor
// a slow worker counts as an effect of the neighbour. It returns false if there is nothing to compare.
func (ev *evaluation) compare(bit uint64) (Evidence, bool) {
	clear(ev.perRun)
	clear(ev.perWorker)
	var beside, without weightedSum
	var evidence Evidence
	for i := range ev.samples {
		s := &ev.samples[i]
		switch {
		case s.neighbours&ev.established != 0:
		case s.neighbours&bit != 0:
			beside.add(s.value, s.weight)
			evidence.ObservationsBeside += s.observations
		default:
			without.add(s.value, s.weight)
			evidence.ObservationsWithout += s.observations
			// Age does not count here: old observations without the neighbour are better than those of other workers.
			ev.perRun[s.runIndex].add(s.value, s.quality)
			ev.perWorker[s.workerIndex].add(s.value, s.quality)
		}
	}
	base, known := ev.usual(bit)
	if beside.weight == 0 || !known {
		return evidence, false
	}
	ev.references = without.weight
	evidence.Beside, evidence.Without = math.Exp(beside.sum/beside.weight), math.Exp(without.sum/without.weight)
	for i := range ev.samples {
		s := &ev.samples[i]
		if s.neighbours&ev.established != 0 {
			continue
		}
		run, worker := ev.perRun[s.runIndex], ev.perWorker[s.workerIndex]
		if s.neighbours&bit == 0 {
			run.add(s.value, -s.quality)
			worker.add(s.value, -s.quality)
		}
		reference := (worker.sum + shrinkage*base) / (worker.weight + shrinkage)
		reference = (run.sum + shrinkage*reference) / (run.weight + shrinkage)
		s.deviation = s.value - reference
	}
	return evidence, true
}

// collectComparisons fills comparisons with one entry for each worker. If there is only one, it has an entry for each stretch of time that the
// victim was beside the neighbour, with time without it in between.
func (ev *evaluation) collectComparisons(bit uint64) {
	ev.comparisons = ev.comparisons[:0]
	clear(ev.comparisonOf)
	ev.besideWorkers = 0
	for i := range ev.samples {
		if s := &ev.samples[i]; s.neighbours&ev.established == 0 && s.neighbours&bit != 0 && ev.comparisonOf[s.workerIndex] == 0 {
			ev.besideWorkers++
			ev.comparisonOf[s.workerIndex] = ev.newComparison()
		}
	}
	for i := range ev.samples {
		s := &ev.samples[i]
		u := ev.comparisonOf[s.workerIndex]
		switch {
		case s.neighbours&ev.established != 0 || u == 0:
		case s.neighbours&bit == 0:
			ev.comparisons[u-1].interrupted = len(ev.comparisons[u-1].deviations) > 0
		default:
			if ev.besideWorkers == 1 && ev.comparisons[u-1].interrupted {
				u = ev.newComparison()
				ev.comparisonOf[s.workerIndex] = u
			}
			ev.comparisons[u-1].add(s, ev.perWorker[s.workerIndex].weight > 0)
		}
	}
}

// newComparison adds a comparison and returns its position from 1. It reuses the memory of earlier ones.
func (ev *evaluation) newComparison() int {
	n := len(ev.comparisons)
	if n < cap(ev.comparisons) {
		ev.comparisons = ev.comparisons[:n+1]
		ev.comparisons[n] = comparison{deviations: ev.comparisons[n].deviations[:0]}
	} else {
		ev.comparisons = append(ev.comparisons, comparison{})
	}
	return n + 1
}

// add adds a sample beside the neighbour. paired means that the victim was also seen on the worker without it.
func (u *comparison) add(s *sample, paired bool) {
	u.deviations = append(u.deviations, weighted{s.deviation, s.weight})
	u.recency = max(u.recency, s.recency)
	if s.raised > s.normal {
		u.raised += s.weight
	} else if s.normal > 0 {
		u.normal += s.weight
	}
	switch {
	case u.raised > u.normal:
		u.trust = raisedTrust
	case paired || u.normal > 0:
		u.trust = 1
	default:
		u.trust = unpairedTrust
	}
}

// median returns the weighted median, 0 of nothing. It changes the order of the values.
func median(values []weighted) float64 {
	slices.SortFunc(values, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	total := 0.0
	for _, v := range values {
		total += v.weight
	}
	below := 0.0
	for _, v := range values {
		below += v.weight
		if below >= total/2 {
			return v.value
		}
	}
	return 0
}
