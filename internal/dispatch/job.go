package dispatch

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// job is a job as the owner runs it.
type job struct {
	spec      *storev1.Job
	cancelled bool
	// endedAt is when it got its outcome; zero before.
	endedAt time.Time
	state   storev1.JobState
	// occurrences that are due; doneBefore of them needs no state any more.
	occurrences  []*occurrence
	recordedRuns map[replica.Task]*storev1.Run
}

// occurrence is one run of a job's steps.
type occurrence struct {
	number int
	dueAt  time.Time
	// isDue tells that its time has come by this instance's clock.
	isDue bool
	// started tells that a run of it was at work in this term.
	started bool
	steps   []*step
}

// step is one step of an occurrence.
type step struct {
	job        *job
	occurrence *occurrence
	spec       *storev1.Step
	index      int
	units      []*unit
	// remaining counts the units that are not done.
	remaining int
	// readyAt is when the step could run; zero before.
	readyAt time.Time
	// tickets allow it to run on workers, where its queue needs advice; askAfter spaces the calls.
	tickets      map[string]ticket
	nextAdviceAt time.Time
}

// unit is a task, or a gang as a whole.
type unit struct {
	task replica.Task
	step *step
	// runNumber of the newest run.
	runNumber uint32
	failures  uint32
	// lastFailedRun is the newest run whose failure was lastFailedRun.
	lastFailedRun uint32
	checkpoint    string
	// checkpointRun and savedPercent say from which run, and how far in it, the checkpoint is.
	checkpointRun     uint32
	checkpointPercent float64
	done              bool
	// lastRunEndedAt is when its last run was over.
	lastRunEndedAt time.Time
	// run is the run that may be on workers; nil if there is none.
	run *run
	// avoid are workers on which it failed.
	avoid map[string]bool
}

// occurrenceCount is how often a job runs its steps.
func occurrenceCount(spec *storev1.Job) int { return max(1, int(spec.GetSchedule().GetTimes())) }

// dueAt is when an occurrence may start.
func dueAt(spec *storev1.Job, number int) time.Time {
	schedule := spec.GetSchedule()
	if schedule.GetTimes() == 0 {
		return time.UnixMilli(spec.GetAcceptedUnixMs())
	}
	return time.UnixMilli(schedule.GetStartUnixMs() + int64(number)*schedule.GetIntervalMs())
}

func (j *job) hasEnded() bool { return !j.endedAt.IsZero() }

// hasWaitingUnits tells whether a unit waits for workers.
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

// watcher hands changes of the replica to the loop, in their order.
type watcher struct{ s *session }

// JobAccepted implements replica.Watcher.
func (w watcher) JobAccepted(accepted *storev1.Job) {
	w.s.post(func() {
		if _, known := w.s.jobs[accepted.GetId()]; !known {
			w.s.addJob(&job{spec: accepted})
		}
	})
}

// JobCancelled implements replica.Watcher.
func (w watcher) JobCancelled(id string) {
	w.s.post(func() { w.s.cancelJob(id) })
}

// restore takes over what the store knows.
func (s *session) restore(all []replica.Job) {
	for _, known := range all {
		restored := &job{spec: known.Job, cancelled: known.Cancelled, recordedRuns: known.Runs}
		if outcome := known.Outcome; outcome != nil {
			restored.endedAt, restored.state = time.UnixMilli(outcome.GetEndedUnixMs()), outcome.GetState()
		}
		s.addJob(restored)
	}
}

// addJob takes a job on.
func (s *session) addJob(added *job) {
	s.jobs[added.spec.GetId()] = added
	s.addToQueueStats(added.spec)
	if added.hasEnded() {
		return
	}
	// What is recorded may be on workers, also if its time has not come by this instance's clock.
	s.openRecordedOccurrences(added)
	s.openDueOccurrences(added)
	if added.cancelled {
		s.cancelJob(added.spec.GetId())
	}
	s.endIfComplete(added)
	s.dirty = true
}

// openDueOccurrences opens the occurrences whose time has come.
func (s *session) openDueOccurrences(j *job) {
	if j.hasEnded() || j.cancelled {
		return
	}
	for number := len(j.occurrences); number < occurrenceCount(j.spec) && s.occurrenceDue(j.spec, number); number++ {
		s.openOccurrence(j, number)
	}
	for _, o := range j.occurrences {
		if !o.isDue {
			s.activateSteps(o)
		}
	}
}

// occurrenceDue tells whether the time of an occurrence has come. A job without a schedule may always start: its time is from the
// clock of the instance that accepted it.
func (s *session) occurrenceDue(spec *storev1.Job, number int) bool {
	return spec.GetSchedule().GetTimes() == 0 || !dueAt(spec, number).After(s.now)
}

// openOccurrence opens one occurrence and takes over its recorded runs.
func (s *session) openOccurrence(j *job, number int) {
	opened := &occurrence{number: number, dueAt: dueAt(j.spec, number)}
	j.occurrences = append(j.occurrences, opened)
	for index, spec := range j.spec.GetSteps() {
		added := &step{job: j, occurrence: opened, spec: spec, index: index}
		for _, task := range tasksOf(j.spec.GetId(), number, index, spec) {
			added.units = append(added.units, s.newUnit(added, task))
		}
		for _, unit := range added.units {
			if !unit.done {
				added.remaining++
			}
		}
		opened.steps = append(opened.steps, added)
	}
	s.activateSteps(opened)
	s.dirty = true
}

// tasksOf names the units of a step.
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

func (s *session) newUnit(owner *step, task replica.Task) *unit {
	added := &unit{task: task, step: owner, avoid: map[string]bool{}}
	recorded, known := owner.job.recordedRuns[task]
	if !known {
		return added
	}
	added.runNumber, added.failures, added.checkpoint = recorded.GetNumber(), recorded.GetFailures(), recorded.GetCheckpoint()
	added.lastFailedRun = recorded.GetCounted()
	switch recorded.GetPhase() {
	case storev1.RunPhase_RUN_PHASE_DONE:
		added.done = !owner.spec.GetLongRunning()
	case storev1.RunPhase_RUN_PHASE_OPEN:
		s.restoreRun(added, recorded.GetWorkers())
	}
	return added
}

// activateSteps lets the steps run whose predecessors are done, once the occurrence's time has come.
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
			step.readyAt = s.now
			s.dirty = true
		}
	}
}

// saveCheckpoint takes over the checkpoint of a member. A gang resumes from the value of any member, so the one that got furthest
// counts.
func (u *unit) saveCheckpoint(m *member, checkpoint string) {
	if checkpoint == "" || m.run.number < u.checkpointRun || (m.run.number == u.checkpointRun && m.percent < u.checkpointPercent) {
		return
	}
	u.checkpoint, u.checkpointRun, u.checkpointPercent = checkpoint, m.run.number, m.percent
}

// resources is the room that a task of the unit takes.
func (u *unit) resources() assign.Resources { return assign.ResourcesOf(u.step.spec) }
