package dispatch

import (
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// urgentNeed is what the urgent jobs of a service need: whole workers, cores for tasks that need part of a worker, and the largest number
// of whole workers that one unit needs in one rack.
type urgentNeed struct{ whole, cores, rackWidth float64 }

// sampleUrgentDemand samples the demand of each service's urgent jobs, which can't wait for a preemption.
func (s *session) sampleUrgentDemand() {
	needs := map[string]*urgentNeed{}
	capacities := s.largestCapacities()
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled || len(j.occurrences) == 0 || !assign.IsUrgent(j.spec, s.expected(j), s.Options.StopDuration) {
			continue
		}
		service := s.serviceOf(j.spec)
		if needs[service] == nil {
			needs[service] = &urgentNeed{}
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if !st.readyAt.IsZero() && st.remaining > 0 {
					needs[service].add(st, capacities[service])
				}
			}
		}
	}
	for service := range needs {
		if s.urgentDemand[service] == nil {
			s.urgentDemand[service] = &learned.Shapes{}
		}
	}
	for service, demand := range s.urgentDemand {
		need := needs[service]
		if need == nil {
			need = &urgentNeed{}
		}
		demand.Observe(need.whole, need.cores, need.rackWidth, tickInterval)
	}
}

// add adds the units of a step that are not done; capacity is that of the service's largest worker.
func (n *urgentNeed) add(st *step, capacity assign.Resources) {
	unit := st.units[0]
	if !assign.NeedsWholeWorker(unit.resources(), capacity) {
		n.cores += float64(st.remaining) * st.unitCores()
		return
	}
	members := float64(memberCount(unit))
	n.whole += float64(st.remaining) * members
	if st.spec.GetSameRack() {
		n.rackWidth = max(n.rackWidth, members)
	}
}

// largestCapacities returns the capacity of the worker with the most cores of each service, with accelerators as in CoreEquivalent.
func (s *session) largestCapacities() map[string]assign.Resources {
	largest := map[string]assign.Resources{}
	for _, ws := range s.workers {
		capacity := assign.ResourcesFromProto(ws.entry.Capacity)
		if ws.listed && capacity.CoreEquivalent() > largest[ws.entry.Service].CoreEquivalent() {
			largest[ws.entry.Service] = capacity
		}
	}
	return largest
}

// urgentShapes returns what the urgent jobs of each service need most of the time.
func (s *session) urgentShapes() (cores map[string]float64, whole map[string]assign.WholeDemand) {
	cores, whole = make(map[string]float64, len(s.urgentDemand)), make(map[string]assign.WholeDemand, len(s.urgentDemand))
	for service, demand := range s.urgentDemand {
		cores[service] = demand.PartCores()
		whole[service] = assign.WholeDemand{Workers: demand.WholeWorkers(), RackWidth: demand.RackWidth()}
	}
	return cores, whole
}

// unitCores returns the cores that a unit of the step takes.
func (st *step) unitCores() float64 {
	return float64(memberCount(st.units[0])) * st.units[0].resources().CoreEquivalent()
}
