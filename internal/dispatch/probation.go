package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

const (
	// maxExclusiveWait is how long a suspect unit waits for workers that run nothing else, and for a time in which few others are
	// lost: one that is the cause may start only a few times more. maxFirstExclusiveWait is the same after its first crash, when
	// most suspects only ran beside the cause. A long-running unit, which has to be back soon, waits for maxLongRunningExclusiveWait.
	maxExclusiveWait            = 10 * time.Second
	maxLongRunningExclusiveWait = 3 * time.Second
	maxFirstExclusiveWait       = 500 * time.Millisecond
	// maxSettledWait is how much longer a suspect unit waits for workers on which nothing has just started: if two tasks that had are lost
	// together, neither shows that it is the cause.
	maxSettledWait = promptCrashTime
	// minSteadyTerm is how long an owner waits at the start of its term with a unit that has lost several workers. A loss in a takeover
	// shows nothing, and one takeover often follows another. All owners together add only that much to maxExclusiveWait.
	minSteadyTerm = 5 * time.Second
	// clearingFactor is how much longer than a run that was lost with its worker a run must last to show that the unit isn't the
	// cause.
	clearingFactor = 2
)

// endProbation clears a suspect unit once its run has lasted.
func (s *session) endProbation(r *run) {
	if !r.onProbation() {
		return
	}
	r.unit.suspect = false
	s.dirty = true
	s.Events.Log(events.ProbationPassed, "task", r.unit.task, "run", r.number)
}

// clearCrashes forgets the losses under a unit once a run of it has lasted for longer than those that were lost.
func (s *session) clearCrashes(r *run) {
	u := r.unit
	if u.run != r || !u.crashes.any() || r.startedAt.IsZero() ||
		s.now.Sub(r.startedAt) < max(promptCrashTime, clearingFactor*u.crashes.age) {
		return
	}
	s.Events.Log(events.CrashesCleared, "task", u.task, "run", r.number, "crashes", u.crashes.most())
	u.crashes.clear(r.number)
	s.dirty = true
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

// probeWorkers asks the workers of a run that is being recorded for an answer at once: a worker that is lost without having answered
// shortly before its start order says nothing about the run.
func (s *session) probeWorkers(r *run) {
	for _, m := range r.members {
		m.worker.probe = true
		s.pollSoon(m.worker)
	}
}

// crashedRepeatedly reports whether several workers were lost under the same task of the unit.
func (u *unit) crashedRepeatedly() bool { return u.crashes.most() > 1 }

// holdsOthers reports whether several workers were lost under a task of the step. Its job is probably lost, and the tasks of a
// step behave alike, so its other units wait.
func (st *step) holdsOthers() bool {
	return slices.ContainsFunc(st.units, func(u *unit) bool { return u.suspect && !u.done && u.crashedRepeatedly() })
}

// hasSteadyTerm reports whether the term has lasted for long enough that a loss shows something.
func (s *session) hasSteadyTerm() bool { return s.now.Sub(s.startedAt) >= minSteadyTerm }

// exclusiveWait returns how long a suspect unit waits for workers that run nothing else.
func (s *session) exclusiveWait(u *unit) time.Duration {
	switch {
	case !u.crashedRepeatedly():
		return maxFirstExclusiveWait
	case u.step.spec.GetLongRunning():
		return maxLongRunningExclusiveWait
	case s.hasSteadyTerm():
		return maxExclusiveWait
	}
	return maxExclusiveWait + minSteadyTerm
}

// waitsForExclusive reports whether a suspect unit that has waited in this term for the given time waits for workers that run nothing
// else, or extra longer than that. It does so for a moment in each term.
func (s *session) waitsForExclusive(u *unit, waited, extra time.Duration) bool {
	if !u.suspect || waited < maxFirstExclusiveWait+extra {
		return u.suspect
	}
	// Counted from the end of the last run, under whichever owner it was: otherwise each takeover would extend the wait.
	if !u.lastRunEndedAt.IsZero() {
		waited = s.now.Sub(u.lastRunEndedAt)
	}
	return waited < s.exclusiveWait(u)+extra
}

// needsExclusiveWorkers reports whether a unit that has waited in this term for the given time must get workers that run nothing else.
func (s *session) needsExclusiveWorkers(u *unit, waited time.Duration) bool {
	return s.waitsForExclusive(u, waited, 0)
}

// needsSettledWorkers reports whether such a unit must get workers on which nothing has just started.
func (s *session) needsSettledWorkers(u *unit, waited time.Duration) bool {
	return s.waitsForExclusive(u, waited, maxSettledWait)
}

// settledWorkers returns those of the allowed workers on which nothing has just started, by their ids; nil allows all.
func (s *session) settledWorkers(allowed map[string]bool) map[string]bool {
	settled := map[string]bool{}
	for id, ws := range s.workers {
		settled[id] = (allowed == nil || allowed[id]) && !s.hasJustStarted(ws)
	}
	return settled
}

// hasJustStarted reports whether a task on a worker has not run for promptCrashTime yet.
func (s *session) hasJustStarted(ws *workerState) bool {
	for _, m := range ws.members {
		if m.phase == recording || m.phase == starting || s.now.Sub(m.startSentAt) < promptCrashTime {
			return true
		}
	}
	return false
}

// retry is the start of a unit under which several workers were lost.
type retry struct {
	job *job
	at  time.Time
}

// mustStartApart reports whether a unit under which several workers were lost has to start later than now, because one of another job has
// just started. If they are lost at one time again, at different ages, no task is the cause.
func (s *session) mustStartApart(u *unit) bool {
	return u.crashedRepeatedly() && s.lastRetry.job != nil && s.lastRetry.job != u.step.job && s.now.Sub(s.lastRetry.at) < 2*simultaneous &&
		s.needsSettledWorkers(u, s.now.Sub(u.lastRunEndedAt))
}

// awaitsVerdict reports whether a waiting unit is probably given up as soon as a silent worker is certainly gone, which the tick after
// lossConfirmTime finds.
func (u *unit) awaitsVerdict(now time.Time) bool {
	return u.crashes.mayCondemn() && now.Sub(u.lastRunEndedAt) <= lossConfirmTime+tickInterval
}

// steadyWorkers returns those of the allowed workers whose loss would show that a unit is the cause, by their ids; nil allows all.
func (s *session) steadyWorkers(u *unit, allowed map[string]bool) map[string]bool {
	cause := u.lossCause(u.crashes.lastAge)
	if s.steady[cause] == nil {
		s.steady[cause] = s.findSteadyWorkers(cause)
	}
	steady := maps.Clone(s.steady[cause])
	for id := range steady {
		lately := s.now.Sub(u.lostAt[s.workers[id].entry.Address]) < minSteadyTime
		if lately || (allowed != nil && !allowed[id]) {
			delete(steady, id)
		}
	}
	return steady
}

// findSteadyWorkers returns the ids of the workers at whose addresses none was lost lately, unless for the given cause.
func (s *session) findSteadyWorkers(cause lossCause) map[string]bool {
	steady := map[string]bool{}
	for id, ws := range s.workers {
		if s.now.Sub(s.lostBefore(ws, nil, s.now, cause)) >= minSteadyTime {
			steady[id] = true
		}
	}
	return steady
}
