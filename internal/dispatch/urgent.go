package dispatch

import (
	"math"
	"time"
)

const (
	// urgentMemory is the time over which the need of urgent jobs is averaged: some times the length of such a job.
	urgentMemory = 15 * time.Second
	// urgentSpread is how many standard deviations above the mean the cores are that are kept for urgent jobs.
	urgentSpread = 1.0
)

// need is the cores that the urgent jobs of a service use or wait for, averaged over time.
type need struct {
	mean, square float64
}

// add takes a sample that stands for a share of the averaged time.
func (n *need) add(cores, share float64) {
	n.mean += share * (cores - n.mean)
	n.square += share * (cores*cores - n.square)
}

// most is what suffices at most times.
func (n *need) most() float64 {
	return n.mean + urgentSpread*math.Sqrt(max(0, n.square-n.mean*n.mean))
}

// learnUrgent takes a sample of what urgent jobs need.
func (s *session) learnUrgent() {
	cores := map[string]float64{}
	for _, j := range s.jobs {
		if j.over() || j.cancelled || j.spec.GetPriority() > 0 {
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
			s.urgent[service] = &need{}
		}
	}
	for service, need := range s.urgent {
		need.add(cores[service], float64(tick)/float64(urgentMemory))
	}
}

// urgentCores is what urgent jobs of each service need at most times.
func (s *session) urgentCores() map[string]float64 {
	most := make(map[string]float64, len(s.urgent))
	for service, need := range s.urgent {
		most[service] = need.most()
	}
	return most
}

// coresOfUnit is the cores that a unit of the step takes.
func (st *step) coresOfUnit() float64 {
	return float64(members(st.units[0])) * st.units[0].roomOf().Cores()
}
