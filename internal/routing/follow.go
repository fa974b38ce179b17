package routing

import (
	"context"
	"time"

	"github.com/google/uuid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Times of asking a key's holder.
const (
	// holderWait is how long the holder is asked to wait for the end of a running request at a time.
	holderWait = 2 * time.Second
	// holderRetry is the pause before a holder that could not be asked is asked again.
	holderRetry = 200 * time.Millisecond
	// holderPause is the pause after an answer that the request still runs.
	holderPause = 10 * time.Millisecond
)

// follow ends an entry whose key an earlier claim holds or held, by the truth about that claim. Otherwise it returns
// the state to go on from.
//
// A holder that says not run speaks of its own claim. That proves something about the key only if the log showed
// the claim in force after this entry's own proposal; a claim seen by a reader that lags may be released and the
// key claimed and run by another since. The entry then proposes its own claim, and the log decides.
func (r *Router) follow(e *entry, state ClaimState, proposed bool) (next ClaimState, followed bool) {
	if !r.table.advance(e, phaseFollowing) {
		r.endFree(e, Answer{Outcome: Unknown, Kind: kindOfEnd(e.ctx)})
		return ClaimState{}, true
	}
	if state.Status != ClaimHeld || state.Checksum != e.checksum {
		r.endFree(e, r.fromLog(e, state))
		return ClaimState{}, true
	}
	answer, known := r.askHolder(e, state.Holder)
	if known && answer.Outcome == NotRun && !proposed {
		return ClaimState{Status: ClaimFree}, false
	}
	if known {
		r.endFree(e, answer)
		return ClaimState{}, true
	}
	return r.config.Claims.Lookup(e.id.account, e.id.key), false
}

// fromLog is the truth that the log alone tells about a key that isn't free.
func (r *Router) fromLog(e *entry, state ClaimState) Answer {
	switch {
	case state.Status == ClaimExpired:
		return Answer{Outcome: Unknown, Kind: KindKeyExpired}
	case state.Checksum != e.checksum:
		return conflict()
	case state.Status == ClaimDone && state.AnswerKept:
		r.counters.answeredFromLog.Add(1)
		return Answer{Outcome: Done, Payload: state.Answer, Failed: state.Failed}
	case state.Status == ClaimDone:
		return r.fetchAnswer(e, state)
	default:
		return Answer{Outcome: Unknown, Kind: KindHolderGone}
	}
}

// fetchAnswer gets an answer that was too large for the log from the instance that received it.
func (r *Router) fetchAnswer(e *entry, state ClaimState) Answer {
	notKept := Answer{Outcome: Done, Kind: KindAnswerNotKept}
	if state.Holder == r.config.Instance {
		return notKept
	}
	reply, err := r.config.Holder.Answer(e.ctx, state.Holder, e.id.account, e.id.key, 0)
	if err != nil || reply.GetState() != apiv1.AnswerState_ANSWER_STATE_DONE {
		return notKept
	}
	r.counters.answeredByHolder.Add(1)
	return Answer{Outcome: Done, Payload: reply.GetPayload(), Failed: reply.GetFailed()}
}

// askHolder asks the instance that holds the key; known is false when the log should be read again.
func (r *Router) askHolder(e *entry, holder string) (answer Answer, known bool) {
	gone := Answer{Outcome: Unknown, Kind: KindHolderGone}
	if holder == r.config.Instance {
		// No entry here holds the key: an earlier life of this instance did, or it is forgotten.
		return gone, true
	}
	if e.ctx.Err() != nil {
		return Answer{Outcome: Unknown, Kind: kindOfEnd(e.ctx)}, true
	}
	reply, err := r.config.Holder.Answer(e.ctx, holder, e.id.account, e.id.key, r.waitFor(e.ctx))
	if err != nil {
		return gone, !r.sched.isLive(holder) || !pause(e.ctx, holderRetry)
	}
	r.counters.answeredByHolder.Add(1)
	switch reply.GetState() {
	case apiv1.AnswerState_ANSWER_STATE_DONE:
		return Answer{Outcome: Done, Payload: reply.GetPayload(), Failed: reply.GetFailed()}, true
	case apiv1.AnswerState_ANSWER_STATE_NOT_RUN:
		return Answer{Outcome: NotRun, Kind: KindNoWorker, RetryAfter: minRetryAfter}, true
	case apiv1.AnswerState_ANSWER_STATE_RUNNING:
		return Answer{Outcome: Unknown, Kind: KindDeadline}, !pause(e.ctx, holderPause)
	default:
		return Answer{Outcome: Unknown, Kind: KindAnswerLost}, true
	}
}

// waitFor is how long a holder may wait for an end.
func (r *Router) waitFor(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return holderWait
	}
	return min(time.Until(deadline), holderWait)
}

// pause waits; false means that ctx ended.
func pause(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Answer tells another instance what became of a key that this instance claimed; it waits for the end of a
// running request. It is the other side of Holder.
func (r *Router) Answer(ctx context.Context, account string, key uuid.UUID, wait time.Duration) *apiv1.PeerAnswerReply {
	e := r.table.get(keyID{account: account, key: key})
	if e == nil {
		return r.answerFromLog(account, key)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	running := &apiv1.PeerAnswerReply{State: apiv1.AnswerState_ANSWER_STATE_RUNNING}
	if !await(ctx, e.ended) {
		return running
	}
	answer, proof := r.table.statement(e)
	if proof {
		return replyOf(answer)
	}
	if e.undecided && !isClosed(e.freed) {
		// The claim may be in the log until the release is: the asker then reads the log again.
		await(ctx, e.freed)
		return running
	}
	return &apiv1.PeerAnswerReply{State: apiv1.AnswerState_ANSWER_STATE_UNKNOWN}
}

// await returns whether the channel was closed before ctx ended.
func await(ctx context.Context, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-ctx.Done():
		return isClosed(closed)
	}
}

// answerFromLog answers for a key that this instance has no entry of.
func (r *Router) answerFromLog(account string, key uuid.UUID) *apiv1.PeerAnswerReply {
	state := r.config.Claims.Lookup(account, key)
	if state.Status == ClaimDone && state.AnswerKept {
		return &apiv1.PeerAnswerReply{
			State:   apiv1.AnswerState_ANSWER_STATE_DONE,
			Payload: state.Answer,
			Failed:  state.Failed,
		}
	}
	return &apiv1.PeerAnswerReply{State: apiv1.AnswerState_ANSWER_STATE_UNKNOWN}
}

func replyOf(answer Answer) *apiv1.PeerAnswerReply {
	reply := &apiv1.PeerAnswerReply{Payload: answer.Payload, Failed: answer.Failed}
	switch answer.Outcome {
	case Done:
		reply.State = apiv1.AnswerState_ANSWER_STATE_DONE
	case NotRun:
		reply.State = apiv1.AnswerState_ANSWER_STATE_NOT_RUN
	case Unknown:
		reply.State = apiv1.AnswerState_ANSWER_STATE_UNKNOWN
	}
	return reply
}
