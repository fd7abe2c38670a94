// Package interference learns which kinds of work slow each other down on one worker, from what the polls of workers show.
// It does no I/O and does not read the clock.
//
// The load that it answers: tasks share caches, memory bandwidth and leftover processor time of a worker, which no
// capacity figure shows. Which kinds of work disturb which others is unknown, differs by image and changes within seconds.
package interference

import (
	"maps"
	"math"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// maxAge is the age from which observations are dropped, halfLife that in which their weight halves.
	maxAge   = 2 * time.Minute
	halfLife = 30 * time.Second
	// episodeHalfLife is the time in which the weight of an observation halves compared with later ones of its episode, so that a
	// long episode does not hide a change of the interference.
	episodeHalfLife = 10 * time.Second
	// maxKinds limits the kinds that are told apart to the bits of a mask. Further kinds are ignored until one has not been
	// seen for maxAge.
	maxKinds = 64
	// maxEpisodes limits the episodes of each kind, and with maxKinds the table to a few megabytes.
	maxEpisodes = 256
	// kindQuota is the number of episodes beside each neighbour that are replaced only by newer ones beside the same neighbour, and
	// that of the episodes without neighbours.
	kindQuota = 24
	// episodeSpacing is the time between two episodes of a kind that add nothing but more of the same. Without it, the episodes
	// of a kind with hundreds of runs would all be of the last second.
	episodeSpacing = 50 * time.Millisecond
	// evaluationInterval is the time in which each kind is evaluated once, about that between two polls of a worker.
	evaluationInterval = time.Second
	// firstSample is the weight of the first observation of an episode. Its figure covers half a second, a part of which may
	// have been before the neighbours changed.
	firstSample = 0.5
	// minLevel and maxLevel bound levels, so that one absurd figure does not decide alone.
	minLevel, maxLevel = 0.01, 20
)

// Run is what one poll shows of a run that works on a worker.
type Run struct {
	// ID identifies the run among all runs of a leader. It is above 0.
	ID int64
	// Kind is the kind of work, usually an image. Nothing is learned of runs whose kind is empty.
	Kind string
	// Level is how much slower the run is than expected; 1 is as expected, 0 means that it is not known. For a serving
	// run it is the tail of its response times divided by their target, for any other run its duration divided by that of
	// the same step elsewhere, corrected by the speeds of the workers.
	Level float64
	// Serving means that the run has a target for its response times.
	Serving bool
}

// Pair is a kind of work that is slowed down, and the kind beside it that slows it down.
type Pair struct {
	Victim, Neighbour string
}

// Evidence is what a conflict rests on.
type Evidence struct {
	// Beside and Without are the mean levels of the victim beside the neighbour and without it. Runs and workers that are
	// slow by themselves are taken into account in Effect only.
	Beside, Without float64
	// Effect is by how many times the neighbour raises the level, on the median worker.
	Effect float64
	// ObservationsBeside and ObservationsWithout are the numbers of observations.
	ObservationsBeside, ObservationsWithout int
	// Workers is the number of workers with observations beside the neighbour.
	Workers int
}

// Table holds what is known of the influence of kinds of work on each other. Use NewTable to create it.
type Table struct {
	// slots has the index in kinds of each known kind.
	slots map[string]int
	kinds []kind
	// current has the episode that continues, by run.
	current map[int64]*episode
	// next is the kind that is evaluated next.
	next        int
	evaluatedAt boottime.Instant
	evaluated   bool
	conflicts   map[Pair]Evidence
}

// kind is a kind of work and what has been observed of its runs.
type kind struct {
	name   string
	seenAt boottime.Instant
	// episodes are in the order in which they began.
	episodes []*episode
	addedAt  boottime.Instant
	// beside is the number of episodes beside each kind.
	beside [maxKinds]int
	// alone is the number of episodes without neighbours.
	alone int
	// servingUsual and otherUsual are the usual levels of serving and of other runs.
	servingUsual, otherUsual usualLevel
}

// usualLevel is the logarithm of a usual level, if known.
type usualLevel struct {
	level float64
	known bool
}

func (k *kind) usualOf(serving bool) *usualLevel {
	if serving {
		return &k.servingUsual
	}
	return &k.otherUsual
}

// episode is a stretch of time in which a run works beside the same kinds. Observations of one episode are not
// independent of each other, so they count together.
type episode struct {
	worker  string
	run     int64
	kind    int
	serving bool
	// neighbours is the set of kinds of the other runs on the worker.
	neighbours uint64
	// sum is the sum of the logarithms of the levels, weighted as of lastAt.
	sum, weight     float64
	observations    int
	firstAt, lastAt boottime.Instant
	// normal and raised count the observations during which some run of another kind was not slower than usual, or all runs
	// of other kinds were: then the worker may be slow by itself.
	normal, raised int
}

// NewTable returns a table that knows nothing.
func NewTable() *Table {
	return &Table{slots: make(map[string]int), current: make(map[int64]*episode), conflicts: make(map[Pair]Evidence)}
}

// Observe records the runs that work on a worker at the given time.
func (t *Table) Observe(now boottime.Instant, worker string, runs []Run) {
	slots := make([]int, len(runs))
	var present, several uint64
	for i := range runs {
		slots[i] = t.slot(now, runs[i].Kind)
		if slots[i] >= 0 {
			bit := uint64(1) << slots[i]
			several |= present & bit
			present |= bit
		}
	}
	lowest := t.leastRaised(runs, slots)
	for i := range runs {
		if slots[i] < 0 || runs[i].Level <= 0 || math.IsNaN(runs[i].Level) {
			continue
		}
		bit := uint64(1) << slots[i]
		e := t.episode(now, worker, &runs[i], slots[i], present&^bit|several&bit)
		if e == nil {
			continue
		}
		weight := 1.0
		if e.observations == 0 {
			weight = firstSample
		}
		kept := decay(now.Sub(e.lastAt), episodeHalfLife)
		e.sum = e.sum*kept + weight*logLevel(runs[i].Level)
		e.weight = e.weight*kept + weight
		e.observations++
		e.lastAt = now
		switch raise, known := lowest.except(slots[i]); {
		case !known:
		case raise < math.Log(normalRatio):
			e.normal++
		default:
			e.raised++
		}
	}
}

func logLevel(level float64) float64 { return math.Log(min(maxLevel, max(minLevel, level))) }

// Forget drops what was observed on a worker: its next incarnation may run on another machine.
func (t *Table) Forget(worker string) {
	for k := range t.kinds {
		t.drop(k, func(e *episode) bool { return e.worker == worker })
	}
}

// Conflicts returns the pairs of kinds that are to be kept apart at the given time. Each call evaluates as many kinds as are
// due since the last one, so that frequent calls take a short time each.
func (t *Table) Conflicts(now boottime.Instant) map[Pair]bool {
	due := len(t.kinds)
	if elapsed := now.Sub(t.evaluatedAt); t.evaluated && due > 0 && elapsed < evaluationInterval {
		due = int(time.Duration(due) * elapsed / evaluationInterval)
		// The rest of the time counts for the next call.
		t.evaluatedAt = t.evaluatedAt.Add(time.Duration(due) * evaluationInterval / time.Duration(len(t.kinds)))
	} else if due > 0 {
		t.evaluated, t.evaluatedAt = true, now
	}
	for range due {
		t.next = (t.next + 1) % len(t.kinds)
		t.evaluate(now, t.next)
	}
	conflicts := make(map[Pair]bool, len(t.conflicts))
	for p := range t.conflicts {
		conflicts[p] = true
	}
	return conflicts
}

// Evidence returns what a conflict rests on that the last call of Conflicts returned, and false for other pairs.
func (t *Table) Evidence(p Pair) (Evidence, bool) {
	e, ok := t.conflicts[p]
	return e, ok
}

// slot returns the index of a kind, or -1 if there are too many kinds.
func (t *Table) slot(now boottime.Instant, name string) int {
	if name == "" {
		return -1
	}
	if k, known := t.slots[name]; known {
		t.kinds[k].seenAt = now
		return k
	}
	if len(t.kinds) < maxKinds {
		t.kinds = append(t.kinds, kind{name: name, seenAt: now})
		t.slots[name] = len(t.kinds) - 1
		return len(t.kinds) - 1
	}
	for k := range t.kinds {
		// All episodes of the kind, and beside it, are older than maxAge as well.
		if now.Sub(t.kinds[k].seenAt) > maxAge {
			for i := range t.kinds {
				t.expire(now, i)
			}
			old := t.kinds[k].name
			maps.DeleteFunc(t.conflicts, func(p Pair, _ Evidence) bool { return p.Victim == old || p.Neighbour == old })
			delete(t.slots, old)
			t.kinds[k] = kind{name: name, seenAt: now}
			t.slots[name] = k
			return k
		}
	}
	return -1
}

// episode returns the episode of a run that works beside the given kinds, or nil if the table has no room for another.
func (t *Table) episode(now boottime.Instant, worker string, run *Run, slot int, neighbours uint64) *episode {
	e := t.current[run.ID]
	if e != nil && e.worker == worker && e.kind == slot && e.neighbours == neighbours && now.Sub(e.firstAt) <= maxAge {
		return e
	}
	k := &t.kinds[slot]
	if len(k.episodes) >= maxEpisodes && !t.makeRoom(now, slot, neighbours) {
		delete(t.current, run.ID)
		return nil
	}
	e = &episode{worker: worker, run: run.ID, kind: slot, serving: run.Serving, neighbours: neighbours, firstAt: now, lastAt: now}
	t.current[run.ID] = e
	k.episodes = append(k.episodes, e)
	k.addedAt = now
	k.count(neighbours, 1)
	return e
}

func (k *kind) count(neighbours uint64, n int) {
	if neighbours == 0 {
		k.alone += n
	}
	for i := range k.beside {
		if neighbours&(1<<i) != 0 {
			k.beside[i] += n
		}
	}
}

// common reports whether there are more than kindQuota episodes beside each of the neighbours, or without any if there are none.
func (k *kind) common(neighbours uint64) bool {
	if neighbours == 0 {
		return k.alone > kindQuota
	}
	for i := range k.beside {
		if neighbours&(1<<i) != 0 && k.beside[i] <= kindQuota {
			return false
		}
	}
	return true
}

// makeRoom drops an episode of a kind so that one beside the given neighbours can be added: the oldest one beside
// neighbours that many others are beside too.
func (t *Table) makeRoom(now boottime.Instant, slot int, neighbours uint64) bool {
	k := &t.kinds[slot]
	if k.common(neighbours) && now.Sub(k.addedAt) < episodeSpacing {
		return false
	}
	oldest := k.episodes[0]
	for _, e := range k.episodes {
		if k.common(e.neighbours) {
			oldest = e
			break
		}
	}
	t.drop(slot, func(e *episode) bool { return e == oldest })
	return true
}

// drop removes the episodes of a kind that match.
func (t *Table) drop(slot int, match func(e *episode) bool) {
	k := &t.kinds[slot]
	kept := k.episodes[:0]
	for _, e := range k.episodes {
		if !match(e) {
			kept = append(kept, e)
			continue
		}
		k.count(e.neighbours, -1)
		if t.current[e.run] == e {
			delete(t.current, e.run)
		}
	}
	clear(k.episodes[len(kept):])
	k.episodes = kept
}

// expire drops the episodes of a kind that are older than maxAge.
func (t *Table) expire(now boottime.Instant, slot int) {
	t.drop(slot, func(e *episode) bool { return now.Sub(e.lastAt) > maxAge })
}

// raise is by how much the least slowed run of a kind is slower than usual, as a logarithm.
type raise struct {
	slot  int
	value float64
}

// leastRaises has the two kinds on a worker whose runs are the least slowed.
type leastRaises [2]raise

func (t *Table) leastRaised(runs []Run, slots []int) leastRaises {
	least := leastRaises{{-1, math.Inf(1)}, {-1, math.Inf(1)}}
	for i := range runs {
		if slots[i] < 0 || runs[i].Level <= 0 {
			continue
		}
		usual := t.kinds[slots[i]].usualOf(runs[i].Serving)
		if !usual.known {
			continue
		}
		r := raise{slots[i], logLevel(runs[i].Level) - usual.level}
		switch {
		case r.value < least[0].value && r.slot == least[0].slot:
			least[0] = r
		case r.value < least[0].value:
			least[0], least[1] = r, least[0]
		case r.slot != least[0].slot && r.value < least[1].value:
			least[1] = r
		}
	}
	return least
}

// except returns the raise of the least slowed run of another kind, and false if there is none.
func (l *leastRaises) except(slot int) (float64, bool) {
	for _, r := range l {
		if r.slot >= 0 && r.slot != slot {
			return r.value, true
		}
	}
	return 0, false
}
