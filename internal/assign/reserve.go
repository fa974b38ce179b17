package assign

import (
	"math"
	"slices"
)

// resumeReserved serves the units with reservations of earlier plans and returns the other units. A unit keeps its
// reservation until it starts: a new search in each plan would preempt more and more runs, as the speed that the unit needs
// for its objective rises with time, and other units would take the resources in between. It starts on other workers if they
// are free and as fast, or if it has waited for long enough, and is returned to be placed again if its workers can no longer hold
// it.
func (s *planState) resumeReserved(ranked []*Unit) []*Unit {
	rest := ranked[:0]
	var reserved []*Unit
	for _, unit := range ranked {
		view := freeAfterStops
		if unit.Priority == 0 && !unit.Claimed {
			view = freeSoon // see holdSoon
		}
		if unit.Reserved == nil || unit.Exclusive || !s.reservationFits(unit, view) {
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
		case found != nil && (found.effectiveSpeed() >= s.reservedSpeed(unit) || s.hasWaitedLong(unit)):
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

// reservedSpeed returns the speed at which a unit runs on the workers that are reserved for it.
func (s *planState) reservedSpeed(unit *Unit) float64 {
	reserved := placement{speed: math.Inf(1)}
	racks := s.preferredRacks(unit)
	rackName := ""
	for i, id := range unit.Reserved {
		worker := s.workers[id]
		reserved.speed = min(reserved.speed, worker.Speed)
		if i == 0 {
			rackName = worker.Rack
			reserved.away = racks != nil && unit.Priority == 0 &&
				!slices.ContainsFunc(racks, func(preferred rack) bool { return preferred.name == rackName })
		}
		reserved.away = reserved.away || (racks != nil && unit.Priority == 0 && worker.Rack != rackName)
	}
	return reserved.effectiveSpeed()
}
