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

// Guards against jobs that aren't counted as pending after a takeover: the owner is lost right after it recorded their first runs, on a
// worker that doesn't answer.
func TestJobPlannedBeforeTakeoverIsPending(t *testing.T) {
	const jobs, visibleTime, pendingAge = 4, 3 * time.Second, 2 * time.Second
	for _, listed := range []bool{true, false} {
		for age := 100 * time.Millisecond; age <= 1200*time.Millisecond; age += 100 * time.Millisecond {
			runCluster(t, make([]float64, 3), 1, &cluster{maxLease: longLease}, func(c *cluster) {
				c.workers.SetUnreachable("w00", true)
				for n := range jobs {
					requireOK(c, c.submit(n, 2, "i0", tasks(1, 2, time.Second)))
				}
				time.Sleep(age)
				if !listed {
					c.registry.Put("w00", nil)
				}
				c.kill(c.owner())
				time.Sleep(visibleTime + pendingAge)
				c.requirePending(2, jobs)
				c.registry.Put("w00", []byte("w00"))
				c.workers.SetUnreachable("w00", false)
				for n := range jobs {
					c.await(n, 2, replica.Completed, 30*time.Second)
				}
				c.requirePending(2, 0)
			})
		}
	}
}

// Guards against jobs that have begun and are counted as pending after takeovers: one still runs, one was preempted.
func TestJobsThatHaveBegunAreNotPendingAfterTakeovers(t *testing.T) {
	run(t, 3, 1, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 4, time.Minute)))
		requireOK(c, c.submit(2, 2, "i0", tasks(1, 4, time.Minute)))
		time.Sleep(2 * time.Second)
		requireOK(c, c.submit(3, 0, "i0", tasks(1, 4, time.Minute)))
		time.Sleep(2 * time.Second)
		for range 2 {
			c.replaceOwner()
			time.Sleep(2 * time.Second)
			c.requirePending(2, 0)
			c.requirePending(0, 0)
		}
	})
}
