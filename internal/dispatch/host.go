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
	clockDriftFactor  = 1.03
	messageMargin = 300 * time.Millisecond
	// earlierOwnerWindow is how long an earlier owner may have renewed leases after the claim that ended its term: until
	// its next call to any worker that knows the new epoch.
	earlierOwnerWindow = 2 * time.Second
)

// memberKey names a run of a task on a worker.
type memberKey struct {
	name   string
	run uint32
}

// workerState is a worker as the owner sees it.
type workerState struct {
	id    string
	entry worker.Entry
	// listed tells that the platform's list has it; confirmed that it knows this epoch and has told what it runs.
	listed, confirmed bool
	// reserved tells that it is being emptied for the upkeep of its machine.
	reserved bool
	// leavesAt is when a draining worker may leave.
	leavesAt time.Time
	// clockMs is the worker's clock at clockAt; 0 if unknown.
	clockMs int64
	clockReadAt time.Time
	startedAtMs    int64
	members map[memberKey]*member
	// unknownRuns is the room of runs that no job knows; they are told to stop.
	unknownRuns assign.Room
	// lastProcessed is the newest end that was handled, lastStored the newest that the worker may forget, and
	// lastAcked the one that it was lastAcked.
	lastProcessed, lastStored, lastAcked int64
	pendingStores                       int
	polling                       bool
	nextPoll                      time.Time
	// leaseEnd is when everything that was ordered there is over, if nothing more is heard.
	leaseEnd time.Time
	// unresponsive tells that the last call had no answer.
	unresponsive bool
	health  learned.Health
	speed   learned.Speed
}

// worker returns a worker; one that isn't listed can't be reached, and what may run there has to lapse.
func (s *session) worker(id string) *workerState {
	if known, ok := s.workers[id]; ok {
		return known
	}
	longest := time.Duration(float64(s.Options.MaxLease)*clockDriftFactor) + earlierOwnerWindow
	added := &workerState{id: id, members: map[memberKey]*member{}, leaseEnd: s.term.Claimed.Add(longest)}
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
	h := s.worker(entry.ID)
	if h.listed && h.entry.Address != entry.Address {
		s.handleNewIncarnation(h)
	}
	if !h.listed || h.entry.Draining != entry.Draining {
		s.dirty = true
	}
	if entry.Draining && (!h.entry.Draining || !h.listed) {
		h.leavesAt = s.now.Add(entry.Remaining)
	}
	h.entry, h.listed = entry, true
	s.checkWorker(h)
}

// healthy tells whether tasks may start on a worker.
func (s *session) healthy(h *workerState) bool {
	return h.listed && h.confirmed && !h.reserved && !h.entry.Draining && !h.unresponsive && !h.health.Quarantined(s.now)
}

// usable tells whether a worker gets new tasks: one on trial has one at a time.
func (s *session) usable(h *workerState) bool {
	return s.healthy(h) && (!h.health.OnTrial() || len(h.members) == 0)
}

// free is a worker's room that is certainly unused, and the room that stopping runs still use.
func (h *workerState) free() (free, freeing assign.Room) {
	free = assign.CapacityOf(h.entry.Capacity).Sub(h.unknownRuns)
	for _, member := range h.members {
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
func (s *session) recordReply(h *workerState, reply worker.Reply) {
	if reply.ClockMs > 0 {
		h.clockMs, h.clockReadAt = reply.ClockMs, s.now
	}
}

// markUnresponsive keeps new tasks from a worker that didn't answer, until it does. An answer that this instance was too busy to take
// in time says nothing of the worker.
func (s *session) markUnresponsive(h *workerState) {
	if !h.unresponsive && !s.overloaded() {
		h.unresponsive = true
		s.Events.Log(events.WorkerSilent, "worker", h.id, "members", len(h.members), "lease_left_ms", h.leaseEnd.Sub(s.now).Milliseconds())
	}
	s.pollSoon(h)
}

// extendLease extends what the worker may be asked to hold, and returns the end of the lease on its clock.
func (s *session) extendLease(h *workerState) int64 {
	lease := min(s.Options.MaxLease, leaseDuration)
	clock := h.clockMs + s.now.Sub(h.clockReadAt).Milliseconds()
	end := s.now.Add(time.Duration(float64(lease)*clockDriftFactor) + messageMargin)
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
	return clock + lease.Milliseconds()
}

// needsPoll tells whether a worker has to be asked or told something.
func (h *workerState) needsPoll() bool {
	if h.entry.Address == "" {
		return false
	}
	return len(h.members) > 0 || h.lastAcked < h.lastStored || h.unknownRuns != (assign.Room{}) || (h.listed && (!h.confirmed || h.unresponsive))
}

// earliestMissing is since when a member has been in neither of the worker's lists; zero if all are.
func (h *workerState) earliestMissing() time.Time {
	var first time.Time
	for _, member := range h.members {
		if !member.missingSince.IsZero() && (first.IsZero() || member.missingSince.Before(first)) {
			first = member.missingSince
		}
	}
	return first
}

// pollSoon makes the next look ask the worker at once.
func (s *session) pollSoon(h *workerState) {
	h.nextPoll = s.now
	if !h.polling {
		s.checkWorker(h)
	}
}

// checkWorker asks a worker what runs when that is due, and gives up what a silent worker held.
func (s *session) checkWorker(h *workerState) {
	if !h.polling && h.needsPoll() && !s.now.Before(h.nextPoll) {
		s.poll(h)
	}
	if s.now.After(h.leaseEnd) && len(h.members) > 0 && (h.unresponsive || !h.confirmed) {
		s.Events.Log(events.WorkerLost, "worker", h.id, "members", len(h.members))
		s.lapseMembers(h)
	}
	if !h.listed && len(h.members) == 0 && !h.polling && h.lastAcked >= h.lastStored {
		delete(s.workers, h.id)
	}
}

// lapseMembers resolves all that was ordered on a worker.
func (s *session) lapseMembers(h *workerState) {
	for _, member := range h.members {
		if member.phase != recording {
			s.finishMember(member, worker.Lapsed)
		}
	}
}

// handleNewIncarnation notes that another incarnation answers: what the worker ran is over.
func (s *session) handleNewIncarnation(h *workerState) {
	s.Events.Log(events.WorkerLost, "worker", h.id, "members", len(h.members), "reason", "another incarnation answers")
	h.listed, h.confirmed, h.reserved = false, false, false
	s.lapseMembers(h)
}

// quarantine keeps new tasks from a worker for a time.
func (s *session) quarantine(h *workerState, why string) {
	s.Events.Log(events.WorkerQuarantined, "worker", h.id, "strikes", h.health.Strike(s.now), "reason", why)
}
