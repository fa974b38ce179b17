package state

import (
	"math/bits"
	"slices"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

// place starts a run of a waiting job on accelerators that no other job holds.
func (s *State) place(step ledger.Step, record *apiv1.Record, placed *apiv1.GangPlaced) *ledger.Rejection {
	job, rejection := s.liveJob(placed.Id)
	if rejection != nil {
		return rejection
	}
	placement := placed.Placement
	if placement == nil {
		return ledger.Reject(ledger.Malformed, "job %s: the record has no placement", job.ID)
	}
	if job.State != apiv1.JobState_JOB_STATE_WAITING {
		return ledger.Reject(ledger.WrongState, "job %s is placed already, run %d", job.ID, job.Run)
	}
	if placement.DataCentre != job.Spec.DataCentre {
		return ledger.Reject(ledger.WrongState, "job %s waits in %s, not in %s: read its state again", job.ID, job.Spec.DataCentre, placement.DataCentre)
	}
	if rejection := s.checkOwner(step, placement.DataCentre, placement.Epoch); rejection != nil {
		return rejection
	}
	if placed.Run != job.Run+1 {
		return ledger.Reject(ledger.WrongState, "job %s: run %d does not follow run %d: read its state again", job.ID, placed.Run, job.Run)
	}
	if rejection := s.checkMembers(job, placement.Members); rejection != nil {
		return rejection
	}
	for _, member := range placement.Members {
		s.occupy(member)
	}
	job.State = apiv1.JobState_JOB_STATE_PLACED
	job.Run = placed.Run
	job.Placement = placement
	job.PlacedMillis = record.TimeUnixMs
	job.Reason = shorten(record.Reason)
	return nil
}

// checkMembers checks a placement against the job's shape and the accelerators that are taken.
func (s *State) checkMembers(job *Job, members []*apiv1.Member) *ledger.Rejection {
	shape := job.Spec.Shape
	if len(members) != int(shape.Members) {
		return ledger.Reject(ledger.Malformed, "job %s has %d members, %d are placed: place the whole gang", job.ID, shape.Members, len(members))
	}
	own := make(map[string]uint32, len(members))
	for _, member := range members {
		if rejection := checkName("worker", member.Worker); rejection != nil {
			return rejection
		}
		if bits.OnesCount32(member.Accelerators) != int(shape.Accelerators) {
			return ledger.Reject(ledger.Malformed, "job %s: a member on %s has %d accelerators, not %d", job.ID, member.Worker, bits.OnesCount32(member.Accelerators), shape.Accelerators)
		}
		if (s.occupied[member.Worker]|own[member.Worker])&member.Accelerators != 0 {
			return ledger.Reject(ledger.Occupied, "job %s: an accelerator of %s is taken: place it again", job.ID, member.Worker)
		}
		own[member.Worker] |= member.Accelerators
	}
	if shape.Adjacency == apiv1.Adjacency_ADJACENCY_WORKER && members[0].Worker != members[len(members)-1].Worker {
		return ledger.Reject(ledger.Malformed, "job %s asks for one worker and is placed on several", job.ID)
	}
	return nil
}

func (s *State) occupy(member *apiv1.Member) {
	if member.Accelerators != 0 {
		s.occupied[member.Worker] |= member.Accelerators
	}
}

// free gives back the accelerators of a job's run.
func (s *State) free(job *Job) {
	for _, member := range job.Placement.GetMembers() {
		s.occupied[member.Worker] &^= member.Accelerators
		if s.occupied[member.Worker] == 0 {
			delete(s.occupied, member.Worker)
		}
	}
	job.Placement = nil
}

// endRun ends the current run of a placed job; the job has ended with it or waits again.
func (s *State) endRun(step ledger.Step, record *apiv1.Record, ended *apiv1.RunEnded) *ledger.Rejection {
	job, rejection := s.currentRun(step, ended.Id, ended.Run, ended.Epoch)
	if rejection != nil {
		return rejection
	}
	final, known := finalState(job, ended.Result)
	if !known {
		return ledger.Reject(ledger.Malformed, "job %s: a run cannot end with result %s", job.ID, ended.Result)
	}
	s.free(job)
	job.CheckpointPPM = max(job.CheckpointPPM, min(ended.CheckpointPpm, WholePPM))
	noteResult(job, ended)
	if final != apiv1.JobState_JOB_STATE_WAITING {
		s.end(step, record, job, final)
		return nil
	}
	job.State = final
	job.Reason = shorten(record.Reason)
	return nil
}

// finalState is the state of a job after its run ended with the result.
func finalState(job *Job, result apiv1.RunResult) (apiv1.JobState, bool) {
	switch result {
	case apiv1.RunResult_RUN_RESULT_FINISHED:
		return apiv1.JobState_JOB_STATE_FINISHED, true
	case apiv1.RunResult_RUN_RESULT_IMPOSSIBLE:
		return apiv1.JobState_JOB_STATE_FAILED, true
	case apiv1.RunResult_RUN_RESULT_FAILED:
		if job.Failures+1 >= MaxFailures {
			return apiv1.JobState_JOB_STATE_FAILED, true
		}
		return apiv1.JobState_JOB_STATE_WAITING, true
	case apiv1.RunResult_RUN_RESULT_PREEMPTED, apiv1.RunResult_RUN_RESULT_LOST, apiv1.RunResult_RUN_RESULT_MOVED:
		return apiv1.JobState_JOB_STATE_WAITING, true
	default:
		return apiv1.JobState_JOB_STATE_UNSPECIFIED, false
	}
}

// noteResult counts the result and the worker at fault.
func noteResult(job *Job, ended *apiv1.RunEnded) {
	switch ended.Result {
	case apiv1.RunResult_RUN_RESULT_FAILED:
		job.Failures++
	case apiv1.RunResult_RUN_RESULT_PREEMPTED:
		job.Preemptions++
	}
	failed := ended.Result == apiv1.RunResult_RUN_RESULT_FAILED
	if !failed || ended.Worker == "" || len(ended.Worker) > MaxNameBytes || slices.Contains(job.FailedWorkers, ended.Worker) {
		return
	}
	workers := append(slices.Clone(job.FailedWorkers), ended.Worker)
	job.FailedWorkers = workers[max(0, len(workers)-MaxFailedWorkers):]
}

func (s *State) checkpoint(step ledger.Step, noted *apiv1.Checkpointed) *ledger.Rejection {
	job, rejection := s.currentRun(step, noted.Id, noted.Run, noted.Epoch)
	if rejection != nil {
		return rejection
	}
	job.CheckpointPPM = max(job.CheckpointPPM, min(noted.CheckpointPpm, WholePPM))
	return nil
}

// currentRun returns a placed job if the run is its current one and the author owns its data centre.
func (s *State) currentRun(step ledger.Step, id string, run uint32, epoch uint64) (*Job, *ledger.Rejection) {
	job, rejection := s.liveJob(id)
	if rejection != nil {
		return nil, rejection
	}
	if job.State != apiv1.JobState_JOB_STATE_PLACED || job.Run != run {
		return nil, ledger.Reject(ledger.WrongState, "job %s: run %d is not running, the last was run %d", id, run, job.Run)
	}
	if rejection := s.checkOwner(step, job.Placement.DataCentre, epoch); rejection != nil {
		return nil, rejection
	}
	return job, nil
}
