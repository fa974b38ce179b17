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
	// unknown: an earlier owner recorded the run.
	unknown
	// starting: the start was ordered and not answered.
	starting
	// running: the worker has it.
	running
	// gone: it is over.
	gone
)

// run is one run of a unit.
type run struct {
	unit    *unit
	number  uint32
	members []*member
	// stopping tells that all members were told to stop, and why.
	stopping string
	// opened is when it was decided; started when all members were running.
	opened, started time.Time
	// percent is the best progress seen.
	percent float64
}

// member is one task of a run on its worker.
type member struct {
	run   *run
	name  string
	host  *host
	room  assign.Resources
	phase phase
	// sure is when the worker was first known to have the task.
	sure time.Time
	// attempts counts start orders without an answer; given tells that one was given, and order is the newest.
	attempts int
	given    bool
	order    worker.Start
	// stopSent and stopAnswered are when the worker was told to stop it, and when it said that it does.
	stopSent, stopAnswered time.Time
	// missing is since when its worker's reports have not listed it.
	missing time.Time
	// percent is the progress at the last sight; the speed is learned from the progress since base at baseAt.
	percent, base float64
	baseAt        time.Time
	// progressed is when the progress last changed.
	progressed time.Time
	// load is the tail latency of a task that serves, ms; pace the share of its speed at which a task may work, percent.
	load float64
	pace int
	// pacing tells that an order to pace it is under way.
	pacing bool
}

func (r *run) workerIDs() []string {
	ids := make([]string, len(r.members))
	for i, member := range r.members {
		ids[i] = member.host.id
	}
	return ids
}

// live tells whether a member may still be on its worker.
func (r *run) live() bool {
	for _, member := range r.members {
		if member.phase != gone {
			return true
		}
	}
	return false
}

// atWork tells that all members of a lasting task work.
func (r *run) atWork() bool {
	for _, member := range r.members {
		if member.phase != running || member.percent < allPercent {
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
	opened := &run{unit: u, number: number, opened: s.now}
	for i, id := range workers {
		added := &member{run: opened, name: memberName(u.task, i), host: s.host(id), room: u.roomOf(), phase: start, progressed: s.now, pace: allPercent}
		opened.members = append(opened.members, added)
		added.host.members[memberKey{added.name, number}] = added
	}
	u.run = opened
	return opened
}

// resume takes over a run that an earlier owner recorded.
func (s *session) resume(u *unit, workers []string) {
	if len(workers) == 0 {
		return
	}
	s.newRun(u, u.number, workers, unknown)
}

// start orders a member to run. A start that has not had its turn when its run is stopped, or when its worker falls silent,
// is never given.
func (s *session) start(m *member) {
	m.phase = starting
	s.callToStart(order{
		host: m.host,
		give: func(target worker.Target) (worker.Reply, error) {
			ctx, cancel := s.orderContext()
			defer cancel()
			return s.Client.Start(ctx, target, m.order)
		},
		answered: func(err error) { s.startAnswered(m, err) },
		wanted:   func() bool { return s.startWanted(m) },
	})
}

// startWanted tells whether a start whose turn has come is given, and makes the order then: the lease counts from now.
func (s *session) startWanted(m *member) bool {
	if m.phase != starting {
		return false
	}
	if m.attempts == 0 && (m.run.stopping != "" || m.host.doubted) {
		s.resolve(m, worker.Stopped)
		return false
	}
	m.given = true
	m.order = worker.Start{
		Task: m.name, Run: m.run.number, Spec: m.run.unit.step.job.spec.GetSpec(), Checkpoint: m.run.unit.checkpoint,
		Fence: s.term.Epoch, LeaseEndMs: s.grant(m.host), Ticket: m.run.unit.step.tickets[m.host.id].value,
	}
	return true
}

// startAnswered handles the answer to a start order.
func (s *session) startAnswered(m *member, err error) {
	if m.phase != starting {
		return
	}
	switch reason := refusalOf(err); {
	case err == nil:
		m.phase, m.sure = running, s.now
		s.checkStarted(m.run)
	case reason == worker.RefusedFence:
		s.term.StepDown("worker " + m.host.id + " knows a higher fencing token")
	case reason == 0:
		s.startUnanswered(m)
	default:
		s.startRefused(m, reason)
	}
}

// startUnanswered repeats a start that may yet take effect; after some attempts the run is given up.
func (s *session) startUnanswered(m *member) {
	m.attempts++
	s.doubt(m.host)
	if m.run.stopping == "" && m.attempts < startAttempts {
		s.start(m)
		return
	}
	s.stop(m.run.unit, "no answer to a start")
}

// startRefused resolves a member that certainly doesn't run.
func (s *session) startRefused(m *member, reason worker.Refusal) {
	if m.attempts > 0 && reason != worker.RefusedIncarnation {
		// An earlier order without an answer may still take effect.
		s.stop(m.run.unit, "start refused: "+reason.String())
		return
	}
	s.refused(m, reason)
	switch reason {
	case worker.RefusedIncarnation:
		s.replaced(m.host)
		return
	case worker.RefusedUnhealthy:
		s.quarantine(m.host, "refuses starts")
	case worker.RefusedLeaseExpired:
		m.host.clockMs = 0
	case worker.RefusedTicket:
		delete(m.run.unit.step.tickets, m.host.id)
	}
	s.resolve(m, worker.Stopped)
}

// checkStarted notes when all members run.
func (s *session) checkStarted(r *run) {
	for _, member := range r.members {
		if member.phase != running {
			return
		}
	}
	if !r.started.IsZero() {
		return
	}
	r.started = s.now
	if occurrence := r.unit.step.occurrence; !occurrence.began {
		occurrence.began = true
		s.Stages.Start.Observe(s.now.Sub(occurrence.due))
	}
}

// stop tells all members of a unit's run to stop.
func (s *session) stop(u *unit, why string) {
	if u.run == nil {
		return
	}
	if u.run.stopping == "" {
		u.run.stopping = why
	}
	for _, member := range u.run.members {
		s.stopMember(member)
	}
}

// stopMember tells one member to stop. A run that was never ordered is over at once.
func (s *session) stopMember(m *member) {
	if m.phase == starting && !m.given {
		s.resolve(m, worker.Stopped)
		return
	}
	if m.phase == gone || m.phase == recording || !m.stopAnswered.IsZero() || s.now.Sub(m.stopSent) < stopAgain {
		return
	}
	m.stopSent = s.now
	order := worker.Stop{Task: m.name, Run: m.run.number, Fence: s.term.Epoch}
	s.call(m.host, func(target worker.Target) (worker.Reply, error) {
		ctx, cancel := s.orderContext()
		defer cancel()
		return s.Client.Stop(ctx, target, order)
	}, func(err error) {
		switch reason := refusalOf(err); {
		case reason == worker.RefusedFence:
			s.term.StepDown("worker " + m.host.id + " knows a higher fencing token")
		case reason == worker.RefusedIncarnation:
			s.replaced(m.host)
		case err == nil || reason == worker.RefusedOldRun:
			m.stopAnswered = s.now
			s.holdSoon(m.host)
		default:
			s.doubt(m.host)
		}
	})
}

// resolve notes that a member is over.
func (s *session) resolve(m *member, how worker.FinishReason) {
	if m.phase == gone {
		return
	}
	m.phase = gone
	delete(m.host.members, memberKey{m.name, m.run.number})
	s.dirty = true
	r := m.run
	if r.unit.run != r {
		return
	}
	if r.live() {
		if how != worker.Done && r.stopping == "" {
			s.stop(r.unit, "a member ended: "+string(how))
		}
		return
	}
	s.close(r)
}

// close ends a run of which nothing is left on workers.
func (s *session) close(r *run) {
	r.unit.run, r.unit.freed = nil, s.now
	job := r.unit.step.job
	if !job.cancelled || job.over() {
		return
	}
	s.cancel(job.spec.GetId())
}
