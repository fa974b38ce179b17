// Package gateway accepts jobs and serves callers' requests about them on every instance.
//
// A job is accepted once the store has acknowledged it, so no accepted job is lost if an instance fails after the answer.
// The result NotRun is returned only if the store certainly never received the call's record. Undecided is returned if the
// outcome can't be determined before the call's deadline.
package gateway

import (
	"context"
	"fmt"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const (
	// defaultTimeout is how long a call waits for the store if the caller gave no timeout.
	defaultTimeout = 2500 * time.Millisecond
	// timeoutShare is the share of the caller's timeout that a call may use, so that the answer still arrives in time.
	timeoutShare = 0.8
	// refusedWait is how long a record waits for a store that currently refuses appends.
	refusedWait = 100 * time.Millisecond
	// acknowledgeWait is how long a record waits for a store that is not known to refuse, before it is withdrawn.
	acknowledgeWait = time.Second
	// jobWait is how long Cancel waits for a job to appear, because another instance may just have accepted it.
	jobWait = 400 * time.Millisecond
	// retryAfter is the delay after which a caller should retry. An unavailable store may have recovered by then.
	retryAfter = time.Second
	// defaultMaxBodyBytes limits a request body if the configuration doesn't.
	defaultMaxBodyBytes = 256 << 10
	// maxGangTasks limits a gang: the record of its run names a worker for each task, and the store accepts 256 KiB per record.
	maxGangTasks = 4000
)

// Names of calls that store a record, in log lines and metrics.
const (
	callSubmit = "submit"
	callCancel = "cancel"
)

// Result is the kind of an answer.
type Result int

// Results. NotRun guarantees that the call had no effect; after Undecided it may have had one.
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
	// TooBusy says that the job was not run because the workers are busy for too long, or can't hold it.
	TooBusy
)

// Answer is the response to a call.
type Answer struct {
	Result Result
	// Detail states what happened and what to do about it.
	Detail string
	// RetryAfter is how long the caller should wait before it retries; 0 if a retry is pointless.
	RetryAfter time.Duration
	// StoreUnreachable is true if the call had no effect only because the store's records or answers don't reach this instance.
	StoreUnreachable bool
}

// Health reports whether the store's records reach this instance.
type Health interface {
	// Fresh reports whether the replica and the configuration are complete and recent.
	Fresh() bool
	// ConfigCurrent reports whether the configuration holds everything that must be in force by now.
	ConfigCurrent() bool
	// Refresh reads the records that were stored since the last read.
	Refresh(ctx context.Context)
	// CatchUp returns nil once the replica has all records that were stored before the call.
	CatchUp(ctx context.Context) error
	// CheckStore returns nil if the store answered very recently or answers now.
	CheckStore(ctx context.Context) error
}

// Gateway handles callers' requests.
type Gateway struct {
	configs  *config.Holder
	replica  *replica.Replica
	appender *storelog.Appender
	health   Health
	events   *events.Logger
	counters *Counters
	stages   *metrics.Stages
	// cpu is the instance's processor in millicores; 0 if unknown.
	cpu    uint32
	outage outage
	// refusals are those of jobs in shortages.
	refusals refusals
	// forwarder is nil if calls aren't forwarded; storeFailing is set with it.
	forwarder    Forwarder
	storeFailing func() bool
}

// New returns a Gateway of an instance with the given processor in millicores, 0 if unknown.
func New(
	configs *config.Holder, jobs *replica.Replica, appender *storelog.Appender, health Health, stages *metrics.Stages, cpu uint32,
	logger *events.Logger,
) *Gateway {
	return &Gateway{
		configs: configs, replica: jobs, appender: appender, health: health, events: logger, counters: newCounters(), stages: stages,
		cpu: cpu,
	}
}

// Submit validates a job and stores it. A repeat with the same id has no effect.
func (g *Gateway) Submit(ctx context.Context, call AdmittedCall, job *storev1.Job) Answer {
	if answer := validate(call, job); answer.Result != OK {
		return g.recordAnswer(call, callSubmit, answer)
	}
	if _, known := g.replica.State(call.ID); known != nil {
		return g.recordAnswer(call, "submit again", g.authorize(call, known))
	}
	if !g.health.Fresh() {
		return g.recordAnswer(call, callSubmit, notRun("the store can't be reached"))
	}
	applyQueueSettings(call, job)
	if answer := g.refuseIfBusy(ctx, job); answer.Result != OK {
		return g.recordAnswer(call, callSubmit, answer)
	}
	job.AcceptorCpuMillicores = g.cpu
	record, err := replica.JobRecord(job)
	if err != nil {
		return g.recordAnswer(call, callSubmit, Answer{Result: Invalid, Detail: err.Error()})
	}
	g.refusals.accept(call.ID)
	return g.recordAnswer(call, callSubmit, g.appendRecord(ctx, call, record))
}

// State returns a job's state, or an answer that states why it can't be given.
func (g *Gateway) State(ctx context.Context, call AdmittedCall) (replica.State, Answer) {
	state, job := g.replica.State(call.ID)
	if !state.Final() {
		g.health.Refresh(ctx)
		state, job = g.replica.State(call.ID)
	}
	if job == nil {
		var answer Answer
		if state, job, answer = g.findAfterCatchUp(ctx, call.ID); job == nil {
			return replica.Unknown, g.recordAnswer(call, "state", answer)
		}
	}
	if answer := g.authorize(call, job); answer.Result != OK {
		return replica.Unknown, answer
	}
	if !state.Final() && !g.health.Fresh() {
		return replica.Unknown, g.recordAnswer(call, "state", notRun("the store can't be reached, so the state may be out of date"))
	}
	return state, Answer{}
}

// Cancel stores the cancellation of a job. For a job that has ended or is cancelled it stores nothing and returns OK.
func (g *Gateway) Cancel(ctx context.Context, call AdmittedCall) Answer {
	if !g.health.ConfigCurrent() {
		return g.recordAnswer(call, callCancel, notRun(obsoleteConfig))
	}
	state, job := g.awaitJob(ctx, call.ID)
	if job == nil {
		var answer Answer
		if state, job, answer = g.findAfterCatchUp(ctx, call.ID); job == nil {
			return g.recordAnswer(call, callCancel, answer)
		}
	}
	if answer := g.authorize(call, job); answer.Result != OK {
		return g.recordAnswer(call, callCancel, answer)
	}
	if state.Final() {
		return g.recordAnswer(call, "cancel again", Answer{})
	}
	record, err := replica.CancelRecord(call.ID, &storev1.Cancel{CancelledUnixMs: time.Now().UnixMilli()})
	if err != nil {
		return g.recordAnswer(call, callCancel, Answer{Result: Invalid, Detail: err.Error()})
	}
	return g.recordAnswer(call, callCancel, g.appendRecord(ctx, call, record))
}

// findAfterCatchUp looks up a job after the replica has caught up with the store. Only then is it certain that an unknown
// job doesn't exist.
func (g *Gateway) findAfterCatchUp(ctx context.Context, id string) (replica.State, *storev1.Job, Answer) {
	if err := g.health.CatchUp(ctx); err != nil {
		return replica.Unknown, nil, notRun("the store can't be reached")
	}
	state, job := g.replica.State(id)
	if job == nil {
		return replica.Unknown, nil, Answer{Result: NoJob, Detail: "no such job"}
	}
	return state, job, Answer{}
}

// PendingJobs returns the number of a queue's jobs that have not started.
func (g *Gateway) PendingJobs(call AdmittedCall) (int, Answer) {
	if !g.health.Fresh() {
		return 0, notRun("the store can't be reached")
	}
	return g.replica.PendingJobs(call.Queue.Name), Answer{}
}

// awaitJob returns a job's state and waits up to jobWait for a job that is not known yet.
func (g *Gateway) awaitJob(ctx context.Context, id string) (replica.State, *storev1.Job) {
	timer := time.NewTimer(jobWait)
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

// appendRecord appends a record and returns the answer once the store has acknowledged it or the call's deadline passes.
func (g *Gateway) appendRecord(ctx context.Context, call AdmittedCall, record storelog.Record) Answer {
	// An unanswered append can neither be confirmed nor ruled out, so nothing is sent to a store that doesn't answer.
	if err := g.health.CheckStore(ctx); err != nil {
		return notRun("the store doesn't answer")
	}
	pending := g.appender.Submit(record)
	wait := acknowledgeWait
	if g.appender.RefusedFor() > 0 {
		wait = refusedWait
	}
	if remaining := time.Until(call.Deadline); remaining < wait {
		wait = remaining
	}
	if g.awaitOutcome(ctx, pending, wait) {
		return answerTo(pending)
	}
	var elsewhere <-chan Answer
	for {
		if g.appender.Withdraw(pending) {
			return notRun("the store currently accepts no appends")
		}
		if elsewhere == nil && call.elsewhere != nil && g.maybeLost(pending) {
			elsewhere = call.elsewhere(ctx, call.Deadline)
		}
		remaining := time.Until(call.Deadline)
		if remaining <= 0 || ctx.Err() != nil {
			return Answer{
				Result: Undecided, Detail: "the store has not answered: repeat the call with the same id", RetryAfter: retryAfter,
			}
		}
		select {
		case answer := <-elsewhere:
			if answer.Result == OK {
				return answer
			}
		default:
		}
		if g.awaitOutcome(ctx, pending, min(remaining, refusedWait)) {
			return answerTo(pending)
		}
	}
}

// maybeLost reports whether the store may have received an append without an answer, and doesn't answer others either.
func (g *Gateway) maybeLost(pending *storelog.PendingAppend) bool {
	return g.forwarder != nil && g.appender.MaybeStored(pending) && (g.appender.RefusedFor() > 0 || g.storeFailing())
}

// awaitOutcome reports whether the outcome of an append is known within the given time.
func (g *Gateway) awaitOutcome(ctx context.Context, pending *storelog.PendingAppend, wait time.Duration) bool {
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

// answerTo returns the answer for an append whose outcome is known.
func answerTo(pending *storelog.PendingAppend) Answer {
	if err := pending.Err(); err != nil {
		return Answer{Result: Undecided, Detail: "the outcome is unknown: " + err.Error(), RetryAfter: retryAfter}
	}
	return Answer{}
}

// authorize returns an OK answer if the caller's account owns the job, or the job was submitted to the public queue of the call.
// Otherwise it answers that there is no such job.
func (g *Gateway) authorize(call AdmittedCall, job *storev1.Job) Answer {
	ofPublicQueue := call.Queue.Public && job.GetQueue() == call.Queue.Name
	if job.GetAccount() != call.Account && !ofPublicQueue {
		return Answer{Result: NoJob, Detail: "no such job"}
	}
	return Answer{}
}

// recordAnswer logs an answer, counts it, observes its latency and returns it. It does none of this for an answer that a peer may yet
// replace.
func (g *Gateway) recordAnswer(call AdmittedCall, name string, answer Answer) Answer {
	if call.mayBeForwarded && answer.StoreUnreachable {
		return answer
	}
	answer.RetryAfter = g.delayInOutage(call, name, answer)
	g.counters.count(name, answer.Result)
	g.stages.Answer.Observe(time.Since(call.ReceivedAt))
	g.events.Log(events.CallAnswered, "call", name, "job", call.ID, "queue", call.Queue.Name, "result", answer.Result,
		"detail", answer.Detail, "retry_after_ms", answer.RetryAfter.Milliseconds())
	return answer
}

// notRun returns the answer to a call that certainly had no effect because the store's records or answers don't reach this instance.
func notRun(detail string) Answer {
	return Answer{
		Result: NotRun, Detail: detail + ": the call had no effect, retry later", RetryAfter: retryAfter, StoreUnreachable: true,
	}
}

// applyQueueSettings fills in the job's id, account and acceptance time, and the settings of its queue.
func applyQueueSettings(call AdmittedCall, job *storev1.Job) {
	job.Id, job.Queue, job.Account, job.Service = call.ID, call.Queue.Name, call.Account, call.Queue.Service
	job.Priority, job.MaxAttempts = call.Queue.Priority, call.Queue.MaxAttempts
	job.StretchFactor, job.TargetDurationMs = call.Queue.StretchFactor, call.Queue.TargetDuration.Milliseconds()
	job.AcceptedUnixMs = time.Now().UnixMilli()
}

// validate checks the fields of a job that the scheduler relies on.
func validate(call AdmittedCall, job *storev1.Job) Answer {
	if call.ID == "" {
		return Answer{Result: Invalid, Detail: "the path lacks the job's id"}
	}
	if err := replica.CheckJob(job); err != nil {
		return Answer{Result: Invalid, Detail: err.Error()}
	}
	for _, step := range job.GetSteps() {
		if step.GetEstimateMs() < 0 {
			return Answer{Result: Invalid, Detail: "Steps: EstMs must not be negative"}
		}
		if step.GetGang() && step.GetCount() > maxGangTasks {
			return Answer{Result: Invalid, Detail: fmt.Sprintf("Steps: a gang may have at most %d tasks: split it", maxGangTasks)}
		}
	}
	return Answer{}
}
