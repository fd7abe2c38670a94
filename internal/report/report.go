// Package report renders an HTML page from the logs of a set of instances. Over time it shows the
// outcomes of submitted jobs, how long steps waited, how task runs ended and which instances were leaders.
package report

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// maxIntervals limits how many intervals the time range of the logs is divided into, because a chart
	// cannot show more points.
	maxIntervals = 240
	// maxChanges limits the events listed on the page; a longer list would hide the important ones.
	maxChanges = 300
	// maxLineBytes limits the length of one log line; Read fails on a longer one.
	maxLineBytes = 1 << 20
)

// ErrEmpty is returned by NewTimeline for a log without events.
var ErrEmpty = errors.New("report: no events in the logs")

// Event is one parsed log line. Fields has all its key=value pairs, also time, instance and message.
type Event struct {
	At       time.Time
	Instance string
	Message  string
	Fields   map[string]string
}

// Log collects the events of all instances, in the order in which they were read.
type Log struct {
	Events []Event
	// Unreadable is the number of lines that could not be parsed as events.
	Unreadable int
}

// Read appends the events of one log. Text before the "time=" of a line is ignored, which allows for
// log collectors that add a prefix to each line.
func (l *Log) Read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		_, line, found := bytes.Cut(lines.Bytes(), []byte("time="))
		if !found {
			l.Unreadable++
			continue
		}
		event, err := parse(append([]byte("time="), line...))
		if err != nil {
			l.Unreadable++
			continue
		}
		l.Events = append(l.Events, event)
	}
	return lines.Err()
}

func parse(line []byte) (Event, error) {
	e := Event{Fields: make(map[string]string)}
	d := logfmt.NewDecoder(bytes.NewReader(line))
	d.ScanRecord()
	for d.ScanKeyval() {
		e.Fields[string(d.Key())] = string(d.Value())
	}
	if err := d.Err(); err != nil {
		return e, err
	}
	var err error
	e.At, err = time.Parse(time.RFC3339Nano, e.Fields["time"])
	e.Instance, e.Message = e.Fields["instance"], e.Fields["msg"]
	return e, err
}

// Series is one curve of a chart, with one value for each interval.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a set of series over the same intervals.
type Chart struct {
	Title, Unit string
	Series      []Series
}

// Timeline is the content of the page. The values of all charts are given per Interval, counted from Start.
type Timeline struct {
	Start    time.Time
	Interval time.Duration
	Charts   []Chart
	// Changes are the events that help to explain the charts, such as changes of leader, lost topics, and
	// starts and stops of instances.
	Changes []Event
	// Omitted is the number of changes left out because Changes had reached maxChanges.
	Omitted int
	// Unreadable is the number of lines that are not events, plus the number of waiting times that could
	// not be parsed.
	Unreadable int
}

// seriesDefinition defines a series that counts the events for which matches returns true.
type seriesDefinition struct {
	chart, name string
	matches     func(*Event) bool
}

// hasMessage returns a condition on the message of an event.
func hasMessage(m string) func(*Event) bool {
	return func(e *Event) bool { return e.Message == m }
}

// hasMessageAndField returns a condition on the message and one field of an event.
func hasMessageAndField(m, key, value string) func(*Event) bool {
	return func(e *Event) bool { return e.Message == m && e.Fields[key] == value }
}

// Titles of the charts.
const (
	submitsChart    = "Answers to submitted jobs"
	jobsChart       = "Jobs"
	runsChart       = "Runs of tasks"
	waitChart       = "Waiting time of placed steps"
	unfinishedChart = "Jobs that are not finished"
)

var seriesDefinitions = []seriesDefinition{
	{submitsChart, "accepted", hasMessageAndField("submit", "outcome", "accepted")},
	{submitsChart, "refused", hasMessageAndField("submit", "outcome", "refused")},
	{submitsChart, "unknown", hasMessageAndField("submit", "outcome", "unknown")},
	{jobsChart, "taken", hasMessage("job taken")},
	{jobsChart, "completed", hasMessageAndField("phase changed", "phase", "completed")},
	{jobsChart, "failed", hasMessageAndField("phase changed", "phase", "failed")},
	{jobsChart, "cancelled", hasMessageAndField("phase changed", "phase", "cancelled")},
	{runsChart, "started", hasMessage("task started")},
	{runsChart, "done", hasMessageAndField("task ended", "end", "done")},
	{runsChart, "failed", hasMessageAndField("task ended", "end", "failed")},
	{runsChart, "gave way", hasMessageAndField("task ended", "reason", "preempted")},
	{runsChart, "lost", hasMessageAndField("task ended", "end", "lost")},
}

// changeMessages are the messages of the events listed in Timeline.Changes.
var changeMessages = []string{
	"instance starts", "stopping gracefully", "instance stops", "leadership won", "took over", "leadership ended", "stepping down",
	"topic lost", "topic regained", "configuration in force", "wave reported", "run stands still", "worker shunned", "log lines dropped",
}

// NewTimeline computes the charts and changes from the events of a log. It returns ErrEmpty if there
// are no events.
func NewTimeline(l *Log) (*Timeline, error) {
	if len(l.Events) == 0 {
		return nil, ErrEmpty
	}
	events := slices.Clone(l.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	start, end := events[0].At, events[len(events)-1].At
	interval := max(time.Second, (end.Sub(start)/maxIntervals).Truncate(time.Second)+time.Second)
	t := &Timeline{Start: start, Interval: interval, Unreadable: l.Unreadable}
	intervals := int(end.Sub(start)/interval) + 1
	intervalOf := func(e *Event) int { return int(e.At.Sub(start) / interval) }
	t.addCounts(events, intervals, intervalOf)
	t.addUnfinishedJobs(events, intervals, intervalOf)
	t.addWaitingTimes(events, intervals, intervalOf)
	for i := range events {
		if !slices.Contains(changeMessages, events[i].Message) {
			continue
		}
		if len(t.Changes) == maxChanges {
			t.Omitted++
			continue
		}
		t.Changes = append(t.Changes, events[i])
	}
	return t, nil
}

// addCounts adds the charts of events per second, as listed in seriesDefinitions.
func (t *Timeline) addCounts(events []Event, intervals int, intervalOf func(*Event) int) {
	for _, c := range seriesDefinitions {
		s := Series{Name: c.name, Values: make([]float64, intervals)}
		for i := range events {
			if c.matches(&events[i]) {
				s.Values[intervalOf(&events[i])] += 1 / t.Interval.Seconds()
			}
		}
		n := slices.IndexFunc(t.Charts, func(chart Chart) bool { return chart.Title == c.chart })
		if n < 0 {
			n = len(t.Charts)
			t.Charts = append(t.Charts, Chart{Title: c.chart, Unit: "per second"})
		}
		t.Charts[n].Series = append(t.Charts[n].Series, s)
	}
}

// addUnfinishedJobs adds the chart of jobs that wait for their first task, and of all jobs that are not
// finished, at the end of each interval.
func (t *Timeline) addUnfinishedJobs(events []Event, intervals int, intervalOf func(*Event) int) {
	phases := make(map[string]string)
	waiting, unfinished := make([]float64, intervals), make([]float64, intervals)
	next := 0
	for interval := range intervals {
		for ; next < len(events) && intervalOf(&events[next]) <= interval; next++ {
			switch e := &events[next]; e.Message {
			case "job taken", "phase changed":
				phases[e.Fields["job"]] = e.Fields["phase"]
			}
		}
		for _, phase := range phases {
			switch phase {
			case "queued":
				waiting[interval]++
				unfinished[interval]++
			case "running":
				unfinished[interval]++
			}
		}
	}
	t.Charts = append(t.Charts, Chart{Title: unfinishedChart, Unit: "jobs", Series: []Series{{"waiting", waiting}, {"waiting or running", unfinished}}})
}

// addWaitingTimes adds the chart of the median and the highest waiting time, in milliseconds, of the steps
// placed in each interval.
func (t *Timeline) addWaitingTimes(events []Event, intervals int, intervalOf func(*Event) int) {
	waits := make([][]float64, intervals)
	for i := range events {
		if events[i].Message != "step placed" {
			continue
		}
		ms, err := strconv.ParseFloat(events[i].Fields["waited"], 64)
		if err != nil {
			t.Unreadable++
			continue
		}
		n := intervalOf(&events[i])
		waits[n] = append(waits[n], ms)
	}
	median, highest := make([]float64, intervals), make([]float64, intervals)
	for n, all := range waits {
		if len(all) > 0 {
			slices.Sort(all)
			median[n], highest[n] = all[len(all)/2], all[len(all)-1]
		}
	}
	t.Charts = append(t.Charts, Chart{Title: waitChart, Unit: "ms", Series: []Series{{"median", median}, {"highest", highest}}})
}

// Describe returns the fields that explain the event as key=value pairs, each value cut to 120 characters.
// Fields with their own column on the page are left out.
func (e *Event) Describe() string {
	var text string
	for _, key := range []string{"reason", "epoch", "topic", "error", "version", "worker", "task", "still", "jobs", "took", "lines"} {
		if value, ok := e.Fields[key]; ok {
			text += fmt.Sprintf("%s=%.120s ", key, value)
		}
	}
	return text
}
