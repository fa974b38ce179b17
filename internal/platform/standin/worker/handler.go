package worker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"google.golang.org/protobuf/proto"
)

// Bounds of the stand-in's HTTP interface, bytes.
const (
	maxBodyBytes  = 4 << 20
	maxFaultBytes = 64 << 10
)

// Handler serves the worker over HTTP: POST /v1/run, POST /v1/lease and GET /v1/usage with binary
// protobuf bodies, and for tests POST /faults and GET /history with JSON bodies.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", func(writer http.ResponseWriter, request *http.Request) {
		serve(writer, request, w.Run)
	})
	mux.HandleFunc("POST /v1/lease", func(writer http.ResponseWriter, request *http.Request) {
		serve(writer, request, w.Lease)
	})
	mux.HandleFunc("GET /v1/usage", func(writer http.ResponseWriter, request *http.Request) {
		report, err := w.Usage(request.Context())
		write(writer, report, err)
	})
	mux.HandleFunc("POST /faults", w.serveFaults)
	mux.HandleFunc("GET /history", w.serveHistory)
	return mux
}

// message is a pointer to a generated message T.
type message[T any] interface {
	*T
	proto.Message
}

// serve decodes the body, calls the worker and writes its answer.
func serve[T any, In message[T], Out proto.Message](
	writer http.ResponseWriter, request *http.Request, call func(context.Context, In) (Out, error),
) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, "the body is too large or was cut short", http.StatusBadRequest)
		return
	}
	in := In(new(T))
	if err := proto.Unmarshal(body, in); err != nil {
		http.Error(writer, "the body is not a message of this call", http.StatusBadRequest)
		return
	}
	answer, err := call(request.Context(), in)
	write(writer, answer, err)
}

// write sends an answer. A call that ended in an error gets none: its connection is broken.
func write(writer http.ResponseWriter, answer proto.Message, err error) {
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body, err := proto.Marshal(answer)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = writer.Write(body)
}

func (w *Worker) serveFaults(writer http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	var faults Faults
	if err := decoder.Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	w.SetFaults(faults)
	writer.WriteHeader(http.StatusNoContent)
}

func (w *Worker) serveHistory(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(w.History())
}
