package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// snapshotShare: the age of the newest snapshot stays below retention / snapshotShare.
	snapshotShare = 4
	// urgentStep is how long each rank waits for those before it when the log has no usable snapshot.
	urgentStep = 2 * time.Second
	// snapshotTimeout bounds the writing of one snapshot.
	snapshotTimeout = 2 * time.Minute
)

// runSnapshots writes a snapshot whenever the reader finds that one is due.
func (r *Replica) runSnapshots(ctx context.Context) error {
	for {
		select {
		case <-r.snapshotWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if due, _ := r.snapshotDue(); !due {
			continue
		}
		if err := r.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			r.config.Notify(Notice{Kind: NoticeSnapshotFailed, Stream: r.config.Stream, Offset: r.Offset(), Err: err})
		}
	}
}

// checkSnapshot wakes the writer when a snapshot is due.
func (r *Replica) checkSnapshot() {
	if due, _ := r.snapshotDue(); !due {
		return
	}
	signal(r.snapshotWake)
}

// snapshotDue says whether this replica is to write a snapshot now, or else when; zero for never.
//
// A log that has dropped entries and holds no usable snapshot needs one at once: a fresh instance could
// not start. Else one is due between an eighth and a quarter of the retention after the last, by rank,
// so that the first in rank writes and the others find it written.
func (r *Replica) snapshotDue() (bool, time.Time) {
	rank, size := r.config.Rank()
	size = max(size, 1)
	rank = min(max(rank, 0), size-1)
	now := r.config.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready || r.reach.lost || r.offset == noOffset {
		return false, time.Time{}
	}
	if r.reach.newest.writing(now) {
		return false, r.reach.newest.openAt.Add(chunkPatience)
	}
	if r.reach.oldest > r.reach.newest.base+1 {
		if r.reach.urgentSince.IsZero() {
			r.reach.urgentSince = now
		}
		at := r.reach.urgentSince.Add(time.Duration(rank) * urgentStep)
		return !now.Before(at), at
	}
	r.reach.urgentSince = time.Time{}
	if r.reach.retention <= 0 {
		return false, time.Time{}
	}
	since := time.UnixMilli(r.reach.newest.sinceMillis())
	half := r.reach.retention / (2 * snapshotShare)
	at := since.Add(half + half*time.Duration(rank)/time.Duration(size))
	return !now.Before(at), at
}

// writeSnapshot proposes the parts of a snapshot of the state one after another, so that other
// proposals get in between.
func (r *Replica) writeSnapshot(ctx context.Context) error {
	base, data, err := r.Export()
	if err != nil {
		return err
	}
	records, err := splitSnapshot(base, data)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	for _, record := range records {
		record.Actor = r.config.Author.Instance
		if err := r.propose(ctx, record, 0); err != nil {
			return errors.Wrap(err, "write snapshot")
		}
	}
	r.config.Notify(Notice{Kind: NoticeSnapshotWritten, Stream: r.config.Stream, Offset: base, Bytes: len(data)})
	return nil
}
