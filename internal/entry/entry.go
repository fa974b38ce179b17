// Package entry serves the scheduler's own HTTP interface on the operations address: queues and jobs for callers, the
// status of the instance for operators, and the counters. docs/API.md describes it. It answers from the same gateway as
// the platform's interface, so both say the same.
package entry

import (
	"context"
	"expvar"
	"io"
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
	// MetricsPath is where the counters are.
	MetricsPath = "/metrics"
	// schemeBearer comes before an account's key.
	schemeBearer = "Bearer "
	// headerTimeoutMs is how long a caller waits, in milliseconds.
	headerTimeoutMs = "Dotterelgauge-Timeout-Ms"
	// explainTimeout bounds the search for why a job waits.
	explainTimeout = 500 * time.Millisecond
	typeJSON       = "application/json"
	typeProblem    = "application/problem+json"
)

// Instance is what the interface shows of the instance.
type Instance interface {
	Status(ctx context.Context) *apiv1.InstanceStatus
	// Explain says why a job waits, on the instance that owns the orders.
	Explain(ctx context.Context, job string) []string
}

// Handler returns the handler of the interface.
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

// admit checks queue and key of a call.
func (h *handler) admit(c *echo.Context) (gateway.AdmittedCall, gateway.Answer) {
	request := c.Request()
	deadline, err := time.ParseDuration(request.Header.Get(headerTimeoutMs) + "ms")
	if err != nil {
		deadline = 0 // left out
	}
	return h.jobs.AdmitByName(c.Param("queue"), c.Param("id"), gateway.Call{
		Key: strings.TrimPrefix(request.Header.Get("Authorization"), schemeBearer), Timeout: deadline,
	})
}

func (h *handler) submit(c *echo.Context) error {
	admitted, answer := h.admit(c)
	if answer.Result != gateway.OK {
		return refuse(c, answer)
	}
	raw, err := io.ReadAll(io.LimitReader(c.Request().Body, admitted.BodyLimit+1))
	if err != nil || int64(len(raw)) > admitted.BodyLimit {
		return refuse(c, gateway.Answer{Result: gateway.TooLarge, Detail: "the body could not be read, or is too large: send a smaller one whole"})
	}
	job := &storev1.Job{}
	if err := protojson.Unmarshal(raw, job); err != nil {
		return refuse(c, gateway.Answer{Result: gateway.Invalid, Detail: "the body is no job: " + err.Error()})
	}
	if answer := h.jobs.Submit(c.Request().Context(), admitted, job); answer.Result != gateway.OK {
		return refuse(c, answer)
	}
	return write(c, &apiv1.JobView{Id: admitted.ID, Queue: admitted.Queue.Name, State: "queued"})
}

func (h *handler) show(c *echo.Context) error {
	admitted, answer := h.admit(c)
	if answer.Result != gateway.OK {
		return refuse(c, answer)
	}
	state, answer := h.jobs.State(c.Request().Context(), admitted)
	if answer.Result != gateway.OK {
		return refuse(c, answer)
	}
	view := &apiv1.JobView{Id: admitted.ID, Queue: admitted.Queue.Name, State: state.String()}
	if !state.Final() {
		ctx, cancel := context.WithTimeout(c.Request().Context(), explainTimeout)
		defer cancel()
		view.Waits = h.instance.Explain(ctx, admitted.ID)
	}
	return write(c, view)
}

func (h *handler) cancel(c *echo.Context) error {
	admitted, answer := h.admit(c)
	if answer.Result == gateway.OK {
		answer = h.jobs.Cancel(c.Request().Context(), admitted)
	}
	if answer.Result != gateway.OK {
		return refuse(c, answer)
	}
	return c.NoContent(http.StatusNoContent)
}

func (h *handler) queue(c *echo.Context) error {
	admitted, answer := h.admit(c)
	if answer.Result != gateway.OK {
		return refuse(c, answer)
	}
	pending, answer := h.jobs.PendingJobs(admitted)
	if answer.Result != gateway.OK {
		return refuse(c, answer)
	}
	return write(c, &apiv1.QueueView{Name: admitted.Queue.Name, Pending: uint32(pending)}) //nolint:gosec // a count.
}

func (h *handler) status(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), explainTimeout)
	defer cancel()
	return write(c, h.instance.Status(ctx))
}

// kinds are the status and the title of each answer but success.
var kinds = map[gateway.Result]struct {
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
}

func refuse(c *echo.Context, answer gateway.Answer) error {
	kind := kinds[answer.Result]
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

func write(c *echo.Context, message proto.Message) error {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, typeJSON, body)
}
