package main

import (
	"encoding/base64"
	"encoding/binary"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// record is one keyed record of a topic.
type record struct {
	key    string
	value  []byte
	offset int64
}

// producerState is what a topic knows about a producer.
type producerState struct {
	epoch, sequence int64
	// offsets are those of the last appends, by their sequence number.
	offsets map[int64]int64
}

// topic is partition 0 of a keyed topic. Nothing expires during a case.
type topic struct {
	records   []record
	newest    map[string]record
	producers map[string]*producerState
	changed   chan struct{}
}

// store is a stand-in of the platform's store.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, which it creates on first use. The store must be locked.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]record{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
	}
	return s.topics[name]
}

// put appends one record as the platform, the operator or a worker does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]record{{key: key, value: value}})
}

func (t *topic) add(records []record) int64 {
	first := int64(len(t.records))
	for i, r := range records {
		r.offset = first + int64(i)
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	return mux
}

// handleAppend appends the records of the body, all or nothing.
func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	body, err := io.ReadAll(r.Body)
	query := r.URL.Query()
	records, ok := decodeRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name := query.Get("Topic"); name == topicOperator || name == topicServers {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("Topic"))
	producer, epoch, sequence := t.producers[query.Get("Producer")], number(query.Get("epoch")), number(query.Get("Seq"))
	if producer != nil && epoch == producer.epoch {
		if offset, repeated := producer.offsets[sequence]; repeated {
			writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(t.records)})
			return
		}
	}
	switch {
	case producer != nil && epoch < producer.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
		return
	case producer != nil && epoch == producer.epoch && sequence != producer.sequence+1:
		writeJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": producer.sequence + 1})
		return
	case query.Has("At") && number(query.Get("At")) != int64(len(t.records)):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"End": len(t.records)})
		return
	}
	offset := t.add(records)
	if query.Has("Producer") {
		if producer == nil || epoch > producer.epoch {
			producer = &producerState{epoch: epoch, offsets: map[int64]int64{}}
			t.producers[query.Get("Producer")] = producer
		}
		producer.sequence, producer.offsets[sequence] = sequence, offset
		delete(producer.offsets, sequence-5)
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(t.records)})
}

// handleRead answers as soon as there is a record, or after the time that the caller waits.
func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	from, limit := number(query.Get("From")), 1024
	if query.Has("MaxKb") {
		limit = int(number(query.Get("MaxKb")))
	}
	deadline := time.After(time.Duration(number(query.Get("WaitMs"))) * time.Millisecond)
	for waiting := query.Has("WaitMs"); ; {
		s.mu.Lock()
		t := s.topic(query.Get("Topic"))
		end, changed := int64(len(t.records)), t.changed
		if end > from || !waiting {
			answer := binary.BigEndian.AppendUint64(nil, uint64(end)) //nolint:gosec // an offset is not negative.
			answer = binary.BigEndian.AppendUint64(answer, 0)
			for at := from; at < end && len(answer) < limit<<10; at++ {
				answer = encodeRecord(answer, t.records[at])
			}
			s.mu.Unlock()
			_, _ = w.Write(answer)
			return
		}
		s.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			waiting = false
		case <-changed:
		}
	}
}

// handleNewest answers with a page of the newest record of each key.
func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("Topic"))
	var keys []string
	for key := range t.newest {
		if key > query.Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	const pageLength = 500
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageLength)] {
		r := t.newest[key]
		items = append(items, map[string]any{
			"Key": key, "Value": base64.StdEncoding.EncodeToString(r.value), "Offset": r.offset,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": len(keys) > pageLength, "End": len(t.records)})
}

func decodeRecords(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > len(body)-4 || int(body[4]) > size-1 {
			return nil, false
		}
		raw := body[4 : 4+size]
		keySize := int(raw[0])
		records = append(records, record{key: string(raw[1 : 1+keySize]), value: raw[1+keySize:]})
		body = body[4+size:]
	}
	return records, true
}

func encodeRecord(out []byte, r record) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value))) //nolint:gosec // records are small.
	out = append(out, byte(len(r.key)))
	out = append(out, r.key...)
	return append(out, r.value...)
}

func number(text string) int64 {
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return value
}
