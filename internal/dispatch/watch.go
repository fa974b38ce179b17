package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

const (
	// minStallTime is how long a task may stand still, and stallShare the same in shares of its estimate: progress comes in
	// whole percent.
	minStallTime       = 3500 * time.Millisecond
	stallEstimateShare = 0.08
	// departureMargin is left between the end of a stop and the departure of a worker.
	departureMargin = 500 * time.Millisecond
)

// checkRuns gives up runs that don't get whole or stand still, saves those whose worker leaves, and repeats orders to
// stop.
func (s *session) checkRuns() {
	for _, ws := range s.workers {
		for _, member := range ws.members {
			r := member.run
			switch {
			case r.stopReason != "" || r.unit.run != r:
				s.stopMember(member)
			case member.phase == starting && s.now.Sub(r.openedAt) > s.Options.GangWait:
				s.stopRun(r.unit, "a member did not start")
			case s.stalled(member):
				s.quarantine(ws, "tasks stand still")
				r.unit.avoid[ws.id] = true
				s.stopRun(r.unit, "stands still")
			case s.leaving(ws) && s.worthSaving(member):
				s.stopRun(r.unit, "its worker leaves")
			}
		}
	}
}

// stalled tells whether a task has stood still for too long. A member of a gang that is done waits for the others.
func (s *session) stalled(m *member) bool {
	step := m.run.unit.step.spec
	if m.run.startedAt.IsZero() || step.GetLongRunning() || m.percent >= fullPercent {
		return false
	}
	last := m.progressedAt
	if m.run.startedAt.After(last) {
		last = m.run.startedAt
	}
	return s.now.Sub(last) > max(minStallTime, time.Duration(stallEstimateShare*float64(assign.Estimate(step))))
}

// leaving tells that a worker leaves about when a stop ordered now is over.
func (s *session) leaving(ws *workerState) bool {
	return ws.entry.Draining && s.now.After(ws.leavesAt.Add(-s.Options.StopDuration-departureMargin))
}

// worthSaving tells that a stop saves what would be lost with the worker.
func (s *session) worthSaving(m *member) bool {
	step := m.run.unit.step.spec
	if m.phase != running {
		return false
	}
	left := time.Duration((1 - m.percent/fullPercent) * float64(assign.Estimate(step)) / m.worker.speed.Value())
	return step.GetLongRunning() || (step.GetCheckpointing() && left > s.Options.StopDuration+departureMargin)
}
