// Package storelog reads and writes the scheduler's durable state in the platform's store.
//
// The store is a log of keyed records that retains the latest record of each key indefinitely. An Appender writes each
// record exactly once, even if answers are lost. A Follower delivers the same records to every reader in the same order.
package storelog

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Partition. All but ErrNoAnswer guarantee that nothing was appended.
var (
	// ErrFenced means that the producer has used a higher epoch elsewhere: stop writing under this one.
	ErrFenced = errors.New("a later epoch of the producer holds the partition: stop writing under this epoch")
	// ErrEndMoved means that the partition did not end at the expected offset: read on and decide again.
	ErrEndMoved = errors.New("the partition does not end at the expected offset: read on and try again")
	// ErrRefused means that the store rejected the call without any effect: try again later.
	ErrRefused = errors.New("the store refused the call: try again later")
	// ErrNoAnswer means that the call may or may not take effect, now or seconds later: repeat it unchanged.
	ErrNoAnswer = errors.New("the store did not answer: repeat the call unchanged")
	// ErrTrimmed means that the requested records have been trimmed: start again from the latest record of each key.
	ErrTrimmed = errors.New("the requested records have been trimmed: read the latest record of each key")
)

// SequenceError means that the store expects another sequence number.
type SequenceError struct{ Expected int64 }

// Error returns a message with the expected number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d: use a new epoch", e.Expected)
}

// Record is one keyed record. An empty Value deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is a group of records that is appended atomically.
type Batch struct {
	Producer string
	Epoch    int64
	Sequence int64
	// ExpectedEnd, if set, is the offset at which the partition must end for the append to succeed.
	ExpectedEnd *int64
	Records     []Record
}

// Page is a part of a partition.
type Page struct {
	Records []Record
	// End is the offset after the last record of the partition.
	End int64
	// More is true if ReadLatest has further keys after the last record of the page.
	More bool
}

// MaxSilence is how long nothing of the answer to a read may arrive before its connection counts as silent. On slow days the
// store takes about 400 ms to answer.
const MaxSilence = 600 * time.Millisecond

// Partition is one partition of a keyed topic of the platform's store.
//
// Read and ReadLatest end with ErrNoAnswer once nothing of the answer has arrived for MaxSilence, in addition to the time that
// the store may wait or work before it answers. An answer that keeps arriving may take any time, because its size depends
// on what was written since the last read.
type Partition interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, batch Batch) (int64, error)
	// Read returns the records from an offset on and waits up to the given time for the first one.
	Read(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// ReadEnd returns the offset after the last record; from is an offset that the store still has. The answer is small
	// however many records follow from.
	ReadEnd(ctx context.Context, from int64) (int64, error)
	// ReadLatest returns a page of the latest record of each key, sorted by key, for the keys after the given one.
	ReadLatest(ctx context.Context, after string) (Page, error)
}
