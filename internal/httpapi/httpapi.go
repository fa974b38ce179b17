// Package httpapi serves the instance's own HTTP interface on the operations address: queues and jobs for client accounts,
// the status of the instance for operators, and the metrics. docs/API.md describes it. It uses the same gateway as the
// platform's interface for callers, so both give the same answers.
package httpapi

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
)

const (
	// MetricsPath is the path of the metrics, which are served as expvar JSON.
	MetricsPath = "/metrics"
	// schemeBearer precedes an account's key in the Authorization header.
	schemeBearer = "Bearer "
	// headerTimeoutMs is the request header that says how long the caller waits for the answer, in milliseconds.
	headerTimeoutMs = "Dotterelgauge-Timeout-Ms"
	// inspectTimeout limits the time to determine the instance's status or why a job is waiting.
	inspectTimeout = 500 * time.Millisecond
	typeJSON       = "application/json"
	typeProblem    = "application/problem+json"
)

// Instance provides the information about the instance that the interface returns.
type Instance interface {
	Status(ctx context.Context) *apiv1.InstanceStatus
	// Explain returns why the steps of a job are waiting, one line for each; none if this instance isn't the owner.
	Explain(ctx context.Context, job string) []string
}

// Handler returns the HTTP handler of the interface.
func Handler(jobs *gateway.Gateway, instance Instance) http.Handler {
	server := echo.New()
	h := &handler{jobs: jobs, instance: instance}
	server.PUT("/v1/queues/:queue/jobs/:id", h.submit)
	server.GET("/v1/queues/:queue/jobs/:id", h.show)
	server.DELETE("/v1/queues/:queue/jobs/:id", h.cancel)
	server.GET("/v1/queues/:queue", h.queue)
	server.GET("/v1/status", h.status)
	server.GET(MetricsPath, echo.WrapHandler(expvar.Handler()))
	return server
}

type handler struct {
	jobs     *gateway.Gateway
	instance Instance
}

// handle runs an operation of a request on the gateway.
func (h *handler) handle(c *echo.Context, operation gateway.Operation) gateway.Response {
	request := c.Request()
	timeout, err := time.ParseDuration(request.Header.Get(headerTimeoutMs) + "ms")
	if err != nil {
		timeout = 0 // a missing or malformed header sets no timeout
	}
	return h.jobs.Handle(request.Context(), gateway.Request{
		Call:      gateway.Call{Key: strings.TrimPrefix(request.Header.Get("Authorization"), schemeBearer), Timeout: timeout},
		Interface: gateway.OwnInterface, Operation: operation, Queue: c.Param("queue"), ID: c.Param("id"),
		Body: request.Body, Decode: DecodeJob,
	})
}

// DecodeJob decodes the body of a request to submit a job.
func DecodeJob(raw []byte) (*storev1.Job, gateway.Answer) {
	job := &storev1.Job{}
	if err := protojson.Unmarshal(raw, job); err != nil {
		return nil, gateway.Answer{Result: gateway.Invalid, Detail: "the body is not a valid job: " + err.Error()}
	}
	return job, gateway.Answer{}
}

func (h *handler) submit(c *echo.Context) error {
	if response := h.handle(c, gateway.SubmitJob); response.Result != gateway.OK {
		return refuse(c, response.Answer)
	}
	return write(c, &apiv1.JobView{Id: c.Param("id"), Queue: c.Param("queue"), State: "queued"})
}

func (h *handler) show(c *echo.Context) error {
	response := h.handle(c, gateway.ShowState)
	if response.Result != gateway.OK {
		return refuse(c, response.Answer)
	}
	view := &apiv1.JobView{Id: c.Param("id"), Queue: c.Param("queue"), State: response.State.String()}
	if !response.State.Final() {
		ctx, cancel := context.WithTimeout(c.Request().Context(), inspectTimeout)
		defer cancel()
		view.Waits = h.instance.Explain(ctx, c.Param("id"))
	}
	return write(c, view)
}

func (h *handler) cancel(c *echo.Context) error {
	if response := h.handle(c, gateway.CancelJob); response.Result != gateway.OK {
		return refuse(c, response.Answer)
	}
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) queue(c *echo.Context) error {
	response := h.handle(c, gateway.ShowState)
	if response.Result != gateway.OK {
		return refuse(c, response.Answer)
	}
	return write(c, &apiv1.QueueView{Name: c.Param("queue"), Pending: uint32(response.Pending)}) //nolint:gosec // a count.
}

func (h *handler) status(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), inspectTimeout)
	defer cancel()
	return write(c, h.instance.Status(ctx))
}

// problems are the HTTP status, the title and the outcome of each result except OK.
var problems = map[gateway.Result]struct {
	status  int
	title   string
	outcome apiv1.Outcome
}{
	gateway.NoQueue:      {http.StatusNotFound, "no such queue", apiv1.Outcome_OUTCOME_NOT_RUN},
	gateway.NoJob:        {http.StatusNotFound, "no such job", apiv1.Outcome_OUTCOME_NOT_RUN},
	gateway.Unauthorized: {http.StatusUnauthorized, "unknown key", apiv1.Outcome_OUTCOME_NOT_RUN},
	gateway.Invalid:      {http.StatusBadRequest, "invalid", apiv1.Outcome_OUTCOME_NOT_RUN},
	gateway.TooLarge:     {http.StatusRequestEntityTooLarge, "too large", apiv1.Outcome_OUTCOME_NOT_RUN},
	gateway.NotRun:       {http.StatusServiceUnavailable, "not run", apiv1.Outcome_OUTCOME_NOT_RUN},
	gateway.Undecided:    {http.StatusGatewayTimeout, "unknown", apiv1.Outcome_OUTCOME_UNKNOWN},
	gateway.Conflict:     {http.StatusConflict, "conflict", apiv1.Outcome_OUTCOME_NOT_RUN},
	gateway.TooBusy:      {http.StatusTooManyRequests, "too busy", apiv1.Outcome_OUTCOME_NOT_RUN},
}

// refuse answers with a problem document.
func refuse(c *echo.Context, answer gateway.Answer) error {
	kind := problems[answer.Result]
	problem := &apiv1.Problem{
		Title: kind.title, Status: uint32(kind.status), Detail: answer.Detail, Outcome: kind.outcome, //nolint:gosec // an HTTP status.
		RetryAfterMs: answer.RetryAfter.Milliseconds(),
	}
	body, err := protojson.Marshal(problem)
	if err != nil {
		return err
	}
	return c.Blob(kind.status, typeProblem, body)
}

// write answers with status 200 and a message as JSON.
func write(c *echo.Context, message proto.Message) error {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, typeJSON, body)
}
