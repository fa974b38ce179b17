package assign

import (
	"slices"
	"time"
)

// maxTrialWait is how long a gang, or a unit on its last attempt, waits for workers that aren't on trial.
const maxTrialWait = 4 * time.Second

// allowed reports whether a unit may run on a worker, regardless of free resources. A gang, and a unit on its last attempt,
// uses a worker on trial only after maxTrialWait.
func (s *planState) allowed(unit *Unit, worker *Worker) bool {
	if !worker.Usable || worker.Service != unit.Service || unit.Avoid[worker.ID] {
		return false
	}
	if worker.urgentOnly && !unit.mayUseUrgentOnly() {
		return false
	}
	if worker.NearLatencyTarget && unit.Step.GetFills() {
		return false
	}
	if worker.OnTrial && (unit.LastAttempt || unit.Members() > 1) && s.Now.Sub(unit.WaitingSince) < maxTrialWait {
		return false
	}
	if unit.Allowed != nil && !unit.Allowed[worker.ID] {
		return false
	}
	if label := unit.Step.GetRequiredLabel(); label != "" && !slices.Contains(worker.Labels, label) {
		return false
	}
	return true
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

// remainingOnWorker returns how many more tasks of a unit's step may start on a worker.
func remainingOnWorker(unit *Unit, worker *Worker) int {
	limit := int(unit.Step.GetMaxPerWorker())
	if limit == 0 {
		return int(unit.Step.GetCount())
	}
	return max(0, limit-unit.TasksPerWorker[worker.ID])
}

// countFitting returns how many members of a unit fit into the free resources of a worker.
func countFitting(unit *Unit, worker *Worker, free Resources) int {
	need := ResourcesOf(unit.Step)
	if !free.Contains(need) {
		return 0
	}
	count, limit := 0, min(remainingOnWorker(unit, worker), unit.Members())
	if worker.OnTrial {
		limit = min(limit, 1)
	}
	for ; count < limit && free.Contains(need); count++ {
		free = free.Sub(need)
	}
	return count
}
