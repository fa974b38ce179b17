// Package state folds the ledger stream: configuration, jobs, placements, owners and verdicts on workers.
//
// Every change is a record that holds against the state at its place in the log or is rejected there,
// alike at every reader. Nothing here reads a clock, and nothing depends on the order of a map.
package state

import (
	"strings"

	"github.com/google/btree"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

// Bounds of the state. They are part of the fold: all instances must have the same.
const (
	// MaxRevisions is how many sheets are kept, the one in force included.
	MaxRevisions = 16
	// MaxLiveJobs bounds the jobs that have not ended.
	MaxLiveJobs = 20_000
	// MaxEndedJobs bounds the ended jobs that are kept.
	MaxEndedJobs = 2_000
	// EndedKeepMillis is how long an ended job is kept, milliseconds.
	EndedKeepMillis = 24 * 60 * 60 * 1000
	// MaxFailures is how many runs of a job may fail before the job has failed.
	MaxFailures = 5
	// MaxFailedWorkers bounds the workers that a job remembers, the latest are kept.
	MaxFailedWorkers = 16
	// MaxVerdicts bounds the workers that are not healthy.
	MaxVerdicts = 10_000
	// MaxDataCentres bounds the data centres that have had an owner.
	MaxDataCentres = 1_000
	// MaxNameBytes bounds ids and names, bytes.
	MaxNameBytes = 128
	// MaxReasonBytes bounds the reason that a job, revision or verdict keeps, bytes.
	MaxReasonBytes = 256
	// WholePPM is all the work of a job, parts per million.
	WholePPM = 1_000_000
)

// Job is a job as the ledger holds it. Spec and Placement are shared and must not be changed.
type Job struct {
	ID string
	// Spec names the data centre that the job waits or runs in. The payload is gone once the job has ended.
	Spec  *apiv1.JobSpec
	State apiv1.JobState
	// Run counts the placements.
	Run uint32
	// Placement is set while the job is placed.
	Placement       *apiv1.Placement
	CheckpointPPM   uint32
	SubmittedMillis int64
	PlacedMillis    int64
	EndedMillis     int64
	Reason          string
	Failures        uint32
	Preemptions     uint32
	FailedWorkers   []string
}

// Live says whether the job has not ended.
func (j *Job) Live() bool {
	return j.State == apiv1.JobState_JOB_STATE_WAITING || j.State == apiv1.JobState_JOB_STATE_PLACED
}

// Owner is who places the gangs of a data centre.
type Owner struct {
	DataCentre string
	// Instance and Incarnation are empty when the data centre has no owner.
	Instance    string
	Incarnation uint64
	Epoch       uint64
}

// Held says whether the data centre has an owner.
func (o Owner) Held() bool {
	return o.Instance != ""
}

// Verdict is the condition of a worker that is not healthy.
type Verdict struct {
	Worker     string
	Condition  apiv1.WorkerCondition
	Reason     string
	TimeMillis int64
}

// endedKey orders the ended jobs by when they are dropped.
type endedKey struct {
	millis int64
	id     string
}

func lessEnded(a, b endedKey) bool {
	if a.millis != b.millis {
		return a.millis < b.millis
	}
	return a.id < b.id
}

// State is the ledger.Machine of the ledger stream. Its accessors are called in Replica.View or from a
// subscriber of the replica.
type State struct {
	// revisions are the sheets, the one in force last.
	revisions []*apiv1.Revision
	jobs      map[string]*Job
	ended     *btree.BTreeG[endedKey]
	// occupied has the taken accelerators of each worker as bits.
	occupied map[string]uint32
	owners   map[string]Owner
	verdicts map[string]Verdict
}

var _ ledger.Machine = (*State)(nil)

// btreeDegree is the fan-out of the ordered indexes.
const btreeDegree = 16

// New returns an empty state.
func New() *State {
	return &State{
		jobs:     make(map[string]*Job),
		ended:    btree.NewG(btreeDegree, lessEnded),
		occupied: make(map[string]uint32),
		owners:   make(map[string]Owner),
		verdicts: make(map[string]Verdict),
	}
}

// Apply changes the state by one record or returns a *ledger.Rejection.
func (s *State) Apply(step ledger.Step, record *apiv1.Record) error {
	if rejection := s.apply(step, record); rejection != nil {
		return rejection
	}
	s.dropEnded(step.TimeMillis)
	return nil
}

func (s *State) apply(step ledger.Step, record *apiv1.Record) *ledger.Rejection {
	switch body := record.Body.(type) {
	case *apiv1.Record_SheetApplied:
		return s.applySheet(record, body.SheetApplied)
	case *apiv1.Record_JobSubmitted:
		return s.submit(record, body.JobSubmitted)
	case *apiv1.Record_JobCancelled:
		return s.cancel(step, record, body.JobCancelled)
	case *apiv1.Record_JobMoved:
		return s.move(body.JobMoved)
	case *apiv1.Record_GangPlaced:
		return s.place(step, record, body.GangPlaced)
	case *apiv1.Record_RunEnded:
		return s.endRun(step, record, body.RunEnded)
	case *apiv1.Record_Checkpointed:
		return s.checkpoint(step, body.Checkpointed)
	case *apiv1.Record_OwnerTaken:
		return s.takeOwnership(step, body.OwnerTaken)
	case *apiv1.Record_OwnerReleased:
		return s.releaseOwnership(step, body.OwnerReleased)
	case *apiv1.Record_WorkerMarked:
		return s.markWorker(record, body.WorkerMarked)
	default:
		return ledger.Reject(ledger.Malformed, "a record of kind %T does not belong to the ledger stream: append it to its own stream", record.Body)
	}
}

func checkName(what, name string) *ledger.Rejection {
	if name == "" || len(name) > MaxNameBytes {
		return ledger.Reject(ledger.Malformed, "the %s has %d bytes: use 1 to %d", what, len(name), MaxNameBytes)
	}
	return nil
}

// shorten cuts a text to MaxReasonBytes without leaving a part of a character.
func shorten(text string) string {
	if len(text) <= MaxReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:MaxReasonBytes], "")
}
