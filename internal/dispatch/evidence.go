package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// requiredEvidence is the evidence at which a task counts as the cause of losses, in decimal digits of the probability that a
	// task without a fault meets them by coincidence.
	requiredEvidence = 6
	// maxCoincidence is the probability above which a loss that isn't prompt shows nothing. Else the losses of a task without a fault, which
	// have any age, would add up.
	maxCoincidence = 0.2
	// ageTolerance is by how much the ages may differ at which a task that is the cause loses its workers.
	ageTolerance = 100 * time.Millisecond
	// simultaneous is the time within which losses may have one cause.
	simultaneous = 250 * time.Millisecond
	// minLostTogether is how many workers must be lost together twice, under other jobs, for their losses to count as one event.
	minLostTogether = 2
	// unseenLosses is added to the losses of a period: none in it doesn't mean that workers are never lost.
	unseenLosses = 0.5
	// calmRate is the share of the workers lost per second above which a loss shows little.
	calmRate = 0.01
	// lossWindow is how long before and after a loss others count as its surroundings. A worker that doesn't answer a poll is
	// noticed within this time.
	lossWindow = pollWait + 2*pollTimeoutMargin
	// maxProbeAge is how long before it fell silent a worker must have answered for an order without an answer to have reached it.
	maxProbeAge = 100 * time.Millisecond
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
	signUpkeep    lossSign = "its upkeep was ordered"
	signOlderRuns lossSign = "its runs are older than its start"
	signSilence   lossSign = "silent, and not in the registry"
)

// certain reports whether the sign shows that the incarnation has ended without an order.
func (sign lossSign) certain() bool {
	return sign == signRefusal || sign == signReport
}

// workerLoss is the loss of a worker. It is explained if a task had just started there.
type workerLoss struct {
	silentSince time.Time
	explained   bool
	// previous is when a worker at the same address was lost before without such an explanation; zero if none was. explainedBefore has
	// the earlier losses there with one.
	previous        time.Time
	explainedBefore []workerLoss
	// startedAtMs is the start of the incarnation that was lost.
	startedAtMs int64
	// ages are the times for which the tasks of each job had run on the worker; one of them if it had several.
	ages map[*job]time.Duration
	// watched is true if the worker was idle, but watched.
	watched bool
}

// watch is a time in which idle workers are polled like those in use.
type watch struct{ from, until time.Time }

// watchIdleWorkers lets idle workers be polled for some time after a loss: whether they are lost too tells whether a task was its cause.
func (s *session) watchIdleWorkers() {
	if !s.now.Before(s.idleWatch.until) {
		s.idleWatch.from = s.now
		for _, ws := range s.workers {
			ws.probe = ws.probe || len(ws.members) == 0
		}
	}
	s.idleWatch.until = s.now.Add(lossMemory)
}

// watchesIdleWorkers reports whether idle workers are polled.
func (s *session) watchesIdleWorkers() bool {
	return s.now.Before(s.idleWatch.until) && s.canSpareCalls()
}

// answeredWatch reports whether a worker has answered since a time, and while idle workers were watched.
func (s *session) answeredWatch(ws *workerState, since time.Time) bool {
	return !ws.answeredAt.Before(since) && !ws.answeredAt.Before(s.idleWatch.from)
}

// recordLoss remembers that a worker has fallen silent, or was replaced.
func (s *session) recordLoss(ws *workerState) {
	lost := s.lostMembers(ws, mayHaveStarted)
	if ws.entry.Address == "" || ws.entry.Draining || ws.reserved {
		return
	}
	if len(lost) == 0 && ws.silentSince.IsZero() {
		// Nobody called the idle worker, so when it was lost isn't known.
		return
	}
	silentSince := s.silentSince(ws)
	loss := workerLoss{
		silentSince: silentSince, watched: s.answeredWatch(ws, silentSince.Add(-lossWindow)), ages: map[*job]time.Duration{},
		previous: s.losses[ws.entry.Address].unexplainedBefore(s.now), explainedBefore: s.losses[ws.entry.Address].allExplained(),
		startedAtMs: ws.startedAtMs,
	}
	for _, l := range lost {
		loss.ages[l.run.unit.step.job] = l.age
		loss.explained = loss.explained || (l.prompt() && ws.mayHaveReceived(l)) || (l.age < 0 && ws.suspects[l.name] > 0)
	}
	s.losses[ws.entry.Address] = loss
}

// mayHaveReceived reports whether a lost worker has confirmed the start of a member, or answered shortly before it fell silent on the
// order. Otherwise it may have been gone before the order was sent.
func (ws *workerState) mayHaveReceived(l lostMember) bool {
	return l.lastPhase == running || (!ws.silentSince.Before(l.startSentAt) && ws.silentSince.Sub(ws.answeredAt) <= maxProbeAge)
}

// lostWith reports whether a task of the job was lost that had run for about the given time.
func (l workerLoss) lostWith(j *job, age time.Duration) bool {
	known, had := l.ages[j]
	return had && (known-age).Abs() <= ageTolerance
}

// unexplainedBefore returns when the latest unexplained loss before a time was; zero if there was none.
func (l workerLoss) unexplainedBefore(at time.Time) time.Time {
	if l.explained || l.silentSince.After(at) {
		return l.previous
	}
	return l.silentSince
}

// allExplained returns the explained losses at the address, those in lossMemory before the latest.
func (l workerLoss) allExplained() []workerLoss {
	var all []workerLoss
	for _, earlier := range l.explainedBefore {
		if l.silentSince.Sub(earlier.silentSince) <= lossMemory {
			all = append(all, earlier)
		}
	}
	if l.explained {
		l.explainedBefore = nil
		all = append(all, l)
	}
	return all
}

// withdrawLoss forgets the loss of a worker whose incarnation of before answers, but not one before that.
func (s *session) withdrawLoss(ws *workerState) {
	switch loss, known := s.losses[ws.entry.Address]; {
	case !known || loss.startedAtMs != ws.startedAtMs:
	case loss.previous.IsZero():
		delete(s.losses, ws.entry.Address)
	default:
		s.losses[ws.entry.Address] = workerLoss{silentSince: loss.previous, explainedBefore: loss.explainedBefore}
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

// lossCause is a task that is taken for the cause of a loss: its job, and for how long it had run.
type lossCause struct {
	job *job
	age time.Duration
}

func (u *unit) lossCause(age time.Duration) lossCause { return lossCause{job: u.step.job, age: age} }

// explains reports whether the loss of another worker has the same cause, or is explained too if the task had just started.
func (c lossCause) explains(other workerLoss) bool {
	return other.lostWith(c.job, c.age) || (c.age < promptCrashTime && other.explained)
}

// countLosses returns how many observed workers were lost between two times for other causes, and how many were observed: those in use, and
// with idle also idle ones if they were watched throughout. It leaves out the worker at the address.
func (s *session) countLosses(from, to time.Time, exceptAt string, cause lossCause, idle bool) (lost, observed int) {
	watched := idle && s.now.Before(s.idleWatch.until) && !from.Before(s.idleWatch.from)
	seen := map[string]bool{}
	for address, loss := range s.losses {
		counts := len(loss.ages) > 0 || (watched && loss.watched)
		within := !loss.silentSince.Before(from) && !loss.silentSince.After(to)
		if counts && within && address != exceptAt && !cause.explains(loss) {
			seen[address] = true
		}
	}
	observed = len(seen)
	for _, ws := range s.workers {
		known := len(ws.members) > 0 || (watched && s.answeredWatch(ws, from))
		if address := ws.entry.Address; !seen[address] && address != exceptAt && known {
			observed++
		}
	}
	return len(seen), observed
}

// evidence returns what the loss of a worker shows about a member on it, provided that the worker's incarnation has ended: the
// decimal digits of the probability that it is a coincidence. If it shows nothing, doubt says why.
func (s *session) evidence(ws *workerState, sign lossSign, c lostMember, lost []lostMember) (evidence float32, doubt string) {
	u := c.run.unit
	// A task that is the cause loses its workers right after the start, or at the same age each time.
	period := max(promptCrashTime, c.age)
	if u.crashes.any() {
		period = min(period, 2*max(ageTolerance, (c.age-u.crashes.lastAge).Abs()))
	}
	switch {
	case c.age < 0 && ws.suspects[c.name] > 0:
		return s.inheritedEvidence(ws.suspects[c.name], ws.entry.Address, u), ""
	case c.age < 0:
		return 0, "an earlier owner started it"
	case !ws.mayHaveReceived(c):
		return 0, "its start is not confirmed"
	case slices.ContainsFunc(lost, func(o lostMember) bool { return o.run.unit.step.job != u.step.job && o.prompt() == c.prompt() }):
		return 0, "tasks of other jobs were lost too"
	}
	coincidence := s.coincidence(ws, sign, c, period)
	if coincidence >= 1 || (!c.prompt() && coincidence > maxCoincidence) {
		return 0, "a worker is often lost in that time"
	}
	return float32(-math.Log10(coincidence)), ""
}

// coincidence returns the probability that a worker is lost in the given period of a member's run if the member isn't the cause.
func (s *session) coincidence(ws *workerState, sign lossSign, c lostMember, period time.Duration) float64 {
	cause, at, silentSince := c.run.unit.lossCause(c.age), ws.entry.Address, s.silentSince(ws)
	// The highest estimate counts: of the losses around, of those that may have the same cause, and of those at the same address. That idle
	// workers are still there makes silence no stranger: a worker that is out of reach isn't lost.
	highest := s.estimateLosses(at, silentSince, c, period, true)
	if !sign.certain() {
		highest = max(highest, s.estimateLosses(at, silentSince, c, period, false))
	}
	if before := s.lostBefore(ws, c.run.unit, c.startSentAt, cause); !before.IsZero() {
		highest = max(highest, min(1, period.Seconds()/c.startSentAt.Sub(before).Seconds()))
	}
	return highest
}

// estimateLosses returns the probability that a worker at an address is lost in a period of a member's run, from other losses around a
// time; see countLosses.
func (s *session) estimateLosses(at string, silentSince time.Time, c lostMember, period time.Duration, idle bool) float64 {
	cause := c.run.unit.lossCause(c.age)
	from, to := silentSince.Add(-lossWindow), silentSince.Add(lossWindow)
	if to.After(s.now) {
		to = s.now
	}
	lost, observed := s.countLosses(from, to, at, cause, idle)
	around := (float64(lost) + unseenLosses) / (float64(observed) + unseenLosses) / to.Sub(from).Seconds() * period.Seconds()
	from, to = silentSince.Add(-simultaneous), silentSince.Add(simultaneous)
	lost, observed = s.countLosses(from, to, at, cause, idle)
	if lost >= minLostTogether && !c.prompt() {
		// Tasks that had started together have the same age, whatever the cause is.
		lost, observed = s.countLosses(from, to, at, lossCause{age: c.age}, idle)
	}
	if lost == 0 {
		return around
	}
	return max(around, float64(lost)/float64(observed))
}

// inheritedEvidence returns the evidence that a loss under a unit adds which an earlier owner noticed at an address. That owner may not have
// noticed others, so all workers that are found to be lost after the takeover count as lost at the same time, once they are known.
func (s *session) inheritedEvidence(recorded float32, at string, u *unit) float32 {
	if !s.knowsRuns() {
		return recorded
	}
	lost, used := s.countLosses(s.startedAt, s.startedAt.Add(lossWindow), at, u.lossCause(0), false)
	for _, ws := range s.workers {
		if len(ws.members) > 0 && !ws.confirmed && !ws.unresponsive && ws.entry.Address != at {
			lost++
		}
	}
	most := float32(-math.Log10((float64(lost) + unseenLosses) / (float64(used) + unseenLosses)))
	return min(recorded, max(0, most))
}

// lostBefore returns when a worker at the same address was last lost before a time, under the unit, if one is given, or for no known cause;
// zero if none was lately.
func (s *session) lostBefore(ws *workerState, u *unit, at time.Time, cause lossCause) time.Time {
	loss := s.losses[ws.entry.Address]
	before := loss.unexplainedBefore(at)
	if cause.explains(loss) {
		before = loss.previous
	}
	if u == nil {
		return before
	}
	for address, lost := range u.lostAt {
		if lost.After(before) && !lost.After(at) && (address == ws.entry.Address || s.lostTogether(ws, u, lost)) {
			before = lost
		}
	}
	return before
}

// lostTogether reports whether a worker is one of at least minLostTogether that were lost under other jobs at the time of an earlier loss
// under the unit, and are lost together again. Such losses have a cause outside the unit.
func (s *session) lostTogether(ws *workerState, u *unit, earlier time.Time) bool {
	if !s.losses[ws.entry.Address].lostBeside(u, earlier) {
		return false
	}
	again, silentSince := 0, s.silentSince(ws)
	for _, loss := range s.losses {
		if loss.silentSince.Sub(silentSince).Abs() <= simultaneous && loss.lostBeside(u, earlier) {
			again++
		}
	}
	return again >= minLostTogether
}

// lostBeside reports whether a worker at the address was lost under another job at the time of a loss under the unit.
func (l workerLoss) lostBeside(u *unit, lost time.Time) bool {
	return slices.ContainsFunc(l.allExplained(), func(l workerLoss) bool {
		_, same := l.ages[u.step.job]
		return !same && l.silentSince.Sub(lost).Abs() <= simultaneous
	})
}

// losingWorkers reports whether so many workers are being lost that a loss now would show little.
func (s *session) losingWorkers() bool {
	lost, used := s.countLosses(s.now.Add(-lossWindow), s.now, "", lossCause{}, false)
	return float64(lost) > calmRate*lossWindow.Seconds()*float64(used)
}
