package audit

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// wholePPM is all the work of a job, parts per million.
const wholePPM = 1_000_000

// usualSpeed is the speed of a worker on which declared run times hold, permille.
const usualSpeed = 1000

// recorder turns audit records into a trace.
type recorder struct {
	trace  *replay.Trace
	speeds map[string]uint32
	jobs   map[string]*recordedJob
}

// recordedJob is a job of the trace and its current run.
type recordedJob struct {
	line *apiv1.TraceJob
	// worked is the work seen so far, milliseconds at the usual speed; seen says whether a run ended.
	worked int64
	seen   bool
	placed *apiv1.Placement
	since  int64
}

// Trace returns the trace of the accepted records, which replay reads. The true run time of a job is what its
// runs took at the speed of the slowest member; a job with no ended run keeps its declared time.
func Trace(name string, records []*apiv1.AuditRecord, workers []*apiv1.Worker) *replay.Trace {
	r := &recorder{
		trace: &replay.Trace{Header: &apiv1.TraceHeader{
			Format:  replay.TraceFormat,
			Name:    name,
			Workers: workers,
			Sheet:   &apiv1.Sheet{},
		}},
		speeds: make(map[string]uint32),
		jobs:   make(map[string]*recordedJob),
	}
	for _, worker := range workers {
		r.speeds[worker.Name] = worker.SpeedPermille
	}
	last := int64(0)
	for _, audited := range records {
		if audited.Rejection != "" {
			continue
		}
		last = max(last, audited.Record.TimeUnixMs)
		r.add(last, audited.Record)
	}
	for _, job := range r.jobs {
		if job.seen && job.worked > 0 {
			job.line.RunMs = job.worked
		}
	}
	return r.trace
}

func (r *recorder) add(at int64, record *apiv1.Record) {
	switch body := record.Body.(type) {
	case *apiv1.Record_SheetApplied:
		r.event(&apiv1.TraceLine{TimeUnixMs: at, Event: &apiv1.TraceLine_Sheet{Sheet: &apiv1.TraceSheet{Sheet: body.SheetApplied.Sheet}}})
	case *apiv1.Record_JobSubmitted:
		r.submit(at, body.JobSubmitted)
	case *apiv1.Record_JobCancelled:
		if r.jobs[body.JobCancelled.Id] != nil {
			r.event(&apiv1.TraceLine{TimeUnixMs: at, Event: &apiv1.TraceLine_Cancelled{Cancelled: &apiv1.TraceCancel{Id: body.JobCancelled.Id}}})
		}
	case *apiv1.Record_GangPlaced:
		if job := r.jobs[body.GangPlaced.Id]; job != nil {
			job.placed = body.GangPlaced.Placement
			job.since = at
		}
	case *apiv1.Record_RunEnded:
		r.end(at, body.RunEnded)
	}
}

func (r *recorder) event(line *apiv1.TraceLine) {
	r.trace.Events = append(r.trace.Events, line)
}

func (r *recorder) submit(at int64, submitted *apiv1.JobSubmitted) {
	line := &apiv1.TraceJob{Id: submitted.Id, Spec: submitted.Spec, RunMs: submitted.Spec.ExpectedMs}
	r.jobs[submitted.Id] = &recordedJob{line: line}
	r.event(&apiv1.TraceLine{TimeUnixMs: at, Event: &apiv1.TraceLine_Submitted{Submitted: line}})
}

// end adds the work of a run: the whole rest of a finished job, what its checkpoint kept of another.
func (r *recorder) end(at int64, ended *apiv1.RunEnded) {
	job := r.jobs[ended.Id]
	if job == nil || job.placed == nil {
		return
	}
	worked := (at - job.since) * r.slowest(job.placed) / usualSpeed
	job.placed = nil
	switch ended.Result {
	case apiv1.RunResult_RUN_RESULT_FINISHED:
		job.worked += worked
		job.seen = true
	case apiv1.RunResult_RUN_RESULT_FAILED:
		job.line.Fails = job.line.Fails || ended.Worker == ""
	default:
		if ended.CheckpointPpm > 0 && ended.CheckpointPpm <= wholePPM {
			job.worked += worked
		}
	}
}

// slowest returns the speed of the slowest member's worker, permille.
func (r *recorder) slowest(placement *apiv1.Placement) int64 {
	slowest := int64(0)
	for _, member := range placement.Members {
		speed := int64(r.speeds[member.Worker])
		if speed > 0 && (slowest == 0 || speed < slowest) {
			slowest = speed
		}
	}
	if slowest == 0 {
		return usualSpeed
	}
	return slowest
}
