package placing_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/placing"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// probes is a virtual time in which the policy probes a quarantined worker several times.
const probes = 10 * time.Minute

// productPolicy is the policy of an instance.
func productPolicy() policy.Policy {
	return policy.New(policy.LoungeConfig())
}

func TestBadWorkerIsQuarantinedProbedAndReturned(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, c *cluster) {
		c.newPolicy = productPolicy
		a := c.newInstance("a", 1).own(1)
		c.workers[0].SetFaults(worker.Faults{FailStarts: true})
		for i := range 4 {
			a.submit(fmt.Sprintf("j%d", i), ordinary, 1, 8)
			time.Sleep(settled)
		}
		if verdicts := a.verdicts(); len(verdicts) != 1 || verdicts[0] != "w0" {
			t.Errorf("quarantined: %v, want w0", verdicts)
		}
		for i := range 3 {
			a.wantState(fmt.Sprintf("j%d", i), placed, 2)
		}
		time.Sleep(probes)
		if len(a.verdicts()) != 1 {
			t.Error("the worker returned although it fails its probes")
		}
		c.workers[0].SetFaults(worker.Faults{})
		time.Sleep(probes)
		if verdicts := a.verdicts(); len(verdicts) != 0 {
			t.Errorf("quarantined: %v, want none", verdicts)
		}
		a.kill()
	})
}

// TestGuaranteeAtRiskIsTold takes a worker that a guarantee needs off the list and brings it back.
func TestGuaranteeAtRiskIsTold(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, c *cluster) {
		c.newPolicy = productPolicy
		a := c.newInstance("a", 1)
		shape := &apiv1.Shape{Members: 2, Accelerators: 8, Adjacency: apiv1.Adjacency_ADJACENCY_RACK}
		a.propose(&apiv1.Record{Body: &apiv1.Record_SheetApplied{SheetApplied: &apiv1.SheetApplied{Sheet: &apiv1.Sheet{
			Accounts:   []*apiv1.ClientAccount{{Name: "acme", Weight: 1}},
			Guarantees: []*apiv1.Guarantee{{Account: "acme", DataCentre: dataCentre, Shape: shape, Count: 1}},
		}}}})
		a.own(1)
		time.Sleep(settled)
		if got := a.count(placing.EventGuaranteeAtRisk); got != 0 {
			t.Errorf("%d guarantees at risk with all workers", got)
		}
		c.unlist("w0")
		time.Sleep(time.Minute)
		if got := a.count(placing.EventGuaranteeAtRisk); got != 1 {
			t.Errorf("%d guarantees at risk without a worker, want 1", got)
		}
		a.kill()
	})
}

func TestJobAtFaultQuarantinesNoWorker(t *testing.T) {
	inBubble(t, 6, func(t *testing.T, c *cluster) {
		c.newPolicy = productPolicy
		a := c.newInstance("a", 1).own(1)
		for i := range 3 {
			a.submit(fmt.Sprintf("j%d", i), ordinary, 1, 1)
		}
		time.Sleep(settled)
		for range 20 {
			for _, w := range c.workers {
				w.SetFaults(worker.Faults{FailTasks: true})
				w.SetFaults(worker.Faults{})
			}
			time.Sleep(term)
		}
		for i := range 3 {
			if job := a.job(fmt.Sprintf("j%d", i)); job.State != apiv1.JobState_JOB_STATE_FAILED {
				t.Errorf("job %s is %v after %d failures", job.ID, job.State, job.Failures)
			}
		}
		a.kill()
	})
}

// TestJobThatFailsEverywhereEnds lets one job fail on every worker that it runs on, beside nothing else.
func TestJobThatFailsEverywhereEnds(t *testing.T) {
	inBubble(t, 6, func(t *testing.T, c *cluster) {
		c.newPolicy = productPolicy
		a := c.newInstance("a", 1).own(1)
		a.submit("j", ordinary, 1, 1)
		for range 20 {
			time.Sleep(term)
			for _, w := range c.workers {
				w.SetFaults(worker.Faults{FailTasks: true})
				w.SetFaults(worker.Faults{})
			}
		}
		if job := a.job("j"); job.State != apiv1.JobState_JOB_STATE_FAILED || !strings.Contains(job.Reason, "submit it again") {
			t.Errorf("the job is %v after %d failures: %q", job.State, job.Failures, job.Reason)
		}
		if verdicts := a.verdicts(); len(verdicts) != 0 {
			t.Errorf("quarantined: %v, want none", verdicts)
		}
		a.kill()
	})
}

func TestWorkerOffTheListGetsNothingNew(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, c *cluster) {
		a := c.newInstance("a", 1).own(1)
		a.submit("j", ordinary, 1, 4)
		time.Sleep(settled)
		c.unlist("w0")
		time.Sleep(time.Minute)
		a.submit("k", ordinary, 1, 4)
		time.Sleep(settled)
		if runs := c.runs("k"); len(runs) != 1 || runs[0].Worker != "w1" {
			t.Errorf("the second job runs %+v, want on w1", runs)
		}
		time.Sleep(work + term)
		a.wantState("j", finished, 1)
		a.kill()
	})
}
