package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result contains the figures and violations of a run.
type Result struct {
	Name string `json:"name"`
	Seed uint64 `json:"seed"`
	// Seconds is the time from the start of the run to its result, including the verification. The settle
	// time of the settings is left out if Verified is set.
	Seconds float64 `json:"seconds"`
	// Verified reports whether the outcomes were compared with the execution counts.
	Verified bool         `json:"verified"`
	Flows    []FlowResult `json:"flows"`
	// Violations is the number of violations of each rule. Examples contains the first maxExamples
	// violations.
	Violations map[Rule]int `json:"violations"`
	Examples   []Violation  `json:"examples,omitempty"`

	series []series
}

// Violation is the violation of a rule by one request.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// FlowResult contains the figures of one flow.
type FlowResult struct {
	Organisation string `json:"organisation"`
	Caller       string `json:"caller"`
	Kind         string `json:"kind"`
	// Scheduled is the number of scheduled arrivals. It is the sum of Answers, NotRun, Unknown,
	// Unreachable and Unsent.
	Scheduled   int `json:"scheduled"`
	Answers     int `json:"answers"`
	NotRun      int `json:"notRun"`
	Unknown     int `json:"unknown"`
	Unreachable int `json:"unreachable"`
	Unsent      int `json:"unsent"`
	// Failed is the number of responses in Answers with a status other than 2xx.
	Failed int `json:"failed"`
	// Latency covers responses with status 2xx, NotRunLatency requests with the outcome NotRun.
	Latency       Latency `json:"latency"`
	NotRunLatency Latency `json:"notRunLatency"`
}

// Latency contains percentiles and the maximum in milliseconds, from the scheduled arrival to the end
// of the response.
type Latency struct {
	P50  float64 `json:"p50ms"`
	P90  float64 `json:"p90ms"`
	P99  float64 `json:"p99ms"`
	P999 float64 `json:"p999ms"`
	Max  float64 `json:"maxMs"`
}

// OK reports whether there are no violations.
func (r Result) OK() bool { return len(r.Violations) == 0 }

func newLatency(h *hdrhistogram.Histogram) Latency {
	ms := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	return Latency{
		P50:  ms(h.ValueAtQuantile(50)),
		P90:  ms(h.ValueAtQuantile(90)),
		P99:  ms(h.ValueAtQuantile(99)),
		P999: ms(h.ValueAtQuantile(99.9)),
		Max:  ms(h.Max()),
	}
}

// result returns the result of the run. It is called after all requests have ended.
func (r *run) result(verified bool) Result {
	result := Result{
		Name:       r.config.Settings.Name,
		Seed:       r.config.Settings.Seed,
		Seconds:    time.Since(r.start).Seconds(),
		Verified:   verified,
		Violations: r.violationCounts,
		Examples:   r.examples,
		series:     r.series(),
	}
	if verified {
		result.Seconds -= time.Duration(r.config.Settings.Settle).Seconds()
	}
	for _, f := range r.flows {
		row := FlowResult{
			Organisation:  f.flow.Organisation,
			Caller:        f.flow.Caller,
			Kind:          f.flow.Kind,
			Scheduled:     len(f.arrivals),
			Answers:       f.outcomes[Answered],
			NotRun:        f.outcomes[NotRun],
			Unknown:       f.outcomes[Unknown],
			Unreachable:   f.outcomes[Unreachable],
			Failed:        f.failed,
			Latency:       newLatency(f.successLatency),
			NotRunLatency: newLatency(f.notRunLatency),
		}
		row.Unsent = row.Scheduled - row.Answers - row.NotRun - row.Unknown - row.Unreachable
		if row.Unsent > 0 {
			result.Violations[RuleUnsent] += row.Unsent
		}
		result.Flows = append(result.Flows, row)
	}
	return result
}

// WriteTable writes the figures as a table, one row for each flow.
func (r Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\torganisation\tcaller\tscheduled\tanswers\tfailed\tnot-run\tunknown\tunreachable\tunsent\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, f := range r.Flows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n",
			f.Kind, f.Organisation, f.Caller, f.Scheduled, f.Answers, f.Failed, f.NotRun, f.Unknown, f.Unreachable, f.Unsent,
			f.Latency.P50, f.Latency.P90, f.Latency.P99, f.Latency.P999, f.Latency.Max)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeChecks(w)
}

func (r Result) writeChecks(w io.Writer) error {
	verified := "compared with what ran"
	if !r.Verified {
		verified = "not compared with what ran"
	}
	if _, err := fmt.Fprintf(w, "seed %d, %.1f s, outcomes %s, rules broken: %d\n", r.Seed, r.Seconds, verified, len(r.Violations)); err != nil {
		return err
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Violations)) {
		if _, err := fmt.Fprintf(w, "broken: %s %d times\n", rule, r.Violations[rule]); err != nil {
			return err
		}
	}
	for _, v := range r.Examples {
		if _, err := fmt.Fprintf(w, "example: %s request=%s %s\n", v.Rule, v.Request, v.Detail); err != nil {
			return err
		}
	}
	return nil
}

// WriteJSON writes the figures as indented JSON.
func (r Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
