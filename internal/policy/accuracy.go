package policy

import "math"

// Quantiles of the ratio of real to declared run times, in percent.
const (
	// typical is used for the order of jobs.
	typical = 50
	// cautious is used where a job that runs longer would delay another one.
	cautious = 80
)

const (
	// ratioBuckets cover ratios from 1/32 to 32 in half powers of two.
	ratioBuckets = 21
	ratioMiddle  = ratioBuckets / 2
	// ratioMemory is the number of runs after which old ones count half.
	ratioMemory = 128
	// ratioPrior is how many runs of ratio 1 are assumed before any was seen.
	ratioPrior = 4
)

// accuracy is what was seen of one account's declared run times.
type accuracy struct {
	counts [ratioBuckets]int
	total  int
}

// note adds a finished job with its real and declared run times at speed 1000, milliseconds.
func (a *accuracy) note(real, declared int64) {
	if real <= 0 || declared <= 0 {
		return
	}
	bucket := ratioMiddle + int(math.Round(2*math.Log2(float64(real)/float64(declared))))
	a.counts[min(max(bucket, 0), ratioBuckets-1)]++
	a.total++
	if a.total < ratioMemory {
		return
	}
	a.total = 0
	for i := range a.counts {
		a.counts[i] /= 2
		a.total += a.counts[i]
	}
}

// expect returns the quantile, in percent, of the real run time of a job with the declared one.
func (a *accuracy) expect(declared int64, percent int) int64 {
	return a.expectBeyond(declared, 0, percent)
}

// expectBeyond is expect for a job that has run for the elapsed time already; it is never below it.
func (a *accuracy) expectBeyond(declared, elapsed int64, percent int) int64 {
	first := 0
	for first < ratioBuckets && scale(declared, first) <= elapsed {
		first++
	}
	if first == ratioBuckets {
		return elapsed + elapsed/2
	}
	total := 0
	for bucket := first; bucket < ratioBuckets; bucket++ {
		total += a.count(bucket)
	}
	if total == 0 {
		return scale(declared, first)
	}
	seen := 0
	for bucket := first; bucket < ratioBuckets; bucket++ {
		seen += a.count(bucket)
		if seen*100 >= total*percent {
			return scale(declared, bucket)
		}
	}
	return scale(declared, ratioBuckets-1)
}

func (a *accuracy) count(bucket int) int {
	if bucket == ratioMiddle {
		return a.counts[bucket] + ratioPrior
	}
	return a.counts[bucket]
}

var ratios = func() (r [ratioBuckets]float64) {
	for i := range r {
		r[i] = math.Pow(2, float64(i-ratioMiddle)/2)
	}
	return r
}()

func scale(declared int64, bucket int) int64 {
	return int64(float64(declared) * ratios[bucket])
}
