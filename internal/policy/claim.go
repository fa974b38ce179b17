package policy

import (
	"cmp"
	"slices"

	"github.com/google/btree"
)

// elsewhereTries bounds the places that an unused slot is tried to be moved to.
const elsewhereTries = 8

// tryGuaranteed starts or claims room for the job inside its account's guarantee: on free accelerators when there
// are some, else from the borrowers that cost least.
func (s *Scheduler) tryGuaranteed(r *run, q *request) bool {
	if sl, found := s.findGuaranteed(r, q); found {
		return s.claimGuaranteed(r, q, sl)
	}
	if s.claimMoved(r, q) || s.rearrange(r, q) {
		return true
	}
	if len(q.avoid) == 0 || !r.account.entitled(r.Shape) || !s.packWithout(r) {
		return false
	}
	sl, found := s.findGuaranteed(r, q)
	return found && s.claimGuaranteed(r, q, sl) || s.rearrange(r, q)
}

// claimMoved claims an unused slot that holds the job but stands where the job can't run.
func (s *Scheduler) claimMoved(r *run, q *request) bool {
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		sl, found := g.idle.Min()
		if !found {
			continue
		}
		if s.claimElsewhere(r, q, sl) {
			return true
		}
		if s.leaveWorkers(sl, q) && s.takeSlot(sl, q) {
			return s.claimGuaranteed(r, q, sl)
		}
	}
	return false
}

// leaveWorkers moves the units of an unused slot off the workers that the gang must avoid, if only under borrowers.
func (s *Scheduler) leaveWorkers(sl *slot, q *request) bool {
	for _, u := range sl.units {
		if slices.Contains(q.avoid, u.worker.Name) && !s.leaveWorker(u, q) {
			return false
		}
	}
	return true
}

func (s *Scheduler) leaveWorker(u *homeUnit, q *request) bool {
	home := u.worker.rack.at
	tries := 1
	if !u.slot.oneRack {
		tries = min(len(s.racks), rackTries)
	}
	for at := range tries {
		s.transaction.reset()
		if !s.moveWithin(u, s.racks[(home+at)%len(s.racks)], q.avoid) {
			continue
		}
		if s.transaction.keepsRacks() {
			return true
		}
		s.undoExchanges()
	}
	return false
}

// claimElsewhere moves the unused slot under free accelerators, or under those of borrowers, and claims them.
func (s *Scheduler) claimElsewhere(r *run, q *request, sl *slot) bool {
	r.protected = true
	defer func() { r.protected = r.state != waiting }()
	if s.place(q) && s.protect(r, s.best.spots, sl) {
		s.launch(r, s.best.spots, nil)
		return true
	}
	candidates := s.cheapBorrowers(r)
	for range elsewhereTries {
		enough, fits := s.gather(q, candidates)
		if !fits {
			return false
		}
		if s.victimsOn(r, s.trial.spots, &s.candidateVictims) && s.protect(r, s.trial.spots, sl) {
			s.launch(r, s.trial.spots, &s.candidateVictims)
			return true
		}
		candidates = candidates[enough:]
	}
	return false
}

// claimGuaranteed claims the room in s.trial, or better accelerators that the unused slot sl can be moved under.
func (s *Scheduler) claimGuaranteed(r *run, q *request, sl *slot) bool {
	s.nominal = append(s.nominal[:0], s.trial.spots...)
	nominalPrice := s.price(&s.trial)
	r.protected = true
	defer func() { r.protected = r.state != waiting }()
	if !s.victimsOn(r, s.nominal, &s.nominalVictims) {
		return false
	}
	if sl != nil {
		occupied := len(s.nominalVictims.runs) > 0
		if s.place(q) && (occupied || s.bestPrice < nominalPrice) && s.protect(r, s.best.spots, sl) {
			s.launch(r, s.best.spots, nil)
			return true
		}
		if occupied && s.claimCheaper(r, q, sl) {
			return true
		}
	}
	if !s.protect(r, s.nominal, sl) {
		return false
	}
	s.launch(r, s.nominal, &s.nominalVictims)
	return true
}

// claimCheaper claims other spots than the nominal ones when their victims cost less.
func (s *Scheduler) claimCheaper(r *run, q *request, sl *slot) bool {
	if _, fits := s.gather(q, s.cheapBorrowers(r)); !fits {
		return false
	}
	if !s.victimsOn(r, s.trial.spots, &s.candidateVictims) || !s.candidateVictims.cheaper(&s.nominalVictims) {
		return false
	}
	if !s.protect(r, s.trial.spots, sl) {
		return false
	}
	s.launch(r, s.trial.spots, &s.candidateVictims)
	return true
}

// rehousing is a plan to give gangs inside their account's guarantee other slots of it.
type rehousing struct {
	visited []*slot
	moves   []rehoused
}

type rehoused struct {
	run *run
	to  *slot
}

// rearrange claims a used slot for a job that a guaranteed shape is left for, when the gangs in it can be given
// other slots of their account. They stay where they are when their new slots can be moved under them.
func (s *Scheduler) rearrange(r *run, q *request) bool {
	if q.class < 0 || !r.account.entitled(r.Shape) {
		return false
	}
	var plan rehousing
	sl := s.displace(r, &plan)
	if sl == nil {
		return false
	}
	return s.claimFrom(r, q, sl, plan.moves)
}

// claimFrom claims the slot after its gangs are taken out of it, to settle in other slots. On false nothing changed.
func (s *Scheduler) claimFrom(r *run, q *request, sl *slot, moves []rehoused) bool {
	for _, m := range moves {
		s.unprotect(m.run, m.run.spots)
		m.run.protected, m.run.tenant = false, true
	}
	done := s.takeSlot(sl, q) && s.claimGuaranteed(r, q, sl) || s.claimElsewhere(r, q, sl)
	for _, m := range moves {
		m.run.tenant = false
		if done {
			s.settleIn(m)
		} else {
			s.transaction.reset()
			m.run.protected = s.markAll(m.run, m.run.spots)
		}
	}
	return done
}

// tryOwn gives urgent work a slot that less urgent gangs of its own account use. They become borrowers, and leave only
// when they are the cheapest victims.
func (s *Scheduler) tryOwn(r *run, q *request) bool {
	sl := s.leastUrgentSlot(r, q)
	if sl == nil {
		return false
	}
	var plan rehousing
	for _, t := range sl.tenants() {
		plan.moves = append(plan.moves, rehoused{run: t, to: sl})
	}
	return s.claimFrom(r, q, sl, plan.moves)
}

// leastUrgentSlot returns the used slot that holds the run and whose gangs, none of them urgent, would lose the least
// work; nil when there is none.
func (s *Scheduler) leastUrgentSlot(r *run, q *request) *slot {
	var best *slot
	var bestLost int64
	for _, g := range r.account.guarantees {
		if q.class < 0 || !g.Shape.holds(r.Shape) || best != nil {
			continue
		}
		for _, sl := range firstSlots(g.used) {
			lost, urgent := int64(0), false
			for _, t := range sl.tenants() {
				lost += t.lostIfStopped(s.now)
				urgent = urgent || t.Class == Urgent
			}
			if !urgent && (best == nil || lost < bestLost) {
				best, bestLost = sl, lost
			}
		}
	}
	return best
}

// displace returns a slot for the gang: an unused one, or one whose gangs can all be displaced in turn.
func (s *Scheduler) displace(r *run, plan *rehousing) *slot {
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		for _, sl := range firstSlots(g.idle) {
			if !slices.Contains(plan.visited, sl) {
				plan.visited = append(plan.visited, sl)
				return sl
			}
		}
	}
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		for _, sl := range firstSlots(g.used) {
			if !slices.Contains(plan.visited, sl) && s.displaceAll(sl, plan) {
				return sl
			}
		}
	}
	return nil
}

func (s *Scheduler) displaceAll(sl *slot, plan *rehousing) bool {
	plan.visited = append(plan.visited, sl)
	before := len(plan.moves)
	for _, t := range sl.tenants() {
		to := s.displace(t, plan)
		if to == nil {
			plan.moves = plan.moves[:before]
			return false
		}
		plan.moves = append(plan.moves, rehoused{run: t, to: to})
	}
	return true
}

func firstSlots(slots *btree.BTreeG[*slot]) []*slot {
	first := make([]*slot, 0, slotTries)
	slots.Ascend(func(sl *slot) bool {
		first = append(first, sl)
		return len(first) < cap(first)
	})
	return first
}

// settleIn protects a gang in its new slot where it stands; when that is impossible the gang is a borrower, and
// gets the slot when it waits again.
func (s *Scheduler) settleIn(m rehoused) {
	t := m.run
	if len(t.spots) == 0 {
		return
	}
	if !t.stopping && m.to.busy == 0 && m.to.blocked == 0 {
		t.protected = s.protect(t, t.spots, m.to)
	}
	if t.protected {
		return
	}
	filed := t.filed
	s.unfileRun(t)
	s.addBorrower(t)
	if filed {
		s.fileRun(t)
	}
}

// tenants returns the protected gangs that use the slot, the largest first.
func (sl *slot) tenants() []*run {
	var tenants []*run
	for _, u := range sl.units {
		for _, r := range u.worker.runs {
			if r.protected && r.overlaps(spot{worker: u.worker, mask: u.mask}) && !slices.Contains(tenants, r) {
				tenants = append(tenants, r)
			}
		}
	}
	slices.SortStableFunc(tenants, func(a, b *run) int { return cmp.Compare(b.total(), a.total()) })
	return tenants
}
