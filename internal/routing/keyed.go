package routing

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// doKeyed runs a non-idempotent request at most once, or finds out what became of an earlier one with its key.
func (r *Router) doKeyed(ctx context.Context, request Request) Answer {
	id := keyID{account: request.Account, key: request.Key}
	checksum := checksumOf(request.Payload)
	for {
		e, created := r.table.join(id, func() *entry { return newEntry(r.base, id, checksum, request.Deadline) })
		if created {
			r.start(e, request)
		} else {
			r.counters.joined.Add(1)
		}
		end := r.awaitEntry
		if e.checksum != checksum {
			end = r.awaitOther
		}
		answer, again := end(ctx, e, request, created)
		if !again {
			return answer
		}
	}
}

func newEntry(base context.Context, id keyID, checksum uint64, deadline time.Time) *entry {
	e := &entry{id: id, checksum: checksum, ended: make(chan struct{}), freed: make(chan struct{})}
	e.ctx, e.cancel = context.WithDeadline(base, deadline)
	return e
}

func conflict() Answer {
	return Answer{Outcome: NotRun, Kind: KindKeyConflict}
}

// awaitEntry waits for the entry's end. Again is true when the entry ended before this call joined it without
// having run, and its key is free for a new one.
func (r *Router) awaitEntry(ctx context.Context, e *entry, request Request, created bool) (answer Answer, again bool) {
	joinedLate := !created && isClosed(e.ended)
	if !await(ctx, e.ended) {
		return r.leaveEntry(ctx, e, request), false
	}
	r.table.leave(e)
	if !joinedLate || e.answer.Outcome != NotRun {
		return answerFor(e, request), false
	}
	if await(ctx, e.freed) {
		return Answer{}, true
	}
	// The release may be in the log already and another instance may have run the request since.
	return Answer{Outcome: Unknown, Kind: KindClaimUnavailable, RetryAfter: minRetryAfter}, false
}

// answerFor is an ended entry's answer to a caller that joined before the end.
func answerFor(e *entry, request Request) Answer {
	if !e.undecided {
		return e.answer
	}
	request.Retry = request.Retry || e.repeat
	return unclaimed(request, &refusal{kind: e.answer.Kind, retryAfter: e.answer.RetryAfter})
}

// awaitOther waits for the end of an entry that has this key, but another request. Only if the other's claim
// won, or the log says that another request's did, is this one known not to have run.
func (r *Router) awaitOther(ctx context.Context, e *entry, request Request, _ bool) (answer Answer, again bool) {
	defer r.table.leave(e)
	if !await(ctx, e.ended) {
		return unclaimed(request, &refusal{kind: kindOfEnd(ctx)}), false
	}
	if r.table.wonClaim(e) {
		return conflict(), false
	}
	if await(ctx, e.freed) {
		return Answer{}, true
	}
	return unclaimed(request, &refusal{kind: kindOfEnd(ctx)}), false
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// leaveEntry answers a caller that stops waiting before the entry ended.
func (r *Router) leaveEntry(ctx context.Context, e *entry, request Request) Answer {
	why := &refusal{kind: kindOfEnd(ctx)}
	switch r.table.leave(e) {
	case phaseClaimed:
		return why.answer(0)
	case phaseUnclaimed:
		why.kind = KindClaimUnavailable
		return unclaimed(request, why)
	case phaseEnded:
		return answerFor(e, request)
	default:
		return Answer{Outcome: Unknown, Kind: why.kind}
	}
}

// unclaimed is the refusal of a request whose key this instance could not claim. A first request did not run, for it
// is dispatched only under its claim; what an earlier one with the same key did isn't known.
func unclaimed(request Request, why *refusal) Answer {
	answer := why.answer(0)
	if request.Retry {
		answer.Outcome = Unknown
	}
	return answer
}

// start runs the entry beside the calls that wait for it.
func (r *Router) start(e *entry, request Request) {
	if !r.work.begin() {
		r.refuseNew(e)
		return
	}
	go func() {
		defer r.work.end()
		r.runEntry(e, request)
	}()
}

// refuseNew ends an entry of a draining instance: by the log if it knows the key, else as refused.
func (r *Router) refuseNew(e *entry) {
	state := r.config.Claims.Lookup(e.id.account, e.id.key)
	if state.Status == ClaimFree {
		r.endRefused(e, &refusal{kind: KindDraining, retryAfter: minRetryAfter})
		return
	}
	r.endFree(e, r.fromLog(e, state))
}

// endRefused ends an entry before its claim was proposed.
func (r *Router) endRefused(e *entry, why *refusal) {
	r.table.endUndecided(e, why)
	r.table.release(e)
}

// endFree ends an entry that holds no claim.
func (r *Router) endFree(e *entry, answer Answer) {
	r.table.end(e, answer)
	r.table.release(e)
}

// runEntry claims the key and runs the request, or ends the entry by the truth about an earlier claim.
func (r *Router) runEntry(e *entry, request Request) {
	state := r.config.Claims.Lookup(request.Account, request.Key)
	proposed := false
	for {
		if state.Status == ClaimFree {
			if why := r.checkBeforeClaim(request); why != nil {
				r.endRefused(e, why)
				return
			}
			var err error
			state, err = r.claim(e)
			if err != nil {
				r.claimFailed(e, err)
				return
			}
			proposed = true
		}
		if state.Status == ClaimOurs {
			r.runOurs(e, request)
			return
		}
		next, followed := r.follow(e, state, proposed)
		if followed {
			return
		}
		state = next
	}
}

// checkBeforeClaim refuses what would not be dispatched anyway, so that it costs the log nothing.
func (r *Router) checkBeforeClaim(request Request) *refusal {
	if r.claiming.Load() >= int64(r.config.QueueLimit) {
		r.counters.refusedFull.Add(1)
		return &refusal{kind: KindQueueFull, retryAfter: minRetryAfter}
	}
	return r.sched.check(r.demand(&request, nil))
}

// claim proposes the claim; the number of those that wait for the log is bounded by checkBeforeClaim.
func (r *Router) claim(e *entry) (ClaimState, error) {
	r.claiming.Add(1)
	defer r.claiming.Add(-1)
	return r.config.Claims.Claim(e.ctx, e.id.account, e.id.key, e.checksum)
}

// claimFailed ends an entry whose claim was not decided. It is never dispatched, so a claim that may
// still enter the log is released.
func (r *Router) claimFailed(e *entry, err error) {
	r.counters.claimsUnavailable.Add(1)
	why := &refusal{kind: KindClaimUnavailable, retryAfter: minRetryAfter}
	if errors.Is(err, ErrClaimNotMade) {
		r.endRefused(e, why)
		return
	}
	r.recordRelease(e)
	r.table.endUndecided(e, why)
}

// endNotRun ends a claimed entry that certainly did not run and frees its key.
func (r *Router) endNotRun(e *entry, why *refusal, attempts int) {
	r.recordRelease(e)
	r.table.end(e, why.answer(attempts))
}

// runOurs runs the request of an entry whose claim won.
func (r *Router) runOurs(e *entry, request Request) {
	r.counters.claims.Add(1)
	if !r.table.advance(e, phaseClaimed) {
		r.endNotRun(e, &refusal{kind: kindOfEnd(e.ctx)}, 0)
		return
	}
	r.runClaimed(e, request)
}

// runClaimed dispatches a claimed request until a worker may have started it.
func (r *Router) runClaimed(e *entry, request Request) {
	ctx, cancel := context.WithDeadline(r.base, request.Deadline.Add(answerGrace))
	defer cancel()
	id := r.nextID()
	var avoid []string
	for attempt := 1; ; attempt++ {
		w, why := r.sched.acquire(e.ctx, r.demand(&request, avoid))
		if why != nil {
			r.endNotRun(e, why, attempt-1)
			return
		}
		if !r.table.advance(e, phaseDispatched) {
			r.sched.release(w, verdictCancelled)
			r.endNotRun(e, &refusal{kind: kindOfEnd(e.ctx)}, attempt-1)
			return
		}
		end := r.send(ctx, dispatch{request: &request, id: id, checksum: e.checksum, attempt: attempt, worker: w})
		if !end.verdict.provesNotRun() {
			r.endRan(e, end, attempt)
			return
		}
		r.table.advance(e, phaseClaimed)
		if attempt >= MaxAttempts || !r.mayRetry() {
			r.endNotRun(e, &refusal{kind: KindNoWorker, retryAfter: minRetryAfter}, attempt)
			return
		}
		r.counters.retries.Add(1)
		avoid = append(avoid, w.name)
	}
}

// endRan ends an entry whose request ran or may have run; its key stays held for ever.
func (r *Router) endRan(e *entry, end result, attempts int) {
	if !end.verdict.answered() {
		r.table.end(e, Answer{Outcome: Unknown, Kind: KindAnswerLost, Attempts: attempts})
		return
	}
	if e.ctx.Err() != nil {
		r.counters.late.Add(1)
	}
	answer := end.answer(attempts)
	r.recordEnd(e, answer)
	r.table.end(e, answer)
}
