package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// urgentStartTime is the time within which urgent work has to start, as docs/CAPACITY.md states.
const urgentStartTime = 2 * time.Second

// Guards against workers that answer polls but no orders: their starts must not take the turn of the starts on other workers, and
// they must not get the next tasks again and again.
func TestWorkersThatIgnoreOrdersDelayNoOthers(t *testing.T) {
	const workers, ignoring, maxStartTime = 120, 40, 2500 * time.Millisecond
	run(t, 1, workers, func(c *cluster) {
		for worker := range ignoring {
			c.workers.IgnoreOrders(fmt.Sprintf("w%02d", worker), true)
		}
		requireOK(c, c.submit(1, 2, "i0", tasks(8*workers, 1, time.Minute)))
		submitted := time.Now()
		const wanted = 8 * (workers - ignoring)
		for len(c.workers.RunningTasks()) < wanted && time.Since(submitted) < 30*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(submitted); took > maxStartTime {
			t.Errorf("%d tasks run on the other workers after %v, want %d within %v", len(c.workers.RunningTasks()), took, wanted, maxStartTime)
		}
		for worker := range ignoring {
			c.workers.IgnoreOrders(fmt.Sprintf("w%02d", worker), false)
		}
		time.Sleep(30 * time.Second)
		if running := len(c.workers.RunningTasks()); running != 8*workers {
			t.Errorf("%d tasks run 30 s after all workers carry out orders again, want %d", running, 8*workers)
		}
	})
}

// Guards against answers that are waited for until they time out: with a third of all calls lost, and their orders carried out late,
// hardly any gang started in time, and each late one was stopped as a whole.
func TestLostAnswersDelayGangsLittle(t *testing.T) {
	const gangs, members = 12, 8
	run(t, 1, 2*members, func(c *cluster) {
		c.workers.LoseCalls(3)
		for n := range gangs {
			requireOK(c, c.submit(n, 0, "i0", gang(members, 8, time.Second)))
			submitted := time.Now()
			for len(c.workers.RunningTasks()) < members && time.Since(submitted) < 20*time.Second {
				time.Sleep(20 * time.Millisecond)
			}
			if took := time.Since(submitted); took > urgentStartTime {
				t.Errorf("gang %d runs after %v, want %v", n, took, urgentStartTime)
			}
			c.await(n, 0, replica.Completed, 20*time.Second)
		}
	})
}
