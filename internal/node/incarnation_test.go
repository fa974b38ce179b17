package node_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// toKindB changes a registry entry into that of a worker of kind b with half the capacity.
func toKindB(entry *worker.RegistryEntry) {
	entry.Labels = []string{"b", entry.Rack}
	entry.Capacity = &storev1.Resources{CpuMillicores: 16000, MemoryMb: 32768, Accelerators: 4}
}

// spread returns a step of long tasks of one accelerator, one on each worker.
func spread(count uint32) *storev1.Step {
	step := tasks(count, 1, time.Minute)
	step.MaxPerWorker = 1
	return step
}

// Guards against tasks that start on a worker for the kind and capacity that it had before it started again under its id, in an owner
// that lives through the restart and in one that takes over.
func TestRestartedWorkerGetsNoTasksForItsFormerKind(t *testing.T) {
	for name, takeover := range map[string]bool{"owner lives": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, 2, func(c *cluster) {
				c.register("w00")
				owner := c.owner()
				requireOK(c, c.submit(1, 2, "i0", spread(2)))
				time.Sleep(5 * time.Second)
				c.workers.CrashDuration, c.workers.RegisterDelay = time.Second, 8*time.Second
				c.workers.ChangeOnReturn("w00", toKindB)
				c.workers.Crash("w00")
				if takeover {
					c.kill(owner)
				}
				requireOK(c, c.submit(2, 2, c.runningInstance(), labelled(tasks(40, 1, 2*time.Second), "a")))
				for range 1000 {
					time.Sleep(10 * time.Millisecond)
					for index := range 40 {
						if task := fmt.Sprintf("%s.0.0.%d", id(2), index); c.workers.WorkerOf(task) == "w00" {
							t.Errorf("%s runs on a worker without its label", task)
							return
						}
					}
				}
				requireOK(c, c.submit(3, 2, c.runningInstance(), labelled(tasks(1, 3, time.Second), "b")))
				c.await(3, 2, replica.Completed, 5*time.Second)
				c.await(2, 2, replica.Completed, time.Minute)
			})
		})
	}
}

// Guards against tasks that start on an idle worker for the kind that it had before it started again, although its entry is in the
// registry: owners don't poll idle workers.
func TestRestartedIdleWorkerIsPolledOnceItsEntryIsRead(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		c.workers.CrashDuration = time.Second
		c.workers.ChangeOnReturn("w00", toKindB)
		c.workers.Crash("w00")
		time.Sleep(2 * time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(8, 1, time.Second)))
		time.Sleep(500 * time.Millisecond)
		if count := c.workers.RunCount("w00"); count != 4 {
			t.Errorf("%d tasks run on a worker of 4 accelerators, want 4", count)
		}
		c.await(1, 2, replica.Completed, 5*time.Second)
	})
}

// Guards against a start order that was queued for a worker before it started again, and is sent to its next incarnation.
func TestQueuedStartsAreNotSentToNextIncarnation(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		c.workers.CrashDuration, c.workers.RegisterDelay = time.Second, 5*time.Second
		c.workers.ChangeOnReturn("w00", toKindB)
		c.workers.IgnoreOrders("w00", true)
		requireOK(c, c.submit(1, 2, "i0", labelled(tasks(8, 1, 3*time.Second), "a")))
		time.Sleep(200 * time.Millisecond)
		c.workers.Crash("w00")
		time.Sleep(4 * time.Second)
		if count := c.workers.RunCount("w00"); count > 0 {
			t.Errorf("%d tasks run on a worker without their label", count)
		}
	})
}

// lifeAdvisor gives tickets that are valid for one incarnation of a worker.
type lifeAdvisor struct {
	mu sync.Mutex
	// incarnation is that of the worker now, and asked are those for which the advisor was asked.
	incarnation int
	asked       []int
}

func (a *lifeAdvisor) Advise(_ context.Context, _ string, workers []string) (worker.Advice, error) {
	time.Sleep(60 * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, a.incarnation)
	advice := worker.Advice{Tickets: map[string]string{}, ValidFor: 20 * time.Second}
	for _, id := range workers {
		advice.Tickets[id] = strconv.Itoa(a.incarnation)
	}
	return advice, nil
}

func (a *lifeAdvisor) valid(order worker.Start, _ string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return order.Ticket == strconv.Itoa(a.incarnation)
}

func (a *lifeAdvisor) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incarnation++
}

// Guards against starts with a ticket that was given for the former incarnation of a worker.
func TestTicketsEndWithTheIncarnation(t *testing.T) {
	advisor := &lifeAdvisor{}
	runWithAdvisor(t, 1, 1, advisor, func(c *cluster) {
		c.workers.TicketValid = advisor.valid
		requireOK(c, c.submit(1, 1, "i0", tasks(24, 1, 2*time.Second)))
		time.Sleep(time.Second)
		c.workers.CrashDuration = time.Second
		c.workers.Crash("w00")
		advisor.restart()
		c.await(1, 1, replica.Completed, time.Minute)
		if !slices.Equal(advisor.asked, []int{0, 1}) {
			t.Errorf("the advisor was asked for the incarnations %v, want once for each", advisor.asked)
		}
	})
}
