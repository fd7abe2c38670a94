package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const sampleLog = `not a line of a log
  3.0001 n1 time=2026-12-04T10:00:00.000Z level=info msg="instance starts" instance=n1 zone=z
time=2026-12-04T10:00:01.100Z level=info msg="leadership won" instance=n1 epoch=4
time=2026-12-04T10:00:02.000Z level=info msg=submit instance=n2 job=a outcome=accepted took=4.5
time=2026-12-04T10:00:02.100Z level=info msg="job taken" instance=n1 job=a phase=queued
time=2026-12-04T10:00:02.500Z level=info msg=submit instance=n2 job=b outcome=refused error="log \"down\""
time=2026-12-04T10:00:04.000Z level=info msg="step placed" instance=n1 step=a.0.0 waited=1900.5
time=2026-12-04T10:00:04.000Z level=info msg="phase changed" instance=n1 job=a phase=running
time=2026-12-04T10:00:04.100Z level=info msg="task started" instance=n1 task=a.0.0.0
time=2026-12-04T10:00:06.000Z level=info msg="task ended" instance=n1 task=a.0.0.0 end=done reason=""
time=2026-12-04T10:00:06.100Z level=info msg="phase changed" instance=n1 job=a phase=completed
`

func seriesValues(t *testing.T, timeline *Timeline, chart, name string) []float64 {
	t.Helper()
	for _, c := range timeline.Charts {
		for _, s := range c.Series {
			if c.Title == chart && s.Name == name {
				return s.Values
			}
		}
	}
	require.Fail(t, "no series "+name)
	return nil
}

// Guards against events that are lost or counted in the wrong interval.
func TestTimelineMergesTwoInstances(t *testing.T) {
	var l Log
	require.NoError(t, l.Read(strings.NewReader(sampleLog)))
	timeline, err := NewTimeline(&l)
	require.NoError(t, err)
	require.Equal(t, 1, timeline.Unreadable)
	require.Equal(t, time.Second, timeline.Interval)
	require.Equal(t, []float64{0, 0, 1, 0, 0, 0, 0}, seriesValues(t, timeline, submitsChart, "accepted"))
	require.Equal(t, []float64{0, 0, 1, 0, 0, 0, 0}, seriesValues(t, timeline, submitsChart, "refused"))
	require.Equal(t, []float64{0, 0, 1, 1, 0, 0, 0}, seriesValues(t, timeline, unfinishedChart, "waiting"))
	require.Equal(t, []float64{0, 0, 1, 1, 1, 1, 0}, seriesValues(t, timeline, unfinishedChart, "waiting or running"))
	require.InDelta(t, 1900.5, seriesValues(t, timeline, waitChart, "highest")[4], 1e-9)
	require.Equal(t, []float64{0, 0, 0, 0, 0, 0, 1}, seriesValues(t, timeline, runsChart, "done"))
	require.Len(t, timeline.Changes, 2)
	var page bytes.Buffer
	require.NoError(t, timeline.WriteHTML(&page))
	require.Equal(t, 5, strings.Count(page.String(), "<svg"))
	require.Contains(t, page.String(), "leadership won")
}

// Guards against an empty page without an error when the logs have no events.
func TestNoEvents(t *testing.T) {
	_, err := NewTimeline(&Log{})
	require.ErrorIs(t, err, ErrEmpty)
}

// Guards against a page whose size grows without limit with the length of the logs.
func TestLongLogsAreBounded(t *testing.T) {
	var l Log
	at := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for n := range 2 * maxChanges {
		l.Events = append(l.Events, Event{At: at.Add(time.Duration(n) * time.Minute), Message: "topic lost"})
	}
	line, err := NewTimeline(&l)
	require.NoError(t, err)
	require.Len(t, line.Changes, maxChanges)
	require.Equal(t, maxChanges, line.Omitted)
	require.LessOrEqual(t, len(line.Charts[0].Series[0].Values), maxIntervals)
}
