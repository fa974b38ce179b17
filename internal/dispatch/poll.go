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
func (s *session) poll(ws *workerState) {
	order := worker.Poll{Fence: s.term.Epoch, Acknowledged: ws.lastStored}
	if ws.clockMs > 0 && !ws.unresponsive {
		// A worker that didn't answer is only asked: each grant would put off the time when what it runs is surely over.
		order.LeaseEndMs = s.extendLease(ws)
	}
	if ws.confirmed && !ws.unresponsive && ws.pendingStores == 0 && ws.clockMs > 0 {
		order.Wait = pollWait
	}
	if !ws.earliestMissing().IsZero() {
		order.Wait = 0
	}
	ws.polling = true
	target, sent := worker.Target{ID: ws.id, Address: ws.entry.Address}, s.now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, order.Wait+pollTimeoutMargin)
		defer cancel()
		report, err := s.Client.Poll(ctx, target, order)
		s.post(func() { s.handleReport(ws, order, sent, report, err) })
	}()
}

// handleReport handles a worker's report.
func (s *session) handleReport(ws *workerState, order worker.Poll, sent time.Time, report worker.Report, err error) {
	ws.polling = false
	s.dirty = true
	switch reason := refusalOf(err); {
	case reason == worker.RefusedFence:
		s.term.StepDown("worker " + ws.id + " knows a higher fencing token")
		return
	case reason == worker.RefusedIncarnation:
		s.handleNewIncarnation(ws)
		return
	case err != nil:
		if !ws.unresponsive {
			s.markUnresponsive(ws)
		}
		ws.nextPoll = s.now.Add(pollRetryDelay)
		return
	}
	s.recordReply(ws, report.Reply)
	if report.StartedAtMs != 0 && ws.startedAtMs != report.StartedAtMs {
		if ws.startedAtMs != 0 {
			ws.lastProcessed, ws.lastStored, ws.lastAcked = 0, 0, 0
		}
		ws.startedAtMs = report.StartedAtMs
	}
	ws.unresponsive, ws.confirmed = false, true
	ws.lastAcked = max(ws.lastAcked, order.Acknowledged)
	s.handleFinishedTasks(ws, report.Finished)
	s.reconcile(ws, sent, report)
	if ws.pendingStores > 0 {
		ws.nextPoll = s.now.Add(pollRetryDelay)
		return
	}
	if missing := ws.earliestMissing(); !missing.IsZero() && s.now.Sub(missing) <= s.Options.StopDuration {
		ws.nextPoll = missing.Add(s.Options.StopDuration + time.Millisecond)
		return
	}
	s.pollSoon(ws)
}

// handleFinishedTasks handles the ends that are new, and lets the worker forget them once they are stored.
func (s *session) handleFinishedTasks(ws *workerState, ends []worker.FinishedTask) {
	for _, end := range ends {
		if end.Number <= ws.lastProcessed {
			continue
		}
		ws.lastProcessed = end.Number
		ws.pendingStores++
		s.handleFinishedTask(ws, end, func() {
			ws.pendingStores--
			if ws.pendingStores == 0 {
				ws.lastStored = ws.lastProcessed
				s.pollSoon(ws)
			}
		})
	}
}

// reconcile compares what a worker runs with what was ordered.
func (s *session) reconcile(ws *workerState, sent time.Time, report worker.Report) {
	listed := make(map[memberKey]bool, len(report.Running))
	ws.unknownRuns = assign.Resources{}
	for _, row := range report.Running {
		key := memberKey{row.Task, row.Run}
		listed[key] = true
		known, ok := ws.members[key]
		if !ok {
			s.stopUnknownRun(ws, row)
			continue
		}
		s.recordProgress(known, row)
	}
	s.adjustPaces(ws)
	if len(report.Finished) >= fullReportLength {
		return
	}
	for key, member := range ws.members {
		if !listed[key] && s.confirmMissing(member, sent) {
			s.finishMember(member, worker.LeaseExpired)
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
func (s *session) stopUnknownRun(ws *workerState, row worker.RunningTask) {
	if unit := s.unitByName(row.Task); unit != nil {
		ws.unknownRuns = ws.unknownRuns.Add(unit.resources())
	}
	order := worker.Stop{Task: row.Task, Run: row.Run, Fence: s.term.Epoch}
	s.enqueue(ws, func(target worker.Target) (worker.Reply, error) {
		ctx, cancel := s.requestContext()
		defer cancel()
		return s.Client.Stop(ctx, target, order)
	}, func(error) {})
}

// handleFinishedTask handles one end and calls stored once all that follows from it is stored.
func (s *session) handleFinishedTask(ws *workerState, end worker.FinishedTask, stored func()) {
	u := s.unitByName(end.Task)
	if u == nil {
		stored()
		return
	}
	member, known := ws.members[memberKey{end.Task, end.Run}]
	s.logFinishedTask(ws, u, member, end)
	if known {
		u.saveCheckpoint(member, end.Checkpoint)
	}
	switch end.Reason {
	case worker.Done:
		if ws.health.OnTrial() {
			s.Events.Log(events.WorkerRecovered, "worker", ws.id)
		}
		ws.health.RecordSuccess()
		s.completeUnit(u, stored)
	case worker.Failed:
		if !s.failedElsewhere(u, ws) {
			s.quarantine(ws, "a task failed")
		}
		u.avoid[ws.id] = true
		s.countFailure(u, end.Run, stored)
	default:
		stored()
	}
	if known {
		s.finishMember(member, end.Reason)
	}
}

// failedElsewhere tells that a unit failed before on another worker that is sound: then it is the unit's fault.
func (s *session) failedElsewhere(u *unit, ws *workerState) bool {
	for id := range u.avoid {
		if other, known := s.workers[id]; known && id != ws.id && !other.health.OnTrial() {
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
