package ledger

import (
	"context"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// snapshotSearch looks for a usable snapshot in the log.
type snapshotSearch struct {
	// low and high bound what was searched: [low, high).
	low, high int64
	open      map[snapshotID]*assembly
}

// bootstrap brings the replica to a state from which the log can be followed without a gap: the newest
// usable snapshot, the start of a log that still has its first entry, or a state that Import brought.
// It waits, not ready, while there is none.
func (r *Replica) bootstrap(ctx context.Context) error {
	failures := r.newBackoff()
	var search *snapshotSearch
	told := false
	for {
		oldest, next, err := r.probe(ctx)
		if err == nil {
			failures.reset()
			if search == nil {
				search = &snapshotSearch{low: next, high: next, open: make(map[snapshotID]*assembly)}
			}
			var found bool
			found, err = r.searchSnapshot(ctx, search, oldest, next)
			if found || r.canFollow(oldest) {
				return nil
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil && !isPassing(err) {
			return err
		}
		if err == nil && !told {
			told = true
			r.config.Notify(Notice{Kind: NoticeNoSnapshot, Stream: r.config.Stream, Offset: next})
		}
		if err := r.awaitEntry(ctx, next, err, failures); err != nil {
			return err
		}
	}
}

// isPassing says whether an error of the bootstrap may be gone at the next try.
func isPassing(err error) bool {
	var trimmed *platform.TrimmedError
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownEffect) ||
		errors.Is(err, ErrStaleImport) || errors.As(err, &trimmed)
}

// canFollow says whether the entry after the state is still in the log.
func (r *Replica) canFollow(oldest int64) bool {
	return r.Offset()+1 >= oldest
}

// probe returns the bounds of the log.
func (r *Replica) probe(ctx context.Context) (oldest, next int64, err error) {
	from := r.Offset() + 1
	for {
		reply, err := r.readOnce(ctx, from, 1, 0)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			from = trimmed.Oldest
			continue
		}
		if err != nil {
			return 0, 0, err
		}
		return reply.Oldest, reply.Next, nil
	}
}

// awaitEntry waits for the log to grow, or after a failure for a pause.
func (r *Replica) awaitEntry(ctx context.Context, next int64, failure error, failures *backoff) error {
	if failure == nil {
		_, failure = r.readOnce(ctx, next, 1, longRead)
	}
	if failure != nil {
		return failures.pause(ctx, nil)
	}
	return nil
}

// searchSnapshot reads what was not yet searched, the newest entries first, and restores the newest
// complete snapshot that the log can be followed from.
func (r *Replica) searchSnapshot(ctx context.Context, search *snapshotSearch, oldest, next int64) (bool, error) {
	for search.high < next {
		end := min(next, search.high+readLimit)
		found, err := r.searchWindow(ctx, search, search.high, end, oldest)
		if found || err != nil {
			return found, err
		}
		search.high = end
	}
	for search.low > oldest {
		start := max(oldest, search.low-readLimit)
		found, err := r.searchWindow(ctx, search, start, search.low, oldest)
		if found || err != nil {
			return found, err
		}
		search.low = start
	}
	return false, nil
}

// searchWindow gathers the snapshot parts in [from, to) and restores the newest snapshot completed there.
func (r *Replica) searchWindow(ctx context.Context, search *snapshotSearch, from, to, oldest int64) (bool, error) {
	best := snapshotID{base: noOffset}
	for from < to {
		reply, err := r.readOnce(ctx, from, readLimit, 0)
		if err != nil {
			return false, err
		}
		if len(reply.Entries) == 0 {
			break
		}
		for _, logged := range reply.Entries {
			if logged.Offset >= to {
				break
			}
			if id, complete := search.take(logged); complete && id.base > best.base {
				best = id
			}
		}
		from = reply.Entries[len(reply.Entries)-1].Offset + 1
	}
	if best.base <= r.Offset() || best.base+1 < oldest {
		return false, nil
	}
	data, sound := search.open[best].join(best)
	delete(search.open, best)
	if !sound {
		r.config.Notify(Notice{Kind: NoticeSnapshotFailed, Stream: r.config.Stream, Offset: best.base, Err: errors.New("the checksum of the snapshot is wrong: an older one is searched")})
		return false, nil
	}
	if err := r.restore(best.base, data, false); err != nil {
		return false, err
	}
	return true, nil
}

// take gathers the snapshot parts of one entry; it returns the newest snapshot that they complete.
func (s *snapshotSearch) take(logged *apiv1.LogEntry) (snapshotID, bool) {
	entry, err := DecodeEntry(logged.Payload)
	if err != nil {
		// The fold stops here if the entry follows the state; a newer snapshot may hold it already.
		return snapshotID{}, false
	}
	newest, complete := snapshotID{}, false
	for _, record := range entry.Records {
		chunk := record.GetSnapshotChunk()
		if chunk == nil || !validChunk(chunk) {
			continue
		}
		id := idOf(keyOf(entry.Author), chunk)
		if s.open[id] == nil {
			s.open[id] = &assembly{}
		}
		if s.open[id].add(chunk) && (!complete || id.base > newest.base) {
			newest, complete = id, true
		}
	}
	return newest, complete
}
