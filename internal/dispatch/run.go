package dispatch

import (
	"context"
	"slices"
	"strconv"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
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
	run    *run
	name   string
	index  int
	worker *workerState
	// workerStartMs is the start of the worker's incarnation for which the run was planned; 0 if unknown.
	workerStartMs int64
	resources     assign.Resources
	phase         phase
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
	// percent is the progress in the latest report. progress divides it into samples of the speed, and rate is what the task tells of the
	// rate of its step.
	percent  float64
	progress learned.Progress
	rate     learned.TaskRate
	// progressedAt is when the progress last changed, and reportedAt when the worker last reported the task as running.
	progressedAt, reportedAt time.Time
	// firstPercent is the progress in the first report, at firstReportedAt.
	firstPercent    float64
	firstReportedAt time.Time
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
		if initial == recording {
			m.workerStartMs = m.worker.startedAtMs
		}
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
