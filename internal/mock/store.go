// Package mock holds small stand-ins for tests in virtual time: the platform's store, workers, and instances of the
// scheduler over both.
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

// latency is how long the store and workers take to answer.
const latency = 4 * time.Millisecond

// Fault says what happens to one call of the store.
type Fault int

// Faults.
const (
	None Fault = iota
	// Refuse does nothing and says so.
	Refuse
	// DropRequest does nothing and doesn't answer.
	DropRequest
	// DropResponse does what was asked and doesn't answer.
	DropResponse
)

// errHidden is the reason of an answer that never came.
var errHidden = errors.Wrap(storelog.ErrNoAnswer, "no answer came")

// Store is one keyed partition that never forgets the newest record of a key.
type Store struct {
	mu      sync.Mutex
	records []storelog.Record
	first   int64
	epochs  map[string]producer
	changed chan struct{}
	judging sync.Mutex
	fault   func(instance, call string) Fault
	appends int
}

// producer is what the store remembers of a producer.
type producer struct {
	epoch, next int64
	answers     map[int64]int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{epochs: map[string]producer{}, changed: make(chan struct{})}
}

// InjectFaults lets fault decide the fate of each later call: by the instance that calls and by "append", "read" or "newest".
func (s *Store) InjectFaults(fault func(instance, call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// judge returns the fate of a call. One call at a time is judged, so a fault may keep state.
func (s *Store) judge(instance, call string) Fault {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault == nil {
		return None
	}
	s.judging.Lock()
	defer s.judging.Unlock()
	return fault(instance, call)
}

// Trim forgets all records but the newest of each key.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.records))
}

// AppendCount counts the appends that took effect.
func (s *Store) AppendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Records returns all records ever written.
func (s *Store) Records() []storelog.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records)
}

// Put appends a record as another writer does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add([]storelog.Record{{Key: key, Value: value}})
}

// ForInstance returns the store as one instance reaches it.
func (s *Store) ForInstance(instance string) storelog.Partition {
	return &access{store: s, instance: instance}
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

// append checks producer and condition under the lock.
func (s *Store) append(batch storelog.Batch) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, seen := s.epochs[batch.Producer]
	switch {
	case seen && batch.Epoch < known.epoch:
		return 0, storelog.ErrFenced
	case seen && batch.Epoch == known.epoch:
		if offset, repeated := known.answers[batch.Sequence]; repeated {
			return offset, nil
		}
		if batch.Sequence != known.next {
			return 0, &storelog.SequenceError{Expected: known.next}
		}
	default:
		known = producer{epoch: batch.Epoch, answers: map[int64]int64{}}
	}
	if batch.ExpectedEnd != nil && *batch.ExpectedEnd != int64(len(s.records)) {
		return 0, storelog.ErrEndMoved
	}
	offset := s.add(batch.Records)
	s.appends++
	known.next, known.answers[batch.Sequence] = batch.Sequence+1, offset
	s.epochs[batch.Producer] = known
	return offset, nil
}

// access is the store as one instance reaches it.
type access struct {
	store    *Store
	instance string
}

func (a *access) fate(ctx context.Context, call string) (Fault, error) {
	select {
	case <-ctx.Done():
		return DropRequest, errHidden
	case <-time.After(latency):
	}
	switch fate := a.store.judge(a.instance, call); fate {
	case Refuse:
		return fate, storelog.ErrRefused
	case DropRequest:
		<-ctx.Done()
		return fate, errHidden
	default:
		return fate, nil
	}
}

// Append implements storelog.Partition.
func (a *access) Append(ctx context.Context, batch storelog.Batch) (int64, error) {
	fate, err := a.fate(ctx, "append")
	if err != nil {
		return 0, err
	}
	offset, err := a.store.append(batch)
	if fate == DropResponse {
		<-ctx.Done()
		return 0, errHidden
	}
	return offset, err
}

// Read implements storelog.Partition.
func (a *access) Read(ctx context.Context, from int64, wait time.Duration) (storelog.Page, error) {
	if _, err := a.fate(ctx, "read"); err != nil {
		return storelog.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a.store.mu.Lock()
		end, first, changed := int64(len(a.store.records)), a.store.first, a.store.changed
		var records []storelog.Record
		if from < end {
			records = slices.Clone(a.store.records[from:])
		}
		a.store.mu.Unlock()
		switch {
		case from < first:
			return storelog.Page{}, storelog.ErrTrimmed
		case len(records) > 0:
			return storelog.Page{Records: records, End: end}, nil
		}
		select {
		case <-ctx.Done():
			return storelog.Page{}, errHidden
		case <-timer.C:
			return storelog.Page{End: end}, nil
		case <-changed:
		}
	}
}

// newestPage is the number of records on a page; small, so that tests see several.
const newestPage = 50

// ReadLatest implements storelog.Partition.
func (a *access) ReadLatest(ctx context.Context, after string) (storelog.Page, error) {
	if _, err := a.fate(ctx, "newest"); err != nil {
		return storelog.Page{}, err
	}
	a.store.mu.Lock()
	defer a.store.mu.Unlock()
	newest := map[string]storelog.Record{}
	for _, record := range a.store.records {
		newest[record.Key] = record
	}
	keys := make([]string, 0, len(newest))
	for key, record := range newest {
		if key > after && len(record.Value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := storelog.Page{End: int64(len(a.store.records)), More: len(keys) > newestPage}
	for _, key := range keys[:min(len(keys), newestPage)] {
		page.Records = append(page.Records, newest[key])
	}
	return page, nil
}
