package storelog

import (
	"context"
	"math/bits"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

const (
	// readRetryDelay is the delay before the first retry of a failed read; it doubles up to maxReadRetryDelay.
	readRetryDelay    = 100 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
	// checkTimeout limits CheckStore and CatchUp.
	checkTimeout = 600 * time.Millisecond
	// catchUpInterval is how often CatchUp checks whether the reader has applied the records that it waits for.
	catchUpInterval = 5 * time.Millisecond
)

// Reader receives the records of a partition in order.
type Reader interface {
	// Apply receives records in the order of their offsets. The exception is a load of the latest record of each key,
	// whose records are sorted by key and may repeat. The reader ignores records that are older than its last one of the key.
	Apply(records []Record)
	// Ready is called each time the reader has received a whole partition up to its end.
	Ready()
}

// KeyReader is a Reader that is told which keys a load of the latest record of each key has found, before Ready. Other keys that it
// knows have been deleted: the records that say so may be gone.
type KeyReader interface {
	Reader
	KeepOnly(keys map[string]bool)
}

// Follower delivers the records of a partition to a Reader.
type Follower struct {
	partition Partition
	reader    Reader
	options   FollowOptions
	events    *events.Logger

	checks singleflight.Group

	mu sync.Mutex
	// lastAnswer is when the store last answered a read; answeringSince is when it started to answer every read, and
	// zero after a failure.
	lastAnswer, answeringSince time.Time
	// completeAt is when the reader last had all records that the store had.
	completeAt time.Time
	// failures is the number of reads that have failed since the last answer.
	failures int
	end      int64
	// paused is true during a pause between reads. Closing resume ends the pause; refreshed is closed after the next read.
	paused            bool
	resume, refreshed chan struct{}
}

// FollowOptions configures how a Follower reads.
type FollowOptions struct {
	// Name identifies the records in log lines.
	Name string
	// Wait is how long a read waits for the first record.
	Wait time.Duration
	// LatestOnly is true if the reader needs only the latest record of each key. After a page that doesn't reach the end of the
	// partition, the follower then skips the older records.
	LatestOnly bool
	// ReadInterval, if set, returns how long to pause between reads. Fewer reads cost less, because the records of a
	// pause are read together.
	ReadInterval func() time.Duration
}

// NewFollower returns a Follower of the partition.
func NewFollower(partition Partition, reader Reader, options FollowOptions, logger *events.Logger) *Follower {
	return &Follower{partition: partition, reader: reader, options: options, events: logger}
}

// Run follows the partition until ctx ends. After a failure its reads do not wait for records until the store answers again.
func (f *Follower) Run(ctx context.Context) {
	next, ok := f.loadLatest(ctx)
	wait, delay := f.options.Wait, readRetryDelay
	for ok && ctx.Err() == nil {
		sentAt := time.Now()
		page, err := f.partition.Read(ctx, next, wait)
		switch {
		case err == nil:
			next += int64(len(page.Records))
			if len(page.Records) > 0 {
				f.reader.Apply(page.Records)
				f.reader.Ready()
			}
			f.recordAnswer(next) // after Apply, because CatchUp relies on all records before the end being applied
			if next >= page.End {
				f.recordComplete(time.Now())
			}
			wait, delay = f.options.Wait, readRetryDelay
			if f.options.LatestOnly && next < page.End {
				next, ok = f.loadLatest(ctx)
				continue
			}
			var refresh bool
			if refresh, ok = f.pause(ctx); refresh {
				wait = 0
			}
		case errors.Is(err, ErrTrimmed):
			next, ok = f.loadLatest(ctx)
		default:
			f.recordFailure(err, next, time.Since(sentAt))
			ok = sleep(ctx, delay)
			wait, delay = 0, min(2*delay, maxReadRetryDelay)
		}
	}
}

// pause waits between reads. It reports whether a refresh ended the pause and whether ctx is still active.
func (f *Follower) pause(ctx context.Context) (refresh, ok bool) {
	f.mu.Lock()
	if f.refreshed != nil {
		close(f.refreshed)
		f.refreshed = nil
	}
	f.mu.Unlock()
	if f.options.ReadInterval == nil || f.options.ReadInterval() == 0 {
		return false, ctx.Err() == nil
	}
	f.mu.Lock()
	resume := make(chan struct{})
	f.paused, f.resume = true, resume
	f.mu.Unlock()
	timer := time.NewTimer(f.options.ReadInterval())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-resume:
		refresh = true
	case <-timer.C:
	}
	f.mu.Lock()
	f.paused = false
	refresh = refresh || f.refreshed != nil
	f.mu.Unlock()
	return refresh, ctx.Err() == nil
}

// Refresh ends a pause between reads, so that the reader gets the records stored before the call, and returns after the
// next successful read or when ctx ends. Without a pause it returns at once, because a read in progress returns as soon
// as a record is stored.
func (f *Follower) Refresh(ctx context.Context) {
	f.mu.Lock()
	if !f.paused {
		f.mu.Unlock()
		return
	}
	if f.refreshed == nil {
		f.refreshed = make(chan struct{})
		close(f.resume)
	}
	refreshed := f.refreshed
	f.mu.Unlock()
	select {
	case <-refreshed:
	case <-ctx.Done():
	}
}

// CheckStore returns nil if the store has answered within the given time or answers a read now. Concurrent calls share
// one read.
func (f *Follower) CheckStore(ctx context.Context, within time.Duration) error {
	if last, _ := f.AnswerTimes(); time.Since(last) < within {
		return nil
	}
	_, err, _ := f.checks.Do("", func() (any, error) {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		defer cancel()
		_, err := f.partition.ReadEnd(call, f.End())
		return nil, err
	})
	return err
}

// CatchUp returns nil once the reader has applied all records that were stored before the call. It reads the end of the
// partition from the store, so nil is conclusive even if other reads hang.
func (f *Follower) CatchUp(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	end, err := f.partition.ReadEnd(call, f.End())
	if err != nil {
		return err
	}
	ticker := time.NewTicker(catchUpInterval)
	defer ticker.Stop()
	for f.End() < end {
		f.Refresh(call)
		select {
		case <-call.Done():
			return call.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// AnswerTimes returns when the store last answered a read, and since when it has answered every read.
func (f *Follower) AnswerTimes() (last, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastAnswer, f.answeringSince
}

// Failures returns the number of reads in a row that the store has refused or left without an answer; 0 while it answers.
func (f *Follower) Failures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures
}

// CompleteAt returns the time at which the reader last had all records that the store had; zero before the first.
func (f *Follower) CompleteAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completeAt
}

func (f *Follower) recordComplete(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completeAt = at
}

// End returns the offset after the last applied record.
func (f *Follower) End() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// loadLatest applies the latest record of each key and returns the offset from which to read on. The pages are not a
// consistent snapshot, so this offset is the end of the partition at the first page and later records are read again.
func (f *Follower) loadLatest(ctx context.Context) (int64, bool) {
	after, next, first, startedAt := "", int64(0), true, time.Now()
	keys := map[string]bool{}
	for ctx.Err() == nil {
		sentAt := time.Now()
		if first {
			startedAt = sentAt
		}
		page, err := f.partition.ReadLatest(ctx, after)
		if err != nil {
			f.recordFailure(err, next, time.Since(sentAt))
			if !sleep(ctx, readRetryDelay) {
				return 0, false
			}
			continue
		}
		if first {
			next, first = page.End, false
		}
		f.reader.Apply(page.Records)
		for _, record := range page.Records {
			keys[record.Key] = true
		}
		if !page.More || len(page.Records) == 0 {
			if reader, ok := f.reader.(KeyReader); ok {
				reader.KeepOnly(keys)
			}
			f.recordAnswer(next)
			f.recordComplete(startedAt)
			f.reader.Ready()
			return next, true
		}
		after = page.Records[len(page.Records)-1].Key
	}
	return 0, false
}

// recordAnswer records that the store answered and that the records before end have been applied.
func (f *Follower) recordAnswer(end int64) {
	f.mu.Lock()
	now := time.Now()
	recovered := f.answeringSince.IsZero()
	if recovered {
		f.answeringSince = now
	}
	failures := f.failures
	f.lastAnswer, f.end, f.failures = now, end, 0
	f.mu.Unlock()
	if recovered {
		f.events.Log(events.StoreReachable, "records", f.options.Name, "end", end, "failures", failures)
	}
}

// recordFailure records a failed read from an offset on. It logs the first failure after an answer, and then each one whose
// number is a power of two.
func (f *Follower) recordFailure(err error, from int64, took time.Duration) {
	f.mu.Lock()
	f.answeringSince = time.Time{}
	f.failures++
	failures := f.failures
	f.mu.Unlock()
	if bits.OnesCount(uint(failures)) == 1 { //nolint:gosec // a count is not negative.
		f.events.Log(events.StoreUnreachable, "records", f.options.Name, "failures", failures, "from", from,
			"took_ms", took.Milliseconds(), "error", err)
	}
}
