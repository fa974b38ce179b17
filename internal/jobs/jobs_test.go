package jobs

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

// fixedPlacement puts every job into one data centre.
type fixedPlacement struct{}

func (fixedPlacement) DataCentre(*apiv1.JobSpec) (string, error) { return "east", nil }

func (fixedPlacement) Explain(context.Context, string, string) string { return "waits for room" }

// fixture is a service over a log.
type fixture struct {
	*Service
	log     *logservice.Service
	replica *ledger.Replica
}

// inBubble runs a test in virtual time on a service whose sheet has the accounts a and b and the team a/night.
func inBubble(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(logservice.Options{Retention: time.Hour})
		folded := state.New()
		replica := ledger.New(ledger.Config{
			Log: log, Stream: platform.StreamLedger, Author: &apiv1.Author{Instance: "i0", Incarnation: 1}, Machine: folded,
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = replica.Run(ctx)
		}()
		sheet := &apiv1.Sheet{
			Accounts: []*apiv1.ClientAccount{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}},
			Teams:    []*apiv1.Team{{Account: "a", Name: "night"}},
		}
		applied := &apiv1.Record{Body: &apiv1.Record_SheetApplied{SheetApplied: &apiv1.SheetApplied{Sheet: sheet}}}
		if err := replica.Propose(ctx, applied); err != nil {
			t.Fatal(err)
		}
		test(t, &fixture{Service: New(replica, folded, fixedPlacement{}), log: log, replica: replica})
		cancel()
		<-ended
	})
}

func spec(account string, change func(*apiv1.JobSpec)) *apiv1.JobSpec {
	s := &apiv1.JobSpec{
		Account:    account,
		WorkClass:  apiv1.WorkClass_WORK_CLASS_ORDINARY,
		Shape:      &apiv1.Shape{Members: 2, Accelerators: 8, Adjacency: apiv1.Adjacency_ADJACENCY_RACK},
		ExpectedMs: time.Hour.Milliseconds(),
	}
	if change != nil {
		change(s)
	}
	return s
}

func kindOf(err error) string {
	var found *problem.Error
	if errors.As(err, &found) {
		return found.Kind.Name
	}
	return ""
}

func TestOneKeyIsOneJobOfOneAccount(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		for range 2 {
			job, err := f.Submit(t.Context(), "k", spec("a", nil))
			if err != nil || job.Id != "k" || job.Spec.DataCentre != "east" {
				t.Fatalf("submit: %v, %v", job, err)
			}
		}
		if got := len(f.List("a")); got != 1 {
			t.Errorf("%d jobs, want 1", got)
		}
		if _, err := f.Submit(t.Context(), "k", spec("b", nil)); kindOf(err) != problem.Conflict.Name {
			t.Errorf("another account's key: %v, want a conflict", err)
		}
		if _, err := f.Job(t.Context(), "b", "k"); kindOf(err) != problem.NotFound.Name {
			t.Errorf("another account sees the job: %v", err)
		}
		if _, err := f.Cancel(t.Context(), "b", "k"); kindOf(err) != problem.NotFound.Name {
			t.Errorf("another account cancels the job: %v", err)
		}
		for range 2 {
			job, err := f.Cancel(t.Context(), "a", "k")
			if err != nil || job.State != apiv1.JobState_JOB_STATE_CANCELLED {
				t.Errorf("cancel: %v, %v", job, err)
			}
		}
	})
}

func TestSubmitNamesWhatIsWrong(t *testing.T) {
	tests := map[string]*apiv1.JobSpec{
		"no class":        spec("a", func(s *apiv1.JobSpec) { s.WorkClass = 0 }),
		"no shape":        spec("a", func(s *apiv1.JobSpec) { s.Shape = nil }),
		"no adjacency":    spec("a", func(s *apiv1.JobSpec) { s.Shape.Adjacency = 0 }),
		"three":           spec("a", func(s *apiv1.JobSpec) { s.Shape.Accelerators = 3 }),
		"no run time":     spec("a", func(s *apiv1.JobSpec) { s.ExpectedMs = 0 }),
		"unknown account": spec("c", nil),
		"unknown team":    spec("a", func(s *apiv1.JobSpec) { s.Team = "day" }),
	}
	inBubble(t, func(t *testing.T, f *fixture) {
		before := f.log.Counters().Appends
		for name, wrong := range tests {
			if _, err := f.Submit(t.Context(), name, wrong); kindOf(err) != problem.Invalid.Name {
				t.Errorf("%s: %v, want invalid", name, err)
			}
		}
		if got := f.log.Counters().Appends; got != before {
			t.Errorf("wrong jobs cost %d appends", got-before)
		}
	})
}

func TestOutageIsToldTruthfully(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.log.SetFaults(logservice.Faults{Outage: true})
		_, err := f.Submit(t.Context(), "k", spec("a", nil))
		var refused *problem.Error
		if !errors.As(err, &refused) || refused.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN {
			t.Errorf("during the outage: %v, want not accepted", err)
		}
		f.log.SetFaults(logservice.Faults{})
		time.Sleep(time.Minute)
		if got := len(f.List("a")); got != 0 {
			t.Errorf("%d jobs that were told not accepted", got)
		}
		f.log.SetFaults(logservice.Faults{AppendDelayMillis: (20 * time.Second).Milliseconds()})
		_, err = f.Submit(t.Context(), "k", spec("a", nil))
		if !errors.As(err, &refused) || refused.Outcome != apiv1.Outcome_OUTCOME_UNKNOWN {
			t.Errorf("with a slow log: %v, want unknown", err)
		}
		f.log.SetFaults(logservice.Faults{})
		time.Sleep(time.Minute)
		job, err := f.Submit(t.Context(), "k", spec("a", nil))
		if err != nil || !proto.Equal(job.Spec.Shape, spec("a", nil).Shape) || len(f.List("a")) != 1 {
			t.Errorf("asked again: %v, %v, %d jobs", job, err, len(f.List("a")))
		}
	})
}
