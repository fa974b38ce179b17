package state

import (
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

// applySheet accepts a sheet made against the revision in force, so that of two racing operators one
// is told whose revision came first.
func (s *State) applySheet(record *apiv1.Record, applied *apiv1.SheetApplied) *ledger.Rejection {
	if applied.Sheet == nil {
		return ledger.Reject(ledger.Malformed, "the record has no sheet: apply a whole sheet")
	}
	current := s.RevisionNumber()
	if applied.BaseRevision != current {
		return s.rejectBase(applied.BaseRevision)
	}
	s.revisions = append(s.revisions, &apiv1.Revision{
		Number:     current + 1,
		Actor:      shorten(record.Actor),
		Reason:     shorten(record.Reason),
		TimeUnixMs: record.TimeUnixMs,
		Sheet:      applied.Sheet,
	})
	if excess := len(s.revisions) - MaxRevisions; excess > 0 {
		clear(s.revisions[:excess])
		s.revisions = s.revisions[excess:]
	}
	return nil
}

// rejectBase names the revision that came first.
func (s *State) rejectBase(base uint64) *ledger.Rejection {
	current := s.RevisionNumber()
	if base > current {
		return ledger.Reject(ledger.StaleRevision, "revision %d does not exist, revision %d is in force: make the change against that", base, current)
	}
	first := s.revisions[0]
	for _, revision := range s.revisions {
		if revision.Number <= base+1 {
			first = revision
		}
	}
	when := time.UnixMilli(first.TimeUnixMs).UTC().Format(time.RFC3339)
	return ledger.Reject(ledger.StaleRevision,
		"the sheet was made against revision %d, but revision %d by %s of %s came first: compare with revision %d, which is in force, and apply again",
		base, first.Number, first.Actor, when, current)
}

// RevisionNumber is the number of the revision in force, 0 before the first.
func (s *State) RevisionNumber() uint64 {
	if len(s.revisions) == 0 {
		return 0
	}
	return s.revisions[len(s.revisions)-1].Number
}

// Revision returns the revision in force, nil before the first. It must not be changed.
func (s *State) Revision() *apiv1.Revision {
	if len(s.revisions) == 0 {
		return nil
	}
	return s.revisions[len(s.revisions)-1]
}

// Revisions returns the kept revisions, the one in force last. They must not be changed.
func (s *State) Revisions() []*apiv1.Revision {
	return append([]*apiv1.Revision(nil), s.revisions...)
}
