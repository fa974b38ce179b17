package assign

import "math"

// resumeReserved serves the units with reservations of earlier plans and returns the other units. A unit keeps its
// reservation until it starts: a new search in each plan would preempt more and more runs, as the speed that the unit needs
// for its objective rises with time, and other units would take the resources in between. It starts on other workers if they
// are free and as fast, or if it has waited for long enough, and is returned to be placed again if its workers can no longer hold
// it.
func (s *planState) resumeReserved(ranked []*Unit) []*Unit {
	rest := ranked[:0]
	var reserved []*Unit
	for _, unit := range ranked {
		if unit.Reserved == nil || unit.Exclusive || !s.reservationFits(unit, freeAfterStops) {
			rest = append(rest, unit)
			continue
		}
		s.allocate(unit, unit.Reserved, true)
		reserved = append(reserved, unit)
	}
	for _, unit := range reserved {
		s.releaseReserved(unit, unit.Reserved)
		switch found := s.place(unit, freeNow); {
		case s.reservationFits(unit, freeNow):
			s.start(unit, unit.Reserved)
		case found != nil && (found.speed >= s.slowestSpeed(unit.Reserved) || s.hasWaitedLong(unit)):
			s.start(unit, found.workers)
		default:
			s.reserve(unit, unit.Reserved)
		}
	}
	return rest
}

// reservationFits reports whether all members of a unit fit on the workers that are reserved for it.
func (s *planState) reservationFits(unit *Unit, view resourceView) bool {
	members := map[string]int{}
	for _, id := range unit.Reserved {
		members[id]++
	}
	for id, count := range members {
		worker, known := s.workers[id]
		if !known || !s.allowed(unit, worker) || countFitting(unit, worker, view(worker)) < count {
			return false
		}
	}
	return true
}

// slowestSpeed returns the speed of the slowest of the workers.
func (s *planState) slowestSpeed(workers []string) float64 {
	speed := math.Inf(1)
	for _, id := range workers {
		speed = min(speed, s.workers[id].Speed)
	}
	return speed
}
