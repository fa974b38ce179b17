package dispatch

import (
	"maps"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/expect"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// job is the owner's state of a job.
type job struct {
	spec      *storev1.Job
	cancelled bool
	// endedAt is when the job got its outcome; zero before.
	endedAt time.Time
	state   storev1.JobState
	// outcome is the record of the outcome; nil if there is none yet or an earlier owner stored it.
	outcome *storing
	// begun is true once a task of the job is known to have started. firstRunAt is when its first run was planned in this term, or when its
	// runs were restored, and waitingUnit the unit whose record says that the job hasn't begun; nil if none does.
	begun       bool
	firstRunAt  time.Time
	waitingUnit *unit
	// occurrences are those that are due or have recorded runs, in their order.
	occurrences []*occurrence
	// expect has what is known of the durations of its tasks.
	expect       *expect.Job
	recordedRuns map[replica.Task]*storev1.Run
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	number int
	dueAt  time.Time
	// isDue is true once its time has come by this instance's clock.
	isDue bool
	// started is true once all members of a run of it were running in this term.
	started bool
	steps   []*step
	// expect has what is known of the durations of the steps.
	expect *expect.Occurrence
}

// done reports whether all steps are done.
func (o *occurrence) done() bool {
	return !slices.ContainsFunc(o.steps, func(st *step) bool { return st.remaining > 0 })
}

// step is one step of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	spec       *storev1.Step
	index      int
	units      []*unit
	// remaining is the number of units that are not done.
	remaining int
	// readyAt is when the step became ready to run; zero before. nextWaitReport is when the log states again why it waits.
	readyAt, nextWaitReport time.Time
	// rate is the rate at which the step's tasks progress, as far as known.
	rate learned.StepRate
	// asked is true while a question asks why the step waits.
	asked bool
	// tickets allow the step to run on workers, by their id, if its queue needs advice. denied has the workers on which it may not run,
	// with the start of their incarnation.
	tickets map[string]ticket
	denied  map[string]int64
	// advisedAt is when the advisor was last called, and nextAdviceAt the earliest time of the next call.
	advisedAt, nextAdviceAt time.Time
}

// unit is a task, or a gang as a whole.
type unit struct {
	task replica.Task
	step *step
	// runNumber is the number of the latest run.
	runNumber uint32
	failures  uint32
	// lastFailedRun is the number of the latest run whose failure was counted.
	lastFailedRun uint32
	checkpoint    string
	// checkpointRun is the number of the run that saved the checkpoint, and checkpointPercent its progress then.
	checkpointRun     uint32
	checkpointPercent float64
	done              bool
	crashes           crashRecord
	// suspect is true if the unit may have caused a crash.
	suspect bool
	// record is the latest record of the unit's runs in this term; nil if there is none.
	record *storing
	// lastRunEndedAt is when the last run ended, under this owner or an earlier one; zero if that isn't known.
	lastRunEndedAt time.Time
	// awaySince is since when the unit has been away: since its last run ended, or since the worker of that run fell silent if the run ended
	// with the lease.
	awaySince time.Time
	// run is the run that may be on workers; nil if there is none.
	run *run
	// history is that of this term.
	history assign.History
	// avoid are the workers on which the unit failed.
	avoid map[string]bool
	// lostAt is when a worker was last lost under the unit at each address, as far as this owner has counted it.
	lostAt map[string]time.Time
}

// occurrenceCount returns how often a job runs its steps.
func occurrenceCount(spec *storev1.Job) int { return max(1, int(spec.GetSchedule().GetTimes())) }

// maxOpenTasks limits the tasks of a job in occurrences that are due and not done, unless one occurrence has more. The others are
// opened as these are done.
const maxOpenTasks = 2000

// maxOpenOccurrences returns how many occurrences of a job may be open at a time.
func maxOpenOccurrences(spec *storev1.Job) int {
	tasks := 0
	for _, step := range spec.GetSteps() {
		tasks += int(step.GetCount())
	}
	return max(1, maxOpenTasks/max(1, tasks))
}

// openOccurrences returns the number of occurrences that were opened and are not done.
func (j *job) openOccurrences() int {
	open := 0
	for _, o := range j.occurrences {
		if !o.done() {
			open++
		}
	}
	return open
}

// dueAt returns when an occurrence may start.
func dueAt(spec *storev1.Job, number int) time.Time {
	schedule := spec.GetSchedule()
	if schedule.GetTimes() == 0 {
		return time.UnixMilli(spec.GetAcceptedUnixMs())
	}
	return time.UnixMilli(schedule.GetStartUnixMs() + int64(number)*schedule.GetIntervalMs())
}

func (j *job) hasEnded() bool { return !j.endedAt.IsZero() }

// hasWaitingUnits reports whether a unit waits for workers.
func (j *job) hasWaitingUnits() bool {
	if j.cancelled {
		return false
	}
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			if step.remaining > 0 && !step.readyAt.IsZero() {
				for _, unit := range step.units {
					if !unit.done && unit.run == nil {
						return true
					}
				}
			}
		}
	}
	return false
}

// watcher passes the changes of the replica to the loop, in their order.
type watcher struct{ s *session }

// JobAccepted implements replica.Watcher.
func (w watcher) JobAccepted(accepted *storev1.Job) {
	w.s.post(func() {
		if _, known := w.s.jobs[accepted.GetId()]; !known {
			w.s.logQueued(accepted)
			w.s.addJob(&job{spec: accepted})
		}
	})
}

// JobCancelled implements replica.Watcher.
func (w watcher) JobCancelled(id string) {
	w.s.post(func() { w.s.cancelJob(id) })
}

// restore adds the jobs that the store holds at the start of the term.
func (s *session) restore(stored []replica.Job) {
	s.restoreFinalLeases()
	s.model = expect.NewModel(s.Replica.Durations(), !s.Options.DeclaredDurations, s.Events)
	for _, j := range stored {
		restored := &job{spec: j.Job, cancelled: j.Cancelled, recordedRuns: j.Runs}
		if outcome := j.Outcome; outcome != nil {
			restored.endedAt, restored.state = time.UnixMilli(outcome.GetEndedUnixMs()), outcome.GetState()
			s.deleteRuns(slices.Collect(maps.Keys(j.Runs)))
		}
		s.addJob(restored)
	}
	s.logRestored()
}

// addJob adds a job, with its occurrences that are due or have recorded runs.
func (s *session) addJob(j *job) {
	s.jobs[j.spec.GetId()] = j
	j.expect = s.model.Job(j.spec)
	if j.hasEnded() {
		return
	}
	// Recorded runs may be on workers, even if their time has not come by this instance's clock.
	s.openRecordedOccurrences(j)
	s.openDueOccurrences(j)
	s.restoreWaiting(j)
	if j.cancelled {
		s.cancelJob(j.spec.GetId())
	}
	s.endIfComplete(j)
	s.dirty = true
}

// openDueOccurrences opens the occurrences whose time has come.
func (s *session) openDueOccurrences(j *job) {
	if j.hasEnded() || j.cancelled {
		return
	}
	if next := len(j.occurrences); s.mayOpen(j, next) {
		for room := maxOpenOccurrences(j.spec) - j.openOccurrences(); room > 0 && s.mayOpen(j, next); room-- {
			s.openOccurrence(j, next)
			next++
		}
	}
	for _, o := range j.occurrences {
		if !o.isDue {
			s.activateSteps(o)
		}
	}
}

// mayOpen reports whether a job has the occurrence and its time has come.
func (s *session) mayOpen(j *job, number int) bool {
	return number < occurrenceCount(j.spec) && s.occurrenceDue(j.spec, number)
}

// occurrenceDue reports whether the time of an occurrence has come. A job without a schedule may always start: its time is
// from the clock of the instance that accepted it.
func (s *session) occurrenceDue(spec *storev1.Job, number int) bool {
	return spec.GetSchedule().GetTimes() == 0 || !dueAt(spec, number).After(s.now)
}

// openOccurrence opens one occurrence and restores its recorded runs.
func (s *session) openOccurrence(j *job, number int) {
	o := &occurrence{number: number, dueAt: dueAt(j.spec, number), expect: j.expect.Occurrence()}
	j.occurrences = append(j.occurrences, o)
	for index, spec := range j.spec.GetSteps() {
		st := &step{job: j, occurrence: o, spec: spec, index: index}
		for _, task := range tasksOf(j.spec.GetId(), number, index, spec) {
			st.units = append(st.units, s.newUnit(st, task))
		}
		for _, unit := range st.units {
			if !unit.done {
				st.remaining++
			}
		}
		o.steps = append(o.steps, st)
	}
	s.activateSteps(o)
	s.dirty = true
}

// tasksOf returns the tasks of a step, one for each unit.
func tasksOf(id string, occurrence, index int, spec *storev1.Step) []replica.Task {
	if spec.GetGang() {
		return []replica.Task{{Job: id, Occurrence: occurrence, Step: index, Index: replica.GangIndex}}
	}
	tasks := make([]replica.Task, spec.GetCount())
	for i := range tasks {
		tasks[i] = replica.Task{Job: id, Occurrence: occurrence, Step: index, Index: i}
	}
	return tasks
}

func (s *session) newUnit(st *step, task replica.Task) *unit {
	u := &unit{task: task, step: st, avoid: map[string]bool{}, lostAt: map[string]time.Time{}}
	recorded, known := st.job.recordedRuns[task]
	if !known {
		return u
	}
	u.runNumber, u.failures, u.checkpoint = recorded.GetNumber(), recorded.GetFailures(), recorded.GetCheckpoint()
	u.lastFailedRun, u.crashes = recorded.GetCounted(), restoreCrashes(recorded)
	u.suspect = u.crashes.any()
	if endedMs := recorded.GetEndedUnixMs(); endedMs > 0 {
		age := time.Duration(s.now.UnixMilli()-endedMs) * time.Millisecond
		u.lastRunEndedAt = s.now.Add(-max(0, age))
		u.awaySince = u.lastRunEndedAt
	}
	switch recorded.GetPhase() {
	case storev1.RunPhase_RUN_PHASE_DONE:
		u.done = !st.spec.GetLongRunning()
	case storev1.RunPhase_RUN_PHASE_OPEN:
		s.restoreRun(u, recorded)
	}
	return u
}

// activateSteps marks the steps as ready whose predecessors are done, once the occurrence is due.
func (s *session) activateSteps(o *occurrence) {
	o.isDue = o.isDue || s.occurrenceDue(o.steps[0].job.spec, o.number)
	if !o.isDue {
		return
	}
	for _, step := range o.steps {
		if !step.readyAt.IsZero() {
			continue
		}
		ready := true
		for _, after := range step.spec.GetAfter() {
			ready = ready && o.steps[after].remaining == 0
		}
		if ready {
			step.readyAt, step.nextWaitReport = s.now, s.now.Add(firstWaitReport)
			s.dirty = true
		}
	}
}

// saveCheckpoint keeps the checkpoint of a member. A gang resumes from the checkpoint of any member, so the one with the
// most progress is kept.
func (u *unit) saveCheckpoint(m *member, checkpoint string) {
	if checkpoint == "" || m.run.number < u.checkpointRun || (m.run.number == u.checkpointRun && m.percent < u.checkpointPercent) {
		return
	}
	u.checkpoint, u.checkpointRun, u.checkpointPercent = checkpoint, m.run.number, m.percent
}

// resources returns what one task of the unit needs.
func (u *unit) resources() assign.Resources { return assign.ResourcesOf(u.step.spec) }
