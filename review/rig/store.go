package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	appendTime = 4 * time.Millisecond
	pageItems  = 500
	// maxCallBytes and maxRecordBytes are CallBytes and RecordBytes of the settings.
	maxCallBytes   = 2097152
	maxRecordBytes = 262144
)

type record struct {
	key    string
	value  []byte
	offset int64
}

type appendReply struct {
	status int
	body   map[string]any
}

// producer is the state of one producer in one partition.
type producer struct {
	epoch, next int64
	replies     map[int64]appendReply
}

// topic is partition 0 of a keyed topic.
type topic struct {
	records   []record
	producers map[string]*producer
	changed   chan struct{}
}

// store is the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(key string, value []byte) {
	t.records = append(t.records, record{key, value, int64(len(t.records))})
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator and the workers do; without a value the key is dropped.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(key, value)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	return mux
}

func integer(q url.Values, name string) int64 {
	n, _ := strconv.ParseInt(q.Get(name), 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	name := q.Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		writeJSON(w, http.StatusForbidden, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.topic(name).append(q, body)
	writeJSON(w, reply.status, reply.body)
}

func (t *topic) append(q url.Values, body []byte) appendReply {
	end := int64(len(t.records))
	epoch, seq := integer(q, "epoch"), integer(q, "Seq")
	p := t.producers[q.Get("Producer")]
	if q.Has("Producer") && p != nil {
		switch {
		case epoch < p.epoch:
			return appendReply{http.StatusConflict, map[string]any{"Reason": "fenced"}}
		case epoch == p.epoch:
			if first, repeated := p.replies[seq]; repeated {
				return first
			}
			if seq != p.next {
				return appendReply{http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.next}}
			}
		}
	}
	if q.Has("At") && integer(q, "At") != end {
		return appendReply{http.StatusPreconditionFailed, map[string]any{"End": end}}
	}
	if len(body) > maxCallBytes {
		return appendReply{http.StatusRequestEntityTooLarge, nil}
	}
	var records []record
	for rest := body; len(rest) > 0; {
		if len(rest) < 5 {
			return appendReply{http.StatusBadRequest, nil}
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > maxRecordBytes {
			return appendReply{http.StatusRequestEntityTooLarge, nil}
		}
		if size < 1 || size > len(rest)-4 || 1+int(rest[4]) > size {
			return appendReply{http.StatusBadRequest, nil}
		}
		raw := rest[4 : 4+size]
		records = append(records, record{key: string(raw[1 : 1+int(raw[0])]), value: raw[1+int(raw[0]):]})
		rest = rest[4+size:]
	}
	for _, each := range records {
		t.add(each.key, each.value)
	}
	reply := appendReply{http.StatusOK, map[string]any{"Offset": end, "End": int64(len(t.records))}}
	if q.Has("Producer") {
		if p == nil || epoch > p.epoch {
			p = &producer{epoch: epoch, replies: map[int64]appendReply{}}
			t.producers[q.Get("Producer")] = p
		}
		p.next = seq + 1
		p.replies[seq] = reply
		delete(p.replies, seq-5)
	}
	return reply
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, limit := integer(q, "From"), int(integer(q, "MaxKb"))*1024
	if limit == 0 {
		limit = 1 << 20
	}
	deadline := time.NewTimer(time.Duration(integer(q, "WaitMs")) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(appendTime)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("Topic"))
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if int64(len(records)) <= from {
			select {
			case <-r.Context().Done():
				return
			case <-changed:
				continue
			case <-deadline.C:
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < int64(len(records)); i++ {
			each := records[i]
			size := 1 + len(each.key) + len(each.value)
			if i > from && len(out)+size > limit {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(size))
			out = append(out, byte(len(each.key)))
			out = append(out, each.key...)
			out = append(out, each.value...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("Topic"))
	latest := map[string]record{}
	for _, each := range t.records {
		latest[each.key] = each
	}
	var keys []string
	for key, each := range latest {
		if len(each.value) > 0 && key > q.Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []map[string]any{}
	for _, key := range keys {
		each := latest[key]
		items = append(items, map[string]any{
			"Key": key, "Value": base64.StdEncoding.EncodeToString(each.value), "Offset": each.offset,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}
