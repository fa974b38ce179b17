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
