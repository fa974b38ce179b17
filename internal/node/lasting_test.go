package node_test

import (
	"testing"
	"time"
)

// Guards against a task that lasts and waits for an empty worker for longer than it may be away, because it has lost its worker twice.
func TestLastingTaskThatLostTwoWorkersStartsInTime(t *testing.T) {
	const maxAway, down = 9 * time.Second, 1500 * time.Millisecond
	for name, lose := range map[string]func(c *cluster, worker string){
		"crash":   func(c *cluster, worker string) { c.workers.CrashAs(worker, nil) },
		"silence": func(c *cluster, worker string) { c.workers.SetUnreachable(worker, true) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, 8, func(c *cluster) {
				c.workers.CrashDuration = down
				beside := tasks(8, 3, 90*time.Second)
				beside.MaxPerWorker = 1
				requireOK(c, c.submit(1, 2, "i0", beside))
				requireOK(c, c.submit(2, 1, "i0", longRunning(1, 2)))
				for range 2 {
					worker := c.awaitTask(firstTask(2), 10*time.Second)
					if worker == "" {
						return
					}
					time.Sleep(4 * time.Second)
					lose(c, worker)
					for c.workers.WorkerOf(firstTask(2)) == worker {
						time.Sleep(10 * time.Millisecond)
					}
				}
				c.awaitTask(firstTask(2), maxAway)
			})
		})
	}
}
