package policy

import (
	"cmp"
	"math/bits"
	"slices"
)

// Risk is a part of a guarantee that can't be reclaimed at present, because too few workers take work.
type Risk struct {
	Account string
	Shape   Shape
	// Missing is how many of the shapes have no cells.
	Missing int
	// SpareMissing is set when the shapes have cells, but the loss of one more worker is not covered.
	SpareMissing bool
}

// GuaranteesAtRisk returns what can't be reclaimed, or would not survive the loss of one more worker, although the
// sheet promises it. It is up to date after Decide.
func (s *Scheduler) GuaranteesAtRisk() []Risk {
	return slices.Clone(s.risks)
}

// configureGuarantees replaces the guarantees. Shapes that stay keep their cells where gangs use them.
func (s *Scheduler) configureGuarantees(guarantees []Guarantee) {
	old := s.entitlements
	s.guarantees = nil
	for _, a := range s.accountList {
		a.guarantees = nil
	}
	for _, g := range guarantees {
		if g.Count == 0 {
			continue
		}
		state := &guaranteeState{Guarantee: g, idle: newEntitlementSet(), used: newEntitlementSet()}
		s.guarantees = append(s.guarantees, state)
		a := s.accountOf(g.Account)
		a.guarantees = append(a.guarantees, state)
	}
	for _, a := range s.accountList {
		slices.SortStableFunc(a.guarantees, func(x, y *guaranteeState) int { return cmp.Compare(x.Shape.Total(), y.Shape.Total()) })
	}
	kept := make(map[*guaranteeState]int)
	for _, ent := range slices.Clone(old) {
		s.unfileEntitlement(ent)
		if state := s.successor(ent, kept); state != nil && ent.busy > 0 {
			kept[state]++
			ent.guarantee = state
			ent.fixedRack = ent.oneRack && state.Spare
			continue
		}
		s.vacate(ent)
	}
	s.unpacked = true
}

// successor returns the new guarantee that takes over the entitlement, nil when there is none.
func (s *Scheduler) successor(ent *entitlement, kept map[*guaranteeState]int) *guaranteeState {
	if ent.guarantee == nil {
		return nil
	}
	for _, state := range s.guarantees {
		if state.Account == ent.guarantee.Account && state.Shape == ent.guarantee.Shape && kept[state] < state.Count {
			return state
		}
	}
	return nil
}

// vacate drops the entitlement; protected gangs in it become borrowers.
func (s *Scheduler) vacate(ent *entitlement) {
	for _, u := range ent.units {
		for _, r := range slices.Clone(u.worker.runs) {
			if r.protected && r.overlaps(spot{worker: u.worker, mask: u.mask}) {
				s.demote(r)
			}
		}
	}
	s.dropEntitlement(ent)
}

// demote makes a protected run a borrower.
func (s *Scheduler) demote(r *run) {
	filed := r.filed
	s.unfileRun(r)
	s.unprotect(r, r.spots)
	r.protected = false
	s.addBorrower(r)
	if filed {
		s.fileRun(r)
	}
	s.restored = append(s.restored, r)
}

// makeProtected notes that protect has brought the borrower inside its account's guarantee.
func (s *Scheduler) makeProtected(r *run) {
	s.removeBorrower(r)
	s.borrowers.Delete(r.borrowerKey)
	r.protected = true
	r.backfilled = false
}

// keepMode says which entitlements packing leaves where they are, when all their workers take work.
type keepMode uint8

const (
	keepAll keepMode = iota
	keepUsed
	keepNone
)

// packEntitlements sets cells aside for all guarantees again, and changes no more than needed: entitlements in
// reach stay, else those in use, else none.
func (s *Scheduler) packEntitlements() {
	s.unpacked = false
	var best *packer
	var mode keepMode
	for keep := keepAll; keep <= keepNone; keep++ {
		if p := s.pack(keep); best == nil || p.lacks() < best.lacks() {
			best, mode = p, keep
		}
		if best.lacks() == 0 {
			break
		}
	}
	s.adopt(best, mode)
}

// lacks weighs what found no room: a shape more than all spare workers.
func (p *packer) lacks() int {
	const shape = 1000
	lacks := 0
	for i := range p.missing {
		if p.missing[i].SpareMissing {
			lacks++
		} else {
			lacks += shape * (p.missing[i].Count - p.missing[i].Fitting)
		}
	}
	return lacks
}

// packWithout packs the guaranteed cells on other workers than those where the job failed and nothing got on since.
// False, with nothing changed, means that there are none, or that not all guarantees pack without them.
func (s *Scheduler) packWithout(r *run) bool {
	var distrusted []*workerState
	for _, name := range r.FailedWorkers {
		w := s.byName[name]
		if w != nil && w.condition == Healthy && !w.distrusted && w.guaranteed != 0 && len(w.evidence.failures) > 0 {
			w.distrusted = true
			distrusted = append(distrusted, w)
		}
	}
	if len(distrusted) == 0 {
		return false
	}
	for keep := keepAll; keep <= keepNone; keep++ {
		if p := s.pack(keep); len(p.missing) == 0 {
			s.adopt(p, keep)
			s.protectRestored()
			return true
		}
	}
	for _, w := range distrusted {
		w.distrusted = false
	}
	return false
}

// pack packs as much as fits on the healthy workers, around the entitlements to keep.
func (s *Scheduler) pack(keep keepMode) *packer {
	guarantees := make([]Guarantee, len(s.guarantees))
	for i, g := range s.guarantees {
		guarantees[i] = g.Guarantee
	}
	var best *packer
	for _, order := range packOrders {
		p := s.newLivePacker(slices.Clone(guarantees), keep)
		_ = p.pack(order)
		if best == nil || p.lacks() < best.lacks() {
			best = p
		}
		if best.lacks() == 0 {
			break
		}
	}
	return best
}

func (s *Scheduler) newLivePacker(guarantees []Guarantee, keep keepMode) *packer {
	var workers []Worker
	for _, w := range s.workers {
		if w.condition == Healthy && !w.distrusted {
			workers = append(workers, w.Worker)
		}
	}
	p := newPacker(workers, guarantees)
	p.partial = true
	for _, ent := range s.entitlements {
		if ent.stays(keep) {
			p.keep(slices.Index(s.guarantees, ent.guarantee), ent)
		}
	}
	if keep == keepNone {
		return p
	}
	for i := range p.workers {
		w := s.byName[p.workers[i].Name]
		staying := w.staying(keep)
		for p.free[i] != 0 && !w.firmWith(staying+bits.OnesCount32(p.free[i]), 0, 0) {
			p.free[i] &= p.free[i] - 1
		}
	}
	return p
}

// staying returns the number of accelerators of the worker in entitlements that stay where they are.
func (w *workerState) staying(keep keepMode) int {
	count := 0
	for _, u := range w.units {
		if u.entitlement.stays(keep) {
			count += bits.OnesCount32(u.mask)
		}
	}
	return count
}

// stays reports whether packing leaves the entitlement where it is.
func (ent *entitlement) stays(keep keepMode) bool {
	if ent.guarantee == nil || ent.blocked > 0 || ent.distrusted() {
		return false
	}
	return keep == keepAll || keep == keepUsed && ent.busy > 0
}

// distrusted reports whether an unused entitlement has a unit on a worker that is to get no guaranteed cells.
func (ent *entitlement) distrusted() bool {
	return ent.busy == 0 && slices.ContainsFunc(ent.units, func(u *entitledUnit) bool { return u.worker.distrusted })
}

// keep leaves an entitlement where it is.
func (p *packer) keep(position int, ent *entitlement) {
	p.guarantees[position].Count--
	for _, u := range ent.units {
		at, healthy := p.index[u.worker.Name]
		if !healthy {
			continue
		}
		p.free[at] &^= u.mask
		if ent.oneRack && ent.guarantee.Spare {
			p.boundRacks = append(p.boundRacks, u.worker.Rack)
		}
	}
}

// adopt replaces the entitlements but for those to keep by the packed ones.
func (s *Scheduler) adopt(p *packer, keep keepMode) {
	for _, ent := range slices.Clone(s.entitlements) {
		if !ent.stays(keep) {
			s.vacate(ent)
		}
	}
	for _, packed := range p.packed {
		var spots []spot
		for _, m := range packed.Members {
			spots = append(spots, spot{worker: s.byName[m.Worker], mask: m.Mask})
		}
		if packed.Guarantee < 0 {
			s.addEntitlement(nil, nil, spots)
			continue
		}
		g := s.guarantees[packed.Guarantee]
		s.addEntitlement(g, s.accountOf(g.Account), spots)
	}
	s.risks = s.risks[:0]
	for _, m := range p.missing {
		s.risks = append(s.risks, Risk{Account: m.Account, Shape: m.Shape, Missing: m.Count - m.Fitting, SpareMissing: m.SpareMissing})
	}
	for _, a := range s.accountList {
		a.roomier = len(a.guarantees) > 0
	}
	s.freed = true
}

// protectRestored brings runs that lost their place in the guarantee, or came from another owner, back into it.
func (s *Scheduler) protectRestored() {
	restored := s.restored
	s.restored = nil
	slices.SortStableFunc(restored, func(a, b *run) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, r := range restored {
		if !r.protected && len(r.spots) > 0 && !r.stopping && s.protectWhereItIs(r) {
			s.makeProtected(r)
		}
	}
}

// promoteTries bounds the borrowers of one account that are looked at in one decision.
const promoteTries = 16

// promote brings borrowers inside their account's guarantee where room became free.
func (s *Scheduler) promote(a *accountState) {
	a.roomier = false
	var candidates [promoteTries]*run
	count := 0
	a.borrowers.Ascend(func(r *run) bool {
		if (r.state == running || r.state == starting) && !r.stopping && r.Shape.Accelerators > 0 {
			candidates[count] = r
			count++
		}
		return count < len(candidates)
	})
	for _, r := range candidates[:count] {
		if s.protectWhereItIs(r) {
			s.makeProtected(r)
			a.roomier = true
		}
	}
}

// protectWhereItIs brings a borrower inside its account's guarantee without moving it.
func (s *Scheduler) protectWhereItIs(r *run) bool {
	q := r.request()
	ent, found := s.findGuaranteed(r, &q)
	return found && s.protect(r, r.spots, ent)
}
