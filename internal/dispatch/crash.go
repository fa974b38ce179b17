package dispatch

import (
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// promptCrashTime is how soon after the start of a task a worker must fall silent for the task to be a likely cause. A run
	// that lasts longer has passed its probation.
	promptCrashTime = time.Second
	// lossConfirmTime is how long a worker must be silent and missing from the registry to count as gone.
	lossConfirmTime = 20 * time.Second
)

// crashRecord counts the workers that were lost under the members of a unit since a run of it last lasted.
type crashRecord struct {
	// counted is the number of losses by member, evidence the sum of what they show, and pending what those would show that aren't
	// certain yet; nil if none was counted.
	counted           []uint32
	evidence, pending []float32
	// age is the longest time that a counted run had run, and lastAge that of the latest one; negative if unknown.
	age, lastAge time.Duration
	// clearedBy is the number of the latest run that has lasted. What is learned later of losses up to that run doesn't matter.
	clearedBy uint32
}

func restoreCrashes(recorded *storev1.Run) crashRecord {
	age := time.Duration(recorded.GetCrashAgeMs()) * time.Millisecond
	return crashRecord{
		counted: slices.Clone(recorded.GetCrashes()), age: age, lastAge: age,
		evidence: resize(slices.Clone(recorded.GetCrashEvidence()), len(recorded.GetCrashes())),
		pending:  make([]float32, len(recorded.GetCrashes())),
	}
}

// any reports whether a loss is counted.
func (r *crashRecord) any() bool { return r.most() > 0 }

// most returns the highest number of losses under one member.
func (r *crashRecord) most() uint32 {
	if len(r.counted) == 0 {
		return 0
	}
	return slices.Max(r.counted)
}

// add counts a loss under a member of a unit with the given number of members. Its evidence is pending.
func (r *crashRecord) add(member, members int, age time.Duration, evidence float32) {
	r.counted, r.evidence, r.pending = resize(r.counted, members), resize(r.evidence, members), resize(r.pending, members)
	r.counted[member]++
	r.pending[member] += evidence
	r.age, r.lastAge = max(r.age, age), age
}

// withdraw takes back a loss whose evidence is pending, and reports whether it was counted.
func (r *crashRecord) withdraw(m *member, evidence float32) bool {
	if !r.counts(m) {
		return false
	}
	r.counted[m.index]--
	r.pending[m.index] -= evidence
	if !r.any() {
		r.clear(r.clearedBy)
	}
	return true
}

// prove turns pending evidence into evidence, as far as it is proven, if the loss is still counted.
func (r *crashRecord) prove(m *member, pending, proven float32) {
	if r.counts(m) {
		r.pending[m.index] -= pending
		r.evidence[m.index] += proven
	}
}

// counts reports whether a loss under a member of a run may be counted.
func (r *crashRecord) counts(m *member) bool {
	return m.run.number > r.clearedBy && m.index < len(r.counted) && r.counted[m.index] > 0
}

// clear forgets all losses up to a run.
func (r *crashRecord) clear(run uint32) { *r = crashRecord{clearedBy: run} }

// condemns reports whether a member has certainly crashed workers.
func (r *crashRecord) condemns(member int) bool {
	return member < len(r.evidence) && r.evidence[member] >= requiredEvidence
}

// mayCondemn reports whether a member is condemned once its pending evidence counts.
func (r *crashRecord) mayCondemn() bool {
	for i, evidence := range r.evidence {
		if evidence+r.pending[i] >= requiredEvidence {
			return true
		}
	}
	return false
}

func resize[T uint32 | float32](values []T, length int) []T {
	if len(values) >= length {
		return values
	}
	return append(values, make([]T, length-len(values))...)
}

// lostMember is a member whose worker was lost.
type lostMember struct {
	*member
	// age is for how long the member had run when its worker fell silent; -1 if an earlier owner started it.
	age time.Duration
	// lastPhase is the member's phase before the loss, and stopReason why its run was being stopped when its worker fell silent;
	// empty if it wasn't.
	lastPhase  phase
	stopReason string
}

// prompt reports whether the worker fell silent soon after it had been ordered to start the member.
func (l lostMember) prompt() bool { return l.age >= 0 && l.age < promptCrashTime }

// lostMembers returns the members on a worker for which started reports that they were started. It returns none for a worker that
// leaves as announced.
func (s *session) lostMembers(ws *workerState, started func(*member) bool) []lostMember {
	if ws.entry.Draining || ws.reserved {
		return nil
	}
	silentSince := s.silentSince(ws)
	var all []lostMember
	for _, m := range ws.members {
		if !started(m) {
			continue
		}
		lost := lostMember{member: m, age: -1, lastPhase: m.phase}
		if !m.startSentAt.IsZero() {
			lost.age = max(0, silentSince.Sub(m.startSentAt))
		}
		if m.run.stopReason != "" && m.run.stoppedAt.Before(silentSince) {
			lost.stopReason = m.run.stopReason
		}
		all = append(all, lost)
	}
	return all
}

// silentSince returns since when a lost worker has been silent.
func (s *session) silentSince(ws *workerState) time.Time {
	if ws.silentSince.IsZero() {
		return s.now
	}
	return ws.silentSince
}

// mayHaveStarted reports whether a start order for a member was sent, by this owner or an earlier one.
func mayHaveStarted(m *member) bool {
	return m.startSent || m.phase == unconfirmed || m.phase == running
}

// countedCrash is a member under which a loss was counted, and the evidence that the loss adds once the worker is certainly gone.
type countedCrash struct {
	*member
	evidence float32
	// address is that of the worker. inherited is true if the evidence is from the record of an earlier owner.
	address   string
	inherited bool
}

// countCrash counts the loss of a worker against the tasks that had just started on it, or if none had, against all that ran on it,
// but not against those that were being stopped. Their units become suspects if the loss followed the start promptly or after an
// unknown time, or was not the first under the same task; they then run on probation. The job of a task that has certainly caused losses is given up.
// It returns the members under which the loss was counted.
func (s *session) countCrash(ws *workerState, sign lossSign, lost []lostMember) (counted []countedCrash) {
	anyPrompt := slices.ContainsFunc(lost, lostMember.prompt)
	for _, c := range lost {
		u := c.run.unit
		if u.step.job.hasEnded() || u.done || c.crashCounted || c.stopReason != "" || (anyPrompt && !c.prompt()) {
			continue
		}
		c.crashCounted = true
		s.watchIdleWorkers()
		evidence, doubt := s.evidence(ws, sign, c, lost)
		u.lostAt[ws.entry.Address] = s.silentSince(ws)
		crash := countedCrash{member: c.member, evidence: evidence, address: ws.entry.Address, inherited: c.age < 0}
		counted = append(counted, crash)
		u.crashes.add(c.index, memberCount(u), c.age, evidence)
		if sign.certain() {
			s.proveCrash(crash)
		}
		u.suspect = u.suspect || c.prompt() || c.age < 0 || u.crashes.counted[c.index] > 1
		s.dirty = true
		s.Events.Log(events.WorkerCrashed, "worker", ws.id, "task", c.name, "run", c.run.number, "crashes", u.crashes.counted[c.index],
			"evidence", u.crashes.evidence[c.index], "added", evidence, "doubt", doubt, "sign", string(sign), "prompt", c.prompt(),
			"suspect", u.suspect, "phase", c.lastPhase.String(), "start_age_ms", s.age(c.startSentAt).Milliseconds(),
			"silent_ms", s.age(ws.silentSince).Milliseconds(), "worker_start_ms", ws.startedAtMs)
		s.giveUpIfCondemned(c.member)
		s.recordCrashes(u)
	}
	return counted
}

// proveCrash turns the evidence of a crash of a worker that is certainly gone into evidence. What an earlier owner knew of the losses around
// may be obsolete, so its evidence has to wait until this owner knows which workers were lost in the takeover.
func (s *session) proveCrash(c countedCrash) {
	proven := c.evidence
	if c.inherited && c.evidence > 0 {
		if !s.knowsRuns() {
			s.unproven = append(s.unproven, c)
			return
		}
		proven = s.inheritedEvidence(c.evidence, c.address, c.run.unit)
	}
	c.run.unit.crashes.prove(c.member, c.evidence, proven)
}

// proveInherited proves the crashes that waited until this owner knows which workers were lost in the takeover.
func (s *session) proveInherited() {
	if len(s.unproven) == 0 || !s.knowsRuns() {
		return
	}
	for _, c := range s.unproven {
		s.proveLater(c)
	}
	s.unproven = nil
}

// proveLater proves a crash that was counted before.
func (s *session) proveLater(c countedCrash) {
	u := c.run.unit
	if u.done || u.step.job.hasEnded() || !u.crashes.counts(c.member) {
		return
	}
	s.proveCrash(c)
	s.giveUpIfCondemned(c.member)
	s.recordCrashes(u)
}

// recordCrashes records the losses under a unit. Its run may have been recorded as ended before they were known, or may not end soon.
func (s *session) recordCrashes(u *unit) {
	if !u.step.job.hasEnded() && !u.step.job.cancelled {
		s.recordLatestRun(u, nil)
	}
}

// giveUpIfCondemned ends the job of a task that has certainly crashed too many workers.
func (s *session) giveUpIfCondemned(m *member) {
	if u := m.run.unit; !u.step.job.cancelled && u.crashes.condemns(m.index) {
		s.endJob(u.step.job, storev1.JobState_JOB_STATE_FAILED, "workers crashed under task "+m.name, nil)
	}
}

// age returns how long ago a time was; 0 if it is unknown.
func (s *session) age(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return s.now.Sub(t)
}

// silentLoss is the loss of a worker that was silent for longer than its leases: it may have crashed, or be out of reach.
type silentLoss struct {
	address string
	// startedAtMs is the start of the incarnation that was lost, and at the time of the loss.
	startedAtMs int64
	at          time.Time
	counted     []countedCrash
}

// countSilentLoss counts the loss of a worker that may still answer. It shows nothing until the worker is certainly gone.
func (s *session) countSilentLoss(ws *workerState, lost []lostMember) {
	counted := s.countCrash(ws, signSilence, lost)
	if len(counted) > 0 {
		s.silentLosses[ws.id] = silentLoss{address: ws.entry.Address, startedAtMs: ws.startedAtMs, at: s.now, counted: counted}
	}
}

// resolveSilentLoss takes back what was counted when a worker was silent once its incarnation of before answers, and proves it once
// another one does.
func (s *session) resolveSilentLoss(ws *workerState, startedAtMs int64) {
	loss, known := s.silentLosses[ws.id]
	switch {
	case !known || loss.startedAtMs == 0 || startedAtMs == 0:
		return
	case loss.startedAtMs != startedAtMs:
		s.proveSilentLoss(ws.id)
		return
	}
	delete(s.silentLosses, ws.id)
	for _, m := range loss.counted {
		u := m.run.unit
		if !u.crashes.withdraw(m.member, m.evidence) {
			continue
		}
		u.suspect = u.suspect && u.crashes.any()
		s.dirty = true
		s.recordCrashes(u)
		s.Events.Log(events.CrashWithdrawn, "worker", ws.id, "task", m.name, "run", m.run.number)
	}
}

// proveSilentLossesAt proves the losses of the workers that had the address at which a worker has answered.
func (s *session) proveSilentLossesAt(ws *workerState) {
	for id, loss := range s.silentLosses {
		if loss.address == ws.entry.Address && id != ws.id {
			s.proveSilentLoss(id)
		}
	}
}

// confirmLosses takes silent workers for gone that the registry has not listed for lossConfirmTime.
func (s *session) confirmLosses() {
	for id, loss := range s.silentLosses {
		if ws, known := s.workers[id]; known && ws.listed {
			loss.at = s.now
			s.silentLosses[id] = loss
		} else if s.now.Sub(loss.at) >= lossConfirmTime {
			s.proveSilentLoss(id)
		}
	}
}

// proveSilentLoss counts the crash of a worker that is certainly gone as proven, as far as nothing else speaks against it.
func (s *session) proveSilentLoss(id string) {
	loss := s.silentLosses[id]
	delete(s.silentLosses, id)
	for _, m := range loss.counted {
		s.proveLater(m)
	}
}

// countMissedCrash counts the crash of a worker that was back before this owner first asked it: its incarnation is younger than runs
// that an earlier owner started on it, by the clocks of both, and reports none of them.
func (s *session) countMissedCrash(ws *workerState, report worker.Report) {
	lost := s.lostMembers(ws, func(m *member) bool {
		return m.phase == unconfirmed && m.run.recordedAtMs > 0 && m.run.recordedAtMs < report.StartedAtMs && !isReported(m, report)
	})
	if len(lost) > 0 && !ws.unresponsive {
		s.recordLoss(ws)
	}
	s.countCrash(ws, signOlderRuns, lost)
}
