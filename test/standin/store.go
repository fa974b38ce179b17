package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// lengthBytes is the size of the length before a record.
const lengthBytes = 4

// storeHandler serves the store as one instance reaches it.
func (s *Site) storeHandler(instance string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", func(w http.ResponseWriter, r *http.Request) { s.append(w, r, instance) })
	mux.HandleFunc("GET /api/log-read", func(w http.ResponseWriter, r *http.Request) { s.read(w, r, instance) })
	mux.HandleFunc("GET /api/log-newest", func(w http.ResponseWriter, r *http.Request) { s.newest(w, r, instance) })
	return mux
}

// Topic returns a topic's partition; it is created on first use.
func (s *Site) Topic(name string) *mock.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics[name] == nil {
		s.topics[name] = mock.NewStore()
		s.topics[name].InjectFaults(s.fate)
	}
	return s.topics[name]
}

func (s *Site) append(w http.ResponseWriter, r *http.Request, instance string) {
	query := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	batch := storelog.Batch{Producer: query.Get("Producer"), Epoch: number(query, "epoch"), Sequence: number(query, "Seq"), Records: decodeRecords(body)}
	if query.Has("At") {
		at := number(query, "At")
		batch.ExpectedEnd = &at
	}
	offset, err := s.Topic(query.Get("Topic")).ForInstance(instance).Append(r.Context(), batch)
	var sequence *storelog.SequenceError
	switch {
	case err == nil:
		reply(w, http.StatusOK, map[string]int64{"Offset": offset, "End": offset + int64(len(batch.Records))})
	case errors.Is(err, storelog.ErrEndMoved):
		reply(w, http.StatusPreconditionFailed, struct{}{})
	case errors.As(err, &sequence):
		reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": sequence.Expected})
	case errors.Is(err, storelog.ErrFenced):
		reply(w, http.StatusConflict, map[string]string{"Reason": "fenced"})
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Site) read(w http.ResponseWriter, r *http.Request, instance string) {
	query := r.URL.Query()
	from := number(query, "From")
	wait := time.Duration(number(query, "WaitMs")) * time.Millisecond
	page, err := s.Topic(query.Get("Topic")).ForInstance(instance).Read(r.Context(), from, wait)
	switch {
	case errors.Is(err, storelog.ErrTrimmed):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.End)) //nolint:gosec // an offset.
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range page.Records {
		body = encodeRecord(body, record)
	}
	_, _ = w.Write(body) // a client that left has nobody to tell
}

func (s *Site) newest(w http.ResponseWriter, r *http.Request, instance string) {
	query := r.URL.Query()
	page, err := s.Topic(query.Get("Topic")).ForInstance(instance).ReadLatest(r.Context(), query.Get("After"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	type item struct {
		Key, Value string
		Offset     int64
	}
	out := struct {
		Items   []item `json:"items"`
		HasMore bool
		End     int64
	}{HasMore: page.More, End: page.End}
	for _, record := range page.Records {
		out.Items = append(out.Items, item{record.Key, base64.StdEncoding.EncodeToString(record.Value), record.Offset})
	}
	reply(w, http.StatusOK, out)
}

func decodeRecords(body []byte) []storelog.Record {
	var records []storelog.Record
	for len(body) >= lengthBytes {
		size := int(binary.BigEndian.Uint32(body))
		raw := body[lengthBytes : lengthBytes+size]
		key := int(raw[0])
		records = append(records, storelog.Record{Key: string(raw[1 : 1+key]), Value: raw[1+key:]})
		body = body[lengthBytes+size:]
	}
	return records
}

func encodeRecord(body []byte, record storelog.Record) []byte {
	body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value))) //nolint:gosec // small records.
	body = append(body, byte(len(record.Key)))
	body = append(body, record.Key...)
	return append(body, record.Value...)
}

func number(query url.Values, name string) int64 {
	value, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return 0 // left out
	}
	return value
}

// reply writes a JSON answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that left has nobody to tell
}
