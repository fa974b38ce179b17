// Package audit reads the audit trail: every record of the ledger stream with who, when, why and outcome.
//
// The trail is the stream itself in the log service; this package keeps nothing but the outcomes that
// the instance saw while it folded the records.
package audit

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// maxRejections bounds the rejections that are remembered.
	maxRejections = 4096
	// maxEntries bounds the entries of one page.
	maxEntries = 100
)

// recordKey names one record of the stream.
type recordKey struct {
	offset   int64
	sequence uint64
}

// Trail reads the audit trail. It is safe for concurrent use.
type Trail struct {
	log platform.Log

	mu         sync.Mutex
	rejections map[recordKey]string
	order      []recordKey
	// knownFrom is the first offset whose outcomes are known.
	knownFrom int64
}

// New returns a Trail over the log. Observe must be subscribed to the ledger's replica.
func New(log platform.Log) *Trail {
	return &Trail{log: log, rejections: make(map[recordKey]string)}
}

// Observe notes the outcome of a record.
func (t *Trail) Observe(event ledger.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if event.Restored {
		t.knownFrom = event.Offset + 1
		return
	}
	if event.Rejection == nil {
		return
	}
	key := recordKey{offset: event.Offset, sequence: event.Record.Sequence}
	t.rejections[key] = event.Rejection.Message
	t.order = append(t.order, key)
	if len(t.order) > maxRejections {
		oldest := t.order[0]
		delete(t.rejections, oldest)
		t.order = t.order[1:]
		t.knownFrom = max(t.knownFrom, oldest.offset+1)
	}
}

// Page returns the records of the entries from the offset on. With none there it waits up to wait. When the
// log no longer keeps the offset, the page starts at the oldest that it keeps. Errors come from the log.
func (t *Trail) Page(ctx context.Context, from int64, limit int, wait time.Duration) (*apiv1.AuditPage, error) {
	read, err := t.log.Read(ctx, platform.StreamLedger, from, min(limit, maxEntries), wait)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		read, err = t.log.Read(ctx, platform.StreamLedger, trimmed.Oldest, min(limit, maxEntries), wait)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the audit trail")
	}
	page := &apiv1.AuditPage{Next: from}
	for _, logged := range read.Entries {
		entry, err := ledger.DecodeEntry(logged.Payload)
		if err != nil {
			return nil, errors.Wrap(err, "decode the audit trail")
		}
		page.Records = append(page.Records, t.records(logged.Offset, entry)...)
		page.Next = logged.Offset + 1
	}
	return page, nil
}

// records returns the changes of an entry with their outcomes.
func (t *Trail) records(offset int64, entry *apiv1.Entry) []*apiv1.AuditRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*apiv1.AuditRecord
	for _, record := range entry.Records {
		if record.GetSnapshotChunk() != nil {
			continue
		}
		records = append(records, &apiv1.AuditRecord{
			Offset:       offset,
			Author:       entry.Author,
			Record:       withoutPayload(record),
			Rejection:    t.rejections[recordKey{offset: offset, sequence: record.Sequence}],
			OutcomeKnown: offset >= t.knownFrom,
		})
	}
	return records
}

// withoutPayload returns the record without what a caller's tasks run.
func withoutPayload(record *apiv1.Record) *apiv1.Record {
	if len(record.GetJobSubmitted().GetSpec().GetPayload()) == 0 {
		return record
	}
	stripped := proto.CloneOf(record)
	stripped.GetJobSubmitted().Spec.Payload = nil
	return stripped
}
