package dispatch

import (
	"context"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// newAddress is an entry of the registry with another address than its worker has answered at. Another writer may have written it, so
// the worker keeps its address until another incarnation answers at the new one, or until its leases have expired.
type newAddress struct {
	worker.RegistryEntry
	polling  bool
	nextPoll time.Time
}

// recordNewAddress records that the registry names another address than a worker's.
func (s *session) recordNewAddress(ws *workerState, entry worker.RegistryEntry) {
	if ws.newAddress == nil || ws.newAddress.Address != entry.Address {
		ws.newAddress = &newAddress{nextPoll: s.now}
	}
	ws.newAddress.RegistryEntry = entry
	s.checkNewAddress(ws)
}

// checkNewAddress takes over the address that the registry names once the worker is gone from its own, or is silent and all that it ran has
// ended. Until then it polls that address.
func (s *session) checkNewAddress(ws *workerState) {
	next := ws.newAddress
	switch {
	case next == nil:
	case !ws.confirmed, ws.unresponsive && s.now.After(ws.leaseEnd) && !ws.hasSentMembers():
		ws.confirmed = false
		s.applyEntry(ws, next.RegistryEntry)
	case !next.polling && !s.now.Before(next.nextPoll):
		s.pollNewAddress(ws, next)
	}
}

// pollNewAddress polls the address that the registry names. Only an answer of another incarnation shows that the worker's has ended.
func (s *session) pollNewAddress(ws *workerState, next *newAddress) {
	next.polling = true
	target := worker.Target{ID: ws.id, Address: next.Address}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, pollTimeoutMargin)
		defer cancel()
		report, err := s.Client.Poll(ctx, target, worker.Poll{Fence: s.term.Epoch})
		s.post(func() {
			next.polling, next.nextPoll = false, s.now.Add(pollRetryDelay)
			if err != nil || ws.newAddress != next || report.StartedAtMs == 0 || report.StartedAtMs == ws.startedAtMs {
				return
			}
			s.handleNewIncarnation(ws, signReport)
			s.applyEntry(ws, next.RegistryEntry)
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
