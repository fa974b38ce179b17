package replay_test

import (
	"encoding/json"
	"fmt"
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

const (
	dataCentre = "perth-1"
	// Times are in milliseconds; start is the Unix time at which a trace starts.
	second = int64(1000)
	minute = 60 * second
	start  = 1_000 * second
	// startDelayMillis is the time from a decision until the gang runs.
	startDelayMillis = 20
)

// builder builds small traces of one data centre.
type builder struct {
	trace *replay.Trace
}

// newBuilder returns a builder with workers of 8 accelerators, two in each rack. Speeds are in permille; workers without
// one have 1000.
func newBuilder(workers int, speeds ...uint32) *builder {
	header := &apiv1.TraceHeader{Format: replay.TraceFormat, Name: "test", Sheet: &apiv1.Sheet{}}
	for i := range workers {
		speed := uint32(1000)
		if i < len(speeds) {
			speed = speeds[i]
		}
		header.Workers = append(header.Workers, &apiv1.Worker{
			Name: fmt.Sprintf("w%d", i), DataCentre: dataCentre, Rack: fmt.Sprintf("r%d", i/2),
			Accelerators: 8, Cores: 32, MemoryMib: 64 << 10, SpeedPermille: speed,
		})
	}
	return &builder{trace: &replay.Trace{Header: header}}
}

// add adds an event at a time in milliseconds after the start of the trace.
func (b *builder) add(at int64, line *apiv1.TraceLine) *builder {
	line.TimeUnixMs = start + at
	b.trace.Events = append(b.trace.Events, line)
	return b
}

func (b *builder) guarantee(account string, members, accelerators, count uint32) *builder {
	sheet := b.trace.Header.Sheet
	sheet.Guarantees = append(sheet.Guarantees, &apiv1.Guarantee{
		Account: account, DataCentre: dataCentre, Count: count,
		Shape: &apiv1.Shape{Members: members, Accelerators: accelerators, Adjacency: apiv1.Adjacency_ADJACENCY_RACK},
	})
	return b
}

func (b *builder) job(
	at int64, id string, members, accelerators uint32, runMillis int64, edits ...func(*apiv1.TraceJob),
) *builder {
	job := &apiv1.TraceJob{
		Id: id, RunMs: runMillis, CheckpointMs: 500,
		Spec: &apiv1.JobSpec{
			Account: "lounge", Team: "desk", DataCentre: dataCentre, ExpectedMs: runMillis,
			WorkClass: apiv1.WorkClass_WORK_CLASS_ORDINARY,
			Shape:     &apiv1.Shape{Members: members, Accelerators: accelerators, Adjacency: apiv1.Adjacency_ADJACENCY_RACK},
		},
	}
	for _, edit := range edits {
		edit(job)
	}
	return b.add(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Submitted{Submitted: job}})
}

func (b *builder) worker(at int64, name string, condition apiv1.TraceCondition) *builder {
	return b.add(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Worker{
		Worker: &apiv1.TraceWorker{Worker: name, Condition: condition},
	}})
}

func account(name string) func(*apiv1.TraceJob) {
	return func(job *apiv1.TraceJob) { job.Spec.Account = name }
}

func urgent(job *apiv1.TraceJob) { job.Spec.WorkClass = apiv1.WorkClass_WORK_CLASS_URGENT }

func fails(job *apiv1.TraceJob) { job.Fails = true }

func (b *builder) run(t *testing.T, options replay.Options) *replay.Result {
	t.Helper()
	if options.Candidates == nil {
		options.Candidates = append(replay.Baselines(), replay.Scheduler())
	}
	result, err := replay.Run(b.trace, nil, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestRunTimesJobsBySlowestMember(t *testing.T) {
	run := newBuilder(2, 2000, 500).job(0, "alone", 1, 8, 10*minute).job(0, "gang", 2, 8, 10*minute).
		run(t, replay.Options{}).Find("fifo")
	// The first job runs for 5 minutes on the fast worker; the gang waits for its end and then runs for 20 minutes.
	want := (5*minute + startDelayMillis + 25*minute + 2*startDelayMillis) / 2
	if run.Finished != 2 || run.MeanCompletionMillis != want {
		t.Errorf("finished %d, mean completion %d ms, want 2 and %d", run.Finished, run.MeanCompletionMillis, want)
	}
}

func TestRunCountsMissedGuarantees(t *testing.T) {
	result := newBuilder(1).guarantee("members", 1, 8, 1).
		job(0, "borrower", 1, 8, 10*minute, account("partners")).
		job(minute, "claimant", 1, 8, minute, account("members"), urgent).
		run(t, replay.Options{})
	for name, want := range map[string]int{"fifo": 1, "fifo+backfill": 1, "edf+best-fit": 1, "scheduler": 0} {
		run := result.Find(name)
		if got := run.ViolationCounts[replay.GuaranteeMissed]; got != want || run.ClaimsChecked != 1 {
			t.Errorf("%s: %d of %d guarantees missed, want %d of 1", name, got, run.ClaimsChecked, want)
		}
	}
}

// A preempted job keeps its work if its checkpoint takes no longer than a stop may take; otherwise it loses the work since
// its last checkpoint.
func TestStopKeepsWorkWithinMaxStop(t *testing.T) {
	for checkpointMillis, lost := range map[int64]bool{500: false, 20 * second: true} {
		withCheckpoint := func(job *apiv1.TraceJob) { job.CheckpointMs = checkpointMillis }
		run := newBuilder(1).guarantee("members", 1, 8, 1).
			job(0, "borrower", 1, 8, 10*minute, account("partners"), withCheckpoint).
			job(5*minute, "claimant", 1, 8, minute, account("members"), urgent).
			run(t, replay.Options{}).Find("scheduler")
		if run.Finished != 2 || run.Preemptions != 1 || (run.LostToPreemptionHours > 0.1) != lost {
			t.Errorf("checkpoint of %d ms: finished %d, %d preemptions, %.2f hours lost",
				checkpointMillis, run.Finished, run.Preemptions, run.LostToPreemptionHours)
		}
	}
}

func TestLostWorkerEndsWholeGang(t *testing.T) {
	run := newBuilder(4).job(0, "gang", 2, 8, 10*minute).
		worker(minute, "w0", apiv1.TraceCondition_TRACE_CONDITION_LOST).run(t, replay.Options{}).Find("scheduler")
	if run.Finished != 1 || run.StartsChecked != 2 || run.LostToFailuresHours < 0.25 {
		t.Errorf("finished %d after %d starts, %.2f hours lost; want 1 after 2, 16 accelerator minutes lost",
			run.Finished, run.StartsChecked, run.LostToFailuresHours)
	}
}

func TestFailuresOfWorkersAndJobs(t *testing.T) {
	run := newBuilder(3).job(0, "bad", 1, 1, minute, fails).job(0, "good", 1, 8, minute).job(0, "good too", 1, 8, minute).
		worker(0, "w0", apiv1.TraceCondition_TRACE_CONDITION_FAILING).run(t, replay.Options{}).Find("scheduler")
	if run.Finished != 2 || run.Failed != 1 || run.WronglyFailed != 0 {
		t.Errorf("finished %d, failed %d, wrongly %d; want 2, 1, 0", run.Finished, run.Failed, run.WronglyFailed)
	}
}

// invalidPlanner returns a planner whose starts are made invalid by change.
func invalidPlanner(change func(*assign.Start)) replay.Candidate {
	return replay.Candidate{Name: "invalid", Plan: func(view replay.View) assign.Plan {
		plan := assign.MakePlan(view.Snapshot)
		for i := range plan.Starts {
			change(&plan.Starts[i])
		}
		return plan
	}}
}

func TestRunRejectsInvalidStarts(t *testing.T) {
	cases := map[replay.Invariant]func(*assign.Start){
		replay.PartialGang:     func(start *assign.Start) { start.Workers = start.Workers[:1] },
		replay.Overlap:         func(start *assign.Start) { start.Workers = []string{"w0", "w0"} },
		replay.InvalidDecision: func(start *assign.Start) { start.Workers = []string{"w0", "unknown"} },
	}
	for invariant, change := range cases {
		run := newBuilder(2).job(0, "gang", 2, 8, minute).
			run(t, replay.Options{Candidates: []replay.Candidate{invalidPlanner(change)}}).Find("invalid")
		if run.ViolationCounts[invariant] == 0 || run.Finished != 0 {
			t.Errorf("%s: violations %v, %d finished; want a violation and nothing finished",
				invariant, run.ViolationCounts, run.Finished)
		}
	}
}

func TestCancelledJobReleasesWorkers(t *testing.T) {
	cancel := &apiv1.TraceLine{Event: &apiv1.TraceLine_Cancelled{Cancelled: &apiv1.TraceCancel{Id: "first"}}}
	run := newBuilder(1).job(0, "first", 1, 8, 10*minute).job(0, "second", 1, 8, minute).add(minute, cancel).
		run(t, replay.Options{}).Find("fifo")
	if run.Cancelled != 1 || run.Finished != 1 {
		t.Errorf("%d cancelled, %d finished, want 1 and 1", run.Cancelled, run.Finished)
	}
}

// A new owner has the recorded state: running jobs continue, and jobs that were being stopped start again later.
func TestTakeoversLoseNoJobs(t *testing.T) {
	run := newBuilder(2).guarantee("members", 1, 8, 1).
		job(0, "borrower", 2, 8, 10*minute, account("partners")).job(minute, "claimant", 1, 8, minute, account("members"), urgent).
		run(t, replay.Options{TakeoverIntervalMillis: 300}).Find("scheduler")
	if run.Finished != 2 || len(run.Violations) > 0 {
		t.Errorf("finished %d with violations %v", run.Finished, run.Violations)
	}
}

// The same trace and options must give the same result in each replay.
func TestReplayIsDeterministic(t *testing.T) {
	var first string
	for range 3 {
		build := newBuilder(4, 700, 1400)
		for n := range 40 {
			build.job(int64(n)*second, fmt.Sprint(n), uint32(1+n%2), uint32(1)<<(n%4), minute)
		}
		text, err := json.Marshal(build.run(t, replay.Options{}))
		if err != nil {
			t.Fatal(err)
		}
		if first == "" {
			first = string(text)
		}
		if string(text) != first {
			t.Fatalf("the first replay gives %s, a later one %s", first, text)
		}
	}
}
