package replica_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// FuzzApply checks that no record of the jobs' partition stops the process or changes another job.
func FuzzApply(f *testing.F) {
	for _, message := range []proto.Message{
		&storev1.Job{Id: job, Steps: []*storev1.Step{{Count: 1}}}, &storev1.Run{Number: 1, Workers: []string{"w"}},
		&storev1.Outcome{State: storev1.JobState_JOB_STATE_FAILED}, &storev1.Owner{Instance: "i", Epoch: 1},
	} {
		value, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		for _, key := range []string{
			"j/" + job, "r/" + job + ".0.0.0", "r/" + job + ".-1.0.0", "o/" + job, "c/" + job, "owner", "u/1", "speeds", "durations", "",
		} {
			f.Add(key, value)
		}
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		jobs := replica.New(events.Discard())
		jobs.Apply(history(t)[:1])
		jobs.Apply([]storelog.Record{{Key: key, Value: value, Offset: 9}, {Key: key, Offset: 10}, {Key: key, Value: value, Offset: 11}})
		jobs.Ready()
		for _, known := range jobs.Watch(nil) {
			if err := replica.CheckJob(known.Job); err != nil {
				t.Errorf("the replica has a job that can't be run: %v", err)
			}
			for task := range known.Runs {
				if task.Occurrence < 0 || task.Step < 0 || task.Index < replica.GangIndex {
					t.Errorf("the replica has a run of the task %v", task)
				}
			}
		}
		jobs.StateCounts()
	})
}
