package gang

import (
	"context"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// renewal is one call of a round to one worker.
type renewal struct {
	worker  string
	members []*member
	// rounds are the gang rounds that the members are renewed for.
	rounds []uint64
	// whole: the members are all that the owner knows on the worker.
	whole bool
}

// tick ends the gangs whose lease is over, begins a round when it is time for one, and renews what is
// still to be confirmed: one call a worker for all gangs.
func (m *Manager) tick(ctx context.Context, begin bool) {
	for _, call := range m.plan(ctx, time.Now(), begin) {
		m.tasks.Go(func() { m.renew(ctx, call) })
	}
}

// plan returns the calls of a tick.
func (m *Manager) plan(ctx context.Context, now time.Time, begin bool) []*renewal {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFenced {
		return nil
	}
	if begin {
		m.round++
	}
	calls := map[string]*renewal{}
	known := map[string]int{}
	for _, g := range m.sortedGangs() {
		if g.phase.renewed() {
			m.endIfOver(ctx, g, now)
		}
		if g.phase.renewed() && begin && g.complete() {
			g.openRound(m.round, now)
		}
		for _, each := range g.members {
			known[each.worker]++
			if g.phase.renewed() && !each.acked && !m.inFlight[each.worker] {
				addRenewal(calls, each)
			}
		}
	}
	planned := make([]*renewal, 0, len(calls))
	for _, worker := range slices.Sorted(maps.Keys(calls)) {
		call := calls[worker]
		call.whole = len(call.members) == known[worker] && call.isOfRound(m.round)
		m.inFlight[worker] = true
		planned = append(planned, call)
	}
	return planned
}

// endIfOver ends a gang whose lease ran out for its holder. The caller holds the lock.
func (m *Manager) endIfOver(ctx context.Context, g *gang, now time.Time) {
	if now.Before(g.deadline) {
		return
	}
	worker := ""
	if silent := slices.IndexFunc(g.members, func(each *member) bool { return !each.acked }); silent >= 0 {
		worker = g.members[silent].worker
	}
	m.lose(ctx, g, apiv1.RunResult_RUN_RESULT_LOST, worker, apiv1.LeaseStatus_LEASE_STATUS_UNSPECIFIED)
}

// complete tells whether all members confirmed the current round.
func (g *gang) complete() bool {
	return !slices.ContainsFunc(g.members, func(each *member) bool { return !each.acked })
}

// openRound begins the next round.
func (g *gang) openRound(round uint64, now time.Time) {
	g.round = round
	g.sent = now
	for _, each := range g.members {
		each.acked = false
	}
}

// isOfRound tells whether all members of the call are renewed for the round.
func (call *renewal) isOfRound(round uint64) bool {
	return !slices.ContainsFunc(call.rounds, func(other uint64) bool { return other != round })
}

// addRenewal puts a member into its worker's call.
func addRenewal(calls map[string]*renewal, each *member) {
	call := calls[each.worker]
	if call == nil {
		call = &renewal{worker: each.worker}
		calls[each.worker] = call
	}
	call.members = append(call.members, each)
	call.rounds = append(call.rounds, each.gang.round)
}

// renew makes one call of a round and notes what the worker confirmed.
func (m *Manager) renew(ctx context.Context, call *renewal) {
	reply, err := m.sendRenewal(ctx, call)
	m.config.Notify(Event{Worker: &WorkerContact{Worker: call.worker, Answered: err == nil}})

	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[call.worker] = false
	if err != nil {
		return
	}
	m.noteReport(ctx, call.worker, reply.GetReportVersion())
	for i, each := range call.members {
		status := apiv1.LeaseStatus_LEASE_STATUS_OK
		if i < len(reply.GetResults()) {
			status = reply.GetResults()[i].GetStatus()
		}
		m.confirm(ctx, each, call.rounds[i], status)
	}
}

// sendRenewal renews the members of a call, by their digest if that is possible.
func (m *Manager) sendRenewal(ctx context.Context, call *renewal) (*apiv1.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	reply, err := m.renewWhole(ctx, call)
	if err != nil {
		return nil, err
	}
	if reply != nil && !reply.GetMismatch() {
		return reply, nil
	}
	m.stopOrphans(ctx, call.worker, reply.GetHeld())
	return m.renewListed(ctx, call)
}

// renewWhole renews all tasks of a worker by their digest. It returns no reply when the members are
// not all that the owner knows there.
func (m *Manager) renewWhole(ctx context.Context, call *renewal) (*apiv1.LeaseReply, error) {
	if !call.whole {
		return nil, nil
	}
	request := &apiv1.LeaseRequest{Operation: apiv1.LeaseOperation_LEASE_OPERATION_RENEW, All: true}
	for _, each := range call.members {
		request.Digest += each.hash
	}
	return m.send(ctx, call.worker, request)
}

// renewListed renews the members one by one in one call.
func (m *Manager) renewListed(ctx context.Context, call *renewal) (*apiv1.LeaseReply, error) {
	request := &apiv1.LeaseRequest{Operation: apiv1.LeaseOperation_LEASE_OPERATION_RENEW}
	for i, each := range call.members {
		request.Leases = append(request.Leases, &apiv1.Lease{Task: each.lease.GetTask(), Round: call.rounds[i]})
	}
	return m.send(ctx, call.worker, request)
}

// confirm notes a worker's word on a member for a round.
func (m *Manager) confirm(ctx context.Context, each *member, round uint64, status apiv1.LeaseStatus) {
	g := each.gang
	if !g.phase.renewed() || g.round != round {
		return
	}
	if status != apiv1.LeaseStatus_LEASE_STATUS_OK {
		m.lose(ctx, g, apiv1.RunResult_RUN_RESULT_LOST, each.worker, status)
		return
	}
	each.acked = true
	each.answered = time.Now()
	if g.complete() {
		g.deadline = g.sent.Add(m.config.Term)
	}
}

// stopOrphans stops tasks on a worker that no gang of the manager knows.
func (m *Manager) stopOrphans(ctx context.Context, worker string, held []*apiv1.TaskId) {
	request := &apiv1.LeaseRequest{Operation: apiv1.LeaseOperation_LEASE_OPERATION_STOP}
	m.mu.Lock()
	for _, task := range held {
		if g := m.gangs[task.GetJob()]; g == nil || !g.is(task) {
			request.Leases = append(request.Leases, &apiv1.Lease{Task: task})
		}
	}
	m.mu.Unlock()
	if len(request.Leases) > 0 {
		_, _ = m.send(ctx, worker, request)
	}
}
