// Package logservice is a stand-in for the platform's log service: streams in memory with offsets,
// limited retention and faults that a test switches on. It is a platform.Log for tests in the same
// process and an http.Handler for separate processes.
package logservice

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// MaxReplyBytes bounds the payloads of one read reply, bytes; a reply holds at least one entry.
const MaxReplyBytes = 1 << 20

// MaxWait bounds how long a read waits for an entry.
const MaxWait = time.Minute

// Options configure a Service.
type Options struct {
	// Retention is how long entries are kept; 0 means for ever.
	Retention time.Duration
	// MaxEntries is how many entries a stream keeps; 0 means no bound.
	MaxEntries int
	// Seed of the draws that decide which answers are lost.
	Seed uint64
}

// Counters count what the service was asked for.
type Counters struct {
	// Appends that arrived, those that faults stopped included.
	AppendCalls int64 `json:"append_calls"`
	// Appends that took effect.
	Appends int64 `json:"appends"`
	// Payload bytes of appends that took effect.
	AppendBytes int64 `json:"append_bytes"`
	ReadCalls   int64 `json:"read_calls"`
	// Payload bytes of read replies.
	ReadBytes int64 `json:"read_bytes"`
}

// Service is the stand-in. Its methods may be called from many goroutines.
type Service struct {
	options Options

	mu       sync.Mutex
	streams  map[string]*stream
	faults   Faults
	random   *rand.Rand
	counters Counters
	// changed is closed and replaced when an entry arrives or the faults change.
	changed chan struct{}
}

// stream is one ordered list of entries; entries[0] has the offset oldest.
type stream struct {
	oldest  int64
	entries []entry
}

type entry struct {
	payload  []byte
	received time.Time
}

// New returns an empty service.
func New(options Options) *Service {
	return &Service{
		options: options,
		streams: make(map[string]*stream),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
		changed: make(chan struct{}),
	}
}

var _ platform.Log = (*Service)(nil)

// Append adds payload to the stream and returns its offset.
func (s *Service) Append(ctx context.Context, name string, payload []byte) (int64, error) {
	if len(payload) > platform.MaxEntryBytes {
		return 0, errors.Wrapf(platform.ErrUnavailable, "payload of %d bytes is above %d", len(payload), platform.MaxEntryBytes)
	}
	fate, delay := s.drawFate()
	if fate == fateRefused {
		return 0, errors.Wrap(platform.ErrUnavailable, "append")
	}
	if err := sleep(ctx, delay); err != nil {
		return 0, errors.Wrap(platform.ErrUnknownEffect, err.Error())
	}
	if fate == fateLostBefore {
		return 0, errors.Wrap(platform.ErrUnknownEffect, "connection lost")
	}
	offset, err := s.store(name, payload)
	if err != nil {
		return 0, err
	}
	if fate == fateLostAfter {
		return 0, errors.Wrap(platform.ErrUnknownEffect, "connection lost")
	}
	return offset, nil
}

// store appends the payload unless an outage began while the append was slow.
func (s *Service) store(name string, payload []byte) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return 0, errors.Wrap(platform.ErrUnavailable, "append")
	}
	st := s.stream(name)
	offset := st.next()
	st.entries = append(st.entries, entry{payload: append([]byte(nil), payload...), received: time.Now()})
	s.counters.Appends++
	s.counters.AppendBytes += int64(len(payload))
	s.trim(st)
	s.wake()
	return offset, nil
}

// Read returns entries from the offset on. With none there it waits up to wait, at most MaxWait, for one.
func (s *Service) Read(ctx context.Context, name string, from int64, limit int, wait time.Duration) (*apiv1.ReadReply, error) {
	if wait <= 0 {
		reply, _, err := s.readNow(name, from, limit, true)
		return reply, err
	}
	timer := time.NewTimer(min(wait, MaxWait))
	defer timer.Stop()
	for first := true; ; first = false {
		reply, changed, err := s.readNow(name, from, limit, first)
		if err != nil || len(reply.Entries) > 0 {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply, nil
		case <-ctx.Done():
			return nil, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
		}
	}
}

func (s *Service) readNow(name string, from int64, limit int, count bool) (*apiv1.ReadReply, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count {
		s.counters.ReadCalls++
	}
	if s.faults.Outage {
		return nil, nil, errors.Wrap(platform.ErrUnavailable, "read")
	}
	st := s.stream(name)
	s.trim(st)
	if from < st.oldest {
		return nil, nil, &platform.TrimmedError{Stream: name, From: from, Oldest: st.oldest}
	}
	reply := &apiv1.ReadReply{Oldest: st.oldest, Next: st.next(), RetentionMs: s.options.Retention.Milliseconds()}
	bytes := 0
	for offset := from; offset < st.next() && len(reply.Entries) < limit; offset++ {
		payload := st.entries[offset-st.oldest].payload
		bytes += len(payload)
		if bytes > MaxReplyBytes && len(reply.Entries) > 0 {
			break
		}
		s.counters.ReadBytes += int64(len(payload))
		reply.Entries = append(reply.Entries, &apiv1.LogEntry{Offset: offset, Payload: payload})
	}
	return reply, s.changed, nil
}

// Counters returns what was counted so far.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}
	return st
}

func (st *stream) next() int64 {
	return st.oldest + int64(len(st.entries))
}

// trim drops the entries that the options no longer keep.
func (s *Service) trim(st *stream) {
	drop := 0
	if s.options.MaxEntries > 0 {
		drop = max(0, len(st.entries)-s.options.MaxEntries)
	}
	if s.options.Retention > 0 {
		horizon := time.Now().Add(-s.options.Retention)
		for drop < len(st.entries) && st.entries[drop].received.Before(horizon) {
			drop++
		}
	}
	if drop == 0 {
		return
	}
	st.oldest += int64(drop)
	clear(st.entries[:drop])
	st.entries = st.entries[drop:]
}

func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func sleep(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("append given up: %w", ctx.Err())
	}
}
