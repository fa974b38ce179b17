package learned

import "time"

const (
	// latencyWeight and deviationWeight are the weights of a new sample in the moving averages of the latency and of its deviation,
	// as for retransmissions in RFC 6298.
	latencyWeight   = 0.125
	deviationWeight = 0.25
	// A timeout allows timeoutFactor times the mean and timeoutDeviations deviations.
	timeoutFactor     = 2
	timeoutDeviations = 4
)

// Latency estimates how long calls take to be answered. The zero value has no samples.
type Latency struct {
	mean, deviation float64
	known           bool
}

// Observe adds the latency of an answered call.
func (l *Latency) Observe(latency time.Duration) {
	sample := float64(latency)
	if !l.known {
		l.mean, l.deviation, l.known = sample, sample/2, true
		return
	}
	l.deviation += deviationWeight * (max(sample-l.mean, l.mean-sample) - l.deviation)
	l.mean += latencyWeight * (sample - l.mean)
}

// Timeout returns how long to wait for an answer: between lowest and highest, and highest without samples.
func (l *Latency) Timeout(lowest, highest time.Duration) time.Duration {
	if !l.known {
		return highest
	}
	return min(max(time.Duration(timeoutFactor*l.mean+timeoutDeviations*l.deviation), lowest), highest)
}
