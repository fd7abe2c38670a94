package measure

import (
	"bufio"
	"flag"
	"fmt"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// capacityOutput is the file with the output of the benchmarks whose metrics are fitted for
// docs/CAPACITY.md.
var capacityOutput = flag.String("capacity-output", "", "fit lines to the metrics in `FILE`, the output of -bench=Capacity -benchtime=1x")

// line is a least-squares line through measured points.
type line struct {
	// slope is the change of the metric per unit of size.
	slope, intercept float64
	// maxResidual is the largest distance, in y direction, of a point from the line.
	maxResidual float64
	points      int
}

func fitLine(x, y []float64) line {
	n := float64(len(x))
	var meanX, meanY, xx, xy float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	for i := range x {
		xx += (x[i] - meanX) * (x[i] - meanX)
		xy += (x[i] - meanX) * (y[i] - meanY)
	}
	l := line{slope: xy / xx, points: len(x)}
	l.intercept = meanY - l.slope*meanX
	for i := range x {
		l.maxResidual = max(l.maxResidual, math.Abs(y[i]-l.intercept-l.slope*x[i]))
	}
	return l
}

// Guards against a wrong slope, intercept or residual in the tables of docs/CAPACITY.md.
func TestFitLine(t *testing.T) {
	l := fitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	require.InDelta(t, 2, l.slope, 1e-9)
	require.InDelta(t, 3, l.intercept, 1e-9)
	require.InDelta(t, 0, l.maxResidual, 1e-9)
	l = fitLine([]float64{0, 1, 2, 3}, []float64{0, 2, 0, 2})
	require.InDelta(t, 0.4, l.slope, 1e-9)
	require.InDelta(t, 0.4, l.intercept, 1e-9)
	require.InDelta(t, 1.2, l.maxResidual, 1e-9)
}

// series contains the points of one metric of one benchmark.
type series struct {
	name string
	x, y []float64
}

var (
	resultLine = regexp.MustCompile(`^(Benchmark\S*?)/(\S+?)-\d+\s+1\s+(.*)$`)
	sizePart   = regexp.MustCompile(`=(\d+)`)
)

// parseSeries returns the metrics in the output of benchmarks. The size of a point is the first
// number after "=" in the name of the sub-benchmark; results without one are
// skipped. Results with an iteration count other than 1 or without the -GOMAXPROCS suffix in their
// name are skipped too.
func parseSeries(text string) []*series {
	var all []*series
	byName := make(map[string]*series)
	scanner := bufio.NewScanner(strings.NewReader(text))
	for scanner.Scan() {
		match := resultLine.FindStringSubmatch(scanner.Text())
		if match == nil || !sizePart.MatchString(match[2]) {
			continue
		}
		x, _ := strconv.ParseFloat(sizePart.FindStringSubmatch(match[2])[1], 64)
		fields := strings.Fields(match[3])
		for i := 0; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				continue
			}
			name := match[1] + "/" + match[2][:strings.Index(match[2], "=")] + " " + fields[i+1]
			if byName[name] == nil {
				byName[name] = &series{name: name}
				all = append(all, byName[name])
			}
			byName[name].x = append(byName[name].x, x)
			byName[name].y = append(byName[name].y, y)
		}
	}
	return all
}

// Guards against metrics that are lost or assigned to the wrong size.
func TestParseSeries(t *testing.T) {
	all := parseSeries("goos: linux\n" +
		"BenchmarkCapacityA/workers=48/tasks=504-10 \t 1\t 99 ns/op\t 2.5 calls/s\n" +
		"BenchmarkCapacityA/workers=200/tasks=2100-10 \t 1\t 98 ns/op\t 3 calls/s\n")
	require.Len(t, all, 2)
	require.Equal(t, &series{name: "BenchmarkCapacityA/workers calls/s", x: []float64{48, 200}, y: []float64{2.5, 3}}, all[1])
}

// TestCapacityFits prints the lines for docs/CAPACITY.md that fit the metrics in the file of
// -capacity-output. It is skipped without the flag.
func TestCapacityFits(t *testing.T) {
	if *capacityOutput == "" {
		t.Skip("-capacity-output is not set")
	}
	data, err := os.ReadFile(*capacityOutput)
	require.NoError(t, err)
	for _, s := range parseSeries(string(data)) {
		l := fitLine(s.x, s.y)
		fmt.Printf("%s: %.5g + %.5g*x, max residual %.3g, %d points\n", s.name, l.intercept, l.slope, l.maxResidual, l.points)
	}
}
