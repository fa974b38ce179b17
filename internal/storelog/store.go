// Package storelog keeps the scheduler's lasting state on the platform's store.
//
// The store is a log of keyed records that keeps the newest record of each key for good. An Appender writes each
// record exactly once, also when answers are lost. A Follower hands every reader the same records in the same order.
package storelog

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store. All but ErrNoAnswer say that nothing was appended.
var (
	// ErrFenced means that the producer used a higher epoch elsewhere: stop writing under this one.
	ErrFenced = errors.New("a later epoch of the producer holds the partition: stop writing under this epoch")
	// ErrEndMoved means that the partition did not end where the condition said: read on and decide again.
	ErrEndMoved = errors.New("the partition does not end at the expected offset: read on and try again")
	// ErrRefused means that the store did nothing: try again later.
	ErrRefused = errors.New("the store refused the call: try again later")
	// ErrNoAnswer means that the call may or may not take effect, now or seconds later: repeat it unchanged.
	ErrNoAnswer = errors.New("the store did not answer: repeat the call unchanged")
	// ErrTrimmed means that the asked records are gone: start again from the newest of each key.
	ErrTrimmed = errors.New("the records are no longer kept: read the newest of each key")
)

// SequenceError means that the store expects another sequence number.
type SequenceError struct{ Expected int64 }

// Error names the expected number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d: take a new epoch", e.Expected)
}

// Record is one keyed record. An empty Value drops the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is appended whole or not at all.
type Batch struct {
	Producer string
	Epoch    int64
	Sequence int64
	// ExpectedEnd, if set, is where the partition must end.
	ExpectedEnd *int64
	Records     []Record
}

// Page is a part of a partition.
type Page struct {
	Records []Record
	// End is the offset after the newest record of the partition.
	End int64
	// More tells that the newest of each key go on after the last record.
	More bool
}

// Partition is one partition of a keyed topic of the platform's store.
type Partition interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, batch Batch) (int64, error)
	// Read returns the records from an offset on and waits for the first one at most the given time.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Newest returns a page of the newest record of each key, in the order of the keys, after a key.
	ReadLatest(ctx context.Context, after string) (Page, error)
}
