// Package client calls an instance's own HTTP interface, for client accounts and for operators.
//
// An error answer of an instance is a *ProblemError. Any other error means that no readable answer arrived: it is then
// unknown whether the call took effect, and repeating it with the same id is safe.
package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// maxAnswerBytes is the maximum size of an answer that is read.
const maxAnswerBytes = 8 << 20

// ProblemError is an instance's error answer.
type ProblemError struct {
	Problem *apiv1.Problem
}

// Error returns the title, the detail and the outcome if it is known.
func (e *ProblemError) Error() string {
	text := fmt.Sprintf("%s: %s", e.Problem.GetTitle(), e.Problem.GetDetail())
	switch e.Problem.GetOutcome() {
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		return text + " [not run]"
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		return text + " [unknown]"
	default:
		return text
	}
}

// Client calls one instance. It is safe for concurrent use.
type Client struct {
	address string
	key     string
}

// New returns a client of the instance at its operations address, as IP:port. The API key of the client account may be empty
// for the calls of operators.
func New(address, key string) *Client { return &Client{address: address, key: key} }

// SubmitJob submits a job under an id. Submitting it again with the same id has no further effect.
func (c *Client) SubmitJob(ctx context.Context, queue, id string, job *storev1.Job) (*apiv1.JobView, error) {
	view := &apiv1.JobView{}
	return view, c.call(ctx, http.MethodPut, jobPath(queue, id), job, view)
}

// Job returns a job. On the owner, the result says why the job waits.
func (c *Client) Job(ctx context.Context, queue, id string) (*apiv1.JobView, error) {
	view := &apiv1.JobView{}
	return view, c.call(ctx, http.MethodGet, jobPath(queue, id), nil, view)
}

// CancelJob cancels a job.
func (c *Client) CancelJob(ctx context.Context, queue, id string) error {
	return c.call(ctx, http.MethodDelete, jobPath(queue, id), nil, nil)
}

// Queue returns a queue with the number of its pending jobs.
func (c *Client) Queue(ctx context.Context, queue string) (*apiv1.QueueView, error) {
	view := &apiv1.QueueView{}
	return view, c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil, view)
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (*apiv1.InstanceStatus, error) {
	status := &apiv1.InstanceStatus{}
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, status)
}

func jobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

// call sends a message and decodes the answer into receive; either may be nil.
func (c *Client) call(ctx context.Context, method, path string, send, receive proto.Message) error {
	var body []byte
	if send != nil {
		var err error
		if body, err = protojson.Marshal(send); err != nil {
			return fmt.Errorf("encode the request: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("create the request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call the instance (unknown whether the call took effect; repeat it with the same id): %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return decodeProblem(response.StatusCode, answer)
	}
	if receive == nil {
		return nil
	}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(answer, receive); err != nil {
		return fmt.Errorf("decode the answer: %w", err)
	}
	return nil
}

// decodeProblem returns the error for an answer of status 400 or above.
func decodeProblem(status int, answer []byte) error {
	problem := &apiv1.Problem{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(answer, problem); err != nil {
		return fmt.Errorf("the answer has status %d and its body is not a problem message: check the address", status)
	}
	return &ProblemError{Problem: problem}
}
