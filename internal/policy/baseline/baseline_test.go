package baseline_test

import (
	"slices"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
)

const minute = int64(60_000)

// fleet adds racks of two workers of eight accelerators.
func fleet(p policy.Policy, workers int) policy.Policy {
	for at := range workers {
		p.AddWorker(policy.Worker{
			Name: string(rune('a' + at)), Rack: string(rune('A' + at/2)), Accelerators: 8, Cores: 32, MemoryMiB: 1 << 16, SpeedPermille: 1000,
		})
	}
	return p
}

func job(id string, members, accelerators int, expected int64) policy.Job {
	return policy.Job{
		ID: id, Account: "members", Team: "desk", ExpectedMillis: expected,
		Shape: policy.Shape{Members: members, Accelerators: accelerators, Adjacency: policy.SameRack},
	}
}

func due(deadline int64, waiting policy.Job) policy.Job {
	waiting.DeadlineMillis = deadline
	return waiting
}

// started returns the jobs that one decision starts.
func started(p policy.Policy, nowMillis int64) []string {
	var ids []string
	for _, decision := range p.Decide(nowMillis) {
		ids = append(ids, decision.Start.JobID)
		p.Started(decision.Start.JobID, nowMillis)
	}
	return ids
}

func TestOrder(t *testing.T) {
	cases := []struct {
		name   string
		policy policy.Policy
		jobs   []policy.Job
		want   []string
	}{
		{"fifo is held up by the first that does not fit", baseline.NewFIFO(),
			[]policy.Job{job("long", 1, 8, 60*minute), job("wide", 2, 8, minute), job("small", 1, 1, minute)}, []string{"long"}},
		{"backfill passes what ends before the reservation", baseline.NewBackfill(),
			[]policy.Job{job("long", 1, 8, 60*minute), job("wide", 2, 8, minute), job("small", 1, 1, 60*minute)}, []string{"long", "small"}},
		{"backfill holds back what would delay it", baseline.NewBackfill(),
			[]policy.Job{job("long", 1, 8, 60*minute), job("wide", 2, 8, minute), job("small", 1, 1, 61*minute)}, []string{"long"}},
		{"edf goes by deadline and passes what does not fit", baseline.NewEDF(),
			[]policy.Job{job("never", 1, 8, minute), due(9, job("late", 1, 8, minute)), due(5, job("soon", 1, 8, minute))}, []string{"soon", "late"}},
		{"a job over the quota is passed over", baseline.NewFIFO(),
			[]policy.Job{{ID: "over", Account: "members", Team: "small", Shape: policy.Shape{Members: 1, Accelerators: 8}}, job("next", 1, 8, minute)},
			[]string{"next"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			fleet(tc.policy, 2).Configure(nil, []policy.Team{{Account: "members", Name: "small", Quota: 4}}, nil)
			for _, waiting := range tc.jobs {
				tc.policy.Submit(waiting)
			}
			if got := started(tc.policy, 0); !slices.Equal(got, tc.want) {
				t.Errorf("started %v, want %v", got, tc.want)
			}
		})
	}
}

func TestReservedCellsAreLeftAlone(t *testing.T) {
	p := fleet(baseline.NewBackfill(), 4)
	for _, waiting := range []policy.Job{
		job("rack", 2, 8, 60*minute), job("half", 1, 8, 30*minute), job("wide", 2, 8, minute),
		job("long", 1, 8, 90*minute), job("short", 1, 8, 20*minute),
	} {
		p.Submit(waiting)
	}
	// "wide" is reserved on the second rack from minute 30 on.
	if got := started(p, 0); !slices.Equal(got, []string{"rack", "half", "short"}) {
		t.Errorf("started %v, want the long one to leave the reserved worker alone", got)
	}
}

func TestBestFitFillsTheFullestWorker(t *testing.T) {
	p := fleet(baseline.NewEDF(), 2)
	p.Restore(job("running", 1, 4, minute), []policy.Member{{Worker: "b", Mask: 0xf0}}, 0)
	p.Submit(job("next", 1, 2, minute))
	decisions := p.Decide(0)
	if len(decisions) != 1 || decisions[0].Start.Members[0] != (policy.Member{Worker: "b", Mask: 0x03}) {
		t.Errorf("decisions %+v, want the first cell of worker b", decisions)
	}
}

func TestEndedJobsFreeTheirCells(t *testing.T) {
	p := fleet(baseline.NewFIFO(), 1)
	p.Submit(job("first", 1, 8, minute))
	p.Submit(job("second", 1, 8, minute))
	if got := started(p, 0); !slices.Equal(got, []string{"first"}) {
		t.Fatalf("started %v", got)
	}
	p.Ended("first", policy.PreemptedEnd, 0, minute)
	if got := started(p, minute); !slices.Equal(got, []string{"first"}) {
		t.Errorf("started %v after the preemption, want the first, which keeps its place", got)
	}
	p.Ended("first", policy.Finished, 0, 2*minute)
	p.MarkWorker("a", policy.Quarantined)
	if got := started(p, 2*minute); got != nil {
		t.Errorf("started %v on a quarantined worker", got)
	}
}
