package dispatch

import (
	"maps"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// minSilence is the silence after which a worker's lease is recorded as final; a shorter one isn't worth a record. The worker of a run on
// probation is probably gone.
const minSilence = 500 * time.Millisecond

// maxClaimTime is the time within which an instance claims the ownership after its holder was lost, while the store answers; see package
// leadership.
const maxClaimTime = 3200 * time.Millisecond

// finalLeaseInterval is how often a final lease is recorded again: a restarted instance counts the remaining time from when it reads the
// record.
const finalLeaseInterval = time.Second

// lateStartMargin is how long after a start order was sent a later owner expects that it may be carried out.
const lateStartMargin = earlierOwnerWindow

// leaseState is what the store may hold about a worker's lease.
type leaseState int

const (
	// renewable: no record. The lease may be renewed.
	renewable leaseState = iota
	// final: a record, stored or on its way, that says when the lease ends. The owner renews it no more, so that a later owner can rely
	// on the record.
	final
	// releasing: the deletion of that record isn't stored yet.
	releasing
)

// mayRenewLease reports whether a poll may renew a worker's lease. A worker that didn't answer the last poll gets no new lease: it would
// delay the time at which its tasks have certainly ended.
func (s *session) mayRenewLease(ws *workerState) bool {
	return ws.clockMs > 0 && !ws.unresponsive && ws.lostPolls == 0 && ws.lease == renewable && !s.suspended() && !s.breaksUsualLease(ws)
}

// recordFinalLease records when the lease of a worker ends that doesn't answer, or that isn't listed and hasn't answered this owner, if
// tasks may be there. A later owner that can't reach the worker either would have to count from its own claim otherwise.
func (s *session) recordFinalLease(ws *workerState) {
	silent := ws.unresponsive && (s.age(ws.silentSince) >= minSilence || ws.hasProbation())
	unheard := !ws.confirmed && !ws.listed && s.registryRead && s.now.Sub(s.startedAt) > learnTimeout
	due := ws.lease == renewable && (silent || unheard)
	again := ws.lease == final && s.now.Sub(ws.leaseRecordedAt) >= finalLeaseInterval
	if (!due && !again) || !ws.hasSentMembers() || s.storeRefuses || s.suspended() {
		return
	}
	s.updateSuspects(ws, due)
	end, later := s.finalLease(ws)
	if due {
		s.Events.Log(events.LeaseFinal, "worker", ws.id, "epoch", s.term.Epoch, "members", len(ws.members), "suspects", len(ws.suspects),
			"lease_left_ms", end.Sub(s.now).Milliseconds(), "later", len(later))
	}
	record, err := replica.FinalLeaseRecord(ws.id, replica.FinalLease{
		End: end, LaterEnds: later, Suspects: ws.suspects, WorkerStartMs: ws.startedAtMs,
	}, s.now)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	ws.lease, ws.leaseRecordedAt = final, s.now
	s.appendRecords(nil, record)
}

// finalLease returns when the members on a worker have ended by its lease, and by the name of each member that may end later when that one has.
// Suspects are left out: a later owner counts these by itself.
func (s *session) finalLease(ws *workerState) (end time.Time, later map[string]time.Time) {
	later = map[string]time.Time{}
	for _, m := range ws.members {
		memberEnd := s.leaseEnd(m)
		_, inherited := ws.laterEnds[m.name]
		switch {
		case !m.wasSent() || ws.suspected(m):
		case m.startMayBeUnderway():
			later[m.name] = memberEnd.Add(lateStartMargin)
		case inherited || m.isUnlisted():
			later[m.name] = memberEnd
		case memberEnd.After(end):
			end = memberEnd
		}
	}
	if end.IsZero() {
		end = ws.leaseEnd
	}
	return end, later
}

// isUnlisted reports whether no report has listed a member yet that this owner has started.
func (m *member) isUnlisted() bool { return m.startSent && m.reportedAt.IsZero() }

// startMayBeUnderway reports whether a start order for a member may still be carried out: it wasn't answered. If the worker's next
// incarnation does so, which has a clock of its own, the lease counts from then.
func (m *member) startMayBeUnderway() bool {
	return m.isUnlisted() && (m.phase == starting || m.mayBeDelayed)
}

// suspected reports whether the record of the worker's final lease names a member as a suspect.
func (ws *workerState) suspected(m *member) bool {
	_, suspected := ws.suspects[m.name]
	return suspected
}

// updateSuspects finds the tasks that may have caused the loss of a worker: those that had just started there, by this owner while no other
// worker was lost, or possibly by an earlier one. Unless first is true, it only updates the evidence against those that are known.
func (s *session) updateSuspects(ws *workerState, first bool) {
	if first {
		ws.suspects = map[string]float32{}
	}
	all := s.lostMembers(ws, mayHaveStarted)
	for _, lost := range all {
		cause := lost.run.unit.lossCause(lost.age)
		others, _ := s.countLosses(s.silentSince(ws).Add(-lossWindow), s.now, ws.entry.Address, cause, false)
		mayBeCause := (lost.prompt() && others == 0) || (lost.age < 0 && s.mayHaveJustStarted(lost.member))
		_, known := ws.suspects[lost.name]
		switch {
		case known && lost.age < 0: // the evidence of an earlier owner stays as it was
		case !known && (!first || !mayBeCause):
		case lost.stopReason != "":
			ws.suspects[lost.name] = 0
		default:
			ws.suspects[lost.name], _ = s.evidence(ws, signSilence, lost, all)
		}
	}
}

// mayHaveJustStarted reports whether a task that an earlier owner started may have run for less than promptCrashTime when its worker fell
// silent. The clocks of two owners may differ, which only makes more or fewer suspects.
func (s *session) mayHaveJustStarted(m *member) bool {
	if !m.confirmedAt.IsZero() && s.silentSince(m.worker).Sub(m.confirmedAt) >= promptCrashTime {
		return false
	}
	return s.startedAt.Sub(time.UnixMilli(m.run.recordedAtMs)) < promptCrashTime+maxClaimTime
}

// expiresAt returns when a member counts as ended if its worker isn't reached again. A task that may have caused the loss of its worker
// under an earlier owner counts as running until the lease would have ended without a record: after a takeover nobody knows of that loss,
// and a task that crashes its workers would be started more often.
func (s *session) expiresAt(m *member) time.Time {
	end := s.leaseEnd(m)
	if unrecorded := s.unrecordedLeaseEnd(); m.run.restored && unrecorded.After(end) && m.worker.suspected(m) {
		return unrecorded
	}
	return end
}

// leaseEnd returns when a member has ended by its lease. No report has shown in which incarnation of its worker a member is that this owner
// has just started.
func (s *session) leaseEnd(m *member) time.Time {
	ws, end := m.worker, m.worker.leaseEnd
	if later, known := ws.laterEnds[m.name]; known && m.run.restored {
		return later
	}
	if m.isUnlisted() && ws.restartedLeaseEnd.After(end) {
		return ws.restartedLeaseEnd
	}
	if usual := s.earlierUsualLeaseEnd(); !ws.confirmed && m.run.usualLeases && usual.Before(end) && !s.mayHaveJustStarted(m) {
		return usual
	}
	return end
}

// hasExpired reports whether a member whose worker isn't reached has ended.
func (s *session) hasExpired(m *member) bool { return m.wasSent() && s.now.After(s.expiresAt(m)) }

// hasExpiredMembers reports whether a member on a worker that isn't reached has ended.
func (s *session) hasExpiredMembers(ws *workerState) bool {
	for _, m := range ws.members {
		if s.hasExpired(m) {
			return true
		}
	}
	return false
}

// endEarlierLeases limits the lease of a worker that has accepted this epoch: no earlier owner can renew it from now on. All its leases are
// as long as usual if a run is there for which that is recorded.
func (s *session) endEarlierLeases(ws *workerState, report worker.Report) {
	lease := s.Options.MaxLease
	for _, m := range ws.members {
		if m.run.usualLeases && isReported(m, report) {
			lease = s.usualLease()
		}
	}
	if end := s.leaseEndsBy(lease); end.Before(ws.leaseEnd) {
		ws.leaseEnd = end
	}
}

// unrecordedLeaseEnd returns by when the longest lease has ended that an earlier owner may have renewed.
func (s *session) unrecordedLeaseEnd() time.Time { return s.earlierLeaseEnd(s.Options.MaxLease) }

// markSoleOwner lets renewals say when no earlier owner can renew leases any more.
func (s *session) markSoleOwner() {
	if s.now.Sub(s.term.ClaimedAt) > earlierOwnerWindow {
		s.term.MarkSole()
	}
}

// earlierLeaseEnd returns by when a lease of the given length has ended that an earlier owner renewed for as long as it could.
func (s *session) earlierLeaseEnd(lease time.Duration) time.Time {
	return s.term.ClaimedAt.Add(time.Duration(float64(lease)*clockDriftFactor) + earlierOwnerWindow)
}

// earlierUsualLeaseEnd returns by when a usual lease has ended that an earlier owner renewed.
func (s *session) earlierUsualLeaseEnd() time.Time {
	if s.term.EarlierOwnersEnded {
		return s.term.ClaimedAt.Add(time.Duration(float64(s.usualLease())*clockDriftFactor) + messageMargin)
	}
	return s.earlierLeaseEnd(s.usualLease())
}

// releaseFinalLease deletes the record of a worker's final lease. The lease may be renewed once that is stored.
func (s *session) releaseFinalLease(ws *workerState) {
	if ws.lease != final {
		return
	}
	ws.lease, ws.suspects, ws.laterEnds = releasing, nil, nil
	s.appendRecords(func() {
		ws.lease, s.dirty = renewable, true
		s.pollSoon(ws)
	}, replica.FinalLeaseTombstone(ws.id))
}

// restoreFinalLeases restores the workers whose lease an earlier owner recorded as final.
func (s *session) restoreFinalLeases() {
	for id, lease := range s.Replica.FinalLeases() {
		ws := s.worker(id)
		ws.lease, ws.suspects, ws.startedAtMs, ws.laterEnds = final, maps.Clone(lease.Suspects), lease.WorkerStartMs, lease.LaterEnds
		if lease.End.Before(ws.leaseEnd) {
			ws.leaseEnd = lease.End
		}
	}
}
