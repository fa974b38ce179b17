package placing_test

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/placing"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
)

func TestBadWorkerIsQuarantinedProbedAndReturned(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, c *cluster) {
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
		time.Sleep(5 * placing.DefaultProbeEvery)
		if len(a.verdicts()) != 1 {
			t.Error("the worker returned although it fails its probes")
		}
		c.workers[0].SetFaults(worker.Faults{})
		time.Sleep(5 * placing.DefaultProbeEvery)
		if verdicts := a.verdicts(); len(verdicts) != 0 {
			t.Errorf("quarantined: %v, want none", verdicts)
		}
		a.kill()
	})
}

func TestJobAtFaultQuarantinesNoWorker(t *testing.T) {
	inBubble(t, 6, func(t *testing.T, c *cluster) {
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
