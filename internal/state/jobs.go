package state

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

const (
	maxMembers            = 64
	maxMemberAccelerators = 8
)

func (s *State) submit(record *apiv1.Record, submitted *apiv1.JobSubmitted) *ledger.Rejection {
	if rejection := checkName("job id", submitted.Id); rejection != nil {
		return rejection
	}
	if rejection := checkSpec(submitted.Spec); rejection != nil {
		return rejection
	}
	if s.jobs[submitted.Id] != nil {
		return ledger.Reject(ledger.Duplicate, "job %s exists: choose another id", submitted.Id)
	}
	if live := len(s.jobs) - s.ended.Len(); live >= MaxLiveJobs {
		return ledger.Reject(ledger.Full, "%d jobs wait or run: cancel some or wait for some to end", live)
	}
	s.jobs[submitted.Id] = &Job{
		ID:              submitted.Id,
		Spec:            submitted.Spec,
		State:           apiv1.JobState_JOB_STATE_WAITING,
		SubmittedMillis: record.TimeUnixMs,
		Reason:          shorten(record.Reason),
	}
	return nil
}

func checkSpec(spec *apiv1.JobSpec) *ledger.Rejection {
	shape := spec.GetShape()
	if shape == nil {
		return ledger.Reject(ledger.Malformed, "the job has no shape: name members and accelerators")
	}
	if shape.Members == 0 || shape.Members > maxMembers {
		return ledger.Reject(ledger.Malformed, "the gang has %d members: use 1 to %d", shape.Members, maxMembers)
	}
	if shape.Accelerators > maxMemberAccelerators {
		return ledger.Reject(ledger.Malformed, "a member has %d accelerators: use 0 to %d", shape.Accelerators, maxMemberAccelerators)
	}
	if rejection := checkName("client account", spec.Account); rejection != nil {
		return rejection
	}
	return checkName("data centre", spec.DataCentre)
}

func (s *State) cancel(step ledger.Step, record *apiv1.Record, cancelled *apiv1.JobCancelled) *ledger.Rejection {
	job, rejection := s.liveJob(cancelled.Id)
	if rejection != nil {
		return rejection
	}
	s.free(job)
	final := apiv1.JobState_JOB_STATE_CANCELLED
	if cancelled.AtFault {
		final = apiv1.JobState_JOB_STATE_FAILED
	}
	s.end(step, record, job, final)
	return nil
}

func (s *State) move(moved *apiv1.JobMoved) *ledger.Rejection {
	job, rejection := s.liveJob(moved.Id)
	if rejection != nil {
		return rejection
	}
	if job.State != apiv1.JobState_JOB_STATE_WAITING {
		return ledger.Reject(ledger.WrongState, "job %s is placed: only a waiting job moves", job.ID)
	}
	if job.Spec.DataCentre != moved.From {
		return ledger.Reject(ledger.WrongState, "job %s waits in %s, not in %s: read its state again", job.ID, job.Spec.DataCentre, moved.From)
	}
	if rejection := checkName("data centre", moved.To); rejection != nil {
		return rejection
	}
	spec := proto.CloneOf(job.Spec)
	spec.DataCentre = moved.To
	job.Spec = spec
	return nil
}

// liveJob returns a job that has not ended.
func (s *State) liveJob(id string) (*Job, *ledger.Rejection) {
	job := s.jobs[id]
	if job == nil {
		return nil, ledger.Reject(ledger.Unknown, "there is no job %s: it never was accepted or ended long ago", id)
	}
	if !job.Live() {
		return nil, ledger.Reject(ledger.WrongState, "job %s has ended (%s)", id, job.State)
	}
	return job, nil
}

// end ends a job whose accelerators are free.
func (s *State) end(step ledger.Step, record *apiv1.Record, job *Job, final apiv1.JobState) {
	job.State = final
	job.EndedMillis = max(record.TimeUnixMs, step.TimeMillis)
	job.Reason = shorten(record.Reason)
	spec := proto.CloneOf(job.Spec)
	spec.Payload = nil
	job.Spec = spec
	s.ended.ReplaceOrInsert(endedKey{millis: job.EndedMillis, id: job.ID})
}

// dropEnded drops ended jobs that are too old or too many, the oldest first.
func (s *State) dropEnded(nowMillis int64) {
	for s.ended.Len() > 0 {
		oldest, _ := s.ended.Min()
		if s.ended.Len() <= MaxEndedJobs && oldest.millis >= nowMillis-EndedKeepMillis {
			return
		}
		s.ended.DeleteMin()
		delete(s.jobs, oldest.id)
	}
}
