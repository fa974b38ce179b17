package assign

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

const (
	// similarSpeedRatio is the maximum ratio of the speeds of two workers that count as equally fast. It is half the distance of 1 and
	// 1.25, as learned speeds have errors of some per cent, and those of workers of which little is known are near 1.
	similarSpeedRatio = 1.12
	// mixedSpeedRatio is the same for a gang that no workers of similar speed hold.
	mixedSpeedRatio = 1.35
)

// preferredSpeed returns the worker speed that a unit should get: that with which its job ends by its objective. If even the fastest
// worker is too slow for that, it is infinite for a unit of priority 0 and while the pool is idle. Otherwise such a unit leaves the fast
// workers to units that can still end in time, and should get the speed with which its job earns part of its credit, or none.
func (s *planState) preferredSpeed(unit *Unit) float64 {
	margin, pool := unit.margin(), s.poolOf(unit)
	if unit.Priority == 0 {
		// There is room for a run that fails then.
		margin = max(margin, estimateMargin)
	}
	speed := speedToEndBy(unit, margin, unit.Objective, s.Now)
	if unit.Priority == 0 || pool.idle || !pool.isHopeless(speed, margin) {
		return speed
	}
	if late := speedToEndBy(unit, margin, unit.LateUntil, s.Now); !pool.isHopeless(late, margin) {
		return late
	}
	return 0
}

// isHopeless reports whether a unit that requires a speed, which allows for a margin, would be too slow on the fastest worker even if its
// expected duration were as much too long.
func (p *pool) isHopeless(speed, margin float64) bool {
	return len(p.workers) > 0 && speed > margin*margin*p.workers[0].Speed
}

// chooseSpeedGroup returns candidates of similar speed that hold all members, which all candidates do together. They have at least
// minSpeed, or, if too few have, about the highest speed that the slowest member can have. Among such groups it prefers the slowest,
// because units without slack need the fast workers. If there are none of similar speed, it returns others that are at least as fast. The
// candidates must be sorted by increasing speed.
func chooseSpeedGroup(candidates []candidate, members int, minSpeed float64) []candidate {
	attainable := fastest(candidates, members)[0].worker.Speed
	if minSpeed > attainable {
		minSpeed = attainable / similarSpeedRatio
	}
	first := sort.Search(len(candidates), func(i int) bool { return candidates[i].worker.Speed >= minSpeed })
	candidates = candidates[first:]
	for _, ratio := range []float64{similarSpeedRatio, mixedSpeedRatio} {
		if group := firstGroup(candidates, members, ratio); group != nil {
			return group
		}
	}
	total := 0
	for i := range candidates {
		if total += candidates[i].count; total >= members {
			return candidates[:i+1]
		}
	}
	return candidates
}

// firstGroup returns the slowest candidates that hold all members and whose speeds differ by at most the ratio; nil if none do.
func firstGroup(candidates []candidate, members int, ratio float64) []candidate {
	held, end := 0, 0
	for first := range candidates {
		for end < len(candidates) && candidates[end].worker.Speed <= ratio*candidates[first].worker.Speed {
			held += candidates[end].count
			end++
		}
		if held >= members {
			return candidates[first:end]
		}
		held -= candidates[first].count
	}
	return nil
}

// fastest returns the trailing candidates, sorted by increasing speed, that hold all members.
func fastest(candidates []candidate, members int) []candidate {
	total := 0
	for first := len(candidates) - 1; first > 0; first-- {
		if total += candidates[first].count; total >= members {
			return candidates[first:]
		}
	}
	return candidates
}

// speedClass returns a number that is the same for workers of similar speed and grows with the speed.
func speedClass(speed float64) int {
	return int(math.Round(math.Log(speed) / (2 * math.Log(similarSpeedRatio))))
}

// fit is how well a unit fits on a worker.
type fit struct {
	// untouched is true if the worker runs nothing, and leftover measures what a member leaves free on it: the sum of the squares of the
	// shares of its resources.
	untouched bool
	leftover  float64
}

// fitOf returns how a member of a unit that needs the resources fits on a worker with the given resources available.
func fitOf(worker *Worker, available, need Resources) fit {
	left := available.Sub(need)
	share := func(amount, capacity int) float64 {
		if capacity <= 0 {
			return 0
		}
		part := float64(amount) / float64(capacity)
		return part * part
	}
	return fit{
		untouched: available == worker.Capacity,
		leftover: share(left.Accelerators, worker.Capacity.Accelerators) + share(left.CPU, worker.Capacity.CPU) +
			share(left.Memory, worker.Capacity.Memory),
	}
}

// compareFit compares two candidates: workers that run something come first, then the tighter fit over all resources. Of equal ones the
// faster comes first if preferFast is set, otherwise the slower.
func compareFit(preferFast bool) func(a, b candidate) int {
	sign := 1
	if preferFast {
		sign = -1
	}
	return func(a, b candidate) int {
		if a.fit.untouched != b.fit.untouched {
			if b.fit.untouched {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.fit.leftover, b.fit.leftover),
			sign*cmp.Compare(a.worker.Speed, b.worker.Speed),
			cmp.Compare(a.worker.ID, b.worker.ID),
		)
	}
}

// bySpeed returns the workers by decreasing speed. It sets their speedClass.
func bySpeed(workers []Worker) []*Worker {
	sorted := make([]*Worker, len(workers))
	for i := range workers {
		sorted[i] = &workers[i]
		sorted[i].speedClass = speedClass(workers[i].Speed)
	}
	slices.SortStableFunc(sorted, func(a, b *Worker) int { return cmp.Compare(b.Speed, a.Speed) })
	return sorted
}
