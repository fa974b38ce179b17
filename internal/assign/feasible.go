package assign

import (
	"slices"
	"time"
)

// trialPatience is how long a unit waits for workers that aren't on trial.
const trialPatience = 4 * time.Second

// allowed tells whether a unit may run on a worker, whatever its room. A gang, and a unit on its last attempt, rather wait
// than try a worker on trial.
func (w *world) allowed(unit *Unit, worker *Worker) bool {
	if !worker.Usable || worker.Service != unit.Service || unit.Avoid[worker.ID] {
		return false
	}
	if worker.kept && !unit.urgent() {
		return false
	}
	if worker.NearLatencyTarget && unit.Step.GetFills() {
		return false
	}
	if worker.OnTrial && (unit.LastAttempt || unit.Members() > 1) && w.Now.Sub(unit.WaitingSince) < trialPatience {
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

// holdsWhole tells whether the workers that a unit may use have the capacity for it.
func (w *world) holdsWhole(unit *Unit) bool {
	members := unit.Members()
	for _, worker := range w.poolOf(unit).workers {
		if members <= 0 {
			break
		}
		if w.allowed(unit, worker) {
			members -= fits(unit, worker, worker.Capacity)
		}
	}
	return members <= 0
}

// forgive lets units use workers on which they failed where no others hold them.
func (w *world) forgive() {
	for i := range w.Waiting {
		if unit := &w.Waiting[i]; len(unit.Avoid) > 0 && !w.holdsWhole(unit) {
			unit.Avoid = nil
		}
	}
}

// perWorker is how many more tasks of a unit's step a worker may get.
func perWorker(unit *Unit, worker *Worker) int {
	most := int(unit.Step.GetMaxPerWorker())
	if most == 0 {
		return int(unit.Step.GetCount())
	}
	return max(0, most-unit.TasksPerWorker[worker.ID])
}

// fits returns how many members of a unit fit into room on a worker.
func fits(unit *Unit, worker *Worker, room Resources) int {
	need := ResourcesOf(unit.Step)
	if !room.Contains(need) {
		return 0
	}
	count, most := 0, min(perWorker(unit, worker), unit.Members())
	if worker.OnTrial {
		most = min(most, 1)
	}
	for ; count < most && room.Contains(need); count++ {
		room = room.Sub(need)
	}
	return count
}
