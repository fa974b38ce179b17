package policy

import "time"

// classDelay puts a class behind work of the class before it that was submitted this much later.
var classDelay = [...]int64{
	Urgent:   0,
	Ordinary: 0,
	Patient:  (2 * time.Hour).Milliseconds(),
}

// Prices of the order among accounts, in milliseconds of waiting.
const (
	// priorityMillis is what one point of an account's priority is worth.
	priorityMillis = int64(time.Minute / time.Millisecond)
	// shareMillis is what holding the whole data centre at weight 1 costs an account.
	shareMillis = int64(4 * time.Hour / time.Millisecond)
)

// lessWaiting orders the queue of one account: urgent work first, then by key.
func lessWaiting(a, b *run) bool {
	if ua, ub := a.Class == Urgent, b.Class == Urgent; ua != ub {
		return ua
	}
	if a.key != b.key {
		return a.key < b.key
	}
	return a.sequence < b.sequence
}

// setKey computes the key of a waiting job: the time of its submission, later for long and patient jobs but never by
// more than the ageing bound, so that every job is first in the end; earlier for a near deadline.
func (s *Scheduler) setKey(r *run) {
	remaining := r.account.declared.expect(r.remainingDeclared(), typical)
	delay := min(s.config.Weights.ShortFirst*remaining+classDelay[min(int(r.Class), len(classDelay)-1)], s.config.Bounds.AgeingMillis)
	r.key = r.SubmittedMillis + delay
	if r.DeadlineMillis > 0 {
		r.key = min(r.key, max(r.SubmittedMillis, r.DeadlineMillis-remaining))
	}
}

// remainingDeclared is the declared run time that is left at speed 1000, milliseconds.
func (r *run) remainingDeclared() int64 {
	return max(r.ExpectedMillis, 1) * int64(fullPPM-min(r.CheckpointPPM, fullPPM)) / fullPPM
}

// fullPPM is all of the work of a job.
const fullPPM = 1_000_000

// turn is what the accounts' priorities and shares make of the key of the account's next job.
func (s *Scheduler) turn(a *accountState, r *run) int64 {
	share := int64(a.borrowed) * shareMillis / int64(a.Weight) / int64(max(s.accelerators, 1))
	return r.key + min(share, shareMillis) - int64(a.Priority)*priorityMillis
}

// nextWaiting takes the next job of the pass from the queues' copies, nil at the end.
func (s *Scheduler) nextWaiting() *run {
	var best *accountState
	var bestTurn int64
	for _, a := range s.accountList {
		if len(a.pass) == 0 {
			continue
		}
		r := a.pass[0]
		turn := s.turn(a, r)
		switch {
		case best == nil:
		case (r.Class == Urgent) != (best.pass[0].Class == Urgent):
			if r.Class != Urgent {
				continue
			}
		case turn >= bestTurn:
			continue
		}
		best, bestTurn = a, turn
	}
	if best == nil {
		return nil
	}
	r := best.pass[0]
	best.pass = best.pass[1:]
	return r
}
