// Package learned estimates the speed and the health of workers and the demand of urgent jobs from observations. It reads
// no clock: callers pass times and durations.
package learned

import (
	"math"
	"slices"
	"time"
)

// All speeds, rates and factors of estimates are natural logarithms in this file, unless said otherwise.
const (
	// speedVariance is the variance of the speeds of workers of which nothing is known: a standard deviation of 0.4, as of speeds from
	// 0.45 to 2.2.
	speedVariance = 0.4 * 0.4
	// restoredVariance is the variance of a speed that an earlier owner recorded.
	restoredVariance = 0.1 * 0.1
	// speedDrift is the variance by which a speed becomes more uncertain in a second, so that old samples lose their weight: a standard
	// deviation of 0.03 in two minutes. It is small because speeds change seldom, and then by much, which surpriseDeviations detects.
	speedDrift = 0.03 * 0.03 / 120
	// A sample that deviates by more than surpriseDeviations standard deviations shows that the worker has changed. Its speed then has the
	// variance changedVariance, so that the next samples count more than the earlier ones.
	surpriseDeviations = 3.0
	changedVariance    = 0.5 * 0.5
	// maxInnovation limits the deviation of a sample from what was expected: a factor of 20.
	maxInnovation = 3.0
	// minSpeed and maxSpeed limit speeds.
	minSpeed = 0.05
	maxSpeed = 8.0
	// laterSampleWeight is the weight of a task's samples after the first one, for a whole task. The first one counts as a whole task: the
	// deviation of a task shows from its start. The later ones show a worker that becomes slow.
	laterSampleWeight = 0.25
	// progressError is the standard deviation of a reported progress, which is in whole percent.
	progressError = 0.004
	// timingError is the standard deviation of the observed time that a part of a task took, in seconds.
	timingError = 0.03
	// defaultSpread is the variance of the durations of a step's tasks at the same speed, and spreadWeight the weight of a task in the
	// average of what was observed.
	defaultSpread = 0.15 * 0.15
	minVariance   = 0.05 * 0.05
	maxVariance   = 0.7 * 0.7
	spreadWeight  = 1.0 / 200
	// defaultEstimateVariance is the variance of the error of declared estimates, and estimateWeight the weight of a step in the averages
	// of what was observed.
	defaultEstimateVariance = 0.7 * 0.7
	minEstimateVariance     = 0.15 * 0.15
	maxEstimateVariance     = 1.5 * 1.5
	estimateWeight          = 1.0 / 50
	// maxTypicalDeviation limits the weight of unusually slow or fast workers in the typical speed.
	maxTypicalDeviation = 0.5
	// maxRecentering limits by how much one call of Recenter changes the scale.
	maxRecentering = 0.02
)

// Speed estimates how fast a worker is, relative to the typical worker: one of speed 2 needs half the time. The zero value is a
// worker of unknown speed, which counts as typical.
type Speed struct {
	log, variance float64
	samples       int
	// sampledAt is when the latest sample was added.
	sampledAt time.Time
}

// RestoredSpeed returns a speed that an earlier owner recorded; value must be positive.
func RestoredSpeed(value float64) Speed {
	return Speed{log: math.Log(min(max(value, minSpeed), maxSpeed)), variance: restoredVariance, samples: 1}
}

// Value returns the speed, 1 if there are no samples.
func (s *Speed) Value() float64 { return math.Exp(s.log) }

// Samples returns the number of samples; a restored speed counts as one.
func (s *Speed) Samples() int { return s.samples }

// Deviation returns the standard deviation of the natural logarithm of the speed.
func (s *Speed) Deviation() float64 {
	if s.samples == 0 {
		return math.Sqrt(speedVariance)
	}
	return math.Sqrt(s.variance)
}

// age increases the variance of a speed by the drift since its latest sample.
func (s *Speed) age(now time.Time) {
	switch {
	case s.samples == 0:
		s.variance = speedVariance
	case !s.sampledAt.IsZero() && s.variance < speedVariance:
		s.variance = min(speedVariance, s.variance+speedDrift*max(0, now.Sub(s.sampledAt).Seconds()))
	}
	s.sampledAt = now
}

// information is a sum of samples weighted by the inverse of their variances.
type information struct{ precision, sum float64 }

func (i *information) add(value, precision float64) {
	i.precision += precision
	i.sum += precision * value
}

// StepRate accumulates at what rate the tasks of a step progress on a worker of speed 1. The zero value has no samples.
type StepRate struct{ all information }

// TaskRate is the part that a task has in the rate of its step. The zero value has no samples.
type TaskRate struct{ own information }

// SpeedSample is the observation that a part of a task took some time.
type SpeedSample struct {
	At time.Time
	// Share is the part of the task, from 0 to 1, and Elapsed the time that it took.
	Share   float64
	Elapsed time.Duration
	// Estimate is the declared duration of the whole task; 0 if unknown.
	Estimate time.Duration
	// Workers is the number of workers that run the task: a gang progresses as its slowest member does, and which one that is gets less
	// certain with their number.
	Workers int
}

// Speeds learns the speeds of workers. It compares each task with the other tasks of its step, which differ little, and with its
// declared estimate as far as estimates have proved right. The zero value has observed nothing.
type Speeds struct {
	// spread is the variance of the durations of a step's tasks at the same speed, relative to defaultSpread and 0 until observed;
	// estimateBias and estimateVariance describe the rate of steps relative to that of their estimates.
	spread, estimateBias, estimateVariance float64
}

func (f *Speeds) init() {
	if f.spread == 0 {
		f.spread, f.estimateVariance = defaultSpread, defaultEstimateVariance
	}
}

// AddSample adds a sample of a task. The speed is that of the worker that runs the task, or of the slowest of them.
//
// The rate of a task has three unknowns: the rate of its step at speed 1, the speed of the worker, and the deviation of the task.
// Each is estimated from the sample by the inverse of its variance while the others are held at their estimates. A whole task
// counts once, however many samples it gives, because its deviation is the same in all of them.
func (f *Speeds) AddSample(speed *Speed, step *StepRate, task *TaskRate, sample SpeedSample) {
	if sample.Share <= 0 || sample.Elapsed <= 0 {
		return
	}
	f.init()
	speed.age(sample.At)
	rate := math.Log(sample.Share / sample.Elapsed.Seconds())
	late, rounded := timingError/sample.Elapsed.Seconds(), progressError/sample.Share
	timing := late*late + rounded*rounded
	weight := 1.0
	if task.own.precision > 0 {
		weight = laterSampleWeight * sample.Share
	}
	spread := f.spread * float64(max(1, sample.Workers))
	speedBefore := speed.log
	others := information{step.all.precision - task.own.precision, step.all.sum - task.own.sum}
	if sample.Estimate > 0 {
		others.add(f.estimateBias-math.Log(sample.Estimate.Seconds()), 1/f.estimateVariance)
	}
	if others.precision > 0 {
		uncertainty := 1 / others.precision
		innovation := rate - others.sum/others.precision - speed.log
		innovation = min(max(innovation, -maxInnovation), maxInnovation)
		expected := spread + uncertainty + timing + speed.variance
		if innovation*innovation > surpriseDeviations*surpriseDeviations*expected {
			speed.variance = max(speed.variance, changedVariance)
		} else if task.own.precision == 0 && uncertainty < f.spread/2 && speed.variance < f.spread/2 && sample.Workers <= 1 {
			f.learnSpread(innovation*innovation - uncertainty - speed.variance - timing)
		}
		gain := speed.variance / (speed.variance + (spread+uncertainty)/weight + timing)
		speed.log = min(max(speed.log+gain*innovation, math.Log(minSpeed)), math.Log(maxSpeed))
		speed.variance *= 1 - gain
		speed.samples++
	}
	precision := weight / (spread + timing + speed.variance)
	if sample.Estimate > 0 {
		f.learnEstimates(rate-speedBefore+math.Log(sample.Estimate.Seconds()), sample.Share/(1+step.all.precision*f.spread))
	}
	task.own.add(rate-speedBefore, precision)
	step.all.add(rate-speedBefore, precision)
}

// Slowest returns the lowest of the speeds of the workers that run a task, and the number of different workers.
func Slowest(speeds []*Speed) (*Speed, int) {
	lowest, workers := speeds[0], map[*Speed]bool{}
	for _, speed := range speeds {
		workers[speed] = true
		if speed.log < lowest.log {
			lowest = speed
		}
	}
	return lowest, len(workers)
}

// learnSpread adds an observed variance of the durations of a step's tasks.
func (f *Speeds) learnSpread(variance float64) {
	f.spread += spreadWeight * (min(variance, surpriseDeviations*surpriseDeviations*f.spread) - f.spread)
	f.spread = min(max(f.spread, minVariance), maxVariance)
}

// learnEstimates adds the observation that a task progressed faster than its estimate by the given factor.
func (f *Speeds) learnEstimates(factor, share float64) {
	deviation := min(max(factor-f.estimateBias, -maxInnovation), maxInnovation)
	weight := estimateWeight * share
	f.estimateBias += weight * deviation
	f.estimateVariance += weight * (deviation*deviation - f.estimateVariance)
	f.estimateVariance = min(max(f.estimateVariance, minEstimateVariance), maxEstimateVariance)
}

// Recenter moves the scale towards a typical speed of 1, so that it doesn't drift. The typical speed is between the mean and the
// median: workers far from it count with a limited deviation only. Unlike the median, it doesn't jump when workers of two speeds
// are about equally numerous. The scale moves slowly, so that a failure of many workers for some seconds hardly changes it.
func (f *Speeds) Recenter(speeds []*Speed) {
	known := slices.DeleteFunc(slices.Clone(speeds), func(s *Speed) bool { return s.samples == 0 })
	if len(known) == 0 {
		return
	}
	const iterations = 20
	typical := 0.0
	for range iterations {
		sum := 0.0
		for _, s := range known {
			sum += min(max(s.log-typical, -maxTypicalDeviation), maxTypicalDeviation)
		}
		typical += sum / float64(len(known))
	}
	shift := min(max(typical, -maxRecentering), maxRecentering)
	for _, s := range known {
		s.log -= shift
	}
	f.estimateBias += shift
}
