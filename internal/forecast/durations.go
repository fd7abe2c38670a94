package forecast

import (
	"math"
	"time"
)

const (
	// durationMemory is the number of recent units of a queue that count.
	durationMemory = 60
	// minDurations is the number of units that it takes to expect anything of a queue.
	minDurations = 8
	// usefulEstimateError is the error of an estimate, as a part of the work, up to which it is good enough.
	usefulEstimateError = 1.0 / 3
	// minMisestimatedShare is the share of units with a higher error from which on the estimates of a queue are taken to be
	// wrong, endMisestimatedShare the one below which they are good again. The typical error counts, not the
	// variance: 3 in 100 tasks that take seven times as long as usual would make the variance of exact estimates exceed the limit.
	minMisestimatedShare, endMisestimatedShare = 0.5, 0.4
	// maxExpected is the longest time that Expect returns. Estimates may be as long as 30 years, and wrong by any factor.
	maxExpected = 70 * 365 * 24 * time.Hour
	// leastVariance keeps a queue whose work is always the same from overriding every estimate.
	leastVariance = 0.01
)

// Durations learns how long the work of each queue takes and how far its estimates are off. The load that it answers:
// estimates that are wrong by several times, so that a job whose estimate is much too short seems overdue, and is put
// last, while it still has value. The zero value is ready to use.
type Durations struct{ queues map[string]*queueDurations }

// queueDurations has the moments of the logarithms of the work and of work / estimate, with weights that decay.
type queueDurations struct {
	weight             float64
	work, workSquared  float64
	error, errorSquare float64
	// wrong is the weight of the units whose estimates are off by more than usefulEstimateError; misestimated means that
	// they are so many that estimates are corrected.
	wrong        float64
	misestimated bool
}

// EstimateChange says that the estimates of a queue begin or cease to count as wrong, and why.
type EstimateChange struct {
	Misestimated bool
	// Units is the number of recent units that count, Share the share of those with an estimate that is off by more than a third.
	Units, Share float64
	// Bias is the geometric mean of work / estimate, Spread the standard deviation of its logarithm.
	Bias, Spread float64
}

// Add records that a unit of a queue took the given time of work on the typical worker. weight is the part of the unit that
// the figure stands for, 1 for the whole unit. Times that are not positive are ignored. Add reports whether the estimates of the
// queue begin or cease to count as wrong.
func (d *Durations) Add(queue string, estimate, work time.Duration, weight float64) (EstimateChange, bool) {
	if estimate <= 0 || work <= 0 {
		return EstimateChange{}, false
	}
	if d.queues == nil {
		d.queues = make(map[string]*queueDurations)
	}
	q := d.queues[queue]
	if q == nil {
		q = &queueDurations{}
		d.queues[queue] = q
	}
	keep := math.Exp2(-weight / durationMemory)
	x, e := math.Log(work.Seconds()), math.Log(work.Seconds()/estimate.Seconds())
	q.weight = q.weight*keep + weight
	q.work, q.workSquared = q.work*keep+weight*x, q.workSquared*keep+weight*x*x
	q.error, q.errorSquare = q.error*keep+weight*e, q.errorSquare*keep+weight*e*e
	q.wrong *= keep
	if math.Abs(estimate.Seconds()-work.Seconds()) > usefulEstimateError*work.Seconds() {
		q.wrong += weight
	}
	share := minMisestimatedShare
	if q.misestimated {
		share = endMisestimatedShare
	}
	misestimated := q.weight >= minDurations && q.wrong >= share*q.weight
	if misestimated == q.misestimated {
		return EstimateChange{}, false
	}
	q.misestimated = misestimated
	bias, variance := q.errorMoments()
	return EstimateChange{Misestimated: misestimated, Units: q.weight, Share: q.wrong / q.weight, Bias: math.Exp(bias), Spread: math.Sqrt(variance)}, true
}

// errorMoments returns the mean and the variance of the logarithm of work / estimate.
func (q *queueDurations) errorMoments() (mean, variance float64) {
	mean = q.error / q.weight
	return mean, max(leastVariance, q.errorSquare/q.weight-mean*mean)
}

// Misestimated reports whether the estimates of a queue are off by more than a third for most of its recent units.
func (d *Durations) Misestimated(queue string) bool {
	q := d.queues[queue]
	return q != nil && q.misestimated
}

// Expect returns how long work of a queue with the given estimate is expected to take: the estimate itself unless the queue is
// Misestimated, otherwise a mean of the estimate and of the usual work of the
// queue, weighted by how far each of them is off.
func (d *Durations) Expect(queue string, estimate time.Duration) time.Duration {
	q := d.queues[queue]
	if q == nil || !q.misestimated || estimate <= 0 {
		return estimate
	}
	bias, errorVariance := q.errorMoments()
	mean := q.work / q.weight
	variance := max(leastVariance, q.workSquared/q.weight-mean*mean)
	corrected := math.Log(estimate.Seconds()) + bias
	expected := (mean/variance + corrected/errorVariance) / (1/variance + 1/errorVariance)
	return time.Duration(min(math.Exp(expected), maxExpected.Seconds()) * float64(time.Second))
}
