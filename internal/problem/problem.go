// Package problem holds the typed errors that callers and operators see, sent as problem details (RFC 9457).
package problem

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// typePrefix starts the URI of every kind.
const typePrefix = "urn:dotterelgauge:problem:"

// Kind is a kind of problem.
type Kind struct {
	// Name is the stable short name.
	Name  string
	Title string
	// Status is the HTTP status.
	Status int
}

// Kinds of problems.
var (
	Invalid      = Kind{"invalid", "the request is not valid", http.StatusBadRequest}
	Unauthorized = Kind{"unauthorized", "the token is missing or wrong", http.StatusUnauthorized}
	NotFound     = Kind{"not_found", "there is no such thing for this account", http.StatusNotFound}
	Conflict     = Kind{"conflict", "another change came first", http.StatusConflict}
	TooLarge     = Kind{"too_large", "the request is too large", http.StatusRequestEntityTooLarge}
	Impossible   = Kind{"impossible", "this can never run", http.StatusUnprocessableEntity}
	KeyConflict  = Kind{"key_conflict", "the key belongs to another request", http.StatusConflict}
	KeyExpired   = Kind{"key_expired", "the key is too old", http.StatusGone}
	AnswerGone   = Kind{"answer_not_kept", "the request ran and its answer is no longer kept", http.StatusGone}
	Overload     = Kind{"overload", "too much work waits", http.StatusTooManyRequests}
	Unavailable  = Kind{"unavailable", "this cannot be done now", http.StatusServiceUnavailable}
	Deadline     = Kind{"deadline", "the deadline passed", http.StatusGatewayTimeout}
	NotKnown     = Kind{"unknown", "it is not known whether this took effect", http.StatusBadGateway}
	Internal     = Kind{"internal", "the instance failed", http.StatusInternalServerError}
)

// Error is a problem with its kind, details and remedy.
type Error struct {
	Kind Kind
	// Detail says what happened and the remedy.
	Detail  string
	Outcome apiv1.Outcome
	// RetryAfter is when another try makes sense; 0 when it makes none.
	RetryAfter time.Duration
}

// New returns an Error without an outcome.
func New(kind Kind, detail string) *Error {
	return &Error{Kind: kind, Detail: detail}
}

// Error returns title and detail.
func (e *Error) Error() string {
	return e.Kind.Title + ": " + e.Detail
}

// Message returns the problem details.
func (e *Error) Message() *apiv1.Problem {
	return &apiv1.Problem{
		Type:         typePrefix + e.Kind.Name,
		Title:        e.Kind.Title,
		Status:       uint32(e.Kind.Status), //nolint:gosec // HTTP statuses are small.
		Detail:       e.Detail,
		Kind:         e.Kind.Name,
		Outcome:      e.Outcome,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// From returns err as an *Error; an err of another type becomes Internal.
func From(err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return New(Internal, err.Error())
}
