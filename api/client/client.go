// Package client calls an instance as a caller or as an operator.
//
// Every error answer of an instance is a *ProblemError. An error of another type from Request means
// that the connection failed: whether the request ran is then unknown, and a non-idempotent one must
// be asked again with the same key.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// maxAnswerBytes bounds an answer, bytes.
const maxAnswerBytes = 32 << 20

// ErrAnswerTooLarge means that an answer exceeded the client's bound.
var ErrAnswerTooLarge = errors.New("the answer is larger than 32 MiB: ask for less")

// ProblemError is an instance's error answer.
type ProblemError struct {
	Problem *apiv1.Problem
}

// Error returns title, detail and outcome.
func (e *ProblemError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Problem.Title, e.Problem.Detail)
	switch e.Problem.Outcome {
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		return text + " [not run]"
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		return text + " [unknown]"
	default:
		return text
	}
}

// Client calls one address of an instance. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// idleConnections is how many connections to one instance are kept for later calls.
const idleConnections = 64

// transport carries the calls of all clients.
var transport = &http.Transport{
	MaxIdleConnsPerHost: idleConnections,
	IdleConnTimeout:     time.Minute,
}

// New returns a client for address (IP:port) that presents the token.
func New(address, token string) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{Transport: transport}}
}

// Request is a short request.
type Request struct {
	// Key is a UUIDv7; needed unless Idempotent.
	Key string
	// Class is urgent, ordinary or patient.
	Class      string
	Idempotent bool
	// Retry says that the key may have been sent before.
	Retry bool
	// Timeout is how long the caller waits; 0 means the instance's default.
	Timeout time.Duration
	Payload []byte
}

// Answer is the end of a request that ran.
type Answer struct {
	Payload []byte
	// Failed says that the request ended in an error, which Payload holds.
	Failed bool
	// Attempts counts the dispatches.
	Attempts int
}

// Request runs a short request.
func (c *Client) Request(ctx context.Context, request Request) (Answer, error) {
	header := http.Header{}
	header.Set("Dotterelgauge-Class", request.Class)
	header.Set("Dotterelgauge-Idempotent", strconv.FormatBool(request.Idempotent))
	header.Set("Dotterelgauge-Retry", strconv.FormatBool(request.Retry))
	if request.Key != "" {
		header.Set("Idempotency-Key", request.Key)
	}
	if request.Timeout > 0 {
		header.Set("Dotterelgauge-Timeout-Ms", strconv.FormatInt(request.Timeout.Milliseconds(), 10))
	}
	body, answered, err := c.call(ctx, http.MethodPost, "/v1/requests", header, request.Payload)
	if err != nil {
		return Answer{}, err
	}
	attempts, _ := strconv.Atoi(answered.Get("Dotterelgauge-Attempts"))
	return Answer{Payload: body, Failed: answered.Get("Dotterelgauge-Failed") == "true", Attempts: attempts}, nil
}

// SubmitJob submits a job whose id is the key, a UUIDv7. The same key submits the same job once.
func (c *Client) SubmitJob(ctx context.Context, key string, spec *apiv1.JobSpec) (*apiv1.Job, error) {
	body, err := protojson.Marshal(spec)
	if err != nil {
		return nil, fmt.Errorf("encode the job: %w", err)
	}
	header := http.Header{"Idempotency-Key": {key}}
	job := &apiv1.Job{}
	return job, c.message(ctx, http.MethodPost, "/v1/jobs", header, body, job)
}

// Jobs returns the caller's jobs.
func (c *Client) Jobs(ctx context.Context) (*apiv1.JobList, error) {
	list := &apiv1.JobList{}
	return list, c.message(ctx, http.MethodGet, "/v1/jobs", nil, nil, list)
}

// Job returns one of the caller's jobs.
func (c *Client) Job(ctx context.Context, id string) (*apiv1.JobView, error) {
	view := &apiv1.JobView{}
	return view, c.message(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil, view)
}

// CancelJob ends one of the caller's jobs.
func (c *Client) CancelJob(ctx context.Context, id string) (*apiv1.Job, error) {
	job := &apiv1.Job{}
	return job, c.message(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, nil, job)
}

// message makes a call and decodes its answer into result.
func (c *Client) message(ctx context.Context, method, path string, header http.Header, body []byte, result proto.Message) error {
	answer, _, err := c.call(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(answer, result); err != nil {
		return fmt.Errorf("decode the answer of %s: %w", path, err)
	}
	return nil
}

// call makes one HTTP call and returns the body of a good answer.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, fmt.Errorf("address %s: %w", c.base, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, fmt.Errorf("call the instance: %w", err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, nil, fmt.Errorf("read the answer: %w", err)
	}
	if len(answer) > maxAnswerBytes {
		return nil, nil, ErrAnswerTooLarge
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, nil, problemOf(response, answer)
	}
	return answer, response.Header, nil
}

// problemOf decodes an error answer.
func problemOf(response *http.Response, body []byte) error {
	problem := &apiv1.Problem{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, problem); err != nil || problem.Status == 0 {
		problem = &apiv1.Problem{Title: response.Status, Status: uint32(response.StatusCode), Detail: string(body)} //nolint:gosec // HTTP statuses are small.
	}
	return &ProblemError{Problem: problem}
}
