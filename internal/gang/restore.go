package gang

import (
	"context"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Restore takes over the placed gangs of the data centre for a new owner: it claims their leases under
// the manager's epoch, starts members that the last owner had only reserved, and has the rounds renew
// each gang that is held whole. It prolongs no lease of a gang before all its members are claimed. Call it once, with
// all placed jobs of the data centre, before Run: tasks of other jobs are stopped as orphans. It does
// not wait for the workers. A gang that is not held whole any more is stopped and reported as lost.
// Errors are ErrFenced and ErrBusy.
func (m *Manager) Restore(ctx context.Context, jobs []*apiv1.Job) error {
	gangs := make([]*gang, 0, len(jobs))
	now := time.Now()
	for _, job := range jobs {
		g := newGang(job)
		g.started = true
		for _, each := range g.members {
			each.answered = now
		}
		if err := m.register(g, adopting); err != nil {
			return err
		}
		gangs = append(gangs, g)
	}
	m.tasks.Go(func() { m.adopt(ctx, gangs) })
	return nil
}

// adopt claims the gangs, again and again for one term, until each is held whole or lost.
func (m *Manager) adopt(ctx context.Context, gangs []*gang) {
	end := time.Now().Add(m.config.Term)
	for len(gangs) > 0 && !m.over(ctx) {
		if !time.Now().Before(end) {
			m.abandon(ctx, gangs)
			return
		}
		sent := time.Now()
		outcomes := m.broadcast(ctx, apiv1.LeaseOperation_LEASE_OPERATION_CLAIM, allMembers(gangs), m.callTimeout())
		whole, silent := m.sortAdopted(ctx, outcomes)
		gangs = append(silent, m.startAdopted(ctx, whole, sent)...)
		m.renewSoon()
		if len(gangs) > 0 {
			sleep(ctx, m.retryPause())
		}
	}
}

// renewSoon asks for a round at once.
func (m *Manager) renewSoon() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// sortAdopted tells gangs that are held whole from those with a member that gave no answer. Gangs that
// lost a member are ended.
func (m *Manager) sortAdopted(ctx context.Context, outcomes []outcome) (whole, silent []*gang) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for start := 0; start < len(outcomes); {
		g := outcomes[start].member.gang
		next := start + len(g.members)
		failed, is := worst(outcomes[start:next])
		switch {
		case !is:
			whole = append(whole, g)
		case failed.err != nil:
			silent = append(silent, g)
		default:
			m.end(ctx, g, apiv1.RunResult_RUN_RESULT_LOST, failed.member.worker)
		}
		start = next
	}
	return whole, silent
}

// worst returns a refused outcome before one without an answer.
func worst(outcomes []outcome) (outcome, bool) {
	for _, each := range outcomes {
		if each.err == nil && !each.ok() {
			return each, true
		}
	}
	return firstFailure(outcomes)
}

// startAdopted starts the members of gangs that are held whole; a member that runs already goes on. It
// returns the gangs with a member that gave no answer.
func (m *Manager) startAdopted(ctx context.Context, gangs []*gang, sent time.Time) []*gang {
	outcomes := m.broadcast(ctx, apiv1.LeaseOperation_LEASE_OPERATION_START, allMembers(gangs), m.config.StartWindow)
	m.mu.Lock()
	defer m.mu.Unlock()
	var silent []*gang
	for start := 0; start < len(outcomes); {
		g := outcomes[start].member.gang
		next := start + len(g.members)
		failed, is := worst(outcomes[start:next])
		switch {
		case !is:
			g.enterRounds(running, sent, m.config.Term)
			m.finishDone(ctx, g)
		case failed.err != nil:
			silent = append(silent, g)
		default:
			m.end(ctx, g, adoptedResult(failed), failed.member.worker)
		}
		start = next
	}
	return silent
}

// adoptedResult is the end of a run whose start the takeover could not complete.
func adoptedResult(failed outcome) apiv1.RunResult {
	if failed.status == apiv1.LeaseStatus_LEASE_STATUS_START_FAILED {
		return apiv1.RunResult_RUN_RESULT_FAILED
	}
	return apiv1.RunResult_RUN_RESULT_LOST
}

// abandon ends gangs of which a worker gave no answer for a whole term.
func (m *Manager) abandon(ctx context.Context, gangs []*gang) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range gangs {
		m.end(ctx, g, apiv1.RunResult_RUN_RESULT_LOST, "")
	}
}

// allMembers returns the members of the gangs, gang after gang.
func allMembers(gangs []*gang) []*member {
	var members []*member
	for _, g := range gangs {
		members = append(members, g.members...)
	}
	return members
}
