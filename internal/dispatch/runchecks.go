package dispatch

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

const (
	// A task has stalled after minStallTime without progress, or after stallEstimateShare of its estimate if that is
	// longer: progress is reported in whole percent.
	minStallTime       = 3500 * time.Millisecond
	stallEstimateShare = 0.08
	// departureMargin is the time left between the end of a stop and the departure of a worker.
	departureMargin = 500 * time.Millisecond
)

// checkRuns stops runs that don't start completely, that stall, or that can be saved before their worker leaves; it also
// repeats stop orders.
func (s *session) checkRuns() {
	for _, ws := range s.workers {
		for _, member := range ws.members {
			r := member.run
			if !r.unrecordedEnd.IsZero() && s.now.Sub(r.unrecordedEnd) >= endRecordDelay {
				s.recordEnds(r)
			}
			switch {
			case r.stopReason != "" || r.unit.run != r:
				s.stopMember(member)
			case member.phase == starting && s.now.Sub(r.openedAt) > s.Options.GangWait:
				s.stopRun(r.unit, "a member did not start")
			case member.stalled():
				s.quarantine(ws, "a task stalled")
				r.unit.avoid[ws.id] = true
				s.stopRun(r.unit, "stalled")
			case s.leaving(ws) && s.worthSaving(member):
				s.stopRun(r.unit, "its worker is leaving")
			}
		}
	}
}

// endRecordDelay is how long after the end of a member its run is recorded again if others are still on their workers. Members usually end
// together.
const endRecordDelay = 500 * time.Millisecond

// recordEnds records which members of an open run have ended, so that a later owner doesn't wait for their workers.
func (s *session) recordEnds(r *run) {
	r.unrecordedEnd = time.Time{}
	if r.unit.run == r && !r.unit.step.job.hasEnded() {
		s.recordLatestRun(r.unit, nil)
	}
}

// stalled reports whether the reports show that a task has made no progress for too long. The silence of its worker shows nothing.
func (m *member) stalled() bool {
	at := m.stallsAt()
	return !at.IsZero() && m.reportedAt.After(at)
}

// stallsAt returns from when on a report without progress shows that a task has stalled; zero for a task that can't stall. A gang
// member that is done waits for the others.
func (m *member) stallsAt() time.Time {
	step := m.run.unit.step.spec
	if m.run.startedAt.IsZero() || step.GetLongRunning() || m.percent >= fullPercent {
		return time.Time{}
	}
	last := m.progressedAt
	if m.run.startedAt.After(last) {
		last = m.run.startedAt
	}
	return last.Add(max(minStallTime, time.Duration(stallEstimateShare*float64(assign.Estimate(step)))))
}

// earliestStall returns the first time from which on a report would show that a task on the worker has stalled; zero if none can.
func (ws *workerState) earliestStall() time.Time {
	var first time.Time
	for _, m := range ws.members {
		if at := m.stallsAt(); m.run.stopReason == "" && !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// leaving reports whether a worker may leave at about the time when a stop ordered now ends.
func (s *session) leaving(ws *workerState) bool {
	return ws.entry.Draining && s.now.After(ws.leavesAt.Add(-s.Options.StopDuration-departureMargin))
}

// worthSaving reports whether a stop saves work that would be lost with the worker.
func (s *session) worthSaving(m *member) bool {
	step := m.run.unit.step.spec
	if m.phase != running {
		return false
	}
	remaining := time.Duration((1 - m.percent/fullPercent) * float64(assign.Estimate(step)) / m.worker.speed.Value())
	if s.model.Learns() && !m.run.startedAt.IsZero() {
		remaining, _ = m.run.unit.step.occurrence.expect.Remaining(m.run.unit.step.index, s.progress(m.run))
	}
	return step.GetLongRunning() || (step.GetCheckpointing() && remaining > s.Options.StopDuration+departureMargin)
}
