package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store as PROTOCOL.md describes it, reduced to what the system uses: appends with producers and
// conditions, reads that wait, and the newest record of each key. It loses nothing and is never slow.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type record struct {
	raw        []byte
	key, value string
}

type producerState struct {
	epoch, seq int64
	// answers has the offsets of the last five appends by their sequence numbers.
	answers map[int64]int64
}

type topic struct {
	records   []record
	producers map[string]*producerState
	changed   chan struct{}
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, created on first use. The caller holds the lock.
func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{producers: map[string]*producerState{}, changed: make(chan struct{})}
	}
	return s.topics[name]
}

func (t *topic) add(records []record) {
	t.records = append(t.records, records...)
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes one keyed record, as the operator and the workers do. An empty value deletes the key.
func (s *store) put(name, key, value string) {
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]record{{raw, key, value}})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	return mux
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	query := r.URL.Query()
	name := query.Get("Topic")
	if name == "keyed.op" || name == "keyed.servers" {
		reply(w, 403, map[string]any{})
		return
	}
	var records []record
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > 262144 || 4+size > len(body) || size < 1 {
			reply(w, 400, map[string]any{})
			return
		}
		raw := append([]byte(nil), body[4:4+size]...)
		next := record{raw: raw}
		if strings.HasPrefix(name, "keyed.") {
			n := int(raw[0])
			if 1+n > len(raw) {
				reply(w, 400, map[string]any{})
				return
			}
			next.key, next.value = string(raw[1:1+n]), string(raw[1+n:])
		}
		records, body = append(records, next), body[4+size:]
	}
	time.Sleep(3 * time.Millisecond) // AppendMs
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	if query.Has("Producer") {
		id, epoch, seq := query.Get("Producer"), number(r, "epoch"), number(r, "Seq")
		p := t.producers[id]
		switch {
		case p == nil || epoch > p.epoch:
			if query.Has("At") && number(r, "At") != end {
				reply(w, 412, map[string]any{"End": end})
				return
			}
			p = &producerState{epoch: epoch, seq: seq - 1, answers: map[int64]int64{}}
			t.producers[id] = p
		case epoch < p.epoch:
			reply(w, 409, map[string]any{"Reason": "fenced"})
			return
		}
		if offset, repeated := p.answers[seq]; repeated {
			reply(w, 200, map[string]any{"Offset": offset, "End": end})
			return
		}
		if seq != p.seq+1 {
			reply(w, 409, map[string]any{"Reason": "seq", "Seq": p.seq + 1})
			return
		}
		if query.Has("At") && number(r, "At") != end {
			reply(w, 412, map[string]any{"End": end})
			return
		}
		p.seq = seq
		p.answers[seq] = end
		delete(p.answers, seq-5)
	}
	t.add(records)
	reply(w, 200, map[string]any{"Offset": end, "End": end + int64(len(records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, wait := number(r, "From"), time.Duration(number(r, "WaitMs"))*time.Millisecond
	limit := 1024 << 10
	if r.URL.Query().Has("MaxKb") {
		limit = int(number(r, "MaxKb")) << 10
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("Topic"))
		end, changed := int64(len(t.records)), t.changed
		var body []byte
		if end > from || wait == 0 {
			body = binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for n := from; n < end && (n == from || len(body)+len(t.records[n].raw) < limit); n++ {
				body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[n].raw)))
				body = append(body, t.records[n].raw...)
			}
		}
		s.mu.Unlock()
		if body != nil {
			_, _ = w.Write(body)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("Topic"))
	latest := map[string]int{}
	for n, rec := range t.records {
		latest[rec.key] = n
	}
	var keys []string
	for key, n := range latest {
		if t.records[n].value != "" && key > r.URL.Query().Get("After") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(500, len(keys))] {
		n := latest[key]
		items = append(items, map[string]any{
			"Key": key, "Value": base64.StdEncoding.EncodeToString([]byte(t.records[n].value)), "Offset": n,
		})
	}
	reply(w, 200, map[string]any{"items": items, "HasMore": len(keys) > 500, "End": len(t.records)})
}
