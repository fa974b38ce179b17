package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// contentType of the protobuf bodies.
const contentType = "application/x-protobuf"

// maxFaultsBytes bounds the body of POST /faults, bytes.
const maxFaultsBytes = 4 << 10

// Handler serves the log over HTTP: POST and GET /v1/streams/{stream}, and for tests
// GET and POST /faults (JSON of Faults) and GET /counters (JSON of Counters).
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}", s.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}", s.serveRead)
	mux.HandleFunc("POST /faults", s.serveSetFaults)
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) })
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxEntryBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	offset, err := s.Append(r.Context(), r.PathValue("stream"), payload)
	if errors.Is(err, platform.ErrUnavailable) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		// The answer is lost: break the connection.
		panic(http.ErrAbortHandler)
	}
	writeProto(w, http.StatusOK, &apiv1.AppendReply{Offset: offset})
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseInt(query.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("limit"))
	waitMillis, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := s.Read(r.Context(), r.PathValue("stream"), from, limit, time.Duration(waitMillis)*time.Millisecond)
	var trimmed *platform.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		writeProto(w, http.StatusGone, &apiv1.ReadReply{Oldest: trimmed.Oldest})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeProto(w, http.StatusOK, reply)
	}
}

func (s *Service) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func writeProto(w http.ResponseWriter, status int, message proto.Message) {
	body, err := proto.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	// A broken connection is the reader's to notice.
	_, _ = w.Write(body)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A broken connection is the reader's to notice.
	_ = json.NewEncoder(w).Encode(value)
}
