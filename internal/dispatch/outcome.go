package dispatch

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// finish marks a unit as done and records it.
func (s *session) finish(u *unit, then func()) {
	job := u.step.job
	if u.done || job.over() {
		after(then)
		return
	}
	if u.step.spec.GetLongRunning() {
		after(then)
		return
	}
	u.done = true
	u.step.left--
	s.dirty = true
	s.activate(u.step.occurrence)
	if s.complete(job) {
		s.end(job, storev1.JobState_JOB_STATE_COMPLETED, "", then)
		return
	}
	s.recordRun(u, storev1.RunPhase_RUN_PHASE_DONE, nil, then)
}

// after runs then, for which nothing has to be stored.
func after(then func()) {
	if then != nil {
		then()
	}
}

// complete tells whether all that a job ever runs is done.
func (s *session) complete(j *job) bool {
	if len(j.occurrences) < times(j.spec) {
		return false
	}
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			if step.left > 0 {
				return false
			}
		}
	}
	return true
}

// settle ends a restored job of which nothing is left to do.
func (s *session) settle(j *job) {
	if !j.over() && !j.cancelled && s.complete(j) {
		s.end(j, storev1.JobState_JOB_STATE_COMPLETED, "", nil)
	}
}

// recordRun records a unit's newest run.
func (s *session) recordRun(u *unit, phase storev1.RunPhase, workers []string, then func()) {
	record, err := replica.RunRecord(u.task, &storev1.Run{
		Phase: phase, Number: u.number, Workers: workers, Failures: u.failures, Counted: u.counted, Checkpoint: u.checkpoint,
	})
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	s.record(then, record)
}

// end gives a job its outcome and stops what runs of it.
func (s *session) end(j *job, state storev1.JobState, reason string, then func()) {
	if j.over() {
		after(then)
		return
	}
	j.ended, j.state = s.now, state
	outcome, err := replica.OutcomeRecord(j.spec.GetId(), &storev1.Outcome{State: state, EndedUnixMs: s.now.UnixMilli(), Reason: reason})
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	records := []storelog.Record{outcome}
	for _, unit := range j.units() {
		if unit.number > 0 {
			records = append(records, replica.RunTombstone(unit.task))
		}
		s.stop(unit, "job ended")
	}
	s.Events.Log(events.JobFinished, "job", j.spec.GetId(), "state", state, "reason", reason, "age_ms", s.now.UnixMilli()-j.spec.GetAcceptedUnixMs(),
		"objective_ms", assign.TimeToObjective(j.spec).Milliseconds())
	if state == storev1.JobState_JOB_STATE_COMPLETED {
		s.Stages.End.Observe(s.now.Sub(time.UnixMilli(j.spec.GetAcceptedUnixMs())))
	}
	s.dirty = true
	s.record(then, records...)
}

// units are all units of the occurrences that were due.
func (j *job) units() []*unit {
	var all []*unit
	for _, occurrence := range j.occurrences {
		for _, step := range occurrence.steps {
			all = append(all, step.units...)
		}
	}
	return all
}

// cancel stops a job. It gets its outcome once nothing of it runs.
func (s *session) cancel(id string) {
	j, known := s.jobs[id]
	if !known || j.over() {
		return
	}
	j.cancelled = true
	s.dirty = true
	s.openRecorded(j)
	running := false
	for _, unit := range j.units() {
		s.stop(unit, "job cancelled")
		running = running || unit.run != nil
	}
	if !running {
		s.end(j, storev1.JobState_JOB_STATE_CANCELLED, "cancelled by its caller", nil)
	}
}

// openRecorded opens the occurrences of a cancelled job that may still run.
func (s *session) openRecorded(j *job) {
	last := -1
	for task := range j.recorded {
		last = max(last, task.Occurrence)
	}
	for number := len(j.occurrences); number <= last; number++ {
		s.open(j, number)
	}
}

// fail counts a failed run. A job fails when one of its units has no attempt left.
func (s *session) fail(u *unit, number uint32, then func()) {
	if u.step.spec.GetLongRunning() || u.done || u.step.job.over() || number <= u.counted {
		after(then)
		return
	}
	u.counted = number
	u.failures++
	if u.failures >= s.attempts(u.step.job.spec) {
		s.end(u.step.job, storev1.JobState_JOB_STATE_FAILED, "task "+u.task.String()+" failed too often", then)
		return
	}
	var workers []string
	phase := storev1.RunPhase_RUN_PHASE_FAILED
	if u.run != nil && u.run.number == number {
		phase, workers = storev1.RunPhase_RUN_PHASE_OPEN, u.run.workerIDs()
	}
	s.recordRun(u, phase, workers, then)
}

// attempts is how many runs of a task may fail.
func (s *session) attempts(spec *storev1.Job) uint32 {
	if current := s.Configs.Current(); current != nil {
		if queue, known := current.Queue(spec.GetQueue()); known && queue.MaxAttempts > 0 {
			return queue.MaxAttempts
		}
	}
	return max(1, spec.GetMaxAttempts())
}

// retire drops jobs that nobody asks for any more.
func (s *session) retire() {
	for id, job := range s.jobs {
		if job.over() && s.now.Sub(job.ended) > retainTimes*s.Options.Retention {
			delete(s.jobs, id)
			s.record(nil, replica.JobTombstones(id)...)
		}
	}
}

// retainTimes is how much longer than promised a job's state is kept: clocks of instances differ.
const retainTimes = 2
