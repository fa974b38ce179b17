package replay_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// drawTrace draws a small fleet, a sheet that packs and an hour of jobs, cancellations and faults.
func drawTrace(t *rapid.T, faults bool) *replay.Trace {
	b := newBuilder(rapid.IntRange(2, 6).Draw(t, "workers"), 1000, 700, 1400)
	b.quota("lounge", "desk", uint32(rapid.IntRange(16, 48).Draw(t, "quota")))
	b.guarantee("members", 1, 4, 1)
	workers := len(b.trace.Header.Workers)
	jobs := rapid.IntRange(1, 40).Draw(t, "jobs")
	now := int64(0)
	for at := range jobs {
		now += rapid.Int64Range(0, 5*minute).Draw(t, "gap")
		size := uint32(1) << rapid.IntRange(0, 3).Draw(t, "size")
		members := uint32(rapid.IntRange(1, workers/2).Draw(t, "members"))
		run := rapid.Int64Range(second, 60*minute).Draw(t, "run")
		class := apiv1.WorkClass(rapid.IntRange(1, 3).Draw(t, "class"))
		b.job(now, fmt.Sprintf("j%d", at), min(members, 2), size, run, func(job *apiv1.TraceJob) {
			job.Spec.Account = rapid.SampledFrom([]string{"lounge", "members", "partners"}).Draw(t, "account")
			job.Spec.ExpectedMs = max(second, run*rapid.Int64Range(1, 100).Draw(t, "declared")/10)
			job.Spec.WorkClass = class
			job.Spec.Cores = 4 * size
			job.CheckpointEveryMs = rapid.SampledFrom([]int64{0, minute, 10 * minute}).Draw(t, "checkpoint")
			job.Fails = faults && rapid.IntRange(0, 9).Draw(t, "fails") == 0
		})
		if faults {
			drawFault(t, b, now, workers, at)
		}
	}
	return b.trace
}

func drawFault(t *rapid.T, b *builder, now int64, workers, job int) {
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		b.cancel(now, fmt.Sprintf("j%d", rapid.IntRange(0, job).Draw(t, "cancelled")))
	case 1:
		name := fmt.Sprintf("w%d", rapid.IntRange(0, workers-1).Draw(t, "worker"))
		b.worker(now, name, apiv1.TraceCondition(rapid.IntRange(1, 4).Draw(t, "condition")))
	case 2:
		b.rack(now, "r0", rapid.SampledFrom([]apiv1.TraceCondition{lost, healthy}).Draw(t, "rack"))
	}
}

// TestBaselinesKeepInvariants shows for any trace that the baselines keep gangs whole and apart and
// quotas kept, that no outcome beats the lower bound, and that the same trace gives the same result.
func TestBaselinesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trace := drawTrace(t, true)
		first, err := replay.Run(trace, nil, replay.Options{Policies: baselines()})
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range first.Runs {
			if run.PartialGangs+run.Overlaps+run.QuotaViolations+run.OtherViolations > 0 {
				t.Fatalf("%s: %v", run.Policy, run.Violations)
			}
			complete := run.WronglyFailed+run.Unfinished == 0
			bound := max(first.Bound.MeanIdealMillis, first.Bound.MeanCapacityMillis)
			if complete && run.MeanCompletionMillis < bound {
				t.Fatalf("%s: mean completion %d ms below the bound %d", run.Policy, run.MeanCompletionMillis, bound)
			}
		}
		second, err := replay.Run(trace, nil, replay.Options{Policies: baselines()})
		if err != nil {
			t.Fatal(err)
		}
		if text(t, first) != text(t, second) {
			t.Fatal("two replays of one trace differ")
		}
	})
}

// TestSchedulerKeepsInvariants shows the same of the scheduler, and on sound workers that it honours every guarantee.
func TestSchedulerKeepsInvariants(t *testing.T) {
	candidates := []replay.Candidate{preset(policy.PresetLounge), preset(policy.PresetGallery)}
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.Bool().Draw(t, "faults")
		result, err := replay.Run(drawTrace(t, faults), nil, replay.Options{Policies: candidates})
		if err != nil {
			t.Fatal(err)
		}
		for _, run := range result.Runs {
			if run.PartialGangs+run.Overlaps+run.QuotaViolations+run.OtherViolations > 0 {
				t.Fatalf("%s: %v", run.Policy, run.Violations)
			}
			if !faults && run.GuaranteeViolations+run.Unfinished+run.WronglyFailed > 0 {
				t.Fatalf("%s: %d unfinished, %v", run.Policy, run.Unfinished, run.Violations)
			}
		}
	})
}

func text(t *rapid.T, result *replay.Result) string {
	encoded, err := json.Marshal(result)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}
