package controller

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// Guards against lost work that is counted for runs that completed their work or never began, or for a wrong cause.
func TestLostWorkIsCountedByCause(t *testing.T) {
	step := batch.Step{Count: 1, CPU: 2000, GPU: 1}
	for _, c := range []struct {
		kind        worker.EndKind
		reason      string
		preemptedBy planner.StopCause
		checkpoints bool
		want        planner.StopCause
	}{
		{kind: worker.EndDone, reason: "preempted", preemptedBy: planner.StopForUrgent},
		{kind: endRejected, reason: "preempted", preemptedBy: planner.StopForUrgent},
		{kind: endLost, reason: "preempted", preemptedBy: planner.StopForUrgent, want: planner.StopForUrgent},
		{kind: endLost, want: stoppedLost},
		{kind: endLost, reason: "gang ended", want: stoppedWithGang},
		{kind: worker.EndFailed, checkpoints: true, want: stoppedFailed},
		{kind: endLost, reason: "start refused", want: stoppedOther},
	} {
		l := &leader{c: New(Config{Metrics: metrics.NewSet()})}
		step.Checkpoints = c.checkpoints
		u := &unit{step: &step}
		l.countLoss(&run{task: &task{unit: u}, reason: c.reason, preemptedBy: c.preemptedBy, placedAt: boottime.Now().Add(-10 * time.Second)}, c.kind)
		for cause, runs := range l.c.metrics.losses.runs {
			work := l.c.metrics.losses.work[cause].Get()
			switch {
			case cause != c.want:
				require.Zero(t, runs.Get(), "%+v: %s", c, cause)
				require.Zero(t, work, "%+v: %s", c, cause)
			case c.checkpoints:
				require.EqualValues(t, 1, runs.Get(), "%+v", c)
				require.Zero(t, work, "%+v", c)
			default:
				require.EqualValues(t, 1, runs.Get(), "%+v", c)
				require.InDelta(t, 100, work, 5, "%+v", c)
			}
		}
	}
}
