package policy

import (
	"cmp"
	"slices"
)

// shortestStopMillis is what a victim gets at least, when the claimant had to claim again.
const shortestStopMillis = 100

// victimTries bounds the borrowers that are weighed as victims of one claim.
const victimTries = 48

// victimSet is what a claim has to clear away: borrowers to stop and other claims to withdraw.
type victimSet struct {
	runs []*run
	// lost is the work that stopping them loses, in accelerator milliseconds.
	lost int64
	// graced is the number of runs that were preempted only lately, or are inside their account's guarantee and
	// about to be given another place in it.
	graced int
}

func (v *victimSet) reset() {
	clear(v.runs)
	v.runs = v.runs[:0]
	v.lost = 0
	v.graced = 0
}

// cheaper reports whether clearing v costs less than clearing other: fewer runs to be spared, then less work lost.
func (v *victimSet) cheaper(other *victimSet) bool {
	return cmp.Or(cmp.Compare(v.graced, other.graced), cmp.Compare(v.lost, other.lost), cmp.Compare(len(v.runs), len(other.runs))) < 0
}

func (s *Scheduler) addVictim(v *victimSet, r *run) {
	if slices.Contains(v.runs, r) {
		return
	}
	v.runs = append(v.runs, r)
	if r.state == claiming || r.stopping {
		return
	}
	v.lost += r.lostIfStopped(s.now)
	if s.graced(r) || r.reassigning {
		v.graced++
	}
}

// graced reports whether others are to be preferred as victims: the run is still starting, or was preempted lately.
func (s *Scheduler) graced(r *run) bool {
	return r.state == starting || r.preemptedMillis > 0 && s.now-r.startedMillis < s.config.Bounds.RestartGraceMillis
}

// victimsOn finds what must leave the spots so that the gang can start there. It returns false when a run that may
// not be preempted by it is in the way.
func (s *Scheduler) victimsOn(claimant *run, spots []spot, v *victimSet) bool {
	v.reset()
	for i := range spots {
		if !s.clearSpot(claimant, spots[i], v) {
			return false
		}
	}
	for i := range spots {
		if !s.clearCapacity(claimant, spots, spots[i].worker, v) {
			return false
		}
	}
	return true
}

func (s *Scheduler) clearSpot(claimant *run, sp spot, v *victimSet) bool {
	if sp.mask&(sp.worker.used|sp.worker.claimed) == 0 {
		return true
	}
	for _, other := range sp.worker.runs {
		if !other.overlaps(sp) {
			continue
		}
		if !s.mayPreempt(claimant, other) {
			return false
		}
		s.addVictim(v, other)
	}
	return true
}

// overlaps reports whether the run holds or claims accelerators of the spot.
func (r *run) overlaps(sp spot) bool {
	for _, own := range r.spots {
		if own.worker == sp.worker && own.mask&sp.mask != 0 {
			return true
		}
	}
	for _, own := range r.destination {
		if own.worker == sp.worker && own.mask&sp.mask != 0 {
			return true
		}
	}
	return false
}

// clearCapacity adds borrowers of the worker, the cheapest first, until the members on it get their cores and memory.
func (s *Scheduler) clearCapacity(claimant *run, spots []spot, w *workerState, v *victimSet) bool {
	cores, memory := w.freeCores, w.freeMemory
	for i := range spots {
		if spots[i].worker == w {
			cores -= claimant.Cores
			memory -= claimant.MemoryMiB
		}
	}
	for _, victim := range v.runs {
		freedCores, freedMemory := victim.capacityOn(w)
		cores += freedCores
		memory += freedMemory
	}
	for cores < 0 || memory < 0 {
		next := s.cheapestOn(claimant, w, v)
		if next == nil {
			return false
		}
		s.addVictim(v, next)
		freedCores, freedMemory := next.capacityOn(w)
		cores += freedCores
		memory += freedMemory
	}
	return true
}

// capacityOn returns the cores and memory that the run holds on the worker.
func (r *run) capacityOn(w *workerState) (cores, memory int) {
	for _, sp := range r.spots {
		if sp.worker == w {
			cores += r.Cores
			memory += r.MemoryMiB
		}
	}
	for _, sp := range r.destination {
		if sp.worker == w {
			cores += r.Cores
			memory += r.MemoryMiB
		}
	}
	return cores, memory
}

func (s *Scheduler) cheapestOn(claimant *run, w *workerState, v *victimSet) *run {
	var best *run
	for _, other := range w.runs {
		if slices.Contains(v.runs, other) || !s.mayPreempt(claimant, other) {
			continue
		}
		if best == nil || s.compareVictims(other, best) < 0 {
			best = other
		}
	}
	return best
}

// mayPreempt reports whether the claimant may clear the run away. A claimant inside its guarantee preempts every
// borrower; an urgent borrower preempts borrowers of other classes.
func (s *Scheduler) mayPreempt(claimant, other *run) bool {
	if other.protected || other == claimant {
		return false
	}
	if other.backfilled && claimant == s.reservation.run {
		return true
	}
	return claimant.protected || claimant.Class == Urgent && other.Class != Urgent
}

// compareVictims orders victims: not preempted lately, less work lost, more accelerators freed.
func (s *Scheduler) compareVictims(a, b *run) int {
	return cmp.Or(
		cmp.Compare(signOf(s.graced(a)), signOf(s.graced(b))),
		cmp.Compare(a.lostIfStopped(s.now), b.lostIfStopped(s.now)),
		cmp.Compare(b.total(), a.total()),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// cheapBorrowers returns borrowers that the claimant may preempt, the cheapest first.
func (s *Scheduler) cheapBorrowers(claimant *run) []*run {
	s.candidates = s.candidates[:0]
	s.borrowers.Ascend(func(key borrowerKey) bool {
		if claimant.protected || claimant.Class == Urgent && key.class != Urgent {
			s.candidates = append(s.candidates, key.run)
		}
		return len(s.candidates) < victimTries
	})
	slices.SortFunc(s.candidates, s.compareVictims)
	return s.candidates
}

// claimSpots holds the spots for the run, tells the victims to leave, and starts the run at once when there are none.
func (s *Scheduler) claimSpots(r *run, spots []spot, v *victimSet) {
	victims := slices.Clone(v.runs)
	if r.claimedMillis == 0 {
		r.claimedMillis = s.now
	}
	for _, victim := range victims {
		if victim.state == claiming {
			s.withdraw(victim)
			continue
		}
		s.evict(victim, r)
	}
	s.occupy(r, spots)
	if r.victims == 0 {
		s.start(r)
		return
	}
	r.state = claiming
	r.why = reason{kind: waitsForVictims, count: r.victims}
}

// evict makes the run leave for the claimant.
func (s *Scheduler) evict(victim, claimant *run) {
	s.dropDestination(victim)
	claimant.victims++
	if victim.stopping {
		victim.waiters = append(victim.waiters, claimant)
		return
	}
	victim.stopping, victim.stop = true, Preempted
	victim.waiters = append(victim.waiters[:0], claimant)
	s.unfileRun(victim)
	s.issueStop(victim)
}

// issueStop asks for the stop of a running victim; that of a starting one waits for its start.
func (s *Scheduler) issueStop(victim *run) {
	if victim.state != running || victim.stopIssued {
		return
	}
	if victim.stop == Preempted && len(victim.waiters) == 0 {
		victim.stopping = false
		s.fileRun(victim)
		return
	}
	victim.stopIssued = true
	stop := &Stop{JobID: victim.ID, Reason: victim.stop, WithinMillis: s.config.Bounds.PreemptWithinMillis}
	if victim.stop == Preempted {
		claimant := victim.waiters[0]
		stop.For = claimant.ID
		stop.WithinMillis = max(stop.WithinMillis-(s.now-claimant.claimedMillis), shortestStopMillis)
	}
	s.decisions = append(s.decisions, Decision{Stop: stop})
}
