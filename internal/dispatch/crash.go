package dispatch

import (
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

const (
	// promptCrashTime is how soon after the start of a task a worker must fall silent for the task to be a likely cause. A run
	// that lasts longer has passed its probation.
	promptCrashTime = time.Second
	// maxProvenCrashes is how many workers may crash under a task if the last one ran no other unit and crashed promptly.
	maxProvenCrashes = 3
	// maxCrashes is how many workers may crash under a task in any case.
	maxCrashes = 4
	// maxExclusiveWait is how long a suspect unit waits for workers that run nothing else, and maxFirstExclusiveWait the same
	// after its first crash, when most suspects only ran beside the cause.
	maxExclusiveWait      = 4 * time.Second
	maxFirstExclusiveWait = 500 * time.Millisecond
)

// lostMember is a member whose worker crashed.
type lostMember struct {
	*member
	// prompt is true if the worker fell silent soon after it had been ordered to start the member.
	prompt bool
	// lastPhase is the member's phase before the loss, and stopReason why its run was being stopped then; empty if it wasn't.
	lastPhase  phase
	stopReason string
}

// lostMembers returns the members on a worker for which started reports that they were started. It returns none for a worker that
// leaves as announced.
func (s *session) lostMembers(ws *workerState, started func(*member) bool) []lostMember {
	if ws.entry.Draining || ws.reserved {
		return nil
	}
	silentSince := ws.silentSince
	if silentSince.IsZero() {
		silentSince = s.now
	}
	var all []lostMember
	for _, m := range ws.members {
		if started(m) {
			prompt := !m.startSentAt.IsZero() && silentSince.Sub(m.startSentAt) < promptCrashTime
			all = append(all, lostMember{member: m, prompt: prompt, lastPhase: m.phase, stopReason: m.run.stopReason})
		}
	}
	return all
}

// mayHaveStarted reports whether a start order for a member was sent, by this owner or an earlier one.
func mayHaveStarted(m *member) bool {
	return m.startSent || m.phase == unconfirmed || m.phase == running
}

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

// countCrash counts the crash of a worker against the tasks that had just started on it, or if none had, against all that ran
// on it. Their units become suspects if the crash followed the start promptly, or was not the first under the same task; they then
// run on probation. The job of a task under which workers go on to crash is given up. It returns the members whose crash it counted.
func (s *session) countCrash(ws *workerState, sign lossSign, lost []lostMember) (counted []*member) {
	anyPrompt := slices.ContainsFunc(lost, func(c lostMember) bool { return c.prompt })
	for _, c := range lost {
		u := c.run.unit
		if u.step.job.hasEnded() || u.done || c.crashCounted || (anyPrompt && !c.prompt) {
			continue
		}
		c.crashCounted = true
		counted = append(counted, c.member)
		crashes := u.addCrash(c.index)
		u.suspect = u.suspect || c.prompt || crashes > 1
		s.dirty = true
		exclusive := !slices.ContainsFunc(lost, func(other lostMember) bool { return other.run.unit != u })
		s.Events.Log(events.WorkerCrashed, "worker", ws.id, "task", c.name, "run", c.run.number, "crashes", crashes,
			"prompt", c.prompt, "exclusive", exclusive, "suspect", u.suspect, "sign", string(sign), "phase", c.lastPhase.String(),
			"confirmed", !c.confirmedAt.IsZero(), "stopping", c.stopReason, "start_age_ms", s.age(c.startSentAt).Milliseconds(),
			"silent_ms", s.age(ws.silentSince).Milliseconds(), "worker_start_ms", ws.startedAtMs)
		if !u.step.job.cancelled && (crashes >= maxCrashes || (c.prompt && exclusive && crashes >= maxProvenCrashes)) {
			s.endJob(u.step.job, storev1.JobState_JOB_STATE_FAILED, "workers crashed under task "+c.name, nil)
		}
	}
	return counted
}

// age returns how long ago a time was; 0 if it is unknown.
func (s *session) age(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return s.now.Sub(t)
}

// silentLoss is the loss of a worker that was silent for longer than its leases and left the registry: it may have crashed.
type silentLoss struct {
	// startedAtMs is the start of the incarnation that was lost.
	startedAtMs int64
	// counted are the members whose crash was counted.
	counted []*member
}

// withdrawCrashes takes back the crashes that were counted when a worker was silent, once its incarnation of before answers.
func (s *session) withdrawCrashes(ws *workerState, startedAtMs int64) {
	loss, known := s.silentLosses[ws.id]
	if !known {
		return
	}
	delete(s.silentLosses, ws.id)
	if loss.startedAtMs != startedAtMs || startedAtMs == 0 {
		return
	}
	for _, m := range loss.counted {
		u := m.run.unit
		if m.index < len(u.crashes) && u.crashes[m.index] > 0 {
			u.crashes[m.index]--
		}
		if !slices.ContainsFunc(u.crashes, func(crashes uint32) bool { return crashes > 0 }) {
			u.crashes, u.suspect = nil, false
		}
		s.dirty = true
		s.Events.Log(events.CrashWithdrawn, "worker", ws.id, "task", m.name, "run", m.run.number)
	}
}

// addCrash counts the crash of a member's worker and returns the number of such crashes.
func (u *unit) addCrash(member int) uint32 {
	if len(u.crashes) < memberCount(u) {
		u.crashes = make([]uint32, memberCount(u))
	}
	u.crashes[member]++
	return u.crashes[member]
}

// crashedRepeatedly reports whether several workers have crashed under the same task of the unit.
func (u *unit) crashedRepeatedly() bool {
	return slices.ContainsFunc(u.crashes, func(crashes uint32) bool { return crashes > 1 })
}

// countMissedCrash counts the crash of a worker that was back before this owner first asked it: its incarnation, which started
// at startedAtMs, is younger than the runs that an earlier owner started on it.
func (s *session) countMissedCrash(ws *workerState, startedAtMs int64) {
	s.countCrash(ws, signOlderRuns, s.lostMembers(ws, func(m *member) bool {
		return m.phase == unconfirmed && m.run.recordedAtMs > 0 && m.run.recordedAtMs < startedAtMs
	}))
}

// endProbation clears a suspect unit once its run has lasted.
func (s *session) endProbation(r *run) {
	u := r.unit
	if !r.onProbation() {
		return
	}
	u.suspect = false
	if u.step.spec.GetLongRunning() {
		// A task without an end outlives many workers.
		u.crashes = nil
	}
	s.dirty = true
	s.Events.Log(events.ProbationPassed, "task", u.task, "run", r.number)
}

// passedProbation reports whether a run has lasted for long enough to end its probation.
func (r *run) passedProbation(now time.Time) bool {
	return !r.startedAt.IsZero() && now.Sub(r.startedAt) >= promptCrashTime
}

// onProbation reports whether the run is on probation: it has to show that its unit isn't the cause of crashes. No other unit
// starts on its workers.
func (r *run) onProbation() bool { return r.unit.run == r && r.unit.suspect }

// hasProbation reports whether a worker has a run on probation.
func (ws *workerState) hasProbation() bool {
	for _, m := range ws.members {
		if m.run.onProbation() {
			return true
		}
	}
	return false
}

// holdsOthers reports whether several workers have crashed under a task of the step. Its job is probably lost, and the tasks of a
// step behave alike, so its other units wait.
func (st *step) holdsOthers() bool {
	return slices.ContainsFunc(st.units, func(u *unit) bool { return u.suspect && !u.done && u.crashedRepeatedly() })
}

// needsExclusiveWorkers reports whether a waiting unit must get workers that run nothing else.
func (u *unit) needsExclusiveWorkers(waited time.Duration) bool {
	limit := maxFirstExclusiveWait
	if u.crashedRepeatedly() {
		limit = maxExclusiveWait
	}
	return u.suspect && waited < limit
}
