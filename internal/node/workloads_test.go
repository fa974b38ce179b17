package node_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// requireOK fails the test at once unless the answer is OK.
func requireOK(c *cluster, answer gateway.Answer) {
	c.t.Helper()
	if answer.Result != gateway.OK {
		c.t.Fatal(answer)
	}
}

// busyWorkers returns the workers that are running a task.
func busyWorkers(c *cluster) []string {
	var ids []string
	for _, entry := range c.workers.Entries() {
		if c.workers.RunCount(entry.ID) > 0 {
			ids = append(ids, entry.ID)
		}
	}
	return ids
}

// The members of a gang that have done their work wait for the others, so only the member that makes no progress shows
// that its worker hangs.
func TestGangIsMovedOffHungWorker(t *testing.T) {
	run(t, 1, 4, func(c *cluster) {
		c.workers.HangTasks("w01")
		requireOK(c, c.submit(1, 2, "i0", gang(6, 4, time.Second)))
		c.await(1, 2, replica.Completed, 12*time.Second)
	})
}

// Guards against letting workers discard their reports of a finished gang before its result is stored: the result is lost with
// the owner, and the worker that reported first with its report.
func TestReportsOfGangAreKeptUntilItsResultIsStored(t *testing.T) {
	run(t, 2, 3, func(c *cluster) {
		requireOK(c, c.submit(1, 2, c.runningInstance(), gang(3, 8, 2*time.Second)))
		time.Sleep(1500 * time.Millisecond)
		c.workers.SetExtraLatency("w01", 100*time.Millisecond)
		c.workers.SetExtraLatency("w02", 100*time.Millisecond)
		c.inject(func(_, call string) mock.Fault {
			if call == "append" {
				return mock.DropRequest
			}
			return mock.None
		})
		time.Sleep(1500 * time.Millisecond)
		c.kill(c.owner())
		c.workers.SetUnreachable("w00", true)
		c.inject(nil)
		c.await(1, 2, replica.Completed, 30*time.Second)
	})
}

// Guards against two states of one worker that leaves the registry while a result from it is being stored, and returns: the
// older state stops the runs that the newer one starts.
func TestWorkerReturnsWhileItsResultIsStored(t *testing.T) {
	run(t, 1, 2, func(c *cluster) {
		for n := range 2 {
			requireOK(c, c.submit(n, 2, "i0", tasks(1, 8, 2*time.Second)))
		}
		time.Sleep(1500 * time.Millisecond)
		c.inject(func(_, call string) mock.Fault {
			if call == "append" {
				return mock.DropRequest
			}
			return mock.None
		})
		time.Sleep(1500 * time.Millisecond)
		for _, id := range []string{"w00", "w01"} {
			c.registry.Put(id, nil)
		}
		time.Sleep(time.Second)
		for _, id := range []string{"w00", "w01"} {
			c.registry.Put(id, []byte(id))
		}
		time.Sleep(time.Second)
		c.inject(nil)
		time.Sleep(time.Second)
		const last = 6
		for n := 2; n <= last; n++ {
			requireOK(c, c.submit(n, 2, "i0", tasks(1, 2, time.Second+time.Duration(n)*200*time.Millisecond)))
		}
		for n := 2; n <= last; n++ {
			c.await(n, 2, replica.Completed, time.Minute)
			if starts := c.workers.StartCount(id(n) + ".0.0.0"); starts != 1 {
				t.Errorf("the task of job %d started %d times, want once", n, starts)
			}
		}
	})
}

func TestTaskOnDrainingWorkerIsCheckpointed(t *testing.T) {
	run(t, 1, 2, func(c *cluster) {
		step := tasks(1, 8, 10*time.Second)
		step.Checkpointing = true
		requireOK(c, c.submit(1, 2, "i0", step))
		time.Sleep(3 * time.Second)
		draining := busyWorkers(c)[0]
		c.registry.Put(draining, []byte(draining+" leaves in 3s"))
		time.Sleep(3200 * time.Millisecond)
		if c.workers.RunCount(draining) != 0 {
			t.Error("the task still runs on the worker at the end of its drain time")
		}
		c.workers.SetUnreachable(draining, true)
		c.await(1, 2, replica.Completed, 7*time.Second)
	})
}

func TestLongRunningTasksRunUntilCancelled(t *testing.T) {
	run(t, 2, 3, func(c *cluster) {
		step := tasks(2, 4, time.Second)
		step.LongRunning = true
		requireOK(c, c.submit(1, 2, c.runningInstance(), step))
		time.Sleep(5 * time.Second)
		c.workers.FailTasks(busyWorkers(c)[0])
		time.Sleep(10 * time.Second)
		c.kill(c.owner())
		time.Sleep(10 * time.Second)
		if state := c.state(1, 2, c.runningInstance()); state != replica.Running {
			t.Errorf("the job is in state %d, want running", state)
		}
		running := 0
		for _, entry := range c.workers.Entries() {
			running += c.workers.RunCount(entry.ID)
		}
		if running != 2 {
			t.Errorf("%d tasks run, want 2", running)
		}
		admitted, gw := c.admit(1, 2, c.runningInstance())
		requireOK(c, gw.Cancel(context.Background(), admitted))
		c.await(1, 2, replica.Cancelled, 5*time.Second)
	})
}

// Guards against a long-running task that isn't started again on the only worker with room because it failed there: the task avoids the
// worker, which is in quarantine after each failure, and then on trial, when it gets nothing beside the task that it still runs.
func TestLongRunningTaskRunsAgainOnOnlyWorkerWithRoom(t *testing.T) {
	cases := []struct {
		name     string
		beside   uint32
		failures int
	}{{"alone", 0, 1}, {"beside another task", 2, 1}, {"repeatedly", 0, 5}}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			run(t, 1, 2, func(c *cluster) {
				step := tasks(1, 2, time.Second)
				step.LongRunning = true
				requireOK(c, c.submit(1, 2, "i0", step))
				c.await(1, 2, replica.Running, 2*time.Second)
				if test.beside > 0 {
					requireOK(c, c.submit(2, 2, "i0", tasks(1, test.beside, time.Minute)))
					c.await(2, 2, replica.Running, 2*time.Second)
				}
				requireOK(c, c.submit(3, 2, "i0", tasks(1, 8, time.Minute)))
				c.await(3, 2, replica.Running, 2*time.Second)
				task := id(1) + ".0.0.0"
				for n := range test.failures {
					c.workers.FailTask(task)
					failedAt := time.Now()
					for c.workers.WorkerOf(task) == "" && time.Since(failedAt) < 9*time.Second {
						time.Sleep(100 * time.Millisecond)
					}
					if c.workers.WorkerOf(task) == "" {
						t.Errorf("the task hasn't run again 9 s after failure %d", n+1)
					}
					time.Sleep(500 * time.Millisecond)
				}
			})
		})
	}
}

// At most MayMiss tasks of a long-running step are preempted for urgent jobs.
func TestLongRunningTasksArePreemptedOnlyUpToMayMiss(t *testing.T) {
	for _, mayMiss := range []uint32{0, 1} {
		run(t, 1, 2, func(c *cluster) {
			step := tasks(2, 8, time.Second)
			step.LongRunning, step.MayMiss = true, mayMiss
			requireOK(c, c.submit(1, 2, "i0", step))
			time.Sleep(4 * time.Second)
			requireOK(c, c.submit(2, 0, "i0", gang(2, 5, 2*time.Second)))
			requireOK(c, c.submit(3, 0, "i0", gang(1, 6, 2*time.Second)))
			time.Sleep(time.Second)
			starts := c.workers.StartCount(id(3) + ".0.0.0")
			if starts != int(mayMiss) {
				t.Errorf("with MayMiss %d the urgent task started %d times, want as many", mayMiss, starts)
			}
			if c.workers.StartCount(id(2)+".0.0.0") != 0 {
				t.Error("both tasks were preempted for the gang")
			}
		})
	}
}

// Guards against noticing the end of a stopped task late, after a report during the stop has listed neither the task nor its
// end: here the reports about the ends of two short tasks.
func TestEndOfStopIsNoticedAtOnce(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		c.workers.StopDuration = 600 * time.Millisecond
		for n := range 2 {
			requireOK(c, c.submit(n, 2, "i0", tasks(1, 1, 3*time.Second+time.Duration(n)*100*time.Millisecond)))
		}
		stopped := tasks(1, 6, time.Minute)
		stopped.LongRunning, stopped.MayMiss = true, 1
		requireOK(c, c.submit(3, 2, "i0", stopped))
		time.Sleep(2900 * time.Millisecond)
		requireOK(c, c.submit(4, 0, "i0", gang(1, 6, time.Second)))
		time.Sleep(800 * time.Millisecond)
		if c.workers.StartCount(id(4)+".0.0.0") != 1 {
			t.Error("the urgent task has not started 800 ms after it was submitted; the stop took 600 ms")
		}
	})
}

func TestFillingTasksAreThrottledBesideServingTasks(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		serving := tasks(1, 2, time.Second)
		serving.LongRunning, serving.TargetMs = true, 100
		requireOK(c, c.submit(1, 0, "i0", serving))
		time.Sleep(2 * time.Second)
		filling := tasks(2, 1, time.Minute)
		filling.Fills = true
		requireOK(c, c.submit(2, 2, "i0", filling))
		time.Sleep(3500 * time.Millisecond)
		if load := c.workers.WorstTailLatencyMs("w00"); load > 100 {
			t.Errorf("the tail latency is %v ms, want at most the target of 100 ms", load)
		}
	})
}

// selectiveAdvisor gives tickets for the workers w02 and w03 that are valid for two seconds. It rejects concurrent calls.
type selectiveAdvisor struct {
	mu sync.Mutex
	// calls is the number of answered calls, and inProgress the number of calls in progress.
	calls      int
	inProgress int
	// validUntil is the end of each ticket's validity.
	validUntil map[string]time.Time
}

func (a *selectiveAdvisor) Advise(_ context.Context, step string, workers []string) (worker.Advice, error) {
	a.mu.Lock()
	a.inProgress++
	concurrent := a.inProgress
	a.mu.Unlock()
	time.Sleep(50*time.Millisecond + time.Duration(len(workers))*10*time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress--
	a.calls++
	if concurrent > 1 {
		return worker.Advice{}, worker.ErrBusy
	}
	advice := worker.Advice{Tickets: map[string]string{}, ValidFor: 2 * time.Second}
	for _, id := range workers {
		if id == "w02" || id == "w03" {
			ticket := step + "@" + id
			advice.Tickets[id] = ticket
			a.validUntil[ticket] = time.Now().Add(advice.ValidFor)
		}
	}
	return advice, nil
}

// valid reports whether a start order has a valid ticket for the worker with the id.
func (a *selectiveAdvisor) valid(order worker.Start, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	task, err := replica.ParseTask(order.Task)
	return err == nil && time.Now().Before(a.validUntil[order.Ticket]) && order.Ticket == task.Job+".0.0@"+id
}

func TestAdvisedStepsStartOnlyWithTickets(t *testing.T) {
	advisor := &selectiveAdvisor{validUntil: map[string]time.Time{}}
	runWithAdvisor(t, 1, 4, advisor, func(c *cluster) {
		c.workers.TicketValid = advisor.valid
		for n := range 4 {
			requireOK(c, c.submit(n, 1, "i0", tasks(6, 4, 1500*time.Millisecond)))
		}
		for n := range 4 {
			c.await(n, 1, replica.Completed, 30*time.Second)
		}
	})
	if advisor.calls > 40 {
		t.Errorf("%d calls to the advisor for 4 steps, want at most 40", advisor.calls)
	}
}
