package dispatch

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// plan decides and acts on it.
func (s *session) plan() {
	began := time.Now()
	plan := assign.MakePlan(s.snapshot())
	s.Stages.Plan.Observe(time.Since(began))
	s.reservations = plan.Reservations
	for _, stop := range plan.Preemptions {
		u := s.unitByTask(stop.Task)
		s.Events.Log(events.JobPreempted, "task", stop.Task, "for", stop.For, "percent", u.run.maxPercent,
			"lost_core_s", int(s.lostWork(u.run)), "checkpointing", u.step.spec.GetCheckpointing())
		s.stopRun(u, "gives way to "+stop.For.String())
	}
	for _, start := range plan.Starts {
		s.launch(s.unitByTask(start.Task), start.Workers)
	}
}

func (s *session) unitByTask(task replica.Task) *unit {
	step := s.jobs[task.Job].occurrences[task.Occurrence].steps[task.Step]
	if task.Index == replica.GangIndex {
		return step.units[0]
	}
	return step.units[task.Index]
}

// launch records a run and orders its start once it is stored.
func (s *session) launch(u *unit, workers []string) {
	u.runNumber++
	r := s.newRun(u, u.runNumber, workers, recording)
	s.Events.Log(events.JobPlaced, "task", u.task, "run", u.runNumber, "workers", len(workers), "first", workers[0],
		"waited_ms", s.now.Sub(u.step.readyAt).Milliseconds(), "failures", u.failures, "checkpoint", u.checkpoint)
	s.recordRun(u, storev1.RunPhase_RUN_PHASE_OPEN, workers, func() { s.startMembers(r) })
}

// startMembers orders the start of a recorded run, unless something came in between.
func (s *session) startMembers(r *run) {
	still := r.stopReason == "" && !r.unit.step.job.hasEnded() && !r.unit.step.job.cancelled
	for _, member := range r.members {
		still = still && s.healthy(member.worker)
	}
	for _, member := range r.members {
		if still {
			s.startMember(member)
		} else {
			s.finishMember(member, worker.Stopped)
		}
	}
}

// logRefusedStart and told log a worker's answer about a task.
func (s *session) logRefusedStart(m *member, reason worker.Refusal) {
	s.Events.Log(events.StartRefused, "task", m.name, "run", m.run.number, "worker", m.worker.id, "reason", reason)
}

func (s *session) logFinishedTask(ws *workerState, u *unit, m *member, end worker.FinishedTask) {
	reason, percent := "", 0.0
	if m != nil {
		reason, percent = m.run.stopReason, m.percent
	}
	s.Events.Log(events.TaskFinished, "task", end.Task, "run", end.Run, "worker", ws.id, "how", end.Reason, "reason", reason, "percent", percent, "failures", u.failures)
}
