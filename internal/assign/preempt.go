package assign

import (
	"math"
	"math/bits"
	"time"
)

const (
	// settleDuration is how long a run isn't preempted for units that waited already when it was placed: the plan that placed it decided
	// on them. It is well above the time between two plans.
	settleDuration = time.Second
	// maxPreemptions is how often a unit is preempted, except for claims.
	maxPreemptions = 2
	// maxClaimRackWait is how long after its job was due a unit with a claim waits for a rack: it has to begin within 2.9 s, and away from a
	// rack it takes three times as long.
	maxClaimRackWait = 1200 * time.Millisecond
	// maxHold limits the wait for runs that end soon for which a plan holds resources: other units can't use what is free of them.
	maxHold = 1500 * time.Millisecond
	// maxPreemptedHold is the same limit for an urgent unit that was preempted. Urgent units take 2 to 2.5 s: a longer hold would leave
	// more unused than the unit then uses.
	maxPreemptedHold = 3 * time.Second
)

// waitOrPreempt serves a unit that fits nowhere now, or only on workers that are too slow for its objective or away from the racks
// that it prefers; found is its best placement now, or nil. It reserves resources that are being freed or will be soon, or preempts
// runs and reserves what they free. It returns false if neither helps.
func (s *planState) waitOrPreempt(unit *Unit, found *placement) bool {
	later := s.place(unit, freeAfterStops)
	if later != nil && !later.away && s.isWorthTheStop(unit, found, later.speed) {
		s.reserve(unit, later.workers)
		return true
	}
	if unit.Priority > 0 {
		return false
	}
	if (!s.NoPreemption && s.preemptFor(unit, found)) || s.holdSoon(unit, found) {
		return true
	}
	if racks := s.preferredRacks(unit); racks != nil && (found == nil || found.away) && (found != nil || later != nil) && s.awaitsRack(unit, racks) {
		s.addUnserved(unit)
		return true
	}
	if found == nil && later != nil {
		s.reserve(unit, later.workers)
		return true
	}
	if found == nil {
		s.addUnserved(unit)
	}
	return false
}

// isWorthTheStop reports whether a unit should wait for the time that a stop takes to start on workers of a speed instead of its best
// placement now, or nil: because that is too slow for its objective or away, and the unit ends sooner after the wait.
func (s *planState) isWorthTheStop(unit *Unit, found *placement, speed float64) bool {
	if found == nil {
		return true
	}
	minSpeed := requiredSpeed(unit, s.Now)
	if !found.away && (found.speed >= minSpeed || speed < minSpeed) {
		return false
	}
	return s.StopDuration+taskDuration(unit, speed) < taskDuration(unit, found.effectiveSpeed())
}

// awaitsRack reports whether an urgent unit that fits on other workers should still wait for one of the racks: it is expected to end
// sooner so, or it isn't known when a rack has room and the unit hasn't waited for too long.
func (s *planState) awaitsRack(unit *Unit, racks []rack) bool {
	if unit.Claimed && s.Now.Sub(unit.Due) >= maxClaimRackWait {
		return false
	}
	wait := s.timeToFit(unit, racks)
	if wait == never {
		return s.shouldWaitForRack(unit, racks)
	}
	longest := (awayFactor - 1) * taskDuration(unit, 1)
	return wait < longest && s.Now.Sub(unit.WaitingSince) < s.preferenceWait(unit, longest)
}

// addUnserved counts an urgent unit that keeps waiting without a reservation.
func (s *planState) addUnserved(unit *Unit) {
	s.poolOf(unit).unserved += float64(unit.Members()) * unit.need.CoreEquivalent()
}

// endsSoon reports whether a run ends sooner by itself than it could be stopped and another one started.
func (s *planState) endsSoon(run *RunningUnit) bool {
	return run.Remaining > 0 && run.Remaining <= s.StopDuration+startDuration
}

// holdSoon reserves for an unclaimed urgent unit resources that runs free soon by themselves; found is its best placement now, or nil. A
// unit that was preempted waits longer for them, as units of lower rank would start on each part that becomes free.
func (s *planState) holdSoon(unit *Unit, found *placement) bool {
	if unit.Claimed || s.StopDuration+startDuration > maxHold {
		return false
	}
	soon := s.place(unit, freeSoon)
	if soon == nil && startsAgainFirst(unit, s.Now) {
		soon = s.place(unit, s.freeWithin(maxPreemptedHold))
	}
	if soon == nil || soon.away || !s.isWorthTheStop(unit, found, soon.speed) {
		return false
	}
	s.reserve(unit, soon.workers)
	return true
}

// freeWithin returns a view of the resources that are unused once all runs have ended that are expected to within a time.
func (s *planState) freeWithin(limit time.Duration) resourceView {
	return func(worker *Worker) Resources {
		free := freeAfterStops(worker)
		for _, run := range s.runsByEnd(worker) {
			if run.Remaining > limit {
				break
			}
			if !run.victim {
				free = free.Add(run.uses)
			}
		}
		return free
	}
}

// preemptFor preempts runs for an urgent unit, or holds resources for it if runs that end soon are enough, and returns whether it did;
// found is the unit's best placement now, or nil.
func (s *planState) preemptFor(unit *Unit, found *placement) bool {
	choice, gain := s.chooseVictims(unit, found)
	if choice == nil {
		return false
	}
	s.spent[unit.Task.Job] += choice.cost
	for _, victim := range choice.order {
		s.preempt(victim, unit, gain, choice.cost)
	}
	if later := s.place(unit, choice.view); later != nil {
		s.reserve(unit, later.workers)
	}
	return true
}

// preempt stops a run so that a unit can use its resources.
func (s *planState) preempt(victim *RunningUnit, unit *Unit, gain, cost float64) {
	victim.victim = true
	need := ResourcesOf(victim.Step)
	for _, id := range victim.Workers {
		if worker, known := s.workers[id]; known {
			worker.Freeing = worker.Freeing.Add(need)
		}
	}
	s.plan.Preemptions = append(s.plan.Preemptions, Preemption{Task: victim.Task, For: unit.Task, Gain: gain, Cost: cost})
}

// chooseVictims returns the runs to preempt for an urgent unit, and what the unit gains by it in core-seconds; nil if there are none
// or they cost more than it gains. found is the unit's best placement now, or nil. A claim doesn't depend on the gain unless it only
// needs faster workers or a rack, and also preempts runs of its own priority and protected ones if the others don't suffice.
func (s *planState) chooseVictims(unit *Unit, found *placement) (*victimSearch, float64) {
	racks := s.preferredRacks(unit)
	places := racks
	if racks == nil {
		places = []rack{{workers: s.poolOf(unit).workers}}
	}
	choice, gain := s.searchForGain(unit, found, places, false)
	if choice != nil || (found != nil && (!unit.Claimed || !found.away)) {
		return choice, gain
	}
	all := []rack{{workers: s.poolOf(unit).workers}}
	if !unit.Claimed {
		if racks == nil || s.awaitsRack(unit, racks) {
			return nil, 0
		}
		return s.searchForGain(unit, nil, all, true)
	}
	for _, workers := range [][]rack{places, all} {
		for _, kind := range []victimKind{lowerPriority, anyUnclaimed} {
			if choice = s.search(unit, workers, 0, math.Inf(1), kind); choice != nil {
				return choice, 0
			}
		}
		if racks == nil || found != nil {
			break
		}
	}
	return nil, 0
}

// searchForGain returns the runs of lower priority to preempt for a unit, and its gain; nil if they cost as much as it gains. With
// away the unit runs on workers that make it slower. The gain is the credit that its job is expected to earn more than without
// preemption, in core-seconds at urgentDensity, and the work saved if it runs on a rack instead of away.
func (s *planState) searchForGain(unit *Unit, found *placement, places []rack, away bool) (*victimSearch, float64) {
	credit := unit.Credit / s.urgentDensity
	otherwise := s.expectedShare(unit, s.timeToFit(unit, places), 1) * credit
	if found != nil {
		if !found.away && s.meetsObjective(unit, 0, found.speed) {
			return nil, 0
		}
		value := s.expectedShare(unit, 0, found.effectiveSpeed()) * credit
		if found.away {
			value -= (awayFactor - 1) * float64(unit.Members()) * TaskWork(unit.Step, unit.expected())
		}
		otherwise = max(otherwise, value)
	}
	gainAt := func(speed float64) float64 {
		if away {
			speed /= awayFactor
		}
		return s.expectedShare(unit, s.StopDuration, speed)*credit - otherwise - s.spent[unit.Task.Job]
	}
	fastest := s.poolOf(unit).fastestSpeed()
	limit := gainAt(fastest)
	if limit <= 0 {
		return nil, 0
	}
	for _, speed := range s.usefulSpeeds(unit, found) {
		if speed > fastest {
			continue
		}
		choice := s.search(unit, places, speed, limit, lowerPriority)
		if choice == nil {
			continue
		}
		gain := gainAt(choice.slowest)
		if gain <= choice.cost {
			continue
		}
		if found == nil || found.away || s.meetsObjective(unit, s.StopDuration, choice.slowest) {
			return choice, gain
		}
	}
	return nil, 0
}

// usefulSpeeds returns the minimum speeds of the workers on which runs are preempted for a unit, in the order of the attempts: a unit
// that fits nowhere now first needs enough for its objective and accepts any then; one that only needs faster workers doesn't.
func (s *planState) usefulSpeeds(unit *Unit, found *placement) []float64 {
	speed := requiredSpeed(unit, s.Now)
	if found != nil && !found.away {
		return []float64{max(speed/estimateMargin, math.Nextafter(found.speed, math.Inf(1)))}
	}
	return []float64{speed, 0}
}

// fastestSpeed returns the speed of the fastest usable worker.
func (p *pool) fastestSpeed() float64 {
	fastest := minSpeed
	for _, worker := range p.workers {
		if worker.Usable {
			fastest = max(fastest, worker.Speed)
		}
	}
	return fastest
}

// timeToFit returns the expected time until a unit fits on one of the places without preemption, and never if that isn't known.
func (s *planState) timeToFit(unit *Unit, places []rack) time.Duration {
	shortest := never
	pool := s.poolOf(unit)
	for _, place := range places {
		// The units that wait already get their part of what becomes free before this one.
		ahead := pool.unserved * float64(len(place.workers)) / float64(len(pool.workers))
		shortest = min(shortest, s.timeToFitOn(unit, place.workers, int(ahead/max(1, unit.need.CoreEquivalent()))))
	}
	return shortest
}

// timeToFitOn returns the expected time until all members of a unit, after as many as are ahead, fit on the workers without preemption.
func (s *planState) timeToFitOn(unit *Unit, workers []*Worker, ahead int) time.Duration {
	need, members := unit.need, unit.Members()+ahead
	var fitting timeHistogram
	for _, worker := range workers {
		if !worker.Capacity.Contains(need) || !s.allowed(unit, worker) {
			continue
		}
		free := freeAfterStops(worker)
		count := countFitting(unit, worker, free)
		fitting.add(s.StopDuration, count)
		for _, run := range s.runsByEnd(worker) {
			if run.victim {
				continue
			}
			if free = free.Add(run.uses); !free.Contains(need) {
				continue
			}
			if more := countFitting(unit, worker, free); more > count {
				fitting.add(run.Remaining, more-count)
				count = more
			}
		}
	}
	return fitting.timeOf(members)
}

// timeHistogram counts times, with a precision of an eighth.
type timeHistogram struct {
	counts [512]int32
}

// octaveBits is the binary logarithm of the number of buckets for each doubling.
const octaveBits = 3

// add counts a time several times.
func (h *timeHistogram) add(at time.Duration, count int) {
	value := uint64(max(at, 0)>>octaveBits + 1<<octaveBits) //nolint:gosec // not negative
	octave := bits.Len64(value) - octaveBits - 1
	h.counts[octave<<octaveBits+int(value>>octave)-1<<octaveBits] += int32(count) //nolint:gosec // small numbers
}

// timeOf returns an upper bound of the time that has the given number in increasing order, and never if fewer were counted.
func (h *timeHistogram) timeOf(number int) time.Duration {
	for i, count := range h.counts {
		if number -= int(count); number <= 0 {
			octave, share := i>>octaveBits, i&(1<<octaveBits-1)
			return time.Duration((share+1<<octaveBits+1)<<octave-1<<octaveBits) << octaveBits
		}
	}
	return never
}

// victimKind says which runs may be preempted.
type victimKind int

const (
	// lowerPriority is runs without a claim, of a lower priority, that aren't protected.
	lowerPriority victimKind = iota
	// anyUnclaimed is all runs without a claim.
	anyUnclaimed
)

// isPreemptible reports whether a run may be preempted for a unit.
func (s *planState) isPreemptible(run *RunningUnit, unit *Unit, kind victimKind) bool {
	if run.Claimed || run.victim {
		return false
	}
	if kind == anyUnclaimed {
		return true
	}
	return run.Priority > unit.Priority && !s.isProtected(run, unit)
}

// isProtected reports whether a run isn't preempted for a unit, except for a claim that needs it: the run ends soon, its unit has been
// preempted often, or it was placed by a plan that decided on the unit as well.
func (s *planState) isProtected(run *RunningUnit, unit *Unit) bool {
	if run.Preemptions >= maxPreemptions || (!unit.Claimed && s.endsSoon(run)) {
		return true
	}
	return !unit.WaitingSince.After(run.PlacedAt) && s.Now.Sub(run.PlacedAt) < settleDuration
}
