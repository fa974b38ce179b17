package dispatch

import (
	"maps"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// planPauseFactor is the minimum pause between two plans, as a multiple of the time that the first one took. Orders and
	// their answers need the rest of the processor.
	planPauseFactor = 3
	// maxPlanPause limits that pause, because jobs within their account's guarantee must start in time also after a plan
	// that was held up.
	maxPlanPause = 500 * time.Millisecond
)

// plan makes a plan, preempts runs and launches others.
func (s *session) plan() {
	startedAt := time.Now()
	snapshot := s.snapshot()
	s.accountUse.Observe(snapshot)
	plan := s.Plan(snapshot)
	took := time.Since(startedAt)
	s.Stages.Plan.Observe(took)
	s.planning.count, s.planning.took = s.planning.count+1, s.planning.took+took
	s.publishForecast(snapshot, &plan)
	s.reservations, s.kept = plan.Reservations, plan.Kept
	maps.Copy(plan.Reasons, s.held)
	s.logWaits(plan.Reasons)
	s.answerQuestions(plan.Reasons)
	for _, preemption := range plan.Preemptions {
		s.preempt(preemption)
	}
	for _, start := range plan.Starts {
		if u := s.unitByTask(start.Task); !s.mustStartApart(u) {
			s.launch(u, start.Workers)
		}
	}
	s.nextPlan = time.Now().Add(min(planPauseFactor*time.Since(startedAt), maxPlanPause))
}

func (s *session) unitByTask(task replica.Task) *unit {
	step := s.jobs[task.Job].occurrences[task.Occurrence].steps[task.Step]
	if task.Index == replica.GangIndex {
		return step.units[0]
	}
	return step.units[task.Index]
}

// launch records a run, and starts its members once the record is stored.
func (s *session) launch(u *unit, workers []string) {
	u.runNumber++
	if job := u.step.job; job.firstRunAt.IsZero() {
		job.firstRunAt = s.now
	}
	r := s.newRun(u, u.runNumber, workers, recording)
	u.history.Place(s.now)
	for _, m := range r.members {
		m.inQuarantine = m.worker.health.Quarantined(s.now)
	}
	s.Events.Log(events.JobPlaced, "task", u.task, "run", u.runNumber, "epoch", s.term.Epoch, "workers", len(workers), "first", workers[0],
		"waited_ms", s.now.Sub(u.step.readyAt).Milliseconds(), "failures", u.failures, "checkpoint", u.checkpoint)
	if r.onProbation() {
		s.probeWorkers(r)
	}
	if u.crashedRepeatedly() {
		s.lastRetry = retry{job: u.step.job, at: s.now}
	}
	s.recordRun(u, storev1.RunPhase_RUN_PHASE_OPEN, workers, func() { s.startMembers(r) })
}

// startMembers starts the members of a recorded run, unless it was stopped or a worker became unusable in the meantime.
func (s *session) startMembers(r *run) {
	startable := r.stopReason == "" && !r.unit.step.job.hasEnded() && !r.unit.step.job.cancelled
	for _, member := range r.members {
		startable = startable && (s.healthy(member.worker) || (member.inQuarantine && s.accepting(member.worker)))
	}
	for _, member := range r.members {
		if startable {
			s.startMember(member)
		} else {
			s.finishMember(member, worker.Stopped)
		}
	}
}

// logRefusedStart logs that a worker refused to start a member.
func (s *session) logRefusedStart(m *member, reason worker.Refusal) {
	s.Events.Log(events.StartRefused, "task", m.name, "run", m.run.number, "worker", m.worker.id, "reason", reason)
}

// logFinishedTask logs a finished task; m is nil if no open run has it.
func (s *session) logFinishedTask(ws *workerState, u *unit, m *member, task worker.FinishedTask) {
	reason, percent := "", 0.0
	if m != nil {
		reason, percent = m.run.stopReason, m.percent
	}
	s.Events.Log(events.TaskFinished, "task", task.Task, "run", task.Run, "epoch", s.term.Epoch, "worker", ws.id,
		"worker_start_ms", ws.startedAtMs, "number", task.Number, "how", task.Reason, "reason", reason, "percent", percent,
		"failures", u.failures)
}
