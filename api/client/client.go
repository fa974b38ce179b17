// Package client calls an instance's own interface, as a caller or an operator.
//
// Every error answer of an instance is a *ProblemError. An error of another type means that the connection failed: whether
// the call had an effect is then unknown, and asking again with the same id is safe.
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

// maxAnswerBytes bounds an answer, bytes.
const maxAnswerBytes = 8 << 20

// ProblemError is an instance's error answer.
type ProblemError struct {
	Problem *apiv1.Problem
}

// Error returns title, detail and outcome.
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

// Client calls one instance. It is safe for use by several goroutines.
type Client struct {
	address string
	key     string
}

// New returns a client of the instance at an operations address IP:port. The key of an account may be empty for calls of
// operators.
func New(address, key string) *Client { return &Client{address: address, key: key} }

// SubmitJob hands a job in under an id; the same id again is the same job.
func (c *Client) SubmitJob(ctx context.Context, queue, id string, job *storev1.Job) (*apiv1.JobView, error) {
	view := &apiv1.JobView{}
	return view, c.call(ctx, http.MethodPut, jobPath(queue, id), job, view)
}

// Job returns a job, and why it waits if the instance owns the orders.
func (c *Client) Job(ctx context.Context, queue, id string) (*apiv1.JobView, error) {
	view := &apiv1.JobView{}
	return view, c.call(ctx, http.MethodGet, jobPath(queue, id), nil, view)
}

// CancelJob ends a job.
func (c *Client) CancelJob(ctx context.Context, queue, id string) error {
	return c.call(ctx, http.MethodDelete, jobPath(queue, id), nil, nil)
}

// Queue returns a queue.
func (c *Client) Queue(ctx context.Context, queue string) (*apiv1.QueueView, error) {
	view := &apiv1.QueueView{}
	return view, c.call(ctx, http.MethodGet, "/v1/queues/"+url.PathEscape(queue), nil, view)
}

// Status returns the instance.
func (c *Client) Status(ctx context.Context) (*apiv1.InstanceStatus, error) {
	status := &apiv1.InstanceStatus{}
	return status, c.call(ctx, http.MethodGet, "/v1/status", nil, status)
}

func jobPath(queue, id string) string {
	return "/v1/queues/" + url.PathEscape(queue) + "/jobs/" + url.PathEscape(id)
}

// call sends a message and reads one, each unless it is nil.
func (c *Client) call(ctx context.Context, method, path string, send, receive proto.Message) error {
	var body []byte
	if send != nil {
		var err error
		if body, err = protojson.Marshal(send); err != nil {
			return fmt.Errorf("encode the call: %w", err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make the call: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("call the instance (whether it had an effect is unknown; ask again with the same id): %w", err)
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
		return fmt.Errorf("read the answer: %w", err)
	}
	return nil
}

func decodeProblem(status int, answer []byte) error {
	told := &apiv1.Problem{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(answer, told); err != nil {
		return fmt.Errorf("the instance answers %d with no problem that can be read: look at the address", status)
	}
	return &ProblemError{Problem: told}
}
