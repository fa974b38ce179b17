package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a job that is given up because its workers were silent for a while, one after the other, as if they had crashed.
func TestSilentWorkersAreNoCrashes(t *testing.T) {
	const silences, silence = 5, 12 * time.Second
	run(t, 2, 8, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 15*time.Second)))
		for n := range silences {
			time.Sleep(500 * time.Millisecond)
			silent := c.workers.WorkerOf(id(1) + ".0.0.0")
			if silent == "" {
				t.Fatalf("the task does not run after %d silences: state %v, want running", n, c.state(1, 2, "i0"))
			}
			c.workers.SetUnreachable(silent, true)
			c.registry.Put(silent, nil)
			time.Sleep(silence)
			c.workers.SetUnreachable(silent, false)
			c.registry.Put(silent, []byte(silent))
			time.Sleep(2 * time.Second)
		}
		c.await(1, 2, replica.Completed, 40*time.Second)
	})
}
