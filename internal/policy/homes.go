package policy

import (
	"math/bits"
	"slices"

	"github.com/google/btree"
)

// slot is one guaranteed shape, or one spare worker, with the cells that are set aside for it at present.
type slot struct {
	number int
	// guarantee is nil for a spare worker.
	guarantee *guaranteeState
	account   *accountState
	units     []*homeUnit
	// busy counts the units that protected gangs use; blocked counts those on workers that take no work.
	busy    int
	blocked int
	// oneRack slots keep all units in one rack; fixedRack slots never change it, for its spare worker is there.
	oneRack   bool
	fixedRack bool
	// filed is the set of its guarantee that the slot is in.
	filed *btree.BTreeG[*slot]
}

// homeUnit is the part of a slot that has to stay together on one worker.
type homeUnit struct {
	slot   *slot
	worker *workerState
	mask   uint32
	// region is the smallest cell around mask; 0 when there is none, and the unit can't change places.
	region uint32
	// class is the size class of the region.
	class   int
	busy    bool
	blocked bool
}

func lessSlot(a, b *slot) bool {
	return a.number < b.number
}

// addSlot sets the members aside. A nil guarantee makes them a spare worker.
func (s *Scheduler) addSlot(g *guaranteeState, account *accountState, members []spot) {
	s.slotCount++
	sl := &slot{number: s.slotCount, guarantee: g, account: account}
	together := g == nil
	if g != nil {
		sl.oneRack = g.Shape.rackBound()
		sl.fixedRack = sl.oneRack && g.Spare
		together = g.Shape.Adjacency == SameWorker
	} else {
		sl.fixedRack = true
	}
	for _, m := range members {
		if last := len(sl.units) - 1; together && last >= 0 {
			sl.units[last].mask |= m.mask
			continue
		}
		sl.units = append(sl.units, &homeUnit{slot: sl, worker: m.worker, mask: m.mask})
	}
	for _, u := range sl.units {
		u.setRegion()
		u.worker.units = append(u.worker.units, u)
		u.worker.home |= u.mask
	}
	s.slots = append(s.slots, sl)
	for _, u := range sl.units {
		s.fileUnit(u)
	}
}

// setRegion finds the smallest cell around the mask.
func (u *homeUnit) setRegion() {
	first := bits.TrailingZeros32(u.mask)
	for class := range cellSizes {
		region := enclosing(first, class)
		if u.mask&^region == 0 && region&^u.worker.all == 0 {
			u.region, u.class = region, class
			return
		}
	}
	u.region, u.class = 0, -1
}

// dropSlot gives the cells up.
func (s *Scheduler) dropSlot(sl *slot) {
	for _, u := range sl.units {
		w := u.worker
		w.units = slices.DeleteFunc(w.units, func(other *homeUnit) bool { return other == u })
		w.home &^= u.mask
	}
	s.unfileSlot(sl)
	s.slots = slices.DeleteFunc(s.slots, func(other *slot) bool { return other == sl })
}

func (s *Scheduler) unfileSlot(sl *slot) {
	if sl.filed != nil {
		sl.filed.Delete(sl)
		sl.filed = nil
	}
}

// refreshUnits files the units of the worker again after a change on it.
func (s *Scheduler) refreshUnits(w *workerState) {
	for _, u := range w.units {
		s.fileUnit(u)
	}
}

// fileUnit notes whether gangs use the unit, and whether its worker takes work.
func (s *Scheduler) fileUnit(u *homeUnit) {
	sl, w := u.slot, u.worker
	if sl.guarantee == nil {
		return
	}
	if busy := u.mask&w.protected != 0; busy != u.busy {
		u.busy = busy
		sl.busy += signOf(busy)
	}
	if blocked := w.condition != Healthy; blocked != u.blocked {
		u.blocked = blocked
		sl.blocked += signOf(blocked)
	}
	s.enterSlot(sl)
}

// enterSlot notes whether the slot is unused, used or out of reach.
func (s *Scheduler) enterSlot(sl *slot) {
	set := sl.guarantee.idle
	switch {
	case sl.blocked > 0:
		set = nil
	case sl.busy > 0:
		set = sl.guarantee.used
	}
	if set != sl.filed {
		s.unfileSlot(sl)
		sl.filed = set
		if set != nil {
			set.ReplaceOrInsert(sl)
		}
	}
	if sl.busy == 0 && sl.blocked > 0 {
		s.unpacked = true
	}
}

func signOf(up bool) int {
	if up {
		return 1
	}
	return -1
}

// exchange is one swap of what is set aside in two cells of the same class.
type exchange struct {
	a, b   *workerState
	ra, rb uint32
}

// swap exchanges all homes in the cells ra of worker a and rb of worker b. Gangs stay where they are. It returns
// false, and changes nothing, when a protected gang stands in either cell, a home reaches beyond it, a spare
// worker would no longer cover its rack, or a worker could not give every home its share of cores and memory.
func (s *Scheduler) swap(a *workerState, ra uint32, b *workerState, rb uint32) bool {
	if a == b && ra == rb {
		return false
	}
	alike := a.rack == b.rack && a.Accelerators == b.Accelerators
	if !a.movable(ra, alike) || !b.movable(rb, alike) {
		return false
	}
	s.exchangeUnits(a, ra, b, rb)
	if !a.firm() || !b.firm() {
		s.exchangeUnits(a, ra, b, rb)
		return false
	}
	s.refreshUnits(a)
	if a != b {
		s.refreshUnits(b)
	}
	return true
}

// movable reports whether all homes that touch the region can leave it, for a worker alike in rack and width or not.
func (w *workerState) movable(region uint32, alike bool) bool {
	if region == 0 || region&^w.all != 0 || w.protected&region != 0 || w.condition != Healthy || w.distrusted {
		return false
	}
	for _, u := range w.units {
		if u.mask&region == 0 {
			continue
		}
		if u.region == 0 || u.region&^region != 0 || u.slot.fixedRack && !alike {
			return false
		}
	}
	return true
}

// exchangeUnits moves the units of the two regions to the same offsets of the other one.
func (s *Scheduler) exchangeUnits(a *workerState, ra uint32, b *workerState, rb uint32) {
	var fromA, fromB [largestCell]*homeUnit
	countA, countB := a.takeUnits(ra, &fromA), b.takeUnits(rb, &fromB)
	fa, fb := bits.TrailingZeros32(ra), bits.TrailingZeros32(rb)
	for _, u := range fromA[:countA] {
		b.putUnit(u, fa, fb)
	}
	for _, u := range fromB[:countB] {
		a.putUnit(u, fb, fa)
	}
}

func (w *workerState) takeUnits(region uint32, taken *[largestCell]*homeUnit) int {
	count, kept := 0, 0
	for _, u := range w.units {
		if u.mask&region == 0 {
			w.units[kept] = u
			kept++
			continue
		}
		taken[count] = u
		count++
		w.home &^= u.mask
	}
	clear(w.units[kept:])
	w.units = w.units[:kept]
	return count
}

func (w *workerState) putUnit(u *homeUnit, from, to int) {
	u.mask = u.mask >> from << to
	u.region = u.region >> from << to
	u.worker = w
	w.units = append(w.units, u)
	w.home |= u.mask
}

// newSlotSet returns an empty set of slots.
func newSlotSet() *btree.BTreeG[*slot] {
	return btree.NewG(treeDegree, lessSlot)
}
