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
	// orderTimeout bounds the answer to a start or a stop; workers answer in milliseconds.
	orderTimeout = 600 * time.Millisecond
	// startAttempts is how often a start is ordered before its run is given up.
	startAttempts = 3
	// stopAgain spaces the orders to stop the same member.
	stopAgain = 500 * time.Millisecond
	// leaseTerm is the lease that is asked for: longer than a takeover and a renewal together, and not much more,
	// for the tasks of a silent worker wait it out.
	leaseTerm = 6 * time.Second
	// holdWait is how long a worker may wait for an end before it answers; each answer renews the lease.
	holdWait = 2 * time.Second
	// holdSlack is how much longer the answer may take.
	holdSlack = 500 * time.Millisecond
	// holdAgain spaces holds after one without an answer, and while ends are being stored.
	holdAgain = 300 * time.Millisecond
	// clockDrift is how slow a worker's clock may be, and clockMargin covers the times of messages.
	clockDrift  = 1.03
	clockMargin = 300 * time.Millisecond
	// earlierOwner is how long an earlier owner may have renewed leases after the claim that ended its term: until
	// its next call to any worker that knows the new epoch.
	earlierOwner = 2 * time.Second
)

// memberKey names a run of a task on a worker.
type memberKey struct {
	name   string
	number uint32
}

// host is a worker as the owner sees it.
type host struct {
	id    string
	entry worker.RegistryEntry
	// listed tells that the platform's list has it; confirmed that it knows this epoch and has told what it runs.
	listed, confirmed bool
	// reserved tells that it is being emptied for the upkeep of its machine.
	reserved bool
	// leavesAt is when a draining worker may leave.
	leavesAt time.Time
	// clockMs is the worker's clock at clockAt; 0 if unknown.
	clockMs int64
	clockAt time.Time
	born    int64
	members map[memberKey]*member
	// strangers is the room of runs that no job knows; they are told to stop.
	strangers assign.Resources
	// processed is the newest end that was handled, acknowledged the newest that the worker may forget, and
	// told the one that it was told.
	processed, acknowledged, told int64
	storing                       int
	holding                       bool
	nextHold                      time.Time
	// leaseEnd is when everything that was ordered there is over, if nothing more is heard.
	leaseEnd time.Time
	// doubted tells that the last call had no answer.
	doubted bool
	health  learned.Health
	speed   learned.Speed
}

// host returns a worker; one that isn't listed can't be reached, and what may run there has to lapse.
func (s *session) host(id string) *host {
	if known, ok := s.workers[id]; ok {
		return known
	}
	longest := time.Duration(float64(s.Options.MaxLease)*clockDrift) + earlierOwner
	added := &host{id: id, members: map[memberKey]*member{}, leaseEnd: s.term.ClaimedAt.Add(longest)}
	s.inherit(added)
	s.workers[id] = added
	return added
}

// registryReader hands the platform's list to the loop.
type registryReader struct{ s *session }

// Apply implements storelog.Reader.
func (r registryReader) Apply(records []storelog.Record) {
	r.s.post(func() {
		for _, record := range records {
			r.s.listed(record)
		}
	})
}

// Ready implements storelog.Reader.
func (r registryReader) Ready() {
	r.s.post(func() { r.s.registered = true })
}

// listed takes over a worker's entry.
func (s *session) listed(record storelog.Record) {
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
	h := s.host(entry.ID)
	if h.listed && h.entry.Address != entry.Address {
		s.replaced(h)
	}
	if !h.listed || h.entry.Draining != entry.Draining {
		s.dirty = true
	}
	if entry.Draining && (!h.entry.Draining || !h.listed) {
		h.leavesAt = s.now.Add(entry.Remaining)
	}
	h.entry, h.listed = entry, true
	s.look(h)
}

// sound tells whether tasks may start on a worker.
func (s *session) sound(h *host) bool {
	return h.listed && h.confirmed && !h.reserved && !h.entry.Draining && !h.doubted && !h.health.Quarantined(s.now)
}

// usable tells whether a worker gets new tasks: one on trial has one at a time.
func (s *session) usable(h *host) bool {
	return s.sound(h) && (!h.health.OnTrial() || len(h.members) == 0)
}

// free is a worker's room that is certainly unused, and the room that stopping runs still use.
func (h *host) free() (free, freeing assign.Resources) {
	free = assign.ResourcesFromProto(h.entry.Capacity).Sub(h.strangers)
	for _, member := range h.members {
		free = free.Sub(member.room)
		if member.run.stopping != "" {
			freeing = freeing.Add(member.room)
		}
	}
	return free, freeing
}

func (s *session) orderContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, orderTimeout)
}

// refusalOf returns why a worker refused; 0 if it didn't answer or didn't refuse.
func refusalOf(err error) worker.Refusal {
	var refused *worker.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal
	}
	return 0
}

// heard notes what any answer says.
func (s *session) heard(h *host, reply worker.Reply) {
	if reply.ClockMs > 0 {
		h.clockMs, h.clockAt = reply.ClockMs, s.now
	}
}

// doubt keeps new tasks from a worker that didn't answer, until it does. An answer that this instance was too busy to take
// in time says nothing of the worker.
func (s *session) doubt(h *host) {
	if !h.doubted && !s.busy() {
		h.doubted = true
		s.Events.Log(events.WorkerUnresponsive, "worker", h.id, "members", len(h.members), "lease_left_ms", h.leaseEnd.Sub(s.now).Milliseconds())
	}
	s.holdSoon(h)
}

// grant extends what the worker may be asked to hold, and returns the end of the lease on its clock.
func (s *session) grant(h *host) int64 {
	lease := min(s.Options.MaxLease, leaseTerm)
	clock := h.clockMs + s.now.Sub(h.clockAt).Milliseconds()
	end := s.now.Add(time.Duration(float64(lease)*clockDrift) + clockMargin)
	if end.After(h.leaseEnd) {
		h.leaseEnd = end
	}
	return clock + lease.Milliseconds()
}

// needsHold tells whether a worker has to be asked or told something.
func (h *host) needsHold() bool {
	if h.entry.Address == "" {
		return false
	}
	return len(h.members) > 0 || h.told < h.acknowledged || h.strangers != (assign.Resources{}) || (h.listed && (!h.confirmed || h.doubted))
}

// missingSince is since when a member has been in neither of the worker's lists; zero if all are.
func (h *host) missingSince() time.Time {
	var first time.Time
	for _, member := range h.members {
		if !member.missing.IsZero() && (first.IsZero() || member.missing.Before(first)) {
			first = member.missing
		}
	}
	return first
}

// holdSoon makes the next look ask the worker at once.
func (s *session) holdSoon(h *host) {
	h.nextHold = s.now
	if !h.holding {
		s.look(h)
	}
}

// look asks a worker what runs when that is due, and gives up what a silent worker held.
func (s *session) look(h *host) {
	if !h.holding && h.needsHold() && !s.now.Before(h.nextHold) {
		s.hold(h)
	}
	if s.now.After(h.leaseEnd) && len(h.members) > 0 && (h.doubted || !h.confirmed) {
		s.Events.Log(events.WorkerLost, "worker", h.id, "members", len(h.members))
		s.lapse(h)
	}
	if !h.listed && len(h.members) == 0 && !h.holding && h.told >= h.acknowledged {
		delete(s.workers, h.id)
	}
}

// lapse resolves all that was ordered on a worker.
func (s *session) lapse(h *host) {
	for _, member := range h.members {
		if member.phase != recording {
			s.resolve(member, worker.LeaseExpired)
		}
	}
}

// replaced notes that another incarnation answers: what the worker ran is over.
func (s *session) replaced(h *host) {
	s.Events.Log(events.WorkerLost, "worker", h.id, "members", len(h.members), "reason", "another incarnation answers")
	h.listed, h.confirmed, h.reserved = false, false, false
	s.lapse(h)
}

// quarantine keeps new tasks from a worker for a time.
func (s *session) quarantine(h *host, why string) {
	s.Events.Log(events.WorkerQuarantined, "worker", h.id, "strikes", h.health.RecordFailure(s.now), "reason", why)
}
