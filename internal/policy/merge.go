package policy

import (
	"math/bits"
	"slices"
)

// mergeTries bounds the holes of one class that are looked at in one decision.
const mergeTries = 8

// mergeHoles moves one gang out of the buddy of a hole into another hole, so that the first becomes part of a larger
// free cell, when the gang is expected to stay long enough. A gang inside its account's guarantee moves only to where
// it stays inside.
func (s *Scheduler) mergeHoles() {
	if !s.config.Bounds.MergeHoles || !s.moves.allows(1, s.now, s.config.Bounds.MovesPerHour) {
		return
	}
	for class := range sizeClasses - 1 {
		found := s.firstHoles(class)
		for _, from := range found {
			if m := s.buddyOf(from, class); m != nil && s.moveInto(m, from, found) {
				s.moves.moved++
				return
			}
		}
	}
}

// firstHoles returns free cells of the class of which the buddy is not free, on the fastest workers that have some.
func (s *Scheduler) firstHoles(class int) []spot {
	var found []spot
	n := need{group: class + 1, class: class, cells: 1}
	from := 0
	for range mergeTries {
		leaf := s.speeds.next(from, len(s.workers), n)
		if leaf < 0 {
			break
		}
		from = leaf + 1
		w := s.speeds.leaves[leaf]
		for first := firstBits(holes(w.available(), class), class); first != 0; first &= first - 1 {
			found = append(found, spot{worker: w, mask: cellMask(bits.TrailingZeros32(first), class)})
		}
	}
	return found
}

// buddyOf returns the gang that holds exactly the buddy of the hole, nil when there is none that may move.
func (s *Scheduler) buddyOf(h spot, class int) *run {
	buddy := enclosing(bits.TrailingZeros32(h.mask), class+1) &^ h.mask
	for _, r := range h.worker.runs {
		movable := r.state == running && !r.stopping && len(r.destination) == 0 && !s.graced(r)
		if movable && len(r.spots) == 1 && r.spots[0].mask == buddy {
			return r
		}
	}
	return nil
}

// moveInto moves the run into one of the other holes when that is worth its cost.
func (s *Scheduler) moveInto(m *run, from spot, others []spot) bool {
	stay := min(m.endMillis-s.now, longestGainMillis)
	if gain := stay * int64(2*m.total()); gain < moveGain*s.moveCost(m) {
		return false
	}
	for _, to := range others {
		w := to.worker
		slower := w.SpeedPermille < from.worker.SpeedPermille
		avoided := slices.Contains(m.FailedWorkers, w.Name) || m.protected && !s.staysInside(m, to)
		if w == from.worker && to.mask == from.mask || slower || avoided || w.freeCores < m.Cores || w.freeMemory < m.MemoryMiB {
			continue
		}
		m.destination = []spot{{worker: w, mask: to.mask}}
		s.claimCapacity(m, m.destination)
		s.move(m)
		return true
	}
	return false
}

// staysInside reports whether the hole lies beside another gang in a guaranteed shape that holds the protected run.
func (s *Scheduler) staysInside(m *run, to spot) bool {
	ent := coveredBy(m.account, to)
	return ent != nil && ent.busy > 0 && ent.blocked == 0 && ent.guarantee.Shape.holds(m.Shape) && coveredBy(m.account, m.spots[0]) != ent
}
