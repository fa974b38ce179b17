package assign

import storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"

// maxTasksPerWorker limits the number of tasks on a worker in PartCores.
const maxTasksPerWorker = 1000

// UrgentNeed is what the urgent units of a service need at a time.
type UrgentNeed struct {
	// Whole is the number of whole workers, and RackWidth the largest number of them that one unit needs in one rack.
	Whole, RackWidth float64
	// PartCores is the number of cores that tasks take of which several fit on a worker; see PartCores.
	PartCores float64
}

// Add adds a number of units of a step; capacity is that of the largest worker of their service.
func (n *UrgentNeed) Add(step *storev1.Step, units int, capacity Resources) {
	members := 1
	if step.GetGang() {
		members = int(step.GetCount())
	}
	need, tasks := ResourcesOf(step), float64(units*members)
	if !NeedsWholeWorker(need, capacity) {
		n.PartCores += tasks * PartCores(need, capacity)
		return
	}
	n.Whole += tasks
	if step.GetSameRack() {
		n.RackWidth = max(n.RackWidth, float64(members))
	}
}

// NeedsWholeWorker reports whether no two tasks with the given need fit on a worker of the given capacity.
func NeedsWholeWorker(need, capacity Resources) bool { return !capacity.Contains(need.Add(need)) }

// PartCores returns the cores that a task with the given need takes of a worker of the given capacity, on which several fit: the worker's
// cores divided by the number of such tasks that it holds, which the scarcest resource decides.
func PartCores(need, capacity Resources) float64 {
	return capacity.CoreEquivalent() / float64(max(1, countWithin(need, capacity, maxTasksPerWorker)))
}
