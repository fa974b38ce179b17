package assign

import (
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
)

// trialWait is how long a gang, or a unit on its last attempt, waits for workers that aren't on trial.
const trialWait = 4 * time.Second

// allowed reports whether a unit may run on a worker, regardless of free resources. A gang, and a unit on its last attempt,
// uses a worker on trial only after maxTrialWait.
func (s *planState) allowed(unit *Unit, worker *Worker) bool {
	if !worker.Usable && !s.mayUseUnhealthy(unit, worker) {
		return false
	}
	if worker.Service != unit.Service || (unit.Avoid[worker.ID] && !unit.anyWorker) {
		return false
	}
	if (worker.urgentOnly && !unit.mayUseUrgentOnly()) || (worker.keptWhole && unit.sparesWhole) {
		return false
	}
	if !s.mayBackfill(unit, worker) {
		return false
	}
	if worker.NearLatencyTarget && unit.Step.GetFills() {
		return false
	}
	if worker.OnTrial && (unit.LastAttempt || unit.Members() > 1) && s.Now.Sub(unit.WaitingSince) < s.maxTrialWait(unit) {
		return false
	}
	if unit.Allowed != nil && !unit.Allowed[worker.ID] {
		return false
	}
	if unit.OnProbation && worker.starting {
		return false
	}
	return HasRequiredLabel(unit.Step, worker.Labels)
}

// mayUseUnhealthy reports whether a unit may run on a worker that isn't usable only because of what has failed there.
func (s *planState) mayUseUnhealthy(unit *Unit, worker *Worker) bool {
	if !worker.Unhealthy || !unit.anyWorker {
		return false
	}
	return !worker.Quarantined || unit.Step.GetLongRunning() || s.Now.Sub(unit.WaitingSince) >= idleRiskWait
}

// maxTrialWait returns how long a gang, or a unit on its last attempt, waits for workers that aren't on trial.
func (s *planState) maxTrialWait(unit *Unit) time.Duration {
	switch {
	case !unit.LastAttempt || unit.Step.GetLongRunning():
		return s.preferenceWait(unit, trialWait)
	case s.standsIdle(unit):
		return idleRiskWait
	}
	return trialWait
}

// HasRequiredLabel reports whether labels contain the one that a worker needs to run the step, if it needs any.
func HasRequiredLabel(step *storev1.Step, labels []string) bool {
	label := step.GetRequiredLabel()
	return label == "" || slices.Contains(labels, label)
}

// fitsWhenEmpty reports whether the workers that a unit may use have the capacity for all its members.
func (s *planState) fitsWhenEmpty(unit *Unit) bool {
	members := unit.Members()
	for _, worker := range s.poolOf(unit).workers {
		if members <= 0 {
			break
		}
		if s.allowed(unit, worker) {
			members -= countFitting(unit, worker, worker.Capacity)
		}
	}
	return members <= 0
}

// relaxAvoid clears Avoid for each unit that the other workers have no capacity for.
func (s *planState) relaxAvoid() {
	for i := range s.Waiting {
		if unit := &s.Waiting[i]; len(unit.Avoid) > 0 && !s.fitsWhenEmpty(unit) {
			unit.Avoid = nil
		}
	}
}

// remainingOnWorker returns how many more tasks of a step may start on a worker that runs some of them.
func remainingOnWorker(step *storev1.Step, running int) int {
	limit := int(step.GetMaxPerWorker())
	if limit == 0 {
		return int(step.GetCount())
	}
	return max(0, limit-running)
}

// CountTasks returns how many tasks of a step fit into the free resources of a worker that runs some of them.
func CountTasks(step *storev1.Step, free Resources, running int) int {
	return countWithin(ResourcesOf(step), free, remainingOnWorker(step, running))
}

// countWithin returns how often need fits into free, at most limit times.
func countWithin(need, free Resources, limit int) int {
	count := 0
	for ; count < limit && free.Contains(need); count++ {
		free = free.Sub(need)
	}
	return count
}

// countFitting returns how many members of a unit fit into the free resources of a worker.
func countFitting(unit *Unit, worker *Worker, free Resources) int {
	if !free.Contains(unit.need) {
		return 0
	}
	return countWithin(unit.need, free, min(remainingOnWorker(unit.Step, unit.TasksPerWorker[worker.ID]), unit.Members()))
}
