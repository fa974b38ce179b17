package assign

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

const (
	// mostWork is the work of a job that still raises its credit, in shares of its queue's mean.
	mostWork = 5.0
	// baseCredit is the share of a job's credit that doesn't depend on its work.
	baseCredit = 0.3
	// hurriedStops is the slack of a job, in times that a run takes to give way, below which it can't wait for one: besides
	// the stop there are the start, rough estimates and other jobs that wait for the same.
	hurriedStops = 10
	// LateFactor is how much later than the objective a job still earns something.
	LateFactor = 3
)

// Estimate is how long a task of a step is declared to take on a worker of speed 1.
func Estimate(step *storev1.Step) time.Duration {
	return time.Duration(step.GetEstimateMs()) * time.Millisecond
}

// TaskWork is the work of one task of a step in core-seconds.
func TaskWork(step *storev1.Step) float64 {
	return ResourcesFromProto(step.GetNeed()).CoreEquivalent() * Estimate(step).Seconds()
}

// JobWork is the work of one occurrence of a job in core-seconds.
func JobWork(spec *storev1.Job) float64 {
	work := 0.0
	for _, step := range spec.GetSteps() {
		work += float64(step.GetCount()) * TaskWork(step)
	}
	return work
}

// CriticalPaths returns the longest chain of estimates from each step to the end, its own included.
func CriticalPaths(spec *storev1.Job) []time.Duration {
	steps := spec.GetSteps()
	chain := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		chain[i] += Estimate(steps[i])
		for _, after := range steps[i].GetAfter() {
			chain[after] = max(chain[after], chain[i])
		}
	}
	return chain
}

// IsUrgent tells that a job of the best priority has so little slack that it is late by the time that runs have given way
// for it; stop is how long that takes.
func IsUrgent(spec *storev1.Job, stop time.Duration) bool {
	return spec.GetPriority() == 0 && TimeToObjective(spec)-longest(spec) < hurriedStops*stop
}

func longest(spec *storev1.Job) time.Duration {
	length := time.Duration(0)
	for _, each := range CriticalPaths(spec) {
		length = max(length, each)
	}
	return length
}

// TimeToObjective is the time in which a job earns in full: its longest chain, stretched, and a duration more.
func TimeToObjective(spec *storev1.Job) time.Duration {
	return time.Duration(spec.GetStretchFactor()*float64(longest(spec))) + time.Duration(spec.GetTargetDurationMs())*time.Millisecond
}

// Credit is what a job earns in time: the better its priority the more, and partly by its work against the mean of its
// queue, in core-seconds.
func Credit(spec *storev1.Job, mean float64) float64 {
	relative := 1.0
	if mean > 0 {
		relative = JobWork(spec) / mean
	}
	return (baseCredit + (1-baseCredit)*min(relative, mostWork)) / float64(1+spec.GetPriority())
}
