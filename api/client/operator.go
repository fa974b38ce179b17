package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Cause is who changes something and why, for the audit trail.
type Cause struct {
	Actor  string
	Reason string
}

func (c Cause) header() http.Header {
	return http.Header{"Dotterelgauge-Actor": {c.Actor}, "Dotterelgauge-Reason": {c.Reason}}
}

// Status returns the state of the system as the instance sees it.
func (c *Client) Status(ctx context.Context) (*apiv1.Status, error) {
	status := &apiv1.Status{}
	return status, c.message(ctx, http.MethodGet, "/v1/status", nil, nil, status)
}

// CheckSheet checks a CSV sheet and returns it with its data centres filled in.
func (c *Client) CheckSheet(ctx context.Context, csv []byte) (*apiv1.Sheet, error) {
	sheet := &apiv1.Sheet{}
	return sheet, c.message(ctx, http.MethodPost, "/v1/sheet/check", nil, csv, sheet)
}

// ApplySheet puts a CSV sheet in force if base is the revision in force, and returns the new revision.
func (c *Client) ApplySheet(ctx context.Context, base uint64, csv []byte, cause Cause) (uint64, error) {
	answer := &apiv1.SheetReply{}
	path := "/v1/sheet?base=" + strconv.FormatUint(base, 10)
	err := c.message(ctx, http.MethodPut, path, cause.header(), csv, answer)
	return answer.Revision, err
}

// History returns the newest revisions of the configuration, oldest first.
func (c *Client) History(ctx context.Context) (*apiv1.History, error) {
	history := &apiv1.History{}
	return history, c.message(ctx, http.MethodGet, "/v1/sheet/history", nil, nil, history)
}

// Audit returns records of the ledger stream from the offset on. It waits up to wait for one.
func (c *Client) Audit(ctx context.Context, from int64, wait time.Duration) (*apiv1.AuditPage, error) {
	page := &apiv1.AuditPage{}
	path := fmt.Sprintf("/v1/audit?from=%d&wait_ms=%d", from, wait.Milliseconds())
	return page, c.message(ctx, http.MethodGet, path, nil, nil, page)
}

// MarkWorker sets the condition of a worker: healthy, quarantined or drained.
func (c *Client) MarkWorker(ctx context.Context, name, condition string, cause Cause) error {
	path := "/v1/workers/" + url.PathEscape(name) + "/condition?to=" + url.QueryEscape(condition)
	_, _, err := c.call(ctx, http.MethodPut, path, cause.header(), nil)
	return err
}
