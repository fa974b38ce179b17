package node_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// mustSubmit hands a job in that has to be accepted.
func mustSubmit(c *cluster, answer gateway.Answer) {
	c.t.Helper()
	if answer.Result != gateway.OK {
		c.t.Fatal(answer)
	}
}

// runsOn returns the workers that run something.
func runsOn(c *cluster) []string {
	var ids []string
	for _, entry := range c.workers.Entries() {
		if c.workers.Runs(entry.ID) > 0 {
			ids = append(ids, entry.ID)
		}
	}
	return ids
}

// Members of a gang that are done wait for the others, so only the one that stands still tells.
func TestGangLeavesAWorkerThatStandsStill(t *testing.T) {
	run(t, 1, 4, func(c *cluster) {
		c.workers.Hang("w01")
		mustSubmit(c, c.submit(1, 2, "i0", gangOf(6, 4, time.Second)))
		c.await(1, 2, replica.Completed, 12*time.Second)
	})
}

func TestWorkOfALeavingWorkerIsSaved(t *testing.T) {
	run(t, 1, 2, func(c *cluster) {
		step := tasks(1, 8, 10*time.Second)
		step.Checkpointing = true
		mustSubmit(c, c.submit(1, 2, "i0", step))
		time.Sleep(3 * time.Second)
		leaving := runsOn(c)[0]
		c.registry.Put(leaving, []byte(leaving+" leaves in 3s"))
		time.Sleep(3200 * time.Millisecond)
		if c.workers.Runs(leaving) != 0 {
			t.Error("the task is still on the worker when it may leave")
		}
		c.workers.Silence(leaving, true)
		c.await(1, 2, replica.Completed, 7*time.Second)
	})
}

func TestLastingTasksRunUntilCancelled(t *testing.T) {
	run(t, 2, 3, func(c *cluster) {
		step := tasks(2, 4, time.Second)
		step.LongRunning = true
		mustSubmit(c, c.submit(1, 2, c.any(), step))
		time.Sleep(5 * time.Second)
		c.workers.FailAll(runsOn(c)[0])
		time.Sleep(10 * time.Second)
		c.kill(c.owner())
		time.Sleep(10 * time.Second)
		if state := c.state(1, 2, c.any()); state != replica.Running {
			t.Errorf("the job is in state %d, want running", state)
		}
		running := 0
		for _, entry := range c.workers.Entries() {
			running += c.workers.Runs(entry.ID)
		}
		if running != 2 {
			t.Errorf("%d tasks run, want 2", running)
		}
		admitted, gate := c.call(1, 2, c.any())
		mustSubmit(c, gate.Cancel(context.Background(), admitted))
		c.await(1, 2, replica.Cancelled, 5*time.Second)
	})
}

// No more tasks of a lasting step are stopped than may be away.
func TestLastingTasksStayBeyondTheirBound(t *testing.T) {
	for _, bound := range []uint32{0, 1} {
		run(t, 1, 2, func(c *cluster) {
			step := tasks(2, 8, time.Second)
			step.LongRunning, step.MayMiss = true, bound
			mustSubmit(c, c.submit(1, 2, "i0", step))
			time.Sleep(4 * time.Second)
			mustSubmit(c, c.submit(2, 0, "i0", gangOf(2, 5, 2*time.Second)))
			mustSubmit(c, c.submit(3, 0, "i0", gangOf(1, 6, 2*time.Second)))
			time.Sleep(time.Second)
			starts := c.workers.Starts(id(3) + ".0.0.0")
			if starts != int(bound) {
				t.Errorf("with %d allowed to be away the urgent task started %d times", bound, starts)
			}
			if c.workers.Starts(id(2)+".0.0.0") != 0 {
				t.Error("both tasks were stopped for the gang")
			}
		})
	}
}

func TestFillingTasksSlowDownBesideOnesThatServe(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		serving := tasks(1, 2, time.Second)
		serving.LongRunning, serving.TargetMs = true, 100
		mustSubmit(c, c.submit(1, 0, "i0", serving))
		time.Sleep(2 * time.Second)
		filling := tasks(2, 1, time.Minute)
		filling.Fills = true
		mustSubmit(c, c.submit(2, 2, "i0", filling))
		time.Sleep(3500 * time.Millisecond)
		if load := c.workers.Load("w00"); load > 100 {
			t.Errorf("the tail latency is %v ms with a target of 100 ms", load)
		}
	})
}

// pickyAdvisor allows two workers, for two seconds, and serves one call at a time.
type pickyAdvisor struct {
	mu      sync.Mutex
	calls   int
	waiting int
	until   map[string]time.Time
}

func (a *pickyAdvisor) Advise(_ context.Context, step string, workers []string) (worker.Advice, error) {
	a.mu.Lock()
	a.waiting++
	together := a.waiting
	a.mu.Unlock()
	time.Sleep(50*time.Millisecond + time.Duration(len(workers))*10*time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.calls++
	if together > 1 {
		return worker.Advice{}, worker.ErrBusy
	}
	advice := worker.Advice{Tickets: map[string]string{}, ValidFor: 2 * time.Second}
	for _, id := range workers {
		if id == "w02" || id == "w03" {
			value := step + "@" + id
			advice.Tickets[id] = value
			a.until[value] = time.Now().Add(advice.ValidFor)
		}
	}
	return advice, nil
}

// valid tells whether a start carries a ticket that holds.
func (a *pickyAdvisor) valid(order worker.Start, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	task, err := replica.ParseTask(order.Task)
	return err == nil && time.Now().Before(a.until[order.Ticket]) && order.Ticket == task.Job+".0.0@"+id
}

func TestAdvisedStepsStartWithTicketsOnly(t *testing.T) {
	advisor := &pickyAdvisor{until: map[string]time.Time{}}
	runAdvised(t, 1, 4, advisor, func(c *cluster) {
		c.workers.Ticket = advisor.valid
		for n := range 4 {
			mustSubmit(c, c.submit(n, 1, "i0", tasks(6, 4, 1500*time.Millisecond)))
		}
		for n := range 4 {
			c.await(n, 1, replica.Completed, 30*time.Second)
		}
	})
	if advisor.calls > 40 {
		t.Errorf("%d calls for advice on 4 steps", advisor.calls)
	}
}
