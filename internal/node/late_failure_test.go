package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a task that starts beside its open run after a takeover: the failure of an earlier run, which its worker reported
// late, replaced the record of the open run.
func TestLateFailureKeepsRecordOfOpenRun(t *testing.T) {
	run(t, 2, 2, func(c *cluster) {
		requireOK(c, c.submit(0, 2, c.owner(), tasks(1, 8, 30*time.Second)))
		time.Sleep(time.Second)
		first := c.workers.WorkerOf(id(0) + ".0.0.0")
		c.workers.SetUnreachable(first, true)
		time.Sleep(2500 * time.Millisecond) // the poll in progress ends
		c.workers.SetFailing(first, true)
		if runs := c.workers.RunCount(first); runs != 0 {
			t.Fatalf("%d tasks run on %s, want all failed", runs, first)
		}
		time.Sleep(12 * time.Second)
		if second := c.workers.WorkerOf(id(0) + ".0.0.0"); second == first || second == "" {
			t.Fatalf("the task runs on %q, want another worker than %s", second, first)
		}
		c.workers.SetUnreachable(first, false)
		time.Sleep(2 * time.Second)
		c.workers.SetFailing(first, false)
		c.kill(c.owner())
		c.await(0, 2, replica.Completed, time.Minute)
		if starts := c.workers.StartCount(id(0) + ".0.0.0"); starts != 2 {
			t.Errorf("the task started %d times, want twice", starts)
		}
	})
}
