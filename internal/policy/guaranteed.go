package policy

import (
	"math/bits"
	"slices"

	"github.com/google/btree"
)

// entitlementTries bounds the entitlements of one guarantee that are looked at.
const entitlementTries = 16

// holds reports whether every gang of the other shape fits, member for member, where one of this shape does.
func (s Shape) holds(other Shape) bool {
	if other.Members > s.Members || other.Accelerators > s.Accelerators || other.Accelerators == 0 {
		return false
	}
	return other.Members <= 1 || other.Adjacency >= s.Adjacency
}

// findGuaranteed looks for room for the gang in an entitlement of its account that holds its shape, whatever
// borrowers stand there, and leaves it in s.trial: free room beside the gangs of a used entitlement of the smallest
// such shape; else an unused entitlement, the smallest first, which is returned; else any room in a used one.
// Without an entitlement returned the room is in a used one.
func (s *Scheduler) findGuaranteed(r *run, q *request) (*entitlement, bool) {
	smallest := true
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		if smallest && s.entitlementWithRoom(g.used, q, true) != nil {
			return nil, true
		}
		smallest = false
		if ent := s.entitlementWithRoom(g.idle, q, false); ent != nil {
			return ent, true
		}
	}
	for _, g := range r.account.guarantees {
		if g.Shape.holds(r.Shape) && s.entitlementWithRoom(g.used, q, false) != nil {
			return nil, true
		}
	}
	return nil, false
}

// entitlementWithRoom returns the first entitlement with room for the gang; with free only room that nobody uses
// counts.
func (s *Scheduler) entitlementWithRoom(entitlements *btree.BTreeG[*entitlement], q *request, free bool) *entitlement {
	var found *entitlement
	left := entitlementTries
	entitlements.Ascend(func(ent *entitlement) bool {
		if s.takeEntitlement(ent, q) && (!free || s.trial.free(q)) {
			found = ent
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

// takeEntitlement fills the trial with room in the entitlement; false when the whole gang does not find it.
func (s *Scheduler) takeEntitlement(ent *entitlement, q *request) bool {
	s.trial.reset()
	for _, u := range ent.units {
		if len(s.trial.spots) > 0 && !q.reaches(s.trial.spots[0].worker, u.worker) {
			s.trial.reset()
		}
		s.takeGuaranteed(q, u.worker, u.mask&^u.worker.protected)
		if len(s.trial.spots) == q.members {
			return true
		}
	}
	return false
}

// takeGuaranteed adds members on the mask to the trial, free accelerators first, as many as the worker's firm
// capacity allows.
func (s *Scheduler) takeGuaranteed(q *request, w *workerState, mask uint32) {
	if slices.Contains(q.avoid, w.Name) {
		return
	}
	taken, members := s.trial.on(w)
	mask &^= taken
	size, guaranteed := cellSizes[q.class], bits.OnesCount32(w.guaranteed)
	free := mask &^ (w.used | w.claimed)
	for len(s.trial.spots) < q.members {
		members++
		if cores, memory := w.over(members, size, q.cores, q.memory); !w.firmWith(guaranteed, cores, memory) {
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
