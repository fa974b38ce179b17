package policy

import (
	"slices"
	"time"
)

const (
	// releaseTries bounds the running gangs whose ends are looked at for a reservation.
	releaseTries = 256
	// shortestBackfillMillis is the least time that a gang which may have to leave again is started for.
	shortestBackfillMillis = int64(time.Minute / time.Millisecond)
)

// reservation keeps cells for the first waiting job that can't start. Other gangs may stand on them meanwhile, but
// leave at the latest BackfillDelayMillis after everything else has left.
type reservation struct {
	run   *run
	spots []spot
	// promisedMillis is when the cells are expected to be free.
	promisedMillis int64
	// readyMillis is since when only backfilled gangs are in the way; 0 when others are.
	readyMillis int64
	held        bool
}

func (v *reservation) on(w *workerState) bool {
	return v.run != nil && onAny(v.spots, w)
}

// wakeMillis is when backfilled gangs have to leave; 0 when nobody waits for them alone.
func (v *reservation) wakeMillis(delay int64) int64 {
	if v.run == nil || v.readyMillis == 0 {
		return 0
	}
	return v.readyMillis + delay
}

func (v *reservation) dueMillis(delay, now int64) bool {
	at := v.wakeMillis(delay)
	return at > 0 && at <= now
}

func (s *Scheduler) dropReservation() {
	s.unhold()
	if s.reservation.run != nil {
		s.freed = true
	}
	s.reservation = reservation{}
}

func (s *Scheduler) unhold() {
	if !s.reservation.held {
		return
	}
	s.reservation.held = false
	for _, sp := range s.reservation.spots {
		sp.worker.held &^= sp.mask
		s.refresh(sp.worker)
	}
}

func (s *Scheduler) hold() {
	s.reservation.held = true
	for _, sp := range s.reservation.spots {
		sp.worker.held |= sp.mask
		s.refresh(sp.worker)
	}
}

// reserve keeps cells for the job, the first that can't start. False means that it fits nowhere even when all
// gangs whose ends are looked at have left.
func (s *Scheduler) reserve(r *run) bool {
	if s.reservation.run == r && !s.overdue() {
		if s.takeReserved(r) {
			return true
		}
		if s.reservation.run == r {
			s.hold()
			r.why = reason{kind: waitsForReservation, millis: s.reservation.promisedMillis}
			return true
		}
	}
	s.candidates = s.candidates[:0]
	s.ends.Ascend(func(key endsKey) bool {
		s.candidates = append(s.candidates, key.run)
		return len(s.candidates) < releaseTries
	})
	q := r.request()
	enough, fits := s.gather(&q, s.candidates)
	if !fits {
		return false
	}
	promised := max(s.candidates[enough-1].endMillis, s.now)
	s.reservation = reservation{run: r, spots: slices.Clone(s.trial.spots), promisedMillis: promised}
	if s.defragment(r, promised) {
		return true
	}
	s.hold()
	r.why = reason{kind: waitsForReservation, millis: promised}
	return true
}

// overdue reports whether the cells should have been free and other gangs are still there.
func (s *Scheduler) overdue() bool {
	return s.reservation.readyMillis == 0 && s.now > s.reservation.promisedMillis+s.config.Bounds.BackfillDelayMillis
}

// takeReserved claims the reserved cells when backfilled gangs alone have been in the way for the stated time.
func (s *Scheduler) takeReserved(r *run) bool {
	spots := s.reservation.spots
	if !s.victimsOn(r, spots, &s.candidateVictims) {
		s.reservation.readyMillis = 0
		return false
	}
	if s.reservation.readyMillis == 0 {
		s.reservation.readyMillis = s.now
	}
	if len(s.candidateVictims.runs) > 0 && !s.reservation.dueMillis(s.config.Bounds.BackfillDelayMillis, s.now) {
		return false
	}
	s.launch(r, spots, &s.candidateVictims)
	s.reservation = reservation{}
	s.freed = true
	return true
}

// tryBackfill starts the job on reserved cells that are still free: when it is expected to end before the promised
// time, or the promised time is far enough off to be worth leaving again.
func (s *Scheduler) tryBackfill(r *run) bool {
	v := &s.reservation
	if v.run == nil || !v.held || v.run == r || r.Shape.Accelerators == 0 {
		return false
	}
	left := v.promisedMillis - s.now
	if left < shortestBackfillMillis && r.account.declared.expect(r.remainingDeclared(), cautious) > left {
		return false
	}
	q := r.request()
	s.trial.reset()
	var last *workerState
	for _, sp := range v.spots {
		w := sp.worker
		if w == last {
			continue
		}
		last = w
		if len(s.trial.spots) > 0 && !q.reaches(s.trial.spots[0].worker, w) {
			s.trial.reset()
		}
		taken, members := s.trial.on(w)
		mask := w.held &^ (w.used | w.claimed | taken)
		s.trial.take(&q, w, mask, w.freeCores-members*q.cores, w.freeMemory-members*q.memory)
		if len(s.trial.spots) == q.members {
			s.backfill(r)
			return true
		}
	}
	return false
}

// reaches reports whether a gang may have members on both workers.
func (q *request) reaches(a, b *workerState) bool {
	switch q.adjacency {
	case SameWorker:
		return a == b
	case SameRack:
		return a.rack == b.rack
	default:
		return true
	}
}

// backfill starts the job on the trial's spots, which are reserved.
func (s *Scheduler) backfill(r *run) {
	kept := s.reservation
	s.reservation.run = nil
	s.launch(r, s.trial.spots, nil)
	s.reservation = kept
	r.backfilled = true
}
