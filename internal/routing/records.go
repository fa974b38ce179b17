package routing

import (
	"context"
	"time"
)

// Times of records that go to the log beside the calls.
const (
	// recordTimeout bounds one proposal.
	recordTimeout = 10 * time.Second
	// recordPause and maxRecordPause bound the pause after a failed proposal; it doubles.
	recordPause    = 100 * time.Millisecond
	maxRecordPause = 5 * time.Second
)

// recordRelease proposes the release of the entry's key until the log takes it; then the key is free.
func (r *Router) recordRelease(e *entry) {
	r.recordLater(e, func(ctx context.Context) error {
		return r.config.Claims.Release(ctx, e.id.account, e.id.key)
	}, func() {
		r.counters.releases.Add(1)
		r.table.release(e)
	})
}

// recordEnd proposes the end of the entry's request until the log takes it.
func (r *Router) recordEnd(e *entry, answer Answer) {
	end := ClaimEnd{Failed: answer.Failed}
	if len(answer.Payload) <= MaxKeptAnswerBytes {
		end.Answer = answer.Payload
		end.AnswerKept = true
	}
	r.recordLater(e, func(ctx context.Context) error {
		return r.config.Claims.Done(ctx, e.id.account, e.id.key, end)
	}, func() {
		r.counters.endsRecorded.Add(1)
	})
}

// recordLater proposes beside the call. Too many waiting records are dropped: the key stays held,
// and retries learn the truth from this instance while it lives, then get Unknown.
func (r *Router) recordLater(e *entry, propose func(context.Context) error, accepted func()) {
	if !r.work.beginRecord() {
		r.counters.recordsDropped.Add(1)
		return
	}
	r.table.record(e, true)
	go func() {
		defer r.work.endRecord()
		if r.recordUntilTaken(propose) {
			accepted()
		}
		r.table.record(e, false)
	}()
}

// recordUntilTaken proposes again and again; false means that the Router closed.
func (r *Router) recordUntilTaken(propose func(context.Context) error) bool {
	for wait := recordPause; ; wait = min(2*wait, maxRecordPause) {
		ctx, cancel := context.WithTimeout(r.base, recordTimeout)
		err := propose(ctx)
		cancel()
		if err == nil {
			return true
		}
		if !pause(r.base, wait) {
			return false
		}
	}
}
