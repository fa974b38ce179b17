// Package workerclient has the HTTP clients of the workers and of the instance list.
package workerclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// Largest bodies that are read, bytes.
const (
	maxRunReplyBytes   = 4 << 20
	maxLeaseReplyBytes = 256 << 10
	maxUsageBytes      = 256 << 10
	maxListBytes       = 1 << 20
)

// ErrDamagedAnswer means that an answer was short, damaged or another request's. It is never passed on;
// the errors that wrap it also wrap platform.ErrUnknownEffect.
var ErrDamagedAnswer = errors.New("the worker's answer is damaged: retry elsewhere if the request is idempotent")

// Workers reaches workers over HTTP. It implements platform.Workers.
type Workers struct {
	client *http.Client
}

var _ platform.Workers = (*Workers)(nil)

// New returns clients that send over the given transport.
func New(transport http.RoundTripper) *Workers {
	return &Workers{client: newClient(transport)}
}

// newClient returns an HTTP client that follows no redirects.
func newClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Worker implements platform.Workers.
func (w *Workers) Worker(address string) platform.Worker {
	return &worker{client: w.client, address: address}
}

// worker is the client of one worker.
type worker struct {
	client  *http.Client
	address string
}

// Run implements platform.Worker.
func (w *worker) Run(ctx context.Context, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
	answer := &apiv1.RunReply{}
	if err := post(ctx, w.client, w.address, "/v1/run", request, answer, maxRunReplyBytes); err != nil {
		return nil, err
	}
	if err := checkReply(request, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// checkReply tells whether the answer is whole and belongs to the request.
func checkReply(request *apiv1.RunRequest, answer *apiv1.RunReply) error {
	switch {
	case answer.GetRequestId() != request.GetRequestId() || answer.GetAttempt() != request.GetAttempt():
		return damaged("it belongs to request %s attempt %d", answer.GetRequestId(), answer.GetAttempt())
	case answer.GetLength() != uint64(len(answer.GetPayload())):
		return damaged("it has %d of %d bytes", len(answer.GetPayload()), answer.GetLength())
	case answer.GetChecksum() != xxhash.Sum64(answer.GetPayload()):
		return damaged("its checksum does not match")
	case answer.GetStatus() == apiv1.RunStatus_RUN_STATUS_UNSPECIFIED:
		return damaged("it has no status")
	}
	return nil
}

// damaged returns an error that wraps ErrDamagedAnswer and platform.ErrUnknownEffect.
func damaged(format string, arguments ...any) error {
	return errors.Join(platform.ErrUnknownEffect, errors.Wrapf(ErrDamagedAnswer, format, arguments...))
}

// Lease implements platform.Worker.
func (w *worker) Lease(ctx context.Context, request *apiv1.LeaseRequest) (*apiv1.LeaseReply, error) {
	answer := &apiv1.LeaseReply{}
	if err := post(ctx, w.client, w.address, "/v1/lease", request, answer, maxLeaseReplyBytes); err != nil {
		return nil, err
	}
	return answer, nil
}

// Usage implements platform.Worker.
func (w *worker) Usage(ctx context.Context) (*apiv1.UsageReport, error) {
	answer := &apiv1.UsageReport{}
	if err := get(ctx, w.client, w.address, "/v1/usage", answer, maxUsageBytes); err != nil {
		return nil, err
	}
	return answer, nil
}

// post sends a message and decodes the answer.
func post(ctx context.Context, client *http.Client, address, path string, in, out proto.Message, limit int64) error {
	body, err := proto.Marshal(in)
	if err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return call(ctx, client, http.MethodPost, "http://"+address+path, body, out, limit)
}

// get fetches a message.
func get(ctx context.Context, client *http.Client, address, path string, out proto.Message, limit int64) error {
	return call(ctx, client, http.MethodGet, "http://"+address+path, nil, out, limit)
}

// call makes one HTTP call. Before a connection was there for the call nothing can have been sent, so
// such an error wraps platform.ErrUnavailable; every later one wraps platform.ErrUnknownEffect.
func call(ctx context.Context, client *http.Client, method, url string, body []byte, out proto.Message, limit int64) error {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	// All bodies of this protocol are binary protobuf; headers would be most of a renewal's bytes.
	request.Header.Set("User-Agent", "")
	response, err := client.Do(request)
	if err != nil {
		kind := platform.ErrUnavailable
		if connected.Load() {
			kind = platform.ErrUnknownEffect
		}
		return errors.Join(kind, err)
	}
	defer response.Body.Close()
	return decode(response, out, limit)
}

// decode reads a bounded answer.
func decode(response *http.Response, out proto.Message, limit int64) error {
	if response.StatusCode != http.StatusOK {
		return errors.Wrap(platform.ErrUnknownEffect, "status "+strconv.Itoa(response.StatusCode))
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return errors.Join(platform.ErrUnknownEffect, err)
	}
	if int64(len(body)) > limit {
		return errors.Wrapf(platform.ErrUnknownEffect, "the answer is longer than %d bytes", limit)
	}
	if err := proto.Unmarshal(body, out); err != nil {
		return errors.Join(platform.ErrUnknownEffect, err)
	}
	return nil
}
