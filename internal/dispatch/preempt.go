package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

// preemptions is the history of a unit's preemptions.
type preemptions struct {
	count int
	// firstPlacedAt is when the unit was first placed, and waits is true from its last preemption until it is placed again.
	firstPlacedAt time.Time
	waits         bool
}

// place records that the unit is placed.
func (p *preemptions) place(now time.Time) {
	if p.firstPlacedAt.IsZero() {
		p.firstPlacedAt = now
	}
	p.waits = false
}

// waitingSince returns since when a waiting unit of a ready step has waited, as assign.Unit.WaitingSince has it.
func (u *unit) waitingSince() time.Time {
	switch {
	case u.preempted.waits:
		return u.preempted.firstPlacedAt
	case u.awaySince.After(u.step.readyAt):
		return u.awaySince
	}
	return u.step.readyAt
}

// preempt carries out a preemption.
func (s *session) preempt(preemption assign.Preemption) {
	u := s.unitByTask(preemption.Task)
	lost := s.lostWork(u.run)
	u.preempted.count++
	u.preempted.waits = !u.preempted.firstPlacedAt.IsZero()
	s.Stages.LostToPreemption.Add(lost)
	s.Events.Log(events.JobPreempted, "task", preemption.Task, "for", preemption.For, "percent", u.run.maxPercent,
		"lost_core_s", int(lost), "checkpointing", u.step.spec.GetCheckpointing(), "times", u.preempted.count,
		"gain_core_s", int(preemption.Gain), "loss_core_s", int(preemption.Loss), "remaining_ms", s.remainingTime(u.run).Milliseconds(),
		"placed_ms", s.now.Sub(u.run.openedAt).Milliseconds())
	s.stopRun(u, "preempted by "+preemption.For.String())
}

// lostWork returns the work that stopping a run loses, in core-seconds.
func (s *session) lostWork(r *run) float64 {
	return assign.LostWork(r.unit.step.spec, len(r.members), s.ranFor(r), s.Options.StopDuration, s.Options.RestoreDuration)
}

// remainingTime returns the expected time until a run ends by itself, and 0 if that isn't known: it is long-running, or not all its
// members run.
func (s *session) remainingTime(r *run) time.Duration {
	step := r.unit.step.spec
	if step.GetLongRunning() || r.startedAt.IsZero() {
		return 0
	}
	longest := time.Duration(0)
	for _, m := range r.members {
		if m.phase != running || m.percent >= fullPercent {
			continue
		}
		longest = max(longest, assign.Progress{
			First:  assign.Report{Percent: m.firstPercent, Ago: s.now.Sub(m.confirmedAt)},
			Latest: assign.Report{Percent: m.percent, Ago: s.now.Sub(m.progressedAt)},
			// The declared estimate is that of the whole task.
			Estimate: assign.Estimate(step), Speed: m.worker.speed.Value(),
		}.Remaining())
	}
	return longest
}
