package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

// world feeds a table with the polls of workers.
type world struct {
	table  *Table
	now    boottime.Instant
	random *rand.Rand
	// factors has by how many times a neighbour raises the level of a victim.
	factors map[Pair]float64
	// noise is the standard deviation of the logarithm of single figures.
	noise float64
}

func newWorld(factors map[Pair]float64) *world {
	return &world{table: NewTable(), now: boottime.Instant(time.Hour), random: rand.New(rand.NewPCG(5, 1)), factors: factors, noise: 0.1}
}

// poll observes runs with the given levels of their own on a worker whose work takes slowdown times as long.
func (w *world) poll(worker string, slowdown float64, runs ...Run) {
	shown := make([]Run, len(runs))
	for i, r := range runs {
		shown[i] = r
		shown[i].Level *= slowdown * math.Exp(w.noise*w.random.NormFloat64())
		seen := map[string]bool{}
		for k, other := range runs {
			if f := w.factors[Pair{r.Kind, other.Kind}]; k != i && f > 0 && !seen[other.Kind] {
				shown[i].Level *= f
				seen[other.Kind] = true
			}
		}
	}
	w.table.Observe(w.now, worker, shown)
}

func (w *world) advance() { w.now = w.now.Add(900 * time.Millisecond) }

// repeat calls poll n times, 900 ms apart.
func (w *world) repeat(n int, poll func()) {
	for range n {
		poll()
		w.advance()
	}
}

func (w *world) conflicts() map[Pair]bool { return w.table.Conflicts(w.now) }

func serving(id int64, level float64) Run {
	return Run{ID: id, Kind: "serve", Level: level, Serving: true}
}

// filler is a run without a level.
func filler(id int64, kind string) Run { return Run{ID: id, Kind: kind} }

func task(id int64, kind string) Run { return Run{ID: id, Kind: kind, Level: 1} }

var decodeSlowsServe = map[Pair]float64{{"serve", "decode"}: 2}

// Guards against a disturbing filler that is not recognized, against blaming one that was always without effect, and against
// blaming one that was seen beside the victim without effect, because it is mostly there together with the disturbing one and
// on more workers.
func TestOnlyTheDisturbingNeighbourIsBlamed(t *testing.T) {
	w := newWorld(decodeSlowsServe)
	w.noise = 0.02
	require.Empty(t, w.conflicts())
	w.repeat(6, func() {
		for i := range int64(4) {
			w.poll(fmt.Sprint("both", i), 1, serving(10+i, 0.5), filler(20+i, "decode"), filler(30+i, "index"))
		}
		w.poll("index only", 1, serving(15, 0.5), filler(35, "index"))
		w.poll("alone 1", 1, serving(16, 0.5))
		w.poll("alone 2", 1, serving(17, 0.5), filler(37, "sort"))
	})
	require.Equal(t, map[Pair]bool{{"serve", "decode"}: true}, w.conflicts())
	evidence, known := w.table.Evidence(Pair{"serve", "decode"})
	require.True(t, known)
	require.InDelta(t, 1, evidence.Beside, 0.2)
	require.InDelta(t, 0.5, evidence.Without, 0.1)
	require.InDelta(t, 2, evidence.Effect, 0.4)
	require.Equal(t, []int{4, 24, 18}, []int{evidence.Workers, evidence.ObservationsBeside, evidence.ObservationsWithout})
	_, known = w.table.Evidence(Pair{"serve", "index"})
	require.False(t, known)
}

// Guards against a conflict that rests on one or two chance episodes without the neighbour: on a day with overload, a
// queue seemed to slow itself down, as hardly any of its runs was alone.
func TestFewReferencesAreNotEnough(t *testing.T) {
	for _, alone := range []float64{0.76, 0.5} {
		w := newWorld(nil)
		w.repeat(4, func() {
			for i := range int64(30) {
				w.poll(fmt.Sprint("shared", i), 1, task(10+i, "queue"), task(100+i, "queue"))
			}
		})
		w.poll("alone 1", alone, task(5, "queue"))
		w.poll("alone 2", alone, task(6, "queue"))
		require.Empty(t, w.conflicts(), alone)
	}
}

// Guards against missing the second of two neighbours that disturb, one of which is never seen without a harmless one that is
// everywhere.
func TestSeveralNeighboursAreBlamed(t *testing.T) {
	w := newWorld(map[Pair]float64{{"serve", "decode"}: 2, {"serve", "sort"}: 1.7})
	w.repeat(6, func() {
		for i := range int64(4) {
			w.poll(fmt.Sprint("decode", i), 1, serving(10+i, 0.5), filler(20+i, "decode"), filler(30+i, "index"))
			w.poll(fmt.Sprint("sort", i), 1, serving(40+i, 0.5), filler(50+i, "sort"), filler(60+i, "index"))
			w.poll(fmt.Sprint("index", i), 1, serving(70+i, 0.5), filler(80+i, "index"))
		}
	})
	require.Equal(t, map[Pair]bool{{"serve", "decode"}: true, {"serve", "sort"}: true}, w.conflicts())
}

// Guards against blaming neighbours on workers that are slow by themselves: all the time, and also for the seconds of a fault.
func TestSlowWorkersAreNoConflict(t *testing.T) {
	w := newWorld(nil)
	id := int64(0)
	for round := range 12 {
		var polls []func()
		for i := range int64(8) {
			slowdown := []float64{2.2, 2.2, 1, 1, 1, 1, 1, 1}[i]
			if (i == 2 || i == 3) && round >= 4 && round < 8 {
				slowdown = 7
			}
			// On the slow workers train is mostly beside shuffle, elsewhere it never is.
			beside := "parse"
			if i < 4 && round%4 != 0 {
				beside = "shuffle"
			}
			id += 3
			runs := []Run{task(id, "train"), task(id+1, beside), task(id+2, "render")}
			polls = append(polls, func() { w.poll(fmt.Sprint("w", i), slowdown, runs...) })
		}
		w.repeat(3, func() {
			for _, poll := range polls {
				poll()
			}
		})
		require.Empty(t, w.conflicts(), "round %d", round)
	}
}

// Guards against blaming a neighbour for workers that are slow by themselves where little is known of them: it has no effect
// on more than a third of the workers; all runs were slower, on few workers; the victim is as slow there without it.
func TestSlowWorkersWithFewRuns(t *testing.T) {
	for name, poll := range map[string]func(w *world, i int64, round int){
		"no effect elsewhere": func(w *world, i int64, _ int) {
			slowdown := []float64{2, 2, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1}[i]
			runs := []Run{task(10+i, "train"), filler(30+i, "decode")}
			w.poll(fmt.Sprint("w", i), slowdown, runs[:2-i/9]...)
		},
		"all runs at fault": func(w *world, i int64, _ int) {
			slowdown := []float64{7, 7, 7, 1, 1, 1, 1, 1, 1, 1, 1, 1}[i]
			runs := []Run{task(10+i, "train"), task(30+i, "render"), filler(50+i, "decode")}
			w.poll(fmt.Sprint("w", i), slowdown, runs[:3-min(1, i/3)]...)
		},
		"all runs at fault for a time": func(w *world, i int64, round int) {
			slowdown := 1.0
			if i < 6 && round >= 3 {
				slowdown = 7
			}
			id := 100*i + 10*int64(round)
			runs := []Run{task(id+1, "train"), task(id+2, "render"), filler(id+3, "decode")}
			if i >= 6 || round == 0 {
				runs = runs[:2]
			}
			w.poll(fmt.Sprint("w", i), slowdown, runs...)
		},
		"as slow without": func(w *world, i int64, round int) {
			slowdown := []float64{2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}[i]
			id := 100*i + 10*int64(round)
			runs := []Run{task(id+1, "train"), filler(id+2, "decode")}
			if i >= 2 || round%2 == 0 {
				runs = runs[:1]
			}
			w.poll(fmt.Sprint("w", i), slowdown, runs...)
		},
		"long tasks": func(w *world, i int64, round int) {
			runs := []Run{{ID: 100*i + 1, Kind: "train", Level: 7}, filler(100*i+3, "decode")}
			switch {
			case i >= 2:
				runs = []Run{task(100*i+1, "train")}
			case round < 3:
				runs = []Run{runs[0], task(100*i+4, "train"), task(100*i+5, "train"), task(100*i+6, "train")}
			}
			w.poll(fmt.Sprint("w", i), 1, runs...)
		},
	} {
		w := newWorld(nil)
		for round := range 6 {
			w.repeat(2, func() {
				for i := range int64(12) {
					poll(w, i, round)
				}
			})
			require.Empty(t, w.conflicts(), "%s, round %d", name, round)
		}
	}
}

// Guards against conflicts by chance between few tasks that differ much.
func TestChanceIsNoConflict(t *testing.T) {
	found := 0
	for seed := range uint64(100) {
		w := newWorld(nil)
		w.noise, w.random = 0.5, rand.New(rand.NewPCG(seed, 3))
		for id := range int64(60) {
			runs := []Run{task(2*id+1, "train"), filler(2*id+2, "decode")}
			if id%12 >= 4 {
				runs = runs[:1]
			}
			w.poll(fmt.Sprint("w", id%12), 1, runs...)
			w.now = w.now.Add(100 * time.Millisecond)
		}
		found += len(w.conflicts())
	}
	require.LessOrEqual(t, found, 2)
}

// Guards against a conflict that rests on a single worker at one time, or on a single task that takes seven times as long as the
// others of its step; and against one on a single worker that is not seen although it comes and goes with the neighbour.
func TestOneWorkerOrTaskIsNotEnough(t *testing.T) {
	w := newWorld(decodeSlowsServe)
	alone := func() {
		for i := range int64(4) {
			w.poll(fmt.Sprint("w", i), 1, serving(10+i, 0.5))
		}
	}
	w.repeat(20, func() {
		alone()
		w.poll("single", 1, serving(20, 0.5), filler(30, "decode"))
	})
	require.Empty(t, w.conflicts(), "one worker, one time")
	for times := 2; times <= 3; times++ {
		w.repeat(4, func() { w.poll("single", 1, serving(20, 0.5)) })
		w.repeat(4, func() { w.poll("single", 1, serving(20, 0.5), filler(31, "decode")) })
		require.Equal(t, times >= 3, len(w.conflicts()) > 0, "%d times", times)
	}

	w = newWorld(nil)
	long := Run{ID: 1, Kind: "train", Level: 7}
	w.repeat(20, func() {
		w.poll("w0", 1, long, filler(2, "decode"))
		w.poll("w1", 1, task(3, "train"), filler(4, "decode"))
		for i := range int64(6) {
			w.poll(fmt.Sprint("alone", i), 1, task(10+i, "train"))
		}
		require.Empty(t, w.conflicts())
	})
}

// Guards against conflicts of serving tasks that are far below their target: keeping them apart would only cost packing.
func TestHarmlessEffectOnServing(t *testing.T) {
	w := newWorld(decodeSlowsServe)
	w.repeat(6, func() {
		for i := range int64(4) {
			w.poll(fmt.Sprint("b", i), 1, serving(10+i, 0.1), filler(20+i, "decode"))
			w.poll(fmt.Sprint("a", i), 1, serving(30+i, 0.1))
		}
	})
	require.Empty(t, w.conflicts())
}

// Guards against conflicts that stay in force after the interference has ended, or after nothing was observed for two minutes, and
// against ones that end while nothing contradicts them for some seconds because the kinds are kept apart.
func TestConflictsEnd(t *testing.T) {
	workers := int64(4)
	observe := func(w *world) {
		for i := range workers {
			w.poll(fmt.Sprint("b", i), 1, serving(100+i, 0.7), filler(200+i, "decode"))
			w.poll(fmt.Sprint("a", i), 1, serving(300+i, 0.7))
		}
	}
	w := newWorld(decodeSlowsServe)
	w.repeat(6, func() { observe(w) })
	require.NotEmpty(t, w.conflicts())
	w.now = w.now.Add(15 * time.Second)
	require.NotEmpty(t, w.conflicts(), "kept apart")
	w.now = w.now.Add(2 * time.Minute)
	require.Empty(t, w.conflicts(), "aged")
	require.Empty(t, w.table.current)

	for _, factor := range []float64{1.4, 2} {
		w = newWorld(map[Pair]float64{{"serve", "decode"}: factor})
		w.noise = 0.02
		w.repeat(6, func() { observe(w) })
		require.NotEmpty(t, w.conflicts())
		w.now = w.now.Add(110 * time.Second)
		require.Equal(t, factor == 2, len(w.conflicts()) > 0, "the weaker conflict ends earlier")
	}

	workers = 30
	w = newWorld(decodeSlowsServe)
	w.noise = 0.02
	w.repeat(6, func() { observe(w) })
	require.NotEmpty(t, w.conflicts())
	w.factors = map[Pair]float64{{"serve", "decode"}: 1.06}
	w.repeat(130, func() { observe(w) })
	require.Empty(t, w.conflicts(), "interference has ended")

	workers = 4
	w = newWorld(decodeSlowsServe)
	w.repeat(6, func() { observe(w) })
	for i := range 4 {
		w.table.Forget(fmt.Sprint("b", i))
	}
	w.advance()
	require.Empty(t, w.conflicts(), "workers are gone")
}

// Guards against observations that outweigh newer ones of the same episode: interference that begins, or ends, after runs have been side by
// side for a minute would be learned, or forgotten, only half a minute later.
func TestInterferenceChangesWithinEpisodes(t *testing.T) {
	w := newWorld(nil)
	w.noise = 0.02
	pollsUntil := func(inForce bool) int {
		for n := range 200 {
			for i := range int64(4) {
				w.poll(fmt.Sprint("b", i), 1, serving(100+i, 0.7), filler(200+i, "decode"))
				w.poll(fmt.Sprint("a", i), 1, serving(300+i, 0.7))
			}
			w.advance()
			if len(w.conflicts()) > 0 == inForce {
				return n + 1
			}
		}
		return 200
	}
	for range 67 {
		require.Equal(t, 1, pollsUntil(false))
	}
	w.factors = decodeSlowsServe
	begins := pollsUntil(true)
	for range 67 {
		require.Equal(t, 1, pollsUntil(true))
	}
	w.factors = nil
	ends := pollsUntil(false)
	t.Logf("polls until the conflict begins %d, ends %d", begins, ends)
	require.LessOrEqual(t, begins, 10)
	require.LessOrEqual(t, ends, 25)
}

// Guards against kinds that are evaluated less often than once a second because calls come between two due evaluations.
func TestEachKindIsEvaluatedOnceASecond(t *testing.T) {
	w := newWorld(nil)
	for k := range int64(7) {
		w.poll("w", 1, task(k+1, fmt.Sprint("k", k)))
	}
	w.conflicts()
	evaluated, next := 0, w.table.next
	for range 100 {
		w.now = w.now.Add(100 * time.Millisecond)
		w.conflicts()
		evaluated += (w.table.next - next + 7) % 7
		next = w.table.next
	}
	require.InDelta(t, 70, evaluated, 1)
}

// Guards against a conflict that begins and ends at each evaluation because its victim is near the level from which it is harmful.
func TestConflictNearHarmfulLevelStays(t *testing.T) {
	w := newWorld(decodeSlowsServe)
	w.noise = 0
	observe := func(level float64) {
		w.repeat(30, func() {
			for i := range int64(4) {
				w.poll(fmt.Sprint("b", i), 1, serving(100+i, level), filler(200+i, "decode"))
				w.poll(fmt.Sprint("a", i), 1, serving(300+i, level))
			}
		})
	}
	observe(0.29)
	require.Empty(t, w.conflicts())
	observe(0.32)
	require.NotEmpty(t, w.conflicts())
	observe(0.28)
	require.NotEmpty(t, w.conflicts(), "below the level at which a conflict begins")
	observe(0.2)
	observe(0.2)
	require.Empty(t, w.conflicts(), "harmless")
}

// Guards against levels of serving and of other runs of one kind that are compared with each other: the former are relative to a target,
// the latter to the same step elsewhere.
func TestServingAndOtherRunsOfOneKind(t *testing.T) {
	w := newWorld(nil)
	w.noise = 0.02
	w.repeat(6, func() {
		for i := range int64(4) {
			w.poll(fmt.Sprint("b", i), 1, task(100+i, "serve"), filler(200+i, "decode"))
			w.poll(fmt.Sprint("a", i), 1, serving(300+i, 0.4))
		}
	})
	require.Empty(t, w.conflicts())

	w = newWorld(decodeSlowsServe)
	w.repeat(6, func() {
		for i := range int64(4) {
			w.poll(fmt.Sprint("b", i), 1, serving(100+i, 0.5), filler(200+i, "decode"))
			w.poll(fmt.Sprint("a", i), 1, serving(300+i, 0.5))
			w.poll(fmt.Sprint("c", i), 1, task(400+i, "serve"))
		}
	})
	require.Equal(t, map[Pair]bool{{"serve", "decode"}: true}, w.conflicts())
}

// Guards against a table that grows with the number of runs, workers or kinds, against a rare neighbour whose observations are
// replaced by those of frequent ones, and against new kinds that are ignored for good when many have been seen before.
func TestTableIsBounded(t *testing.T) {
	w := newWorld(decodeSlowsServe)
	id, round := int64(0), 0
	w.repeat(30, func() {
		round++
		for i := range 300 {
			id += 2
			neighbour := filler(id+1, "index")
			if i < 4 && round < 6 {
				neighbour = filler(id+1, "decode")
			} else if i%2 == 0 {
				neighbour = filler(id+1, fmt.Sprint("image", id))
			}
			w.poll(fmt.Sprint("w", i), 1, serving(id, 0.5), neighbour)
		}
	})
	require.Len(t, w.table.kinds, maxKinds)
	for k := range w.table.kinds {
		require.LessOrEqual(t, len(w.table.kinds[k].episodes), maxEpisodes)
	}
	require.LessOrEqual(t, len(w.table.current), maxEpisodes)
	serve, index := &w.table.kinds[w.table.slots["serve"]], uint64(1)<<w.table.slots["index"]
	require.True(t, slices.ContainsFunc(serve.episodes, func(e *episode) bool {
		return e.neighbours == index && w.now.Sub(e.firstAt) > 10*time.Second
	}), "only the last round")
	for range 300 {
		id += 2
		w.now = w.now.Add(60 * time.Millisecond)
		w.poll("w", 1, serving(id, 0.5), filler(id+1, "index"))
	}
	require.Equal(t, map[Pair]bool{{"serve", "decode"}: true}, w.conflicts())
	w.now = w.now.Add(maxAge + time.Second)
	w.poll("w", 1, task(id+10, "new"))
	require.Contains(t, w.table.slots, "new")
	require.Len(t, w.table.slots, maxKinds)
}

// Guards against episodes without neighbours, the best references, that are all replaced by those beside frequent neighbours.
func TestEpisodesWithoutNeighboursAreKept(t *testing.T) {
	w := newWorld(nil)
	id := int64(0)
	for range 20 {
		id++
		w.poll(fmt.Sprint("alone", id), 1, serving(id, 0.5))
		w.now = w.now.Add(60 * time.Millisecond)
	}
	for range 2 * maxEpisodes {
		id += 2
		w.poll("shared", 1, serving(id, 0.5), filler(id+1, "index"))
		w.now = w.now.Add(60 * time.Millisecond)
	}
	alone := 0
	for _, e := range w.table.kinds[w.table.slots["serve"]].episodes {
		if e.neighbours == 0 {
			alone++
		}
	}
	require.Equal(t, 20, alone)
}

// fleet is workers with four tasks each of eight kinds that come and go.
type fleet struct {
	*world
	tasks  [60][4]fleetTask
	lastID int64
}

type fleetTask struct {
	run  Run
	left int
}

// round polls all workers once. They differ in speed, and a sixth of them is at fault if faulty is set.
func (f *fleet) round(faulty bool) {
	for i := range f.tasks {
		var runs []Run
		for k := range f.tasks[i] {
			s := &f.tasks[i][k]
			if s.left--; s.left < 0 {
				f.lastID++
				level := math.Exp(0.3 * f.random.NormFloat64())
				if f.random.IntN(33) == 0 {
					level *= 7
				}
				*s = fleetTask{Run{ID: f.lastID, Kind: fmt.Sprint("k", f.random.IntN(8)), Level: level}, 2 + f.random.IntN(8)}
			}
			runs = append(runs, s.run)
		}
		slowdown := 0.8 + 0.4*float64(i)/float64(len(f.tasks))
		if faulty && i%6 == 0 {
			slowdown *= 7
		}
		f.poll(fmt.Sprint("w", i), slowdown, runs...)
	}
	f.advance()
}

// Guards against conflicts that are not there, or are missed, on a fleet as in service: tasks of eight images that come and go,
// tasks that take seven times as long, workers that differ in speed, faults, and two pairs that interfere.
func TestFleet(t *testing.T) {
	truth := map[Pair]float64{{"k0", "k1"}: 1.8, {"k2", "k3"}: 2, {"k3", "k2"}: 2}
	spurious, missed, evaluations := 0, 0, 0
	for seed := range uint64(4) {
		f := &fleet{world: newWorld(truth)}
		f.random = rand.New(rand.NewPCG(seed, 2))
		for round := range 60 {
			f.round(round >= 20 && round < 28)
			conflicts := f.conflicts()
			if round < 15 {
				continue
			}
			evaluations++
			right := 0
			for p := range conflicts {
				if truth[p] > 0 {
					right++
				}
			}
			spurious += len(conflicts) - right
			missed += len(truth) - right
		}
	}
	t.Logf("%d spurious and %d of %d missed conflicts in %d evaluations", spurious, missed, evaluations*len(truth), evaluations)
	require.LessOrEqual(t, float64(spurious), 0.1*float64(evaluations))
	require.LessOrEqual(t, float64(missed), 0.1*float64(evaluations*len(truth)))
}

func BenchmarkEvaluate(b *testing.B) {
	w := newWorld(decodeSlowsServe)
	id := int64(0)
	for range 40 {
		for i := range 1100 {
			var runs []Run
			for range 8 {
				id++
				runs = append(runs, Run{ID: id, Kind: fmt.Sprint("k", w.random.IntN(20)), Level: math.Exp(0.3 * w.random.NormFloat64())})
			}
			w.table.Observe(w.now, fmt.Sprint("w", i), runs)
		}
		w.advance()
	}
	for b.Loop() {
		w.now = w.now.Add(50 * time.Millisecond)
		w.table.Conflicts(w.now)
	}
}

func BenchmarkObserve(b *testing.B) {
	w := newWorld(nil)
	var runs []Run
	for i := range int64(8) {
		runs = append(runs, task(i+1, fmt.Sprint("k", i)))
	}
	for b.Loop() {
		w.table.Observe(w.now, "w", runs)
	}
}
