package node_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// slowPlanner makes plans that take planTime each, and counts them.
type slowPlanner struct{ plans atomic.Int64 }

const (
	planTime = 25 * time.Millisecond
	// maxPlanningShare is the share of an owner's time that docs/CAPACITY.md allows for plans.
	maxPlanningShare = 0.25
)

func (p *slowPlanner) plan(snapshot *assign.Snapshot) assign.Plan {
	p.plans.Add(1)
	time.Sleep(planTime)
	return assign.MakePlan(snapshot)
}

// checkShare fails the test if the plans during action took more than maxPlanningShare of its time.
func (p *slowPlanner) checkShare(t *testing.T, action func()) {
	t.Helper()
	p.plans.Store(0)
	started := time.Now()
	action()
	plans, elapsed := p.plans.Load(), time.Since(started)
	if share := float64(plans) * float64(planTime) / float64(elapsed); share > maxPlanningShare {
		t.Errorf("%d plans took %.2f of %v, want at most %.2f", plans, share, elapsed, maxPlanningShare)
	}
}

// Guards against an owner that plans after every change and so has no time for orders and answers, when plans take long and
// more jobs wait than fit.
func TestPlanningLeavesTimeForOrders(t *testing.T) {
	const jobs = 120
	run(t, 0, 48, func(c *cluster) {
		planner := &slowPlanner{}
		c.planner = planner.plan
		c.startNode("i0")
		time.Sleep(3 * time.Second)
		for n := range jobs {
			// Different durations spread the ends of tasks, each of which is a change, over time.
			requireOK(c, c.submit(n, 2, "i0", tasks(20, 1, time.Second+time.Duration(n)*7*time.Millisecond)))
		}
		planner.checkShare(t, func() {
			for n := range jobs {
				c.await(n, 2, replica.Completed, time.Minute)
			}
		})
	})
}

// Guards against an owner whose time goes into plans for calls that ask why a job waits.
func TestExplanationsLeaveTimeForOrders(t *testing.T) {
	run(t, 0, 1, func(c *cluster) {
		planner := &slowPlanner{}
		c.planner = planner.plan
		c.startNode("i0")
		time.Sleep(3 * time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, time.Minute)))
		requireOK(c, c.submit(2, 2, "i0", tasks(1, 8, time.Second)))
		time.Sleep(time.Second)
		planner.checkShare(t, func() {
			for range 50 {
				if lines := c.nodes["i0"].Explain(context.Background(), id(2)); len(lines) != 1 {
					t.Fatalf("the explanation is %v, want one line", lines)
				}
			}
		})
		if lines := c.nodes["i0"].Explain(context.Background(), id(1)); len(lines) != 0 {
			t.Errorf("the explanation of a job that runs is %v, want none", lines)
		}
	})
}

// A job whose occurrences were all due at once, without a limit on their number, filled the memory of one owner after the other.
func TestOccurrencesThatAreDueAtOnceAreLimited(t *testing.T) {
	const times, maxWaiting = 5000, 2000
	run(t, 0, 4, func(c *cluster) {
		var most atomic.Int64
		c.planner = func(snapshot *assign.Snapshot) assign.Plan {
			most.Store(max(most.Load(), int64(len(snapshot.Waiting))))
			return assign.MakePlan(snapshot)
		}
		c.startNode("i0")
		time.Sleep(3 * time.Second)
		admitted, gw := c.admit(1, 2, "i0")
		job := &storev1.Job{
			Spec: "spec", Steps: []*storev1.Step{tasks(1, 1, time.Second)}, Schedule: &storev1.Schedule{Times: times},
		}
		c.mu.Lock()
		c.jobs[id(1)] = job
		c.mu.Unlock()
		requireOK(c, gw.Submit(context.Background(), admitted, job))
		requireOK(c, c.submit(2, 0, "i0", tasks(1, 1, time.Second)))
		c.await(2, 0, replica.Completed, 10*time.Second)
		if most.Load() > maxWaiting {
			t.Errorf("%d units wait in a plan, want at most %d", most.Load(), maxWaiting)
		}
		time.Sleep(20 * time.Second)
		if started := len(c.workers.StartedTasks()); started < 500 {
			t.Errorf("%d tasks have started, want later occurrences to follow", started)
		}
	})
}
