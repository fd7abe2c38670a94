package forecast

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

const start = boottime.Instant(time.Hour)

// trueSpeed returns the speed of the worker with a number: a third of the workers each is slow, usual and fast.
func trueSpeed(n int) float64 { return []float64{0.6, 1.0, 1.6}[n%3] }

// step returns the paces of the tasks of one step on some of the workers. Tasks of a step differ a little, and a few
// take seven times as long.
func step(random *rand.Rand, number, workers, tasks int) []Pace {
	work := 6 * math.Exp(random.NormFloat64())
	paces := make([]Pace, tasks)
	for i := range paces {
		n := random.IntN(workers)
		seconds := work * math.Exp(0.15*random.NormFloat64()) / trueSpeed(n)
		if random.Float64() < 0.03 {
			seconds *= 7
		}
		paces[i] = Pace{fmt.Sprint("w", n), int64(1000*number + i + 1), time.Duration(seconds * float64(time.Second))}
	}
	slices.SortFunc(paces, func(a, b Pace) int { return cmp.Compare(a.Worker, b.Worker) })
	return paces
}

// Guards against speeds that follow from wrong estimates, from the few tasks that take much longer than their step, or from
// the order in which steps are compared: after a minute of the usual load the slow workers are known.
func TestSlowWorkersAreKnownAfterAFewSteps(t *testing.T) {
	const workers = 60
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 1))
		s := NewSpeeds()
		for n := range 25 {
			s.Compare(start.Add(time.Duration(n)*time.Second), step(random, n, workers, 10))
			s.Summarize(0.7)
		}
		wrong, known := 0, 0
		for n := range workers {
			speed, ok := s.Speed(fmt.Sprint("w", n))
			if !ok {
				continue
			}
			known++
			if (speed < 0.8) != (trueSpeed(n) < 0.8) {
				wrong++
			}
		}
		require.Greater(t, known, workers*4/5)
		require.LessOrEqual(t, wrong, workers/10, "seed %d", seed)
		summary := s.Summarize(0.7)
		require.Equal(t, known, summary.Known)
		require.InDelta(t, workers/3, summary.Slower, workers/8)
		require.Less(t, summary.Slowest, 0.7)
		require.Greater(t, summary.Fastest, 1.3)
	}
}

// Guards against speeds from too few workers, from one run that counts several times, and from an earlier incarnation.
func TestSpeedsNeedOtherWorkers(t *testing.T) {
	s := NewSpeeds()
	second := func(worker string, seconds float64) Pace {
		return Pace{worker, int64(worker[0]), time.Duration(seconds * float64(time.Second))}
	}
	s.Compare(start, []Pace{second("a", 1), second("b", 3)})
	require.Zero(t, s.Known(), "nobody knows which of two workers is the usual one")
	for range 10 {
		s.Compare(start, []Pace{second("a", 2), second("b", 2), second("c", 2), second("d", 4)})
	}
	speed, known := s.Speed("d")
	require.True(t, known)
	require.InDelta(t, 0.5, speed, 0.01)
	require.Len(t, s.workers["d"].observations, 1)
	s.Compare(start, []Pace{second("a", 2), second("b", 2), {"d", 1000, 2 * time.Second}})
	require.Len(t, s.workers["d"].observations, 2)
	s.Compare(start, []Pace{second("a", 1), second("b", 1), second("e", 20)})
	_, known = s.Speed("e")
	require.False(t, known, "the run stands still or is an outlier")
	s.Compare(start, []Pace{second("a", 2), second("b", 2), second("c", 7)})
	s.Compare(start, []Pace{second("a", 2), second("b", 2), second("c", 70)})
	_, known = s.Speed("c")
	require.False(t, known, "the run has become an outlier, so what it showed before does not count")
	s.Forget("d")
	_, known = s.Speed("d")
	require.False(t, known)
}

// Guards against a new leader that uses the speed of another incarnation or an old one, and against old speeds that each
// leader passes on to the next as if they were new.
func TestStoredSpeeds(t *testing.T) {
	s := NewSpeeds()
	var paces []Pace
	for n := range 2500 {
		paces = append(paces, Pace{fmt.Sprint("w", n), int64(n + 1), time.Duration(float64(time.Second) / trueSpeed(n))})
	}
	for len(paces) > 0 {
		n := min(50, len(paces))
		s.Compare(start, paces[:n])
		paces = paces[n:]
	}
	s.Summarize(0.7)
	later := start.Add(50 * time.Second)
	incarnation := func(id string) (Incarnation, bool) { return Incarnation{17, 80000}, id != "w3" }
	records, err := s.Encode("pool", later, incarnation)
	require.NoError(t, err)
	require.Len(t, records, 3)
	restored := NewSpeeds()
	count := 0
	for _, r := range records {
		require.Less(t, len(r.Value), 64<<10)
		speeds, err := Decode(r)
		require.NoError(t, err)
		for _, v := range speeds {
			require.Equal(t, "pool", v.Service)
			require.EqualValues(t, 17, v.StartedAtMS)
			require.EqualValues(t, 30000, v.ObservedMS, "50 s before the reading of the clock")
			require.NotEqual(t, "w3", v.Worker, "the worker is gone")
			restored.Restore(later, v.Worker, v.Speed, 50*time.Second)
			count++
		}
	}
	require.Equal(t, 2499, count)
	speed, known := restored.Speed("w0")
	require.True(t, known)
	require.InDelta(t, 0.6, speed, 0.01)
	records, err = restored.Encode("pool", later, incarnation)
	require.NoError(t, err)
	again, err := Decode(records[0])
	require.NoError(t, err)
	require.EqualValues(t, 30000, again[0].ObservedMS, "a restored speed keeps the time of its observation")
	restored.Restore(later, "old", 0.6, maxObservationAge+time.Millisecond)
	_, known = restored.Speed("old")
	require.False(t, known)
}

// Guards against records of another writer that end the term of a new leader, or from which it restores speeds.
func TestUnusableRecordsOfSpeeds(t *testing.T) {
	for key, valid := range map[string]bool{RecordKey("a/b", 7): true, "pool": false, "pool/x": false, "pool/-1": false, "pool/1000000": false} {
		_, _, ok := ParseRecordKey(key)
		require.Equal(t, valid, ok, key)
	}
	for _, r := range []ledger.Record{{Key: "pool"}, {Key: "pool/0", Value: []byte("{")}, {Key: "pool/0", Value: []byte(`{"a":[1,"x"]}`)}} {
		_, err := Decode(r)
		require.ErrorIs(t, err, ErrInvalidRecord)
	}
	speeds, err := Decode(ledger.Record{Key: "pool/0", Value: []byte(`{"a":[1,0,5],"b":[1,-5,5],"c":[1,9000000,5],"d":[1,900,5],"e":[1,900],"f":[]}`)})
	require.NoError(t, err)
	require.Len(t, speeds, 1, "speeds out of range and those of earlier versions are left out")
	speeds, err = Decode(ledger.Record{Key: "pool/0"})
	require.NoError(t, err)
	require.Empty(t, speeds)
}

// Guards against a slow worker that counts as a disturbance of its runs, against a disturbed run that hides itself because it is
// taken for the usual speed of its worker, and against a deviation on a worker whose speed nothing else shows.
func TestDeviationIsCorrectedBySpeeds(t *testing.T) {
	s := NewSpeeds()
	paces := func(first int64, disturbed int) []Pace {
		var paces []Pace
		for n := range 6 {
			seconds := 3 / trueSpeed(n)
			if n == disturbed {
				seconds *= 2
			}
			paces = append(paces, Pace{fmt.Sprint("w", n), first + int64(n), time.Duration(seconds * float64(time.Second))})
		}
		return paces
	}
	require.Empty(t, s.Compare(start, paces(1, -1)))
	s.Summarize(0.7)
	unseen := Pace{"w9", 20, 9 * time.Second}
	for range 3 {
		deviations := s.Compare(start.Add(time.Second), append(paces(11, 3), unseen))
		require.Len(t, deviations, 6)
		for n, d := range deviations {
			expected := 1.0
			if n == 3 {
				expected = 2
			}
			require.EqualValues(t, 11+n, d.Run)
			require.InDelta(t, expected, d.Factor, 0.05)
		}
	}
}
