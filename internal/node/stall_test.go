package node_test

import (
	"strconv"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a run that is stopped as stalled, and a worker that is quarantined for that, because the worker was out of the owner's
// reach for a part of its lease: nothing was known of the task's progress.
func TestSilentWorkerIsNotStalled(t *testing.T) {
	const cut = 3700 * time.Millisecond
	for name, step := range map[string]*storev1.Step{"task": tasks(1, 8, 20*time.Second), "gang": gang(4, 8, 20*time.Second)} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 4, func(c *cluster) {
				requireOK(c, c.submit(1, 2, "i0", step))
				time.Sleep(3 * time.Second)
				silent := c.workers.WorkerOf(id(1) + ".0.0.0")
				c.cutOff("i0", silent)
				time.Sleep(cut)
				c.heal()
				c.await(1, 2, replica.Completed, 30*time.Second)
				for index := range int(step.GetCount()) {
					task := id(1) + ".0.0." + strconv.Itoa(index)
					if starts := c.workers.StartCount(task); starts != 1 {
						t.Errorf("%s started %d times, want once", task, starts)
					}
				}
			})
		})
	}
}
