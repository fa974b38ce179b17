package policy

import (
	"math/bits"
	"slices"
)

// unitTries bounds the cells of one account that are looked at as the room of a gang, for each size class.
const unitTries = 32

// findGuaranteed looks for room for the gang in the unprotected cells of its account, whatever borrowers stand
// there, and leaves it in s.trial. Cells that the account uses already come before unused ones.
func (s *Scheduler) findGuaranteed(r *run, q *request) bool {
	if q.class < 0 || len(r.account.guarantees) == 0 {
		return false
	}
	if sl := r.exactSlot(); sl != nil && s.guaranteedIn(sl, q) {
		return true
	}
	switch q.adjacency {
	case SameWorker:
		return s.guaranteedInWorker(r, q)
	case SameRack:
		return s.guaranteedInRack(r, q)
	default:
		return s.guaranteedAnywhere(r, q)
	}
}

// guaranteedIn takes the whole slot.
func (s *Scheduler) guaranteedIn(sl *slot, q *request) bool {
	s.trial.reset()
	for _, u := range sl.units {
		s.takeHome(q, u.worker, u.mask&^u.worker.protected)
	}
	return len(s.trial.spots) == q.members
}

func (s *Scheduler) guaranteedInWorker(r *run, q *request) bool {
	found := s.eachUnit(r.account, q.class, unitTries, func(u *homeUnit) bool {
		return s.guaranteedOn(r, q, u.worker)
	})
	return found || s.eachIdle(r, func(sl *slot) bool {
		return slices.ContainsFunc(sl.units, func(u *homeUnit) bool { return s.guaranteedOn(r, q, u.worker) })
	})
}

func (s *Scheduler) guaranteedOn(r *run, q *request, w *workerState) bool {
	s.trial.reset()
	s.takeHome(q, w, w.homeOf(r.account))
	return len(s.trial.spots) == q.members
}

func (s *Scheduler) guaranteedInRack(r *run, q *request) bool {
	var last *rackState
	found := s.eachUnit(r.account, q.class, unitTries, func(u *homeUnit) bool {
		if u.worker.rack == last {
			return false
		}
		last = u.worker.rack
		return s.guaranteedWithin(r, q, last)
	})
	return found || s.eachIdle(r, func(sl *slot) bool {
		return s.guaranteedWithin(r, q, sl.units[0].worker.rack)
	})
}

func (s *Scheduler) guaranteedWithin(r *run, q *request, rack *rackState) bool {
	s.trial.reset()
	for _, w := range rack.workers {
		if w.condition == Healthy {
			s.takeHome(q, w, w.homeOf(r.account))
		}
	}
	return len(s.trial.spots) == q.members
}

func (s *Scheduler) guaranteedAnywhere(r *run, q *request) bool {
	s.trial.reset()
	return s.eachUnit(r.account, q.class, 2*MaxMembers, func(u *homeUnit) bool {
		s.takeHome(q, u.worker, u.mask&^u.worker.protected)
		return len(s.trial.spots) == q.members
	})
}

// eachUnit calls visit for the account's units that have an unprotected cell of the class until it returns true;
// at most limit units of each class.
func (s *Scheduler) eachUnit(a *accountState, class, limit int, visit func(*homeUnit) bool) bool {
	found := false
	for ; class < sizeClasses && !found; class++ {
		left := limit
		a.units[class].Ascend(func(key unitKey) bool {
			found = visit(key.unit)
			left--
			return !found && left > 0
		})
	}
	return found
}

// eachIdle calls visit for one unused slot of each guarantee that takes the whole gang.
func (s *Scheduler) eachIdle(r *run, visit func(*slot) bool) bool {
	for _, g := range r.account.guarantees {
		if sl, found := g.idle.Min(); found && sl.coversShape(r.Shape) && visit(sl) {
			return true
		}
	}
	return false
}

// homeOf returns the unprotected accelerators of the account's units on the worker.
func (w *workerState) homeOf(a *accountState) uint32 {
	var mask uint32
	for _, u := range w.units {
		if u.slot.account == a && u.slot.guarantee != nil {
			mask |= u.mask
		}
	}
	return mask &^ w.protected
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

// sharesUnits reports whether the spots lie in units that the account uses already.
func (s *Scheduler) sharesUnits(a *accountState, spots []spot) bool {
	for _, sp := range spots {
		for _, u := range sp.worker.units {
			if u.busy && u.slot.account == a && sp.mask&u.mask != 0 {
				return true
			}
		}
	}
	return false
}
