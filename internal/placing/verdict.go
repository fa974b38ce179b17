package placing

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// errSilent is the reason to suspect a worker that gave no answer to a renewal.
var errSilent = errors.New("the worker gave no answer to a renewal: check it and the network to it")

// keepsEvidence tells whether the policy itself knows the workers that a job is to avoid.
func (l *Loop) keepsEvidence() bool {
	_, keeps := l.config.Policy.(policy.EvidenceKeeper)
	return keeps
}

// noteFailure tells the policy that a task of a job failed on a worker.
func (l *Loop) noteFailure(worker, job string) {
	if keeper, keeps := l.config.Policy.(policy.EvidenceKeeper); keeps && worker != "" {
		keeper.StartFailed(job, worker, nowMillis())
	}
}

// proposeVerdict makes a verdict of the policy durable.
func (l *Loop) proposeVerdict(verdict *policy.Verdict) {
	condition := apiv1.WorkerCondition_WORKER_CONDITION_HEALTHY
	if verdict.Condition == policy.Quarantined {
		condition = apiv1.WorkerCondition_WORKER_CONDITION_QUARANTINED
	}
	l.operate(func(ctx context.Context) func() {
		l.owe(ctx, func() *apiv1.Record {
			return &apiv1.Record{
				Actor: l.config.Actor, Reason: verdict.Reason,
				Body: &apiv1.Record_WorkerMarked{WorkerMarked: &apiv1.WorkerMarked{Worker: verdict.Worker, Condition: condition}},
			}
		})
		return func() {}
	})
}

// probe finds out whether a quarantined worker starts tasks again.
func (l *Loop) probe(worker string) {
	l.operate(func(ctx context.Context) func() {
		err := l.manager.Probe(ctx, worker)
		return func() {
			if keeper, keeps := l.config.Policy.(policy.EvidenceKeeper); keeps {
				keeper.Probed(worker, err == nil, nowMillis())
			}
		}
	})
}

// endAtFault ends a waiting job that the policy found at fault itself.
func (l *Loop) endAtFault(fault *policy.AtFault) {
	l.operate(func(ctx context.Context) func() {
		l.owe(ctx, func() *apiv1.Record {
			return &apiv1.Record{
				Actor: l.config.Actor, Reason: fault.Reason,
				Body: &apiv1.Record_JobCancelled{JobCancelled: &apiv1.JobCancelled{Id: fault.JobID, AtFault: true}},
			}
		})
		return func() { l.stale.Store(true) }
	})
}

// checkpointGangs starts the checkpoints that are due.
func (l *Loop) checkpointGangs() {
	now := time.Now()
	for _, id := range sortedIDs(l.jobs) {
		known := l.jobs[id]
		if known.phase != running || now.Before(known.checkpointAt) {
			continue
		}
		known.checkpointAt = now.Add(l.config.CheckpointEvery)
		run := known.run
		l.operate(func(ctx context.Context) func() {
			kept, err := l.manager.Checkpoint(ctx, id, checkpointTimeout)
			if err != nil {
				return func() {}
			}
			err = l.proposeCheckpoint(ctx, id, run, kept)
			return func() { l.checkpointDone(known, run, kept, err) }
		})
	}
}

func (l *Loop) proposeCheckpoint(ctx context.Context, id string, run, kept uint32) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	return l.config.Ledger.Propose(ctx, &apiv1.Record{
		Actor: l.config.Actor,
		Body: &apiv1.Record_Checkpointed{Checkpointed: &apiv1.Checkpointed{
			Id: id, Run: run, Epoch: l.config.Epoch, CheckpointPpm: kept,
		}},
	})
}

// checkpointDone tells the policy of a durable checkpoint.
func (l *Loop) checkpointDone(known *localJob, run, kept uint32, err error) {
	if err == nil && known.phase == running && known.run == run {
		l.config.Policy.Checkpointed(known.job.GetId(), int(kept), nowMillis())
	}
}
