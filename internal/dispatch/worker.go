package dispatch

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// orderTimeout limits the wait for the answer to an order other than a poll; workers answer in milliseconds.
	orderTimeout = 600 * time.Millisecond
	// minHedgeDelay and maxHedgeDelay limit the time after which a call that is answered at once is sent again, which depends on
	// the latency of the answers that arrive.
	minHedgeDelay = 80 * time.Millisecond
	maxHedgeDelay = 300 * time.Millisecond
	// maxStartAttempts is how many start orders of a member may stay unanswered before its run is stopped.
	maxStartAttempts = 3
	// stopRetryDelay is the minimum time between orders to stop the same member.
	stopRetryDelay = 500 * time.Millisecond
	// leaseDuration is the length of a lease: longer than a takeover and a renewal together, but not much longer, because
	// the tasks of an unresponsive worker can't start elsewhere before it has expired.
	leaseDuration = 6 * time.Second
	// pollWait is how long a worker may wait for a task to finish before it answers a poll; each poll renews the lease.
	pollWait = 2 * time.Second
	// pollTimeoutMargin is how much longer than its wait the answer to a poll may take.
	pollTimeoutMargin = 500 * time.Millisecond
	// pollRetryDelay is the delay after several polls without an answer, and between polls while finished tasks are being stored.
	pollRetryDelay = 300 * time.Millisecond
	// maxLostPolls is the number of polls in a row without an answer with which a worker counts as unresponsive.
	maxLostPolls = 2
	// A poll waits for lossyPollWait at most until lossyDuration after a call to the worker was not answered: a task that finishes
	// during a poll whose answer is lost is noticed late.
	lossyPollWait = 500 * time.Millisecond
	lossyDuration = 10 * time.Second
	// capacityMargin is the time between reading a worker's entry and carrying out a start that relies on it.
	capacityMargin = registryInterval + orderTimeout
	// maxDriftAllowance limits by how much a lease is shorter because the worker's clock may have run slow since it was read.
	maxDriftAllowance = time.Second
	// clockDriftFactor allows for a worker's clock that runs slow, and messageMargin for the time that messages take.
	clockDriftFactor = 1.03
	messageMargin    = 300 * time.Millisecond
	// earlierOwnerWindow is how long an earlier owner may have renewed leases after the claim that ended its term: until its next
	// call to any worker that has seen the new epoch, or, if it reaches none, until it counts as isolated. That is reachWindow and a
	// tick after it lost the store and these workers, and the claim comes more than a second after that.
	earlierOwnerWindow = reachWindow + tickInterval - time.Second
)

// memberKey identifies a member on its worker.
type memberKey struct {
	name string
	run  uint32
}

// workerState is what the owner knows about a worker.
type workerState struct {
	id    string
	entry worker.RegistryEntry
	// heardAt is when the entry was last read.
	heardAt time.Time
	// newAddress is the registry's entry if it has another address than the worker has answered at; nil if not.
	newAddress *newAddress
	// listed is true if the registry lists the worker; confirmed is true once it has accepted this epoch and reported
	// what it runs.
	listed, confirmed bool
	// replaced is true once another incarnation has answered at its address, unless the registry has listed the worker since. Then
	// nobody is left to acknowledge reports to.
	replaced bool
	// reserved is true while the worker is being evacuated for the upkeep of its machine.
	reserved bool
	// leavesAt is the earliest time at which a draining worker may leave.
	leavesAt time.Time
	// clockMs is the clock at clockReadAt of the worker's incarnation that started at startedAtMs; 0 if unknown.
	clockMs     int64
	clockReadAt time.Time
	startedAtMs int64
	// staleEntry is true if the entry is not that of the incarnation that has answered. nextEntry is a later one of another incarnation,
	// which has not answered yet; nil if there is none.
	staleEntry bool
	nextEntry  *worker.RegistryEntry
	// doubtedAt is since when another incarnation than the one that has answered seems to be there; zero if none does.
	doubtedAt time.Time
	// restarted is true once another incarnation has answered under the same id in this term, or may do so: orders that carry the clock
	// of the former one may still be carried out there.
	restarted bool
	members   map[memberKey]*member
	// unknownRuns are the resources of runs that no job has open; these runs are stopped.
	unknownRuns assign.Resources
	// lastProcessed is the number of the latest finished task that was handled, lastStored that of the latest that the
	// worker may discard, and lastAcked that of the latest whose acknowledgement the worker has received.
	lastProcessed, lastStored, lastAcked int64
	pendingStores                        int
	polling                              bool
	// probe is true if the next poll must not wait.
	probe bool
	// acceptedAt is when the latest poll was sent that the worker has answered under this epoch.
	acceptedAt time.Time
	nextPoll   time.Time
	// leaseEnd is when, by this instance's clock, everything that was started on the worker has ended, if the worker isn't
	// reached again. It holds for what the incarnation with the clock clockMs was started with. Another one with a lower clock may have
	// got the orders since: it grants its longest lease for them, which ends at restartedLeaseEnd.
	leaseEnd, restartedLeaseEnd time.Time
	// lease is what the store may hold about the lease. If that is a record, suspects has the evidence against the tasks that it suspects,
	// by their names, and leaseRecordedAt is when this owner has last written it.
	lease    leaseState
	suspects map[string]float32
	// laterEnds has when tasks have ended, by their names, that an earlier owner recorded to end later than the others.
	laterEnds       map[string]time.Time
	leaseRecordedAt time.Time
	// unresponsive is true if the last call was not answered. answeredAt is when the last answer arrived before that, and silentSince
	// when the first call since then failed; zero if none did.
	unresponsive            bool
	answeredAt, silentSince time.Time
	// ignored is the number of orders in a row without an answer, polls excluded, and lostPolls the same of polls.
	ignored, lostPolls int
	// ignoredPause is how long the worker gets no new tasks after it has ignored several orders in a row, and ignoresUntil when that
	// ends. lostAt is when a call to the worker was last not answered.
	ignoredPause         time.Duration
	ignoresUntil, lostAt time.Time
	// ordersInFlight is the number of orders without an answer yet, polls excluded.
	ordersInFlight int
	health         learned.Health
	// speed is that of the incarnation that started at speedStartMs; 0 if unknown.
	speed        learned.Speed
	speedStartMs int64
}

// worker returns the state of a worker, which it creates if needed. A worker that isn't listed can't be reached: what it
// may run ends when its lease expires.
func (s *session) worker(id string) *workerState {
	if known, ok := s.workers[id]; ok {
		return known
	}
	ws := &workerState{id: id, members: map[memberKey]*member{}, leaseEnd: s.unrecordedLeaseEnd(), restarted: s.forgottenWorkers[id]}
	s.restoreSpeed(ws)
	s.workers[id] = ws
	return ws
}

// knowsCapacity reports whether a worker's entry is so recent that a capacity which has shrunk since may still be used.
func (s *session) knowsCapacity(ws *workerState) bool {
	return s.Options.CapacityGrace == 0 || s.now.Sub(ws.heardAt) < s.Options.CapacityGrace-capacityMargin
}

// healthy reports whether tasks may start on a worker.
func (s *session) healthy(ws *workerState) bool {
	return s.accepting(ws) && !ws.health.Quarantined(s.now)
}

// accepting reports whether tasks may start on a worker, regardless of failures there.
func (s *session) accepting(ws *workerState) bool {
	return ws.listed && s.knowsCapacity(ws) && ws.confirmed && ws.knowsIncarnation() && ws.clockMs > 0 && ws.lease == renewable && !ws.reserved &&
		!ws.entry.Draining && !ws.unresponsive && ws.lostPolls == 0 && !ws.ignoresOrders(s.now) && s.mayStartIn(ws.entry.DataCentre)
}

// mayStartIn reports whether tasks may start in a data centre: unless it is to be evacuated, or that may have been requested for as
// long as it may take to apply.
func (s *session) mayStartIn(dataCentre string) bool {
	if s.Evacuations.Requested(dataCentre) {
		return false
	}
	return s.Options.EvacuateTime == 0 || s.ConfigAge() < s.Options.EvacuateTime-orderTimeout
}

// usable reports whether a worker gets new tasks: one on trial gets one at a time, and one with a run on probation none.
func (s *session) usable(ws *workerState) bool {
	return s.healthy(ws) && (!ws.health.OnTrial() || len(ws.members) == 0) && !ws.hasProbation()
}

// unhealthy reports whether a worker gets no new tasks only because of what has failed there.
func (s *session) unhealthy(ws *workerState) bool {
	return s.accepting(ws) && !ws.hasProbation() && !s.usable(ws)
}

// free returns the resources of a worker that are certainly unused, and those that stopping runs still use.
func (ws *workerState) free() (free, freeing assign.Resources) {
	free = assign.ResourcesFromProto(ws.entry.Capacity).Sub(ws.unknownRuns)
	for _, member := range ws.members {
		free = free.Sub(member.resources)
		if member.run.stopReason != "" {
			freeing = freeing.Add(member.resources)
		}
	}
	return free, freeing
}

// overcommitted reports whether what was started on a worker, or is to be, exceeds its capacity: it has shrunk.
func (ws *workerState) overcommitted() bool {
	free, _ := ws.free()
	return !free.Contains(assign.Resources{})
}

// maxSpareWorkers is the number of workers for each core of the owner up to which it can spare additional calls: more would take the
// processor from the others and make every answer late.
const maxSpareWorkers = 1000

// canSpareCalls reports whether this instance can send calls twice, and poll more often while calls are lost.
func (s *session) canSpareCalls() bool {
	const millicores = 1000
	cpu := s.Options.CPU
	if cpu == 0 {
		cpu = millicores
	}
	return !s.overloaded() && len(s.workers) <= maxSpareWorkers*int(cpu)/millicores
}

// hedgeDelay returns after what time a call that is answered at once is sent again.
func (s *session) hedgeDelay() time.Duration { return s.latency.Timeout(minHedgeDelay, maxHedgeDelay) }

// refusalOf returns why a worker refused an order; 0 if it didn't answer or didn't refuse.
func refusalOf(err error) worker.Refusal {
	var refused *worker.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return 0
}

// recordReply records an answer. Only a poll ends the silence of an unresponsive worker, and tells the worker's clock: the answer to an
// order may be that of another incarnation.
func (s *session) recordReply(ws *workerState) {
	if !ws.unresponsive {
		ws.silentSince, ws.answeredAt = time.Time{}, s.now
	}
}

// markUnresponsive keeps new tasks from a worker that didn't answer, until it does. An answer that this instance was too
// busy to handle in time says nothing about the worker.
func (s *session) markUnresponsive(ws *workerState) {
	s.recordLostCall(ws)
	if !ws.unresponsive && !s.overloaded() {
		ws.unresponsive = true
		s.recordLoss(ws)
		s.Events.Log(events.WorkerUnresponsive, "worker", ws.id, "members", len(ws.members),
			"lease_left_ms", ws.leaseEnd.Sub(s.now).Milliseconds())
	}
	s.pollSoon(ws)
}

// recordLostCall records that a call to a worker was not answered.
func (s *session) recordLostCall(ws *workerState) {
	ws.lostAt = s.now
	if ws.silentSince.IsZero() {
		ws.silentSince = s.now
	}
}

// extendLease extends the lease of a worker, and returns its end on the worker's clock in milliseconds.
func (s *session) extendLease(ws *workerState) int64 {
	lease := s.usualLease()
	age := s.now.Sub(ws.clockReadAt)
	drift := time.Duration(float64(age) * (clockDriftFactor - 1))
	allowance := min(drift, maxDriftAllowance)
	s.expectLease(ws, min(s.Options.MaxLease, lease+drift-allowance))
	ws.restartedLeaseEnd = s.leaseEndsBy(s.Options.MaxLease)
	return ws.clockMs + (age - allowance + lease).Milliseconds()
}

// leaseEndsBy returns by when a lease has ended that a worker grants for the given time by its clock for an order sent now.
func (s *session) leaseEndsBy(lease time.Duration) time.Time {
	return s.now.Add(time.Duration(float64(lease)*clockDriftFactor) + messageMargin)
}

// expectLease records that a worker may hold a lease for the given time by its clock.
func (s *session) expectLease(ws *workerState, lease time.Duration) {
	if end := s.leaseEndsBy(lease); end.After(ws.leaseEnd) {
		ws.leaseEnd = end
	}
}

// needsPoll reports whether a worker has to be polled: to learn what it runs, to acknowledge finished tasks, while the store refuses
// this owner to learn of a successor, or after a loss to learn of others.
func (s *session) needsPoll(ws *workerState) bool {
	if ws.entry.Address == "" || ws.replaced {
		return false
	}
	return len(ws.members) > 0 || ws.lastAcked < ws.lastStored || ws.unknownRuns != (assign.Resources{}) ||
		(ws.listed && (!ws.confirmed || !ws.doubtedAt.IsZero() || ws.unresponsive || ws.lostPolls > 0 || ws.clockMs == 0 || s.storeRefuses ||
			s.watchesIdleWorkers()))
}

// earliestMissing returns since when a member has been missing from the worker's reports; zero if none is.
func (ws *workerState) earliestMissing() time.Time {
	var first time.Time
	for _, member := range ws.members {
		if !member.missingSince.IsZero() && (first.IsZero() || member.missingSince.Before(first)) {
			first = member.missingSince
		}
	}
	return first
}

// pollSoon polls a worker at once, or right after the poll in flight.
func (s *session) pollSoon(ws *workerState) {
	ws.nextPoll = s.now
	if !ws.polling {
		s.checkWorker(ws)
	}
}

// checkWorker polls a worker if that is due, finishes the members of an unresponsive or unconfirmed worker whose lease has
// expired, and forgets an unlisted worker that has nothing left. It does nothing with the state of a forgotten worker, which
// may have returned under the same id.
func (s *session) checkWorker(ws *workerState) {
	if s.workers[ws.id] != ws {
		return
	}
	if !ws.polling && s.needsPoll(ws) && !s.now.Before(ws.nextPoll) {
		s.poll(ws)
	}
	if (ws.unresponsive || !ws.confirmed) && s.hasExpiredMembers(ws) {
		s.Events.Log(events.WorkerLost, "worker", ws.id, "worker_start_ms", ws.startedAtMs, "epoch", s.term.Epoch, "members", len(ws.members),
			"lease_ended_ms", s.now.Sub(ws.leaseEnd).Milliseconds())
		lost := s.lostMembers(ws, func(m *member) bool { return mayHaveStarted(m) && s.hasExpired(m) })
		s.expireMembers(ws, s.hasExpired)
		s.countSilentLoss(ws, lost)
	}
	s.recordFinalLease(ws)
	s.checkNewAddress(ws)
	if !ws.listed && ws.newAddress == nil && len(ws.members) == 0 && !ws.polling && ws.pendingStores == 0 &&
		(ws.replaced || ws.lastAcked >= ws.lastStored) {
		s.releaseFinalLease(ws)
		if ws.startedAtMs != 0 {
			s.forgottenWorkers[ws.id] = true
		}
		delete(s.workers, ws.id)
	}
}

// hasSentMembers reports whether a worker may know of any member: one whose run is recorded.
func (ws *workerState) hasSentMembers() bool {
	for _, member := range ws.members {
		if member.wasSent() {
			return true
		}
	}
	return false
}

// wasSent reports whether the worker may know of the member. Nothing is sent for one whose run is still being recorded.
func (m *member) wasSent() bool { return m.phase != recording }

// expireMembers finishes the members on a worker that have expired.
func (s *session) expireMembers(ws *workerState, expired func(*member) bool) {
	for _, member := range ws.members {
		if expired(member) {
			s.finishMember(member, worker.LeaseExpired)
		}
	}
}

// handleNewIncarnation handles the end of a worker's incarnation, which sign has shown. Everything that it ran has ended.
func (s *session) handleNewIncarnation(ws *workerState, sign lossSign) {
	s.Events.Log(events.WorkerLost, "worker", ws.id, "members", len(ws.members), "reason", string(sign), "listed", ws.listed,
		"silent_ms", s.age(ws.silentSince).Milliseconds(), "worker_start_ms", ws.startedAtMs)
	lost := s.lostMembers(ws, mayHaveStarted)
	if !ws.unresponsive {
		s.recordLoss(ws)
	}
	ws.listed, ws.confirmed, ws.reserved, ws.replaced = false, false, false, true
	s.expireMembers(ws, (*member).wasSent)
	s.countCrash(ws, sign, lost)
	if sign.certain() {
		s.proveSilentLoss(ws.id)
	}
}

// quarantine keeps new tasks from a worker for some time.
func (s *session) quarantine(ws *workerState, reason string) {
	s.Events.Log(events.WorkerQuarantined, "worker", ws.id, "strikes", ws.health.RecordFailure(s.now), "reason", reason)
}
