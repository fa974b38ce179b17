// Package mock provides in-memory fakes of the platform for tests: its store, its workers and their machines. They can
// inject faults, and the workers and machines record violations of what the scheduler has to guarantee. They use the time
// package, so tests can run them in virtual time with testing/synctest.
package mock

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// callLatency is how long the store, workers and machines take to answer a call.
const callLatency = 4 * time.Millisecond

// Fault is the fault that is injected into one call of the store.
type Fault int

// Faults.
const (
	None Fault = iota
	// Refuse returns storelog.ErrRefused; the call has no effect.
	Refuse
	// DropRequest loses the request: the call has no effect and gets no answer.
	DropRequest
	// DropResponse loses the response: an append takes effect but gets no answer. Reads ignore this fault.
	DropResponse
)

// errDropped is the error of a call without an answer.
var errDropped = errors.Wrap(storelog.ErrNoAnswer, "the answer did not arrive before the context ended")

// Store is an in-memory keyed partition. It retains the latest record of each key indefinitely.
type Store struct {
	mu sync.Mutex
	// records are all records ever written; those before firstOffset are trimmed.
	records     []storelog.Record
	firstOffset int64
	producers   map[string]producerState
	// changed is closed and replaced whenever records are added.
	changed chan struct{}
	// faultMu serialises calls of fault.
	faultMu sync.Mutex
	fault   func(instance, call string) Fault
	appends int
	// bandwidth is the speed of each instance's link in bytes per second; 0 is unlimited.
	bandwidth int
	// maxAppendBytes is the size of the records of an append above which it is refused; 0 is unlimited.
	maxAppendBytes int
}

// producerState is the state of one producer in its current epoch.
type producerState struct {
	epoch, nextSequence int64
	// offsets are the offsets of its appends by sequence number.
	offsets map[int64]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{producers: map[string]producerState{}, changed: make(chan struct{})}
}

// InjectFaults makes fault choose the fault of each later call, given the calling instance and the call: "append", "read"
// or "newest" (ReadLatest). Nil injects no faults. Calls of fault are serialised, so it may keep state.
func (s *Store) InjectFaults(fault func(instance, call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *Store) chooseFault(instance, call string) Fault {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault == nil {
		return None
	}
	s.faultMu.Lock()
	defer s.faultMu.Unlock()
	return fault(instance, call)
}

// LimitBandwidth sets the speed of each instance's link to the store in bytes per second; 0 is unlimited. The calls of one
// instance share its link.
func (s *Store) LimitBandwidth(bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bandwidth = bytesPerSecond
}

// LimitAppends makes the store refuse appends whose records are larger; 0 is unlimited.
func (s *Store) LimitAppends(maxBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxAppendBytes = maxBytes
}

// Trim trims all records written so far: Read returns storelog.ErrTrimmed for them. ReadLatest is unaffected.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstOffset = int64(len(s.records))
}

// AppendCount returns the number of appends that took effect. Put is not counted.
func (s *Store) AppendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Records returns all records ever written, including trimmed ones.
func (s *Store) Records() []storelog.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Put appends a record outside any producer, as other writers of the platform do.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add([]storelog.Record{{Key: key, Value: value}})
}

// ForInstance returns the partition whose calls are made by the given instance. Faults can depend on the instance.
func (s *Store) ForInstance(instance string) storelog.Partition {
	return &instancePartition{store: s, instance: instance, link: make(chan struct{}, 1)}
}

func (s *Store) add(records []storelog.Record) int64 {
	offset := int64(len(s.records))
	for i, record := range records {
		record.Offset = offset + int64(i)
		s.records = append(s.records, record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// append appends a batch if its producer, its sequence number and the expected end of the partition are valid. A repeated
// batch returns the offset of the first append.
func (s *Store) append(batch storelog.Batch) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := 0
	for _, record := range batch.Records {
		size += recordBytes(record)
	}
	if s.maxAppendBytes > 0 && size > s.maxAppendBytes {
		return 0, storelog.ErrRefused
	}
	known, seen := s.producers[batch.Producer]
	switch {
	case seen && batch.Epoch < known.epoch:
		return 0, storelog.ErrFenced
	case seen && batch.Epoch == known.epoch:
		if offset, repeated := known.offsets[batch.Sequence]; repeated {
			return offset, nil
		}
		if batch.Sequence != known.nextSequence {
			return 0, &storelog.SequenceError{Expected: known.nextSequence}
		}
	default:
		known = producerState{epoch: batch.Epoch, offsets: map[int64]int64{}}
	}
	if batch.ExpectedEnd != nil && *batch.ExpectedEnd != int64(len(s.records)) {
		return 0, storelog.ErrEndMoved
	}
	offset := s.add(batch.Records)
	s.appends++
	known.nextSequence, known.offsets[batch.Sequence] = batch.Sequence+1, offset
	s.producers[batch.Producer] = known
	return offset, nil
}

// instancePartition implements storelog.Partition for one instance.
type instancePartition struct {
	store    *Store
	instance string
	// link holds a value while a call uses the link.
	link chan struct{}
}

// transfer waits until records have passed the instance's link. It returns an error if ctx ends before.
func (p *instancePartition) transfer(ctx context.Context, records []storelog.Record) error {
	p.store.mu.Lock()
	bandwidth := p.store.bandwidth
	p.store.mu.Unlock()
	if bandwidth == 0 {
		return nil
	}
	size := 0
	for _, record := range records {
		size += recordBytes(record)
	}
	for ; size > 0; size -= chunkBytes {
		select {
		case <-ctx.Done():
			return errDropped
		case p.link <- struct{}{}:
		}
		time.Sleep(time.Duration(min(size, chunkBytes)) * time.Second / time.Duration(bandwidth))
		<-p.link
	}
	return nil
}

// chunkBytes is how much of a transfer uses the link before another one gets its turn.
const chunkBytes = 16 << 10

func recordBytes(record storelog.Record) int { return len(record.Key) + len(record.Value) }

// maxPageBytes is the maximum size of the records of one read; a page has at least one record.
const maxPageBytes = 1 << 20

// firstPage returns the records at the front that fit into one page.
func firstPage(records []storelog.Record, maxBytes int) []storelog.Record {
	size := 0
	for i, record := range records {
		if size += recordBytes(record); size > maxBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// silentCall returns the context of a read: a call whose answer is lost ends when the store is silent for too long.
func silentCall(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, wait+storelog.MaxSilence)
}

// callFault waits for the latency of a call and returns its fault, with an error if the call has no effect.
func (p *instancePartition) callFault(ctx context.Context, call string) (Fault, error) {
	select {
	case <-ctx.Done():
		return DropRequest, errDropped
	case <-time.After(callLatency):
	}
	switch fault := p.store.chooseFault(p.instance, call); fault {
	case Refuse:
		return fault, storelog.ErrRefused
	case DropRequest:
		<-ctx.Done()
		return fault, errDropped
	default:
		return fault, nil
	}
}

// Append implements storelog.Partition.
func (p *instancePartition) Append(ctx context.Context, batch storelog.Batch) (int64, error) {
	fault, err := p.callFault(ctx, "append")
	if err != nil {
		return 0, err
	}
	if err := p.transfer(ctx, batch.Records); err != nil {
		return 0, err
	}
	offset, err := p.store.append(batch)
	if fault == DropResponse {
		<-ctx.Done()
		return 0, errDropped
	}
	return offset, err
}

// Read implements storelog.Partition.
func (p *instancePartition) Read(ctx context.Context, from int64, wait time.Duration) (storelog.Page, error) {
	call, cancel := silentCall(ctx, wait)
	defer cancel()
	if _, err := p.callFault(call, "read"); err != nil {
		return storelog.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.store.mu.Lock()
		end, first, changed := int64(len(p.store.records)), p.store.firstOffset, p.store.changed
		var records []storelog.Record
		if from < end {
			records = slices.Clone(p.store.records[from:])
		}
		p.store.mu.Unlock()
		switch {
		case from < first:
			return storelog.Page{}, storelog.ErrTrimmed
		case len(records) > 0:
			records = firstPage(records, maxPageBytes)
			return storelog.Page{Records: records, End: end}, p.transfer(ctx, records)
		}
		select {
		case <-ctx.Done():
			return storelog.Page{}, errDropped
		case <-timer.C:
			return storelog.Page{End: end}, nil
		case <-changed:
		}
	}
}

// ReadEnd implements storelog.Partition.
func (p *instancePartition) ReadEnd(ctx context.Context, _ int64) (int64, error) {
	call, cancel := silentCall(ctx, 0)
	defer cancel()
	if _, err := p.callFault(call, "read"); err != nil {
		return 0, err
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return int64(len(p.store.records)), nil
}

// latestPageSize is the number of records on a page of ReadLatest. It is small so that tests read several pages.
const latestPageSize = 50

// ReadLatest implements storelog.Partition.
func (p *instancePartition) ReadLatest(ctx context.Context, after string) (storelog.Page, error) {
	call, cancel := silentCall(ctx, 0)
	defer cancel()
	if _, err := p.callFault(call, "newest"); err != nil {
		return storelog.Page{}, err
	}
	page := p.latestPage(after)
	return page, p.transfer(ctx, page.Records)
}

// latestPage returns a page of the latest record of each key after the given one.
func (p *instancePartition) latestPage(after string) storelog.Page {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	latest := map[string]storelog.Record{}
	for _, record := range p.store.records {
		latest[record.Key] = record
	}
	keys := make([]string, 0, len(latest))
	for key, record := range latest {
		if key > after && len(record.Value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := storelog.Page{End: int64(len(p.store.records)), More: len(keys) > latestPageSize}
	for _, key := range keys[:min(len(keys), latestPageSize)] {
		page.Records = append(page.Records, latest[key])
	}
	return page
}
