package tracegen_test

import (
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
	"github.com/dotterelgauge/dotterelgauge/internal/replay/tracegen"
)

// TestGuaranteesPackThroughFaults shows that the guaranteed work of every trace can be held at any
// time: the guarantees pack on the workers left by the losses and failures of the trace.
func TestGuaranteesPackThroughFaults(t *testing.T) {
	for _, name := range tracegen.Names() {
		for seed := range uint64(5) {
			trace, err := tracegen.Generate(name, seeds[name]+seed)
			if err != nil {
				t.Fatal(err)
			}
			out := map[string]bool{}
			checkPacking(t, trace, out)
			for _, line := range trace.Events {
				if takeOut(trace, line, out) {
					checkPacking(t, trace, out)
				}
			}
		}
	}
}

// takeOut notes the workers that a line takes out or brings back.
func takeOut(trace *replay.Trace, line *apiv1.TraceLine, out map[string]bool) bool {
	if change := line.GetWorker(); change != nil {
		out[change.GetWorker()] = change.GetCondition() != apiv1.TraceCondition_TRACE_CONDITION_HEALTHY
		return true
	}
	rack := line.GetRack()
	for _, worker := range trace.Header.GetWorkers() {
		if rack != nil && worker.GetRack() == rack.GetRack() {
			out[worker.GetName()] = rack.GetCondition() != apiv1.TraceCondition_TRACE_CONDITION_HEALTHY
		}
	}
	return rack != nil
}

func checkPacking(t *testing.T, trace *replay.Trace, out map[string]bool) {
	t.Helper()
	workers := map[string][]*apiv1.Worker{}
	for _, worker := range trace.Header.GetWorkers() {
		if !out[worker.GetName()] {
			workers[worker.GetDataCentre()] = append(workers[worker.GetDataCentre()], worker)
		}
	}
	for place, left := range workers {
		if err := replay.CheckGuarantees(place, left, trace.Header.GetSheet().GetGuarantees()); err != nil {
			t.Errorf("%s seed %d, %s without %v: %v", trace.Header.GetName(), trace.Header.GetSeed(), place, out, err)
		}
	}
}

// TestTwoYearSize holds the trace to the size that the letter states.
func TestTwoYearSize(t *testing.T) {
	trace := tracegen.TwoYear(tracegen.TwoYearSeed)
	if count := len(trace.Header.GetWorkers()); count != 720 {
		t.Errorf("%d workers, want 720", count)
	}
	if count := len(trace.Header.GetSheet().GetTeams()); count != 150 {
		t.Errorf("%d teams, want 150", count)
	}
	jobs, largest, taskMillis := 0, uint32(0), int64(0)
	const settle, day = 30 * 60 * 1000, 24 * 3600 * 1000
	first := trace.Events[0].GetTimeUnixMs()
	for _, line := range trace.Events {
		job := line.GetSubmitted()
		if job == nil {
			continue
		}
		members := job.GetSpec().GetShape().GetMembers()
		largest = max(largest, members)
		if line.GetTimeUnixMs() > first+settle {
			jobs++
			taskMillis += int64(members) * job.GetRunMs()
		}
	}
	if jobs < 1600 || jobs > 1750 {
		t.Errorf("%d jobs a day, want about 1700", jobs)
	}
	if largest != 64 {
		t.Errorf("largest gang %d, want 64", largest)
	}
	if tasks := taskMillis / day; tasks < 12_000 || tasks > 16_000 {
		t.Errorf("%d tasks running on average, want about 14,000", tasks)
	}
	t.Logf("%d jobs, %d tasks", jobs, taskMillis/day)
}
