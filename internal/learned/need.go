package learned

import (
	"math"
	"time"
)

const (
	// needMemory is the time over which the need of urgent jobs is averaged: some times the length of such a job.
	needMemory = 15 * time.Second
	// needSpread is how many standard deviations above the mean suffice at most times.
	needSpread = 1.0
)

// Demand is the cores that urgent jobs use or wait for, averaged over time.
type Demand struct {
	mean, square float64
}

// Observe takes in that the need was some cores for a time.
func (n *Demand) Observe(cores float64, span time.Duration) {
	share := -math.Expm1(-float64(span) / float64(needMemory))
	n.mean += share * (cores - n.mean)
	n.square += share * (cores*cores - n.square)
}

// UpperEstimate is what suffices at most times.
func (n *Demand) UpperEstimate() float64 {
	return n.mean + needSpread*math.Sqrt(max(0, n.square-n.mean*n.mean))
}
