package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

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
