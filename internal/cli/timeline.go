package cli

import (
	"context"
	"fmt"
	"html/template"
	"io"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

func timelineCommand(env Env) *ffcli.Command {
	fs := newFlagSet("timeline", env)
	var flags clientFlags
	flags.register(fs)
	job := fs.String("job", "", "show only events of this job")
	request := fs.String("request", "", "show only events of this request id")
	since := fs.Duration("since", 0, "show only events of the last duration, for example 10m")
	page := fs.String("html", "", "write an HTML page with one lane for each instance to this file")
	return &ffcli.Command{
		Name:       "timeline",
		ShortUsage: "oleanderbend timeline [--job NAME | --request ID | --since D] [--html FILE] [flags]",
		ShortHelp:  "show the decisions of all instances in one order",
		LongHelp: `The events of all live instances are merged so that a cause comes before its effect. Each instance
has a lane. Instances that did not respond are listed on standard error.

EXAMPLES
  oleanderbend timeline --since 10m
  oleanderbend timeline --job nightly --html nightly.html
  oleanderbend timeline --request 5f0c6b1e -o json
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return eris.Wrap(errUsage, "timeline takes no argument")
			}
			c, err := flags.newClient()
			if err != nil {
				return err
			}
			query := url.Values{"job": {*job}, "request": {*request}}
			if *since > 0 {
				query.Set("since", time.Now().Add(-*since).UTC().Format(time.RFC3339Nano))
			}
			return runTimeline(ctx, env, c, query, *page)
		},
	}
}

func runTimeline(ctx context.Context, env Env, c *client, query url.Values, page string) error {
	var response api.Timeline
	if _, err := c.getJSON(ctx, "/v1/timeline", query, &response); err != nil {
		return err
	}
	if len(response.Missing) > 0 {
		if err := printf(env.Stderr, "no response from %s; their lanes are missing\n", strings.Join(response.Missing, ", ")); err != nil {
			return err
		}
	}
	switch {
	case page != "":
		file, err := os.Create(page)
		if err != nil {
			return eris.Wrap(errUsage, err.Error())
		}
		if err := writeTimelinePage(file, response.Events); err != nil {
			_ = file.Close()
			return err
		}
		if err := file.Close(); err != nil {
			return eris.Wrap(err, "write the page")
		}
		return printf(env.Stdout, "%d events written to %s\n", len(response.Events), page)
	case c.json:
		return writeJSON(env.Stdout, response)
	default:
		return printLanes(env.Stdout, response.Events)
	}
}

// lanesOf returns the names of the instances that have events, sorted.
func lanesOf(events []timeline.Event) []string {
	var lanes []string
	for _, e := range events {
		lanes = append(lanes, e.Instance)
	}
	slices.Sort(lanes)
	return slices.Compact(lanes)
}

// laneWidth is the width of a lane in characters; longer names of events are cut.
const laneWidth = 22

// printLanes prints one line for each event, with the event's name in the lane of its instance.
func printLanes(w io.Writer, events []timeline.Event) error {
	lanes := lanesOf(events)
	head := fmt.Sprintf("%-15s", "TIME")
	for _, lane := range lanes {
		head += fmt.Sprintf(" %-*.*s", laneWidth, laneWidth, lane)
	}
	if err := printf(w, "%s DETAIL\n", head); err != nil {
		return err
	}
	for _, e := range events {
		line := fmt.Sprintf("%-15s", e.At.Time().UTC().Format("15:04:05.000000"))
		for _, lane := range lanes {
			name := "|"
			if lane == e.Instance {
				name = "* " + e.Name
			}
			line += fmt.Sprintf(" %-*.*s", laneWidth, laneWidth, name)
		}
		if err := printf(w, "%s %s\n", line, eventDetail(e)); err != nil {
			return err
		}
	}
	return nil
}

func eventDetail(e timeline.Event) string {
	var parts []string
	add := func(key, value string) {
		if value != "" {
			parts = append(parts, key+"="+value)
		}
	}
	add("job", e.Job)
	add("request", e.Request)
	add("zone", e.Zone)
	add("worker", e.Worker)
	add("cause", e.Cause)
	add("reason", e.Reason)
	return strings.Join(parts, " ")
}

// Sizes of the page in pixels.
const (
	laneSpacing  = 190
	eventSpacing = 24
	pageMargin   = 130
	headHeight   = 40
)

type pageEvent struct {
	X, Y                         int
	Time, Name, Type, Job, Title string
	// FromX and FromY are the start of the arrow from the latest earlier event of the instance that caused
	// this one; FromX is 0 if there is no arrow.
	FromX, FromY int
}

type pageLane struct {
	X    int
	Name string
}

type pageData struct {
	Width, Height int
	Lanes         []pageLane
	Events        []pageEvent
	Jobs          []string
}

// writeTimelinePage writes a self-contained HTML page. It has a lane for each instance from top
// to bottom, an arrow to each event that another instance caused, from the latest earlier event of that
// instance, and a filter by job.
func writeTimelinePage(w io.Writer, events []timeline.Event) error {
	lanes := lanesOf(events)
	data := pageData{Width: pageMargin + laneSpacing*len(lanes) + 300, Height: headHeight + eventSpacing*(len(events)+1)}
	column := make(map[string]int, len(lanes))
	for i, lane := range lanes {
		column[lane] = pageMargin + laneSpacing*i + laneSpacing/2
		data.Lanes = append(data.Lanes, pageLane{X: column[lane], Name: lane})
	}
	latest := make(map[string]int)
	for i, e := range events {
		row := headHeight + eventSpacing*(i+1)
		shown := pageEvent{
			X: column[e.Instance], Y: row, Time: e.At.Time().UTC().Format("15:04:05.000"), Name: e.Name, Type: string(e.Type), Job: e.Job,
			Title: e.At.Time().UTC().Format(time.RFC3339Nano) + " " + e.Instance + " " + eventDetail(e),
		}
		if y, found := latest[e.Cause]; found && e.Cause != e.Instance {
			shown.FromX, shown.FromY = column[e.Cause], y
		}
		latest[e.Instance] = row
		data.Events = append(data.Events, shown)
		if e.Job != "" {
			data.Jobs = append(data.Jobs, e.Job)
		}
	}
	slices.Sort(data.Jobs)
	data.Jobs = slices.Compact(data.Jobs)
	return eris.Wrap(timelinePage.Execute(w, data), "write the page")
}

var timelinePage = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title>
<style>
body { font: 12px sans-serif; margin: 1em }
svg text { font: 11px sans-serif }
.lane { stroke: #ccc }
.arrow { stroke: #555; fill: none }
.decision circle { fill: #2563eb } .lease circle { fill: #059669 } .leadership circle { fill: #7c3aed }
.configuration circle { fill: #d97706 } .refusal circle { fill: #dc2626 } .retry circle { fill: #ea580c }
.fault circle { fill: #991b1b } .membership circle { fill: #0891b2 } .shutdown circle { fill: #374151 }
.hidden { opacity: 0.08 }
</style></head><body>
<label>Job <select id="job"><option value="">all</option>{{range .Jobs}}<option>{{.}}</option>{{end}}</select></label>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="events by process">
<defs><marker id="head" markerWidth="7" markerHeight="7" refX="6" refY="3" orient="auto"><path d="M0,0 L6,3 L0,6 z"/></marker></defs>
{{$height := .Height}}{{range .Lanes}}<line class="lane" x1="{{.X}}" y1="30" x2="{{.X}}" y2="{{$height}}"/><text x="{{.X}}" y="20" text-anchor="middle">{{.Name}}</text>
{{end}}{{range .Events}}<g class="event {{.Type}}" data-job="{{.Job}}"><title>{{.Title}}</title>
{{if .FromX}}<path class="arrow" marker-end="url(#head)" d="M{{.FromX}},{{.FromY}} L{{.X}},{{.Y}}"/>{{end}}
<text x="4" y="{{.Y}}">{{.Time}}</text><circle cx="{{.X}}" cy="{{.Y}}" r="4"/><text x="{{.X}}" y="{{.Y}}" dx="8" dy="4">{{.Name}}{{if .Job}} ({{.Job}}){{end}}</text></g>
{{end}}</svg>
<script>
document.getElementById("job").addEventListener("change", function () {
  var job = this.value;
  document.querySelectorAll(".event").forEach(function (e) {
    e.classList.toggle("hidden", job !== "" && e.dataset.job !== job);
  });
});
</script></body></html>
`))
