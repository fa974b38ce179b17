package placing

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

const (
	// quarantineJobs is how many different jobs must fail on a worker, without a success between, for a quarantine.
	quarantineJobs = 3
	// faultyJobWorkers is on how many different workers a job must fail to be held at fault itself.
	faultyJobWorkers = 3
	// probesToReturn is how many probes in a row a quarantined worker must pass.
	probesToReturn = 3
)

// errSilent is the reason to suspect a worker that gave no answer to a renewal.
var errSilent = errors.New("the worker gave no answer to a renewal: check it and the network to it")

// evidence tells a worker at fault from a job at fault: it counts different jobs that failed on one
// worker and different workers that one job failed on.
type evidence struct {
	jobsOf    map[string]map[string]bool // worker -> jobs that failed there
	workersOf map[string]map[string]bool // job -> workers it failed on
}

func newEvidence() *evidence {
	return &evidence{jobsOf: map[string]map[string]bool{}, workersOf: map[string]map[string]bool{}}
}

// failure notes that a job failed on a worker and tells whether the worker is at fault.
func (e *evidence) failure(worker, job string) bool {
	add(e.jobsOf, worker, job)
	add(e.workersOf, job, worker)
	count := 0
	for each := range e.jobsOf[worker] {
		if len(e.workersOf[each]) < faultyJobWorkers {
			count++
		}
	}
	return count >= quarantineJobs
}

// success clears a worker.
func (e *evidence) success(worker string) {
	delete(e.jobsOf, worker)
}

// forgetJob drops a job that ended.
func (e *evidence) forgetJob(job string) {
	delete(e.workersOf, job)
}

func add(sets map[string]map[string]bool, key, value string) {
	if sets[key] == nil {
		sets[key] = map[string]bool{}
	}
	sets[key][value] = true
}

// noteFailure counts a failed task and proposes a quarantine when the worker is at fault.
func (l *Loop) noteFailure(worker, job string) {
	known := l.fleet.workers[worker]
	if known == nil || !l.evidence.failure(worker, job) {
		return
	}
	if known.verdict == apiv1.WorkerCondition_WORKER_CONDITION_UNSPECIFIED && !known.judged {
		known.judged = true
		l.proposeVerdict(worker, apiv1.WorkerCondition_WORKER_CONDITION_QUARANTINED, "different jobs failed on the worker one after another")
	}
}

// noteSuccess clears the workers of a gang that finished.
func (l *Loop) noteSuccess(placement *apiv1.Placement) {
	for _, each := range placement.GetMembers() {
		l.evidence.success(each.GetWorker())
	}
}

// proposeVerdict makes a verdict durable.
func (l *Loop) proposeVerdict(worker string, condition apiv1.WorkerCondition, reason string) {
	l.operate(func(ctx context.Context) func() {
		l.owe(ctx, func() *apiv1.Record {
			return &apiv1.Record{
				Actor: l.config.Actor, Reason: reason,
				Body: &apiv1.Record_WorkerMarked{WorkerMarked: &apiv1.WorkerMarked{Worker: worker, Condition: condition}},
			}
		})
		return func() { l.fleet.workers[worker].judged = false }
	})
}

// probeWorkers starts the probes that are due on quarantined workers.
func (l *Loop) probeWorkers() {
	now := time.Now()
	for _, name := range l.fleet.order {
		known := l.fleet.workers[name]
		if known.verdict != apiv1.WorkerCondition_WORKER_CONDITION_QUARANTINED || known.probing || now.Before(known.probe) {
			continue
		}
		known.probing = true
		l.operate(func(ctx context.Context) func() {
			err := l.manager.Probe(ctx, name)
			return func() { l.probeDone(name, known, err) }
		})
	}
}

// probeDone counts a probe and proposes the return of a worker that passed enough of them.
func (l *Loop) probeDone(name string, known *localWorker, err error) {
	known.probing = false
	known.probe = time.Now().Add(l.config.ProbeEvery)
	if err != nil {
		known.passed = 0
		return
	}
	known.passed++
	if known.passed >= probesToReturn {
		known.passed = 0
		l.evidence.success(name)
		l.proposeVerdict(name, apiv1.WorkerCondition_WORKER_CONDITION_HEALTHY, "the worker passed its probes")
	}
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
