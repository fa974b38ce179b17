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
	// fullList is the number of ends in an answer that may leave some out.
	fullList = 500
	// allPercent is the progress of a task that is at work for good, or done.
	allPercent = 100
)

// hold renews a worker's lease, tells it which ends it may forget, and asks what it runs.
func (s *session) hold(h *host) {
	order := worker.Poll{Fence: s.term.Epoch, Acknowledged: h.acknowledged}
	if h.clockMs > 0 && !h.doubted {
		// A worker that didn't answer is only asked: each grant would put off the time when what it runs is surely over.
		order.LeaseEndMs = s.grant(h)
	}
	if h.confirmed && !h.doubted && h.storing == 0 && h.clockMs > 0 {
		order.Wait = holdWait
	}
	if !h.missingSince().IsZero() {
		order.Wait = 0
	}
	h.holding = true
	target, sent := worker.Target{ID: h.id, Address: h.entry.Address}, s.now
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, order.Wait+holdSlack)
		defer cancel()
		report, err := s.Client.Poll(ctx, target, order)
		s.post(func() { s.holdAnswered(h, order, sent, report, err) })
	}()
}

// holdAnswered handles a worker's report.
func (s *session) holdAnswered(h *host, order worker.Poll, sent time.Time, report worker.Report, err error) {
	h.holding = false
	s.dirty = true
	switch reason := refusalOf(err); {
	case reason == worker.RefusedFence:
		s.term.StepDown("worker " + h.id + " knows a higher fencing token")
		return
	case reason == worker.RefusedIncarnation:
		s.replaced(h)
		return
	case err != nil:
		if !h.doubted {
			s.doubt(h)
		}
		h.nextHold = s.now.Add(holdAgain)
		return
	}
	s.heard(h, report.Reply)
	if report.StartedAtMs != 0 && h.born != report.StartedAtMs {
		if h.born != 0 {
			h.processed, h.acknowledged, h.told = 0, 0, 0
		}
		h.born = report.StartedAtMs
	}
	h.doubted, h.confirmed = false, true
	h.told = max(h.told, order.Acknowledged)
	s.takeEnds(h, report.Finished)
	s.reconcile(h, sent, report)
	if h.storing > 0 {
		h.nextHold = s.now.Add(holdAgain)
		return
	}
	if missing := h.missingSince(); !missing.IsZero() && s.now.Sub(missing) <= s.Options.StopDuration {
		h.nextHold = missing.Add(s.Options.StopDuration + time.Millisecond)
		return
	}
	s.holdSoon(h)
}

// takeEnds handles the ends that are new, and lets the worker forget them once they are stored.
func (s *session) takeEnds(h *host, ends []worker.FinishedTask) {
	for _, end := range ends {
		if end.Number <= h.processed {
			continue
		}
		h.processed = end.Number
		h.storing++
		s.ended(h, end, func() {
			h.storing--
			if h.storing == 0 {
				h.acknowledged = h.processed
				s.holdSoon(h)
			}
		})
	}
}

// reconcile compares what a worker runs with what was ordered.
func (s *session) reconcile(h *host, sent time.Time, report worker.Report) {
	listed := make(map[memberKey]bool, len(report.Running))
	h.strangers = assign.Resources{}
	for _, row := range report.Running {
		key := memberKey{row.Task, row.Run}
		listed[key] = true
		known, ok := h.members[key]
		if !ok {
			s.stranger(h, row)
			continue
		}
		s.progress(known, row)
	}
	s.shareRoom(h)
	if len(report.Finished) >= fullList {
		return
	}
	for key, member := range h.members {
		if !listed[key] && s.overSince(member, sent) {
			s.resolve(member, worker.LeaseExpired)
		}
	}
}

// overSince tells whether a member that a report doesn't list is over; sent is when the report was asked for. A task that
// is being stopped is in neither list, so it has to be missing for as long as a stop may take.
func (s *session) overSince(m *member, sent time.Time) bool {
	switch {
	case m.phase == recording, m.phase == gone:
		return false
	case m.phase == starting && m.stopAnswered.IsZero():
		return false
	case !m.stopAnswered.Before(sent), !m.sure.Before(sent):
		return false
	}
	if m.missing.IsZero() {
		m.missing = s.now
		return false
	}
	return sent.Sub(m.missing) > s.Options.StopDuration
}

// progress notes that a worker runs a member.
func (s *session) progress(m *member, row worker.RunningTask) {
	r := m.run
	m.missing = time.Time{}
	if m.phase == starting || m.phase == unknown {
		m.phase, m.sure = running, s.now
		s.checkStarted(r)
	}
	s.learnSpeed(m, row.Percent)
	if row.Percent > m.percent || row.Percent < m.percent {
		m.progressed = s.now
	}
	m.percent, m.load = row.Percent, row.Load
	r.percent = max(r.percent, row.Percent)
	r.unit.save(m, row.Checkpoint)
	if r.stopping != "" || r.unit.run != r {
		s.stopMember(m)
	}
}

// stranger stops a run that no job has open, and counts its room until it is gone.
func (s *session) stranger(h *host, row worker.RunningTask) {
	if unit := s.find(row.Task); unit != nil {
		h.strangers = h.strangers.Add(unit.roomOf())
	}
	order := worker.Stop{Task: row.Task, Run: row.Run, Fence: s.term.Epoch}
	s.call(h, func(target worker.Target) (worker.Reply, error) {
		ctx, cancel := s.orderContext()
		defer cancel()
		return s.Client.Stop(ctx, target, order)
	}, func(error) {})
}

// ended handles one end and calls stored once all that follows from it is stored.
func (s *session) ended(h *host, end worker.FinishedTask, stored func()) {
	u := s.find(end.Task)
	if u == nil {
		stored()
		return
	}
	member, known := h.members[memberKey{end.Task, end.Run}]
	s.told(h, u, member, end)
	if known {
		u.save(member, end.Checkpoint)
	}
	switch end.Reason {
	case worker.Done:
		if h.health.OnTrial() {
			s.Events.Log(events.WorkerRecovered, "worker", h.id)
		}
		h.health.RecordSuccess()
		s.finish(u, stored)
	case worker.Failed:
		if !s.proneToFail(u, h) {
			s.quarantine(h, "a task failed")
		}
		u.avoid[h.id] = true
		s.fail(u, end.Run, stored)
	default:
		stored()
	}
	if known {
		s.resolve(member, end.Reason)
	}
}

// proneToFail tells that a unit failed before on another worker that is sound: then it is the unit's fault.
func (s *session) proneToFail(u *unit, h *host) bool {
	for id := range u.avoid {
		if other, known := s.workers[id]; known && id != h.id && !other.health.OnTrial() {
			return true
		}
	}
	return false
}

// find returns the unit of a member's name; nil if no job that is known has it.
func (s *session) find(name string) *unit {
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
