// Package entry serves callers and operators over HTTP.
//
// Callers and operators have different addresses. Every answer that is an error is a problem detail
// (RFC 9457). Sizes, header sizes and times are bounded on every listener.
package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v5"
	"github.com/labstack/echo/v5/middleware"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
)

// Bounds of every listener.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout bounds the longest answer: a request's longest timeout and time to send it.
	writeTimeout = 150 * time.Second
	idleTimeout  = 120 * time.Second
	// reasonTrailerBytes is room beside a payload for the rest of a body.
	reasonTrailerBytes = 4 << 10
)

const (
	mimeProblem = "application/problem+json"
	mimeJSON    = "application/json"
	bearer      = "Bearer "
	// milli turns retry times into the whole seconds of the Retry-After header.
	milli = 1000
)

// Server is one HTTP listener.
type Server struct {
	listener net.Listener
	http     *http.Server
	events   *events.Logger
}

// Listen binds address (IP:port) for the handler.
func Listen(address string, handler http.Handler, logger *events.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen: choose a free address in the settings")
	}
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	return &Server{listener: listener, http: server, events: logger}, nil
}

// Address returns the bound IP:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve answers until Shutdown.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	s.events.Log(events.ListenerFailed, "address", s.Address(), "reason", err)
	return errors.Wrap(err, "serve")
}

// Shutdown stops listening and waits for the requests under way until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// newEcho returns an echo instance that answers errors as problem details.
func newEcho(bodyLimit int64) *echo.Echo {
	e := echo.NewWithConfig(echo.Config{Logger: slog.New(slog.DiscardHandler)})
	e.HTTPErrorHandler = writeProblem
	e.Use(middleware.Recover())
	e.Use(middleware.BodyLimit(bodyLimit))
	return e
}

// writeProblem answers an error as a problem detail.
func writeProblem(c *echo.Context, err error) {
	detail := problem.From(err)
	var known *problem.Error
	if status := echo.StatusCode(err); status != 0 && !errors.As(err, &known) {
		detail = fromStatus(status, err)
	}
	if detail.RetryAfter > 0 {
		seconds := (detail.RetryAfter.Milliseconds() + milli - 1) / milli
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if c.Path() == requestsPath && detail.Outcome == apiv1.Outcome_OUTCOME_UNSPECIFIED {
		detail = withOutcome(detail)
	}
	body, encodeError := encode(detail.Message())
	if encodeError != nil {
		body = nil
	}
	_ = c.Blob(detail.Kind.Status, mimeProblem, body)
}

// withOutcome completes a problem that the HTTP library found with a request: it refuses before the request is
// run, but a failure of the instance may come after.
func withOutcome(detail *problem.Error) *problem.Error {
	complete := *detail
	complete.Outcome = apiv1.Outcome_OUTCOME_NOT_RUN
	if detail.Kind.Status >= http.StatusInternalServerError {
		complete.Outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	}
	return &complete
}

// fromStatus turns an error of the HTTP library into a problem.
func fromStatus(status int, err error) *problem.Error {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return problem.New(problem.NotFound, "use a path and method of docs/API.md")
	case http.StatusRequestEntityTooLarge:
		return problem.New(problem.TooLarge, "send a smaller body")
	case http.StatusBadRequest:
		return problem.New(problem.Invalid, err.Error())
	default:
		return problem.New(problem.Internal, err.Error())
	}
}

func encode(message proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
}

// reply answers with a message as JSON.
func reply(c *echo.Context, status int, message proto.Message) error {
	body, err := encode(message)
	if err != nil {
		return problem.New(problem.Internal, err.Error())
	}
	return c.Blob(status, mimeJSON, body)
}

// readBody returns the whole body.
func readBody(c *echo.Context) ([]byte, error) {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		if echo.StatusCode(err) == http.StatusRequestEntityTooLarge {
			return nil, problem.New(problem.TooLarge, "send a smaller body")
		}
		return nil, problem.New(problem.Invalid, "the body did not arrive whole: send it again")
	}
	return body, nil
}

// token returns the bearer token of a request, "" when there is none.
func token(c *echo.Context) string {
	header := c.Request().Header.Get("Authorization")
	if !strings.HasPrefix(header, bearer) {
		return ""
	}
	return strings.TrimPrefix(header, bearer)
}

// sameToken compares in a time that depends on neither token.
func sameToken(a, b string) bool {
	hashA := sha256.Sum256([]byte(a))
	hashB := sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(hashA[:], hashB[:]) == 1
}
