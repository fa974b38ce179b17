package placing

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gang"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// phase is where a job stands for the loop.
type phase uint8

const (
	// waiting: the policy may start the job.
	waiting phase = iota
	// starting: the gang manager works on a Start decision.
	starting
	// running: the gang manager renews the gang.
	running
	// ending: the gang stops, or its end is on the way to the ledger.
	ending
	// settling: the ledger shows a placed run that is not held; its end is on the way to the ledger.
	settling
)

// localJob is a job as the loop knows it.
type localJob struct {
	job   *apiv1.Job
	phase phase
	// cancelled: the ledger holds the job no longer.
	cancelled bool
	// stopFor is the job that the run is preempted for.
	stopFor string
	// stop is a Stop decision that came while the gang was starting.
	stop *policy.Stop
	// checkpointAt is when the next checkpoint is due.
	checkpointAt time.Time
	// placement is that of the run under way.
	placement *apiv1.Placement
	run       uint32
	// avoids are the failed workers of the job as the policy knows them.
	avoids []string
}

func sameSheet(a, b *apiv1.Sheet) bool {
	return a == b || proto.Equal(a, b)
}

// restore takes over the placed jobs of the ledger for a new owner.
func (l *Loop) restore() error {
	var placed []*apiv1.Job
	for _, job := range l.config.View.Jobs(l.config.DataCentre) {
		if job.GetState() != apiv1.JobState_JOB_STATE_PLACED {
			continue
		}
		placed = append(placed, job)
		l.jobs[job.GetId()] = &localJob{
			job: job, phase: running, placement: job.GetPlacement(), run: job.GetRun(), avoids: job.GetFailedWorkers(),
			checkpointAt: time.Now().Add(l.config.CheckpointEvery),
		}
		l.config.Policy.Restore(policyJob(job), policyMembers(job.GetPlacement()), job.GetPlacedUnixMs())
		l.config.Observe(Event{Kind: EventRestored, JobID: job.GetId(), Run: job.GetRun()})
	}
	return l.manager.Restore(l.ctx, placed)
}

// readJobs compares the ledger's jobs with those known.
func (l *Loop) readJobs() {
	listed := map[string]bool{}
	for _, job := range l.config.View.Jobs(l.config.DataCentre) {
		listed[job.GetId()] = true
		l.readJob(job)
	}
	for _, id := range sortedIDs(l.jobs) {
		if !listed[id] {
			l.jobGone(l.jobs[id])
		}
	}
}

// readJob takes over one waiting or placed job.
func (l *Loop) readJob(job *apiv1.Job) {
	known := l.jobs[job.GetId()]
	placed := job.GetState() == apiv1.JobState_JOB_STATE_PLACED
	if known == nil {
		known = &localJob{job: job, avoids: job.GetFailedWorkers()}
		l.jobs[job.GetId()] = known
		l.config.Policy.Submit(policyJob(job))
	}
	known.job = job
	known.cancelled = false
	if known.phase == waiting && placed {
		l.settle(known)
	}
}

// settle ends a run that the ledger shows as placed and nobody holds: the answer to its proposal was
// lost, and the gang was released.
func (l *Loop) settle(known *localJob) {
	known.phase = settling
	known.run = known.job.GetRun()
	l.config.Policy.Ended(known.job.GetId(), policy.Cancelled, 0, nowMillis())
	l.proposeEnd(known, &gang.Ended{
		JobID:         known.job.GetId(),
		Run:           known.job.GetRun(),
		Result:        apiv1.RunResult_RUN_RESULT_LOST,
		CheckpointPPM: known.job.GetCheckpointPpm(),
	})
}

// jobGone handles a job that the ledger holds no longer: it was cancelled or moved, or it ended.
func (l *Loop) jobGone(known *localJob) {
	known.cancelled = true
	switch known.phase {
	case waiting:
		l.config.Policy.Ended(known.job.GetId(), policy.Cancelled, 0, nowMillis())
		delete(l.jobs, known.job.GetId())
	case running:
		l.stopGang(known, apiv1.RunResult_RUN_RESULT_UNSPECIFIED, 0)
	default:
		// What is under way looks at cancelled when it is done.
	}
}

func nowMillis() int64 { return time.Now().UnixMilli() }
