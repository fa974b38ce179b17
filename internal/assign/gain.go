package assign

import (
	"math"
	"time"
)

const (
	// awayFactor is how much longer a task takes away from its data, and a gang that needs one rack on several.
	awayFactor = 3
	// startDuration is the time from a plan to the start of a task: one append to the store and one order.
	startDuration = 100 * time.Millisecond
	// durationSpread is the standard deviation of the natural logarithm of the ratio of actual to expected durations. The median error of
	// declared estimates is a factor of 1.5 to 2, that is, a standard deviation of 0.6 to 1; of what is predicted from finished runs less.
	durationSpread = 0.6
	// never is the time until a unit fits if that isn't known.
	never = time.Duration(math.MaxInt64)
)

// taskDuration returns the expected duration of a unit's own tasks at a speed.
func taskDuration(unit *Unit, speed float64) time.Duration {
	return time.Duration(float64(unit.expected()) / max(speed, minSpeed))
}

// durationAt returns the expected time from the start of a unit on workers of a speed until its job ends. The steps after it run at
// speed 1.
func durationAt(unit *Unit, speed float64) time.Duration {
	return runOverhead + taskDuration(unit, speed) + max(0, unit.Remaining-unit.expected())
}

// meetsObjective reports whether the job of a unit is expected to end by its objective if the unit starts after delay at a speed.
func (s *planState) meetsObjective(unit *Unit, delay time.Duration, speed float64) bool {
	return !s.Now.Add(delay + durationAt(unit, speed)).After(unit.Objective)
}

// expectedShare returns the part of its credit that the job of a unit is expected to earn if the unit starts after delay on workers of
// a speed. Unlike creditShare it doesn't change at once at the objective, as durations are only estimated.
func (s *planState) expectedShare(unit *Unit, delay time.Duration, speed float64) float64 {
	if delay == never {
		return 0
	}
	start := s.Now.Add(delay)
	return shareBy(unit.Objective.Sub(start), unit.LateUntil.Sub(start), durationAt(unit, speed))
}

// endsBy returns the probability that what is expected to take a duration takes no longer than limit.
func endsBy(limit, duration time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	deviation := math.Log(float64(limit)/float64(max(duration, time.Millisecond))) / durationSpread
	return math.Erfc(-deviation/math.Sqrt2) / 2
}

// stopCost returns what it costs to stop a run, in core-seconds: the work that is lost, and the credit that the job of the run is expected to
// lose by the delay, at urgentDensity. A run that is stopped for an urgent unit starts again once that has ended, and repeats the work that it
// loses.
func (s *planState) stopCost(run *RunningUnit) float64 {
	cost := run.LostWork
	if run.Credit == 0 || run.Remaining == 0 {
		return cost
	}
	cores := float64(len(run.Workers)) * ResourcesFromProto(run.Step.GetNeed()).CoreEquivalent()
	repeated := time.Duration(run.LostWork / max(cores, minWork) * float64(time.Second))
	delay := s.StopDuration + startDuration + s.urgentDuration + repeated
	lost := shareBy(run.Objective.Sub(s.Now), run.LateUntil.Sub(s.Now), run.Remaining) -
		shareBy(run.Objective.Sub(s.Now)-delay, run.LateUntil.Sub(s.Now)-delay, run.Remaining)
	return cost + run.Credit*max(0, lost)/s.urgentDensity
}

// shareBy returns the part of its credit that a job is expected to earn whose objective and LateUntil are that far away if it takes a
// duration.
func shareBy(objective, lateUntil, duration time.Duration) float64 {
	inTime := endsBy(objective, duration)
	return inTime + lateCreditShare*max(0, endsBy(lateUntil, duration)-inTime)
}
