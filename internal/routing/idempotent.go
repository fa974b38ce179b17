package routing

import (
	"context"
	"sync"
	"time"
)

// doIdempotent runs a request that may run more than once: another worker is tried while deadline, budget
// and MaxAttempts allow.
func (r *Router) doIdempotent(ctx context.Context, request Request) Answer {
	if !r.work.begin() {
		return unclaimed(request, &refusal{kind: KindDraining, retryAfter: minRetryAfter})
	}
	defer r.work.end()
	run := &idempotentRun{router: r, request: &request, id: r.nextID()}
	run.checksum = checksumOf(request.Payload)
	return run.do(ctx)
}

// idempotentRun is one idempotent request under way.
type idempotentRun struct {
	router   *Router
	request  *Request
	id       string
	checksum uint64

	mu       sync.Mutex
	attempts int
	avoid    []string
	// maybeRan is set when a dispatch ended without proof that it did not run.
	maybeRan bool
}

func (run *idempotentRun) do(ctx context.Context) Answer {
	for {
		w, refused := run.router.sched.acquire(ctx, run.router.demand(run.request, run.avoid))
		if refused != nil {
			return run.unanswered(refused)
		}
		end := run.sendHedged(ctx, w)
		if end.verdict.answered() {
			return end.answer(run.count())
		}
		if ctx.Err() != nil {
			return run.unanswered(&refusal{kind: kindOfEnd(ctx)})
		}
		if run.attempts >= MaxAttempts || !run.router.mayRetry() {
			return run.unanswered(&refusal{kind: KindNoWorker, retryAfter: minRetryAfter})
		}
		run.router.counters.retries.Add(1)
	}
}

// mayRetry takes one retry from the budget.
func (r *Router) mayRetry() bool {
	if r.budget.spend(time.Now()) {
		return true
	}
	r.counters.budgetEmpty.Add(1)
	return false
}

// unanswered ends the request without an answer.
func (run *idempotentRun) unanswered(why *refusal) Answer {
	answer := why.answer(run.attempts)
	if run.request.Retry {
		answer.Outcome = Unknown
	}
	if run.maybeRan {
		answer.Outcome = Unknown
		if why.kind != KindDeadline && why.kind != KindCancelled {
			answer.Kind = KindAnswerLost
		}
	}
	return answer
}

// count returns the dispatches so far; a hedge may still be under way.
func (run *idempotentRun) count() int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.attempts
}

// prepare numbers the next dispatch.
func (run *idempotentRun) prepare(w *worker) dispatch {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.attempts++
	run.avoid = append(run.avoid, w.name)
	return dispatch{request: run.request, id: run.id, checksum: run.checksum, attempt: run.attempts, worker: w}
}

// send dispatches once and notes whether the request may have run.
func (run *idempotentRun) send(ctx context.Context, w *worker) result {
	end := run.router.send(ctx, run.prepare(w))
	if !end.verdict.answered() && !end.verdict.provesNotRun() {
		run.mu.Lock()
		run.maybeRan = true
		run.mu.Unlock()
	}
	return end
}

// sendHedged dispatches to the worker and, when its answer is late and the budget allows, to a second one. The
// first answer wins and the other dispatch is cancelled.
func (run *idempotentRun) sendHedged(ctx context.Context, w *worker) result {
	delay, known := run.router.latency[run.request.Class].hedgeDelay()
	if !known || run.attempts+2 > MaxAttempts {
		return run.send(ctx, w)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hedged := make(chan result, 1)
	timer := time.AfterFunc(delay, func() { hedged <- run.hedge(ctx, cancel) })
	end := run.send(ctx, w)
	if timer.Stop() {
		return end
	}
	if end.verdict.answered() {
		return end
	}
	second := <-hedged
	if second.verdict.answered() {
		run.router.counters.hedgeWins.Add(1)
	}
	return second
}

// hedge dispatches to a second worker if one is free and the budget allows. An answer cancels the first.
func (run *idempotentRun) hedge(ctx context.Context, cancelFirst context.CancelFunc) result {
	r := run.router
	none := result{verdict: verdictCancelled}
	if !r.work.beginMore() {
		return none
	}
	defer r.work.end()
	run.mu.Lock()
	avoid := append([]string(nil), run.avoid...)
	run.mu.Unlock()
	w := r.sched.tryAcquire(r.demand(run.request, avoid))
	if w == nil {
		return none
	}
	if !r.mayRetry() {
		r.sched.release(w, verdictCancelled)
		return none
	}
	r.counters.hedges.Add(1)
	end := run.send(ctx, w)
	if end.verdict.answered() {
		cancelFirst()
	}
	return end
}
