// Package routing carries short requests from callers to workers.
//
// A Router queues requests fairly by client account, divides each worker's limits with the other
// instances, and answers every request with exactly one of three outcomes: Done, NotRun or Unknown.
// Non-idempotent requests are claimed in the log before they are dispatched and are dispatched again
// only after a proof that they did not start. Idempotent requests are retried under a budget.
package routing

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/dotterelgauge/dotterelgauge/internal/claims"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// Class is the urgency of a request; lower goes first.
type Class uint8

// Classes of requests.
const (
	Urgent Class = iota
	Ordinary
	Patient
	classCount
)

// Outcome is what is known about a request.
type Outcome uint8

// Outcomes. They are never blurred.
const (
	// Unknown means that the request was dispatched, here or elsewhere, and that nothing proves how it ended.
	Unknown Outcome = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Done means that the request ran; the answer holds its payload.
	Done
)

// String names the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Kind says why a request has its outcome.
type Kind string

// Kinds of answers.
const (
	// KindNone goes with a plain answer of a worker.
	KindNone Kind = ""
	// KindInvalid is a request that can't be taken as it is.
	KindInvalid Kind = "invalid"
	// KindQueueFull is a request refused because too many wait.
	KindQueueFull Kind = "queue_full"
	// KindOverload is a request refused because the queue delay exceeds its deadline.
	KindOverload Kind = "overload"
	// KindDraining is a request refused because the instance is shutting down.
	KindDraining Kind = "draining"
	// KindDeadline is a request whose deadline passed.
	KindDeadline Kind = "deadline"
	// KindCancelled is a request whose caller went away.
	KindCancelled Kind = "cancelled"
	// KindNoWorker is a request that every tried worker refused.
	KindNoWorker Kind = "no_worker"
	// KindClaimUnavailable is a request whose key could not be claimed in the log in time.
	KindClaimUnavailable Kind = "claim_unavailable"
	// KindKeyConflict is a key that was used for another request.
	KindKeyConflict Kind = "key_conflict"
	// KindKeyExpired is a key older than the window of the key table.
	KindKeyExpired Kind = "key_expired"
	// KindAnswerNotKept is a request that ran, but whose answer is no longer held anywhere.
	KindAnswerNotKept Kind = "answer_not_kept"
	// KindAnswerLost is a request that was dispatched and whose answer never came.
	KindAnswerLost Kind = "answer_lost"
	// KindHolderGone is a key whose claiming instance is gone without a record of the end.
	KindHolderGone Kind = "holder_gone"
)

// Sentinel errors of requests that can't be taken as they are; none of them ran.
var (
	// ErrNoAccount is a request without a client account.
	ErrNoAccount = errors.New("the request names no client account: set one")
	// ErrClass is a request of an undefined class.
	ErrClass = errors.New("the class is undefined: use urgent, ordinary or patient")
	// ErrKey is a non-idempotent request without a usable key.
	ErrKey = errors.New("a non-idempotent request needs an idempotency key: send a UUIDv7 made for this request")
)

// Request is a short request of a client account.
type Request struct {
	Account string
	// Key is the idempotency key, a UUIDv7; needed unless Idempotent.
	Key   uuid.UUID
	Class Class
	// Idempotent requests may run more than once.
	Idempotent bool
	// Retry says that the caller may have sent the request before. Until its claim is decided, and always if it is
	// idempotent, such a request is refused as Unknown where a first one is refused as NotRun, for the earlier one may
	// have run.
	Retry bool
	// Deadline is when the caller stops waiting; zero means DefaultTimeout from now.
	Deadline time.Time
	Payload  []byte
}

// Answer is the end of a request.
type Answer struct {
	Outcome Outcome
	// Payload is the worker's answer when Outcome is Done.
	Payload []byte
	// Failed says that the request ran and ended in an error, which Payload holds.
	Failed bool
	Kind   Kind
	// RetryAfter is how long to wait before a retry; zero when a retry is of no use or needs no wait.
	RetryAfter time.Duration
	// Worker is the worker that answered; empty for answers from the log or from another instance.
	Worker string
	// Attempts counts the dispatches that this call made.
	Attempts int
}

// Defaults and bounds.
const (
	// DefaultTimeout is the time of a request without a deadline.
	DefaultTimeout = 10 * time.Second
	// MaxAttempts bounds the dispatches of one request.
	MaxAttempts = 4
	// MaxKeptAnswerBytes bounds the payload of an answer that is kept in the log.
	MaxKeptAnswerBytes = claims.MaxAnswerBytes - packedAnswerBytes
	// packedAnswerBytes bounds what packing adds to the payload of a kept answer.
	packedAnswerBytes = 16
	// FirstSendAge is the age of a key from which a request counts as a retry although it doesn't say so.
	FirstSendAge = time.Second
	// answerGrace is how long past the caller's deadline the answer to a non-idempotent request is
	// awaited, so that a retry gets it.
	answerGrace = 5 * time.Second
	// minRetryAfter and maxRetryAfter bound the advice to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Config makes a Router.
type Config struct {
	// Instance is the name of this instance in the instance list.
	Instance string
	// Incarnation distinguishes this start of the process; it makes request ids unique.
	Incarnation uint64
	Claims      Claims
	Holder      Holder
	Workers     platform.Workers
	// QueueLimit bounds the requests waiting in all queues; zero means DefaultQueueLimit.
	QueueLimit int
	// RetryPercent is the share of recent successes that may be spent on retries; zero means DefaultRetryPercent.
	RetryPercent int
	// Seed seeds the choice of workers.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultQueueLimit   = 1000
	DefaultRetryPercent = 20
)

func (c Config) withDefaults() Config {
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.RetryPercent <= 0 {
		c.RetryPercent = DefaultRetryPercent
	}
	return c
}
