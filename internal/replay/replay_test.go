package replay_test

import (
	"fmt"
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policy/baseline"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

const (
	dataCentre = "perth-1"
	second     = int64(1000)
	minute     = 60 * second
	start      = 1_000 * second
)

// builder makes small traces of one data centre.
type builder struct {
	trace *replay.Trace
}

func newBuilder(workers int, speeds ...uint32) *builder {
	header := &apiv1.TraceHeader{Format: replay.TraceFormat, Name: "test", Sheet: &apiv1.Sheet{}}
	for at := range workers {
		speed := uint32(1000)
		if at < len(speeds) {
			speed = speeds[at]
		}
		header.Workers = append(header.Workers, &apiv1.Worker{
			Name: fmt.Sprintf("w%d", at), DataCentre: dataCentre, Rack: fmt.Sprintf("r%d", at/2),
			Accelerators: 8, Cores: 32, MemoryMib: 64 << 10, SpeedPermille: speed,
		})
	}
	return &builder{trace: &replay.Trace{Header: header}}
}

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

func (b *builder) quota(account, team string, quota uint32) *builder {
	sheet := b.trace.Header.Sheet
	sheet.Teams = append(sheet.Teams, &apiv1.Team{Account: account, Name: team, Quota: quota})
	return b
}

func (b *builder) job(at int64, id string, members, accelerators uint32, run int64, edits ...func(*apiv1.TraceJob)) *builder {
	job := &apiv1.TraceJob{
		Id: id, RunMs: run, CheckpointMs: 500,
		Spec: &apiv1.JobSpec{
			Account: "lounge", Team: "desk", DataCentre: dataCentre, ExpectedMs: run,
			WorkClass: apiv1.WorkClass_WORK_CLASS_ORDINARY,
			Shape:     &apiv1.Shape{Members: members, Accelerators: accelerators, Adjacency: apiv1.Adjacency_ADJACENCY_RACK},
		},
	}
	for _, edit := range edits {
		edit(job)
	}
	return b.add(at, &apiv1.TraceLine{Event: &apiv1.TraceLine_Submitted{Submitted: job}})
}

func account(name string) func(*apiv1.TraceJob) {
	return func(job *apiv1.TraceJob) { job.Spec.Account = name }
}

func urgent(job *apiv1.TraceJob) { job.Spec.WorkClass = apiv1.WorkClass_WORK_CLASS_URGENT }

func fifo() replay.Candidate { return replay.Candidate{Name: "fifo", New: baseline.NewFIFO} }

func (b *builder) run(t *testing.T, candidates ...replay.Candidate) *replay.Result {
	t.Helper()
	if len(candidates) == 0 {
		candidates = []replay.Candidate{fifo()}
	}
	result, err := replay.Run(b.trace, nil, replay.Options{Policies: candidates})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestRunTimesJobsBySlowestMember(t *testing.T) {
	result := newBuilder(2, 2000, 500).
		job(0, "alone", 1, 8, 10*minute).
		job(0, "gang", 2, 8, 10*minute).
		run(t)
	run := result.Find("fifo")
	// The first runs 5 minutes on the fast worker; the gang waits for it and then runs 20 minutes.
	want := (5*minute + 100 + 25*minute + 200) / 2
	if run.Finished != 2 || run.MeanCompletionMillis != want {
		t.Errorf("finished %d, mean completion %d ms, want 2 and %d", run.Finished, run.MeanCompletionMillis, want)
	}
}

func TestRunCountsMissedGuarantees(t *testing.T) {
	result := newBuilder(1).guarantee("members", 1, 8, 1).
		job(0, "borrower", 1, 8, 10*minute, account("partners")).
		job(minute, "claimant", 1, 8, minute, account("members"), urgent).
		run(t)
	run := result.Find("fifo")
	if run.GuaranteeViolations != 1 || run.ClaimsChecked != 1 {
		t.Errorf("%d violations of %d claims, want 1 of 1", run.GuaranteeViolations, run.ClaimsChecked)
	}
	if run.UrgentLate != 1 || run.UrgentStartMaxMillis != 9*minute+200 {
		t.Errorf("%d urgent late, max %d ms, want 1 and %d", run.UrgentLate, run.UrgentStartMaxMillis, 9*minute+200)
	}
}

func TestRunMeetsGuaranteeOnFreeWorker(t *testing.T) {
	result := newBuilder(2).guarantee("members", 1, 8, 1).
		job(0, "borrower", 1, 8, 10*minute, account("partners")).
		job(minute, "claimant", 1, 8, minute, account("members")).
		run(t)
	run := result.Find("fifo")
	if run.GuaranteeViolations != 0 || run.ClaimsChecked != 1 {
		t.Errorf("%d violations of %d claims, want 0 of 1", run.GuaranteeViolations, run.ClaimsChecked)
	}
}

// scripted starts what it is told, whatever the state.
type scripted struct {
	policy.Policy
	starts []policy.Start
}

func (s *scripted) Decide(int64) []policy.Decision {
	var decisions []policy.Decision
	for at := range s.starts {
		decisions = append(decisions, policy.Decision{Start: &s.starts[at]})
	}
	s.starts = nil
	return decisions
}

func (s *scripted) StartRefused(string) {}

func TestRunRefusesBrokenStarts(t *testing.T) {
	whole := func(worker string) policy.Member { return policy.Member{Worker: worker, Mask: 0xff} }
	cases := []struct {
		name   string
		starts []policy.Start
		want   replay.Invariant
	}{
		{"missing member", []policy.Start{{JobID: "a", Members: []policy.Member{whole("w0")}}}, replay.PartialGang},
		{"cell not aligned", []policy.Start{{JobID: "b", Members: []policy.Member{{Worker: "w0", Mask: 0b0110}}}}, replay.PartialGang},
		{"other rack", []policy.Start{{JobID: "a", Members: []policy.Member{whole("w1"), whole("w2")}}}, replay.NotAdjacent},
		{"taken", []policy.Start{
			{JobID: "a", Members: []policy.Member{whole("w0"), whole("w1")}},
			{JobID: "b", Members: []policy.Member{{Worker: "w1", Mask: 0b11}}},
		}, replay.Overlap},
		{"members overlap", []policy.Start{{JobID: "a", Members: []policy.Member{whole("w0"), whole("w0")}}}, replay.Overlap},
		{"unknown worker", []policy.Start{{JobID: "b", Members: []policy.Member{{Worker: "w9", Mask: 0b11}}}}, replay.UnfitWorker},
		{"over quota", []policy.Start{{JobID: "c", Members: []policy.Member{whole("w3")}}}, replay.QuotaExceeded},
		{"unknown job", []policy.Start{{JobID: "z", Members: []policy.Member{whole("w3")}}}, replay.InvalidDecision},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			candidate := replay.Candidate{Name: "scripted", New: func() policy.Policy {
				return &scripted{Policy: baseline.NewFIFO(), starts: tc.starts}
			}}
			result := newBuilder(4).quota("members", "desk", 4).
				job(0, "a", 2, 8, minute).
				job(0, "b", 1, 2, minute).
				job(0, "c", 1, 8, minute, account("members")).
				run(t, candidate)
			violations := result.Runs[0].Violations
			if len(violations) != 1 || violations[0].Invariant != tc.want {
				t.Errorf("violations %v, want one of %q", violations, tc.want)
			}
		})
	}
}
