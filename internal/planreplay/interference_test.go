package planreplay

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// Guards against batch work beside a kind that slows it down although other workers have room, and against pairs that are
// wrongly taken for interfering.
func TestInterferenceIsLearnedAndAvoided(t *testing.T) {
	var with, without InterferenceResult
	// A tenth less load than in the example leaves more room to keep kinds apart. The interference does not change: a conflict
	// that has ended is known until the kinds are seen side by side again.
	p := readPattern(t, "interference.toml", 2)
	p.Interference = slices.Delete(p.Interference, 1, 2)
	p.Interference[0].Length = 0
	for i := range p.Classes {
		p.Classes[i].PerSecond *= 0.9
	}
	with.add(Run(p).Interference)
	p.LearnInterference = false
	without.add(Run(p).Interference)
	t.Logf("with %+v, without %+v", with, without)
	require.Less(t, with.LostTime(), 0.6*without.LostTime())
	require.Greater(t, float64(with.right), 0.4*float64(with.pairs))
	require.Less(t, float64(with.spurious), 0.05*float64(with.rounds))
}

// Guards against fillers that go on disturbing serving tasks of one image although there is room beside those of another image, which
// they do not disturb: nearly every worker runs one serving task, for the whole replay.
func TestDisturbingFillersMoveToOtherServingTasks(t *testing.T) {
	var with, without InterferenceResult
	for seed := range uint64(3) {
		p := readPattern(t, "interference.toml", 1)
		p.Seed, p.Workers.Count = seed+1, 40
		p.Interference = p.Interference[:1]
		p.Interference[0].Length = 0
		// Serving tasks arrive in the first 2 s only.
		p.Bursts = []Burst{
			{Class: "chat", Length: settings.Duration(2 * time.Second), Factor: 80000},
			{Class: "rank", Length: settings.Duration(2 * time.Second), Factor: 80000},
		}
		for i := range p.Classes {
			c := &p.Classes[i]
			switch {
			case c.ServingLevel > 0:
				c.PerSecond, c.Tasks, c.TasksSpread, c.GPUs = 0.0001, 1, 0, []int64{8}
				c.Work, c.WorkSpread, c.MaxWork = settings.Duration(time.Minute), 0, settings.Duration(time.Minute)
			case c.Filler:
				c.PerSecond, c.Tasks, c.TasksSpread = 0.9, 5, 0
			default:
				c.PerSecond = 0
			}
		}
		with.add(Run(p).Interference)
		p.LearnInterference = false
		without.add(Run(p).Interference)
	}
	t.Logf("above target: with %.3f, without %.3f; harmed: %d and %d of %d; %d other pairs in %d rounds",
		with.AboveTarget(), without.AboveTarget(), with.Harmed, without.Harmed, with.Serving, with.spurious, with.rounds)
	require.Less(t, with.AboveTarget(), 0.5*without.AboveTarget())
	require.Less(t, float64(with.spurious), 0.05*float64(with.rounds))
}

func (res *InterferenceResult) add(o *InterferenceResult) {
	res.Serving += o.Serving
	res.Harmed += o.Harmed
	res.servingTime += o.servingTime
	res.aboveTarget += o.aboveTarget
	res.worked += o.worked
	res.lost += o.lost
	res.rounds += o.rounds
	res.right += o.right
	res.spurious += o.spurious
	res.pairs += o.pairs
}

// Guards against conflicts on a fleet without interference, whose workers differ in speed and of which a sixth is slow by itself for
// some seconds.
func TestNoInterferenceNoConflicts(t *testing.T) {
	rounds, spurious := 0, 0
	for seed := range uint64(2) {
		p := readPattern(t, "interference.toml", 4)
		p.Seed, p.Interference = seed+1, nil
		p.Workers.Speeds = []float64{0.8, 1, 1.2}
		p.Slowdowns = []Slowdown{{At: settings.Duration(20 * time.Second), Length: settings.Duration(6 * time.Second), Share: 0.16, Factor: 7}}
		res := Run(p).Interference
		rounds += res.rounds
		spurious += res.spurious
	}
	t.Logf("%d conflicts in %d rounds", spurious, rounds)
	require.LessOrEqual(t, float64(spurious), 0.05*float64(rounds))
}
