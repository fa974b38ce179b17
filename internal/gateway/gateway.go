// Package gateway accepts jobs and answers for them, on every instance.
//
// A job is accepted once the store has acknowledged it, so any instance may be lost after the answer. "Not run" is said
// only when it is certain that the store never got the job. What can't be decided in the caller's time is said to be so.
package gateway

import (
	"context"
	"regexp"
	"strings"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const (
	// answerTime is how long a call waits for the store when the caller gave no deadline.
	answerTime = 2500 * time.Millisecond
	// deadlineShare of the caller's deadline is used, so that the answer still arrives.
	deadlineShare = 0.8
	// refusedWait is how long a job waits for a store that refuses at present.
	refusedWait = 100 * time.Millisecond
	// takenWait is how long a job waits for a store that is not known to refuse, before it is withdrawn.
	takenWait = time.Second
	// visibleWait is how long a cancel waits for its job to show, which another instance may just have accepted.
	visibleWait = 400 * time.Millisecond
	// retryAfter is when a refused caller should come back: a store that is down may be back by then.
	retryAfter = time.Second
	// defaultBodyBytes bounds a body when the configuration doesn't.
	defaultBodyBytes = 256 << 10
	// maxSteps and maxTasks bound a job.
	maxSteps = 256
	maxTasks = 20000
	// maxSpecBytes bounds the opaque text of a job.
	maxSpecBytes = 4000
)

// Result is the kind of an answer.
type Result int

// Results. NotRun is certain; Undecided is not.
const (
	OK Result = iota
	NoQueue
	NoJob
	Unauthorized
	Invalid
	TooLarge
	NotRun
	Undecided
	Conflict
)

// Answer is what a caller hears.
type Answer struct {
	Result Result
	// Detail says what happened and the remedy.
	Detail string
	// RetryAfter is when to come back; 0 if that makes no sense.
	RetryAfter time.Duration
}

// Call is a caller's request.
type Call struct {
	Host string
	Path string
	Key  string
	// Timeout is how long the caller waits; 0 if it didn't say.
	Timeout time.Duration
}

// AdmittedCall is a call that the configuration allows.
type AdmittedCall struct {
	Queue   config.Queue
	Account string
	// ID of the job; empty for the queue itself.
	ID        string
	BodyLimit int64
	// ReceivedAt is when the call came, Deadline when the caller has to have its answer.
	ReceivedAt, Deadline time.Time
}

// Health tells whether the store's records reach this instance.
type Health interface {
	// Fresh tells that the replica and the configuration are complete and recent.
	Fresh() bool
	// Refresh reads what the store has got meanwhile.
	Refresh(ctx context.Context)
	// Current returns nil once the replica has all that was stored when it was called.
	CatchUp(ctx context.Context) error
	// Answers asks the store whether it answers, unless it just has.
	CheckStore(ctx context.Context) error
}

// Gateway serves callers.
type Gateway struct {
	configs  *config.Holder
	replica  *replica.Replica
	appender *storelog.Appender
	health   Health
	events   *events.Logger
	counters *Counters
	stages   *metrics.Stages
}

// New returns a Gateway.
func New(configs *config.Holder, jobs *replica.Replica, appender *storelog.Appender, health Health, stages *metrics.Stages, logger *events.Logger) *Gateway {
	return &Gateway{configs: configs, replica: jobs, appender: appender, health: health, events: logger, counters: newCounters(), stages: stages}
}

var idPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// Admit finds the queue of a call by its host and path, and checks its key.
func (g *Gateway) Admit(call Call) (AdmittedCall, Answer) {
	now := g.configs.Current()
	if now == nil {
		return AdmittedCall{}, notRun("this instance has no configuration yet")
	}
	queue, known := now.QueueForPath(call.Host, call.Path)
	if !known {
		return AdmittedCall{}, g.refused(call, Answer{Result: NoQueue, Detail: "no queue has this host and path: look at the configuration"})
	}
	return g.admit(now, queue, strings.TrimPrefix(call.Path, queue.PathPrefix), call)
}

// AdmitByName checks the key of a call to a queue by its name; id is empty for the queue itself.
func (g *Gateway) AdmitByName(name, id string, call Call) (AdmittedCall, Answer) {
	now := g.configs.Current()
	if now == nil {
		return AdmittedCall{}, notRun("this instance has no configuration yet")
	}
	queue, known := now.Queue(name)
	if !known {
		return AdmittedCall{}, g.refused(call, Answer{Result: NoQueue, Detail: "no queue has this name: look at the configuration"})
	}
	return g.admit(now, queue, id, call)
}

// refused logs and counts a call that the configuration doesn't allow.
func (g *Gateway) refused(call Call, answer Answer) Answer {
	g.counters.count("call", answer.Result)
	version := int64(0)
	if now := g.configs.Current(); now != nil {
		version = now.Version
	}
	g.events.Log(events.CallerRefused, "host", call.Host, "path", call.Path, "version", version, "result", answer.Result)
	return answer
}

func (g *Gateway) admit(now *config.Configuration, queue config.Queue, id string, call Call) (AdmittedCall, Answer) {
	account, known := now.AccountOf(call.Key)
	if !known && !queue.Public {
		return AdmittedCall{}, g.refused(call, Answer{Result: Unauthorized, Detail: "the key is unknown: send one of the account's keys"})
	}
	wait := answerTime
	if call.Timeout > 0 {
		wait = time.Duration(float64(call.Timeout) * deadlineShare)
	}
	if queue.Timeout > 0 {
		wait = min(wait, queue.Timeout)
	}
	limit := now.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if id != "" && !idPattern.MatchString(id) {
		return AdmittedCall{}, g.refused(call, Answer{Result: Invalid, Detail: "a job's id has 16 hexadecimal digits"})
	}
	since := time.Now()
	return AdmittedCall{Queue: queue, Account: account, ID: id, BodyLimit: limit, ReceivedAt: since, Deadline: since.Add(wait)}, Answer{}
}

// Submit accepts a job.
func (g *Gateway) Submit(ctx context.Context, call AdmittedCall, job *storev1.Job) Answer {
	if answer := validate(call, job); answer.Result != OK {
		return g.told(call, "submit", answer)
	}
	if _, known := g.replica.State(call.ID); known != nil {
		return g.told(call, "submit again", g.permit(call, known))
	}
	if !g.health.Fresh() {
		return g.told(call, "submit", notRun("the store can't be reached"))
	}
	complete(call, job)
	record, err := replica.JobRecord(job)
	if err != nil {
		return g.told(call, "submit", Answer{Result: Invalid, Detail: err.Error()})
	}
	return g.told(call, "submit", g.store(ctx, call, record))
}

// State returns a job's state.
func (g *Gateway) State(ctx context.Context, call AdmittedCall) (replica.State, Answer) {
	state, job := g.replica.State(call.ID)
	if !state.Final() {
		g.health.Refresh(ctx)
		state, job = g.replica.State(call.ID)
	}
	if job == nil {
		var answer Answer
		if state, job, answer = g.lookAgain(ctx, call.ID); job == nil {
			return replica.Unknown, g.told(call, "state", answer)
		}
	}
	if answer := g.permit(call, job); answer.Result != OK {
		return replica.Unknown, answer
	}
	if !state.Final() && !g.health.Fresh() {
		return replica.Unknown, g.told(call, "state", notRun("the store can't be reached, so the state may be old"))
	}
	return state, Answer{}
}

// Cancel ends a job.
func (g *Gateway) Cancel(ctx context.Context, call AdmittedCall) Answer {
	state, job := g.await(ctx, call.ID)
	if job == nil {
		var answer Answer
		if state, job, answer = g.lookAgain(ctx, call.ID); job == nil {
			return g.told(call, "cancel", answer)
		}
	}
	if answer := g.permit(call, job); answer.Result != OK {
		return g.told(call, "cancel", answer)
	}
	if state.Final() {
		return g.told(call, "cancel again", Answer{})
	}
	record, err := replica.CancelRecord(call.ID, &storev1.Cancel{CancelledUnixMs: time.Now().UnixMilli()})
	if err != nil {
		return g.told(call, "cancel", Answer{Result: Invalid, Detail: err.Error()})
	}
	return g.told(call, "cancel", g.store(ctx, call, record))
}

// lookAgain looks up a job that isn't known here, once the replica has all that is stored: only then is it true that there
// is no such job.
func (g *Gateway) lookAgain(ctx context.Context, id string) (replica.State, *storev1.Job, Answer) {
	if err := g.health.CatchUp(ctx); err != nil {
		return replica.Unknown, nil, notRun("the store can't be reached")
	}
	state, job := g.replica.State(id)
	if job == nil {
		return replica.Unknown, nil, Answer{Result: NoJob, Detail: "no such job"}
	}
	return state, job, Answer{}
}

// PendingJobs returns the number of a queue's jobs for which nothing has started.
func (g *Gateway) PendingJobs(call AdmittedCall) (int, Answer) {
	if !g.health.Fresh() {
		return 0, notRun("the store can't be reached")
	}
	return g.replica.PendingJobs(call.Queue.Name), Answer{}
}

// await returns a job's state and waits a little for a job that is not known yet.
func (g *Gateway) await(ctx context.Context, id string) (replica.State, *storev1.Job) {
	timer := time.NewTimer(visibleWait)
	defer timer.Stop()
	if _, job := g.replica.State(id); job == nil {
		g.health.Refresh(ctx)
	}
	for {
		changed := g.replica.Changed()
		if state, job := g.replica.State(id); job != nil {
			return state, job
		}
		select {
		case <-ctx.Done():
			return replica.Unknown, nil
		case <-timer.C:
			return replica.Unknown, nil
		case <-changed:
		}
	}
}

// store appends a record and answers when the store has acknowledged it, or when the caller's time is up.
func (g *Gateway) store(ctx context.Context, call AdmittedCall, record storelog.Record) Answer {
	// An append without an answer can neither be confirmed nor denied, so a store that is silent is not sent one.
	if err := g.health.CheckStore(ctx); err != nil {
		return notRun("the store doesn't answer")
	}
	pending := g.appender.Submit(record)
	wait := takenWait
	if g.appender.RefusedFor() > 0 {
		wait = refusedWait
	}
	if left := time.Until(call.Deadline); left < wait {
		wait = left
	}
	if g.acknowledged(ctx, pending, wait) {
		return outcome(pending)
	}
	for {
		if g.appender.Withdraw(pending) {
			return notRun("the store takes nothing at present")
		}
		left := time.Until(call.Deadline)
		if left <= 0 || ctx.Err() != nil {
			return Answer{Result: Undecided, Detail: "the store has not answered: ask again with the same id", RetryAfter: retryAfter}
		}
		if g.acknowledged(ctx, pending, min(left, refusedWait)) {
			return outcome(pending)
		}
	}
}

func (g *Gateway) acknowledged(ctx context.Context, pending *storelog.PendingAppend, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-pending.Done():
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

func outcome(pending *storelog.PendingAppend) Answer {
	if err := pending.Err(); err != nil {
		return Answer{Result: Undecided, Detail: "the outcome is not known: " + err.Error(), RetryAfter: retryAfter}
	}
	return Answer{}
}

// permit lets an account see and stop its own jobs only.
func (g *Gateway) permit(call AdmittedCall, job *storev1.Job) Answer {
	if job.GetAccount() != call.Account && !call.Queue.Public {
		return Answer{Result: NoJob, Detail: "no such job"}
	}
	return Answer{}
}

// told logs and counts an answer.
func (g *Gateway) told(call AdmittedCall, what string, answer Answer) Answer {
	g.counters.count(what, answer.Result)
	g.stages.Answer.Observe(time.Since(call.ReceivedAt))
	g.events.Log(events.CallAnswered, "call", what, "job", call.ID, "queue", call.Queue.Name, "result", answer.Result, "detail", answer.Detail)
	return answer
}

func notRun(detail string) Answer {
	return Answer{Result: NotRun, Detail: detail + ": it has not run, come back later", RetryAfter: retryAfter}
}

// complete adds what the configuration says.
func complete(call AdmittedCall, job *storev1.Job) {
	job.Id, job.Queue, job.Account, job.Service = call.ID, call.Queue.Name, call.Account, call.Queue.Service
	job.Priority, job.MaxAttempts = call.Queue.Priority, call.Queue.MaxAttempts
	job.StretchFactor, job.TargetDurationMs = call.Queue.StretchFactor, call.Queue.TargetDuration.Milliseconds()
	job.AcceptedUnixMs = time.Now().UnixMilli()
}

// validate checks what the scheduler relies on.
func validate(call AdmittedCall, job *storev1.Job) Answer {
	problem := func(detail string) Answer { return Answer{Result: Invalid, Detail: detail} }
	switch {
	case call.ID == "":
		return problem("the path lacks the job's id")
	case len(job.GetSpec()) > maxSpecBytes:
		return problem("Spec is longer than 4000 bytes")
	case len(job.GetSteps()) == 0 || len(job.GetSteps()) > maxSteps:
		return problem("Steps must have 1 to 256 entries")
	}
	tasks := uint32(0)
	for i, step := range job.GetSteps() {
		if step.GetCount() == 0 || step.GetCount() > maxTasks {
			return problem("Steps: Count must be 1 to 20000")
		}
		tasks += step.GetCount()
		for _, after := range step.GetAfter() {
			if int(after) >= i {
				return problem("Steps: After may name earlier steps only")
			}
		}
	}
	if tasks > maxTasks {
		return problem("a job may have 20000 tasks")
	}
	return Answer{}
}
