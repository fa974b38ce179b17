package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// submitAs submits the n-th job with the key of an account and returns the answer.
func (c *cluster) submitAs(key string, n int, priority uint32, via string, steps ...*storev1.Step) gateway.Answer {
	c.t.Helper()
	gw := c.nodes[via].Gateway()
	admitted, answer := gw.Admit(gateway.Call{Host: "h", Path: fmt.Sprintf("/q%d/%s", priority, id(n)), Key: key})
	if answer.Result != gateway.OK {
		c.t.Fatalf("job %d is not admitted: %+v", n, answer)
	}
	job := &storev1.Job{Spec: "spec", Steps: steps}
	c.mu.Lock()
	c.jobs[id(n)] = job
	c.mu.Unlock()
	return gw.Submit(context.Background(), admitted, job)
}

// startPeak submits jobs of account acme through i0 until one is refused, and returns their number. Each has 16 tasks of one accelerator,
// which take 2 s.
func (c *cluster) startPeak() int {
	c.t.Helper()
	for n := range 400 {
		switch answer := c.submit(n, 2, "i0", tasks(16, 1, 2*time.Second)); {
		case answer.Result == gateway.TooBusy && answer.RetryAfter > 0:
			return n
		case answer.Result != gateway.OK:
			c.t.Fatalf("job %d: %+v", n, answer)
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Error("no job is refused")
	return 0
}

// Guards against refused jobs that are stored, accepted jobs that are refused or lost, and refusals that don't end with the peak.
func TestJobsThatWouldEndTooLateAreRefusedUntilThePeakIsOver(t *testing.T) {
	run(t, 3, 2, func(c *cluster) {
		accepted := c.startPeak()
		for _, via := range []string{"i0", "i1", "i2"} {
			time.Sleep(300 * time.Millisecond)
			if answer := c.submit(accepted, 2, via, tasks(16, 1, 2*time.Second)); answer.Result != gateway.TooBusy {
				t.Errorf("%s answers %+v, want TooBusy", via, answer)
			}
			if answer := c.submit(accepted-1, 2, via, tasks(16, 1, 2*time.Second)); answer.Result != gateway.OK {
				t.Errorf("%s refuses an accepted job: %+v", via, answer)
			}
			if answer := c.submit(1000, 0, via, tasks(8, 1, 2*time.Second)); answer.Result != gateway.OK {
				t.Errorf("%s refuses a job within its guarantee: %+v", via, answer)
			}
		}
		if state := c.state(accepted, 2, "i1"); state != replica.Unknown {
			t.Errorf("a refused job is in state %v", state)
		}
		c.await(1000, 0, replica.Completed, 10*time.Second)
		for n := range accepted {
			c.await(n, 2, replica.Completed, 15*time.Minute)
		}
		if answer := c.submit(accepted, 2, "i1", tasks(16, 1, 2*time.Second)); answer.Result != gateway.OK {
			t.Errorf("after the peak: %+v", answer)
		}
		c.await(accepted, 2, replica.Completed, 10*time.Second)
	})
}

// Guards against refusals by a forecast of an owner that is lost.
func TestNothingIsRefusedWithoutOwner(t *testing.T) {
	run(t, 3, 2, func(c *cluster) {
		accepted := c.startPeak()
		c.kill(c.owner())
		// Without reports of workers, the next owner sees no shortage.
		c.workers.DropPolls(true)
		// The others read the owner's last forecast at most 0.2 s later, and it counts for 3 s from then.
		time.Sleep(3300 * time.Millisecond)
		via := c.runningInstance()
		if answer := c.submit(accepted, 2, via, tasks(16, 1, 2*time.Second)); answer.Result != gateway.OK {
			t.Errorf("%+v without an owner, want that the job is accepted", answer)
		}
		c.workers.DropPolls(false)
	})
}

// Guards against an account that waits beside a steady stream of denser jobs of another account, which need half as much again as there is.
func TestAccountThatUsesLittleIsServedBesideAStreamOfAnother(t *testing.T) {
	run(t, 2, 2, func(c *cluster) {
		const stream, single = 333 * time.Millisecond, 1000
		for n := range 12 {
			c.submit(n, 2, "i0", tasks(4, 1, 2*time.Second))
			time.Sleep(stream)
		}
		if answer := c.submitAs("other key", single, 2, "i1", tasks(32, 1, 2*time.Second)); answer.Result != gateway.OK {
			t.Fatalf("%+v", answer)
		}
		gw := c.nodes["i0"].Gateway()
		admitted, _ := gw.Admit(gateway.Call{Host: "h", Path: "/q2/" + id(single), Key: "other key"})
		for n := range 40 {
			c.submit(100+n, 2, "i0", tasks(4, 1, 2*time.Second))
			time.Sleep(stream)
			if state, _ := gw.State(context.Background(), admitted); state == replica.Completed {
				return
			}
		}
		t.Error("the job, which takes 8 s on the account's half of the fleet, isn't completed within 13 s")
	})
}

// Guards against callers that all return at once after a refusal, that are refused for ever, or that are passed by later ones; and against
// forecasts that are recorded more than once a second.
func TestRefusedCallersReturnInOrderAfterAPeak(t *testing.T) {
	run(t, 3, 2, func(c *cluster) {
		const callers = 30
		step := tasks(16, 1, 2*time.Second)
		first := c.startPeak()
		start := time.Now()
		var mu sync.Mutex
		acceptedAt, callsPerSecond := make([]time.Duration, callers), map[time.Duration]int{}
		var group sync.WaitGroup
		for i := range callers {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				for attempt := 0; ; attempt++ {
					mu.Lock()
					if attempt > 0 {
						callsPerSecond[time.Since(start).Truncate(time.Second)]++
					}
					mu.Unlock()
					// Callers return to the instance that refused them, as clients with a connection do.
					answer := c.submit(first+i, 2, fmt.Sprint("i", i%3), step)
					if answer.Result != gateway.TooBusy {
						mu.Lock()
						acceptedAt[i] = time.Since(start)
						mu.Unlock()
						return
					}
					time.Sleep((answer.RetryAfter + time.Second - 1).Truncate(time.Second))
				}
			})
		}
		group.Wait()
		sums := [2]time.Duration{}
		for i, at := range acceptedAt {
			sums[i*2/callers] += at / (callers / 2)
			if at > 2*time.Minute {
				t.Errorf("caller %d is accepted after %v", i, at)
			}
		}
		if sums[0] >= sums[1] {
			t.Errorf("the earlier callers are accepted after %v on average, the later ones after %v", sums[0], sums[1])
		}
		for second, count := range callsPerSecond {
			if count > callers/2 {
				t.Errorf("%d of %d callers return within the second after %v", count, callers, second)
			}
		}
		records := 0
		for _, record := range c.store.Records() {
			if record.Key == "forecast" {
				records++
			}
		}
		if limit := int(time.Since(start).Seconds()) + 60; records == 0 || records > limit {
			t.Errorf("%d records of the forecast, want at most %d", records, limit)
		}
	})
}

// Guards against records of the forecast on a calm day.
func TestNoForecastWithoutShortage(t *testing.T) {
	run(t, 2, 2, func(c *cluster) {
		for n := range 5 {
			c.submit(n, 2, "i0", tasks(8, 1, time.Second))
			time.Sleep(time.Second)
		}
		for _, record := range c.store.Records() {
			if record.Key == "forecast" {
				t.Fatal("a forecast is recorded although all jobs find room")
			}
		}
	})
}

// Guards against a gang that never starts beside a stream of small tasks of a lower priority, which take each accelerator that becomes free.
func TestGangStartsBesideStreamOfSmallTasks(t *testing.T) {
	run(t, 2, 4, func(c *cluster) {
		const stream, single = 500 * time.Millisecond, 1000
		submit := func(n int) {
			// Half as much again as there is, in tasks that end at different times.
			c.submit(n, 2, "i0", tasks(10, 1, time.Duration(2000+100*(n%10))*time.Millisecond))
			time.Sleep(stream)
		}
		for n := range 16 {
			submit(n)
		}
		c.submit(single, 1, "i1", gang(4, 8, 2*time.Second))
		for n := range 30 {
			if submit(100 + n); c.state(single, 1, "i0") == replica.Completed {
				return
			}
		}
		t.Error("the gang of 2 s isn't completed after 15 s, while no other task takes longer than 2.9 s")
	})
}
