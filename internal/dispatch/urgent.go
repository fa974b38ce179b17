package dispatch

import (
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// sampleUrgentDemand samples the demand of each service's urgent jobs, which can't wait for a preemption, in cores.
func (s *session) sampleUrgentDemand() {
	cores := map[string]float64{}
	for _, j := range s.jobs {
		if j.hasEnded() || j.cancelled || len(j.occurrences) == 0 || !assign.IsUrgent(j.spec, s.expected(j), s.Options.StopDuration) {
			continue
		}
		service := s.serviceOf(j.spec)
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if !st.readyAt.IsZero() {
					cores[service] += float64(st.remaining) * st.unitCores()
				}
			}
		}
	}
	for service := range cores {
		if s.urgentDemand[service] == nil {
			s.urgentDemand[service] = &learned.Demand{}
		}
	}
	for service, demand := range s.urgentDemand {
		demand.Observe(cores[service], tickInterval)
	}
}

// urgentCores returns the cores that the urgent jobs of each service need most of the time.
func (s *session) urgentCores() map[string]float64 {
	cores := make(map[string]float64, len(s.urgentDemand))
	for service, demand := range s.urgentDemand {
		cores[service] = demand.UpperEstimate()
	}
	return cores
}

// unitCores returns the cores that a unit of the step takes.
func (st *step) unitCores() float64 {
	return float64(memberCount(st.units[0])) * st.units[0].resources().CoreEquivalent()
}
