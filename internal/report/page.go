package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of each chart on the page.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>oleanderbend: report</title>
<style>body{font-family:sans-serif;margin:2em}svg{max-width:100%;height:auto}td{padding:0 1em 0 0;vertical-align:top;white-space:nowrap}</style></head>
<body><h1>Report from {{.Start}}</h1>
<p>Spans of {{.Interval}}. Lines that are no events: {{.Unreadable}}.</p>
{{range .Charts}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}<h2>Changes</h2>
<table>
{{range .Changes}}<tr><td>{{.Seconds}} s</td><td>{{.Instance}}</td><td>{{.Message}}</td><td>{{.Text}}</td></tr>
{{end}}</table>
{{if .Omitted}}<p>{{.Omitted}} later changes are not shown.</p>{{end}}
</body></html>
`))

type pageChart struct {
	Title string
	SVG   template.HTML
}

type pageChange struct {
	Seconds, Instance, Message, Text string
}

// WriteHTML writes the page as one self-contained file with the charts as inline SVG.
func (t *Timeline) WriteHTML(out io.Writer) error {
	data := struct {
		Start      string
		Interval   time.Duration
		Unreadable int
		Charts     []pageChart
		Changes    []pageChange
		Omitted    int
	}{Start: t.Start.Format(time.RFC3339), Interval: t.Interval, Unreadable: t.Unreadable, Omitted: t.Omitted}
	for i := range t.Charts {
		svg, err := t.draw(&t.Charts[i])
		if err != nil {
			return err
		}
		data.Charts = append(data.Charts, pageChart{Title: t.Charts[i].Title, SVG: svg})
	}
	for i := range t.Changes {
		e := &t.Changes[i]
		data.Changes = append(data.Changes, pageChange{
			Seconds: fmt.Sprintf("%.3f", e.At.Sub(t.Start).Seconds()), Instance: e.Instance, Message: e.Message, Text: e.Describe(),
		})
	}
	return eris.Wrap(page.Execute(out, data), "write report")
}

// draw renders a chart as an SVG element.
func (t *Timeline) draw(c *Chart) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "time [s]"
	p.Y.Label.Text = c.Unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range c.Series {
		points := make(plotter.XYs, len(s.Values))
		for n, value := range s.Values {
			points[n] = plotter.XY{X: (time.Duration(n) * t.Interval).Seconds(), Y: value}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", eris.Wrapf(err, "draw %s", c.Title)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	writer, err := p.WriterTo(chartWidth, chartHeight, "svg")
	if err != nil {
		return "", eris.Wrapf(err, "draw %s", c.Title)
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", eris.Wrapf(err, "draw %s", c.Title)
	}
	// Cut off the declarations of an SVG file in front of the element. The conversion to template.HTML is
	// safe because all text in the element comes from constants of this package.
	_, element, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(element)), nil
}
