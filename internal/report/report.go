// Package report makes a page from the logs of a set of instances: what callers were told, how long
// work waited, what ran and ended how, and who led, over time.
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
	// maxSpans bounds the spans into which the logs' time is divided, to what a chart can show.
	maxSpans = 240
	// maxEvents bounds the events that the page lists; more would hide what matters.
	maxEvents = 300
	// maxLineBytes bounds a line; longer ones are passed over.
	maxLineBytes = 1 << 20
)

// ErrEmpty means that the logs have no line that the report uses.
var ErrEmpty = errors.New("report: no events in the logs")

// Event is one line of a log.
type Event struct {
	At       time.Time
	Instance string
	Message  string
	Fields   map[string]string
}

// Log is the events of all instances in the order of their times.
type Log struct {
	Events []Event
	// Unreadable counts the lines that are no events.
	Unreadable int
}

// Read adds the lines of one log. What stands before the time of a line is passed over, so that logs
// that were collected with a prefix can be read as well.
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

// Series is one line of a chart: a value for each span.
type Series struct {
	Name   string
	Values []float64
}

// Chart is a set of series over the same time.
type Chart struct {
	Title, Unit string
	Series      []Series
}

// Timeline is what the page shows.
type Timeline struct {
	Began  time.Time
	Span   time.Duration
	Charts []Chart
	// Changes are the events that explain the charts: leaders, lost dependencies, starts and stops.
	Changes []Event
	// Omitted counts the changes beyond those listed.
	Omitted    int
	Unreadable int
}

// count is a series that counts the events for which a condition holds.
type count struct {
	chart, name string
	holds       func(*Event) bool
}

func message(m string) func(*Event) bool {
	return func(e *Event) bool { return e.Message == m }
}

func messageWith(m, key, value string) func(*Event) bool {
	return func(e *Event) bool { return e.Message == m && e.Fields[key] == value }
}

// Titles of the charts.
const (
	submitsChart = "Answers to submitted jobs"
	jobsChart    = "Jobs"
	runsChart    = "Runs of tasks"
	waitChart    = "Waiting time of placed steps"
	openChart    = "Jobs that are not finished"
)

var counts = []count{
	{submitsChart, "accepted", messageWith("submit", "outcome", "accepted")},
	{submitsChart, "refused", messageWith("submit", "outcome", "refused")},
	{submitsChart, "unknown", messageWith("submit", "outcome", "unknown")},
	{jobsChart, "taken", message("job taken")},
	{jobsChart, "completed", messageWith("phase changed", "phase", "completed")},
	{jobsChart, "failed", messageWith("phase changed", "phase", "failed")},
	{jobsChart, "cancelled", messageWith("phase changed", "phase", "cancelled")},
	{runsChart, "started", message("task started")},
	{runsChart, "done", messageWith("task ended", "end", "done")},
	{runsChart, "failed", messageWith("task ended", "end", "failed")},
	{runsChart, "gave way", messageWith("task ended", "reason", "preempted")},
	{runsChart, "lost", messageWith("task ended", "end", "lost")},
}

// changes are the messages of events that explain the charts.
var changes = []string{
	"instance starts", "stopping gracefully", "instance stops", "leadership won", "took over", "leadership ended", "stepping down",
	"topic lost", "topic regained", "configuration in force", "wave reported", "run stands still", "worker shunned", "log lines dropped",
}

// NewTimeline sums the events up. It returns ErrEmpty if there are none.
func NewTimeline(l *Log) (*Timeline, error) {
	if len(l.Events) == 0 {
		return nil, ErrEmpty
	}
	events := slices.Clone(l.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	began, ended := events[0].At, events[len(events)-1].At
	span := max(time.Second, (ended.Sub(began)/maxSpans).Truncate(time.Second)+time.Second)
	t := &Timeline{Began: began, Span: span, Unreadable: l.Unreadable}
	spans := int(ended.Sub(began)/span) + 1
	at := func(e *Event) int { return int(e.At.Sub(began) / span) }
	t.count(events, spans, at)
	t.addOpen(events, spans, at)
	t.addWaiting(events, spans, at)
	for i := range events {
		if !slices.Contains(changes, events[i].Message) {
			continue
		}
		if len(t.Changes) == maxEvents {
			t.Omitted++
			continue
		}
		t.Changes = append(t.Changes, events[i])
	}
	return t, nil
}

// count adds the charts that count events, per second.
func (t *Timeline) count(events []Event, spans int, at func(*Event) int) {
	for _, c := range counts {
		s := Series{Name: c.name, Values: make([]float64, spans)}
		for i := range events {
			if c.holds(&events[i]) {
				s.Values[at(&events[i])] += 1 / t.Span.Seconds()
			}
		}
		n := slices.IndexFunc(t.Charts, func(have Chart) bool { return have.Title == c.chart })
		if n < 0 {
			n = len(t.Charts)
			t.Charts = append(t.Charts, Chart{Title: c.chart, Unit: "per second"})
		}
		t.Charts[n].Series = append(t.Charts[n].Series, s)
	}
}

// addOpen adds how many jobs wait for their first task, and how many are not finished, at the end of each
// span.
func (t *Timeline) addOpen(events []Event, spans int, at func(*Event) int) {
	phases := make(map[string]string)
	waiting, open := make([]float64, spans), make([]float64, spans)
	next := 0
	for span := range spans {
		for ; next < len(events) && at(&events[next]) <= span; next++ {
			switch e := &events[next]; e.Message {
			case "job taken", "phase changed":
				phases[e.Fields["job"]] = e.Fields["phase"]
			}
		}
		for _, phase := range phases {
			switch phase {
			case "queued":
				waiting[span]++
				open[span]++
			case "running":
				open[span]++
			}
		}
	}
	t.Charts = append(t.Charts, Chart{Title: openChart, Unit: "jobs", Series: []Series{{"waiting", waiting}, {"waiting or running", open}}})
}

// addWaiting adds the median and the highest waiting time of the steps that were placed in each span.
func (t *Timeline) addWaiting(events []Event, spans int, at func(*Event) int) {
	waits := make([][]float64, spans)
	for i := range events {
		if events[i].Message != "step placed" {
			continue
		}
		ms, err := strconv.ParseFloat(events[i].Fields["waited"], 64)
		if err != nil {
			t.Unreadable++
			continue
		}
		n := at(&events[i])
		waits[n] = append(waits[n], ms)
	}
	median, highest := make([]float64, spans), make([]float64, spans)
	for n, all := range waits {
		if len(all) > 0 {
			slices.Sort(all)
			median[n], highest[n] = all[len(all)/2], all[len(all)-1]
		}
	}
	t.Charts = append(t.Charts, Chart{Title: waitChart, Unit: "ms", Series: []Series{{"median", median}, {"highest", highest}}})
}

// Describe renders the fields of a change that are not shown in columns of their own.
func (e *Event) Describe() string {
	var text string
	for _, key := range []string{"reason", "epoch", "topic", "error", "version", "worker", "task", "still", "jobs", "took", "lines"} {
		if value, ok := e.Fields[key]; ok {
			text += fmt.Sprintf("%s=%.120s ", key, value)
		}
	}
	return text
}
