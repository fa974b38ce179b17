package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a job that isn't counted as pending though no task of it has started: its run is recorded, but its worker doesn't answer.
func TestJobWithUnansweredStartIsPending(t *testing.T) {
	const visibleTime, pendingAge = 3 * time.Second, 2 * time.Second
	run(t, 3, 1, func(c *cluster) {
		c.workers.SetUnreachable("w00", true)
		requireOK(c, c.submit(0, 2, "i0", tasks(1, 8, time.Second)))
		time.Sleep(visibleTime + pendingAge)
		c.requirePending(2, 1)
		c.kill(c.owner())
		time.Sleep(5 * time.Second)
		c.requirePending(2, 1)
		c.workers.SetUnreachable("w00", false)
		c.await(0, 2, replica.Completed, 30*time.Second)
		c.requirePending(2, 0)
	})
}

// requirePending checks the number of pending jobs that each instance shows.
func (c *cluster) requirePending(priority uint32, want int) {
	c.t.Helper()
	for name := range c.nodes {
		admitted, gw := c.admit(0, priority, name)
		count, answer := gw.PendingJobs(admitted)
		requireOK(c, answer)
		if count != want {
			c.t.Errorf("%s shows %d pending jobs, want %d", name, count, want)
		}
	}
}
