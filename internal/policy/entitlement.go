package policy

import (
	"math/bits"
	"slices"

	"github.com/google/btree"
)

// entitlement is one guaranteed shape, or one spare worker, with the cells that are set aside for it at present.
type entitlement struct {
	number int
	// guarantee is nil for a spare worker.
	guarantee *guaranteeState
	account   *accountState
	units     []*entitledUnit
	// busy counts the units that protected gangs use; blocked counts those on workers that take no work.
	busy    int
	blocked int
	// oneRack entitlements keep all units in one rack; fixedRack entitlements never change it, for its spare worker
	// is there.
	oneRack   bool
	fixedRack bool
	// filed is the set of its guarantee that the entitlement is in.
	filed *btree.BTreeG[*entitlement]
}

// entitledUnit is the part of an entitlement that has to stay together on one worker.
type entitledUnit struct {
	entitlement *entitlement
	worker      *workerState
	mask        uint32
	// region is the smallest cell around mask; 0 when there is none, and the unit can't change places.
	region uint32
	// class is the size class of the region.
	class   int
	busy    bool
	blocked bool
}

func lessEntitlement(a, b *entitlement) bool {
	return a.number < b.number
}

// addEntitlement sets the members aside. A nil guarantee makes them a spare worker.
func (s *Scheduler) addEntitlement(g *guaranteeState, account *accountState, members []spot) {
	s.entitlementCount++
	ent := &entitlement{number: s.entitlementCount, guarantee: g, account: account}
	together := g == nil
	if g != nil {
		ent.oneRack = g.Shape.rackBound()
		ent.fixedRack = ent.oneRack && g.Spare
		together = g.Shape.Adjacency == SameWorker
	} else {
		ent.fixedRack = true
	}
	for _, m := range members {
		if last := len(ent.units) - 1; together && last >= 0 {
			ent.units[last].mask |= m.mask
			continue
		}
		ent.units = append(ent.units, &entitledUnit{entitlement: ent, worker: m.worker, mask: m.mask})
	}
	for _, u := range ent.units {
		u.setRegion()
		u.worker.units = append(u.worker.units, u)
		u.worker.guaranteed |= u.mask
	}
	s.entitlements = append(s.entitlements, ent)
	for _, u := range ent.units {
		s.fileUnit(u)
	}
}

// setRegion finds the smallest cell around the mask.
func (u *entitledUnit) setRegion() {
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

// dropEntitlement gives the cells up.
func (s *Scheduler) dropEntitlement(ent *entitlement) {
	for _, u := range ent.units {
		w := u.worker
		w.units = slices.DeleteFunc(w.units, func(other *entitledUnit) bool { return other == u })
		w.guaranteed &^= u.mask
	}
	s.unfileEntitlement(ent)
	s.entitlements = slices.DeleteFunc(s.entitlements, func(other *entitlement) bool { return other == ent })
}

func (s *Scheduler) unfileEntitlement(ent *entitlement) {
	if ent.filed != nil {
		ent.filed.Delete(ent)
		ent.filed = nil
	}
}

// refreshUnits files the units of the worker again after a change on it.
func (s *Scheduler) refreshUnits(w *workerState) {
	for _, u := range w.units {
		s.fileUnit(u)
	}
}

// fileUnit notes whether gangs use the unit, and whether its worker takes work.
func (s *Scheduler) fileUnit(u *entitledUnit) {
	ent, w := u.entitlement, u.worker
	if ent.guarantee == nil {
		return
	}
	if busy := u.mask&w.protected != 0; busy != u.busy {
		u.busy = busy
		ent.busy += signOf(busy)
	}
	if blocked := w.condition != Healthy; blocked != u.blocked {
		u.blocked = blocked
		ent.blocked += signOf(blocked)
	}
	s.fileEntitlement(ent)
}

// fileEntitlement notes whether the entitlement is unused, used or out of reach.
func (s *Scheduler) fileEntitlement(ent *entitlement) {
	set := ent.guarantee.idle
	switch {
	case ent.blocked > 0:
		set = nil
	case ent.busy > 0:
		set = ent.guarantee.used
	}
	if set != ent.filed {
		s.unfileEntitlement(ent)
		ent.filed = set
		if set != nil {
			set.ReplaceOrInsert(ent)
		}
	}
	if ent.busy == 0 && ent.blocked > 0 {
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

// swap exchanges all guaranteed cells in the cells ra of worker a and rb of worker b. Gangs stay where they are. It
// returns false, and changes nothing, when a protected gang stands in either cell, a guaranteed cell reaches beyond
// it, a spare worker would no longer cover its rack, or a worker could not give every guaranteed cell its share of
// cores and memory.
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

// movable reports whether all guaranteed cells that touch the region can leave it, for a worker alike in rack and
// width or not.
func (w *workerState) movable(region uint32, alike bool) bool {
	if region == 0 || region&^w.all != 0 || w.protected&region != 0 || w.condition != Healthy || w.distrusted {
		return false
	}
	for _, u := range w.units {
		if u.mask&region == 0 {
			continue
		}
		if u.region == 0 || u.region&^region != 0 || u.entitlement.fixedRack && !alike {
			return false
		}
	}
	return true
}

// exchangeUnits moves the units of the two regions to the same offsets of the other one.
func (s *Scheduler) exchangeUnits(a *workerState, ra uint32, b *workerState, rb uint32) {
	var fromA, fromB [largestCell]*entitledUnit
	countA, countB := a.takeUnits(ra, &fromA), b.takeUnits(rb, &fromB)
	fa, fb := bits.TrailingZeros32(ra), bits.TrailingZeros32(rb)
	for _, u := range fromA[:countA] {
		b.putUnit(u, fa, fb)
	}
	for _, u := range fromB[:countB] {
		a.putUnit(u, fb, fa)
	}
}

func (w *workerState) takeUnits(region uint32, taken *[largestCell]*entitledUnit) int {
	count, kept := 0, 0
	for _, u := range w.units {
		if u.mask&region == 0 {
			w.units[kept] = u
			kept++
			continue
		}
		taken[count] = u
		count++
		w.guaranteed &^= u.mask
	}
	clear(w.units[kept:])
	w.units = w.units[:kept]
	return count
}

func (w *workerState) putUnit(u *entitledUnit, from, to int) {
	u.mask = u.mask >> from << to
	u.region = u.region >> from << to
	u.worker = w
	w.units = append(w.units, u)
	w.guaranteed |= u.mask
}

// newEntitlementSet returns an empty set of entitlements.
func newEntitlementSet() *btree.BTreeG[*entitlement] {
	return btree.NewG(treeDegree, lessEntitlement)
}
