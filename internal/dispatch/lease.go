package dispatch

import (
	"slices"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// minSilence is how long a worker must have left all calls unanswered for its lease to be recorded as final: one that answers again
// soon costs no record.
const minSilence = 500 * time.Millisecond

// maxClaimTime is the time within which an instance claims the ownership after its holder was lost, while the store answers; see package
// leadership.
const maxClaimTime = 3200 * time.Millisecond

// finalLeaseInterval is the interval between two records of a final lease: an instance that starts counts the time that is left from then.
const finalLeaseInterval = time.Second

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
	return ws.clockMs > 0 && !ws.unresponsive && ws.lostPolls == 0 && ws.lease == renewable && !s.suspended()
}

// recordFinalLease records when the lease of a worker ends that doesn't answer, or that isn't listed and hasn't answered this owner, if
// tasks may be there. A later owner that can't reach the worker either would have to count from its own claim otherwise.
func (s *session) recordFinalLease(ws *workerState) {
	silent := ws.unresponsive && s.age(ws.silentSince) >= minSilence
	unheard := !ws.confirmed && !ws.listed && s.registryRead && s.now.Sub(s.startedAt) > learnTimeout
	due := ws.lease == renewable && (silent || unheard)
	again := ws.lease == final && s.now.Sub(ws.leaseRecordedAt) >= finalLeaseInterval && s.now.Before(ws.leaseEnd)
	if (!due && !again) || !ws.hasSentMembers() || s.storeRefuses || s.suspended() {
		return
	}
	left := ws.leaseEnd.Sub(s.now)
	if due {
		ws.suspects = s.lossSuspects(ws)
		s.Events.Log(events.LeaseFinal, "worker", ws.id, "epoch", s.term.Epoch, "members", len(ws.members), "suspects", len(ws.suspects),
			"lease_left_ms", left.Milliseconds())
	}
	record, err := replica.FinalLeaseRecord(ws.id, left, ws.suspects)
	if err != nil {
		s.term.StepDown(err.Error())
		return
	}
	ws.lease, ws.leaseRecordedAt = final, s.now
	s.appendRecords(nil, record)
}

// lossSuspects returns the names of the tasks that may have caused the loss of a worker, as far as that isn't known to this owner for
// certain: they had just started, and no other worker was lost.
func (s *session) lossSuspects(ws *workerState) []string {
	var names []string
	for _, lost := range s.lostMembers(ws, mayHaveStarted) {
		cause := lost.run.unit.lossCause(lost.age)
		others, _ := s.countLosses(s.silentSince(ws).Add(-lossWindow), s.now, ws.entry.Address, cause, false)
		if (lost.prompt() && others == 0) || (lost.age < 0 && s.mayHaveJustStarted(lost.member)) {
			names = append(names, lost.name)
		}
	}
	return names
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
	end := m.worker.leaseEnd
	if unrecorded := s.unrecordedLeaseEnd(); m.run.restored && unrecorded.After(end) && slices.Contains(m.worker.suspects, m.name) {
		return unrecorded
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

// endEarlierLeases limits the lease of a worker that has accepted this epoch: no earlier owner can renew it from now on.
func (s *session) endEarlierLeases(ws *workerState) {
	if end := s.now.Add(time.Duration(float64(s.Options.MaxLease)*clockDriftFactor) + messageMargin); end.Before(ws.leaseEnd) {
		ws.leaseEnd = end
	}
}

// unrecordedLeaseEnd returns by when a lease has ended that an earlier owner renewed for as long as it could.
func (s *session) unrecordedLeaseEnd() time.Time {
	return s.term.ClaimedAt.Add(time.Duration(float64(s.Options.MaxLease)*clockDriftFactor) + earlierOwnerWindow)
}

// releaseFinalLease deletes the record of a worker's final lease. The lease may be renewed once that is stored.
func (s *session) releaseFinalLease(ws *workerState) {
	if ws.lease != final {
		return
	}
	ws.lease, ws.suspects = releasing, nil
	s.appendRecords(func() {
		ws.lease, s.dirty = renewable, true
		s.pollSoon(ws)
	}, replica.FinalLeaseTombstone(ws.id))
}

// restoreFinalLeases restores the workers whose lease an earlier owner recorded as final.
func (s *session) restoreFinalLeases() {
	for id, lease := range s.Replica.FinalLeases() {
		ws := s.worker(id)
		ws.lease, ws.suspects = final, lease.Suspects
		if lease.End.Before(ws.leaseEnd) {
			ws.leaseEnd = lease.End
		}
	}
}
