package scheduler

import (
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// samplesPerOrganisation bounds the samples stored for each organisation.
	samplesPerOrganisation = 64
	// minSamples is the number of finished jobs that an estimate needs. With fewer samples, the
	// declared run time is multiplied by defaultRunTimeFactor.
	minSamples = 8
	// defaultRunTimeFactor is deliberately high: a job that is backfilled into a claimed place
	// and runs too long delays a large gang, whereas a job that is not backfilled only makes
	// one small job wait.
	defaultRunTimeFactor = 4.0
	// conservativeQuantile is the fraction of an organisation's jobs that end within the
	// estimate used to decide whether to backfill a job into a claimed place.
	conservativeQuantile = 0.9
	// maxTrackedOrganisations bounds the memory of the predictor.
	maxTrackedOrganisations = 1024
)

// history contains the latest samples of one organisation, in two ring buffers.
type history struct {
	// ratios are the quotients of actual and declared run time, for jobs that declare a run
	// time.
	ratios []float64
	// seconds are the actual run times.
	seconds     []float64
	nextRatio   int
	nextSeconds int
	// sortedRatios and sortedSeconds are sorted copies, which are discarded when a sample is
	// added.
	sortedRatios  []float64
	sortedSeconds []float64
}

// predictor estimates run times. It learns by organisation how far declared run times are off.
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

// estimateTotal returns the given quantile of the job's estimated total run time, based on
// earlier jobs of its organisation. It returns false if the job declares no run time and there
// are too few samples.
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
	// longest keeps the result within the range of time.Duration.
	const longest = 10 * 365 * 24 * time.Hour
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}

// estimateRemaining returns the estimated run time of a job's present or next run, counted from
// the start of that run: the estimated total less the run time that checkpoints of earlier runs
// have saved. It returns false if there is no estimate.
func (p *predictor) estimateRemaining(job *resource.Job, quantile float64) (time.Duration, bool) {
	total, ok := p.estimateTotal(&job.Spec, quantile)
	if !ok {
		return 0, false
	}
	return max(total-toDuration(job.Status.ConsumedSeconds), 0), true
}

// estimateEnd returns the estimated end of a run. A run that has exceeded its estimate is
// expected to run for another half of its elapsed time plus one second. A run without an
// estimate is expected to run for defaultRunTime in total, but for at least another half of its
// elapsed time.
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
