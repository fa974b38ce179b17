package node_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// maxCrashStarts is how often a task that crashes its workers may start: twice after three workers have crashed.
const maxCrashStarts = 5

// atOnce is how long after its start a task crashes its worker.
const atOnce = 10 * time.Millisecond

// crashJobs makes the tasks of the jobs crash their workers some time after their start. The workers return under their ids, or
// under new ones.
func (c *cluster) crashJobs(after time.Duration, newIDs bool, jobs ...int) {
	crashing := func(task string) bool {
		for _, n := range jobs {
			if strings.HasPrefix(task, id(n)) {
				return true
			}
		}
		return false
	}
	if !newIDs {
		c.workers.CrashTasks(crashing, after, nil)
		return
	}
	c.workers.CrashTasks(crashing, after, func(old, id string) {
		c.registry.Put(old, nil)
		c.registry.Put(id, []byte(id))
	})
}

// checkCrashStarts checks that no task of a crashing job has started too often, and returns the number of all their starts.
func (c *cluster) checkCrashStarts(jobs ...int) (total int) {
	c.t.Helper()
	for _, task := range c.workers.StartedTasks() {
		for _, n := range jobs {
			if starts := c.workers.StartCount(task); strings.HasPrefix(task, id(n)) {
				total += starts
				if starts > maxCrashStarts {
					c.t.Errorf("%s crashed its worker %d times, want at most %d", task, starts, maxCrashStarts)
				}
			}
		}
	}
	return total
}

// longRunning returns a step of count tasks without an end.
func longRunning(count, accelerators uint32) *storev1.Step {
	step := tasks(count, accelerators, time.Second)
	step.LongRunning = true
	return step
}

// A task that crashes every worker that starts it was started again and again, until it had crashed them all many times.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		newIDs bool
		after  time.Duration
		step   *storev1.Step
	}{
		"tasks":                  {step: tasks(6, 1, 4*time.Second), after: atOnce},
		"tasks, new incarnation": {step: tasks(6, 1, 4*time.Second), after: atOnce, newIDs: true},
		"tasks, late":            {step: tasks(6, 1, 9*time.Second), after: 3 * time.Second, newIDs: true},
		"whole workers":          {step: tasks(2, 8, 4*time.Second), after: atOnce, newIDs: true},
		"gang":                   {step: gang(4, 4, 4*time.Second), after: atOnce, newIDs: true},
		"long-running":           {step: longRunning(2, 4), after: atOnce, newIDs: true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 2, 8, func(c *cluster) {
				c.crashJobs(test.after, test.newIDs, 1)
				if answer := c.submit(1, 2, "i0", test.step); answer.Result != gateway.OK {
					t.Fatal(answer)
				}
				c.await(1, 2, replica.Failed, 45*time.Second)
				time.Sleep(30 * time.Second)
				c.checkCrashStarts(1)
			})
		})
	}
}

// The number of workers that crashed under a task must survive the owner.
func TestCrashesCountAcrossTakeovers(t *testing.T) {
	run(t, 3, 8, func(c *cluster) {
		c.crashJobs(atOnce, true, 1)
		if answer := c.submit(1, 2, "i0", tasks(2, 8, 4*time.Second)); answer.Result != gateway.OK {
			t.Fatal(answer)
		}
		for range 3 {
			time.Sleep(2 * time.Second)
			killed := c.owner()
			c.kill(killed)
			time.Sleep(4 * time.Second)
			c.startNode(killed)
			time.Sleep(time.Second)
		}
		c.await(1, 2, replica.Failed, 60*time.Second)
		c.checkCrashStarts(1)
	})
}

// startsUntilGivenUp returns how often a task that crashes its workers starts until it is given up. Once it has started as often as given,
// lose is called a time later.
func startsUntilGivenUp(t *testing.T, newIDs bool, starts int, later time.Duration, lose func(c *cluster)) (total int) {
	t.Helper()
	runCluster(t, make([]float64, 3), 32, &cluster{maxLease: longLease}, func(c *cluster) {
		requireOK(c, c.submit(0, 2, "i0", tasks(28, 8, 5*time.Minute)))
		time.Sleep(15 * time.Second)
		c.crashJobs(atOnce, newIDs, 1)
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, time.Minute)))
		for c.workers.StartCount(firstTask(1)) < starts {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(later)
		lose(c)
		c.await(1, 2, replica.Failed, time.Minute)
		total = c.workers.StartCount(firstTask(1))
	})
	return total
}

// condemningLosses is the number of losses in a calm time after which a task is given up.
const condemningLosses = 3

// Guards against a task that crashes its workers and starts once more after its owner has given it up: the store refused that owner, and the
// next one didn't know of the last loss.
func TestLossesNoticedByRefusedOwnerCount(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		for later := 500 * time.Millisecond; later <= 3*time.Second; later += 500 * time.Millisecond {
			starts := startsUntilGivenUp(t, newIDs, condemningLosses, later, func(c *cluster) {
				refused := c.owner()
				c.setDown(refused, true)
				time.Sleep(20 * time.Second)
				c.setDown(refused, false)
			})
			if starts != condemningLosses {
				t.Errorf("new ids %v, refused after %v: the task has started %d times, want %d", newIDs, later, starts, condemningLosses)
			}
		}
	}
}

// Guards against a task that crashes its workers and starts more often because its owner was lost after it had counted a loss: that was
// recorded only with the end of the run.
func TestLossesUnderOpenRunsCount(t *testing.T) {
	for later := 3 * time.Second; later < 4*time.Second; later += 200 * time.Millisecond {
		starts := startsUntilGivenUp(t, false, condemningLosses-1, later, (*cluster).replaceOwner)
		if starts != condemningLosses {
			t.Errorf("owner lost after %v: the task has started %d times, want %d", later, starts, condemningLosses)
		}
	}
}

// Tasks that merely share a worker with one that crashes it must not be given up, and have to complete.
func TestTasksBesideCrashingOnesComplete(t *testing.T) {
	run(t, 2, 8, func(c *cluster) {
		var crashing []int
		const jobs = 40
		for n := range jobs {
			if n%5 == 0 {
				crashing = append(crashing, n)
			}
		}
		c.crashJobs(atOnce, true, crashing...)
		for n := range jobs {
			step := tasks(2, 1, 4*time.Second)
			if n%4 == 1 {
				step = gang(3, 2, 2*time.Second)
			}
			if answer := c.submit(n, 2, "i0", step); answer.Result != gateway.OK {
				t.Fatal(answer)
			}
			time.Sleep(500 * time.Millisecond)
		}
		for n := range jobs {
			want := replica.Completed
			if n%5 == 0 {
				want = replica.Failed
			}
			c.await(n, 2, want, 90*time.Second)
		}
		c.checkCrashStarts(crashing...)
	})
}

// Workers that crash for a reason of their own must not fail the jobs on them.
func TestCrashesOfWorkersDoNotFailJobs(t *testing.T) {
	run(t, 2, 6, func(c *cluster) {
		const jobs = 6
		for n := range jobs {
			step := tasks(2, 2, 7*time.Second)
			if n%3 == 0 {
				step = tasks(1, 8, 7*time.Second)
			}
			if answer := c.submit(n, 2, "i0", step); answer.Result != gateway.OK {
				t.Fatal(answer)
			}
		}
		for range 3 {
			time.Sleep(6 * time.Second)
			for _, id := range []string{"w00", "w02", "w04"} {
				c.workers.Crash(id)
			}
		}
		for n := range jobs {
			c.await(n, 2, replica.Completed, 30*time.Second)
		}
	})
}

// A gang that lost a worker four times was given up, although each crash hit another of its tasks.
func TestGangThatLosesOtherMembersCompletes(t *testing.T) {
	const members = 6
	run(t, 2, 10, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", gang(members, 8, 8*time.Second)))
		for n := range members {
			task := id(1) + ".0.0." + strconv.Itoa(n)
			for deadline := time.Now().Add(30 * time.Second); c.workers.WorkerOf(task) == "" && time.Now().Before(deadline); {
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			if worker := c.workers.WorkerOf(task); worker != "" {
				c.workers.Crash(worker)
				time.Sleep(5 * time.Second) // until the worker is back and the other members have been stopped
			} else {
				t.Errorf("%s does not run after %d crashes", task, n)
			}
		}
		c.await(1, 2, replica.Completed, 30*time.Second)
	})
}

// A worker that crashed before its last report was acknowledged was asked ten times a second, for good, whether it is back.
func TestReplacedWorkerIsNotPolled(t *testing.T) {
	run(t, 1, 2, func(c *cluster) {
		c.crashJobs(atOnce, true)
		if answer := c.submit(1, 2, "i0", tasks(2, 8, time.Second)); answer.Result != gateway.OK {
			t.Fatal(answer)
		}
		time.Sleep(500 * time.Millisecond)
		c.inject(func(_, call string) mock.Fault {
			if call == "append" {
				return mock.Refuse
			}
			return mock.None
		})
		time.Sleep(time.Second)
		for _, id := range []string{"w00", "w01"} {
			c.workers.Crash(id)
		}
		time.Sleep(time.Second)
		c.inject(nil)
		time.Sleep(20 * time.Second)
		before := c.workers.MisdirectedCalls("w00") + c.workers.MisdirectedCalls("w01")
		time.Sleep(10 * time.Second)
		if after := c.workers.MisdirectedCalls("w00") + c.workers.MisdirectedCalls("w01"); after > before {
			t.Errorf("%d calls in 10 s for workers that were replaced 20 s ago", after-before)
		}
	})
}

// Guards against tasks of two jobs that crash their workers and are started again and again: on a fleet without an empty worker one plan
// started both on the same worker, and neither showed that it was the cause.
func TestTasksThatCrashWorkersTogetherAreGivenUp(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		t.Run(fmt.Sprintf("new ids %v", newIDs), func(t *testing.T) {
			run(t, 2, 6, func(c *cluster) {
				c.crashJobs(atOnce, newIDs, 1, 2)
				requireOK(c, c.submit(0, 2, "i0", longRunning(6, 6)))
				time.Sleep(12 * time.Second)
				requireOK(c, c.submit(1, 2, "i0", tasks(1, 1, 20*time.Second)))
				requireOK(c, c.submit(2, 2, "i0", tasks(1, 1, 20*time.Second)))
				c.await(1, 2, replica.Failed, 2*time.Minute)
				c.await(2, 2, replica.Failed, 2*time.Minute)
				c.checkCrashStarts(1, 2)
			})
		})
	}
}

// Guards against a task that crashes its workers and starts again and again because other tasks start beside it each time, on a fleet
// without an empty worker: neither they nor it showed that it was the cause.
func TestCrashingTaskBesideStartsIsGivenUp(t *testing.T) {
	run(t, 2, 6, func(c *cluster) {
		const crashing, others, interval = 1, 100, 300 * time.Millisecond
		c.crashJobs(atOnce, true, crashing)
		requireOK(c, c.submit(0, 2, "i0", longRunning(6, 6)))
		time.Sleep(12 * time.Second)
		requireOK(c, c.submit(crashing, 2, "i0", tasks(1, 1, 20*time.Second)))
		for n := range others {
			requireOK(c, c.submit(crashing+1+n, 2, "i0", tasks(1, 1, time.Second)))
			time.Sleep(interval)
		}
		c.await(crashing, 2, replica.Failed, time.Minute)
		c.checkCrashStarts(crashing)
	})
}
