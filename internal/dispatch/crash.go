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
	// maxProvenCrashes is how many workers may crash under a unit if the last one ran nothing else and crashed promptly.
	maxProvenCrashes = 3
	// maxCrashes is how many workers may crash under a unit in any case.
	maxCrashes = 4
	// maxLoneWait is how long a suspect unit waits for workers that run nothing else, and maxFirstLoneWait the same after its first
	// crash, when most suspects only ran beside the cause.
	maxLoneWait      = 4 * time.Second
	maxFirstLoneWait = 500 * time.Millisecond
)

// casualty is a unit whose run ended in the crash of a worker.
type casualty struct {
	unit *unit
	run  *run
	// prompt is true if the worker fell silent soon after it had started a task of the unit.
	prompt bool
}

// casualties returns the units with a task on a worker, for which started reports whether it was started. It returns none for a
// worker that leaves as announced.
func (s *session) casualties(ws *workerState, started func(*member) bool) []casualty {
	if ws.entry.Draining || ws.reserved {
		return nil
	}
	silentSince := ws.silentSince
	if silentSince.IsZero() {
		silentSince = s.now
	}
	var all []casualty
	index := map[*unit]int{}
	for _, m := range ws.members {
		if !started(m) {
			continue
		}
		i, known := index[m.run.unit]
		if !known {
			i = len(all)
			index[m.run.unit] = i
			all = append(all, casualty{unit: m.run.unit, run: m.run})
		}
		if !m.startSentAt.IsZero() && silentSince.Sub(m.startSentAt) < promptCrashTime {
			all[i].prompt = true
		}
	}
	return all
}

// mayHaveStarted reports whether a start order for a member was sent, by this owner or an earlier one.
func mayHaveStarted(m *member) bool {
	return m.startSent || m.phase == unconfirmed || m.phase == running
}

// countCrash counts the crash of a worker against the units that had just started on it, or if none had, against all that ran
// on it. A unit becomes a suspect if the crash followed the start of one of its tasks promptly, or was not the first; it then runs
// on probation. A unit that goes on to crash workers is given up with its job.
func (s *session) countCrash(ws *workerState, casualties []casualty) {
	anyPrompt := slices.ContainsFunc(casualties, func(c casualty) bool { return c.prompt })
	for _, c := range casualties {
		u, job := c.unit, c.unit.step.job
		if job.hasEnded() || u.done || c.run.number <= u.lastCrashedRun || (anyPrompt && !c.prompt) {
			continue
		}
		u.lastCrashedRun = c.run.number
		u.crashes++
		u.suspect = u.suspect || c.prompt || u.crashes > 1
		s.dirty = true
		proven := c.prompt && len(casualties) == 1
		s.Events.Log(events.WorkerCrashed, "worker", ws.id, "task", u.task, "run", c.run.number, "crashes", u.crashes,
			"prompt", c.prompt, "units_on_worker", len(casualties), "suspect", u.suspect)
		if !job.cancelled && (u.crashes >= maxCrashes || (proven && u.crashes >= maxProvenCrashes)) {
			s.endJob(job, storev1.JobState_JOB_STATE_FAILED, "workers crashed under task "+u.task.String(), nil)
		}
	}
}

// countMissedCrash counts the crash of a worker that was back before this owner first asked it: its incarnation, which started
// at startedAtMs, is younger than the runs that an earlier owner started on it.
func (s *session) countMissedCrash(ws *workerState, startedAtMs int64) {
	s.countCrash(ws, s.casualties(ws, func(m *member) bool {
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
		u.crashes = 0
	}
	s.dirty = true
	s.Events.Log(events.ProbationPassed, "task", u.task, "run", r.number, "crashes", u.crashes)
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

// crashesRepeatedly reports whether a unit of the step has crashed several workers. Its job is probably lost, and the tasks of a
// step behave alike, so units under which at most one has crashed are held.
func (st *step) crashesRepeatedly() bool {
	return slices.ContainsFunc(st.units, func(u *unit) bool { return u.suspect && !u.done && u.crashes > 1 })
}

// needsLoneWorkers reports whether a waiting unit must get workers that run nothing else.
func (u *unit) needsLoneWorkers(waited time.Duration) bool {
	if u.crashes > 1 {
		return u.suspect && waited < maxLoneWait
	}
	return u.suspect && waited < maxFirstLoneWait
}
