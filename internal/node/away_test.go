package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// setFailing makes all workers but those in except fail their tasks, or not.
func (c *cluster) setFailing(failing bool, except map[string]bool) {
	for _, entry := range c.workers.Entries() {
		if !except[entry.ID] {
			c.workers.SetFailing(entry.ID, failing)
		}
	}
}

// Guards against a long-running task that is away for longer than 9 s: its worker is lost, and only when the lease has expired it begins to
// wait for other workers than the one on which it failed before.
func TestLongRunningTaskOfLostWorkerRunsAgainInTime(t *testing.T) {
	const maxAway = 9 * time.Second
	for offset := time.Duration(0); offset < 2*time.Second; offset += 250 * time.Millisecond {
		runCluster(t, make([]float64, 1), 3, &cluster{maxLease: longLease}, func(c *cluster) {
			requireOK(c, c.submit(2, 2, "i0", tasks(1, 8, 5*time.Minute)))
			c.await(2, 2, replica.Running, 2*time.Second)
			requireOK(c, c.submit(1, 2, "i0", longRunning(1, 2)))
			task := firstTask(1)
			c.awaitTask(task, 2*time.Second)
			time.Sleep(2 * time.Second)
			c.workers.FailTask(task)
			time.Sleep(100 * time.Millisecond)
			worker := c.awaitTask(task, 2*time.Second)
			time.Sleep(20*time.Second + offset)
			starts := c.workers.StartCount(task)
			c.lose(worker)
			c.requireStarted(task, starts+1, maxAway)
		})
	}
}

// Guards against a job that has nothing running in a mostly idle service, because all workers with room are in quarantine for up to 16 s
// after their last failure.
func TestJobRunsInIdleServiceOfQuarantinedWorkers(t *testing.T) {
	run(t, 1, 4, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 5*time.Minute)))
		c.await(1, 2, replica.Running, 2*time.Second)
		busy := map[string]bool{c.workers.WorkerOf(firstTask(1)): true}
		c.setFailing(true, busy)
		// The quarantines of 2, 4, 8 and 16 s begin one after the other.
		for n := range 40 {
			requireOK(c, c.submit(2+n, 2, "i0", tasks(1, 8, 300*time.Millisecond)))
			time.Sleep(500 * time.Millisecond)
		}
		c.setFailing(false, busy)
		requireOK(c, c.submit(50, 2, "i0", tasks(1, 8, time.Second)))
		c.requireStarted(firstTask(50), 1, maxIdleTime)
	})
}

// Guards against a job that has nothing running for longer than 3 s in a mostly idle service, because its task is on its last attempt and all
// workers with room are on trial.
func TestLastAttemptRunsInIdleServiceOfWorkersOnTrial(t *testing.T) {
	run(t, 1, 8, func(c *cluster) {
		busy := map[string]bool{}
		for n := range 2 {
			requireOK(c, c.submit(n, 2, "i0", tasks(1, 8, 5*time.Minute)))
			busy[c.awaitTask(firstTask(n), 2*time.Second)] = true
		}
		c.setFailing(true, busy)
		for n := range 3 {
			requireOK(c, c.submit(10+n, 2, "i0", tasks(1, 8, 300*time.Millisecond)))
		}
		time.Sleep(4 * time.Second)
		c.setFailing(false, busy)
		requireOK(c, c.submit(2, 2, "i0", tasks(1, 8, time.Minute)))
		c.awaitTask(firstTask(2), 2*time.Second)
		c.workers.FailTask(firstTask(2))
		c.requireStarted(firstTask(2), 2, maxIdleTime)
	})
}

// Guards against a task that waits anew for the longest lease after each change of the owner, because it had just started when its worker
// alone was lost.
func TestTakeoversDoNotExtendWaitForTaskThatHadJustStarted(t *testing.T) {
	const takeovers, interval = 6, 5 * time.Second
	const maxWait = longLease + 8*time.Second
	runCluster(t, make([]float64, 3), 3, &cluster{maxLease: longLease}, func(c *cluster) {
		time.Sleep(15 * time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, time.Minute)))
		c.workers.CrashDuration = 5 * time.Minute
		crashed := c.awaitTask(firstTask(1), 2*time.Second)
		c.workers.CrashAs(crashed, nil)
		c.registry.Put(crashed, nil)
		lost := time.Now()
		time.Sleep(4 * time.Second)
		for range takeovers {
			c.replaceOwner()
			time.Sleep(interval)
			if c.workers.StartCount(firstTask(1)) > 1 {
				break
			}
		}
		c.requireStarted(firstTask(1), 2, max(0, maxWait-time.Since(lost)))
	})
}

// Guards against a job that has nothing running for longer than 3 s in a mostly idle service, because it has lost two workers and no worker is
// empty.
func TestJobThatLostTwoWorkersRunsBesideSmallTasks(t *testing.T) {
	run(t, 1, 8, func(c *cluster) {
		c.workers.CrashDuration = 1500 * time.Millisecond
		beside := longRunning(8, 1)
		beside.MaxPerWorker = 1
		requireOK(c, c.submit(1, 2, "i0", beside))
		time.Sleep(2 * time.Second)
		requireOK(c, c.submit(2, 2, "i0", tasks(1, 2, time.Minute)))
		for range 2 {
			worker := c.awaitTask(firstTask(2), 10*time.Second)
			time.Sleep(4 * time.Second)
			c.workers.CrashAs(worker, nil)
			for c.workers.WorkerOf(firstTask(2)) == worker {
				time.Sleep(10 * time.Millisecond)
			}
		}
		c.requireStarted(firstTask(2), 3, maxIdleTime)
	})
}

// Guards against a job that waits for the rack of its data in a mostly idle service, because the tasks of lost workers count as in use until
// their leases have expired.
func TestTasksOfLostWorkersDoNotMakeServiceBusy(t *testing.T) {
	runCluster(t, make([]float64, 1), 8, &cluster{maxLease: longLease}, func(c *cluster) {
		for n := range 4 {
			step := tasks(1, 8, 5*time.Minute)
			step.RequiredLabel, step.Need.CpuMillicores = "r0", 32000
			requireOK(c, c.submit(n, 2, "i0", step))
			c.awaitTask(firstTask(n), 2*time.Second)
		}
		time.Sleep(10 * time.Second)
		for n := range 2 {
			c.lose(c.workers.WorkerOf(firstTask(n)))
		}
		time.Sleep(100 * time.Millisecond)
		step := tasks(1, 1, 30*time.Second)
		step.DataRack = "r0"
		requireOK(c, c.submit(4, 2, "i0", step))
		c.requireStarted(firstTask(4), 1, maxIdleTime)
	})
}
