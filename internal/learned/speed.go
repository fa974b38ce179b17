// Package learned estimates the speed and the health of workers and the demand of urgent jobs from observations. It reads
// no clock: callers pass times and durations.
package learned

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the minimum weight of a new sample, from 0 to 1. Declared estimates are imprecise, so samples are
	// averaged, but a worker may become slow, so old samples must lose their weight.
	minSampleWeight = 0.25
	// minSpeed and maxSpeed limit the value of a sample.
	minSpeed = 0.05
	maxSpeed = 8.0
	// restoredSamples is the number of samples that a restored speed counts as.
	restoredSamples = 3
)

// Speed estimates how fast a worker is, relative to the declared estimates of its tasks, as a weighted geometric mean of
// samples. A worker of speed 2 needs half the estimate. The zero value is a worker of unknown speed.
type Speed struct {
	logMean float64
	samples int
}

// RestoredSpeed returns a speed that an earlier owner recorded; value must be positive.
func RestoredSpeed(value float64) Speed {
	return Speed{logMean: math.Log(value), samples: restoredSamples}
}

// Value returns the speed, 1 if there are no samples.
func (s *Speed) Value() float64 { return math.Exp(s.logMean) }

// Samples returns the number of samples, including those that a restored speed counts as.
func (s *Speed) Samples() int { return s.samples }

// AddSample adds the observation that a share (0 to 1) of a task with the given estimate took the time elapsed.
func (s *Speed) AddSample(share float64, estimate, elapsed time.Duration) {
	if share <= 0 || estimate <= 0 || elapsed <= 0 {
		return
	}
	sample := share * float64(estimate) / float64(elapsed)
	s.samples++
	weight := max(minSampleWeight, 1/float64(s.samples))
	s.logMean += weight * (math.Log(min(max(sample, minSpeed), maxSpeed)) - s.logMean)
}
