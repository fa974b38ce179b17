package dispatch

import (
	"context"
	"time"
)

// maxCopies is the number of times that one call is sent before it counts as not answered.
const maxCopies = 2

// answerOf is the result of a call that was sent once or several times.
type answerOf[T any] struct {
	value T
	err   error
	// copies is how often the call was sent. If there are several, an unanswered copy may still take effect.
	copies int
	// took is the latency of the copy that was answered.
	took time.Duration
}

// call sends a call once or, if hedged, a second time after delay; see hedge.
func call[T any](ctx context.Context, hedged bool, delay time.Duration, send func(context.Context) (T, error)) answerOf[T] {
	if hedged {
		return hedge(ctx, delay, send)
	}
	sentAt := time.Now()
	value, err := send(ctx)
	return answerOf[T]{value: value, err: err, copies: 1, took: time.Since(sentAt)}
}

// hedge sends an idempotent call a second time if it is not answered after delay. It returns the first
// answer, a refusal included, or the last error once all copies have failed.
func hedge[T any](ctx context.Context, delay time.Duration, send func(context.Context) (T, error)) answerOf[T] {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answerOf[T], maxCopies)
	sendCopy := func() {
		sentAt := time.Now()
		value, err := send(ctx)
		answers <- answerOf[T]{value: value, err: err, took: time.Since(sentAt)}
	}
	go sendCopy()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for copies, failed := 1, 0; ; {
		select {
		case answer := <-answers:
			answer.copies = copies
			if answer.err == nil || refusalOf(answer.err) != 0 {
				return answer
			}
			if failed++; failed == copies {
				return answer
			}
		case <-timer.C:
			if copies < maxCopies {
				go sendCopy()
				timer.Reset(delay << copies)
				copies++
			}
		}
	}
}
