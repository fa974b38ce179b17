package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

const (
	// stallTime is how long a task may stand still, and stallShare the same in shares of its estimate: progress comes in
	// whole percent.
	stallTime  = 3500 * time.Millisecond
	stallShare = 0.08
	// leaveMargin is left between the end of a stop and the departure of a worker.
	leaveMargin = 500 * time.Millisecond
)

// watchRuns gives up runs that don't get whole or stand still, saves those whose worker leaves, and repeats orders to
// stop.
func (s *session) watchRuns() {
	for _, h := range s.workers {
		for _, member := range h.members {
			r := member.run
			switch {
			case r.stopping != "" || r.unit.run != r:
				s.stopMember(member)
			case member.phase == starting && s.now.Sub(r.opened) > s.Options.GangWait:
				s.stop(r.unit, "a member did not start")
			case s.stalled(member):
				s.quarantine(h, "tasks stand still")
				r.unit.avoid[h.id] = true
				s.stop(r.unit, "stands still")
			case s.leaving(h) && s.worthSaving(member):
				s.stop(r.unit, "its worker leaves")
			}
		}
	}
}

// stalled tells whether a task has stood still for too long. A member of a gang that is done waits for the others.
func (s *session) stalled(m *member) bool {
	step := m.run.unit.step.spec
	if m.run.started.IsZero() || step.GetLongRunning() || m.percent >= allPercent {
		return false
	}
	last := m.progressed
	if m.run.started.After(last) {
		last = m.run.started
	}
	return s.now.Sub(last) > max(stallTime, time.Duration(stallShare*float64(assign.Estimate(step))))
}

// leaving tells that a worker leaves about when a stop ordered now is over.
func (s *session) leaving(h *host) bool {
	return h.entry.Draining && s.now.After(h.leavesAt.Add(-s.Options.StopDuration-leaveMargin))
}

// worthSaving tells that a stop saves what would be lost with the worker.
func (s *session) worthSaving(m *member) bool {
	step := m.run.unit.step.spec
	if m.phase != running {
		return false
	}
	left := time.Duration((1 - m.percent/allPercent) * float64(assign.Estimate(step)) / m.host.speed.Value())
	return step.GetLongRunning() || (step.GetCheckpointing() && left > s.Options.StopDuration+leaveMargin)
}
