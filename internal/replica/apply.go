package replica

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// applyRecord updates the replica with one record and keeps the number of pending jobs of each queue.
func (r *Replica) applyRecord(record storelog.Record) error {
	switch record.Key {
	case ownerKey:
		return r.applyOwner(record)
	case speedsKey:
		return r.applySpeeds(record)
	case forecastKey:
		return r.applyForecast(record)
	case durationsKey:
		return r.applyDurations(record)
	}
	kind, name := record.Key[:min(2, len(record.Key))], record.Key[min(2, len(record.Key)):]
	switch kind {
	case upkeepPrefix:
		return r.applyUpkeep(name, record.Value)
	case leasePrefix:
		return r.applyFinalLease(name, record.Value)
	case peerPrefix:
		return r.applyPeer(name, record.Value)
	}
	id, _, _ := strings.Cut(name, ".")
	job, known := r.jobs[id]
	if !known {
		job = &Job{Runs: map[Task]*storev1.Run{}}
		r.jobs[id] = job
	}
	wasPending := job.isPending()
	err := r.applyJob(job, kind, name, record.Value)
	if nowPending := job.isPending(); nowPending != wasPending {
		if nowPending {
			r.pending[job.Job.GetQueue()]++
		} else {
			r.pending[job.Job.GetQueue()]--
		}
	}
	if kind == jobPrefix && len(record.Value) == 0 {
		delete(r.jobs, id)
	}
	return err
}

// applyJob updates a job with a record of one of its prefixes; an empty value deletes the key.
func (r *Replica) applyJob(job *Job, kind, name string, value []byte) error {
	deleted := len(value) == 0
	switch kind {
	case jobPrefix:
		if deleted || job.Job != nil {
			return nil
		}
		accepted := &storev1.Job{}
		if err := proto.Unmarshal(value, accepted); err != nil {
			return errors.Wrap(err, "decode job")
		}
		if accepted.GetId() != name {
			return errors.Errorf("the job has the id %q: replace the instance by one of the latest version", accepted.GetId())
		}
		if err := CheckJob(accepted); err != nil {
			return errors.Wrap(err, "check job")
		}
		job.Job = accepted
		r.acceptors[accepted.GetAcceptorCpuMillicores()] = time.Now()
		if r.watcher != nil {
			r.watcher.JobAccepted(accepted)
			if job.Cancelled {
				r.watcher.JobCancelled(accepted.GetId())
			}
		}
	case cancelPrefix:
		if !deleted && !job.Cancelled {
			job.Cancelled = true
			if r.watcher != nil {
				r.watcher.JobCancelled(name)
			}
		}
	case runPrefix:
		return job.applyRun(name, value)
	case outcomePrefix:
		if deleted {
			return nil
		}
		outcome := &storev1.Outcome{}
		if err := proto.Unmarshal(value, outcome); err != nil {
			return errors.Wrap(err, "decode outcome")
		}
		job.Outcome = outcome
	default:
		return ErrInvalidKey
	}
	return nil
}

// applyRun updates or deletes the run of a task.
func (j *Job) applyRun(name string, value []byte) error {
	task, err := ParseTask(name)
	if err != nil {
		return err
	}
	if len(value) == 0 {
		j.setWaiting(task, false)
		delete(j.Runs, task)
		return nil
	}
	run := &storev1.Run{}
	if err := proto.Unmarshal(value, run); err != nil {
		return errors.Wrap(err, "decode run")
	}
	j.setWaiting(task, run.GetJobWaits())
	j.Runs[task] = run
	j.Started = true
	return nil
}

// setWaiting counts whether the record of a task's run says that the job waits, in place of its previous record.
func (j *Job) setWaiting(task Task, waits bool) {
	if j.Runs[task].GetJobWaits() {
		j.waiting--
	}
	if waits {
		j.waiting++
	}
}

// applyOwner keeps the latest owner record and ignores those of earlier epochs.
func (r *Replica) applyOwner(record storelog.Record) error {
	owner := &storev1.Owner{}
	if err := proto.Unmarshal(record.Value, owner); err != nil {
		return errors.Wrap(err, "decode owner")
	}
	if owner.GetEpoch() >= r.owner.Owner.GetEpoch() {
		r.owner = Ownership{Owner: owner, ReceivedAt: time.Now()}
	}
	return nil
}

func (r *Replica) applySpeeds(record storelog.Record) error {
	speeds := &storev1.Speeds{}
	if err := proto.Unmarshal(record.Value, speeds); err != nil {
		return errors.Wrap(err, "decode speeds")
	}
	r.speeds = speeds
	return nil
}

// applyForecast keeps the latest forecast. One that was stored before this instance started may be of any age.
func (r *Replica) applyForecast(record storelog.Record) error {
	r.forecast = nil
	if len(record.Value) == 0 || !r.ready {
		return nil
	}
	forecast := &storev1.Forecast{}
	if err := proto.Unmarshal(record.Value, forecast); err != nil {
		return errors.Wrap(err, "decode forecast")
	}
	r.forecast, r.forecastReadAt = forecast, time.Now()
	return nil
}

func (r *Replica) applyDurations(record storelog.Record) error {
	durations := &storev1.Durations{}
	if err := proto.Unmarshal(record.Value, durations); err != nil {
		return errors.Wrap(err, "decode durations")
	}
	r.durations = durations
	return nil
}

func (r *Replica) applyUpkeep(name string, value []byte) error {
	wave, err := strconv.ParseInt(name, 10, 64)
	if err != nil {
		return ErrInvalidKey
	}
	upkeep := &storev1.Upkeep{}
	if err := proto.Unmarshal(value, upkeep); err != nil {
		return errors.Wrap(err, "decode upkeep")
	}
	r.upkeep[wave] = upkeep
	return nil
}

// applyFinalLease keeps a worker's final lease. The remaining time counts from now, which is after its submission.
func (r *Replica) applyFinalLease(worker string, value []byte) error {
	delete(r.finalLeases, worker)
	if len(value) == 0 {
		return nil
	}
	lease := &storev1.FinalLease{}
	if err := proto.Unmarshal(value, lease); err != nil {
		return errors.Wrap(err, "decode final lease")
	}
	now := time.Now()
	end := func(leftMs int64) time.Time { return now.Add(time.Duration(max(0, leftMs)) * time.Millisecond) }
	kept := FinalLease{
		End: end(lease.GetLeftMs()), LaterEnds: map[string]time.Time{}, Suspects: lease.GetSuspects(), WorkerStartMs: lease.GetWorkerStartMs(),
	}
	for task, leftMs := range lease.GetLaterLeftMs() {
		kept.LaterEnds[task] = end(leftMs)
	}
	r.finalLeases[worker] = kept
	return nil
}
