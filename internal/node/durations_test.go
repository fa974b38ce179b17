package node_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// watchExpected replaces the owner by one whose plans set what it returns: the largest expected duration of a waiting unit in the latest plan.
func (c *cluster) watchExpected() *atomic.Int64 {
	expected := &atomic.Int64{}
	c.planner = func(snapshot *assign.Snapshot) assign.Plan {
		longest := int64(0)
		for _, unit := range snapshot.Waiting {
			longest = max(longest, int64(unit.Expected))
		}
		if longest > 0 {
			expected.Store(longest)
		}
		return assign.MakePlan(snapshot)
	}
	c.kill("i0")
	c.startNode("i1")
	time.Sleep(15 * time.Second)
	c.owner()
	return expected
}

// finishJobs runs jobs of one task, whose estimate is 2 s, one after the other.
func (c *cluster) finishJobs(first, count int) {
	for n := first; n < first+count; n++ {
		requireOK(c, c.submit(n, 2, c.runningInstance(), tasks(1, 1, 2*time.Second)))
		c.await(n, 2, replica.Completed, time.Minute)
	}
}

// Guards against an owner that plans with declared estimates although all runs so far took four times as long, and against one that does
// otherwise before any run has shown that.
func TestOwnerLearnsDurations(t *testing.T) {
	run(t, 1, 4, func(c *cluster) {
		c.workers.TaskDuration = func(string) time.Duration { return 8 * time.Second }
		expected := c.watchExpected()
		c.finishJobs(0, 1)
		if got := time.Duration(expected.Load()); got != 2*time.Second {
			t.Errorf("without history the owner expects %v, want the estimate of 2 s", got)
		}
		c.finishJobs(1, 12)
		if got := time.Duration(expected.Load()); got < 6*time.Second || got > 9*time.Second {
			t.Errorf("after twelve runs of 8 s the owner expects %v", got)
		}
	})
}
