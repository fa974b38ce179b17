package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a worker that counts as listed for good, because it left the registry while the owner could not read it and the
// store then dropped the record of that.
func TestWorkerThatLeftWithTheHistoryGetsNoTasks(t *testing.T) {
	run(t, 1, 2, func(c *cluster) {
		c.owner()
		c.registry.InjectFaults(func(string, string) mock.Fault { return mock.Refuse })
		c.registry.Put("w00", nil)
		c.registry.Put("w01", []byte("w01"))
		c.registry.Trim()
		time.Sleep(3 * time.Second)
		c.registry.InjectFaults(nil)
		time.Sleep(2 * time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(16, 1, 5*time.Second)))
		time.Sleep(2 * time.Second)
		if count := c.workers.RunCount("w00"); count > 0 {
			t.Errorf("%d tasks run on a worker that left, want none", count)
		}
		if count := c.workers.RunCount("w01"); count != 8 {
			t.Errorf("%d tasks run on the worker that stayed, want 8", count)
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against a task that runs twice, because an entry of another writer under its worker's id counted as the end of the worker.
func TestEntryOfAnotherWriterEndsNoRun(t *testing.T) {
	for name, address := range map[string]string{"nobody answers": "x:1", "another worker answers": "w03:1"} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 4, func(c *cluster) {
				requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 8*time.Second)))
				on := c.awaitTask(firstTask(1), 5*time.Second)
				time.Sleep(time.Second)
				c.registry.Put(on, []byte(on+" at "+address))
				time.Sleep(3 * time.Second)
				c.registry.Put(on, []byte(on))
				c.await(1, 2, replica.Completed, 10*time.Second)
				if starts := c.workers.StartCount(firstTask(1)); starts != 1 {
					t.Errorf("the task started %d times, want once", starts)
				}
				requireOK(c, c.submit(2, 2, "i0", tasks(4, 8, 2*time.Second)))
				time.Sleep(time.Second)
				if running := len(c.workers.RunningTasks()); running != 4 {
					t.Errorf("%d tasks run after the worker's next entry, want one on each of 4 workers", running)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Guards against a worker that gets no tasks once it is back at another address, or whose tasks wait for the lease of its former life.
func TestWorkerBackAtAnotherAddressGetsTasks(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 5*time.Second)))
		c.awaitTask(firstTask(1), 5*time.Second)
		c.workers.CrashDuration = time.Second
		c.workers.Crash("w00")
		c.workers.SetAddress("w00", "x:1")
		time.Sleep(c.workers.CrashDuration + heartbeat)
		c.registry.Put("w00", []byte("w00"))
		c.awaitTask(firstTask(1), 3*time.Second)
		c.await(1, 2, replica.Completed, 10*time.Second)
	})
}

// Guards against a task that runs twice, because the newest entry under its worker's id was of another writer when the owner changed, and
// named the address of another worker.
func TestEntryOfAnotherWriterInTakeoverEndsNoRun(t *testing.T) {
	run(t, 2, 4, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 12*time.Second)))
		on := c.awaitTask(firstTask(1), 5*time.Second)
		time.Sleep(time.Second)
		c.registry.Put(on, []byte(on+" at w03:1"))
		c.kill(c.owner())
		c.owner()
		time.Sleep(heartbeat)
		c.registry.Put(on, []byte(on))
		c.await(1, 2, replica.Completed, 30*time.Second)
		if starts := c.workers.StartCount(firstTask(1)); starts != 1 {
			t.Errorf("the task started %d times, want once", starts)
		}
	})
}
