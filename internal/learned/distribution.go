package learned

import (
	"math"
	"time"
)

const (
	// highQuantile is the quantile that Distribution.High returns, and highDeviations its distance from the median in standard deviations.
	highQuantile   = 0.9
	highDeviations = 1.2815515655446004
	// farTail is the number of standard deviations above the median from which on the tail of the normal distribution is approximated by
	// an exponential one, because its quantiles can't be computed from its probability any more.
	farTail = 5.0
)

// Distribution is a log-normal distribution of a duration.
type Distribution struct {
	Median time.Duration
	// Spread is the standard deviation of the logarithm.
	Spread float64
}

// High returns the duration that is not exceeded with a probability of 90%.
func (d Distribution) High() time.Duration {
	return scale(d.Median, math.Exp(highDeviations*d.Spread))
}

// Remaining returns the median and the 90th percentile of the time that is left of a duration that exceeds elapsed. They are positive
// unless the median is 0.
func (d Distribution) Remaining(elapsed time.Duration) (median, high time.Duration) {
	if d.Median <= 0 || d.Spread <= 0 {
		return max(0, d.Median-elapsed), max(0, d.Median-elapsed)
	}
	if elapsed <= 0 {
		return d.Median, d.High()
	}
	return max(time.Millisecond, d.beyond(elapsed, 1-0.5)-elapsed), max(time.Millisecond, d.beyond(elapsed, 1-highQuantile)-elapsed)
}

// beyond returns the duration that is exceeded with the probability share by those that exceed elapsed.
func (d Distribution) beyond(elapsed time.Duration, share float64) time.Duration {
	deviations := math.Log(float64(elapsed)/float64(d.Median)) / d.Spread
	if deviations > farTail {
		return scale(elapsed, math.Exp(-math.Log(share)*d.Spread/deviations))
	}
	tail := math.Erfc(deviations/math.Sqrt2) / 2
	return scale(d.Median, math.Exp(d.Spread*math.Sqrt2*math.Erfcinv(2*share*tail)))
}

// meanExcess returns by how much the logarithm of a duration that exceeds elapsed is above that of the median, on average.
func (d Distribution) meanExcess(elapsed time.Duration) float64 {
	deviations := math.Log(float64(elapsed)/float64(d.Median)) / d.Spread
	if deviations > farTail {
		return d.Spread * (deviations + 1/deviations)
	}
	density := math.Exp(-deviations*deviations/2) / math.Sqrt(2*math.Pi)
	return d.Spread * density / (math.Erfc(deviations/math.Sqrt2) / 2)
}

// maxDuration limits what is learned and predicted, so that no product overflows.
const maxDuration = 30 * 24 * time.Hour

// scale returns a duration multiplied by a positive factor.
func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(duration)*factor, float64(maxDuration)))
}
