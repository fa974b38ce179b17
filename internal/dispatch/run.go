package dispatch

import (
	"context"
	"slices"
	"strconv"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// phase is what the owner knows about a member.
type phase int

// Phases of a member, in their usual order.
const (
	// recording: the run is being written to the store; nothing was sent to the worker.
	recording phase = iota
	// unconfirmed: an earlier owner recorded the run; the worker has not reported the task yet.
	unconfirmed
	// starting: the start order is queued, or was sent and not answered.
	starting
	// running: the worker has accepted or reported the task.
	running
	// finished: the task has ended, or will not start.
	finished
)

// String returns the phase as the log names it.
func (p phase) String() string {
	return [...]string{"recording", "unconfirmed", "starting", "running", "finished"}[p]
}

// run is one run of a unit.
type run struct {
	unit    *unit
	number  uint32
	members []*member
	// stopReason is why the run is being stopped, and stoppedAt since when; empty if it isn't.
	stopReason string
	stoppedAt  time.Time
	// openedAt is when the run was planned; startedAt is when all members were running.
	openedAt, startedAt time.Time
	// maxPercent is the highest progress that a member has reported.
	maxPercent float64
	// restored is true if an earlier owner started the run.
	restored bool
	// lostAt is when the first worker fell silent of those on which the run ended with the lease; zero if it ended otherwise.
	lostAt time.Time
	// unrecordedEnd is when the first member ended that the run's record doesn't have as ended; zero if it has all.
	unrecordedEnd time.Time
	// usualLeases is true if the workers of all members hold no longer leases than usual, for certain; see checkUsualLeases.
	usualLeases bool
	// recordedAtMs is when the run was recorded, by the clock of the owner that did, in Unix milliseconds.
	recordedAtMs int64
}

// member is one task of a run on its worker.
type member struct {
	run       *run
	name      string
	index     int
	worker    *workerState
	resources assign.Resources
	phase     phase
	// inQuarantine is true if the worker was in quarantine when the run was planned.
	inQuarantine bool
	// confirmedAt is when the worker first confirmed that it has the task.
	confirmedAt time.Time
	// unansweredStarts counts the start orders without an answer. startSent is true once one was sent, and startOrder is
	// the latest one.
	unansweredStarts int
	// mayBeDelayed is true if a start order was sent several times and not each copy was answered.
	mayBeDelayed bool
	// startCopied is true if a start order was sent several times: one copy may be carried out after another was answered.
	startCopied bool
	startSent   bool
	startOrder  worker.Start
	// crashCounted is true once the crash of its worker was counted.
	crashCounted bool
	// startSentAt is when the first start order was sent; zero if an earlier owner sent it.
	startSentAt time.Time
	// stopSentAt is when the stop was last ordered, and stopAcceptedAt when the worker accepted it.
	stopSentAt, stopAcceptedAt time.Time
	// missingSince is when the worker's reports ceased to list the task; zero while they list it.
	missingSince time.Time
	// percent is the progress in the latest report; the speed is learned from the progress since speedBasePercent at
	// speedBaseAt.
	percent, speedBasePercent float64
	speedBaseAt               time.Time
	// progressedAt is when the progress last changed, and reportedAt when the worker last reported the task as running.
	progressedAt, reportedAt time.Time
	// latencyMs is the tail latency of a serving task; pacePercent is the share of its speed at which a filler task may run.
	latencyMs   float64
	pacePercent int
	// paceInFlight is true while an order to change the pace is queued or in flight.
	paceInFlight bool
}

// workerIDs returns the id of each member's worker; empty for a member that has ended.
func (r *run) workerIDs() []string {
	ids := make([]string, len(r.members))
	for i, member := range r.members {
		if member.phase != finished {
			ids[i] = member.worker.id
		}
	}
	return ids
}

// live reports whether a member may still be on its worker.
func (r *run) live() bool {
	for _, member := range r.members {
		if member.phase != finished {
			return true
		}
	}
	return false
}

// reported reports whether the workers have reported all members that an earlier owner started.
func (r *run) reported() bool {
	for _, member := range r.members {
		if member.phase == unconfirmed {
			return false
		}
	}
	return true
}

// serving reports whether all members of a long-running task serve; they report full progress then.
func (r *run) serving() bool {
	for _, member := range r.members {
		if member.phase != running || member.percent < fullPercent {
			return false
		}
	}
	return true
}

// memberName returns the name of a member in the messages to and from workers.
func memberName(task replica.Task, index int) string {
	if task.Index != replica.GangIndex {
		index = task.Index
	}
	return task.Job + "." + strconv.Itoa(task.Occurrence) + "." + strconv.Itoa(task.Step) + "." + strconv.Itoa(index)
}

// newRun opens a run of a unit on workers. The members are in the given initial phase, and have ended where the worker's id is empty.
func (s *session) newRun(u *unit, number uint32, workers []string, initial phase) *run {
	r := &run{unit: u, number: number, openedAt: s.now, recordedAtMs: s.now.UnixMilli()}
	for i, id := range workers {
		m := &member{
			run: r, name: memberName(u.task, i), index: i, resources: u.resources(), phase: initial, progressedAt: s.now, pacePercent: fullPercent,
		}
		r.members = append(r.members, m)
		if id == "" {
			m.phase, m.worker = finished, &workerState{}
			continue
		}
		m.worker = s.worker(id)
		m.worker.members[memberKey{m.name, number}] = m
	}
	u.run = r
	return r
}

// restoreRun opens a run that an earlier owner recorded.
func (s *session) restoreRun(u *unit, recorded *storev1.Run) {
	workers := recorded.GetWorkers()[:min(len(recorded.GetWorkers()), memberCount(u))]
	if !slices.ContainsFunc(workers, func(id string) bool { return id != "" }) {
		return
	}
	r := s.newRun(u, u.runNumber, workers, unconfirmed)
	r.restored, r.recordedAtMs, r.usualLeases = true, recorded.GetOpenedUnixMs(), recorded.GetUsualLeases()
	for _, m := range r.members {
		m.crashCounted = slices.Contains(recorded.GetCrashedMembers(), uint32(m.index))
	}
	if slices.Contains(workers, "") {
		s.stopRun(u, "a member ended under an earlier owner")
	}
}

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
	if reason := s.forbidsStart(m.worker); reason != "" && m.unansweredStarts > 0 {
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

// forbidsStart returns why no start order may be sent to a worker, also not another time; empty if it may.
func (s *session) forbidsStart(ws *workerState) string {
	switch {
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

// stopRun stops all members of a unit's run.
func (s *session) stopRun(u *unit, reason string) {
	if u.run == nil {
		return
	}
	if u.run.stopReason == "" {
		u.run.stopReason, u.run.stoppedAt = reason, s.now
	}
	for _, member := range u.run.members {
		s.stopMember(member)
	}
}

// stopMember orders one member to stop. A member whose start was never sent is finished at once.
func (s *session) stopMember(m *member) {
	if m.phase == starting && !m.startSent {
		s.finishMember(m, worker.Stopped)
		return
	}
	if m.phase == finished || m.phase == recording || !m.stopAcceptedAt.IsZero() || s.now.Sub(m.stopSentAt) < stopRetryDelay {
		return
	}
	m.stopSentAt = s.now
	stop := worker.Stop{Task: m.name, Run: m.run.number, Fence: s.term.Epoch}
	s.enqueue(m.worker, func(ctx context.Context, target worker.Target) (worker.Reply, error) {
		return s.Client.Stop(ctx, target, stop)
	}, func(err error, _ int) {
		switch reason := refusalOf(err); {
		case reason == worker.RefusedFence:
			s.term.StepDown("worker " + m.worker.id + " has seen a higher fencing token")
		case reason == worker.RefusedIncarnation:
			s.handleNewIncarnation(m.worker, signRefusal)
		case err == nil || reason == worker.RefusedOldRun:
			m.stopAcceptedAt = s.now
			s.pollSoon(m.worker)
		default:
			m.stopSentAt = time.Time{} // checkRuns repeats the order
		}
	})
}

// finishMember marks a member as finished. The run is closed after its last member, and stopped if a member ended before
// it was done.
func (s *session) finishMember(m *member, reason worker.FinishReason) {
	if m.phase == finished {
		return
	}
	m.phase = finished
	delete(m.worker.members, memberKey{m.name, m.run.number})
	s.dirty = true
	r := m.run
	if reason == worker.LeaseExpired && r.lostAt.IsZero() {
		r.lostAt = s.silentSince(m.worker)
	}
	if r.unit.run != r {
		return
	}
	if r.live() {
		if r.unrecordedEnd.IsZero() {
			r.unrecordedEnd = s.now
		}
		if reason == worker.LeaseExpired {
			// The next record may delete the worker's final lease: without this one a later owner would wait for that worker again.
			s.recordEnds(r)
		}
		if reason != worker.Done && r.stopReason == "" {
			s.stopRun(r.unit, "a member ended: "+string(reason))
		}
		return
	}
	s.closeRun(r)
}

// closeRun closes a run that has nothing left on workers, and records that: a later owner would wait for the workers otherwise. A
// cancelled job gets its outcome after its last run.
func (s *session) closeRun(r *run) {
	u := r.unit
	u.run, u.lastRunEndedAt, u.awaySince = nil, s.now, s.now
	if !r.lostAt.IsZero() {
		u.awaySince = r.lostAt
	}
	switch job := u.step.job; {
	case job.hasEnded():
	case job.cancelled:
		s.cancelJob(job.spec.GetId())
	case !u.done:
		s.recordLatestRun(u, nil)
	}
}
