package assign

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Explain says why a waiting unit waits: from the plan on the snapshot, and from what the workers could hold. It changes
// the rooms in the snapshot.
func Explain(snapshot *Snapshot, task replica.Task) string {
	at := slices.IndexFunc(snapshot.Waiting, func(unit Unit) bool { return unit.Task == task })
	if at < 0 {
		return "it runs, or its time has not come"
	}
	unit := &snapshot.Waiting[at]
	ahead := 0
	for _, other := range rank(snapshot) {
		if other == unit {
			break
		}
		ahead++
	}
	plan := MakePlan(snapshot)
	for _, start := range plan.Starts {
		if start.Task == task {
			return "it starts now on " + strings.Join(slices.Compact(slices.Sorted(slices.Values(start.Workers))), ", ")
		}
	}
	if workers, known := plan.Reservations[task]; known {
		return "runs give way for it on " + strings.Join(slices.Compact(slices.Sorted(slices.Values(workers))), ", ")
	}
	allowed, holds := newWorld(snapshot).capacityFor(unit)
	switch {
	case allowed == 0:
		return "no worker of its service is usable and has its label and ticket"
	case holds < unit.Members():
		return fmt.Sprintf("the %d workers that it may use hold %d of its %d members at most", allowed, holds, unit.Members())
	default:
		return fmt.Sprintf("there is no room for its %d members together; %d units are served before it", unit.Members(), ahead)
	}
}

// capacityFor counts the workers that a unit may use, and how many of its members they hold when empty.
func (w *world) capacityFor(unit *Unit) (allowed, holds int) {
	for _, worker := range w.poolOf(unit).workers {
		if w.allowed(unit, worker) {
			allowed++
			holds += fits(unit, worker, worker.Capacity)
		}
	}
	return allowed, holds
}
