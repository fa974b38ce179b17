package gang

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// wholePPM is all the work of a job.
const wholePPM = 1_000_000

// errAdopting means that the takeover of a gang is not complete.
var errAdopting = errors.New("the gang is being taken over: try again")

// Stop checkpoints a running gang, stops it as a whole and returns the share of the work kept. It stops the run
// that is named and no later one of the job. When the
// checkpoint takes longer than the bound, the gang is stopped without it and its last one counts. A
// bound of 0 takes no checkpoint. It returns when no member runs any more: each worker has
// confirmed the stop or its lease has lapsed. A gang that is being taken over is stopped once it is held.
// ErrNotHeld and ErrBusy say that the gang ends otherwise: an event tells or has told how.
func (m *Manager) Stop(ctx context.Context, jobID string, run uint32, bound time.Duration) (uint32, error) {
	g, err := m.beginStop(jobID, run)
	for errors.Is(err, errAdopting) && sleep(ctx, m.retryPause()) {
		g, err = m.beginStop(jobID, run)
	}
	if err != nil {
		return 0, err
	}
	if bound > 0 {
		m.checkpoint(ctx, g, bound)
	}
	m.release(ctx, g)
	m.forget(g)
	m.mu.Lock()
	defer m.mu.Unlock()
	return g.checkpoint, nil
}

// beginStop claims a running gang for its stop.
func (m *Manager) beginStop(jobID string, run uint32) (*gang, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.gangs[jobID]
	if g == nil || g.run != run {
		return nil, ErrNotHeld
	}
	if g.phase == adopting {
		return nil, errAdopting
	}
	if g.phase != running {
		return nil, ErrBusy
	}
	g.phase = checkpointing
	return g, nil
}

// Checkpoint checkpoints a running gang, which goes on, and returns the share of the work kept.
// Errors are ErrNotHeld and ErrBusy.
func (m *Manager) Checkpoint(ctx context.Context, jobID string, timeout time.Duration) (uint32, error) {
	m.mu.Lock()
	g := m.gangs[jobID]
	m.mu.Unlock()
	if g == nil {
		return 0, ErrNotHeld
	}
	return m.checkpoint(ctx, g, timeout), nil
}

// checkpoint asks all members for a checkpoint. It counts only when all have written it, as far as the
// member that has done least. It returns the checkpoint that counts.
func (m *Manager) checkpoint(ctx context.Context, g *gang, timeout time.Duration) uint32 {
	outcomes := m.broadcast(ctx, apiv1.LeaseOperation_LEASE_OPERATION_CHECKPOINT, g.members, timeout)
	_, failed := firstFailure(outcomes)
	m.mu.Lock()
	defer m.mu.Unlock()
	if failed {
		return g.checkpoint
	}
	kept := uint32(wholePPM)
	for _, each := range outcomes {
		kept = min(kept, each.ppm)
	}
	g.checkpoint = max(g.checkpoint, kept)
	return g.checkpoint
}

// release ends the renewal of a gang and stops its members. It returns when none can run any more:
// every worker has confirmed the stop, or the lease of a silent one has lapsed. Members that were only
// reserved never run, so it does not wait for silent workers then.
func (m *Manager) release(ctx context.Context, g *gang) {
	m.mu.Lock()
	g.phase = stopping
	started := g.started
	m.mu.Unlock()
	waiting := g.members
	for {
		outcomes := m.broadcast(ctx, apiv1.LeaseOperation_LEASE_OPERATION_STOP, waiting, m.callTimeout())
		waiting = m.stillHeld(outcomes)
		if len(waiting) == 0 || !started || m.over(ctx) || !sleep(ctx, m.retryPause()) {
			return
		}
	}
}

// over tells whether the manager has no say any more.
func (m *Manager) over(ctx context.Context) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isFenced || ctx.Err() != nil
}

// stillHeld returns the members that may run in spite of the calls.
func (m *Manager) stillHeld(outcomes []outcome) []*member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var held []*member
	for _, each := range outcomes {
		lapsed := each.member.answered.Add(lapseTerms * m.config.Term)
		if each.err != nil && now.Before(lapsed) {
			held = append(held, each.member)
		}
	}
	return held
}

// end stops a running gang on the manager's own account and tells of it.
func (m *Manager) end(ctx context.Context, g *gang, result apiv1.RunResult, worker string) {
	g.phase = stopping
	m.tasks.Go(func() {
		m.release(ctx, g)
		m.forget(g)
		m.mu.Lock()
		kept, fenced := g.checkpoint, m.isFenced
		m.mu.Unlock()
		if result == apiv1.RunResult_RUN_RESULT_FINISHED {
			kept = wholePPM
		}
		if fenced || ctx.Err() != nil {
			return
		}
		m.config.Notify(Event{Ended: &Ended{
			JobID: g.jobID, Run: g.run, Result: result, CheckpointPPM: kept, Worker: worker,
		}})
	})
}

// lose handles the loss of a member in any phase. The caller holds the lock.
func (m *Manager) lose(ctx context.Context, g *gang, result apiv1.RunResult, worker string, status apiv1.LeaseStatus) {
	switch g.phase {
	case reserved:
		if g.failure == nil {
			g.failure = &StartError{Worker: worker, Status: status}
		}
	case running:
		m.end(ctx, g, result, worker)
	default:
	}
}
