package placing

import (
	"context"
	"slices"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// proposeEnd makes the end of a run durable, however long the log takes.
func (l *Loop) proposeEnd(known *localJob, ended *gang.Ended) {
	stopFor := known.stopFor
	known.stopFor = ""
	l.operate(func(ctx context.Context) func() {
		l.owe(ctx, func() *apiv1.Record { return l.endRecord(ended, stopFor) })
		return func() { l.endDone(known, ended) }
	})
}

func (l *Loop) endRecord(ended *gang.Ended, stopFor string) *apiv1.Record {
	record := &apiv1.RunEnded{
		Id: ended.JobID, Run: ended.Run, Epoch: l.config.Epoch, Result: ended.Result,
		CheckpointPpm: ended.CheckpointPPM, Worker: ended.Worker,
	}
	if ended.Result == apiv1.RunResult_RUN_RESULT_PREEMPTED {
		record.ForJob = stopFor
	}
	return &apiv1.Record{
		Actor:  l.config.Actor,
		Reason: endReason(ended.Result),
		Body:   &apiv1.Record_RunEnded{RunEnded: record},
	}
}

// endReason tells the caller of a job why its run ended. It names no other account's job.
func endReason(result apiv1.RunResult) string {
	switch result {
	case apiv1.RunResult_RUN_RESULT_FINISHED:
		return "all tasks finished"
	case apiv1.RunResult_RUN_RESULT_FAILED:
		return "a task failed"
	case apiv1.RunResult_RUN_RESULT_PREEMPTED:
		return "stopped for a job that goes first; goes on from its checkpoint"
	case apiv1.RunResult_RUN_RESULT_MOVED:
		return "stopped to be placed better; goes on from its checkpoint"
	case apiv1.RunResult_RUN_RESULT_LOST:
		return "a member or its lease was lost; goes on from its checkpoint"
	default:
		return "can never succeed"
	}
}

// owe proposes a record again and again until the fold has accepted or rejected it. A repeat of a
// record that took effect unseen is rejected.
func (l *Loop) owe(ctx context.Context, build func() *apiv1.Record) {
	for ctx.Err() == nil {
		err := l.proposeOnce(ctx, build())
		if err == nil || rejected(err) {
			return
		}
		l.mail.put(func() { l.logSilent(err) })
	}
}

func (l *Loop) proposeOnce(ctx context.Context, record *apiv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, oweTimeout)
	defer cancel()
	err := l.config.Ledger.Propose(ctx, record)
	if err != nil && !rejected(err) {
		// A ledger that refuses at once must not be asked again at once.
		<-ctx.Done()
	}
	return err
}

// endDone tells the policy that a run is over. A run that ended in two ways at once is over once.
func (l *Loop) endDone(known *localJob, ended *gang.Ended) {
	if l.ctx.Err() != nil || !l.ends(known, ended) {
		return
	}
	id := ended.JobID
	l.config.Observe(Event{Kind: EventEnded, JobID: id, Run: ended.Run, Result: ended.Result, Worker: ended.Worker})
	current := l.config.View.Job(id)
	settled := known.phase == settling
	switch {
	case current != nil && current.GetRun() == ended.Run && current.GetState() == apiv1.JobState_JOB_STATE_PLACED:
		// The ledger took neither this end nor another one: it refuses the epoch.
		l.fence()
	case current == nil:
		if !settled {
			l.endForGood(id, ended)
		}
		delete(l.jobs, id)
	case settled:
		l.resubmit(known, current)
	default:
		l.config.Policy.Ended(id, policyEnd(ended.Result), int(ended.CheckpointPPM), nowMillis())
		if !l.keepsEvidence() && !slices.Equal(current.GetFailedWorkers(), known.avoids) {
			l.config.Policy.Ended(id, policy.Cancelled, 0, nowMillis())
			l.resubmit(known, current)
		}
		known.job = current
		known.phase = waiting
	}
}

// ends tells whether the job still stands at the end of that run.
func (l *Loop) ends(known *localJob, ended *gang.Ended) bool {
	return known.run == ended.Run && (known.phase == ending || known.phase == settling)
}

// endForGood tells the policy of the end of a run whose job does not wait again.
func (l *Loop) endForGood(id string, ended *gang.Ended) {
	if ended.Result == apiv1.RunResult_RUN_RESULT_FINISHED {
		l.config.Policy.Ended(id, policy.Finished, int(ended.CheckpointPPM), nowMillis())
		return
	}
	if ended.Result != apiv1.RunResult_RUN_RESULT_UNSPECIFIED {
		l.config.Policy.Ended(id, policyEnd(ended.Result), int(ended.CheckpointPPM), nowMillis())
	}
	l.config.Policy.Ended(id, policy.Cancelled, 0, nowMillis())
}

// resubmit hands a job to the policy as a new one.
func (l *Loop) resubmit(known *localJob, current *apiv1.Job) {
	known.job = current
	known.phase = waiting
	known.avoids = current.GetFailedWorkers()
	l.config.Policy.Submit(policyJob(current))
}
