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

// lengthPrefixBytes is the size of the length in front of each record.
const lengthPrefixBytes = 4

// storeHandler returns the store's HTTP interface for one instance.
func (p *Platform) storeHandler(instance string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", func(w http.ResponseWriter, r *http.Request) { p.handleAppend(w, r, instance) })
	mux.HandleFunc("GET /api/log-read", func(w http.ResponseWriter, r *http.Request) { p.handleRead(w, r, instance) })
	mux.HandleFunc("GET /api/log-newest", func(w http.ResponseWriter, r *http.Request) { p.handleReadLatest(w, r, instance) })
	return mux
}

// Topic returns the partition of a topic and creates it on first use.
func (p *Platform) Topic(name string) *mock.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.topics[name] == nil {
		p.topics[name] = mock.NewStore()
		p.topics[name].InjectFaults(p.chooseFault)
	}
	return p.topics[name]
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request, instance string) {
	query := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	batch := storelog.Batch{
		Producer: query.Get("Producer"), Epoch: intParameter(query, "epoch"), Sequence: intParameter(query, "Seq"),
		Records: decodeRecords(body),
	}
	if query.Has("At") {
		at := intParameter(query, "At")
		batch.ExpectedEnd = &at
	}
	offset, err := p.Topic(query.Get("Topic")).ForInstance(instance).Append(r.Context(), batch)
	var sequence *storelog.SequenceError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, map[string]int64{"Offset": offset, "End": offset + int64(len(batch.Records))})
	case errors.Is(err, storelog.ErrEndMoved):
		writeJSON(w, http.StatusPreconditionFailed, struct{}{})
	case errors.As(err, &sequence):
		writeJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": sequence.Expected})
	case errors.Is(err, storelog.ErrFenced):
		writeJSON(w, http.StatusConflict, map[string]string{"Reason": "fenced"})
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request, instance string) {
	query := r.URL.Query()
	from := intParameter(query, "From")
	wait := time.Duration(intParameter(query, "WaitMs")) * time.Millisecond
	page, err := p.Topic(query.Get("Topic")).ForInstance(instance).Read(r.Context(), from, wait)
	switch {
	case errors.Is(err, storelog.ErrTrimmed):
		w.WriteHeader(http.StatusGone)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(page.End)) //nolint:gosec // an offset is not negative.
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range page.Records {
		body = encodeRecord(body, p.recordFor(instance, query.Get("Topic"), record))
	}
	_, _ = w.Write(body) // fails only if the client has disconnected
}

func (p *Platform) handleReadLatest(w http.ResponseWriter, r *http.Request, instance string) {
	query := r.URL.Query()
	page, err := p.Topic(query.Get("Topic")).ForInstance(instance).ReadLatest(r.Context(), query.Get("After"))
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
		record = p.recordFor(instance, query.Get("Topic"), record)
		out.Items = append(out.Items, item{record.Key, base64.StdEncoding.EncodeToString(record.Value), record.Offset})
	}
	writeJSON(w, http.StatusOK, out)
}

// recordFor returns a record as an instance reads it: a worker's entry has the address at which the instance reaches the worker.
func (p *Platform) recordFor(instance, topic string, record storelog.Record) storelog.Record {
	p.mu.Lock()
	address, known := p.addresses[instance][mock.FirstID(record.Key)]
	p.mu.Unlock()
	if topic != topicWorkers || !known {
		return record
	}
	var entry map[string]any
	if err := json.Unmarshal(record.Value, &entry); err != nil {
		return record
	}
	entry["Address"] = address
	if value, err := json.Marshal(entry); err == nil {
		record.Value = value
	}
	return record
}

// decodeRecords decodes the records in the body of an append. The body must be well-formed.
func decodeRecords(body []byte) []storelog.Record {
	var records []storelog.Record
	for len(body) >= lengthPrefixBytes {
		size := int(binary.BigEndian.Uint32(body))
		raw := body[lengthPrefixBytes : lengthPrefixBytes+size]
		keySize := int(raw[0])
		records = append(records, storelog.Record{Key: string(raw[1 : 1+keySize]), Value: raw[1+keySize:]})
		body = body[lengthPrefixBytes+size:]
	}
	return records
}

// encodeRecord appends a record with its length prefix to body.
func encodeRecord(body []byte, record storelog.Record) []byte {
	body = binary.BigEndian.AppendUint32(body, uint32(1+len(record.Key)+len(record.Value))) //nolint:gosec // records are small.
	body = append(body, byte(len(record.Key)))
	body = append(body, record.Key...)
	return append(body, record.Value...)
}

// intParameter returns a query parameter as an integer; 0 if it is missing or not a number.
func intParameter(query url.Values, name string) int64 {
	value, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return value
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
