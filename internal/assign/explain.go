package assign

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// joinIDs returns the distinct ids in their order, separated by commas.
func joinIDs(ids []string) string {
	return strings.Join(slices.Compact(slices.Sorted(slices.Values(ids))), ", ")
}

// explain adds to the plan why units wait or where they start.
func (s *planState) explain() {
	starts := map[replica.Task][]string{}
	for _, start := range s.plan.Starts {
		starts[start.Task] = start.Workers
	}
	for i := range s.Waiting {
		unit := &s.Waiting[i]
		if !unit.Explain {
			continue
		}
		reason := Reason{Text: s.explainWait(unit) + s.explainEvacuation(unit)}
		if workers, starting := starts[unit.Task]; starting {
			reason = Reason{Starts: true, Text: "it starts now on " + joinIDs(workers)}
		}
		s.plan.Reasons[unit.Task] = reason
	}
}

// explainWait returns why a unit that the plan doesn't start waits.
func (s *planState) explainWait(unit *Unit) string {
	if workers, known := s.plan.Reservations[unit.Task]; known {
		return "it waits for resources that are being freed on " + joinIDs(workers)
	}
	if need := ResourcesOf(unit.Step); !slices.ContainsFunc(s.poolOf(unit).workers, func(worker *Worker) bool {
		return worker.Capacity.Contains(need)
	}) {
		return fmt.Sprintf("no worker of its service has what one of its tasks needs: %d millicores, %d MB and %d accelerators",
			need.CPU, need.Memory, need.Accelerators)
	}
	capacity := func(worker *Worker) Resources { return worker.Capacity }
	allowed, holds := s.countCapacity(unit, capacity)
	if allowed == 0 {
		return "no usable worker of its service has the required label and a ticket for it"
	}
	if holds < unit.Members() {
		return fmt.Sprintf("the %d workers that it may use hold at most %d of its %d members", allowed, holds, unit.Members())
	}
	_, fitting := s.countCapacity(unit, freeNow)
	if racks := s.preferredRacks(unit); racks != nil && fitting >= unit.Members() && s.shouldWaitForRack(unit, racks) {
		where := "one rack"
		if name := unit.Step.GetDataRack(); name != "" {
			where = "rack " + name
		}
		return fmt.Sprintf("it waits up to %d ms for room for its %d members on %s; %d members fit elsewhere now",
			s.maxRackWait(unit).Milliseconds(), unit.Members(), where, fitting)
	}
	_, withoutLower := s.countCapacity(unit, func(worker *Worker) Resources { return s.freeWithoutLower(unit, worker) })
	return fmt.Sprintf("there are not enough free resources for its %d members: %d fit now, %d without runs of lower priority; "+
		"%d units are served before it", unit.Members(), fitting, withoutLower, unit.ahead)
}

// countCapacity returns how many workers a unit may use, and how many of its members they hold together within the resources
// of view.
func (s *planState) countCapacity(unit *Unit, view resourceView) (allowed, holds int) {
	for _, worker := range s.poolOf(unit).workers {
		if s.allowed(unit, worker) {
			allowed++
			holds += countFitting(unit, worker, view(worker))
		}
	}
	return allowed, holds
}

// freeWithoutLower returns the resources of a worker that would be free without runs of a lower priority than the unit's.
func (s *planState) freeWithoutLower(unit *Unit, worker *Worker) Resources {
	free := freeNow(worker)
	for _, run := range s.runsOn(worker) {
		if run.Priority > unit.Priority && !run.victim {
			free = free.Add(run.uses)
		}
	}
	return free
}

// explainEvacuation returns how many workers of a unit's service are in data centres that are evacuated; empty if none is.
func (s *planState) explainEvacuation(unit *Unit) string {
	evacuated := 0
	for _, worker := range s.poolOf(unit).workers {
		if worker.Evacuated {
			evacuated++
		}
	}
	if evacuated == 0 {
		return ""
	}
	return fmt.Sprintf("; %d workers of its service are in data centres that are evacuated", evacuated)
}
