package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a task that starts again while it runs: workers that had started again while they were idle granted their longest lease,
// because the owner ordered its end by the clock of their former life, and it took the lease for expired too early.
func TestRestartedIdleWorkerHoldsLongestLease(t *testing.T) {
	runCluster(t, make([]float64, 1), 2, &cluster{maxLease: 10 * time.Second}, func(c *cluster) {
		time.Sleep(20 * time.Second)
		c.workers.Crash("w00")
		c.workers.Crash("w01")
		time.Sleep(5 * time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 30*time.Second)))
		time.Sleep(time.Second)
		silent := c.workers.WorkerOf(id(1) + ".0.0.0")
		c.cutOff("i0", silent)
		time.Sleep(15 * time.Second)
		if starts := c.workers.StartCount(id(1) + ".0.0.0"); starts != 2 {
			t.Errorf("the task started %d times, want again on the other worker", starts)
		}
		c.heal()
		c.await(1, 2, replica.Completed, time.Minute)
	})
}

// Guards against jobs that wait longer than a lease lasts for a worker that is lost: the poll that found out renewed the lease again.
func TestPollAfterLostPollRenewsNoLease(t *testing.T) {
	// A poll may be answered just after the loss, and a lease lasts for 6 s, on a clock that is 3% slow.
	const maxWait = 2*time.Second + 6*time.Second*103/100 + 500*time.Millisecond
	run(t, 1, 2, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, time.Minute)))
		time.Sleep(8 * time.Second)
		c.lose(c.workers.WorkerOf(id(1) + ".0.0.0"))
		c.requireStarted(id(1)+".0.0.0", 2, maxWait)
	})
}

// Guards against a task that starts again while it runs: a worker that had started again within seconds, while it was idle, granted its
// longest lease, and the owner, which had read the clock of its former life just before, took it for expired too early.
func TestQuicklyRestartedIdleWorkerHoldsLongestLease(t *testing.T) {
	runCluster(t, make([]float64, 1), 2, &cluster{maxLease: longLease}, func(c *cluster) {
		c.workers.CrashDuration, c.workers.RegisterDelay = time.Second, heartbeat // the start comes before the entry
		time.Sleep(20 * time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(2, 8, time.Second)))
		c.await(1, 2, replica.Completed, 5*time.Second)
		time.Sleep(3 * time.Second)
		c.workers.Crash("w00")
		c.workers.Crash("w01")
		time.Sleep(1500 * time.Millisecond)
		requireOK(c, c.submit(2, 2, "i0", tasks(1, 8, 30*time.Second)))
		name := id(2) + ".0.0.0"
		for c.workers.WorkerOf(name) == "" {
			time.Sleep(10 * time.Millisecond)
		}
		c.cutOff("i0", c.workers.WorkerOf(name))
		time.Sleep(15 * time.Second)
		if starts := c.workers.StartCount(name); starts != 2 {
			t.Errorf("the task started %d times, want again on the other worker", starts)
		}
		c.heal()
		c.await(2, 2, replica.Completed, time.Minute)
	})
}
