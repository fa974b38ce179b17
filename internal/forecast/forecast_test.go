package forecast_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/forecast"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

var now = time.Unix(1_700_000_000, 0)

// job returns a job of an account with one step of count tasks of one accelerator and 6 s.
func job(account string, priority, count uint32) *storev1.Job {
	return &storev1.Job{
		Queue: "q", Account: account, Service: "s", Priority: priority, StretchFactor: 3, TargetDurationMs: 1000,
		Steps: []*storev1.Step{{
			Count: count, EstimateMs: 6000, Need: &storev1.Resources{CpuMillicores: 1000, MemoryMb: 1024, Accelerators: 1},
		}},
	}
}

// snapshot returns a full service of one worker with 8 accelerators on which the accounts have waiting tasks of the given priority.
func snapshot(priority uint32, waiting map[string]int, due map[string]float64) *assign.Snapshot {
	capacity := assign.Resources{CPU: 32000, Memory: 65536, Accelerators: 8}
	out := &assign.Snapshot{Now: now, Workers: []assign.Worker{{ID: "w", Service: "s", Capacity: capacity, Usable: true}}}
	out.Shares = assign.Shares{
		Short: map[string]bool{"s": true}, Due: map[assign.ShareKey]float64{}, InUse: map[assign.ShareKey]float64{},
	}
	for account, cores := range due {
		key := assign.ShareKey{Service: "s", Priority: priority, Account: account}
		out.Shares.Due[key], out.Shares.InUse[key] = cores, 36
	}
	for account, count := range waiting {
		step := job(account, priority, uint32(count)).GetSteps()[0]
		for i := range count {
			out.Waiting = append(out.Waiting, assign.Unit{
				Task: replica.Task{Job: account, Index: i}, Account: account, Service: "s", Step: step, Priority: priority,
				Objective: now.Add(time.Hour), LateUntil: now.Add(2 * time.Hour), Remaining: 6 * time.Second, Credit: 1, Work: 54,
			})
		}
	}
	return out
}

// judge returns the verdict of the snapshot's forecast on a job.
func judge(snapshot *assign.Snapshot, submitted *storev1.Job) forecast.Verdict {
	summary := forecast.Summarise(snapshot, &assign.Plan{}, forecast.Largest(nil, snapshot), nil)
	return forecast.Judge(summary.GetServices()["s"], submitted)
}

// Guards against refusals without need: a job is too late only if more than it can wait for is certainly served before it.
func TestJobIsTooLateOnlyBehindEnoughWork(t *testing.T) {
	// 1000 tasks of 9 cores and 6 s are 54000 core-seconds, of which 70% take 315 s on the 96 cores of the worker at 1.25 times their
	// speed. The job is of use until three times 3 times 7.5 s and 1 s, which is 70.5 s; its task takes 7.5 s.
	over, under := map[string]float64{"a": 30}, map[string]float64{"a": 40}
	for _, test := range []struct {
		name     string
		waiting  int
		due      map[string]float64
		priority uint32
		account  string
		want     bool
	}{
		{"much work ahead", 1000, over, 2, "a", true},
		{"little work ahead", 190, over, 2, "a", false},
		{"account below its share", 1000, under, 2, "a", false},
		{"account that uses nothing", 1000, over, 2, "b", false},
		{"higher priority", 1000, over, 1, "a", false},
	} {
		verdict := judge(snapshot(2, map[string]int{"a": test.waiting}, test.due), job(test.account, test.priority, 1))
		if verdict.TooLate != test.want || verdict.TooLate != (verdict.RetryAfter > 0) {
			t.Errorf("%s: %+v, want too late: %v", test.name, verdict, test.want)
		}
	}
}

// Guards against work that counts as ahead of a job although it is served after it, or is served already.
func TestWorkBehindAJobDoesNotCount(t *testing.T) {
	due := map[string]float64{"a": 30}
	for name, change := range map[string]func(*assign.Unit){
		"less dense": func(unit *assign.Unit) { unit.Work = 1e6 },
		"too late":   func(unit *assign.Unit) { unit.LateUntil = now },
	} {
		build := snapshot(2, map[string]int{"a": 1000}, due)
		for i := range build.Waiting[1:] {
			change(&build.Waiting[1+i])
		}
		if verdict := judge(build, job("a", 2, 1)); verdict.TooLate {
			t.Errorf("%s: %+v, want not too late", name, verdict)
		}
	}
	build := snapshot(2, map[string]int{"a": 1000}, due)
	plan := &assign.Plan{}
	for _, unit := range build.Waiting[1:] {
		plan.Starts = append(plan.Starts, assign.Start{Task: unit.Task})
	}
	summary := forecast.Summarise(build, plan, nil, nil)
	if verdict := forecast.Judge(summary.GetServices()["s"], job("a", 2, 1)); verdict.TooLate {
		t.Errorf("started: %+v, want not too late", verdict)
	}
}

// Guards against refusing a size of which it isn't certain that no worker holds it, and against accepting one of which it is.
func TestJobThatNoWorkerHolds(t *testing.T) {
	build := snapshot(2, map[string]int{"a": 1}, nil)
	large := job("a", 2, 1)
	large.GetSteps()[0].Need.Accelerators = 9
	if verdict := judge(build, large); !verdict.NeverFits || verdict.Largest.Accelerators != 8 {
		t.Errorf("%+v, want that it never fits", verdict)
	}
	if verdict := judge(build, job("a", 2, 100)); verdict.NeverFits {
		t.Errorf("%+v: the tasks fit one after the other", verdict)
	}
	unknown := forecast.Summarise(build, &assign.Plan{}, nil, nil)
	if verdict := forecast.Judge(unknown.GetServices()["s"], large); verdict.NeverFits {
		t.Errorf("%+v without certain sizes", verdict)
	}
}

// Guards against a record that grows with the backlog, and one without a shortage.
func TestSummaryIsCompact(t *testing.T) {
	build := snapshot(2, map[string]int{"a": 4000}, map[string]float64{"a": 30})
	for i := range build.Waiting {
		build.Waiting[i].Work = float64(1 + i)
	}
	if size := proto.Size(forecast.Summarise(build, &assign.Plan{}, forecast.Largest(nil, build), nil)); size > 1000 {
		t.Errorf("the record has %d bytes", size)
	}
	build.Shares.Short = nil
	if summary := forecast.Summarise(build, &assign.Plan{}, nil, nil); summary != nil {
		t.Errorf("%v without a shortage", summary)
	}
	if verdict := forecast.Judge(nil, job("a", 2, 1)); verdict.TooLate || verdict.NeverFits {
		t.Errorf("%+v without a forecast", verdict)
	}
}
