package tracegen_test

import (
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
	"github.com/dotterelgauge/dotterelgauge/internal/replay/tracegen"
)

// TestGuaranteesFitDuringFaults checks that the guarantees of every trace can be kept at any time: they fit on the workers
// that the losses and failures of the trace leave available.
func TestGuaranteesFitDuringFaults(t *testing.T) {
	for _, name := range tracegen.Names() {
		for seed := range uint64(5) {
			trace, err := tracegen.Generate(name, seeds[name]+seed)
			if err != nil {
				t.Fatal(err)
			}
			unavailable := map[string]bool{}
			checkGuaranteesFit(t, trace, unavailable)
			for _, line := range trace.Events {
				if applyCondition(trace, line, unavailable) {
					checkGuaranteesFit(t, trace, unavailable)
				}
			}
		}
	}
}

// applyCondition updates the unavailable workers and reports whether the line changes the condition of workers.
func applyCondition(trace *replay.Trace, line *apiv1.TraceLine, unavailable map[string]bool) bool {
	if change := line.GetWorker(); change != nil {
		unavailable[change.GetWorker()] = change.GetCondition() != apiv1.TraceCondition_TRACE_CONDITION_HEALTHY
		return true
	}
	rack := line.GetRack()
	for _, worker := range trace.Header.GetWorkers() {
		if rack != nil && worker.GetRack() == rack.GetRack() {
			unavailable[worker.GetName()] = rack.GetCondition() != apiv1.TraceCondition_TRACE_CONDITION_HEALTHY
		}
	}
	return rack != nil
}

func checkGuaranteesFit(t *testing.T, trace *replay.Trace, unavailable map[string]bool) {
	t.Helper()
	available := map[string][]*apiv1.Worker{}
	for _, worker := range trace.Header.GetWorkers() {
		if !unavailable[worker.GetName()] {
			available[worker.GetDataCentre()] = append(available[worker.GetDataCentre()], worker)
		}
	}
	for dataCentre, workers := range available {
		if err := replay.CheckGuarantees(dataCentre, workers, trace.Header.GetSheet().GetGuarantees()); err != nil {
			t.Errorf("%s seed %d, %s without %v: %v", trace.Header.GetName(), trace.Header.GetSeed(), dataCentre, unavailable, err)
		}
	}
}

// TestTwoYearSize checks the trace against the design size: 720 workers, 150 teams, about 1,700 jobs a day, gangs of up to 64
// members and about 14,000 running tasks.
func TestTwoYearSize(t *testing.T) {
	trace := tracegen.TwoYear(tracegen.TwoYearSeed)
	if count := len(trace.Header.GetWorkers()); count != 720 {
		t.Errorf("%d workers, want 720", count)
	}
	if count := len(trace.Header.GetSheet().GetTeams()); count != 150 {
		t.Errorf("%d teams, want 150", count)
	}
	jobs, largestGang, taskMillis := 0, uint32(0), int64(0)
	const submitWindowMillis, dayMillis = 30 * 60 * 1000, 24 * 3600 * 1000
	first := trace.Events[0].GetTimeUnixMs()
	for _, line := range trace.Events {
		job := line.GetSubmitted()
		if job == nil {
			continue
		}
		members := job.GetSpec().GetShape().GetMembers()
		largestGang = max(largestGang, members)
		if line.GetTimeUnixMs() > first+submitWindowMillis {
			jobs++
			taskMillis += int64(members) * job.GetRunMs()
		}
	}
	if jobs < 1600 || jobs > 1750 {
		t.Errorf("%d jobs a day, want about 1,700", jobs)
	}
	if largestGang != 64 {
		t.Errorf("largest gang has %d members, want 64", largestGang)
	}
	if tasks := taskMillis / dayMillis; tasks < 12_000 || tasks > 16_000 {
		t.Errorf("%d tasks running on average, want about 14,000", tasks)
	}
	t.Logf("%d jobs, %d tasks", jobs, taskMillis/dayMillis)
}
