package load

import (
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ErrPlot means that the plot could not be written.
var ErrPlot = errors.New("load: plot")

// plotIntervals is the number of time intervals into which the run is divided for the plot.
const plotIntervals = 60

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 13 * vg.Centimeter
)

// axisMargin is the factor by which the latency axis extends beyond the smallest and largest value.
const axisMargin = 1.5

// series contains the latency percentiles of one kind of request over time.
type series struct {
	kind   string
	points []point
}

// point contains the percentiles of one time interval; at is the middle of the interval.
type point struct {
	at       time.Duration
	p50, p99 time.Duration
}

// series groups the samples by kind and by the time interval of their scheduled arrival.
func (r *run) series() []series {
	byKind := make(map[string][]sample)
	var kinds []string
	for _, f := range r.flows {
		if !slices.Contains(kinds, f.flow.Kind) {
			kinds = append(kinds, f.flow.Kind)
		}
		byKind[f.flow.Kind] = append(byKind[f.flow.Kind], f.samples...)
	}
	interval := max(time.Duration(r.config.Settings.Duration)/plotIntervals, time.Millisecond)
	var all []series
	for _, kind := range kinds {
		all = append(all, series{kind: kind, points: newPoints(byKind[kind], interval)})
	}
	return all
}

func newPoints(samples []sample, interval time.Duration) []point {
	byInterval := make(map[time.Duration][]time.Duration)
	var starts []time.Duration
	for _, s := range samples {
		start := s.at.Truncate(interval)
		if _, known := byInterval[start]; !known {
			starts = append(starts, start)
		}
		byInterval[start] = append(byInterval[start], s.latency)
	}
	slices.Sort(starts)
	points := make([]point, len(starts))
	for i, start := range starts {
		latencies := byInterval[start]
		slices.Sort(latencies)
		points[i] = point{at: start + interval/2, p50: quantile(latencies, 0.5), p99: quantile(latencies, 0.99)}
	}
	return points
}

// quantile returns the q-quantile of a sorted, non-empty list.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// WritePlot writes a plot of the latency over time, by kind of request, to a file. The file name must
// end in .svg or .png; otherwise it returns ErrPlot.
func (r Result) WritePlot(file string) error {
	switch filepath.Ext(file) {
	case ".svg", ".png":
	default:
		return fmt.Errorf("%w: %s: name must end in .svg or .png", ErrPlot, file)
	}
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "scheduled arrival [s]"
	p.Y.Label.Text = "latency [ms]"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	low, high := math.Inf(1), 0.0
	for i, s := range r.series {
		if len(s.points) == 0 {
			continue
		}
		for _, pt := range s.points {
			low, high = min(low, milliseconds(pt.p50)), max(high, milliseconds(pt.p99))
		}
		if err := addSeries(p, i, s); err != nil {
			return fmt.Errorf("%w: %w", ErrPlot, err)
		}
	}
	if high == 0 {
		return fmt.Errorf("%w: no request succeeded", ErrPlot)
	}
	// Set the range explicitly because a logarithmic axis must not include 0.
	p.X.Min = 0
	p.Y.Min, p.Y.Max = low/axisMargin, high*axisMargin
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("%w: %w", ErrPlot, err)
	}
	return nil
}

// addSeries draws the 99th percentile as a solid line and the median as a dashed one.
func addSeries(p *plot.Plot, index int, s series) error {
	p50, p99 := make(plotter.XYs, len(s.points)), make(plotter.XYs, len(s.points))
	for i, pt := range s.points {
		p50[i] = plotter.XY{X: pt.at.Seconds(), Y: milliseconds(pt.p50)}
		p99[i] = plotter.XY{X: pt.at.Seconds(), Y: milliseconds(pt.p99)}
	}
	solid, err := plotter.NewLine(p99)
	if err != nil {
		return err
	}
	dashed, err := plotter.NewLine(p50)
	if err != nil {
		return err
	}
	solid.Color, dashed.Color = plotutil.Color(index), plotutil.Color(index)
	dashed.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(solid, dashed)
	p.Legend.Add(s.kind+" p99", solid)
	p.Legend.Add(s.kind+" p50", dashed)
	return nil
}

// milliseconds converts d to milliseconds. It returns at least minLatency because a logarithmic axis
// cannot show 0.
func milliseconds(d time.Duration) float64 {
	return float64(max(d, minLatency)) / float64(time.Millisecond)
}
