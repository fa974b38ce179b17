package replay_test

import (
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

func TestTakeoverAmidAStart(t *testing.T) {
	const every = 10 * minute
	// The gang is placed 50 ms before the takeover and loses its rack 20 ms after it.
	trace := newBuilder(4).
		job(0, "first", 1, 1, second).
		job(every-50, "a", 2, 8, minute).
		rack(every+20, "r0", lost).trace
	result, err := replay.Run(trace, nil, replay.Options{
		Policies:       []replay.Candidate{preset(policy.PresetLounge)},
		TakeoverMillis: every,
	})
	if err != nil {
		t.Fatal(err)
	}
	run := result.Runs[0]
	if want := start + every + 20 + 100 + minute; run.LastEndMillis != want || len(run.Violations) > 0 {
		t.Errorf("last end %d, want %d; violations %v", run.LastEndMillis-start, want-start, run.Violations)
	}
}

func TestTakeoverAmidAStop(t *testing.T) {
	trace := newBuilder(1).
		job(0, "a", 1, 8, 60*minute, checkpoints(0, 1000)).
		job(15*minute, "b", 1, 8, minute).trace
	candidate := replay.Candidate{Name: "stopper", New: func() policy.Policy {
		return &stopper{Policy: baseline.NewFIFO(), victim: "a", reason: policy.Preempted}
	}}
	// The takeover at minute 15 and 300 ms falls into the stop that the owner before ordered.
	result, err := replay.Run(trace, nil, replay.Options{
		Policies:       []replay.Candidate{candidate},
		TakeoverMillis: 15*minute + 300,
	})
	if err != nil {
		t.Fatal(err)
	}
	run := result.Runs[0]
	if run.Finished != 2 || run.OtherViolations > 0 || run.Preemptions == 0 {
		t.Errorf("finished %d, preemptions %d, violations %v", run.Finished, run.Preemptions, run.Violations)
	}
}
