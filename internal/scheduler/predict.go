package scheduler

import (
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// samplesPerOrganisation bounds what is remembered of each organisation.
	samplesPerOrganisation = 64
	// minSamples is how many finished jobs an estimate needs. With fewer, the declared time is
	// multiplied by unlearnedFactor.
	minSamples = 8
	// defaultRunTimeFactor is deliberately high: a start in a reserved place that runs too long
	// delays a large gang, a start that is not made costs one small job some wait.
	defaultRunTimeFactor = 4.0
	// conservativeQuantile is the share of an organisation's jobs that end within an estimate used
	// to start a job in a reserved place.
	conservativeQuantile = 0.9
	// maxTrackedOrganisations bounds the memory of the predictor.
	maxTrackedOrganisations = 1024
)

// history has the newest samples of one organisation.
type history struct {
	// ratios are real over declared run times, of jobs with a declared time.
	ratios []float64
	// seconds are real run times.
	seconds     []float64
	nextRatio   int
	nextSeconds int
	// sorted copies are rebuilt after a new sample.
	sortedRatios  []float64
	sortedSeconds []float64
}

// predictor learns how far declared run times are off, by organisation.
type predictor struct {
	byOrg map[string]*history
}

func newPredictor() *predictor { return &predictor{byOrg: make(map[string]*history)} }

func (p *predictor) observe(spec *resource.JobSpec, ran time.Duration) {
	h := p.byOrg[spec.Organisation]
	if h == nil {
		if len(p.byOrg) >= maxTrackedOrganisations {
			return
		}
		h = &history{}
		p.byOrg[spec.Organisation] = h
	}
	seconds := max(ran.Seconds(), 0)
	h.seconds, h.nextSeconds = addSample(h.seconds, h.nextSeconds, seconds)
	h.sortedSeconds = nil
	if spec.DeclaredSeconds > 0 {
		h.ratios, h.nextRatio = addSample(h.ratios, h.nextRatio, seconds/spec.DeclaredSeconds)
		h.sortedRatios = nil
	}
}

func addSample(samples []float64, next int, value float64) ([]float64, int) {
	if len(samples) < samplesPerOrganisation {
		return append(samples, value), next
	}
	samples[next] = value
	return samples, (next + 1) % samplesPerOrganisation
}

// estimateTotal estimates the whole run time of a job at a quantile of what its organisation's jobs
// took. It reports false if nothing is known.
func (p *predictor) estimateTotal(spec *resource.JobSpec, quantile float64) (time.Duration, bool) {
	h := p.byOrg[spec.Organisation]
	if spec.DeclaredSeconds > 0 {
		factor := defaultRunTimeFactor
		if h != nil && len(h.ratios) >= minSamples {
			if h.sortedRatios == nil {
				h.sortedRatios = slices.Sorted(slices.Values(h.ratios))
			}
			factor = quantileOf(h.sortedRatios, quantile)
		}
		return toDuration(spec.DeclaredSeconds * factor), true
	}
	if h == nil || len(h.seconds) < minSamples {
		return 0, false
	}
	if h.sortedSeconds == nil {
		h.sortedSeconds = slices.Sorted(slices.Values(h.seconds))
	}
	return toDuration(quantileOf(h.sortedSeconds, quantile)), true
}

func quantileOf(sorted []float64, quantile float64) float64 {
	i := int(quantile * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

func toDuration(s float64) time.Duration {
	const longest = 10 * 365 * 24 * time.Hour
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}

// estimateRemaining estimates how long a job will run from its start or its last checkpoint.
func (p *predictor) estimateRemaining(job *resource.Job, quantile float64) (time.Duration, bool) {
	total, ok := p.estimateTotal(&job.Spec, quantile)
	if !ok {
		return 0, false
	}
	return max(total-toDuration(job.Status.ConsumedSeconds), 0), true
}

// estimateEnd estimates when a run ends. A run that has outlived its estimate is expected to take half
// as long again as it has taken.
func (p *predictor) estimateEnd(now time.Time, r *run) time.Time {
	const defaultRunTime = 24 * time.Hour
	elapsed := max(now.Sub(r.startedAt), 0)
	left, ok := p.estimateRemaining(r.job, 0.5)
	if !ok {
		return now.Add(max(defaultRunTime-elapsed, elapsed/2))
	}
	if left > elapsed {
		return r.startedAt.Add(left)
	}
	return now.Add(elapsed/2 + time.Second)
}
