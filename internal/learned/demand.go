package learned

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the moving average: a few times the duration of an urgent job.
	demandTimeConstant = 15 * time.Second
	// demandDeviations is the number of standard deviations above the mean that cover the demand most of the time.
	demandDeviations = 1.0
)

// Demand estimates the cores that urgent jobs use or wait for, as an exponential moving average and its deviation. The zero
// value is no demand.
type Demand struct {
	mean, meanSquare float64
	// observed is the time that was observed so far.
	observed time.Duration
}

// Observe adds the observation that the demand was the given number of cores for the time span. Until demandTimeConstant has been
// observed, all observations have the same weight: what is not known yet is no demand of 0.
func (d *Demand) Observe(cores float64, span time.Duration) {
	d.observed += span
	weight := max(-math.Expm1(-float64(span)/float64(demandTimeConstant)), float64(span)/float64(d.observed))
	d.mean += weight * (cores - d.mean)
	d.meanSquare += weight * (cores*cores - d.meanSquare)
}

// UpperEstimate returns a number of cores that covers the demand most of the time.
func (d *Demand) UpperEstimate() float64 {
	return d.mean + demandDeviations*math.Sqrt(max(0, d.meanSquare-d.mean*d.mean))
}

// Shapes estimates the demand of urgent jobs by what their tasks need of a worker: all of it, or a part. The zero value is no demand.
type Shapes struct {
	whole, parts Demand
	// rackWidth is the largest number of whole workers that a unit has needed in one rack, which decays with demandTimeConstant.
	rackWidth float64
}

// minWholeWorkers is the estimate of the demand for whole workers below which none is kept, and by which the estimate may exceed the number
// that is kept.
const minWholeWorkers = 0.25

// Observe adds the observation that the demand was the given numbers of whole workers, and of cores for tasks that need part of a worker,
// for the time span; rackWidth is the largest number of whole workers that one unit needed in one rack.
func (s *Shapes) Observe(whole, parts, rackWidth float64, span time.Duration) {
	s.whole.Observe(whole, span)
	s.parts.Observe(parts, span)
	s.rackWidth = max(rackWidth, s.rackWidth*math.Exp(-float64(span)/float64(demandTimeConstant)))
}

// WholeWorkers returns a number of whole workers that covers the demand most of the time.
func (s *Shapes) WholeWorkers() int {
	return max(0, int(math.Ceil(s.whole.UpperEstimate()-minWholeWorkers)))
}

// RackWidth returns how many of them should be in one rack.
func (s *Shapes) RackWidth() int { return int(math.Round(s.rackWidth)) }

// PartCores returns a number of cores that covers the demand of tasks that need part of a worker most of the time.
func (s *Shapes) PartCores() float64 { return s.parts.UpperEstimate() }
