package ledger

import (
	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// outcome is what the fold did with one record.
type outcome struct {
	record    *apiv1.Record
	rejection *Rejection
}

// foldEntries folds the entries that follow the state's offset, in order.
func (r *Replica) foldEntries(entries []*apiv1.LogEntry) error {
	for _, entry := range entries {
		if err := r.foldEntry(entry); err != nil {
			return errors.Wrapf(err, "stream %s, offset %d", r.config.Stream, entry.Offset)
		}
	}
	return nil
}

// foldEntry applies one entry whole and tells of it. An entry that the state holds already is skipped.
func (r *Replica) foldEntry(logged *apiv1.LogEntry) error {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	next := r.Offset() + 1
	if logged.Offset < next {
		return nil
	}
	if logged.Offset > next {
		return errors.Wrapf(ErrLogBroken, "expected offset %d", next)
	}
	entry, err := DecodeEntry(logged.Payload)
	if err != nil {
		return err
	}
	outcomes, err := r.applyEntry(logged.Offset, entry)
	if err != nil {
		return err
	}
	r.tell(logged.Offset, entry.Author, outcomes)
	return nil
}

func (r *Replica) applyEntry(offset int64, entry *apiv1.Entry) ([]outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	author := keyOf(entry.Author)
	outcomes := make([]outcome, 0, len(entry.Records))
	for _, record := range entry.Records {
		if !r.marks.note(author, record.Sequence, r.clock.millis) {
			continue
		}
		r.clock.advance(author.instance, record.TimeUnixMs)
		if chunk := record.GetSnapshotChunk(); chunk != nil {
			r.reach.newest.note(author, chunk, record.TimeUnixMs, now)
			outcomes = append(outcomes, outcome{record: record})
			continue
		}
		r.reach.newest.noteRecord(record.TimeUnixMs, now)
		rejection, err := r.applyRecord(offset, entry.Author, record)
		if err != nil {
			return nil, err
		}
		outcomes = append(outcomes, outcome{record: record, rejection: rejection})
	}
	r.offset = offset
	return outcomes, nil
}

func (r *Replica) applyRecord(offset int64, author *apiv1.Author, record *apiv1.Record) (*Rejection, error) {
	step := Step{Offset: offset, Author: author, TimeMillis: r.clock.millis}
	err := r.config.Machine.Apply(step, record)
	if err == nil {
		return nil, nil
	}
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection, nil
	}
	return nil, err
}

// tell calls the subscribers and then answers the proposers of this replica.
func (r *Replica) tell(offset int64, author *apiv1.Author, outcomes []outcome) {
	own := keyOf(author) == keyOf(r.config.Author)
	for _, result := range outcomes {
		if result.record.GetSnapshotChunk() == nil {
			r.publish(Event{Offset: offset, Author: author, Record: result.record, Rejection: result.rejection})
		}
		if own {
			r.proposals.resolve(result.record.Sequence, result.rejection)
		}
	}
}

func (r *Replica) publish(event Event) {
	for _, observe := range r.subscribers {
		observe(event)
	}
}
