package assign

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Explain returns a sentence that says why a unit waits, or on which workers a plan on the snapshot starts it. Like MakePlan
// it modifies the snapshot.
func Explain(snapshot *Snapshot, task replica.Task) string {
	index := slices.IndexFunc(snapshot.Waiting, func(unit Unit) bool { return unit.Task == task })
	if index < 0 {
		return "it is not waiting: it is running, or not due yet"
	}
	unit := &snapshot.Waiting[index]
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
		return "it waits for resources that are being freed on " +
			strings.Join(slices.Compact(slices.Sorted(slices.Values(workers))), ", ")
	}
	allowed, holds := newPlanState(snapshot).countCapacity(unit)
	switch {
	case allowed == 0:
		return "no usable worker of its service has the required label and a ticket for it"
	case holds < unit.Members():
		return fmt.Sprintf("the %d workers that it may use hold at most %d of its %d members", allowed, holds, unit.Members())
	default:
		return fmt.Sprintf("there are not enough free resources for its %d members; %d units are served before it",
			unit.Members(), ahead)
	}
}

// countCapacity returns how many workers a unit may use, and how many of its members they hold together when empty.
func (s *planState) countCapacity(unit *Unit) (allowed, holds int) {
	for _, worker := range s.poolOf(unit).workers {
		if s.allowed(unit, worker) {
			allowed++
			holds += countFitting(unit, worker, worker.Capacity)
		}
	}
	return allowed, holds
}
