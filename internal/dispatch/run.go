package dispatch

import (
	"strconv"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// phase is what is known of a member.
type phase int

// Phases of a member, in their usual order.
const (
	// recording: the run is being recorded; nothing was ordered.
	recording phase = iota
	// unconfirmed: an earlier owner recorded the run.
	unconfirmed
	// starting: the start was ordered and not answered.
	starting
	// running: the worker has it.
	running
	// finished: it is over.
	finished
)

// run is one run of a unit.
type run struct {
	unit    *unit
	number  uint32
	members []*member
	// stopReason tells that all members were told to stop, and why.
	stopReason string
	// openedAt is when it was decided; startedAt when all members were running.
	openedAt, startedAt time.Time
	// maxPercent is the best progress seen.
	maxPercent float64
}

// member is one task of a run on its worker.
type member struct {
	run       *run
	name      string
	worker    *workerState
	resources assign.Resources
	phase     phase
	// confirmedAt is when the worker was first known to have the task.
	confirmedAt time.Time
	// unansweredStarts counts start orders without an answer; given tells that one was given, and order is the newest.
	unansweredStarts int
	sent             bool
	startOrder       worker.Start
	// stopSentAt and stopAcceptedAt are when the worker was told to stop it, and when it said that it does.
	stopSentAt, stopAcceptedAt time.Time
	// missingSince is since when its worker's reports have not listed it.
	missingSince time.Time
	// percent is the progress at the last sight; the speed is learned from the progress since speedBasePercent at baseAt.
	percent, speedBasePercent float64
	speedBaseAt               time.Time
	// progressedAt is when the progress last changed.
	progressedAt time.Time
	// latencyMs is the tail latency of a task that serves, ms; pace the share of its speed at which a task may work, percent.
	latencyMs   float64
	pacePercent int
	// paceInFlight tells that an order to pace it is under way.
	paceInFlight bool
}

func (r *run) workerIDs() []string {
	ids := make([]string, len(r.members))
	for i, member := range r.members {
		ids[i] = member.worker.id
	}
	return ids
}

// live tells whether a member may still be on its worker.
func (r *run) live() bool {
	for _, member := range r.members {
		if member.phase != finished {
			return true
		}
	}
	return false
}

// serving tells that all members of a lasting task work.
func (r *run) serving() bool {
	for _, member := range r.members {
		if member.phase != running || member.percent < fullPercent {
			return false
		}
	}
	return true
}

// memberName is the task's name on the wire between scheduler and workers.
func memberName(task replica.Task, index int) string {
	if task.Index != replica.GangIndex {
		index = task.Index
	}
	return task.Job + "." + strconv.Itoa(task.Occurrence) + "." + strconv.Itoa(task.Step) + "." + strconv.Itoa(index)
}

// newRun opens a run of a unit on workers.
func (s *session) newRun(u *unit, number uint32, workers []string, start phase) *run {
	opened := &run{unit: u, number: number, openedAt: s.now}
	for i, id := range workers {
		added := &member{run: opened, name: memberName(u.task, i), worker: s.worker(id), resources: u.resources(), phase: start, progressedAt: s.now, pacePercent: fullPercent}
		opened.members = append(opened.members, added)
		added.worker.members[memberKey{added.name, number}] = added
	}
	u.run = opened
	return opened
}

// restoreRun takes over a run that an earlier owner recorded.
func (s *session) restoreRun(u *unit, workers []string) {
	if len(workers) == 0 {
		return
	}
	s.newRun(u, u.runNumber, workers, unconfirmed)
}

// startMember orders a member to run. A startMember that has not had its turn when its run is stopped, or when its worker falls silent,
// is never given.
func (s *session) startMember(m *member) {
	m.phase = starting
	s.enqueueStart(request{
		worker: m.worker,
		send: func(target worker.Target) (worker.Reply, error) {
			ctx, cancel := s.requestContext()
			defer cancel()
			return s.Client.Start(ctx, target, m.startOrder)
		},
		onReply:    func(err error) { s.handleStartReply(m, err) },
		shouldSend: func() bool { return s.prepareStart(m) },
	})
}

// prepareStart tells whether a start whose turn has come is given, and makes the order then: the lease counts from now.
func (s *session) prepareStart(m *member) bool {
	if m.phase != starting {
		return false
	}
	if m.unansweredStarts == 0 && (m.run.stopReason != "" || m.worker.unresponsive) {
		s.finishMember(m, worker.Stopped)
		return false
	}
	m.sent = true
	m.startOrder = worker.Start{
		Task: m.name, Run: m.run.number, Spec: m.run.unit.step.job.spec.GetSpec(), Checkpoint: m.run.unit.checkpoint,
		Fence: s.term.Epoch, LeaseEndMs: s.extendLease(m.worker), Ticket: m.run.unit.step.tickets[m.worker.id].value,
	}
	return true
}

// handleStartReply handles the answer to a start order.
func (s *session) handleStartReply(m *member, err error) {
	if m.phase != starting {
		return
	}
	switch reason := refusalOf(err); {
	case err == nil:
		m.phase, m.confirmedAt = running, s.now
		s.checkStarted(m.run)
	case reason == worker.RefusedFence:
		s.term.StepDown("worker " + m.worker.id + " knows a higher fencing token")
	case reason == 0:
		s.handleUnansweredStart(m)
	default:
		s.handleRefusedStart(m, reason)
	}
}

// handleUnansweredStart repeats a start that may yet take effect; after some attempts the run is given up.
func (s *session) handleUnansweredStart(m *member) {
	m.unansweredStarts++
	s.markUnresponsive(m.worker)
	if m.run.stopReason == "" && m.unansweredStarts < maxStartAttempts {
		s.startMember(m)
		return
	}
	s.stopRun(m.run.unit, "no answer to a start")
}

// handleRefusedStart resolves a member that certainly doesn't run.
func (s *session) handleRefusedStart(m *member, reason worker.Refusal) {
	if m.unansweredStarts > 0 && reason != worker.RefusedIncarnation {
		// An earlier order without an answer may still take effect.
		s.stopRun(m.run.unit, "start refused: "+reason.String())
		return
	}
	s.logRefusedStart(m, reason)
	switch reason {
	case worker.RefusedIncarnation:
		s.handleNewIncarnation(m.worker)
		return
	case worker.RefusedUnhealthy:
		s.quarantine(m.worker, "refuses starts")
	case worker.RefusedLeaseExpired:
		m.worker.clockMs = 0
	case worker.RefusedTicket:
		delete(m.run.unit.step.tickets, m.worker.id)
	}
	s.finishMember(m, worker.Stopped)
}

// checkStarted notes when all members run.
func (s *session) checkStarted(r *run) {
	for _, member := range r.members {
		if member.phase != running {
			return
		}
	}
	if !r.startedAt.IsZero() {
		return
	}
	r.startedAt = s.now
	if occurrence := r.unit.step.occurrence; !occurrence.started {
		occurrence.started = true
		s.Stages.Start.Observe(s.now.Sub(occurrence.dueAt))
	}
}

// stopRun tells all members of a unit's run to stopRun.
func (s *session) stopRun(u *unit, why string) {
	if u.run == nil {
		return
	}
	if u.run.stopReason == "" {
		u.run.stopReason = why
	}
	for _, member := range u.run.members {
		s.stopMember(member)
	}
}

// stopMember tells one member to stop. A run that was never ordered is over at once.
func (s *session) stopMember(m *member) {
	if m.phase == starting && !m.sent {
		s.finishMember(m, worker.Stopped)
		return
	}
	if m.phase == finished || m.phase == recording || !m.stopAcceptedAt.IsZero() || s.now.Sub(m.stopSentAt) < stopRetryDelay {
		return
	}
	m.stopSentAt = s.now
	order := worker.Stop{Task: m.name, Run: m.run.number, Fence: s.term.Epoch}
	s.enqueue(m.worker, func(target worker.Target) (worker.Reply, error) {
		ctx, cancel := s.requestContext()
		defer cancel()
		return s.Client.Stop(ctx, target, order)
	}, func(err error) {
		switch reason := refusalOf(err); {
		case reason == worker.RefusedFence:
			s.term.StepDown("worker " + m.worker.id + " knows a higher fencing token")
		case reason == worker.RefusedIncarnation:
			s.handleNewIncarnation(m.worker)
		case err == nil || reason == worker.RefusedOldRun:
			m.stopAcceptedAt = s.now
			s.pollSoon(m.worker)
		default:
			s.markUnresponsive(m.worker)
		}
	})
}

// finishMember notes that a member is over.
func (s *session) finishMember(m *member, how worker.FinishReason) {
	if m.phase == finished {
		return
	}
	m.phase = finished
	delete(m.worker.members, memberKey{m.name, m.run.number})
	s.dirty = true
	r := m.run
	if r.unit.run != r {
		return
	}
	if r.live() {
		if how != worker.Done && r.stopReason == "" {
			s.stopRun(r.unit, "a member ended: "+string(how))
		}
		return
	}
	s.closeRun(r)
}

// closeRun ends a run of which nothing is left on workers.
func (s *session) closeRun(r *run) {
	r.unit.run, r.unit.lastRunEndedAt = nil, s.now
	job := r.unit.step.job
	if !job.cancelled || job.hasEnded() {
		return
	}
	s.cancelJob(job.spec.GetId())
}
