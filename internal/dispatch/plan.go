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
		u := s.unitOf(stop.Task)
		s.Events.Log(events.JobPreempted, "task", stop.Task, "for", stop.For, "percent", u.run.percent,
			"lost_core_s", int(s.lost(u.run)), "checkpointing", u.step.spec.GetCheckpointing())
		s.stop(u, "gives way to "+stop.For.String())
	}
	for _, start := range plan.Starts {
		s.launch(s.unitOf(start.Task), start.Workers)
	}
}

func (s *session) unitOf(task replica.Task) *unit {
	step := s.jobs[task.Job].occurrences[task.Occurrence].steps[task.Step]
	if task.Index == replica.GangIndex {
		return step.units[0]
	}
	return step.units[task.Index]
}

// launch records a run and orders its start once it is stored.
func (s *session) launch(u *unit, workers []string) {
	u.number++
	r := s.newRun(u, u.number, workers, recording)
	s.Events.Log(events.JobPlaced, "task", u.task, "run", u.number, "workers", len(workers), "first", workers[0],
		"waited_ms", s.now.Sub(u.step.since).Milliseconds(), "failures", u.failures, "checkpoint", u.checkpoint)
	s.recordRun(u, storev1.RunPhase_RUN_PHASE_OPEN, workers, func() { s.begin(r) })
}

// begin orders the start of a recorded run, unless something came in between.
func (s *session) begin(r *run) {
	still := r.stopping == "" && !r.unit.step.job.over() && !r.unit.step.job.cancelled
	for _, member := range r.members {
		still = still && s.sound(member.host)
	}
	for _, member := range r.members {
		if still {
			s.start(member)
		} else {
			s.resolve(member, worker.Stopped)
		}
	}
}

// refused and told log a worker's answer about a task.
func (s *session) refused(m *member, reason worker.Refusal) {
	s.Events.Log(events.StartRefused, "task", m.name, "run", m.run.number, "worker", m.host.id, "reason", reason)
}

func (s *session) told(h *host, u *unit, m *member, end worker.FinishedTask) {
	reason, percent := "", 0.0
	if m != nil {
		reason, percent = m.run.stopping, m.percent
	}
	s.Events.Log(events.TaskFinished, "task", end.Task, "run", end.Run, "worker", h.id, "how", end.Reason, "reason", reason, "percent", percent, "failures", u.failures)
}
