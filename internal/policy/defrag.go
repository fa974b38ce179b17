package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveTries bounds the gangs that are weighed for moving.
	moveTries = 48
	// moveCostMillis is what a stop and a start cost a gang beside the work lost.
	moveCostMillis = int64(time.Minute / time.Millisecond)
	// moveGain is how many times the gain of a move must be its cost.
	moveGain = 2
	// longestGainMillis bounds the waiting time that a move is taken to save.
	longestGainMillis = int64(2 * time.Hour / time.Millisecond)
)

// moveBudget bounds the moves of one hour.
type moveBudget struct {
	hourStartMillis int64
	moved           int
}

func (b *moveBudget) allows(moves int, nowMillis int64, perHour int) bool {
	if nowMillis-b.hourStartMillis >= time.Hour.Milliseconds() {
		b.hourStartMillis, b.moved = nowMillis, 0
	}
	return b.moved+moves <= perHour
}

// defragment moves borrowers away so that the reserved job can start now, when the waiting time that this saves is
// worth the work lost.
func (s *Scheduler) defragment(r *run, promisedMillis int64) bool {
	gain := min(promisedMillis-s.now, longestGainMillis) * int64(r.total())
	if gain < moveGain*moveCostMillis || r.Shape.Accelerators == 0 {
		return false
	}
	q := r.request()
	if _, fits := s.gather(&q, s.cheapMovers()); !fits {
		return false
	}
	spots := slices.Clone(s.trial.spots)
	movers := s.moversOn(spots)
	if !s.worthMoving(movers, gain) || !r.getsCapacity(spots, movers) || !s.moves.allows(len(movers), s.now, s.config.Bounds.MovesPerHour) {
		return false
	}
	if !s.findDestinations(r, movers, spots) {
		return false
	}
	s.moves.moved += len(movers)
	s.reservation = reservation{}
	s.dequeue(r)
	for _, m := range movers {
		r.victims++
		m.waiters = append(m.waiters[:0], r)
		s.move(m)
	}
	s.occupy(r, spots)
	r.state = claiming
	r.why = reason{kind: waitsForVictims, count: r.victims}
	return true
}

func (s *Scheduler) cheapMovers() []*run {
	s.candidates = s.candidates[:0]
	s.borrowers.Ascend(func(key borrowerKey) bool {
		if !s.graced(key.run) && len(key.run.destination) == 0 {
			s.candidates = append(s.candidates, key.run)
		}
		return len(s.candidates) < moveTries
	})
	slices.SortFunc(s.candidates, func(a, b *run) int {
		return cmp.Or(cmp.Compare(s.moveCost(a), s.moveCost(b)), cmp.Compare(a.sequence, b.sequence))
	})
	return s.candidates
}

func (s *Scheduler) moveCost(r *run) int64 {
	return r.lostIfStopped(s.now) + moveCostMillis*int64(max(r.total(), 1))
}

// moversOn returns the running borrowers on the spots, nil when something else is there or nothing has to move.
func (s *Scheduler) moversOn(spots []spot) []*run {
	var movers []*run
	for _, sp := range spots {
		if sp.mask&(sp.worker.used|sp.worker.claimed) == 0 {
			continue
		}
		for _, other := range sp.worker.runs {
			if !other.overlaps(sp) || slices.Contains(movers, other) {
				continue
			}
			if other.protected || other.state != running || other.stopping || len(other.destination) > 0 {
				return nil
			}
			movers = append(movers, other)
		}
	}
	return movers
}

// getsCapacity reports whether the run gets its cores and memory on the spots when the others have left.
func (r *run) getsCapacity(spots []spot, leaving []*run) bool {
	for _, sp := range spots {
		cores, memory := sp.worker.freeCores, sp.worker.freeMemory
		for _, other := range leaving {
			freedCores, freedMemory := other.capacityOn(sp.worker)
			cores += freedCores
			memory += freedMemory
		}
		for _, own := range spots {
			if own.worker == sp.worker {
				cores -= r.Cores
				memory -= r.MemoryMiB
			}
		}
		if cores < 0 || memory < 0 {
			return false
		}
	}
	return true
}

func (s *Scheduler) worthMoving(movers []*run, gain int64) bool {
	if len(movers) == 0 {
		return false
	}
	var cost int64
	for _, m := range movers {
		cost += s.moveCost(m)
	}
	return gain >= moveGain*cost
}

// findDestinations holds a free place for every mover outside the spots; all or none.
func (s *Scheduler) findDestinations(r *run, movers []*run, spots []spot) bool {
	s.claimCapacity(r, spots)
	defer s.freeCapacity(r, spots, true)
	for i, m := range movers {
		q := m.request()
		if !s.place(&q) {
			for _, earlier := range movers[:i] {
				s.dropDestination(earlier)
			}
			return false
		}
		m.destination = slices.Clone(s.best.spots)
		s.claimCapacity(m, m.destination)
	}
	return true
}

// move makes the run leave for its destination.
func (s *Scheduler) move(m *run) {
	m.stopping, m.stop = true, Moved
	s.unfileRun(m)
	s.issueStop(m)
}

// arrive gives a moved run its destination, where the next decision starts it.
func (s *Scheduler) arrive(r *run, destination []spot) {
	s.freeCapacity(r, destination, true)
	s.occupy(r, destination)
	if s.protect(r, r.spots, nil) {
		s.makeProtected(r)
	}
	r.state = claiming
	s.ready = append(s.ready, r)
}
