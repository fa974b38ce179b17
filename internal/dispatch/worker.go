package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

const (
	// requestTimeout bounds the answer to a start or a stop; workers answer in milliseconds.
	requestTimeout = 600 * time.Millisecond
	// maxStartAttempts is how often a start is ordered before its run is given up.
	maxStartAttempts = 3
	// stopRetryDelay spaces the orders to stop the same member.
	stopRetryDelay = 500 * time.Millisecond
	// leaseDuration is the lease that is asked for: longer than a takeover and a renewal together, and not much more,
	// for the tasks of a silent worker wait it out.
	leaseDuration = 6 * time.Second
	// pollWait is how long a worker may wait for an end before it answers; each answer renews the lease.
	pollWait = 2 * time.Second
	// pollTimeoutMargin is how much longer the answer may take.
	pollTimeoutMargin = 500 * time.Millisecond
	// pollRetryDelay spaces holds after one without an answer, and while ends are being stored.
	pollRetryDelay = 300 * time.Millisecond
	// clockDriftFactor is how slow a worker's clock may be, and clockMargin covers the times of messages.
	clockDriftFactor = 1.03
	messageMargin    = 300 * time.Millisecond
	// earlierOwnerWindow is how long an earlier owner may have renewed leases after the claim that ended its term: until
	// its next call to any worker that knows the new epoch.
	earlierOwnerWindow = 2 * time.Second
)

// memberKey names a run of a task on a worker.
type memberKey struct {
	name string
	run  uint32
}

// workerState is a worker as the owner sees it.
type workerState struct {
	id    string
	entry worker.RegistryEntry
	// listed tells that the platform's list has it; confirmed that it knows this epoch and has told what it runs.
	listed, confirmed bool
	// reserved tells that it is being emptied for the upkeep of its machine.
	reserved bool
	// leavesAt is when a draining worker may leave.
	leavesAt time.Time
	// clockMs is the worker's clock at clockAt; 0 if unknown.
	clockMs     int64
	clockReadAt time.Time
	startedAtMs int64
	members     map[memberKey]*member
	// unknownRuns is the room of runs that no job knows; they are told to stop.
	unknownRuns assign.Resources
	// lastProcessed is the newest end that was handled, lastStored the newest that the worker may forget, and
	// lastAcked the one that it was lastAcked.
	lastProcessed, lastStored, lastAcked int64
	pendingStores                        int
	polling                              bool
	nextPoll                             time.Time
	// leaseEnd is when everything that was ordered there is over, if nothing more is heard.
	leaseEnd time.Time
	// unresponsive tells that the last call had no answer.
	unresponsive bool
	health       learned.Health
	speed        learned.Speed
}

// worker returns a worker; one that isn't listed can't be reached, and what may run there has to lapse.
func (s *session) worker(id string) *workerState {
	if known, ok := s.workers[id]; ok {
		return known
	}
	longest := time.Duration(float64(s.Options.MaxLease)*clockDriftFactor) + earlierOwnerWindow
	added := &workerState{id: id, members: map[memberKey]*member{}, leaseEnd: s.term.ClaimedAt.Add(longest)}
	s.restoreSpeed(added)
	s.workers[id] = added
	return added
}

// registryReader hands the platform's list to the loop.
type registryReader struct{ s *session }

// Apply implements storelog.Reader.
func (r registryReader) Apply(records []storelog.Record) {
	r.s.post(func() {
		for _, record := range records {
			r.s.applyRegistryRecord(record)
		}
	})
}

// Ready implements storelog.Reader.
func (r registryReader) Ready() {
	r.s.post(func() { r.s.registryRead = true })
}

// applyRegistryRecord takes over a worker's entry.
func (s *session) applyRegistryRecord(record storelog.Record) {
	if record.Key == "" {
		return
	}
	entry, ok := s.DecodeWorker(record)
	if !ok {
		if known, listed := s.workers[record.Key]; listed && len(record.Value) == 0 {
			known.listed = false
			s.dirty = true
		}
		return
	}
	ws := s.worker(entry.ID)
	if ws.listed && ws.entry.Address != entry.Address {
		s.handleNewIncarnation(ws)
	}
	if !ws.listed || ws.entry.Draining != entry.Draining {
		s.dirty = true
	}
	if entry.Draining && (!ws.entry.Draining || !ws.listed) {
		ws.leavesAt = s.now.Add(entry.Remaining)
	}
	ws.entry, ws.listed = entry, true
	s.checkWorker(ws)
}

// healthy tells whether tasks may start on a worker.
func (s *session) healthy(ws *workerState) bool {
	return ws.listed && ws.confirmed && !ws.reserved && !ws.entry.Draining && !ws.unresponsive && !ws.health.Quarantined(s.now)
}

// usable tells whether a worker gets new tasks: one on trial has one at a time.
func (s *session) usable(ws *workerState) bool {
	return s.healthy(ws) && (!ws.health.OnTrial() || len(ws.members) == 0)
}

// free is a worker's room that is certainly unused, and the room that stopping runs still use.
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

func (s *session) requestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, requestTimeout)
}

// refusalOf returns why a worker refused; 0 if it didn't answer or didn't refuse.
func refusalOf(err error) worker.Refusal {
	var refused *worker.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return 0
}

// recordReply notes what any answer says.
func (s *session) recordReply(ws *workerState, reply worker.Reply) {
	if reply.ClockMs > 0 {
		ws.clockMs, ws.clockReadAt = reply.ClockMs, s.now
	}
}

// markUnresponsive keeps new tasks from a worker that didn't answer, until it does. An answer that this instance was too busy to take
// in time says nothing of the worker.
func (s *session) markUnresponsive(ws *workerState) {
	if !ws.unresponsive && !s.overloaded() {
		ws.unresponsive = true
		s.Events.Log(events.WorkerUnresponsive, "worker", ws.id, "members", len(ws.members), "lease_left_ms", ws.leaseEnd.Sub(s.now).Milliseconds())
	}
	s.pollSoon(ws)
}

// extendLease extends what the worker may be asked to hold, and returns the end of the lease on its clock.
func (s *session) extendLease(ws *workerState) int64 {
	lease := min(s.Options.MaxLease, leaseDuration)
	clock := ws.clockMs + s.now.Sub(ws.clockReadAt).Milliseconds()
	end := s.now.Add(time.Duration(float64(lease)*clockDriftFactor) + messageMargin)
	if end.After(ws.leaseEnd) {
		ws.leaseEnd = end
	}
	return clock + lease.Milliseconds()
}

// needsPoll tells whether a worker has to be asked or told something.
func (ws *workerState) needsPoll() bool {
	if ws.entry.Address == "" {
		return false
	}
	return len(ws.members) > 0 || ws.lastAcked < ws.lastStored || ws.unknownRuns != (assign.Resources{}) || (ws.listed && (!ws.confirmed || ws.unresponsive))
}

// earliestMissing is since when a member has been in neither of the worker's lists; zero if all are.
func (ws *workerState) earliestMissing() time.Time {
	var first time.Time
	for _, member := range ws.members {
		if !member.missingSince.IsZero() && (first.IsZero() || member.missingSince.Before(first)) {
			first = member.missingSince
		}
	}
	return first
}

// pollSoon makes the next look ask the worker at once.
func (s *session) pollSoon(ws *workerState) {
	ws.nextPoll = s.now
	if !ws.polling {
		s.checkWorker(ws)
	}
}

// checkWorker asks a worker what runs when that is due, and gives up what a silent worker held.
func (s *session) checkWorker(ws *workerState) {
	if !ws.polling && ws.needsPoll() && !s.now.Before(ws.nextPoll) {
		s.poll(ws)
	}
	if s.now.After(ws.leaseEnd) && len(ws.members) > 0 && (ws.unresponsive || !ws.confirmed) {
		s.Events.Log(events.WorkerLost, "worker", ws.id, "members", len(ws.members))
		s.lapseMembers(ws)
	}
	if !ws.listed && len(ws.members) == 0 && !ws.polling && ws.lastAcked >= ws.lastStored {
		delete(s.workers, ws.id)
	}
}

// lapseMembers resolves all that was ordered on a worker.
func (s *session) lapseMembers(ws *workerState) {
	for _, member := range ws.members {
		if member.phase != recording {
			s.finishMember(member, worker.LeaseExpired)
		}
	}
}

// handleNewIncarnation notes that another incarnation answers: what the worker ran is over.
func (s *session) handleNewIncarnation(ws *workerState) {
	s.Events.Log(events.WorkerLost, "worker", ws.id, "members", len(ws.members), "reason", "another incarnation answers")
	ws.listed, ws.confirmed, ws.reserved = false, false, false
	s.lapseMembers(ws)
}

// quarantine keeps new tasks from a worker for a time.
func (s *session) quarantine(ws *workerState, why string) {
	s.Events.Log(events.WorkerQuarantined, "worker", ws.id, "strikes", ws.health.RecordFailure(s.now), "reason", why)
}
