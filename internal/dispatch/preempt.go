package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// preempt carries out a preemption.
func (s *session) preempt(preemption assign.Preemption) {
	u := s.unitByTask(preemption.Task)
	lost := s.lostWork(u.run)
	remaining, _ := s.remainingTime(u.run)
	u.history.Preempt()
	s.Stages.LostToPreemption.Add(lost)
	s.Events.Log(events.JobPreempted, "task", preemption.Task, "for", preemption.For, "percent", u.run.maxPercent,
		"lost_core_s", int(lost), "checkpointing", u.step.spec.GetCheckpointing(), "times", u.history.Preemptions,
		"gain_core_s", int(preemption.Gain), "cost_core_s", int(preemption.Cost), "remaining_ms", remaining.Milliseconds(),
		"placed_ms", s.now.Sub(u.run.openedAt).Milliseconds())
	s.stopRun(u, "preempted by "+preemption.For.String())
}

// lostWork returns the work that stopping a run loses, in core-seconds.
func (s *session) lostWork(r *run) float64 {
	return assign.LostWork(r.unit.step.spec, len(r.members), s.ranFor(r), s.Options.StopDuration, s.Options.RestoreDuration)
}

// remainingTime returns the expected time until a run ends by itself, and the time within which it ends with a probability of 90%; both are
// 0 if that isn't known: it is long-running, or not all its members run.
func (s *session) remainingTime(r *run) (expected, high time.Duration) {
	step := r.unit.step
	if step.spec.GetLongRunning() || r.startedAt.IsZero() {
		return 0, 0
	}
	return step.occurrence.expect.Remaining(step.index, s.progress(r))
}
