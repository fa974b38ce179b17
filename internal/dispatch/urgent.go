package dispatch

import (
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// sampleUrgentDemand samples the demand of each service's urgent jobs, which can't wait for a preemption.
func (s *session) sampleUrgentDemand() {
	needs := map[string]*assign.UrgentNeed{}
	capacities := s.largestCapacities()
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled || len(j.occurrences) == 0 || !assign.IsUrgent(j.spec, j.expect.Expected(), s.Options.StopDuration) {
			continue
		}
		service := s.serviceOf(j.spec)
		if needs[service] == nil {
			needs[service] = &assign.UrgentNeed{}
		}
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if !st.readyAt.IsZero() && st.remaining > 0 {
					needs[service].Add(st.spec, st.remaining, capacities[service])
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
			need = &assign.UrgentNeed{}
		}
		demand.Observe(need.Whole, need.PartCores, need.RackWidth, tickInterval)
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
