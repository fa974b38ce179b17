package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// heartbeatInterval is how often workers write their registry entries.
const heartbeatInterval = 1500 * time.Millisecond

// sendHeartbeats writes the registry entries of the workers until the function that it returns is called.
func (c *cluster) sendHeartbeats(workers int) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(heartbeatInterval):
			}
			for i := range workers {
				id := fmt.Sprintf("w%02d", i)
				c.registry.Put(id, []byte(id))
			}
		}
	}()
	return func() { close(stopped) }
}

// A start that was queued when its worker's capacity shrank was still sent, up to the time that a gang waits later.
func TestQueuedStartsAreNotSentToShrunkWorkers(t *testing.T) {
	const workers, inForce = 60, 1100 * time.Millisecond
	run(t, 1, workers, func(c *cluster) {
		for i := range workers {
			c.workers.SetExtraLatency(fmt.Sprintf("w%02d", i), 400*time.Millisecond)
		}
		requireOK(c, c.submit(1, 2, "i0", tasks(8*workers, 1, 4*time.Second)))
		time.Sleep(300 * time.Millisecond)
		for i := range workers {
			id := fmt.Sprintf("w%02d", i)
			c.workers.SetAccelerators(id, 1, inForce)
			c.registry.Put(id, []byte(id))
		}
		time.Sleep(20 * time.Second)
		for i := range workers {
			id := fmt.Sprintf("w%02d", i)
			c.workers.SetAccelerators(id, 8, 0)
			c.workers.SetExtraLatency(id, 0)
			c.registry.Put(id, []byte(id))
		}
		c.await(1, 2, replica.Completed, time.Minute)
	})
}

// A worker whose capacity shrank while its entry could not be read got tasks for the capacity that it had before.
func TestTasksStartOnlyOnWorkersWithRecentEntry(t *testing.T) {
	const workers, grace = 4, 4500 * time.Millisecond
	runWithCapacityGrace(t, workers, grace, func(c *cluster) {
		defer c.sendHeartbeats(workers)()
		time.Sleep(2 * heartbeatInterval)
		c.registry.InjectFaults(func(string, string) mock.Fault { return mock.Refuse })
		for i := range workers {
			c.workers.SetAccelerators(fmt.Sprintf("w%02d", i), 2, grace)
		}
		time.Sleep(grace)
		requireOK(c, c.submit(1, 2, "i0", tasks(workers, 8, time.Second)))
		requireOK(c, c.submit(2, 2, "i0", tasks(workers, 2, time.Second)))
		time.Sleep(4 * time.Second)
		c.registry.InjectFaults(nil)
		c.await(2, 2, replica.Completed, 10*time.Second)
		for i := range workers {
			c.workers.SetAccelerators(fmt.Sprintf("w%02d", i), 8, 0)
		}
		c.await(1, 2, replica.Completed, 10*time.Second)
	})
}
