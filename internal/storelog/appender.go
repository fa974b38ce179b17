package storelog

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// repeatDelay is how long an append may take before it is repeated in parallel. The store usually answers within
	// milliseconds and recognises a repeat by its sequence number. The delay grows by the factor repeatGrowth with each
	// repeat, up to maxRepeatDelay, so that records reach a recovered store within maxRepeatDelay.
	repeatDelay    = 150 * time.Millisecond
	repeatGrowth   = 1.4
	maxRepeatDelay = 450 * time.Millisecond
	// attemptTimeout limits one attempt. On slow days the store's answers take about eighty times as long as usual.
	attemptTimeout = 1200 * time.Millisecond
	// maxInFlight is the maximum number of attempts that wait for an answer at the same time.
	maxInFlight = 6
	// maxSilence is how long the store may leave an append unanswered before RefusedFor counts it as refusing.
	maxSilence = 900 * time.Millisecond
	// retryDelay is the delay before the first retry of a refused append; it doubles up to maxRetryDelay.
	retryDelay    = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxBatchRecords and maxBatchBytes limit one append, unless its first group is larger. A batch must pass the slowest link
	// before it is repeated; the store accepts at most 2 MiB per call.
	maxBatchRecords = 512
	maxBatchBytes   = 64 << 10
)

// Appender appends records in submission order, each exactly once, for one producer and epoch.
// Records that are submitted during an append are sent together in the next batches.
type Appender struct {
	partition Partition
	producer  string
	epoch     int64

	mu       sync.Mutex
	sequence int64
	queue    []*PendingAppend
	stopErr  error
	// refusedSince is when the store started to refuse attempts or to leave them unanswered; zero once it acknowledges a
	// batch.
	refusedSince time.Time
	wake         chan struct{}
}

// PendingAppend is a group of records that waits for the store's acknowledgement. The group is appended atomically.
type PendingAppend struct {
	records []Record
	done    chan struct{}
	err     error
	// maybeStored is true if an attempt got no answer: the records may be in the store.
	maybeStored bool
	// sending is true while the records are in the batch that is being sent.
	sending bool
}

// NewAppender returns an Appender whose first append has the given sequence number.
func NewAppender(partition Partition, producer string, epoch, sequence int64) *Appender {
	return &Appender{partition: partition, producer: producer, epoch: epoch, sequence: sequence, wake: make(chan struct{}, 1)}
}

// Run appends until ctx ends or the store rejects the producer, for example with ErrFenced. It returns the reason.
func (a *Appender) Run(ctx context.Context) error {
	for {
		batch := a.nextBatch()
		if batch == nil {
			select {
			case <-ctx.Done():
				return a.stop(ctx.Err())
			case <-a.wake:
			}
			continue
		}
		if err := a.appendBatch(ctx, batch); err != nil {
			return a.stop(err)
		}
	}
}

// Submit queues records; the group is appended atomically.
func (a *Appender) Submit(records ...Record) *PendingAppend {
	pending := &PendingAppend{records: records, done: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopErr != nil {
		pending.err = a.stopErr
		close(pending.done)
		return pending
	}
	a.queue = append(a.queue, pending)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return pending
}

// Withdraw removes pending from the queue if the store certainly never received it, and reports whether it did so.
func (a *Appender) Withdraw(pending *PendingAppend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, queued := range a.queue {
		if queued == pending && !pending.maybeStored && !pending.sending {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// MaybeStored reports whether an attempt to append pending went unanswered, so that it may be in the store.
func (a *Appender) MaybeStored(pending *PendingAppend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return pending.maybeStored
}

// RefusedFor returns how long the store has refused every append; 0 if it accepts them.
func (a *Appender) RefusedFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refusedSince.IsZero() {
		return 0
	}
	return time.Since(a.refusedSince)
}

// Done returns a channel that is closed when the outcome is known.
func (p *PendingAppend) Done() <-chan struct{} { return p.done }

// IsDone reports whether the outcome is known.
func (p *PendingAppend) IsDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Err returns the outcome; it is valid once Done is closed.
func (p *PendingAppend) Err() error { return p.err }

// nextBatch removes the groups that are sent together from the front of the queue.
func (a *Appender) nextBatch() []*PendingAppend {
	a.mu.Lock()
	defer a.mu.Unlock()
	records, bytes, count := 0, 0, 0
	for _, pending := range a.queue {
		for _, record := range pending.records {
			bytes += len(record.Key) + len(record.Value)
		}
		records += len(pending.records)
		if count > 0 && (records > maxBatchRecords || bytes > maxBatchBytes) {
			break
		}
		pending.sending = true
		count++
	}
	if count == 0 {
		return nil
	}
	batch := a.queue[:count:count]
	a.queue = a.queue[count:]
	return batch
}

// requeue puts a refused batch back at the front of the queue and records since when the store has refused.
func (a *Appender) requeue(batch []*PendingAppend) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, pending := range batch {
		pending.sending = false
	}
	a.queue = append(append([]*PendingAppend(nil), batch...), a.queue...)
	if a.refusedSince.IsZero() {
		a.refusedSince = time.Now()
	}
}

// appendBatch sends one batch until its outcome is known. A batch that was refused before any attempt went unanswered
// returns to the queue, where it may be withdrawn.
func (a *Appender) appendBatch(ctx context.Context, batch []*PendingAppend) error {
	delay := retryDelay
	for {
		err := a.sendWithRepeats(ctx, batch)
		switch {
		case err == nil:
			a.mu.Lock()
			a.sequence++
			a.refusedSince = time.Time{}
			a.mu.Unlock()
			finish(batch, nil)
			return nil
		case ctx.Err() != nil:
			finish(batch, ctx.Err())
			return ctx.Err()
		case errors.Is(err, ErrNoAnswer):
			continue
		case !errors.Is(err, ErrRefused):
			finish(batch, err)
			return err
		}
		uncertain := batch[0].maybeStored
		if !uncertain {
			a.requeue(batch)
		}
		if !sleep(ctx, delay) {
			finish(batch, ctx.Err())
			return ctx.Err()
		}
		delay = min(2*delay, maxRetryDelay)
		if !uncertain {
			if batch = a.nextBatch(); batch == nil {
				return nil
			}
		}
	}
}

// sendWithRepeats sends a batch and repeats it in parallel until an answer arrives. Any of the answers is valid, because
// the store recognises repeats. ErrNoAnswer means that all attempts timed out.
func (a *Appender) sendWithRepeats(ctx context.Context, batch []*PendingAppend) error {
	request := Batch{Producer: a.producer, Epoch: a.epoch, Sequence: a.sequence}
	for _, pending := range batch {
		request.Records = append(request.Records, pending.records...)
	}
	repeats, cancel := context.WithCancel(ctx)
	defer cancel()
	started, wait, inFlight := time.Now(), repeatDelay, 0
	answers := make(chan error, maxInFlight)
	for {
		if inFlight < maxInFlight {
			inFlight++
			go func() {
				attempt, stop := context.WithTimeout(repeats, attemptTimeout)
				defer stop()
				_, err := a.partition.Append(attempt, request)
				answers <- err
			}()
		}
		err, answered := a.awaitAnswer(batch, answers, &inFlight, started, wait)
		if answered {
			return err
		}
		wait = min(time.Duration(float64(wait)*repeatGrowth), maxRepeatDelay)
	}
}

// awaitAnswer waits for a conclusive answer; it returns false if there is none after the given time.
func (a *Appender) awaitAnswer(
	batch []*PendingAppend, answers <-chan error, inFlight *int, started time.Time, wait time.Duration,
) (error, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case err := <-answers:
			*inFlight--
			if errors.Is(err, ErrNoAnswer) {
				a.markMaybeStored(batch, started)
			}
			if *inFlight == 0 || (!errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrRefused)) {
				return err, true
			}
		case <-timer.C:
			a.markMaybeStored(batch, started)
			return nil, false
		}
	}
}

// markMaybeStored records that an unanswered batch may be in the store.
func (a *Appender) markMaybeStored(batch []*PendingAppend, started time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, pending := range batch {
		pending.maybeStored = true
	}
	if a.refusedSince.IsZero() && time.Since(started) > maxSilence {
		a.refusedSince = time.Now()
	}
}

// finish reports the outcome of a batch to its submitters.
func finish(batch []*PendingAppend, err error) {
	for _, pending := range batch {
		select {
		case <-pending.done:
		default:
			pending.err = err
			close(pending.done)
		}
	}
}

// stop fails the queued groups and all later ones.
func (a *Appender) stop(err error) error {
	a.mu.Lock()
	a.stopErr = err
	queue := a.queue
	a.queue = nil
	a.mu.Unlock()
	finish(queue, err)
	return err
}

// sleep pauses for the given time and reports whether ctx is still active.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
