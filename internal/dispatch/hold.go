package dispatch

import (
	"context"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// fullReportLength is the number of ends in an answer that may leave some out.
	fullReportLength = 500
	// fullPercent is the progress of a task that is at work for good, or done.
	fullPercent = 100
)

// poll renews a worker's lease, tells it which ends it may forget, and asks what it runs.
func (s *session) poll(h *workerState) {
	order := worker.Hold{Fence: s.term.Epoch, Acknowledged: h.lastStored}
	if h.clockMs > 0 && !h.unresponsive {
		// A worker that didn't answer is only asked: each grant would put off the time when what it runs is surely over.
		order.LeaseEndMs = s.extendLease(h)
	}
	if h.confirmed && !h.unresponsive && h.pendingStores == 0 && h.clockMs > 0 {
		order.Wait = pollWait
	}
	if !h.earliestMissing().IsZero() {
		order.Wait = 0
	}
	h.polling = true
	target, sent := worker.Target{ID: h.id, Address: h.entry.Address}, s.now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, order.Wait+pollTimeoutMargin)
		defer cancel()
		report, err := s.Client.Hold(ctx, target, order)
		s.post(func() { s.handleReport(h, order, sent, report, err) })
	}()
}

// handleReport handles a worker's report.
func (s *session) handleReport(h *workerState, order worker.Hold, sent time.Time, report worker.Report, err error) {
	h.polling = false
	s.dirty = true
	switch reason := refusalOf(err); {
	case reason == worker.RefusedFence:
		s.term.Lost("worker " + h.id + " knows a higher fencing token")
		return
	case reason == worker.RefusedIncarnation:
		s.handleNewIncarnation(h)
		return
	case err != nil:
		if !h.unresponsive {
			s.markUnresponsive(h)
		}
		h.nextPoll = s.now.Add(pollRetryDelay)
		return
	}
	s.recordReply(h, report.Reply)
	if report.Born != 0 && h.startedAtMs != report.Born {
		if h.startedAtMs != 0 {
			h.lastProcessed, h.lastStored, h.lastAcked = 0, 0, 0
		}
		h.startedAtMs = report.Born
	}
	h.unresponsive, h.confirmed = false, true
	h.lastAcked = max(h.lastAcked, order.Acknowledged)
	s.handleFinishedTasks(h, report.Ended)
	s.reconcile(h, sent, report)
	if h.pendingStores > 0 {
		h.nextPoll = s.now.Add(pollRetryDelay)
		return
	}
	if missing := h.earliestMissing(); !missing.IsZero() && s.now.Sub(missing) <= s.Options.StopDuration {
		h.nextPoll = missing.Add(s.Options.StopDuration + time.Millisecond)
		return
	}
	s.pollSoon(h)
}

// handleFinishedTasks handles the ends that are new, and lets the worker forget them once they are stored.
func (s *session) handleFinishedTasks(h *workerState, ends []worker.EndedTask) {
	for _, end := range ends {
		if end.Number <= h.lastProcessed {
			continue
		}
		h.lastProcessed = end.Number
		h.pendingStores++
		s.handleFinishedTask(h, end, func() {
			h.pendingStores--
			if h.pendingStores == 0 {
				h.lastStored = h.lastProcessed
				s.pollSoon(h)
			}
		})
	}
}

// reconcile compares what a worker runs with what was ordered.
func (s *session) reconcile(h *workerState, sent time.Time, report worker.Report) {
	listed := make(map[memberKey]bool, len(report.Running))
	h.unknownRuns = assign.Room{}
	for _, row := range report.Running {
		key := memberKey{row.Task, row.Run}
		listed[key] = true
		known, ok := h.members[key]
		if !ok {
			s.stopUnknownRun(h, row)
			continue
		}
		s.recordProgress(known, row)
	}
	s.adjustPaces(h)
	if len(report.Ended) >= fullReportLength {
		return
	}
	for key, member := range h.members {
		if !listed[key] && s.confirmMissing(member, sent) {
			s.finishMember(member, worker.Lapsed)
		}
	}
}

// confirmMissing tells whether a member that a report doesn't list is over; sent is when the report was asked for. A task that
// is being stopped is in neither list, so it has to be missing for as long as a stop may take.
func (s *session) confirmMissing(m *member, sent time.Time) bool {
	switch {
	case m.phase == recording, m.phase == finished:
		return false
	case m.phase == starting && m.stopAcceptedAt.IsZero():
		return false
	case !m.stopAcceptedAt.Before(sent), !m.confirmedAt.Before(sent):
		return false
	}
	if m.missingSince.IsZero() {
		m.missingSince = s.now
		return false
	}
	return sent.Sub(m.missingSince) > s.Options.StopDuration
}

// recordProgress notes that a worker runs a member.
func (s *session) recordProgress(m *member, row worker.RunningTask) {
	r := m.run
	m.missingSince = time.Time{}
	if m.phase == starting || m.phase == unconfirmed {
		m.phase, m.confirmedAt = running, s.now
		s.checkStarted(r)
	}
	s.learnSpeed(m, row.Percent)
	if row.Percent > m.percent || row.Percent < m.percent {
		m.progressedAt = s.now
	}
	m.percent, m.latencyMs = row.Percent, row.Load
	r.maxPercent = max(r.maxPercent, row.Percent)
	r.unit.saveCheckpoint(m, row.Checkpoint)
	if r.stopReason != "" || r.unit.run != r {
		s.stopMember(m)
	}
}

// stopUnknownRun stops a run that no job has open, and counts its room until it is gone.
func (s *session) stopUnknownRun(h *workerState, row worker.RunningTask) {
	if unit := s.unitByName(row.Task); unit != nil {
		h.unknownRuns = h.unknownRuns.Add(unit.resources())
	}
	order := worker.Stop{Task: row.Task, Run: row.Run, Fence: s.term.Epoch}
	s.enqueue(h, func(target worker.Target) (worker.Reply, error) {
		ctx, cancel := s.requestContext()
		defer cancel()
		return s.Client.Stop(ctx, target, order)
	}, func(error) {})
}

// handleFinishedTask handles one end and calls stored once all that follows from it is stored.
func (s *session) handleFinishedTask(h *workerState, end worker.EndedTask, stored func()) {
	u := s.unitByName(end.Task)
	if u == nil {
		stored()
		return
	}
	member, known := h.members[memberKey{end.Task, end.Run}]
	s.logFinishedTask(h, u, member, end)
	if known {
		u.saveCheckpoint(member, end.Checkpoint)
	}
	switch end.How {
	case worker.Done:
		if h.health.OnTrial() {
			s.Events.Log(events.WorkerReturned, "worker", h.id)
		}
		h.health.Clear()
		s.completeUnit(u, stored)
	case worker.Failed:
		if !s.failedElsewhere(u, h) {
			s.quarantine(h, "a task failed")
		}
		u.avoid[h.id] = true
		s.countFailure(u, end.Run, stored)
	default:
		stored()
	}
	if known {
		s.finishMember(member, end.How)
	}
}

// failedElsewhere tells that a unit failed before on another worker that is sound: then it is the unit's fault.
func (s *session) failedElsewhere(u *unit, h *workerState) bool {
	for id := range u.avoid {
		if other, known := s.workers[id]; known && id != h.id && !other.health.OnTrial() {
			return true
		}
	}
	return false
}

// unitByName returns the unit of a member's name; nil if no job that is known has it.
func (s *session) unitByName(name string) *unit {
	task, err := replica.ParseTask(name)
	if err != nil {
		return nil
	}
	j, known := s.jobs[task.Job]
	if !known || task.Occurrence >= len(j.occurrences) || task.Step >= len(j.occurrences[task.Occurrence].steps) {
		return nil
	}
	step := j.occurrences[task.Occurrence].steps[task.Step]
	if step.spec.GetGang() {
		return step.units[0]
	}
	if task.Index < 0 || task.Index >= len(step.units) {
		return nil
	}
	return step.units[task.Index]
}
