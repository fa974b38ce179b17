package gang

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// StartError says which worker kept a gang from starting. The gang was released as a whole.
type StartError struct {
	Worker string
	// Status is the worker's word, or UNSPECIFIED when it gave none.
	Status apiv1.LeaseStatus
	// Logged tells whether the start is in the ledger already, so that the run needs an end there.
	Logged bool
	// Cause is the error of the call, or nil.
	Cause error
}

// Error names the worker and the remedy.
func (e *StartError) Error() string {
	what := e.Status.String()
	if e.Cause != nil {
		what = e.Cause.Error()
	}
	return fmt.Sprintf("worker %s kept the gang from starting (%s): place the gang elsewhere", e.Worker, what)
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

// startError describes a failed outcome.
func startError(failed outcome, logged bool) *StartError {
	return &StartError{Worker: failed.member.worker, Status: failed.status, Logged: logged, Cause: failed.err}
}

// Start reserves, logs and starts run job.Run of a job on job.Placement, whose epoch must be the
// manager's. It returns nil when all members run. A *StartError names the worker that refused; any
// other error is that of Log, ErrFenced or ErrBusy. On every error the gang was released.
func (m *Manager) Start(ctx context.Context, job *apiv1.Job) error {
	g := newGang(job)
	if err := m.register(g, reserving); err != nil {
		return err
	}
	err := m.startTwoPhase(ctx, g, job)
	if err != nil {
		m.release(ctx, g)
		m.forget(g)
		return err
	}
	m.finishIfDone(ctx, g)
	return nil
}

func (m *Manager) startTwoPhase(ctx context.Context, g *gang, job *apiv1.Job) error {
	if err := m.reserve(ctx, g); err != nil {
		return err
	}
	if err := m.config.Log(ctx, placedRecord(job)); err != nil {
		return errors.Wrap(err, "log the start")
	}
	if err := m.stillReserved(g); err != nil {
		return err
	}
	if failed, is := m.startMembers(ctx, g); is {
		return startError(failed, true)
	}
	return m.becomeRunning(g)
}

// placedRecord is the record that makes a start durable.
func placedRecord(job *apiv1.Job) *apiv1.Record {
	return &apiv1.Record{
		Body: &apiv1.Record_GangPlaced{GangPlaced: &apiv1.GangPlaced{
			Id:        job.GetId(),
			Run:       job.GetRun(),
			Placement: job.GetPlacement(),
		}},
	}
}

// reserve asks for every member's lease. Once all are held the rounds renew them.
func (m *Manager) reserve(ctx context.Context, g *gang) error {
	sent := time.Now()
	outcomes := m.broadcast(ctx, apiv1.LeaseOperation_LEASE_OPERATION_RESERVE, g.members, m.callTimeout())
	if failed, is := firstFailure(outcomes); is {
		return startError(failed, false)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	g.enterRounds(reserved, sent, m.config.Term)
	return nil
}

// enterRounds counts the leases as renewed by calls sent at the instant.
func (g *gang) enterRounds(next phase, sent time.Time, term time.Duration) {
	g.phase = next
	g.sent = sent
	g.deadline = sent.Add(term)
	now := time.Now()
	for _, each := range g.members {
		each.acked = true
		each.answered = now
	}
}

// stillReserved tells whether the reservation outlived the logging of the start.
func (m *Manager) stillReserved(g *gang) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFenced {
		return ErrFenced
	}
	if g.failure != nil {
		g.failure.Logged = true
		return g.failure
	}
	if !time.Now().Before(g.deadline) {
		return &StartError{Worker: "", Status: apiv1.LeaseStatus_LEASE_STATUS_NOT_HELD, Logged: true}
	}
	return nil
}

// startMembers starts all members at once. Those whose answer is lost are started again, which is
// idempotent, until the start window is over. It returns the first member that did not start.
func (m *Manager) startMembers(ctx context.Context, g *gang) (outcome, bool) {
	m.mu.Lock()
	g.started = true
	m.mu.Unlock()
	end := time.Now().Add(m.config.StartWindow)
	waiting := g.members
	for {
		outcomes := m.broadcast(ctx, apiv1.LeaseOperation_LEASE_OPERATION_START, waiting, time.Until(end))
		failed, is := firstFailure(outcomes)
		if !is {
			return outcome{}, false
		}
		waiting = nil
		for _, each := range outcomes {
			if each.err == nil && !each.ok() {
				return each, true
			}
			if each.err != nil {
				waiting = append(waiting, each.member)
			}
		}
		if time.Until(end) <= m.retryPause() || !sleep(ctx, m.retryPause()) {
			return failed, true
		}
	}
}

// becomeRunning ends the start, unless the gang was lost meanwhile.
func (m *Manager) becomeRunning(g *gang) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isFenced {
		return ErrFenced
	}
	if g.failure != nil {
		g.failure.Logged = true
		return g.failure
	}
	g.phase = running
	return nil
}

// retryPause is the wait before a call without an answer is made again.
func (m *Manager) retryPause() time.Duration {
	return min(m.attempt(), m.config.StartWindow) / 4
}

// sleep waits and reports whether the context still holds.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
