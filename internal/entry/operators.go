package entry

import (
	"bytes"
	"context"
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
	"github.com/dotterelgauge/dotterelgauge/internal/sheet"
)

// Headers of operators' commands.
const (
	// HeaderActor names the operator, for the audit trail.
	HeaderActor = "Dotterelgauge-Actor"
	// HeaderReason says why, for the audit trail.
	HeaderReason = "Dotterelgauge-Reason"
)

const (
	maxAuditRecords = 1000
	maxAuditWait    = 30 * time.Second
	maxActorBytes   = 128
	maxReasonBytes  = 1024
)

// Cause is who changes something and why.
type Cause struct {
	Actor  string
	Reason string
}

// Operations is what operators may do. Errors are *problem.Error.
type Operations interface {
	// Ready returns why the instance is not ready, "" when it is.
	Ready() string
	Status() *apiv1.Status
	// CheckSheet returns the sheet with its data centres filled in, or why it cannot be accepted.
	CheckSheet(sheet *apiv1.Sheet) (*apiv1.Sheet, error)
	// ApplySheet puts the sheet in force if base is the revision in force, and returns the new revision.
	ApplySheet(ctx context.Context, base uint64, sheet *apiv1.Sheet, cause Cause) (uint64, error)
	History() *apiv1.History
	// Audit returns records of the ledger stream from the offset on; it waits up to wait for one.
	Audit(ctx context.Context, from int64, limit int, wait time.Duration) (*apiv1.AuditPage, error)
	MarkWorker(ctx context.Context, name string, condition apiv1.WorkerCondition, cause Cause) error
}

// operators handles operators' commands.
type operators struct {
	token      string
	operations Operations
}

// Operators returns the handler of the operators' address.
func Operators(operatorToken string, operations Operations) http.Handler {
	h := &operators{token: operatorToken, operations: operations}
	e := newEcho(sheet.MaxBytes + reasonTrailerBytes)
	e.GET("/healthz", func(c *echo.Context) error { return c.String(http.StatusOK, "alive\n") })
	e.GET("/readyz", h.ready)
	e.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	group := e.Group("/v1", h.authorize)
	group.GET("/status", h.status)
	group.POST("/sheet/check", h.check)
	group.PUT("/sheet", h.apply)
	group.GET("/sheet/history", h.history)
	group.GET("/audit", h.audit)
	group.PUT("/workers/:name/condition", h.mark)
	return e
}

func (h *operators) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if !sameToken(token(c), h.token) {
			return problem.New(problem.Unauthorized, "send Authorization: Bearer and the operator token of the settings")
		}
		return next(c)
	}
}

func (h *operators) ready(c *echo.Context) error {
	if reason := h.operations.Ready(); reason != "" {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *operators) status(c *echo.Context) error {
	return reply(c, http.StatusOK, h.operations.Status())
}

// parseSheet reads a CSV body.
func parseSheet(c *echo.Context) (*apiv1.Sheet, error) {
	body, err := readBody(c)
	if err != nil {
		return nil, err
	}
	parsed, err := sheet.Parse(bytes.NewReader(body))
	if err != nil {
		return nil, problem.New(problem.Invalid, err.Error())
	}
	return parsed, nil
}

func (h *operators) check(c *echo.Context) error {
	parsed, err := parseSheet(c)
	if err != nil {
		return err
	}
	checked, err := h.operations.CheckSheet(parsed)
	if err != nil {
		return err
	}
	return reply(c, http.StatusOK, checked)
}

func (h *operators) apply(c *echo.Context) error {
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil {
		return problem.New(problem.Invalid, "base: give the revision that the sheet was made against, 0 for the first")
	}
	cause, err := parseCause(c)
	if err != nil {
		return err
	}
	parsed, err := parseSheet(c)
	if err != nil {
		return err
	}
	revision, err := h.operations.ApplySheet(c.Request().Context(), base, parsed, cause)
	if err != nil {
		return err
	}
	return reply(c, http.StatusOK, &apiv1.SheetReply{Revision: revision})
}

func parseCause(c *echo.Context) (Cause, error) {
	cause := Cause{
		Actor:  c.Request().Header.Get(HeaderActor),
		Reason: c.Request().Header.Get(HeaderReason),
	}
	if cause.Actor == "" || len(cause.Actor) > maxActorBytes {
		return cause, problem.New(problem.Invalid, "send "+HeaderActor+" with the operator's name, at most 128 bytes")
	}
	if len(cause.Reason) > maxReasonBytes {
		return cause, problem.New(problem.Invalid, HeaderReason+" is at most 1024 bytes")
	}
	return cause, nil
}

func (h *operators) history(c *echo.Context) error {
	return reply(c, http.StatusOK, h.operations.History())
}

func (h *operators) audit(c *echo.Context) error {
	from, err := echo.QueryParamOr[int64](c, "from", 0)
	if err != nil || from < 0 {
		return problem.New(problem.Invalid, "from: give an offset, not below 0")
	}
	limit, err := echo.QueryParamOr[int](c, "limit", maxAuditRecords)
	if err != nil || limit < 1 || limit > maxAuditRecords {
		return problem.New(problem.Invalid, "limit: give 1 to 1000")
	}
	waitMillis, err := echo.QueryParamOr[int64](c, "wait_ms", 0)
	wait := time.Duration(waitMillis) * time.Millisecond
	if err != nil || wait < 0 || wait > maxAuditWait {
		return problem.New(problem.Invalid, "wait_ms: give 0 to 30000")
	}
	page, err := h.operations.Audit(c.Request().Context(), from, limit, wait)
	if err != nil {
		return err
	}
	return reply(c, http.StatusOK, page)
}

func (h *operators) mark(c *echo.Context) error {
	cause, err := parseCause(c)
	if err != nil {
		return err
	}
	condition, err := parseCondition(c.QueryParam("to"))
	if err != nil {
		return err
	}
	if err := h.operations.MarkWorker(c.Request().Context(), c.Param("name"), condition, cause); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func parseCondition(text string) (apiv1.WorkerCondition, error) {
	switch text {
	case "healthy":
		return apiv1.WorkerCondition_WORKER_CONDITION_HEALTHY, nil
	case "quarantined":
		return apiv1.WorkerCondition_WORKER_CONDITION_QUARANTINED, nil
	case "drained":
		return apiv1.WorkerCondition_WORKER_CONDITION_DRAINED, nil
	}
	return 0, problem.New(problem.Invalid, "to: give healthy, quarantined or drained")
}
