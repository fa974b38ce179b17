package policy

// attemptsPerPass bounds the different jobs that are tried in vain in one decision.
const attemptsPerPass = 64

// signature is what makes two waiting jobs fit or not fit alike.
type signature struct {
	account *accountState
	urgent  bool
	shape   Shape
	cores   int
	memory  int
}

func (r *run) signature() signature {
	return signature{account: r.account, urgent: r.Class == Urgent, shape: r.Shape, cores: r.Cores, memory: r.MemoryMiB}
}

// Decide returns what to do now.
func (s *Scheduler) Decide(nowMillis int64) []Decision {
	s.now = max(s.now, nowMillis)
	s.settle()
	s.judge()
	s.settle()
	s.startReady()
	s.stopDeferred()
	for _, a := range s.accountList {
		if a.roomier {
			s.promote(a)
		}
	}
	if s.reservation.dueMillis(s.config.Bounds.BackfillDelayMillis, s.now) {
		s.freed = true
	}
	if s.freed {
		s.passAll()
		s.mergeHoles()
	} else {
		s.passFresh()
	}
	clear(s.fresh)
	s.fresh = s.fresh[:0]
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// settle brings the indexes and the guaranteed cells up to date with workers and sheet.
func (s *Scheduler) settle() {
	if s.layoutStale {
		s.buildLayout()
	}
	if s.unpacked {
		s.packEntitlements()
	}
	if len(s.restored) > 0 {
		s.protectRestored()
	}
}

// passAll tries the waiting jobs in order.
func (s *Scheduler) passAll() {
	s.freed = false
	clear(s.failing)
	clear(s.unclaimed)
	for _, a := range s.accountList {
		clear(a.pass)
		a.pass = a.pass[:0]
		a.waiting.Ascend(func(r *run) bool {
			a.pass = append(a.pass, r)
			return true
		})
	}
	s.unhold()
	s.claimAll()
	attempts := 0
	headSeen := false
	for r := s.nextWaiting(); r != nil; r = s.nextWaiting() {
		if s.mayNotRun(r) {
			continue
		}
		if attempts >= attemptsPerPass {
			r.why = reason{kind: waitsForOrder}
			continue
		}
		if s.tryRun(r, headSeen, &attempts) {
			continue
		}
		if !headSeen {
			headSeen = s.reserve(r)
		}
	}
	if !headSeen {
		s.dropReservation()
	}
}

// claimAll lets the jobs claim what is left of their accounts' guarantees, before others borrow.
func (s *Scheduler) claimAll() {
	for _, a := range s.accountList {
		if len(a.guarantees) == 0 {
			continue
		}
		for _, r := range a.pass {
			if s.mayNotRun(r) || r.Shape.Accelerators == 0 {
				continue
			}
			s.tryClaim(r)
		}
	}
}

// tryClaim is tryGuaranteed for jobs unlike those that failed since capacity was last freed.
func (s *Scheduler) tryClaim(r *run) bool {
	sig, memo := r.signature(), len(r.FailedWorkers) == 0
	if memo && s.unclaimed[sig] {
		return false
	}
	q := r.request()
	if s.tryGuaranteed(r, &q) {
		return true
	}
	if memo {
		s.unclaimed[sig] = true
	}
	return false
}

// mayNotRun reports whether there is no use in looking for room for the job, and notes why.
func (s *Scheduler) mayNotRun(r *run) bool {
	switch {
	case r.state != waiting || s.runs[r.ID] != r:
		return true
	case r.atFault:
		r.why = reason{kind: waitsForVerdict}
		return true
	case !r.withinQuota():
		r.why = reason{kind: waitsForQuota}
		return true
	default:
		return false
	}
}

// passFresh tries the jobs that came since the last pass, when nothing became free.
func (s *Scheduler) passFresh() {
	attempts := 0
	for _, r := range s.fresh {
		if s.mayNotRun(r) {
			continue
		}
		if !s.tryRun(r, true, &attempts) && s.reservation.run == nil {
			s.reserve(r)
		}
	}
}

// tryRun starts the job, or claims accelerators for it, when it can.
func (s *Scheduler) tryRun(r *run, backfill bool, attempts *int) bool {
	sig := r.signature()
	memo := len(r.FailedWorkers) == 0
	if memo && s.failing[sig] {
		s.explainShortage(r)
		return backfill && s.tryBackfill(r)
	}
	q := r.request()
	if s.tryClaim(r) || s.tryFree(r, &q) || r.Class == Urgent && (s.tryUrgent(r, &q) || s.tryOwn(r, &q)) {
		return true
	}
	*attempts++
	if memo {
		s.failing[sig] = true
	}
	s.explainShortage(r)
	return backfill && s.tryBackfill(r)
}

// tryFree starts the job as a borrower on free accelerators.
func (s *Scheduler) tryFree(r *run, q *request) bool {
	if !s.place(q) {
		return false
	}
	s.launch(r, s.best.spots, nil)
	return true
}

// launch takes the job out of the queue and gives it the spots, after the victims have left.
func (s *Scheduler) launch(r *run, spots []spot, v *victimSet) {
	s.dequeue(r)
	if v == nil {
		s.occupy(r, spots)
		s.start(r)
		return
	}
	s.claimSpots(r, spots, v)
}

// tryUrgent claims accelerators of borrowers that are not urgent for urgent work outside the guarantee.
func (s *Scheduler) tryUrgent(r *run, q *request) bool {
	if _, fits := s.gather(q, s.cheapBorrowers(r)); !fits {
		return false
	}
	if !s.victimsOn(r, s.trial.spots, &s.candidateVictims) {
		return false
	}
	s.launch(r, s.trial.spots, &s.candidateVictims)
	return true
}
