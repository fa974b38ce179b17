package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a task that runs again after it is done: a worker that had restarted under its id while it was idle was told to
// discard reports up to the number that its former life had reached, so it discarded new ones that nobody had read.
func TestRestartedWorkerKeepsItsReports(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		for n := range 4 {
			requireOK(c, c.submit(n, 2, "i0", tasks(1, 8, 500*time.Millisecond)))
			c.await(n, 2, replica.Completed, 10*time.Second)
		}
		time.Sleep(3 * time.Second)
		c.workers.Crash("w00")
		time.Sleep(5 * time.Second)
		requireOK(c, c.submit(9, 2, "i0", tasks(1, 8, 500*time.Millisecond)))
		c.await(9, 2, replica.Completed, 10*time.Second)
		if starts := c.workers.StartCount(id(9) + ".0.0.0"); starts != 1 {
			t.Errorf("the task started %d times, want once", starts)
		}
	})
}
