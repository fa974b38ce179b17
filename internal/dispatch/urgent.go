package dispatch

import (
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// learnUrgent takes a sample of what urgent jobs need that can't wait for runs to give way.
func (s *session) learnUrgent() {
	cores := map[string]float64{}
	for _, j := range s.jobs {
		if j.over() || j.cancelled || !assign.IsUrgent(j.spec, s.Options.StopDuration) {
			continue
		}
		service := s.serviceOf(j.spec)
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if !st.since.IsZero() {
					cores[service] += float64(st.left) * st.coresOfUnit()
				}
			}
		}
	}
	for service := range cores {
		if s.urgent[service] == nil {
			s.urgent[service] = &learned.Demand{}
		}
	}
	for service, need := range s.urgent {
		need.Observe(cores[service], tick)
	}
}

// urgentCores is what urgent jobs of each service need at most times.
func (s *session) urgentCores() map[string]float64 {
	most := make(map[string]float64, len(s.urgent))
	for service, need := range s.urgent {
		most[service] = need.UpperEstimate()
	}
	return most
}

// coresOfUnit is the cores that a unit of the step takes.
func (st *step) coresOfUnit() float64 {
	return float64(members(st.units[0])) * st.units[0].roomOf().CoreEquivalent()
}
