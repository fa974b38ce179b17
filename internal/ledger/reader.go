package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// readLimit is the most entries of one read.
	readLimit = 64
	// longRead is how long a read waits for an entry when nothing else is due. LastContact is at most so
	// old, give or take the way of the answer, while the log answers.
	longRead = 2 * time.Second
	// minRead bounds the wait of a read from below.
	minRead = 10 * time.Millisecond
	// DefaultReadPause is how long the reader lets entries of others gather when none of its own is awaited.
	DefaultReadPause = 50 * time.Millisecond
	// readGrace is how long an answer may be late beyond the wait before the read is given up.
	readGrace = 2 * time.Second
)

// runReader folds the stream until ctx ends or the fold has to stop.
func (r *Replica) runReader(ctx context.Context) error {
	if err := r.bootstrap(ctx); err != nil {
		return err
	}
	failures := r.newBackoff()
	for {
		reply, err := r.readOnce(ctx, r.Offset()+1, readLimit, r.readWait())
		var trimmed *platform.TrimmedError
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.As(err, &trimmed):
			r.setNotReady()
			if err := r.bootstrap(ctx); err != nil {
				return err
			}
		case err != nil:
			if err := failures.pause(ctx, nil); err != nil {
				return err
			}
		default:
			failures.reset()
			if err := r.foldReply(reply); err != nil {
				return err
			}
			r.checkSnapshot()
			if err := r.gather(ctx, len(reply.Entries)); err != nil {
				return err
			}
		}
	}
}

// gather pauses after a read that gave some entries but not as many as it may, so that a busy fleet
// costs a bounded number of reads a second. A proposal that is sent ends the pause.
func (r *Replica) gather(ctx context.Context, entries int) error {
	if entries == 0 || entries >= readLimit || r.proposals.expected() {
		return nil
	}
	timer := time.NewTimer(r.config.ReadPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.proposals.sending:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readWait is how long the next read may wait: until a snapshot is due, at most longRead. Before the end
// of the log was reached there is no wait.
func (r *Replica) readWait() time.Duration {
	if !r.Ready() {
		return 0
	}
	due, at := r.snapshotDue()
	if due {
		return longRead
	}
	if at.IsZero() {
		return longRead
	}
	return min(longRead, max(minRead, at.Sub(r.config.Now())))
}

// foldReply folds what a read gave and notes how much of the log is read.
func (r *Replica) foldReply(reply *apiv1.ReadReply) error {
	if reply.Next < r.Offset()+1 {
		return errors.Wrapf(ErrLogBroken, "stream %s ends at %d, the state holds %d", r.config.Stream, reply.Next, r.Offset())
	}
	if err := r.foldEntries(reply.Entries); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.offset+1 >= reply.Next {
		r.ready = true
	}
	return nil
}

// readOnce reads from an offset and notes whether the log answers.
func (r *Replica) readOnce(ctx context.Context, from int64, limit int, wait time.Duration) (*apiv1.ReadReply, error) {
	readCtx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	reply, err := r.config.Log.Read(readCtx, r.config.Stream, from, limit, wait)
	var trimmed *platform.TrimmedError
	switch {
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case errors.As(err, &trimmed):
		r.noteContact(trimmed.Oldest, 0)
	case err != nil:
		r.noteLost(err)
	default:
		r.noteContact(reply.Oldest, time.Duration(reply.RetentionMs)*time.Millisecond)
	}
	return reply, err
}

// noteContact notes an answer of the log; retention is 0 when the answer did not tell it.
func (r *Replica) noteContact(oldest int64, retention time.Duration) {
	r.mu.Lock()
	wasLost := r.reach.lost
	r.reach.lost = false
	r.reach.oldest = oldest
	if retention > 0 {
		r.reach.retention = retention
	}
	r.lastContact = r.config.Now()
	offset := r.offset
	r.mu.Unlock()
	if wasLost {
		r.config.Notify(Notice{Kind: NoticeLogBack, Stream: r.config.Stream, Offset: offset})
	}
}

func (r *Replica) noteLost(cause error) {
	r.mu.Lock()
	wasLost := r.reach.lost
	r.reach.lost = true
	offset := r.offset
	r.mu.Unlock()
	if !wasLost {
		r.config.Notify(Notice{Kind: NoticeLogLost, Stream: r.config.Stream, Offset: offset, Err: cause})
	}
}

func (r *Replica) setNotReady() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = false
}
