package dispatch

import (
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// completeUnit marks a unit as done and records that.
func (s *session) completeUnit(u *unit, onStored func()) {
	job := u.step.job
	if job.hasEnded() {
		job.outcome.then(onStored)
		return
	}
	if u.done {
		u.record.then(onStored)
		return
	}
	if u.step.spec.GetLongRunning() {
		callIfSet(onStored)
		return
	}
	u.done = true
	u.step.remaining--
	s.learnDuration(u)
	s.dirty = true
	s.activateSteps(u.step.occurrence)
	if s.isComplete(job) {
		s.endJob(job, storev1.JobState_JOB_STATE_COMPLETED, "", onStored)
		return
	}
	s.recordRun(u, storev1.RunPhase_RUN_PHASE_DONE, nil, onStored)
}

// callIfSet calls onStored, if set, for a caller that has nothing to store.
func callIfSet(onStored func()) {
	if onStored != nil {
		onStored()
	}
}

// isComplete reports whether everything that a job will ever run is done.
func (s *session) isComplete(j *job) bool {
	if len(j.occurrences) < occurrenceCount(j.spec) {
		return false
	}
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			if step.remaining > 0 {
				return false
			}
		}
	}
	return true
}

// endIfComplete ends a restored job that has nothing left to do.
func (s *session) endIfComplete(j *job) {
	if !j.hasEnded() && !j.cancelled && s.isComplete(j) {
		s.endJob(j, storev1.JobState_JOB_STATE_COMPLETED, "", nil)
	}
}

// recordRun records the state of a unit's latest run.
func (s *session) recordRun(u *unit, phase storev1.RunPhase, workers []string, onStored func()) {
	var openedAtMs, endedAtMs int64
	usualLeases := false
	var crashedMembers []uint32
	if u.run != nil {
		openedAtMs, usualLeases = u.run.recordedAtMs, u.run.usualLeases
		for _, m := range u.run.members {
			if m.crashCounted {
				crashedMembers = append(crashedMembers, uint32(m.index))
			}
		}
	}
	if !u.lastRunEndedAt.IsZero() {
		endedAtMs = u.lastRunEndedAt.UnixMilli()
	}
	record, err := replica.RunRecord(u.task, &storev1.Run{
		Phase: phase, Number: u.runNumber, Workers: workers, Failures: u.failures, Counted: u.lastFailedRun,
		Checkpoint: u.checkpoint, Crashes: u.crashes.counted, OpenedUnixMs: openedAtMs, JobWaits: u.step.job.waitingUnit == u,
		CrashEvidence: u.crashes.evidence, CrashAgeMs: uint32(max(0, u.crashes.age).Milliseconds()),
		CrashedMembers: crashedMembers, EndedUnixMs: endedAtMs, JobNotBegun: !u.step.job.begun,
		UsualLeases: usualLeases,
	})
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	u.record = &storing{}
	u.record.then(onStored)
	s.appendRecords(u.record.complete, record)
}

// endJob gives a job its outcome and stops its runs.
func (s *session) endJob(j *job, state storev1.JobState, reason string, onStored func()) {
	if j.hasEnded() {
		j.outcome.then(onStored)
		return
	}
	j.endedAt, j.state, j.outcome = s.now, state, &storing{}
	outcome, err := replica.OutcomeRecord(j.spec.GetId(), &storev1.Outcome{
		State: state, EndedUnixMs: s.now.UnixMilli(), Reason: reason,
	})
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	var recorded []replica.Task
	for _, unit := range j.units() {
		if unit.runNumber > 0 {
			recorded = append(recorded, unit.task)
		}
		s.stopRun(unit, "job ended")
	}
	s.Events.Log(events.JobFinished, "job", j.spec.GetId(), "state", state, "reason", reason,
		"age_ms", s.now.UnixMilli()-j.spec.GetAcceptedUnixMs(), "objective_ms", s.timeToObjective(j.spec, j.expect.Latest()).Milliseconds())
	if state == storev1.JobState_JOB_STATE_COMPLETED {
		s.Stages.End.Observe(s.now.Sub(time.UnixMilli(j.spec.GetAcceptedUnixMs())))
	}
	s.dirty = true
	j.outcome.then(onStored)
	s.appendRecords(j.outcome.complete, outcome)
	s.deleteRuns(recorded)
}

// maxDeletions is the maximum number of runs whose deletions are appended together, which the store accepts as one call.
const maxDeletions = 500

// deleteRuns deletes the recorded runs of a job whose outcome is stored or submitted before. The parts may be stored one by one: an
// owner that finds runs of a job with an outcome deletes them.
func (s *session) deleteRuns(recorded []replica.Task) {
	for part := range slices.Chunk(recorded, maxDeletions) {
		deletions := make([]storelog.Record, len(part))
		for i, task := range part {
			deletions[i] = replica.RunTombstone(task)
		}
		s.appendRecords(nil, deletions...)
	}
}

// units returns all units of the occurrences that were opened.
func (j *job) units() []*unit {
	var all []*unit
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			all = append(all, step.units...)
		}
	}
	return all
}

// cancelJob stops the runs of a job. The job gets its outcome once none is left.
func (s *session) cancelJob(id string) {
	j, known := s.jobs[id]
	if !known || j.hasEnded() {
		return
	}
	j.cancelled = true
	s.dirty = true
	s.openRecordedOccurrences(j)
	running := false
	for _, unit := range j.units() {
		s.stopRun(unit, "job cancelled")
		running = running || unit.run != nil
	}
	if !running {
		s.endJob(j, storev1.JobState_JOB_STATE_CANCELLED, "cancelled by its caller", nil)
	}
}

// openRecordedOccurrences opens the occurrences up to the last one with a recorded run, which may still be on workers.
func (s *session) openRecordedOccurrences(j *job) {
	last := -1
	for task := range j.recordedRuns {
		last = max(last, task.Occurrence)
	}
	last = min(last, occurrenceCount(j.spec)-1)
	for number := len(j.occurrences); number <= last; number++ {
		s.openOccurrence(j, number)
	}
}

// countFailure counts a failed run of a unit. The job fails when one of its units has no attempt left.
func (s *session) countFailure(u *unit, number uint32, onStored func()) {
	switch {
	case u.step.spec.GetLongRunning():
		callIfSet(onStored)
		return
	case u.step.job.hasEnded():
		u.step.job.outcome.then(onStored)
		return
	case u.done || number <= u.lastFailedRun:
		u.record.then(onStored)
		return
	}
	u.lastFailedRun = number
	u.failures++
	if u.failures >= s.maxAttempts(u.step.job.spec) {
		s.endJob(u.step.job, storev1.JobState_JOB_STATE_FAILED, "task "+u.task.String()+" failed too often", onStored)
		return
	}
	s.recordLatestRun(u, onStored)
}

// recordLatestRun records the unit's latest run as it is now. While a run is open the record says so, also if an earlier run has failed:
// it tells a later owner where the open run is.
func (s *session) recordLatestRun(u *unit, onStored func()) {
	switch {
	case u.done:
		s.recordRun(u, storev1.RunPhase_RUN_PHASE_DONE, nil, onStored)
	case u.run != nil:
		s.recordRun(u, storev1.RunPhase_RUN_PHASE_OPEN, u.run.workerIDs(), onStored)
	default:
		s.recordRun(u, storev1.RunPhase_RUN_PHASE_ENDED, nil, onStored)
	}
}

// maxAttempts returns the number of failed runs of a task at which its job fails.
func (s *session) maxAttempts(spec *storev1.Job) uint32 {
	if current := s.Configs.Current(); current != nil {
		if queue, known := current.Queue(spec.GetQueue()); known && queue.MaxAttempts > 0 {
			return queue.MaxAttempts
		}
	}
	return max(1, spec.GetMaxAttempts())
}

// retireJobs deletes the jobs whose retention has passed.
func (s *session) retireJobs() {
	for id, job := range s.jobs {
		if job.hasEnded() && s.now.Sub(job.endedAt) > retentionFactor*s.Options.Retention {
			delete(s.jobs, id)
			s.appendRecords(nil, replica.JobTombstones(id)...)
		}
	}
}

// retentionFactor multiplies the retention that is promised for a job's state, because the clocks of instances differ.
const retentionFactor = 2
