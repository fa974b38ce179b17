package policy

import "slices"

// occupy gives the spots to the run: claimed until use is called.
func (s *Scheduler) occupy(r *run, spots []spot) {
	r.spots = slices.Clone(spots)
	for _, sp := range r.spots {
		if sp.worker.held&sp.mask != 0 && s.reservation.run != nil {
			s.dropReservation()
		}
	}
	s.claimCapacity(r, r.spots)
	r.slowest = 0
	for _, sp := range r.spots {
		if r.slowest == 0 || sp.worker.SpeedPermille < r.slowest {
			r.slowest = max(sp.worker.SpeedPermille, 1)
		}
	}
	r.account.countShape(r.Shape, 1)
	if r.team != nil {
		r.team.held += r.total()
	}
	if !r.protected {
		s.addBorrower(r)
	}
}

func (s *Scheduler) addBorrower(r *run) {
	r.account.borrowers.ReplaceOrInsert(r)
	r.account.borrowed += r.total()
}

func (s *Scheduler) removeBorrower(r *run) {
	if _, found := r.account.borrowers.Delete(r); found {
		r.account.borrowed -= r.total()
	}
}

// claimCapacity claims the spots' accelerators, cores and memory.
func (s *Scheduler) claimCapacity(r *run, spots []spot) {
	for _, sp := range spots {
		w := sp.worker
		w.claimed |= sp.mask
		w.freeCores -= r.Cores
		w.freeMemory -= r.MemoryMiB
		if !slices.Contains(w.runs, r) {
			w.runs = append(w.runs, r)
		}
		s.refresh(w)
	}
}

// use turns the run's claimed accelerators into used ones; what is available stays the same.
func (s *Scheduler) use(r *run) {
	for _, sp := range r.spots {
		sp.worker.claimed &^= sp.mask
		sp.worker.used |= sp.mask
	}
	r.state = starting
}

// start asks for the start of a run whose spots are free.
func (s *Scheduler) start(r *run) {
	s.use(r)
	s.begin(r, s.now)
	s.decisions = append(s.decisions, Decision{Start: &Start{JobID: r.ID, Members: memberList(r.spots)}})
}

// begin counts the run's time from now on.
func (s *Scheduler) begin(r *run, nowMillis int64) {
	s.unfileRun(r)
	r.startedMillis, r.checkpointMillis = nowMillis, nowMillis
	r.startedPPM = r.CheckpointPPM
	r.endMillis = nowMillis + s.expectRemaining(r, nowMillis, typical)
	s.fileRun(r)
}

// confirm notes that the run has started.
func (s *Scheduler) confirm(r *run, nowMillis int64) {
	r.state = running
	r.claimedMillis = 0
	s.begin(r, nowMillis)
	if r.stopping {
		s.deferred = append(s.deferred, r)
	}
}

// expectRemaining is the expected time to the run's end in milliseconds at the speed of its slowest member. Seen
// progress counts for more than the declared run time.
func (s *Scheduler) expectRemaining(r *run, nowMillis int64, percent int) int64 {
	elapsed := nowMillis - r.startedMillis
	if done := r.CheckpointPPM - r.startedPPM; done > 0 && r.checkpointMillis > r.startedMillis {
		whole := (r.checkpointMillis - r.startedMillis) * int64(fullPPM-r.startedPPM) / int64(done)
		return max(whole-elapsed, 0)
	}
	declared := max(r.ExpectedMillis, 1) * int64(fullPPM-min(r.startedPPM, fullPPM)) / fullPPM
	const full = 1000
	speed := int64(max(r.slowest, 1))
	whole := r.account.declared.expectBeyond(declared, elapsed*speed/full, percent)
	return max(whole*full/speed-elapsed, 0)
}

// fileRun enters a starting or running gang in the sets of victims and of ends.
func (s *Scheduler) fileRun(r *run) {
	if r.filed || r.stopping || r.state != running && r.state != starting {
		return
	}
	r.filed = true
	r.borrowerKey = borrowerKey{class: r.Class, checkpointMillis: r.checkpointMillis, sequence: r.sequence, run: r}
	r.endsKey = endsKey{endMillis: r.endMillis, sequence: r.sequence, run: r}
	s.ends.ReplaceOrInsert(r.endsKey)
	if !r.protected {
		s.borrowers.ReplaceOrInsert(r.borrowerKey)
	}
}

func (s *Scheduler) unfileRun(r *run) {
	if !r.filed {
		return
	}
	r.filed = false
	s.ends.Delete(r.endsKey)
	s.borrowers.Delete(r.borrowerKey)
}

// release takes the run off its spots and lets those go on that waited for it.
func (s *Scheduler) release(r *run) {
	s.unfileRun(r)
	if r.state == claiming {
		s.leaveVictims(r)
	}
	if r.protected {
		s.unprotect(r, r.spots)
		r.protected = false
		s.unpacked = s.unpacked || len(s.risks) > 0
	} else {
		s.removeBorrower(r)
	}
	spots := r.spots
	r.spots = nil
	s.freeCapacity(r, spots, r.state == claiming)
	r.account.countShape(r.Shape, -1)
	if r.team != nil {
		r.team.held -= r.total()
	}
	for _, claimant := range r.waiters {
		s.victimGone(claimant)
	}
	r.waiters = r.waiters[:0]
	r.stopping, r.stopIssued, r.backfilled = false, false, false
	r.victims = 0
	s.freed = true
}

func (s *Scheduler) freeCapacity(r *run, spots []spot, claimed bool) {
	for _, sp := range spots {
		w := sp.worker
		if claimed {
			w.claimed &^= sp.mask
		} else {
			w.used &^= sp.mask
		}
		w.freeCores += r.Cores
		w.freeMemory += r.MemoryMiB
		if !r.onWorker(w) && !onAny(r.destination, w) {
			w.runs = slices.DeleteFunc(w.runs, func(other *run) bool { return other == r })
		}
		s.refresh(w)
	}
}

func onAny(spots []spot, w *workerState) bool {
	return slices.ContainsFunc(spots, func(sp spot) bool { return sp.worker == w })
}

// freeSpots gives back a destination that was not reached.
func (s *Scheduler) freeSpots(r *run, spots []spot) {
	if len(spots) > 0 {
		s.freeCapacity(r, spots, true)
		s.freed = true
	}
}

func (s *Scheduler) dropDestination(r *run) {
	spots := r.destination
	r.destination = nil
	s.freeSpots(r, spots)
}

func (s *Scheduler) victimGone(claimant *run) {
	claimant.victims--
	if claimant.victims == 0 && claimant.state == claiming {
		s.ready = append(s.ready, claimant)
	}
}

// withdraw takes a claim back; the job waits again. Its victims leave all the same.
func (s *Scheduler) withdraw(r *run) {
	s.release(r)
	s.enqueue(r)
}

// leaveVictims stops the run from waiting for its victims.
func (s *Scheduler) leaveVictims(r *run) {
	for _, sp := range r.spots {
		for _, victim := range sp.worker.runs {
			victim.waiters = slices.DeleteFunc(victim.waiters, func(w *run) bool { return w == r })
		}
	}
}

// stopDeferred asks for the stop of victims that were starting when they were chosen.
func (s *Scheduler) stopDeferred() {
	deferred := s.deferred
	s.deferred = nil
	for _, r := range deferred {
		if r.stopping && s.runs[r.ID] == r {
			s.issueStop(r)
		}
	}
}

// startReady starts the claims whose victims are all gone.
func (s *Scheduler) startReady() {
	ready := s.ready
	s.ready = nil
	for _, r := range ready {
		if r.state == claiming && r.victims == 0 && s.runs[r.ID] == r {
			s.start(r)
		}
	}
}
