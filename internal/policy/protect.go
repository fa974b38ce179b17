package policy

import (
	"math/bits"
	"slices"
)

// transaction records what protect did, so that it can be undone.
type transaction struct {
	exchanges []exchange
	marked    []spot
	moved     []*entitlement
}

// protect brings the spots inside the guarantee of the run's account: it moves the unused entitlement under the
// spots, exchanging guaranteed cells, and marks the spots; without an entitlement the spots must lie in one that is
// used already. On false nothing has changed.
func (s *Scheduler) protect(r *run, spots []spot, ent *entitlement) bool {
	if r.Shape.Accelerators == 0 || len(spots) == 0 {
		return false
	}
	roomier := r.account.roomier
	s.transaction.reset()
	if (ent == nil || s.moveEntitlement(ent, spots, spots[0].worker.rack)) && s.markAll(r, spots) {
		return true
	}
	s.rollback(r)
	r.account.roomier = roomier
	return false
}

// moveEntitlement moves the units of an unused entitlement under the spots, and what is left of it elsewhere in the
// rack.
func (s *Scheduler) moveEntitlement(ent *entitlement, spots []spot, rack *rackState) bool {
	next := 0
	for _, sp := range spots {
		if ent.covers(sp) {
			continue
		}
		for next < len(ent.units) && ent.units[next].underAny(spots) {
			next++
		}
		if next == len(ent.units) {
			return false
		}
		u := ent.units[next]
		if !s.exchange(u, sp.worker, enclosing(bits.TrailingZeros32(sp.mask), u.class)) {
			return false
		}
	}
	for _, u := range ent.units {
		if ent.oneRack && u.worker.rack != rack && !s.moveWithin(u, rack, nil) {
			return false
		}
	}
	return s.transaction.keepsRacks()
}

// keepsRacks reports whether all entitlements that were moved and are bound to one rack are within one.
func (tx *transaction) keepsRacks() bool {
	for _, ent := range tx.moved {
		if !ent.keepsRack() {
			return false
		}
	}
	return true
}

// moveWithin moves the unit to any place on the rack's workers but those to avoid.
func (s *Scheduler) moveWithin(u *entitledUnit, rack *rackState, avoid []string) bool {
	if u.class < 0 {
		return false
	}
	for _, w := range rack.workers {
		if slices.Contains(avoid, w.Name) {
			continue
		}
		for first := 0; first < w.Accelerators; first += cellSizes[u.class] {
			region := enclosing(first, u.class)
			if !u.entitlement.touches(w, region) && s.exchange(u, w, region) {
				return true
			}
		}
	}
	return false
}

func (ent *entitlement) touches(w *workerState, region uint32) bool {
	for _, u := range ent.units {
		if u.worker == w && u.mask&region != 0 {
			return true
		}
	}
	return false
}

func (ent *entitlement) covers(sp spot) bool {
	for _, u := range ent.units {
		if u.coversSpot(sp) {
			return true
		}
	}
	return false
}

func (u *entitledUnit) coversSpot(sp spot) bool {
	return u.worker == sp.worker && sp.mask&^(u.mask&^u.worker.protected) == 0
}

func (u *entitledUnit) underAny(spots []spot) bool {
	for _, sp := range spots {
		if u.worker == sp.worker && u.mask&sp.mask != 0 {
			return true
		}
	}
	return false
}

func (ent *entitlement) keepsRack() bool {
	if !ent.oneRack {
		return true
	}
	for _, u := range ent.units {
		if u.worker.rack != ent.units[0].worker.rack {
			return false
		}
	}
	return true
}

// markAll marks the spots when one entitlement that holds the run's shape covers them all. On false some may be
// marked, as the transaction records.
func (s *Scheduler) markAll(r *run, spots []spot) bool {
	var first *entitlement
	for _, sp := range spots {
		ent := coveredBy(r.account, sp)
		if ent == nil || first != nil && ent != first || !ent.guarantee.Shape.holds(r.Shape) || !s.markProtected(r, sp) {
			return false
		}
		first = ent
	}
	return true
}

// coveredBy returns the account's entitlement in whose unprotected cells the spot lies, nil when there is none.
func coveredBy(a *accountState, sp spot) *entitlement {
	for _, u := range sp.worker.units {
		if u.entitlement.account == a && u.entitlement.guarantee != nil && u.coversSpot(sp) {
			return u.entitlement
		}
	}
	return nil
}

// exchange swaps the guaranteed cells of the unit's region and of the region given, and records it.
func (s *Scheduler) exchange(u *entitledUnit, to *workerState, region uint32) bool {
	from, was := u.worker, u.region
	if u.class < 0 || !s.swap(from, was, to, region) {
		return false
	}
	tx := &s.transaction
	tx.exchanges = append(tx.exchanges, exchange{a: from, ra: was, b: to, rb: region})
	if from.rack != to.rack {
		tx.noteMoved(from, was)
		tx.noteMoved(to, region)
	}
	return true
}

func (tx *transaction) noteMoved(w *workerState, region uint32) {
	for _, u := range w.units {
		if u.mask&region != 0 && u.entitlement.oneRack {
			tx.moved = append(tx.moved, u.entitlement)
		}
	}
}

func (tx *transaction) reset() {
	tx.exchanges = tx.exchanges[:0]
	tx.marked = tx.marked[:0]
	clear(tx.moved)
	tx.moved = tx.moved[:0]
}

// markProtected marks the spot; false, with nothing changed, when the member asks for more cores or memory than can
// be given beside the other guaranteed cells of the worker.
func (s *Scheduler) markProtected(r *run, sp spot) bool {
	w := sp.worker
	cores, memory := w.over(1, r.Shape.Accelerators, r.Cores, r.MemoryMiB)
	if !w.firmWith(bits.OnesCount32(w.guaranteed), cores, memory) {
		return false
	}
	w.protected |= sp.mask
	w.overCores += cores
	w.overMemory += memory
	s.transaction.marked = append(s.transaction.marked, sp)
	s.refreshUnits(w)
	return true
}

// unprotect takes the marks of the spots back.
func (s *Scheduler) unprotect(r *run, spots []spot) {
	for _, sp := range spots {
		w := sp.worker
		cores, memory := w.over(1, r.Shape.Accelerators, r.Cores, r.MemoryMiB)
		w.protected &^= sp.mask
		w.overCores -= cores
		w.overMemory -= memory
		s.refreshUnits(w)
	}
	r.account.roomier = true
}

func (s *Scheduler) rollback(r *run) {
	s.unprotect(r, s.transaction.marked)
	s.undoExchanges()
}

func (s *Scheduler) undoExchanges() {
	tx := &s.transaction
	for i := len(tx.exchanges) - 1; i >= 0; i-- {
		e := tx.exchanges[i]
		s.swap(e.a, e.ra, e.b, e.rb)
	}
	tx.reset()
}
