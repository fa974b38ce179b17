package dispatch

import (
	"context"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// startMember queues the order to start a member. The first order is dropped if the run is stopped, or the worker
// becomes unresponsive, ignores an order or shrinks, before it is sent.
func (s *session) startMember(m *member) {
	m.phase = starting
	s.enqueueStart(order{
		worker: m.worker,
		send: func(ctx context.Context, target worker.Target) (worker.Reply, error) {
			return s.Client.Start(ctx, target, m.startOrder)
		},
		onReply:    func(err error, copies int) { s.handleStartReply(m, err, copies) },
		shouldSend: func() bool { return s.prepareStart(m) },
	})
}

// prepareStart reports whether a queued start order is still to be sent. It fills the order in only then, because its lease
// counts from the time of sending.
func (s *session) prepareStart(m *member) bool {
	if m.phase != starting {
		return false
	}
	if reason := s.forbidsStart(m); reason != "" && m.unansweredStarts > 0 {
		// An order without an answer may still take effect.
		s.stopRun(m.run.unit, reason)
		return false
	} else if reason != "" {
		s.finishMember(m, worker.Stopped)
		return false
	}
	if m.unansweredStarts == 0 && (m.run.stopReason != "" || m.worker.unresponsive || m.worker.ignoresOrders(s.now) ||
		m.worker.overcommitted()) {
		s.finishMember(m, worker.Stopped)
		return false
	}
	if !m.startSent {
		m.startSent, m.startSentAt = true, s.now
	}
	m.startOrder = worker.Start{
		Task: m.name, Run: m.run.number, Spec: m.run.unit.step.job.spec.GetSpec(), Checkpoint: m.run.unit.checkpoint,
		Fence: s.term.Epoch, LeaseEndMs: s.extendLease(m.worker), Ticket: m.run.unit.step.tickets[m.worker.id].value,
	}
	return true
}

// forbidsStart returns why no start order for a member may be sent to its worker, also not another time; empty if it may.
func (s *session) forbidsStart(m *member) string {
	ws := m.worker
	switch {
	case !ws.knowsIncarnation(), areDifferent(m.workerStartMs, ws.startedAtMs):
		return "its worker has started again"
	case !s.mayStartIn(ws.entry.DataCentre):
		return "its data centre is evacuated"
	case ws.lease != renewable:
		return "the lease of its worker is final"
	case s.breaksUsualLease(ws):
		return "the clock of its worker was read long ago"
	}
	return ""
}

// handleStartReply handles the answer to a start order that was sent copies times.
func (s *session) handleStartReply(m *member, err error, copies int) {
	m.startCopied = m.startCopied || copies > 1
	if m.phase != starting {
		return
	}
	m.mayBeDelayed = m.mayBeDelayed || (err != nil && copies > 1)
	switch reason := refusalOf(err); {
	case err == nil:
		m.phase, m.confirmedAt = running, s.now
		s.recordBegun(m.run.unit.step.job)
		s.checkStarted(m.run)
	case reason == worker.RefusedFence:
		s.term.StepDown("worker " + m.worker.id + " has seen a higher fencing token")
	case reason == 0:
		s.handleUnansweredStart(m)
	default:
		s.handleRefusedStart(m, reason)
	}
}

// handleUnansweredStart retries a start, which may still take effect; after maxStartAttempts it stops the run.
func (s *session) handleUnansweredStart(m *member) {
	m.unansweredStarts++
	if m.run.stopReason == "" && m.unansweredStarts < maxStartAttempts {
		s.startMember(m)
		return
	}
	s.stopRun(m.run.unit, "start order not answered")
}

// handleRefusedStart finishes a member if no earlier order can have started it.
func (s *session) handleRefusedStart(m *member, reason worker.Refusal) {
	if (m.unansweredStarts > 0 || m.mayBeDelayed) && reason != worker.RefusedIncarnation {
		// An earlier order without an answer may still take effect.
		s.stopRun(m.run.unit, "start refused: "+reason.String())
		return
	}
	s.logRefusedStart(m, reason)
	switch reason {
	case worker.RefusedIncarnation:
		if m.unansweredStarts == 0 && !m.mayBeDelayed {
			// It never ran there: its end says nothing about the task.
			s.finishMember(m, worker.Stopped)
		}
		s.handleNewIncarnation(m.worker, signRefusal)
		return
	case worker.RefusedUnhealthy:
		s.quarantine(m.worker, "worker refuses to start tasks")
	case worker.RefusedLeaseExpired:
		m.worker.clockMs = 0
	case worker.RefusedTicket:
		delete(m.run.unit.step.tickets, m.worker.id)
	}
	s.finishMember(m, worker.Stopped)
}

// checkStarted records when all members of a run are running.
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
