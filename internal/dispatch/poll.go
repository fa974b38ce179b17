package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// fullReportLength is the number of finished tasks in a full report, which may leave others out.
	fullReportLength = 500
	// fullPercent is the progress of a task that is done, or of a long-running one that serves; as a pace, full speed.
	fullPercent = 100
	// pollResolution is the resolution of the time that a poll waits.
	pollResolution = time.Millisecond
)

// poll renews a worker's lease, acknowledges finished tasks, and asks what the worker runs.
func (s *session) poll(ws *workerState) {
	poll := worker.Poll{Fence: s.term.Epoch}
	if ws.lastAcked < ws.lastStored && ws.lostPolls == 0 {
		// Only once, and only to the incarnation that has just answered: another one under the same id numbers its tasks anew.
		poll.Acknowledged = ws.lastStored
	}
	if s.mayRenewLease(ws) {
		poll.LeaseEndMs = s.extendLease(ws)
	}
	if ws.confirmed && !ws.unresponsive && ws.lostPolls == 0 && ws.pendingStores == 0 && ws.clockMs > 0 && ws.lease == renewable {
		poll.Wait = pollWait
		if s.now.Sub(ws.lostAt) < lossyDuration && s.canSpareCalls() {
			poll.Wait = lossyPollWait
		}
	}
	if ws.hasProbation() {
		poll.Wait = min(poll.Wait, promptCrashTime)
	}
	if ws.probe || !ws.doubtedAt.IsZero() {
		poll.Wait, ws.probe = 0, false
	}
	if missing := ws.earliestMissing(); !missing.IsZero() {
		// The end of a missing task is listed by then, or the next poll shows that the task has ended without it.
		poll.Wait = min(poll.Wait, max(0, missing.Add(s.Options.StopDuration+pollResolution).Sub(s.now)).Truncate(pollResolution))
	}
	if untilStall := ws.earliestStall().Sub(s.now); untilStall > 0 {
		// Only a report shows that a task has stalled.
		poll.Wait = min(poll.Wait, untilStall.Truncate(pollResolution)+pollResolution)
	}
	ws.polling = true
	target, sentAt := worker.Target{ID: ws.id, Address: ws.entry.Address}, s.now
	delay, hedged := s.hedgeDelay(), poll.Wait == 0 && s.canSpareCalls()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, poll.Wait+pollTimeoutMargin)
		defer cancel()
		answer := call(ctx, hedged, delay, func(ctx context.Context) (worker.Report, error) { return s.Client.Poll(ctx, target, poll) })
		s.post(func() {
			if answer.err == nil && poll.Wait == 0 {
				s.latency.Observe(answer.took)
			}
			if target.Address != ws.entry.Address && refusalOf(answer.err) != worker.RefusedFence {
				// The worker has another address since.
				ws.polling = false
				s.pollSoon(ws)
				return
			}
			s.handleReport(ws, poll, sentAt, answer.value, answer.err)
		})
	}()
}

// handleReport handles the answer to a poll.
func (s *session) handleReport(ws *workerState, poll worker.Poll, sentAt time.Time, report worker.Report, err error) {
	ws.polling = false
	s.dirty = true
	switch reason := refusalOf(err); {
	case reason == worker.RefusedFence:
		s.term.StepDown("worker " + ws.id + " has seen a higher fencing token")
		return
	case reason == worker.RefusedIncarnation:
		s.handleNewIncarnation(ws, signRefusal)
		return
	case err != nil:
		s.recordBrokenPoll(ws, poll, sentAt)
		s.handleLostPoll(ws)
		return
	}
	restarted := s.noteIncarnation(ws, sentAt, report)
	s.resolveSilentLoss(ws, report.StartedAtMs)
	s.withdrawLoss(ws)
	if !ws.confirmed {
		s.endEarlierLeases(ws, report)
		s.proveSilentLossesAt(ws)
	}
	ws.unresponsive, ws.confirmed, ws.lostPolls, ws.acceptedAt = false, true, 0, sentAt
	s.releaseFinalLease(ws)
	s.recordReply(ws)
	if report.ClockMs > 0 {
		ws.clockMs, ws.clockReadAt = report.ClockMs, s.now
	}
	if poll.Acknowledged > ws.lastAcked && !restarted {
		ws.lastAcked = poll.Acknowledged
		s.Events.Log(events.ReportsAcknowledged, "worker", ws.id, "worker_start_ms", ws.startedAtMs, "epoch", s.term.Epoch,
			"number", ws.lastAcked)
	}
	s.handleFinishedTasks(ws, report.Finished)
	s.reconcile(ws, sentAt, report)
	if ws.pendingStores > 0 || ws.lease == releasing {
		ws.nextPoll = s.now.Add(pollRetryDelay)
		return
	}
	s.pollSoon(ws)
}

// recordBrokenPoll records that a worker was there until now if a poll that it held open has failed before its time: one that is gone
// refuses a poll at once, or leaves it unanswered.
func (s *session) recordBrokenPoll(ws *workerState, poll worker.Poll, sentAt time.Time) {
	if held := s.now.Sub(sentAt); poll.Wait > 0 && held > maxProbeAge && held < poll.Wait && s.age(ws.silentSince) <= maxProbeAge {
		ws.answeredAt = s.now
	}
}

// isReported reports whether a report lists a member as running or finished.
func isReported(m *member, report worker.Report) bool {
	return slices.ContainsFunc(report.Running, func(r worker.RunningTask) bool { return r.Task == m.name && r.Run == m.run.number }) ||
		slices.ContainsFunc(report.Finished, func(f worker.FinishedTask) bool { return f.Task == m.name && f.Run == m.run.number })
}

// handleLostPoll handles a poll without an answer: it is repeated at once if this instance can spare that, and
// otherwise, or if several were lost, the worker counts as unresponsive.
func (s *session) handleLostPoll(ws *workerState) {
	s.recordLostCall(ws)
	if ws.lostPolls++; ws.lostPolls < maxLostPolls && s.canSpareCalls() {
		s.pollSoon(ws)
		return
	}
	if !ws.unresponsive {
		s.markUnresponsive(ws)
	}
	ws.nextPoll = s.now.Add(pollRetryDelay)
}

// handleFinishedTasks handles the tasks that are new in a report, and lets the worker discard them once they are stored.
func (s *session) handleFinishedTasks(ws *workerState, tasks []worker.FinishedTask) {
	for _, task := range tasks {
		if task.Number <= ws.lastProcessed {
			continue
		}
		ws.lastProcessed = task.Number
		ws.pendingStores++
		s.handleFinishedTask(ws, task, func() {
			ws.pendingStores--
			if ws.pendingStores == 0 {
				ws.lastStored = ws.lastProcessed
				s.pollSoon(ws)
			}
		})
	}
}

// reconcile compares what a worker runs with what was started there.
func (s *session) reconcile(ws *workerState, sentAt time.Time, report worker.Report) {
	listed := make(map[memberKey]bool, len(report.Running))
	ws.unknownRuns = assign.Resources{}
	for _, reported := range report.Running {
		key := memberKey{reported.Task, reported.Run}
		listed[key] = true
		m, ok := ws.members[key]
		if !ok {
			s.stopUnknownRun(ws, reported)
			continue
		}
		s.recordProgress(m, reported)
		s.checkUsualLeases(m.run)
	}
	s.adjustPaces(ws)
	if len(report.Finished) >= fullReportLength {
		return
	}
	for key, member := range ws.members {
		if !listed[key] && s.confirmMissing(member, sentAt) {
			s.finishMember(member, worker.LeaseExpired)
		}
	}
}

// confirmMissing records that a report doesn't list a member, and reports whether the member has ended; sentAt is when the
// poll was sent. A task that is being stopped isn't listed either, so a member has to be missing for longer than a stop
// may take.
func (s *session) confirmMissing(m *member, sentAt time.Time) bool {
	switch {
	case m.phase == recording, m.phase == finished:
		return false
	case m.phase == starting && m.stopAcceptedAt.IsZero():
		return false
	case !m.stopAcceptedAt.Before(sentAt), !m.confirmedAt.Before(sentAt):
		return false
	}
	if m.missingSince.IsZero() {
		m.missingSince = s.now
		return false
	}
	return sentAt.Sub(m.missingSince) > s.Options.StopDuration
}

// recordProgress records what a worker reports about a member that it runs.
func (s *session) recordProgress(m *member, reported worker.RunningTask) {
	r := m.run
	m.missingSince, m.reportedAt = time.Time{}, s.now
	if m.firstReportedAt.IsZero() {
		m.firstPercent, m.firstReportedAt = reported.Percent, s.now
	}
	if m.phase == starting || m.phase == unconfirmed {
		m.phase, m.confirmedAt, m.firstPercent = running, s.now, reported.Percent
		s.recordBegun(r.unit.step.job)
		s.checkStarted(r)
	}
	s.learnSpeed(m, reported.Percent, false)
	if reported.Percent > m.percent || reported.Percent < m.percent {
		m.progressedAt = s.now
	}
	m.percent, m.latencyMs = reported.Percent, reported.Load
	r.maxPercent = max(r.maxPercent, reported.Percent)
	r.unit.saveCheckpoint(m, reported.Checkpoint)
	if r.unit.step.spec.GetLongRunning() && m.percent >= fullPercent && m.worker.health.RecordService(m.confirmedAt, s.now) {
		s.Events.Log(events.WorkerRecovered, "worker", m.worker.id)
	}
	if r.passedProbation(s.now) {
		s.endProbation(r)
		s.clearCrashes(r)
	}
	if r.stopReason != "" || r.unit.run != r {
		s.stopMember(m)
	}
}

// stopUnknownRun stops a run that no job has open, and counts its resources as used until it has ended.
func (s *session) stopUnknownRun(ws *workerState, reported worker.RunningTask) {
	if unit := s.unitByName(reported.Task); unit != nil {
		ws.unknownRuns = ws.unknownRuns.Add(unit.resources())
	}
	stop := worker.Stop{Task: reported.Task, Run: reported.Run, Fence: s.term.Epoch}
	s.enqueue(ws, func(ctx context.Context, target worker.Target) (worker.Reply, error) {
		return s.Client.Stop(ctx, target, stop)
	}, func(error, int) {})
}

// handleFinishedTask handles one finished task, and calls onStored once everything that follows from it is stored.
func (s *session) handleFinishedTask(ws *workerState, task worker.FinishedTask, onStored func()) {
	u := s.unitByName(task.Task)
	if u == nil {
		onStored()
		return
	}
	member, known := ws.members[memberKey{task.Task, task.Run}]
	s.logFinishedTask(ws, u, member, task)
	if known {
		u.saveCheckpoint(member, task.Checkpoint)
	}
	s.recordBegun(u.step.job)
	switch task.Reason {
	case worker.Done:
		if ws.health.OnTrial() {
			s.Events.Log(events.WorkerRecovered, "worker", ws.id)
		}
		ws.health.RecordSuccess()
		if known {
			s.learnSpeed(member, fullPercent, true)
			s.endProbation(member.run)
		}
		s.completeUnit(u, onStored)
	case worker.Failed:
		if !s.failedElsewhere(u, ws) {
			s.quarantine(ws, "a task failed")
		}
		u.avoid[ws.id] = true
		s.countFailure(u, task.Run, onStored)
	}
	if known {
		s.finishMember(member, task.Reason)
	}
	if task.Reason != worker.Done && task.Reason != worker.Failed {
		// The record is that of the run's end if this was its last member.
		u.record.then(onStored)
	}
}

// failedElsewhere reports whether a unit failed before on another worker that isn't on trial: then the unit is at fault.
func (s *session) failedElsewhere(u *unit, ws *workerState) bool {
	for id := range u.avoid {
		if other, known := s.workers[id]; known && id != ws.id && !other.health.OnTrial() {
			return true
		}
	}
	return false
}

// unitByName returns the unit of a member's name; nil if no known job has it.
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
