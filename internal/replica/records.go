package replica

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// JobRecord returns the record that accepts a job.
func JobRecord(job *storev1.Job) (storelog.Record, error) {
	return encode(jobPrefix+job.GetId(), job)
}

// CancelRecord returns the record that cancels a job.
func CancelRecord(id string, cancel *storev1.Cancel) (storelog.Record, error) {
	return encode(cancelPrefix+id, cancel)
}

// RunRecord returns the record of a task's latest run.
func RunRecord(task Task, run *storev1.Run) (storelog.Record, error) {
	return encode(runPrefix+task.String(), run)
}

// OutcomeRecord returns the record of a job's outcome.
func OutcomeRecord(id string, outcome *storev1.Outcome) (storelog.Record, error) {
	return encode(outcomePrefix+id, outcome)
}

// OwnerRecord returns the record of a claim, its renewal or its release.
func OwnerRecord(owner *storev1.Owner) (storelog.Record, error) {
	return encode(ownerKey, owner)
}

// SpeedsRecord returns the record of the workers' learned speeds.
func SpeedsRecord(speeds *storev1.Speeds) (storelog.Record, error) {
	return encode(speedsKey, speeds)
}

// ForecastRecord returns the record of a forecast; nil deletes it.
func ForecastRecord(forecast *storev1.Forecast) (storelog.Record, error) {
	if forecast == nil {
		return storelog.Record{Key: forecastKey}, nil
	}
	return encode(forecastKey, forecast)
}

// DurationsRecord returns the record of what was learned of the durations of tasks.
func DurationsRecord(durations *storev1.Durations) (storelog.Record, error) {
	return encode(durationsKey, durations)
}

// UpkeepRecord returns the record of the progress of a wave of upkeep.
func UpkeepRecord(wave int64, progress *storev1.Upkeep) (storelog.Record, error) {
	return encode(upkeepPrefix+strconv.FormatInt(wave, 10), progress)
}

// FinalLeaseRecord returns the record of a worker's final lease, submitted at the given time.
func FinalLeaseRecord(worker string, lease FinalLease, now time.Time) (storelog.Record, error) {
	leftMs := func(end time.Time) int64 { return max(0, end.Sub(now)).Milliseconds() + 1 }
	record := &storev1.FinalLease{
		LeftMs: leftMs(lease.End), Suspects: lease.Suspects, WorkerStartMs: lease.WorkerStartMs, LaterLeftMs: map[string]int64{},
	}
	for task, end := range lease.LaterEnds {
		record.LaterLeftMs[task] = leftMs(end)
	}
	return encode(leasePrefix+worker, record)
}

// FinalLeaseTombstone returns the record that deletes a worker's final lease.
func FinalLeaseTombstone(worker string) storelog.Record {
	return storelog.Record{Key: leasePrefix + worker}
}

// RunTombstone returns the record that deletes a task's run, which is obsolete once the job has an outcome.
func RunTombstone(task Task) storelog.Record {
	return storelog.Record{Key: runPrefix + task.String()}
}

// JobTombstones returns the records that delete a job, its cancellation and its outcome once its retention has passed.
func JobTombstones(id string) []storelog.Record {
	return []storelog.Record{{Key: outcomePrefix + id}, {Key: cancelPrefix + id}, {Key: jobPrefix + id}}
}

func encode(key string, message proto.Message) (storelog.Record, error) {
	value, err := proto.Marshal(message)
	if err != nil {
		return storelog.Record{}, errors.Wrapf(err, "encode record %s", key)
	}
	return storelog.Record{Key: key, Value: value}, nil
}
