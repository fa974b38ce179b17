package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// requiredEvidence is the evidence at which a task counts as the cause of losses, in decimal digits of the probability that a
	// task without a fault meets them by coincidence. A single loss adds at most maxEvidence: how often workers are lost at other
	// times is only an estimate.
	requiredEvidence = 4
	maxEvidence      = 2
	// simultaneous is the time within which losses may have one cause.
	simultaneous = 500 * time.Millisecond
	// calmRate is the share of the workers lost per second below which a loss adds about maxEvidence.
	calmRate = 0.01
	// lossWindow is how long before and after a loss others count as its surroundings. A worker that doesn't answer a poll is
	// noticed within this time.
	lossWindow = pollWait + 2*pollTimeoutMargin
	// lossMemory is how long losses are remembered: longer than it takes to learn that a silent worker was lost.
	lossMemory = 30 * time.Second
	// minSteadyTime is how long after a loss that no task explains another one at the same address is no surprise.
	minSteadyTime = 10 * time.Second
)

// lossSign is what showed that a worker's incarnation has ended, or may have.
type lossSign string

// Signs of a loss, from the strongest to the weakest.
const (
	signRefusal   lossSign = "another incarnation refused a call"
	signReport    lossSign = "another incarnation reported"
	signRegistry  lossSign = "the registry has another address"
	signUpkeep    lossSign = "its upkeep was ordered"
	signOlderRuns lossSign = "its runs are older than its start"
	signSilence   lossSign = "silent, and not in the registry"
)

// certain reports whether the sign shows that the incarnation has ended without an order.
func (sign lossSign) certain() bool {
	return sign == signRefusal || sign == signReport || sign == signRegistry
}

// workerLoss is the loss of a worker. It is explained if a task had just started there.
type workerLoss struct {
	silentSince time.Time
	explained   bool
	// previous is when a worker at the same address was lost before without such an explanation; zero if none was.
	previous time.Time
	// startedAtMs is the start of the incarnation that was lost.
	startedAtMs int64
	// jobs are those that had tasks on the worker.
	jobs []*job
}

// recordLoss remembers that a worker has fallen silent, or was replaced.
func (s *session) recordLoss(ws *workerState) {
	lost := s.lostMembers(ws, mayHaveStarted)
	if ws.entry.Draining || ws.reserved {
		return
	}
	if len(lost) == 0 && ws.silentSince.IsZero() {
		// Nobody called the idle worker, so when it was lost isn't known.
		return
	}
	loss := workerLoss{
		silentSince: s.silentSince(ws), explained: slices.ContainsFunc(lost, lostMember.prompt),
		previous: s.losses[ws.entry.Address].unexplainedBefore(s.now), startedAtMs: ws.startedAtMs,
	}
	for _, m := range lost {
		loss.jobs = append(loss.jobs, m.run.unit.step.job)
	}
	s.losses[ws.entry.Address] = loss
}

// unexplainedBefore returns when the latest unexplained loss before a time was; zero if there was none.
func (l workerLoss) unexplainedBefore(at time.Time) time.Time {
	if l.explained || l.silentSince.After(at) {
		return l.previous
	}
	return l.silentSince
}

// withdrawLoss forgets the loss of a worker whose incarnation of before answers.
func (s *session) withdrawLoss(ws *workerState) {
	if s.losses[ws.entry.Address].startedAtMs == ws.startedAtMs {
		delete(s.losses, ws.entry.Address)
	}
}

// forgetLosses forgets the losses that are too old to matter.
func (s *session) forgetLosses() {
	for address, loss := range s.losses {
		if s.now.Sub(loss.silentSince) > lossMemory {
			delete(s.losses, address)
		}
	}
}

// lateJob returns the job of a unit if its runs are lost with their workers late, so that no start explains these losses; nil
// otherwise.
func (u *unit) lateJob(age time.Duration) *job {
	if age < promptCrashTime {
		return nil
	}
	return u.step.job
}

// lossShare returns the share of the workers in use that were lost between two times, except at the address. Without a late job only
// unexplained losses count, and with one all but those of workers that ran its tasks.
func (s *session) lossShare(from, to time.Time, exceptAt string, late *job) float64 {
	lost := map[string]bool{}
	for address, loss := range s.losses {
		counts := !loss.explained
		if late != nil {
			counts = !slices.Contains(loss.jobs, late)
		}
		if counts && len(loss.jobs) > 0 && address != exceptAt && !loss.silentSince.Before(from) && !loss.silentSince.After(to) {
			lost[address] = true
		}
	}
	if len(lost) == 0 {
		return 0
	}
	used := len(lost)
	for _, ws := range s.workers {
		if !lost[ws.entry.Address] && len(ws.members) > 0 {
			used++
		}
	}
	return float64(len(lost)) / float64(used)
}

// evidence returns what the loss of a worker shows about a member on it, provided that the worker's incarnation has ended: the
// decimal digits of the probability that it is a coincidence. If it shows nothing, doubt says why.
func (s *session) evidence(ws *workerState, c lostMember, lost []lostMember) (evidence float32, doubt string) {
	u, silentSince := c.run.unit, s.silentSince(ws)
	switch {
	case c.age < 0:
		return 0, "an earlier owner started it"
	case c.lastPhase != running && (ws.silentSince.Before(c.startSentAt) || ws.silentSince.Sub(ws.answeredAt) >= promptCrashTime):
		// The worker may have been gone before the order was sent.
		return 0, "its start is not confirmed"
	case !c.prompt() && (c.age-u.crashes.lastAge).Abs() > promptCrashTime/2:
		return 0, "it had lasted, and not as long as before"
	case slices.ContainsFunc(lost, func(o lostMember) bool { return o.run.unit.step.job != u.step.job && o.prompt() == c.prompt() }):
		return 0, "tasks of other jobs were lost too"
	}
	from, to := silentSince.Add(-lossWindow), silentSince.Add(lossWindow)
	if to.After(s.now) {
		to = s.now
	}
	atOnce := s.lossShare(silentSince.Add(-simultaneous), silentSince.Add(simultaneous), ws.entry.Address, u.lateJob(c.age))
	rate := s.lossShare(from, to, ws.entry.Address, u.lateJob(c.age)) / to.Sub(from).Seconds()
	coincidence := max(atOnce, rate*promptCrashTime.Seconds())
	if before := s.lostBefore(ws, u, c.startSentAt, u.lateJob(c.age)); !before.IsZero() {
		coincidence = max(coincidence, min(1, promptCrashTime.Seconds()/c.startSentAt.Sub(before).Seconds()))
	}
	if coincidence >= 1 {
		return 0, "workers are lost all the time"
	}
	return float32(min(maxEvidence, -math.Log10(coincidence))), ""
}

// lostBefore returns when a worker at the same address was last lost before a time, either under the unit or with no task as a likely
// cause, such as one of a late job; zero if none was lately.
func (s *session) lostBefore(ws *workerState, u *unit, at time.Time, late *job) time.Time {
	loss := s.losses[ws.entry.Address]
	before := loss.unexplainedBefore(at)
	if late != nil && slices.Contains(loss.jobs, late) {
		before = loss.previous
	}
	if lost := u.lostAt[ws.entry.Address]; lost.After(before) && !lost.After(at) {
		before = lost
	}
	return before
}

// losingWorkers reports whether so many workers are being lost that a loss now would show little.
func (s *session) losingWorkers() bool {
	return s.lossShare(s.now.Add(-lossWindow), s.now, "", nil) > calmRate*lossWindow.Seconds()
}
