package state_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// fold applies records to a state, each at the next offset.
type fold struct {
	t      testing.TB
	state  *state.State
	offset int64
}

func newFold(t testing.TB) *fold {
	return &fold{t: t, state: state.New()}
}

func (f *fold) apply(author string, record *apiv1.Record) ledger.Kind {
	f.t.Helper()
	f.offset++
	step := ledger.Step{Offset: f.offset, Author: authorOf(author), TimeMillis: record.TimeUnixMs}
	err := f.state.Apply(step, record)
	var rejection *ledger.Rejection
	if err != nil && !errors.As(err, &rejection) {
		f.t.Fatalf("Apply: %v, want nil or a rejection", err)
	}
	if rejection == nil {
		return 0
	}
	if rejection.Message == "" {
		f.t.Errorf("rejection of kind %d without a message", rejection.Kind)
	}
	return rejection.Kind
}

// authorOf is the first life of an instance, or for a name with a prime its second.
func authorOf(name string) *apiv1.Author {
	instance, again := strings.CutSuffix(name, "'")
	if again {
		return &apiv1.Author{Instance: instance, Incarnation: 2}
	}
	return &apiv1.Author{Instance: instance, Incarnation: 1}
}

func submitted(id, dataCentre string, members, accelerators uint32) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_JobSubmitted{JobSubmitted: &apiv1.JobSubmitted{Id: id, Spec: &apiv1.JobSpec{
		Account: "lounge", DataCentre: dataCentre, Shape: &apiv1.Shape{Members: members, Accelerators: accelerators},
	}}}}
}

func placed(id string, run uint32, epoch uint64, members ...*apiv1.Member) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_GangPlaced{GangPlaced: &apiv1.GangPlaced{Id: id, Run: run, Placement: &apiv1.Placement{
		DataCentre: "perth-1", Epoch: epoch, Members: members,
	}}}}
}

func member(worker string, accelerators uint32) *apiv1.Member {
	return &apiv1.Member{Worker: worker, Accelerators: accelerators}
}

func ended(id string, run uint32, epoch uint64, result apiv1.RunResult, worker string) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_RunEnded{RunEnded: &apiv1.RunEnded{Id: id, Run: run, Epoch: epoch, Result: result, Worker: worker}}}
}

func cancelled(id string) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_JobCancelled{JobCancelled: &apiv1.JobCancelled{Id: id}}}
}

func moved(id, from, to string) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_JobMoved{JobMoved: &apiv1.JobMoved{Id: id, From: from, To: to}}}
}

func taken(dataCentre string, epoch uint64) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_OwnerTaken{OwnerTaken: &apiv1.OwnerTaken{DataCentre: dataCentre, Epoch: epoch}}}
}

func released(dataCentre string, epoch uint64) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_OwnerReleased{OwnerReleased: &apiv1.OwnerReleased{DataCentre: dataCentre, Epoch: epoch}}}
}

func checkpointed(id string, run uint32, epoch uint64, ppm uint32) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_Checkpointed{Checkpointed: &apiv1.Checkpointed{Id: id, Run: run, Epoch: epoch, CheckpointPpm: ppm}}}
}

func applied(base uint64, actor string) *apiv1.Record {
	return &apiv1.Record{Actor: actor, Body: &apiv1.Record_SheetApplied{SheetApplied: &apiv1.SheetApplied{BaseRevision: base, Sheet: &apiv1.Sheet{}}}}
}

func marked(worker string, condition apiv1.WorkerCondition) *apiv1.Record {
	return &apiv1.Record{Body: &apiv1.Record_WorkerMarked{WorkerMarked: &apiv1.WorkerMarked{Worker: worker, Condition: condition}}}
}

func TestRejections(t *testing.T) {
	const failed, finished = apiv1.RunResult_RUN_RESULT_FAILED, apiv1.RunResult_RUN_RESULT_FINISHED
	for _, test := range []struct {
		name   string
		author string
		record *apiv1.Record
		want   ledger.Kind
	}{
		{"sheet against an old revision", "a", applied(0, "late"), ledger.StaleRevision},
		{"sheet against a revision to come", "a", applied(7, "early"), ledger.StaleRevision},
		{"second job of the id", "a", submitted("wide", "perth-1", 1, 1), ledger.Duplicate},
		{"gang of no members", "a", submitted("none", "perth-1", 0, 1), ledger.Malformed},
		{"placement by another instance", "b", placed("waiting", 1, 1, member("w2", 1)), ledger.NotOwner},
		{"placement by the owner's next life", "a'", placed("waiting", 1, 1, member("w2", 1)), ledger.NotOwner},
		{"placement of an old epoch", "a", placed("waiting", 1, 0, member("w2", 1)), ledger.StaleEpoch},
		{"placement on a taken accelerator", "a", placed("waiting", 1, 1, member("w1", 1)), ledger.Occupied},
		{"placement of a placed job", "a", placed("wide", 2, 1, member("w2", 3), member("w2", 12)), ledger.WrongState},
		{"placement that skips a run", "a", placed("waiting", 2, 1, member("w2", 1)), ledger.WrongState},
		{"placement of part of a gang", "a", placed("pair", 1, 1, member("w2", 1)), ledger.Malformed},
		{"placement that overlaps itself", "a", placed("pair", 1, 1, member("w2", 1), member("w2", 1)), ledger.Occupied},
		{"placement with the wrong accelerators", "a", placed("waiting", 1, 1, member("w2", 3)), ledger.Malformed},
		{"end by an owner that was replaced", "a", ended("wide", 1, 0, finished, ""), ledger.StaleEpoch},
		{"end of a run that is not running", "a", ended("waiting", 1, 1, failed, ""), ledger.WrongState},
		{"end of an earlier run", "a", ended("wide", 0, 1, finished, ""), ledger.WrongState},
		{"end without a result", "a", ended("wide", 1, 1, 0, ""), ledger.Malformed},
		{"takeover at a used epoch", "b", taken("perth-1", 1), ledger.StaleEpoch},
		{"takeover that skips an epoch", "b", taken("perth-1", 3), ledger.StaleEpoch},
		{"release by another instance", "b", released("perth-1", 1), ledger.NotOwner},
		{"move of a placed job", "a", moved("wide", "perth-1", "broome"), ledger.WrongState},
		{"move from where the job is not", "a", moved("waiting", "broome", "perth-2"), ledger.WrongState},
		{"cancel of no job", "a", cancelled("nobody"), ledger.Unknown},
		{"mark without a condition", "a", marked("w1", 0), ledger.Malformed},
		{"key in the ledger stream", "a", &apiv1.Record{Body: &apiv1.Record_KeyClaimed{}}, ledger.Malformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFold(t)
			for _, record := range []*apiv1.Record{
				applied(0, "first"), taken("perth-1", 1), submitted("wide", "perth-1", 2, 2), submitted("waiting", "perth-1", 1, 1),
				submitted("pair", "perth-1", 2, 1), placed("wide", 1, 1, member("w1", 3), member("w1", 12)),
			} {
				if kind := f.apply("a", record); kind != 0 {
					t.Fatalf("rejection of kind %d while the state is built", kind)
				}
			}
			before, _ := f.state.Snapshot()
			if got := f.apply(test.author, test.record); got != test.want {
				t.Errorf("kind %d, want %d", got, test.want)
			}
			if after, _ := f.state.Snapshot(); !bytes.Equal(before, after) {
				t.Error("the rejected record changed the state")
			}
		})
	}
}

func TestLoserLearnsWhoCameFirst(t *testing.T) {
	f := newFold(t)
	f.apply("a", applied(0, "maria"))
	f.apply("a", applied(1, "joao"))
	err := f.state.Apply(ledger.Step{Author: &apiv1.Author{Instance: "b"}}, applied(0, "late"))
	var rejection *ledger.Rejection
	if !errors.As(err, &rejection) || !bytes.Contains([]byte(rejection.Message), []byte("revision 1 by maria")) {
		t.Errorf("rejection %v, want one that names revision 1 by maria", err)
	}
}

func TestFailingJobEnds(t *testing.T) {
	f := newFold(t)
	f.apply("a", taken("perth-1", 1))
	f.apply("a", submitted("job", "perth-1", 1, 8))
	for run := uint32(1); run <= state.MaxFailures; run++ {
		if kind := f.apply("a", placed("job", run, 1, member("w1", 255))); kind != 0 {
			t.Fatalf("run %d: rejection of kind %d", run, kind)
		}
		f.apply("a", ended("job", run, 1, apiv1.RunResult_RUN_RESULT_FAILED, fmt.Sprint("w", run)))
	}
	job, _ := f.state.Job("job")
	if job.State != apiv1.JobState_JOB_STATE_FAILED || len(job.FailedWorkers) != state.MaxFailures || f.state.Occupied("w1") != 0 {
		t.Errorf("job %+v after %d failures, want failed and its accelerators free", job, state.MaxFailures)
	}
}

func TestLongReasonsAreCutBetweenCharacters(t *testing.T) {
	f := newFold(t)
	record := applied(0, "x"+strings.Repeat("é", state.MaxReasonBytes))
	f.apply("a", record)
	if _, err := f.state.Snapshot(); err != nil {
		t.Errorf("Snapshot after a long name: %v", err)
	}
}

func TestEndedJobsAndRevisionsAreBounded(t *testing.T) {
	f := newFold(t)
	end := func(id string, millis int64) {
		record := submitted(id, "perth-1", 1, 1)
		f.apply("a", record)
		record = cancelled(id)
		record.TimeUnixMs = millis
		f.apply("a", record)
	}
	for i := range state.MaxEndedJobs + 10 {
		end(fmt.Sprint("job", i), 1_000_000)
		f.apply("a", applied(uint64(i), "planner"))
	}
	if jobs := len(f.state.Jobs(nil)); jobs != state.MaxEndedJobs {
		t.Errorf("%d ended jobs, want %d", jobs, state.MaxEndedJobs)
	}
	if revisions := len(f.state.Revisions()); revisions != state.MaxRevisions {
		t.Errorf("%d revisions, want %d", revisions, state.MaxRevisions)
	}
	end("last", 1_000_001+state.EndedKeepMillis)
	if jobs := len(f.state.Jobs(nil)); jobs != 1 {
		t.Errorf("%d ended jobs a day later, want the last only", jobs)
	}
}

// drawRecord draws a record from a domain so small that records meet, with epochs and runs that mostly hold.
func drawRecord(t *rapid.T, s *state.State) *apiv1.Record {
	id := rapid.SampledFrom([]string{"j1", "j2", "j3"}).Draw(t, "job")
	dataCentre := rapid.SampledFrom([]string{"perth-1", "perth-1", "perth-1", "broome"}).Draw(t, "data centre")
	off := rapid.SampledFrom([]uint64{0, 0, 0, 0, 1}).Draw(t, "off")
	epoch := s.Owner(dataCentre).Epoch + off
	job, _ := s.Job(id)
	run := job.Run + uint32(off)
	accelerator := rapid.Uint32Range(0, 2).Draw(t, "accelerator")
	first, second := member("w1", 1<<accelerator), member("w2", 1<<accelerator)
	result := apiv1.RunResult(rapid.Int32Range(0, 6).Draw(t, "result"))
	record := rapid.SampledFrom([]*apiv1.Record{
		submitted(id, dataCentre, 2, 1), placed(id, run+1, epoch, first, second), placed(id, run+1, epoch, first, second),
		ended(id, run, epoch, result, "w1"), checkpointed(id, run, epoch, run*100_000), cancelled(id),
		moved(id, dataCentre, "perth-1"), taken(dataCentre, epoch+1), released(dataCentre, epoch),
		applied(s.RevisionNumber()+off, "operator"), marked("w1", apiv1.WorkerCondition(accelerator)),
	}).Draw(t, "record")
	record.TimeUnixMs = rapid.Int64Range(0, 3*state.EndedKeepMillis).Draw(t, "time")
	return record
}

func TestStateHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFold(t)
		revision, epochs := uint64(0), map[string]uint64{}
		f.apply("a", taken("perth-1", 1))
		epochs["perth-1"] = 1
		for range rapid.IntRange(1, 80).Draw(rt, "records") {
			f.apply(rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(rt, "author"), drawRecord(rt, f.state))
			if got := f.state.RevisionNumber(); got != revision && got != revision+1 {
				rt.Fatalf("revision %d after %d", got, revision)
			}
			revision = f.state.RevisionNumber()
			for _, owner := range f.state.Owners() {
				if owner.Epoch < epochs[owner.DataCentre] || owner.Epoch > epochs[owner.DataCentre]+1 {
					rt.Fatalf("epoch %d of %s after %d", owner.Epoch, owner.DataCentre, epochs[owner.DataCentre])
				}
				epochs[owner.DataCentre] = owner.Epoch
			}
			checkAccelerators(rt, f.state)
		}
		data, err := f.state.Snapshot()
		if err != nil {
			rt.Fatal(err)
		}
		restored := state.New()
		if err := restored.Restore(data); err != nil {
			rt.Fatal(err)
		}
		again, _ := restored.Snapshot()
		if !bytes.Equal(data, again) {
			rt.Fatal("a restored state has another snapshot")
		}
		for _, worker := range []string{"w1", "w2"} {
			if restored.Occupied(worker) != f.state.Occupied(worker) {
				rt.Fatalf("accelerators of %s after Restore: %b, want %b", worker, restored.Occupied(worker), f.state.Occupied(worker))
			}
		}
	})
}

// checkAccelerators checks that no accelerator has two jobs and that a gang has all its members or none.
func checkAccelerators(t *rapid.T, s *state.State) {
	held := map[string]uint32{}
	for _, job := range s.Jobs(nil) {
		isPlaced := job.State == apiv1.JobState_JOB_STATE_PLACED
		if want := int(job.Spec.Shape.Members); isPlaced != (job.Placement != nil) || isPlaced && len(job.Placement.Members) != want {
			t.Fatalf("job %s in state %s with placement %v", job.ID, job.State, job.Placement)
		}
		for _, m := range job.Placement.GetMembers() {
			if held[m.Worker]&m.Accelerators != 0 {
				t.Fatalf("an accelerator of %s has two jobs", m.Worker)
			}
			held[m.Worker] |= m.Accelerators
		}
	}
	for _, worker := range []string{"w1", "w2"} {
		if s.Occupied(worker) != held[worker] {
			t.Fatalf("accelerators of %s: %b, the jobs hold %b", worker, s.Occupied(worker), held[worker])
		}
	}
}

func FuzzApply(f *testing.F) {
	for _, record := range []*apiv1.Record{applied(0, "x"), submitted("j", "dc", 1, 1), placed("j", 1, 1, member("w", 1)), taken("dc", 1), cancelled("j")} {
		data, _ := proto.Marshal(record)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record := &apiv1.Record{}
		if proto.Unmarshal(data, record) != nil {
			return
		}
		folded := newFold(t)
		for _, id := range []string{"j", record.GetGangPlaced().GetId()} {
			folded.apply("a", submitted(id, "perth-1", 1, 1))
		}
		folded.apply("a", taken("perth-1", 1))
		folded.apply("a", record)
		folded.apply("a", record)
		snapshot, err := folded.state.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := state.New().Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	})
}
