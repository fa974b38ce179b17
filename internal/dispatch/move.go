package dispatch

import (
	"context"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// movedEntry is an entry of the registry with another address than its worker has answered at. Another writer may have written it, so
// the worker keeps its address until another incarnation answers at the new one, or until its leases have expired.
type movedEntry struct {
	worker.RegistryEntry
	asking  bool
	nextAsk time.Time
}

// recordMove records that the registry names another address than a worker's.
func (s *session) recordMove(ws *workerState, entry worker.RegistryEntry) {
	if ws.moved == nil || ws.moved.Address != entry.Address {
		ws.moved = &movedEntry{nextAsk: s.now}
	}
	ws.moved.RegistryEntry = entry
	s.checkMove(ws)
}

// checkMove takes over the address that the registry names once the worker is gone from its own, or is silent and all that it ran has
// ended. Until then it asks who answers there.
func (s *session) checkMove(ws *workerState) {
	moved := ws.moved
	switch {
	case moved == nil:
	case !ws.confirmed, ws.unresponsive && s.now.After(ws.leaseEnd) && !ws.hasSentMembers():
		ws.confirmed = false
		s.applyEntry(ws, moved.RegistryEntry)
	case !moved.asking && !s.now.Before(moved.nextAsk):
		s.askMoved(ws, moved)
	}
}

// askMoved asks the address that the registry names. Only an answer of another incarnation shows that the worker's has ended.
func (s *session) askMoved(ws *workerState, moved *movedEntry) {
	moved.asking = true
	target := worker.Target{ID: ws.id, Address: moved.Address}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeoutMargin)
		defer cancel()
		report, err := s.Client.Poll(ctx, target, worker.Poll{Fence: s.term.Epoch})
		s.post(func() {
			moved.asking, moved.nextAsk = false, s.now.Add(pollRetryDelay)
			if err != nil || ws.moved != moved || report.StartedAtMs == 0 || report.StartedAtMs == ws.startedAtMs {
				return
			}
			s.handleNewIncarnation(ws, signReport)
			s.applyEntry(ws, moved.RegistryEntry)
		})
	}()
}

// mayServe reports whether a worker may be of a service: what it runs is of that service, or nothing is known to run there.
func (s *session) mayServe(ws *workerState, service string) bool {
	for _, m := range ws.members {
		if spec := m.run.unit.step.job.spec; service == s.serviceOf(spec) || service == spec.GetService() {
			return true
		}
	}
	return len(ws.members) == 0
}
