package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against workers that stay on trial for good while they run a long-running task: nothing else started on them, and their
// own tasks that failed did not start again.
func TestLongRunningTasksEndTrial(t *testing.T) {
	run(t, 1, 2, func(c *cluster) {
		step := tasks(4, 1, time.Second)
		step.LongRunning, step.MaxPerWorker = true, 2
		requireOK(c, c.submit(0, 2, "i0", step))
		time.Sleep(4 * time.Second)
		for _, entry := range c.workers.Entries() {
			c.workers.FailOne(entry.ID)
		}
		time.Sleep(10 * time.Second)
		if running := len(c.workers.RunningTasks()); running != 4 {
			t.Errorf("%d of 4 long-running tasks run 10 s after some have failed", running)
		}
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8-2, time.Second)))
		c.await(1, 2, replica.Completed, 10*time.Second)
	})
}
