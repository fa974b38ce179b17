package placing

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// maxDecisionRounds bounds how often one step asks the policy again.
const maxDecisionRounds = 64

// decide carries out what the policy decides, unless the log takes no records: then neither a start nor
// the end of a victim could be logged.
func (l *Loop) decide() {
	if now := time.Now(); now.Before(l.quiet) || now.Before(l.silent) {
		return
	}
	for range maxDecisionRounds {
		decisions := l.config.Policy.Decide(nowMillis())
		if len(decisions) == 0 {
			return
		}
		for _, decision := range decisions {
			l.carryOut(decision)
		}
	}
}

func (l *Loop) carryOut(decision policy.Decision) {
	switch {
	case decision.Start != nil:
		l.startGang(decision.Start)
	case decision.Stop != nil:
		l.stopVictim(decision.Stop)
	case decision.Verdict != nil:
		l.proposeVerdict(decision.Verdict)
	case decision.Probe != nil:
		l.probe(decision.Probe.Worker)
	case decision.AtFault != nil:
		l.endAtFault(decision.AtFault)
	}
}

// startGang starts a waiting job in two phases beside the loop.
func (l *Loop) startGang(start *policy.Start) {
	known := l.jobs[start.JobID]
	if known == nil || known.phase != waiting {
		l.config.Policy.StartRefused(start.JobID)
		return
	}
	known.phase = starting
	known.run = known.job.GetRun() + 1
	known.placement = l.placement(start.Members)
	job := proto.CloneOf(known.job)
	job.Run = known.run
	job.Placement = known.placement
	l.operate(func(ctx context.Context) func() {
		err := l.manager.Start(ctx, job)
		return func() { l.startDone(known, err) }
	})
}

// startDone takes the outcome of a start.
func (l *Loop) startDone(known *localJob, err error) {
	id := known.job.GetId()
	stop := known.stop
	known.stop = nil
	var refused *gang.StartError
	switch {
	case err == nil:
		l.startSucceeded(known, stop)
	case errors.As(err, &refused) && refused.Logged:
		l.config.Policy.Started(id, nowMillis())
		known.phase = ending
		l.noteStartError(known, refused)
		l.proposeEnd(known, &gang.Ended{
			JobID: id, Run: known.run, Result: startResult(refused), Worker: refused.Worker,
			CheckpointPPM: known.job.GetCheckpointPpm(),
		})
	default:
		known.phase = waiting
		l.config.Policy.StartRefused(id)
		l.config.Observe(Event{Kind: EventStartRefused, JobID: id, Run: known.run, Err: err})
		if !l.review(known) {
			return
		}
		if refused != nil {
			l.noteStartError(known, refused)
		} else if !rejected(err) {
			l.logSilent(err)
		} else {
			l.quiet = time.Now().Add(rejectPause)
		}
	}
}

// startSucceeded notes that all members run. The stop is a decision that came meanwhile, or nil.
func (l *Loop) startSucceeded(known *localJob, stop *policy.Stop) {
	id := known.job.GetId()
	known.phase = running
	known.checkpointAt = time.Now().Add(l.config.CheckpointEvery)
	l.config.Policy.Started(id, nowMillis())
	l.config.Observe(Event{Kind: EventStarted, JobID: id, Run: known.run})
	switch {
	case known.cancelled:
		l.jobGone(known)
	case stop != nil:
		l.stopVictim(stop)
	}
}

// review compares a job whose start failed with the ledger, which may have changed meanwhile. It
// returns whether the job waits there.
func (l *Loop) review(known *localJob) bool {
	current := l.config.View.Job(known.job.GetId())
	if current == nil || current.GetSpec().GetDataCentre() != l.config.DataCentre {
		l.jobGone(known)
		return false
	}
	l.readJob(current)
	return known.phase == waiting
}

// startResult is how a run ended that was logged and did not start whole.
func startResult(refused *gang.StartError) apiv1.RunResult {
	if refused.Status == apiv1.LeaseStatus_LEASE_STATUS_START_FAILED {
		return apiv1.RunResult_RUN_RESULT_FAILED
	}
	return apiv1.RunResult_RUN_RESULT_LOST
}

// noteStartError draws conclusions on the worker that kept a gang from starting.
func (l *Loop) noteStartError(known *localJob, refused *gang.StartError) {
	if refused.Worker == "" {
		return
	}
	if refused.Status == apiv1.LeaseStatus_LEASE_STATUS_START_FAILED {
		l.noteFailure(refused.Worker, known.job.GetId())
		return
	}
	l.suspectWorker(refused.Worker, refused)
}

// stopVictim stops a running gang for another or to place it better.
func (l *Loop) stopVictim(stop *policy.Stop) {
	known := l.jobs[stop.JobID]
	if known == nil {
		return
	}
	switch known.phase {
	case starting:
		known.stop = stop
	case running:
		known.stopFor = stop.For
		result := apiv1.RunResult_RUN_RESULT_PREEMPTED
		if stop.Reason == policy.Moved {
			result = apiv1.RunResult_RUN_RESULT_MOVED
		}
		l.stopGang(known, result, time.Duration(stop.WithinMillis)*time.Millisecond)
	default:
		// It ends already.
	}
}

// stopGang stops a running gang beside the loop. The result UNSPECIFIED means that the ledger needs no end.
func (l *Loop) stopGang(known *localJob, result apiv1.RunResult, bound time.Duration) {
	known.phase = ending
	id, run := known.job.GetId(), known.run
	l.operate(func(ctx context.Context) func() {
		kept, err := l.manager.Stop(ctx, id, run, bound)
		return func() { l.stopDone(known, &gang.Ended{JobID: id, Run: run, Result: result, CheckpointPPM: kept}, err) }
	})
}

// stopDone takes the outcome of a stop. On an error the manager ended the gang otherwise, and its event
// says how.
func (l *Loop) stopDone(known *localJob, ended *gang.Ended, err error) {
	if err != nil {
		return
	}
	if ended.Result == apiv1.RunResult_RUN_RESULT_UNSPECIFIED {
		l.endDone(known, ended)
		return
	}
	l.proposeEnd(known, ended)
}

// onGang takes an event of the gang manager.
func (l *Loop) onGang(event gang.Event) {
	switch {
	case event.Fenced != nil:
		l.fence()
	case event.Worker != nil && !event.Worker.Answered:
		l.suspectWorker(event.Worker.Worker, errSilent)
	case event.Ended != nil:
		l.gangEnded(event.Ended)
	}
}

// gangEnded takes the end of a gang that the manager stopped on its own account.
func (l *Loop) gangEnded(ended *gang.Ended) {
	known := l.jobs[ended.JobID]
	if known == nil || known.run != ended.Run {
		return
	}
	if ended.Result == apiv1.RunResult_RUN_RESULT_FAILED {
		l.noteFailure(ended.Worker, ended.JobID)
	}
	known.phase = ending
	l.proposeEnd(known, ended)
}

// logSilent stops decisions for a while, because the log did not take a record.
func (l *Loop) logSilent(err error) {
	l.silent = time.Now().Add(l.logPause)
	l.logPause = min(2*l.logPause, maxLogPause)
	l.config.Observe(Event{Kind: EventOwed, Err: err})
}

// rejected tells whether the fold refused a record, which settles it.
func rejected(err error) bool {
	var rejection *ledger.Rejection
	return errors.As(err, &rejection)
}

func sortedIDs(jobs map[string]*localJob) []string {
	return slices.Sorted(maps.Keys(jobs))
}
