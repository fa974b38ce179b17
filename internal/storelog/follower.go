package storelog

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/singleflight"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
)

const (
	// readSlack is how much longer than its wait a read may take before its connection counts as silent; slow days
	// stretch the store's answers to some 400 ms.
	readSlack = 600 * time.Millisecond
	// readPause spaces reads after a failure; it grows up to readPauseMost.
	readPause     = 100 * time.Millisecond
	readPauseMost = 400 * time.Millisecond
	// checkTimeout bounds a check.
	checkTimeout = 600 * time.Millisecond
	// currentPoll spaces the looks at whether a read that is under way has arrived.
	currentPoll = 5 * time.Millisecond
	// newestTimeout bounds one page of the newest records.
	newestTimeout = 2 * time.Second
)

// Reader takes the records of a partition in order.
type Reader interface {
	// Apply takes records in the order of their offsets, but for those of the newest of each key, which come in the
	// order of the keys and may repeat: the reader ignores offsets that are older than what it has of a key.
	Apply(records []Record)
	// Ready is called each time the reader is up to date with a whole partition.
	Ready()
}

// Follower feeds a Reader with a partition.
type Follower struct {
	partition Partition
	reader    Reader
	options   FollowOptions
	events    *events.Logger

	checks singleflight.Group

	mu sync.Mutex
	// answered is when the store last answered, since when it has answered without a failure in between.
	answered, since time.Time
	end             int64
	// paused tells that no read is under way; nudged is closed to end the pause, and refreshed after the next read.
	paused            bool
	nudged, refreshed chan struct{}
}

// FollowOptions say how a Follower reads.
type FollowOptions struct {
	// Name stands in log lines.
	Name string
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// ReadInterval, if set, says how long to pause between reads: each read has its price, and what comes meanwhile is read at
	// once.
	ReadInterval func() time.Duration
}

// NewFollower returns a Follower of the partition.
func NewFollower(partition Partition, reader Reader, options FollowOptions, logger *events.Logger) *Follower {
	return &Follower{partition: partition, reader: reader, options: options, events: logger}
}

// Run follows until ctx ends. After a failure it reads without waiting until the store answers again.
func (f *Follower) Run(ctx context.Context) {
	next, ok := f.restart(ctx)
	wait, pause := f.options.Wait, readPause
	for ok && ctx.Err() == nil {
		page, err := f.read(ctx, next, wait)
		switch {
		case err == nil:
			next += int64(len(page.Records))
			if len(page.Records) > 0 {
				f.reader.Apply(page.Records)
				f.reader.Ready()
			}
			f.note(next) // after Apply: Current takes the end for what the reader has
			wait, pause = f.options.Wait, readPause
			var early bool
			if early, ok = f.rest(ctx); early {
				wait = 0
			}
		case errors.Is(err, ErrTrimmed):
			next, ok = f.restart(ctx)
		default:
			f.fail(err)
			ok = sleep(ctx, pause)
			wait, pause = 0, min(2*pause, readPauseMost)
		}
	}
}

// rest pauses between reads. The first result tells that a refresh ended the pause, the second that ctx still runs.
func (f *Follower) rest(ctx context.Context) (early, ok bool) {
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
	nudged := make(chan struct{})
	f.paused, f.nudged = true, nudged
	f.mu.Unlock()
	timer := time.NewTimer(f.options.ReadInterval())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-nudged:
		early = true
	case <-timer.C:
	}
	f.mu.Lock()
	f.paused = false
	early = early || f.refreshed != nil
	f.mu.Unlock()
	return early, ctx.Err() == nil
}

// Refresh returns once the reader has all that was stored when it was called, or when ctx ends. A read that is under
// way returns with each new record, so only a pause has to be ended.
func (f *Follower) Refresh(ctx context.Context) {
	f.mu.Lock()
	if !f.paused {
		f.mu.Unlock()
		return
	}
	if f.refreshed == nil {
		f.refreshed = make(chan struct{})
		close(f.nudged)
	}
	refreshed := f.refreshed
	f.mu.Unlock()
	select {
	case <-refreshed:
	case <-ctx.Done():
	}
}

func (f *Follower) read(ctx context.Context, from int64, wait time.Duration) (Page, error) {
	call, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	return f.partition.Read(call, from, wait)
}

// CheckStore asks the store whether it answers, unless it has within the given time.
func (f *Follower) CheckStore(ctx context.Context, within time.Duration) error {
	if last, _ := f.AnswerTimes(); time.Since(last) < within {
		return nil
	}
	_, err, _ := f.checks.Do("", func() (any, error) {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), checkTimeout)
		defer cancel()
		_, err := f.partition.Read(call, f.End(), 0)
		return nil, err
	})
	return err
}

// CatchUp returns nil once the reader has all that was stored when it was called. It asks the store itself, so nil is
// proof, also when other reads hang.
func (f *Follower) CatchUp(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	page, err := f.partition.Read(call, f.End(), 0)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(currentPoll)
	defer ticker.Stop()
	for f.End() < page.End {
		f.Refresh(call)
		select {
		case <-call.Done():
			return call.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// AnswerTimes returns when the store last answered, and since when it has answered every read.
func (f *Follower) AnswerTimes() (last, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered, f.since
}

// End returns the offset after the last record that was applied.
func (f *Follower) End() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// restart reads the newest record of each key until it has the whole partition, and returns where to read on.
// Pages are no snapshot: the records since the first page are read again.
func (f *Follower) restart(ctx context.Context) (int64, bool) {
	after, next, first := "", int64(0), true
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, newestTimeout)
		page, err := f.partition.ReadLatest(call, after)
		cancel()
		if err != nil {
			f.fail(err)
			if !sleep(ctx, readPause) {
				return 0, false
			}
			continue
		}
		if first {
			next, first = page.End, false
		}
		f.reader.Apply(page.Records)
		if !page.More || len(page.Records) == 0 {
			f.note(next)
			f.reader.Ready()
			return next, true
		}
		after = page.Records[len(page.Records)-1].Key
	}
	return 0, false
}

func (f *Follower) note(end int64) {
	f.mu.Lock()
	now := time.Now()
	back := f.since.IsZero()
	if back {
		f.since = now
	}
	f.answered, f.end = now, end
	f.mu.Unlock()
	if back {
		f.events.Log(events.StoreReachable, "records", f.options.Name, "end", end)
	}
}

func (f *Follower) fail(err error) {
	f.mu.Lock()
	lost := !f.since.IsZero() || f.answered.IsZero()
	f.since = time.Time{}
	f.mu.Unlock()
	if lost {
		f.events.Log(events.StoreUnreachable, "records", f.options.Name, "error", err)
	}
}
