package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
	"github.com/dotterelgauge/dotterelgauge/internal/routing"
)

// Headers of callers' requests and answers.
const (
	// HeaderKey holds the idempotency key, a UUIDv7.
	HeaderKey = "Idempotency-Key"
	// HeaderClass is urgent, ordinary or patient.
	HeaderClass = "Dotterelgauge-Class"
	// HeaderIdempotent is true when the request may run more than once.
	HeaderIdempotent = "Dotterelgauge-Idempotent"
	// HeaderTimeout is how long the caller waits, milliseconds.
	HeaderTimeout = "Dotterelgauge-Timeout-Ms"
	// HeaderRetry is true when the caller may have sent the key before.
	HeaderRetry = "Dotterelgauge-Retry"
	// HeaderOutcome of an answer is done.
	HeaderOutcome = "Dotterelgauge-Outcome"
	// HeaderFailed of an answer is true when the request ran and ended in an error.
	HeaderFailed = "Dotterelgauge-Failed"
	// HeaderAttempts of an answer counts the dispatches.
	HeaderAttempts = "Dotterelgauge-Attempts"
)

// requestsPath is where short requests are sent.
const requestsPath = "/v1/requests"

// maxTimeout bounds how long a caller waits.
const maxTimeout = 2 * time.Minute

// Requests runs short requests.
type Requests interface {
	Do(ctx context.Context, request routing.Request) (routing.Answer, error)
}

// Jobs keeps the jobs of client accounts. Errors are *problem.Error.
type Jobs interface {
	// Submit adds a job or returns the one that has the id already.
	Submit(ctx context.Context, id string, spec *apiv1.JobSpec) (*apiv1.Job, error)
	// Job returns a job of the account.
	Job(ctx context.Context, account, id string) (*apiv1.JobView, error)
	// List returns the account's jobs in the order of their ids.
	List(account string) []*apiv1.Job
	// Cancel ends a job of the account.
	Cancel(ctx context.Context, account, id string) (*apiv1.Job, error)
}

// CallersConfig is what the callers' listener needs. All fields must be set.
type CallersConfig struct {
	Callers      []*apiv1.CallerSettings
	PayloadBytes uint32
	Requests     Requests
	Jobs         Jobs
	// Refuse returns why the instance takes no new work, nil when it does.
	Refuse func() *problem.Error
	Events *events.Logger
}

// callers handles callers' requests.
type callers struct {
	config CallersConfig
}

// Callers returns the handler of the callers' address.
func Callers(config CallersConfig) http.Handler {
	h := &callers{config: config}
	e := newEcho(int64(config.PayloadBytes) + reasonTrailerBytes)
	e.POST(requestsPath, h.request)
	e.POST("/v1/jobs", h.submit)
	e.GET("/v1/jobs", h.list)
	e.GET("/v1/jobs/:id", h.job)
	e.DELETE("/v1/jobs/:id", h.cancel)
	return e
}

// account returns the client account that the token stands for.
func (h *callers) account(c *echo.Context) (string, error) {
	given := token(c)
	found := ""
	for _, caller := range h.config.Callers {
		if sameToken(given, caller.Token) {
			found = caller.Account
		}
	}
	if found == "" {
		h.config.Events.Log(events.CallerRefused, "from", c.Request().RemoteAddr)
		return "", problem.New(problem.Unauthorized, "send Authorization: Bearer and a token of the settings")
	}
	return found, nil
}

func (h *callers) request(c *echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return notRun(err)
	}
	request, err := parseRequest(c, account)
	if err != nil {
		return notRun(err)
	}
	if refusal := h.config.Refuse(); refusal != nil {
		return refused(request, refusal)
	}
	if uint32(len(request.Payload)) > h.config.PayloadBytes { //nolint:gosec // The body limit is smaller.
		return notRun(problem.New(problem.TooLarge, "send at most "+strconv.Itoa(int(h.config.PayloadBytes))+" bytes"))
	}
	answer, err := h.config.Requests.Do(c.Request().Context(), request)
	if err != nil {
		return notRun(problem.New(problem.Invalid, err.Error()))
	}
	if answer.Outcome != routing.Done || answer.Kind == routing.KindAnswerNotKept {
		return answerProblem(answer)
	}
	header := c.Response().Header()
	header.Set(HeaderOutcome, "done")
	header.Set(HeaderAttempts, strconv.Itoa(answer.Attempts))
	if answer.Failed {
		header.Set(HeaderFailed, "true")
	}
	return c.Blob(http.StatusOK, "application/octet-stream", answer.Payload)
}

// parseRequest reads headers and body; the error is a *problem.Error.
func parseRequest(c *echo.Context, account string) (routing.Request, error) {
	header := c.Request().Header
	request := routing.Request{
		Account:    account,
		Idempotent: header.Get(HeaderIdempotent) == "true",
		Retry:      header.Get(HeaderRetry) == "true",
	}
	class, err := parseClass(header.Get(HeaderClass))
	if err != nil {
		return request, err
	}
	request.Class = class
	if request.Key, err = parseKey(header.Get(HeaderKey)); err != nil {
		return request, err
	}
	timeout, err := parseTimeout(header.Get(HeaderTimeout))
	if err != nil {
		return request, err
	}
	request.Deadline = time.Now().Add(timeout)
	request.Payload, err = readBody(c)
	return request, err
}

func parseClass(text string) (routing.Class, error) {
	switch text {
	case "urgent":
		return routing.Urgent, nil
	case "", "ordinary":
		return routing.Ordinary, nil
	case "patient":
		return routing.Patient, nil
	}
	return 0, problem.New(problem.Invalid, HeaderClass+" is urgent, ordinary or patient")
}

func parseKey(text string) (uuid.UUID, error) {
	if text == "" {
		return uuid.Nil, nil
	}
	key, err := uuid.Parse(text)
	if err != nil || key.Version() != 7 {
		return uuid.Nil, problem.New(problem.Invalid, HeaderKey+" is a UUIDv7 made for this request")
	}
	return key, nil
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return routing.DefaultTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	timeout := time.Duration(millis) * time.Millisecond
	if err != nil || millis <= 0 || millis > maxTimeout.Milliseconds() {
		return 0, problem.New(problem.Invalid, HeaderTimeout+" is 1 to 120000 milliseconds")
	}
	return timeout, nil
}

// notRun marks a problem found before dispatch.
func notRun(err error) error {
	marked := *problem.From(err)
	marked.Outcome = apiv1.Outcome_OUTCOME_NOT_RUN
	return &marked
}

// refused marks the refusal of an instance that takes no new work. A request that may have been sent before may
// have run.
func refused(request routing.Request, refusal *problem.Error) error {
	marked := *refusal
	marked.Outcome = outcomeOf(routing.Refused(request, routing.KindDraining, refusal.RetryAfter))
	return &marked
}

func outcomeOf(answer routing.Answer) apiv1.Outcome {
	switch answer.Outcome {
	case routing.Done:
		return apiv1.Outcome_OUTCOME_DONE
	case routing.NotRun:
		return apiv1.Outcome_OUTCOME_NOT_RUN
	default:
		return apiv1.Outcome_OUTCOME_UNKNOWN
	}
}

// answerProblem turns an answer without a payload into a problem.
func answerProblem(answer routing.Answer) error {
	return &problem.Error{
		Kind:       problemKind(answer.Kind),
		Detail:     answerDetail(answer),
		Outcome:    outcomeOf(answer),
		RetryAfter: answer.RetryAfter,
	}
}

func problemKind(kind routing.Kind) problem.Kind {
	switch kind {
	case routing.KindInvalid:
		return problem.Invalid
	case routing.KindQueueFull, routing.KindOverload:
		return problem.Overload
	case routing.KindDeadline, routing.KindCancelled:
		return problem.Deadline
	case routing.KindKeyConflict:
		return problem.KeyConflict
	case routing.KindKeyExpired:
		return problem.KeyExpired
	case routing.KindAnswerLost, routing.KindHolderGone:
		return problem.NotKnown
	case routing.KindAnswerNotKept:
		return problem.AnswerGone
	default:
		return problem.Unavailable
	}
}

func answerDetail(answer routing.Answer) string {
	if answer.Outcome == routing.Done {
		return "the request ran and its answer is no longer kept: do not send it again"
	}
	if answer.Outcome == routing.NotRun {
		return "the request did not run (" + string(answer.Kind) + "): send it again"
	}
	return "it is not known whether the request ran (" + string(answer.Kind) + "): ask again with the same key"
}

func (h *callers) submit(c *echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	if refusal := h.config.Refuse(); refusal != nil {
		return refusal
	}
	key, err := parseKey(c.Request().Header.Get(HeaderKey))
	if err != nil {
		return err
	}
	if key == uuid.Nil {
		return problem.New(problem.Invalid, "send "+HeaderKey+", a UUIDv7: it becomes the job's id")
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	spec := &apiv1.JobSpec{}
	if err := protojson.Unmarshal(body, spec); err != nil {
		return problem.New(problem.Invalid, "the body is not a job: "+err.Error())
	}
	if spec.Account != "" && spec.Account != account {
		return problem.New(problem.Invalid, "account: leave it out; the token names it")
	}
	spec.Account = account
	job, err := h.config.Jobs.Submit(c.Request().Context(), key.String(), spec)
	if err != nil {
		return err
	}
	return reply(c, http.StatusCreated, job)
}

func (h *callers) list(c *echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	return reply(c, http.StatusOK, &apiv1.JobList{Jobs: h.config.Jobs.List(account)})
}

func (h *callers) job(c *echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	view, err := h.config.Jobs.Job(c.Request().Context(), account, c.Param("id"))
	if err != nil {
		return err
	}
	return reply(c, http.StatusOK, view)
}

func (h *callers) cancel(c *echo.Context) error {
	account, err := h.account(c)
	if err != nil {
		return err
	}
	job, err := h.config.Jobs.Cancel(c.Request().Context(), account, c.Param("id"))
	if err != nil {
		return err
	}
	return reply(c, http.StatusOK, job)
}
