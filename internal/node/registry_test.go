package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/mock"
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
