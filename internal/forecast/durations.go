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
	// usefulEstimateError is the standard deviation of the logarithm of work / estimate up to which estimates are taken as they
	// are. It corresponds to errors of about a third.
	usefulEstimateError = 0.35
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
}

// Add records that a unit of a queue took the given time of work on the typical worker. weight is the part of the unit that
// the figure stands for, 1 for the whole unit. Times that are not positive are ignored.
func (d *Durations) Add(queue string, estimate, work time.Duration, weight float64) {
	if estimate <= 0 || work <= 0 {
		return
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
}

// Expect returns how long work of a queue with the given estimate is expected to take: the estimate itself if estimates of
// the queue are good enough or little is known of it, otherwise a mean of the estimate and of the usual work of the
// queue, weighted by how far each of them is off.
func (d *Durations) Expect(queue string, estimate time.Duration) time.Duration {
	q := d.queues[queue]
	if q == nil || q.weight < minDurations || estimate <= 0 {
		return estimate
	}
	bias := q.error / q.weight
	errorVariance := max(leastVariance, q.errorSquare/q.weight-bias*bias)
	if math.Sqrt(errorVariance) < usefulEstimateError {
		return estimate
	}
	mean := q.work / q.weight
	variance := max(leastVariance, q.workSquared/q.weight-mean*mean)
	corrected := math.Log(estimate.Seconds()) + bias
	expected := (mean/variance + corrected/errorVariance) / (1/variance + 1/errorVariance)
	return time.Duration(math.Exp(expected) * float64(time.Second))
}
