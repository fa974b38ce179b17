package storelog

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// repeatAfter is how long an append may take before it is repeated beside the first; the store answers in
	// milliseconds, and knows a repeat by its sequence number. Each further repeat waits longer by repeatGrowth,
	// up to repeatMost: a store that comes back is used within that time.
	repeatAfter  = 150 * time.Millisecond
	repeatGrowth = 1.4
	repeatMost   = 450 * time.Millisecond
	// attemptTimeout is when an attempt is given up: slow days stretch the store's answers some eighty times.
	attemptTimeout = 1200 * time.Millisecond
	// attemptsMost bounds the attempts that wait for an answer at once.
	attemptsMost = 6
	// silentAfter is how long the store may be silent before it counts as refusing.
	silentAfter = 900 * time.Millisecond
	// refusedPause and refusedPauseMax space the attempts while the store refuses.
	refusedPause    = 50 * time.Millisecond
	refusedPauseMax = 400 * time.Millisecond
	// batchRecords and batchBytes bound one append; the store takes 2 MiB a call.
	batchRecords = 512
	batchBytes   = 1 << 20
)

// Appender appends records in the order given, each exactly once, for one producer and epoch.
// Records that wait while an append is under way go out together.
type Appender struct {
	partition Partition
	producer  string
	epoch     int64

	mu       sync.Mutex
	sequence int64
	queue    []*PendingAppend
	failed   error
	// refusing is since when the store has refused every attempt; zero if the last one was answered.
	refusing time.Time
	wake     chan struct{}
}

// PendingAppend is a group of records on its way to the store; the group is appended whole.
type PendingAppend struct {
	records []Record
	done    chan struct{}
	err     error
	// maybe tells that an attempt got no answer: the records may be in the store.
	maybe bool
	taken bool
}

// NewAppender returns an Appender that continues after the given sequence number.
func NewAppender(partition Partition, producer string, epoch, sequence int64) *Appender {
	return &Appender{partition: partition, producer: producer, epoch: epoch, sequence: sequence, wake: make(chan struct{}, 1)}
}

// Run appends until ctx ends or the store fences the producer; it returns why it stopped.
func (a *Appender) Run(ctx context.Context) error {
	for {
		batch := a.take()
		if batch == nil {
			select {
			case <-ctx.Done():
				return a.stop(ctx.Err())
			case <-a.wake:
			}
			continue
		}
		if err := a.append(ctx, batch); err != nil {
			return a.stop(err)
		}
	}
}

// Submit queues records.
func (a *Appender) Submit(records ...Record) *PendingAppend {
	pending := &PendingAppend{records: records, done: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failed != nil {
		pending.err = a.failed
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

// Withdraw takes pending back if it is certain that the store never got it, and tells whether it did.
func (a *Appender) Withdraw(pending *PendingAppend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, queued := range a.queue {
		if queued == pending && !pending.maybe && !pending.taken {
			a.queue = append(a.queue[:i], a.queue[i+1:]...)
			return true
		}
	}
	return false
}

// RefusedFor returns how long the store has refused every append; 0 if it takes them.
func (a *Appender) RefusedFor() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refusing.IsZero() {
		return 0
	}
	return time.Since(a.refusing)
}

// Done is closed when the outcome is known.
func (p *PendingAppend) Done() <-chan struct{} { return p.done }

// Err is the outcome, valid once Done is closed.
func (p *PendingAppend) Err() error { return p.err }

// take moves the records that go out together from the queue.
func (a *Appender) take() []*PendingAppend {
	a.mu.Lock()
	defer a.mu.Unlock()
	records, bytes, count := 0, 0, 0
	for _, pending := range a.queue {
		for _, record := range pending.records {
			bytes += len(record.Key) + len(record.Value)
		}
		records += len(pending.records)
		if count > 0 && (records > batchRecords || bytes > batchBytes) {
			break
		}
		pending.taken = true
		count++
	}
	if count == 0 {
		return nil
	}
	batch := a.queue[:count:count]
	a.queue = a.queue[count:]
	return batch
}

// giveBack puts a batch that the store refused back to the front of the queue.
func (a *Appender) giveBack(batch []*PendingAppend) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, pending := range batch {
		pending.taken = false
	}
	a.queue = append(append([]*PendingAppend(nil), batch...), a.queue...)
	if a.refusing.IsZero() {
		a.refusing = time.Now()
	}
}

// append sends one batch until its outcome is known. A batch that was refused before any unanswered attempt goes
// back to the queue, where it may be withdrawn.
func (a *Appender) append(ctx context.Context, batch []*PendingAppend) error {
	pause := refusedPause
	for {
		err := a.attempt(ctx, batch)
		switch {
		case err == nil:
			a.mu.Lock()
			a.sequence++
			a.refusing = time.Time{}
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
		sent := batch[0].maybe
		if !sent {
			a.giveBack(batch)
		}
		if !sleep(ctx, pause) {
			finish(batch, ctx.Err())
			return ctx.Err()
		}
		pause = min(2*pause, refusedPauseMax)
		if !sent {
			if batch = a.take(); batch == nil {
				return nil
			}
		}
	}
}

// attempt sends a batch, and again beside it as long as no answer comes. The first answer counts, whichever it is: the
// store knows the repeats. ErrNoAnswer means that all attempts were given up.
func (a *Appender) attempt(ctx context.Context, batch []*PendingAppend) error {
	out := Batch{Producer: a.producer, Epoch: a.epoch, Sequence: a.sequence}
	for _, pending := range batch {
		out.Records = append(out.Records, pending.records...)
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	began, wait, flying := time.Now(), repeatAfter, 0
	answers := make(chan error, attemptsMost)
	for {
		if flying < attemptsMost {
			flying++
			go func() {
				single, done := context.WithTimeout(call, attemptTimeout)
				defer done()
				_, err := a.partition.Append(single, out)
				answers <- err
			}()
		}
		err, answered := a.answer(batch, answers, &flying, began, wait)
		if answered {
			return err
		}
		wait = min(time.Duration(float64(wait)*repeatGrowth), repeatMost)
	}
}

// answer waits for an answer that decides; it is false if there is none after the given time.
func (a *Appender) answer(batch []*PendingAppend, answers <-chan error, flying *int, began time.Time, wait time.Duration) (error, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case err := <-answers:
			*flying--
			if errors.Is(err, ErrNoAnswer) {
				a.mark(batch, began)
			}
			if *flying == 0 || (!errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrRefused)) {
				return err, true
			}
		case <-timer.C:
			a.mark(batch, began)
			return nil, false
		}
	}
}

// mark notes that a batch may be in the store although no answer came.
func (a *Appender) mark(batch []*PendingAppend, began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, pending := range batch {
		pending.maybe = true
	}
	if a.refusing.IsZero() && time.Since(began) > silentAfter {
		a.refusing = time.Now()
	}
}

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

// stop fails what is queued, now and later.
func (a *Appender) stop(err error) error {
	a.mu.Lock()
	a.failed = err
	queue := a.queue
	a.queue = nil
	a.mu.Unlock()
	finish(queue, err)
	return err
}

// sleep waits and tells whether ctx still runs.
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
