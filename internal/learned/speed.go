// Package learned holds what an owner learns from what it sees: how fast workers are, whether they fail what they start,
// and how much urgent jobs need. It is pure: the caller says what the time is.
package learned

import (
	"math"
	"time"
)

const (
	// leastWeight is the weight of a new sample once there are some: estimates are rough, and a worker may turn slow.
	leastWeight = 0.25
	// leastSpeed and mostSpeed bound a sample.
	leastSpeed = 0.05
	mostSpeed  = 8.0
	// inherited is how many samples a speed that an earlier owner learned counts as.
	inherited = 3
)

// Speed is how fast a worker works, relative to the estimates that callers declare; the geometric mean of samples.
type Speed struct {
	log     float64
	samples int
}

// RestoredSpeed is a speed that an earlier owner learned.
func RestoredSpeed(value float64) Speed { return Speed{log: math.Log(value), samples: inherited} }

// Value is the speed; 1 as long as nothing is known.
func (s *Speed) Value() float64 { return math.Exp(s.log) }

// Samples is how many samples the speed rests on.
func (s *Speed) Samples() int { return s.samples }

// AddSample takes in that a share of a task that was estimated at some time took as long as it did.
func (s *Speed) AddSample(share float64, estimate, took time.Duration) {
	sample := share * float64(estimate) / float64(took)
	s.samples++
	weight := max(leastWeight, 1/float64(s.samples))
	s.log += weight * (math.Log(min(max(sample, leastSpeed), mostSpeed)) - s.log)
}
