package routing

import (
	"context"
	"time"
)

// Times at the end of a drain.
const (
	// refusalReserve is the part of a drain's time, at most, that is kept for releasing what was not dispatched.
	refusalReserve = 2 * time.Second
	// refusalShare divides a short drain: its last part of that size is kept.
	refusalShare = 4
)

// Left is what a drain left behind.
type Left struct {
	// InFlight counts requests that had not ended; their callers get Unknown or nothing.
	InFlight int
	// Records counts releases and ends that the log had not taken.
	Records int
}

// Drain refuses new requests and waits until those under way have ended and their records are in the log.
// Shortly before ctx ends, requests that still wait for a worker are refused as NotRun and their claims released.
// It returns what was left at the end of ctx. Close follows.
func (r *Router) Drain(ctx context.Context) Left {
	r.work.drain()
	dispatching, cancel := r.dispatchPart(ctx)
	defer cancel()
	if !r.work.wait(dispatching) {
		r.sched.close()
		r.table.cancelWaiting()
		r.work.wait(ctx)
	}
	inFlight, records := r.work.counts()
	return Left{InFlight: inFlight, Records: records}
}

// dispatchPart is the part of a drain in which waiting requests may still get a worker.
func (r *Router) dispatchPart(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	reserve := min(time.Until(deadline)/refusalShare, refusalReserve)
	return context.WithDeadline(ctx, deadline.Add(-reserve))
}

// Close ends whatever is still under way. Dispatched requests end as Unknown.
func (r *Router) Close() {
	r.work.drain()
	r.sched.close()
	r.close()
}
