package node_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against an owner that plans after every change and so has no time for orders and answers, when plans take long and
// more jobs wait than fit.
func TestPlanningLeavesTimeForOrders(t *testing.T) {
	const (
		planTime = 25 * time.Millisecond
		// maxPlanningShare is the share of an owner's time that docs/CAPACITY.md allows for plans.
		maxPlanningShare = 0.25
		jobs             = 120
	)
	run(t, 0, 48, func(c *cluster) {
		var plans atomic.Int64
		c.planner = func(snapshot *assign.Snapshot) assign.Plan {
			plans.Add(1)
			time.Sleep(planTime)
			return assign.MakePlan(snapshot)
		}
		c.startNode("i0")
		time.Sleep(3 * time.Second)
		for n := range jobs {
			// Different durations spread the ends of tasks, each of which is a change, over time.
			requireOK(c, c.submit(n, 2, "i0", tasks(20, 1, time.Second+time.Duration(n)*7*time.Millisecond)))
		}
		plans.Store(0)
		started := time.Now()
		for n := range jobs {
			c.await(n, 2, replica.Completed, time.Minute)
		}
		elapsed := time.Since(started)
		if share := float64(plans.Load()) * float64(planTime) / float64(elapsed); share > maxPlanningShare {
			t.Errorf("%d plans took %.2f of %v, want at most %.2f", plans.Load(), share, elapsed, maxPlanningShare)
		}
	})
}
