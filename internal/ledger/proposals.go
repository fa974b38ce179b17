package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

const (
	// MaxRecordBytes bounds one proposed record, bytes; snapshot chunks may be larger.
	MaxRecordBytes = platform.MaxEntryBytes / 2
	// recordOverheadBytes bounds what the entry, the sequence and the time add to a record, bytes.
	recordOverheadBytes = 64
	// maxBatchBytes bounds the records of one append, bytes.
	maxBatchBytes = platform.MaxEntryBytes - 4<<10
	// lazyDelay is how long a record of ProposeLazily waits for an append that is made for another.
	lazyDelay = 250 * time.Millisecond
	// maxQueuedRecords bounds the proposals that wait to be sent.
	maxQueuedRecords = 8192
	// maxQueuedBytes bounds their size, bytes.
	maxQueuedBytes = 4 << 20
)

// proposal is one record on its way into the log and back.
type proposal struct {
	record *apiv1.Record
	bytes  int
	// due is when an append is made for this record; it rides with an earlier one.
	due time.Time
	// done gets the outcome once.
	done chan error
	// abandoned: the proposer has gone and was told that the outcome is not known.
	abandoned bool
}

// proposals hold the records of this replica that wait to be sent or to be read back.
type proposals struct {
	// wake has a token when a record waits.
	wake chan struct{}
	// sending has a token when records were sent since expected was asked.
	sending chan struct{}

	mu sync.Mutex
	// progress is closed and replaced when records were read back.
	progress    chan struct{}
	queue       []*proposal
	queuedBytes int
	// sent are the proposals whose record may be in the log, by sequence.
	sent map[uint64]*proposal
	// sequence is the last one given to a record.
	sequence uint64
	// readBack is the highest sequence seen in the log.
	readBack uint64
	closed   bool
}

func newProposals() *proposals {
	return &proposals{
		wake:     make(chan struct{}, 1),
		sending:  make(chan struct{}, 1),
		progress: make(chan struct{}),
		sent:     make(map[uint64]*proposal),
	}
}

// Propose appends a record and returns when it was read back through the fold: nil when it was
// accepted, a *Rejection when not. When ctx ends first, the error wraps ErrNotProposed if the record
// certainly never reached the log, else ErrOutcomeUnknown. The record belongs to the replica from here
// on, which sets its sequence, and its time unless it has one.
func (r *Replica) Propose(ctx context.Context, record *apiv1.Record) error {
	return r.proposeChecked(ctx, record, 0)
}

// ProposeLazily is Propose for a record that nobody waits for, such as the end of a request whose answer
// is out: it shares the next append, and has one of its own only after lazyDelay. It saves the budget
// for records that somebody waits for.
func (r *Replica) ProposeLazily(ctx context.Context, record *apiv1.Record) error {
	return r.proposeChecked(ctx, record, lazyDelay)
}

func (r *Replica) proposeChecked(ctx context.Context, record *apiv1.Record, delay time.Duration) error {
	encoded, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrapf(ErrNotProposed, "the record cannot be encoded, correct it (%v)", err)
	}
	if size := len(encoded) + recordOverheadBytes; size > MaxRecordBytes {
		return &RecordTooLargeError{Bytes: size}
	}
	return r.propose(ctx, record, delay)
}

func (r *Replica) propose(ctx context.Context, record *apiv1.Record, delay time.Duration) error {
	if record.TimeUnixMs == 0 {
		record.TimeUnixMs = r.config.Now().UnixMilli()
	}
	p := &proposal{
		record: record,
		bytes:  proto.Size(record) + recordOverheadBytes,
		due:    time.Now().Add(delay),
		done:   make(chan error, 1),
	}
	if err := r.proposals.enqueue(p); err != nil {
		return err
	}
	if delay > 0 {
		defer time.AfterFunc(delay, func() { signal(r.proposals.wake) }).Stop()
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return r.proposals.abandon(p, ctx.Err())
	}
}

func (q *proposals) enqueue(p *proposal) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return errors.Wrap(ErrNotProposed, "the replica has stopped")
	}
	if len(q.queue) >= maxQueuedRecords || q.queuedBytes+p.bytes > maxQueuedBytes {
		return errors.Wrapf(ErrNotProposed, "%d records wait for the log", len(q.queue))
	}
	q.queue = append(q.queue, p)
	q.queuedBytes += p.bytes
	signal(q.wake)
	return nil
}

// signal puts a token into a channel that holds one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// abandon ends a proposal for its proposer and says whether it can be in the log.
func (q *proposals) abandon(p *proposal, cause error) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	default:
	}
	for i, waiting := range q.queue {
		if waiting == p {
			q.queue = slices.Delete(q.queue, i, i+1)
			q.queuedBytes -= p.bytes
			return errors.Wrap(ErrNotProposed, cause.Error())
		}
	}
	p.abandoned = true
	return errors.Wrap(ErrOutcomeUnknown, cause.Error())
}

// take moves waiting proposals into a batch for one append and gives them their sequences.
func (q *proposals) take() []*proposal {
	q.mu.Lock()
	defer q.mu.Unlock()
	bytes, count := 0, 0
	for count < len(q.queue) && (count == 0 || bytes+q.queue[count].bytes <= maxBatchBytes) {
		bytes += q.queue[count].bytes
		count++
	}
	batch := append([]*proposal(nil), q.queue[:count]...)
	q.queue = slices.Delete(q.queue, 0, count)
	q.queuedBytes -= bytes
	for _, p := range batch {
		q.sequence++
		p.record.Sequence = q.sequence
		q.sent[q.sequence] = p
	}
	signal(q.sending)
	return batch
}

// expected says whether a record of this replica is to be read back.
func (q *proposals) expected() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-q.sending:
	default:
	}
	return len(q.sent) > 0
}

// due says whether a waiting record is to be sent now.
func (q *proposals) due() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(q.queue, func(p *proposal) bool { return !p.due.After(now) })
}

// giveBack returns a batch that certainly never reached the log to the head of the queue. Its
// sequences stay unused.
func (q *proposals) giveBack(batch []*proposal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	kept := make([]*proposal, 0, len(batch)+len(q.queue))
	for _, p := range batch {
		delete(q.sent, p.record.Sequence)
		if p.abandoned {
			continue
		}
		kept = append(kept, p)
		q.queuedBytes += p.bytes
	}
	q.queue = append(kept, q.queue...)
}

// resolve answers the proposer of a record that was read back.
func (q *proposals) resolve(sequence uint64, rejection *Rejection) {
	var err error
	if rejection != nil {
		err = rejection
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.finish(sequence, err)
	q.noteReadBack(sequence)
}

// restored answers the proposers of records that a restored state holds: whether they were accepted
// was not seen.
func (q *proposals) restored(sequence uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for sent := range q.sent {
		if sent <= sequence {
			q.finish(sent, errors.Wrap(ErrOutcomeUnknown, "the state was restored past the record"))
		}
	}
	q.noteReadBack(sequence)
}

func (q *proposals) finish(sequence uint64, err error) {
	p := q.sent[sequence]
	if p == nil {
		return
	}
	delete(q.sent, sequence)
	p.done <- err
}

func (q *proposals) noteReadBack(sequence uint64) {
	if sequence <= q.readBack {
		return
	}
	q.readBack = sequence
	close(q.progress)
	q.progress = make(chan struct{})
}

// seen reports whether the sequence was read back, and a channel that closes with the next progress.
func (q *proposals) seen(sequence uint64) (bool, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return sequence <= q.readBack, q.progress
}

// close answers all proposers and refuses new ones.
func (q *proposals) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, p := range q.queue {
		p.done <- errors.Wrap(ErrNotProposed, "the replica has stopped")
	}
	q.queue = nil
	for sequence := range q.sent {
		q.finish(sequence, errors.Wrap(ErrOutcomeUnknown, "the replica has stopped"))
	}
}
