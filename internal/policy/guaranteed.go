package policy

import (
	"math/bits"
	"slices"

	"github.com/google/btree"
)

// slotTries bounds the slots of one guarantee that are looked at.
const slotTries = 16

// holds reports whether every gang of the other shape fits, member for member, where one of this shape does.
func (s Shape) holds(other Shape) bool {
	if other.Members > s.Members || other.Accelerators > s.Accelerators || other.Accelerators == 0 {
		return false
	}
	return other.Members <= 1 || other.Adjacency >= s.Adjacency
}

// findGuaranteed looks for room for the gang in a slot of its account that holds its shape, whatever borrowers stand
// there, and leaves it in s.trial: free room beside the gangs of a used slot of the smallest such shape; else an
// unused slot, the smallest first, which is returned; else any room in a used one. Without a slot returned the room
// is in a used one.
func (s *Scheduler) findGuaranteed(r *run, q *request) (*slot, bool) {
	smallest := true
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		if smallest && s.slotWithRoom(g.used, q, true) != nil {
			return nil, true
		}
		smallest = false
		if sl := s.slotWithRoom(g.idle, q, false); sl != nil {
			return sl, true
		}
	}
	for _, g := range r.account.guarantees {
		if g.Shape.holds(r.Shape) && s.slotWithRoom(g.used, q, false) != nil {
			return nil, true
		}
	}
	return nil, false
}

// slotWithRoom returns the first slot with room for the gang; with free only room that nobody uses counts.
func (s *Scheduler) slotWithRoom(slots *btree.BTreeG[*slot], q *request, free bool) *slot {
	var found *slot
	left := slotTries
	slots.Ascend(func(sl *slot) bool {
		if s.takeSlot(sl, q) && (!free || s.trial.free(q)) {
			found = sl
		}
		left--
		return found == nil && left > 0
	})
	return found
}

// free reports whether nobody uses what the plan needs.
func (p *plan) free(q *request) bool {
	for _, sp := range p.spots {
		w := sp.worker
		_, members := p.on(w)
		if sp.mask&(w.used|w.claimed) != 0 || w.freeCores < members*q.cores || w.freeMemory < members*q.memory {
			return false
		}
	}
	return true
}

// takeSlot fills the trial with room in the slot; false when the whole gang does not find it.
func (s *Scheduler) takeSlot(sl *slot, q *request) bool {
	s.trial.reset()
	for _, u := range sl.units {
		if len(s.trial.spots) > 0 && !q.reaches(s.trial.spots[0].worker, u.worker) {
			s.trial.reset()
		}
		s.takeHome(q, u.worker, u.mask&^u.worker.protected)
		if len(s.trial.spots) == q.members {
			return true
		}
	}
	return false
}

// takeHome adds members on the mask to the trial, free accelerators first, as many as the worker's firm capacity allows.
func (s *Scheduler) takeHome(q *request, w *workerState, mask uint32) {
	if slices.Contains(q.avoid, w.Name) {
		return
	}
	taken, members := s.trial.on(w)
	mask &^= taken
	size, home := cellSizes[q.class], bits.OnesCount32(w.home)
	free := mask &^ (w.used | w.claimed)
	for len(s.trial.spots) < q.members {
		members++
		if cores, memory := w.over(members, size, q.cores, q.memory); !w.firmWith(home, cores, memory) {
			return
		}
		cell := takeCell(free, q.class)
		if cell == 0 {
			cell = takeCell(mask, q.class)
		}
		if cell == 0 {
			return
		}
		s.trial.broken += brokenBy(free, cell)
		free &^= cell
		mask &^= cell
		s.trial.add(w, cell)
	}
}
