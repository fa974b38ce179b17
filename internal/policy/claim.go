package policy

import (
	"cmp"
	"slices"

	"github.com/google/btree"
)

// elsewhereTries bounds the places that an unused entitlement is tried to be moved to.
const elsewhereTries = 8

// tryGuaranteed starts or claims room for the job inside its account's guarantee: on free accelerators when there
// are some, else from the borrowers that cost least.
func (s *Scheduler) tryGuaranteed(r *run, q *request) bool {
	if ent, found := s.findGuaranteed(r, q); found {
		return s.claimGuaranteed(r, q, ent)
	}
	if s.claimMoved(r, q) || s.rearrange(r, q) {
		return true
	}
	if len(q.avoid) == 0 || !r.account.entitled(r.Shape) || !s.packWithout(r) {
		return false
	}
	ent, found := s.findGuaranteed(r, q)
	return found && s.claimGuaranteed(r, q, ent) || s.rearrange(r, q)
}

// claimMoved claims an unused entitlement that holds the job but stands where the job can't run.
func (s *Scheduler) claimMoved(r *run, q *request) bool {
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		ent, found := g.idle.Min()
		if !found {
			continue
		}
		if s.claimElsewhere(r, q, ent) {
			return true
		}
		if s.leaveWorkers(ent, q) && s.takeEntitlement(ent, q) {
			return s.claimGuaranteed(r, q, ent)
		}
	}
	return false
}

// leaveWorkers moves the units of an unused entitlement off the workers that the gang must avoid, if only under
// borrowers.
func (s *Scheduler) leaveWorkers(ent *entitlement, q *request) bool {
	for _, u := range ent.units {
		if slices.Contains(q.avoid, u.worker.Name) && !s.leaveWorker(u, q) {
			return false
		}
	}
	return true
}

func (s *Scheduler) leaveWorker(u *entitledUnit, q *request) bool {
	own := u.worker.rack.at
	tries := 1
	if !u.entitlement.oneRack {
		tries = min(len(s.racks), rackTries)
	}
	for at := range tries {
		s.transaction.reset()
		if !s.moveWithin(u, s.racks[(own+at)%len(s.racks)], q.avoid) {
			continue
		}
		if s.transaction.keepsRacks() {
			return true
		}
		s.undoExchanges()
	}
	return false
}

// claimElsewhere moves the unused entitlement under free accelerators, or under those of borrowers, and claims them.
func (s *Scheduler) claimElsewhere(r *run, q *request, ent *entitlement) bool {
	r.protected = true
	defer func() { r.protected = r.state != waiting }()
	if s.place(q) && s.protect(r, s.best.spots, ent) {
		s.launch(r, s.best.spots, nil)
		return true
	}
	candidates := s.cheapBorrowers(r)
	for range elsewhereTries {
		enough, fits := s.gather(q, candidates)
		if !fits {
			return false
		}
		if s.victimsOn(r, s.trial.spots, &s.candidateVictims) && s.protect(r, s.trial.spots, ent) {
			s.launch(r, s.trial.spots, &s.candidateVictims)
			return true
		}
		candidates = candidates[enough:]
	}
	return false
}

// claimGuaranteed claims the room in s.trial, or better accelerators that the unused entitlement ent can be moved
// under.
func (s *Scheduler) claimGuaranteed(r *run, q *request, ent *entitlement) bool {
	s.nominal = append(s.nominal[:0], s.trial.spots...)
	nominalPrice := s.price(&s.trial)
	r.protected = true
	defer func() { r.protected = r.state != waiting }()
	if !s.victimsOn(r, s.nominal, &s.nominalVictims) {
		return false
	}
	if ent != nil {
		occupied := len(s.nominalVictims.runs) > 0
		if s.place(q) && (occupied || s.bestPrice < nominalPrice) && s.protect(r, s.best.spots, ent) {
			s.launch(r, s.best.spots, nil)
			return true
		}
		if occupied && s.claimCheaper(r, q, ent) {
			return true
		}
	}
	if !s.protect(r, s.nominal, ent) {
		return false
	}
	s.launch(r, s.nominal, &s.nominalVictims)
	return true
}

// claimCheaper claims other spots than the nominal ones when their victims cost less.
func (s *Scheduler) claimCheaper(r *run, q *request, ent *entitlement) bool {
	if _, fits := s.gather(q, s.cheapBorrowers(r)); !fits {
		return false
	}
	if !s.victimsOn(r, s.trial.spots, &s.candidateVictims) || !s.candidateVictims.cheaper(&s.nominalVictims) {
		return false
	}
	if !s.protect(r, s.trial.spots, ent) {
		return false
	}
	s.launch(r, s.trial.spots, &s.candidateVictims)
	return true
}

// reassignments is a plan to give gangs inside their account's guarantee other entitlements of it.
type reassignments struct {
	visited []*entitlement
	moves   []reassignment
}

type reassignment struct {
	run *run
	to  *entitlement
}

// rearrange claims a used entitlement for a job that a guaranteed shape is left for, when the gangs in it can be given
// other entitlements of their account. They stay where they are when their new entitlements can be moved under them.
func (s *Scheduler) rearrange(r *run, q *request) bool {
	if q.class < 0 || !r.account.entitled(r.Shape) {
		return false
	}
	var plan reassignments
	ent := s.displace(r, &plan)
	if ent == nil {
		return false
	}
	return s.claimFrom(r, q, ent, plan.moves)
}

// claimFrom claims the entitlement after its gangs are taken out of it, to settle in other entitlements. On false
// nothing changed.
func (s *Scheduler) claimFrom(r *run, q *request, ent *entitlement, moves []reassignment) bool {
	for _, m := range moves {
		s.unprotect(m.run, m.run.spots)
		m.run.protected, m.run.reassigning = false, true
	}
	done := s.takeEntitlement(ent, q) && s.claimGuaranteed(r, q, ent) || s.claimElsewhere(r, q, ent)
	for _, m := range moves {
		m.run.reassigning = false
		if done {
			s.protectIn(m)
		} else {
			s.transaction.reset()
			m.run.protected = s.markAll(m.run, m.run.spots)
		}
	}
	return done
}

// tryOwn gives urgent work an entitlement that less urgent gangs of its own account use. They become borrowers, and
// leave only when they are the cheapest victims.
func (s *Scheduler) tryOwn(r *run, q *request) bool {
	ent := s.leastUrgentEntitlement(r, q)
	if ent == nil {
		return false
	}
	var plan reassignments
	for _, t := range ent.gangs() {
		plan.moves = append(plan.moves, reassignment{run: t, to: ent})
	}
	return s.claimFrom(r, q, ent, plan.moves)
}

// leastUrgentEntitlement returns the used entitlement that holds the run and whose gangs, none of them urgent,
// would lose the least work; nil when there is none.
func (s *Scheduler) leastUrgentEntitlement(r *run, q *request) *entitlement {
	var best *entitlement
	var bestLost int64
	for _, g := range r.account.guarantees {
		if q.class < 0 || !g.Shape.holds(r.Shape) || best != nil {
			continue
		}
		for _, ent := range firstEntitlements(g.used) {
			lost, urgent := int64(0), false
			for _, t := range ent.gangs() {
				lost += t.lostIfStopped(s.now)
				urgent = urgent || t.Class == Urgent
			}
			if !urgent && (best == nil || lost < bestLost) {
				best, bestLost = ent, lost
			}
		}
	}
	return best
}

// displace returns an entitlement for the gang: an unused one, or one whose gangs can all be displaced in turn.
func (s *Scheduler) displace(r *run, plan *reassignments) *entitlement {
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		for _, ent := range firstEntitlements(g.idle) {
			if !slices.Contains(plan.visited, ent) {
				plan.visited = append(plan.visited, ent)
				return ent
			}
		}
	}
	for _, g := range r.account.guarantees {
		if !g.Shape.holds(r.Shape) {
			continue
		}
		for _, ent := range firstEntitlements(g.used) {
			if !slices.Contains(plan.visited, ent) && s.displaceAll(ent, plan) {
				return ent
			}
		}
	}
	return nil
}

func (s *Scheduler) displaceAll(ent *entitlement, plan *reassignments) bool {
	plan.visited = append(plan.visited, ent)
	before := len(plan.moves)
	for _, t := range ent.gangs() {
		to := s.displace(t, plan)
		if to == nil {
			plan.moves = plan.moves[:before]
			return false
		}
		plan.moves = append(plan.moves, reassignment{run: t, to: to})
	}
	return true
}

func firstEntitlements(entitlements *btree.BTreeG[*entitlement]) []*entitlement {
	first := make([]*entitlement, 0, entitlementTries)
	entitlements.Ascend(func(ent *entitlement) bool {
		first = append(first, ent)
		return len(first) < cap(first)
	})
	return first
}

// protectIn protects a gang in its new entitlement where it stands; when that is impossible the gang is a borrower, and
// gets the entitlement when it waits again.
func (s *Scheduler) protectIn(m reassignment) {
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

// gangs returns the protected gangs that use the entitlement, the largest first.
func (ent *entitlement) gangs() []*run {
	var gangs []*run
	for _, u := range ent.units {
		for _, r := range u.worker.runs {
			if r.protected && r.overlaps(spot{worker: u.worker, mask: u.mask}) && !slices.Contains(gangs, r) {
				gangs = append(gangs, r)
			}
		}
	}
	slices.SortStableFunc(gangs, func(a, b *run) int { return cmp.Compare(b.total(), a.total()) })
	return gangs
}
