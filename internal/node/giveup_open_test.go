package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a job that is given up because workers crashed under it together with others that had no tasks.
func TestCrashesBesideIdleWorkersDoNotFailJobs(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		t.Run(map[bool]string{false: "same ids", true: "new ids"}[newIDs], func(t *testing.T) {
			run(t, 2, noisyFleet, func(c *cluster) {
				all := newFleet(c, noisyFleet, newIDs)
				requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 8*time.Second)))
				for range crashRounds {
					worker := c.awaitTask(firstTask(1), 30*time.Second)
					if worker == "" {
						return
					}
					time.Sleep(300 * time.Millisecond)
					crashed := 0
					for n := range noisyFleet {
						if id := all.id(n); id == worker || crashed < noisyFleet/3-1 {
							if id != worker {
								crashed++
							}
							all.crash(n)
						}
					}
					time.Sleep(time.Second)
				}
				c.await(1, 2, replica.Completed, 60*time.Second)
			})
		})
	}
}

// Guards against jobs that are given up because many workers, each with another job, crashed at once soon after they had started.
func TestCrashesOfManyStartingWorkersDoNotFailJobs(t *testing.T) {
	const jobs, workers = 8, 24
	for _, newIDs := range []bool{false, true} {
		t.Run(map[bool]string{false: "same ids", true: "new ids"}[newIDs], func(t *testing.T) {
			run(t, 2, workers, func(c *cluster) {
				all := newFleet(c, workers, newIDs)
				for n := range jobs {
					requireOK(c, c.submit(n, 2, "i0", tasks(1, 8, 8*time.Second)))
				}
				for range 3 {
					on := map[string]bool{}
					for n := range jobs {
						on[c.awaitTask(firstTask(n), 30*time.Second)] = true
					}
					time.Sleep(300 * time.Millisecond)
					for n := range workers {
						if on[all.id(n)] {
							all.crash(n)
						}
					}
					time.Sleep(time.Second)
				}
				c.awaitCompleted(jobs, 2*time.Minute)
			})
		})
	}
}

// Guards against a job that fills the fleet and is given up because a third of the workers crash at once again and again.
func TestCrashesOfManyWorkersDoNotFailJobThatFillsFleet(t *testing.T) {
	for _, newIDs := range []bool{false, true} {
		t.Run(map[bool]string{false: "same ids", true: "new ids"}[newIDs], func(t *testing.T) {
			run(t, 2, noisyFleet, func(c *cluster) {
				all := newFleet(c, noisyFleet, newIDs)
				requireOK(c, c.submit(1, 2, "i0", longRunning(noisyFleet, 8)))
				time.Sleep(3 * time.Second)
				for round := range 30 {
					for n := range noisyFleet / 3 {
						all.crash((n*5 + round*7) % noisyFleet)
					}
					time.Sleep(6 * time.Second)
					if c.state(1, 2, "i0") == replica.Failed {
						t.Errorf("given up after %d bursts", round+1)
						return
					}
				}
			})
		})
	}
}

// Guards against a task that crashes its workers, each after another time, and is started again and again.
func TestTaskThatCrashesWorkersAtDifferentAgesIsGivenUp(t *testing.T) {
	run(t, 2, 8, func(c *cluster) {
		requireOK(c, c.submit(0, 2, "i0", longRunning(4, 8)))
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 20*time.Second)))
		ages := []time.Duration{2 * time.Second, 3 * time.Second, 2200 * time.Millisecond, 3400 * time.Millisecond, 2500 * time.Millisecond, 3300 * time.Millisecond, 2 * time.Second, 3 * time.Second}
		for _, age := range ages {
			worker := ""
			for deadline := time.Now().Add(40 * time.Second); worker == "" && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
				worker = c.workers.WorkerOf(firstTask(1))
			}
			if worker == "" {
				break
			}
			time.Sleep(age)
			c.workers.Crash(worker)
			time.Sleep(time.Second)
		}
		if starts := c.workers.StartCount(firstTask(1)); starts > maxCrashStarts {
			t.Errorf("crashed its worker %d times, want at most %d", starts, maxCrashStarts)
		}
		c.await(1, 2, replica.Failed, time.Minute)
	})
}
