package routing

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Router carries requests of this instance's callers to the workers. Its methods may be called at once.
type Router struct {
	config   Config
	sched    *scheduler
	budget   *budget
	table    *keyTable
	work     *tracker
	latency  [classCount]latency
	counters counters
	requests atomic.Uint64
	// claiming counts the requests that wait for the log to decide their claim.
	claiming atomic.Int64
	idPrefix string
	// base ends with Close; it carries what outlives a call.
	base  context.Context
	close context.CancelFunc
}

// New returns a Router without workers; SetWorkers and SetInstances give it some.
func New(config Config) *Router {
	config = config.withDefaults()
	r := &Router{config: config, table: newKeyTable(), work: newTracker()}
	r.sched = newScheduler(config, &r.counters)
	r.budget = newBudget(config.RetryPercent, time.Now())
	r.idPrefix = config.Instance + "-" + strconv.FormatUint(config.Incarnation, 36) + "-"
	r.base, r.close = context.WithCancel(context.Background())
	return r
}

// Do runs the request and returns its answer by the deadline. The error is not nil only for a request that
// can't be taken as it is; it wraps ErrNoAccount, ErrClass or ErrKey and the request did not run.
func (r *Router) Do(ctx context.Context, request Request) (Answer, error) {
	if err := request.validate(); err != nil {
		r.counters.notRun.Add(1)
		return Answer{Outcome: NotRun, Kind: KindInvalid}, err
	}
	if request.Deadline.IsZero() {
		request.Deadline = time.Now().Add(DefaultTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	answer := r.route(ctx, request)
	r.count(answer.Outcome)
	return answer, nil
}

func (r *Router) route(ctx context.Context, request Request) Answer {
	request.Retry = request.maybeSentBefore(time.Now())
	if request.Idempotent {
		return r.doIdempotent(ctx, request)
	}
	return r.doKeyed(ctx, request)
}

func (r *Router) count(outcome Outcome) {
	switch outcome {
	case Done:
		r.counters.done.Add(1)
	case NotRun:
		r.counters.notRun.Add(1)
	case Unknown:
		r.counters.unknown.Add(1)
	}
}

// keyVersion is the version of UUIDs whose time bounds the key table.
const keyVersion = 7

func (q *Request) validate() error {
	if q.Account == "" {
		return ErrNoAccount
	}
	if q.Class >= classCount {
		return ErrClass
	}
	if !q.Idempotent && q.Key.Version() != keyVersion {
		return ErrKey
	}
	return nil
}

// demand describes the request to the scheduler.
func (r *Router) demand(q *Request, avoid []string) demand {
	return demand{
		account: q.Account, class: q.Class, deadline: q.Deadline,
		service: r.latency[q.Class].expected(), avoid: avoid,
	}
}

// maybeSentBefore says, at its arrival, whether an earlier request with the same key may have been sent to any instance:
// the caller says so, or the key is older than a first request's would be. Without a key only the caller knows.
func (q *Request) maybeSentBefore(now time.Time) bool {
	if q.Key == uuid.Nil {
		return q.Retry
	}
	seconds, nanos := q.Key.Time().UnixTime()
	made := time.Unix(seconds, nanos)
	return q.Retry || now.Sub(made) > FirstSendAge
}

// Refused is the answer to a request that is refused before it reaches a Router: NotRun, but Unknown if an earlier
// request with the same key may have run.
func Refused(request Request, kind Kind, retryAfter time.Duration) Answer {
	request.Retry = request.maybeSentBefore(time.Now())
	return unclaimed(request, &refusal{kind: kind, retryAfter: retryAfter})
}

// answer is the answer to a request that gets no worker. None of its dispatches, if there were any, ran.
func (f *refusal) answer(attempts int) Answer {
	return Answer{Outcome: NotRun, Kind: f.kind, RetryAfter: f.retryAfter, Attempts: attempts}
}
