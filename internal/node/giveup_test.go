package node_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const (
	// crashRounds is how often a sound task loses its worker: more often than any count of crashes at which a job may be given up.
	crashRounds = 5
	// noisyFleet is the number of workers of which some go down and up all the time.
	noisyFleet = 24
	// entryLapse is how long after a crash a worker's entry leaves the registry.
	entryLapse = 4 * time.Second
	// heartbeat is how long after its start a worker writes its entry.
	heartbeat = time.Second
	// longTask is so long that a task on a silent worker does not count as stalled before the worker's lease has expired.
	longTask = 150 * time.Second
)

// firstTask is the name of the first task of the n-th job.
func firstTask(n int) string { return id(n) + ".0.0.0" }

// awaitTask waits until a task runs and returns its worker. After the limit it reports an error and returns the empty string; the
// goroutines of the cluster must end before the test does.
func (c *cluster) awaitTask(task string, limit time.Duration) string {
	c.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		if worker := c.workers.WorkerOf(task); worker != "" {
			return worker
		}
		time.Sleep(10 * time.Millisecond)
	}
	number, _ := strconv.ParseInt(task[:16], 16, 64)
	c.t.Errorf("%s does not run within %v after %d starts: its job is in state %d, failed is %d", task, limit,
		c.workers.StartCount(task), c.state(int(number), 2, c.runningInstance()), replica.Failed)
	return ""
}

// fleet crashes workers and keeps track of the ids under which they return.
type fleet struct {
	c *cluster
	// newIDs makes workers return under new ids.
	newIDs bool
	// ids are the workers' present ids.
	ids []string
}

func newFleet(c *cluster, workers int, newIDs bool) *fleet {
	f := &fleet{c: c, newIDs: newIDs}
	for i := range workers {
		f.ids = append(f.ids, fmt.Sprintf("w%02d", i))
	}
	return f
}

// id returns the present id of the n-th worker.
func (f *fleet) id(n int) string {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	return f.ids[n%len(f.ids)]
}

// crash makes the n-th worker crash; it does nothing if the worker is down.
func (f *fleet) crash(n int) {
	if !f.newIDs {
		id := f.id(n)
		f.c.workers.CrashAs(id, nil)
		// Each incarnation writes its entry, also if it is the same as before.
		time.AfterFunc(f.c.workers.CrashDuration+heartbeat, func() { f.c.registry.Put(id, []byte(id)) })
		return
	}
	f.c.workers.CrashAs(f.id(n), func(old, id string) {
		f.c.mu.Lock()
		f.ids[n%len(f.ids)] = id
		f.c.mu.Unlock()
		f.c.registry.Put(old, nil)
		f.c.registry.Put(id, []byte(id))
	})
}

// crashByTurns crashes random workers for a time, so many that a quarter of the fleet is down on average; every twentieth time, a third
// of the fleet crashes at once.
func (f *fleet) crashByTurns(seed uint64, duration time.Duration) {
	const burstInterval = 20
	interval := 4 * f.c.workers.CrashDuration / time.Duration(len(f.ids))
	random := rand.New(rand.NewPCG(seed, 0))
	for n := range int(duration / interval) {
		crashes := 1
		if n%burstInterval == burstInterval-1 {
			crashes = len(f.ids) / 3
		}
		for range crashes {
			f.crash(random.IntN(len(f.ids)))
		}
		time.Sleep(interval)
	}
}

// lapseEntries takes workers that are down from the registry some time after their crash, and lists them again once they are back, until
// stop is closed.
func (c *cluster) lapseEntries(after time.Duration, stop <-chan struct{}) {
	const interval = 100 * time.Millisecond
	lapsed := map[string]bool{}
	for {
		for _, entry := range c.workers.Entries() {
			down := c.workers.DownFor(entry.ID)
			switch {
			case down > after && !lapsed[entry.ID]:
				c.registry.Put(entry.ID, nil)
				lapsed[entry.ID] = true
			case down == 0 && lapsed[entry.ID]:
				c.registry.Put(entry.ID, []byte(entry.ID))
				delete(lapsed, entry.ID)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
	}
}

// Guards against a job that is given up because workers were replaced before they had its task: each start order was refused by
// another incarnation, and no worker ever ran the task.
func TestRefusedStartsAreNoCrashes(t *testing.T) {
	const workers = 8
	run(t, 2, workers, func(c *cluster) {
		var next []string
		for n := range workers {
			next = append(next, c.workers.Replace(fmt.Sprintf("w%02d", n)))
		}
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 2*time.Second)))
		time.Sleep(4 * time.Second)
		for n, id := range next {
			c.registry.Put(fmt.Sprintf("w%02d", n), nil)
			c.registry.Put(id, []byte(id))
		}
		c.await(1, 2, replica.Completed, 30*time.Second)
	})
}

// Guards against a job that is given up because the workers that it was to start on were already down: no order was answered, and
// no worker ever ran the task.
func TestStartsOnDownWorkersAreNoCrashes(t *testing.T) {
	for name, newIDs := range map[string]bool{"same ids": false, "new ids": true} {
		t.Run(name, func(t *testing.T) {
			const workers, checks, checkInterval = 8, 3000, 10 * time.Millisecond
			run(t, 2, workers, func(c *cluster) {
				all := newFleet(c, workers, newIDs)
				time.AfterFunc(checkInterval/2, func() { requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 5*time.Second))) })
				for range checks {
					for n := range workers {
						if c.workers.RunCount(all.id(n)) == 0 {
							all.crash(n)
						}
					}
					time.Sleep(checkInterval)
				}
				c.await(1, 2, replica.Completed, 60*time.Second)
				t.Logf("the task has started %d times", c.workers.StartCount(firstTask(1)))
			})
		})
	}
}

// Guards against a job that is given up because workers crashed while they were stopping its task for a more urgent job.
func TestCrashesUnderPreemptedRunsDoNotFailJobs(t *testing.T) {
	run(t, 2, 2, func(c *cluster) {
		const victim, firstUrgent = 1, 10
		requireOK(c, c.submit(victim, 2, "i0", tasks(1, 8, 8*time.Second)))
		for n := range crashRounds {
			preempted := c.awaitTask(firstTask(victim), 30*time.Second)
			time.Sleep(2 * time.Second)
			requireOK(c, c.submit(firstUrgent+n, 0, "i0", tasks(2, 8, time.Second)))
			if !c.crashWhenStopping(preempted, firstTask(victim), 5*time.Second) {
				return
			}
			c.await(firstUrgent+n, 0, replica.Completed, 15*time.Second)
		}
		c.await(victim, 2, replica.Completed, 60*time.Second)
	})
}

// Guards against a job that is given up because workers crashed while they were stopping members of a gang that had lost another one.
func TestCrashesUnderBrokenGangsDoNotFailJobs(t *testing.T) {
	run(t, 2, 6, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", gang(2, 8, 15*time.Second)))
		for range crashRounds {
			first, second := c.awaitTask(firstTask(1), 30*time.Second), c.awaitTask(id(1)+".0.0.1", 30*time.Second)
			if first == "" || second == "" {
				return
			}
			time.Sleep(2 * time.Second)
			// A listed worker that can't be reached counts as lost, but not as crashed, once its lease has expired.
			c.workers.SetUnreachable(second, true)
			if !c.crashWhenStopping(first, firstTask(1), 15*time.Second) {
				return
			}
			c.workers.SetUnreachable(second, false)
			time.Sleep(5 * time.Second)
		}
		c.await(1, 2, replica.Completed, 60*time.Second)
	})
}

// crashWhenStopping crashes a worker as soon as it is stopping a task. After the limit it reports an error and returns false.
func (c *cluster) crashWhenStopping(worker, task string, limit time.Duration) bool {
	c.t.Helper()
	for deadline := time.Now().Add(limit); worker != "" && time.Now().Before(deadline); {
		if c.workers.Stopping(worker, task) {
			c.workers.Crash(worker)
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Errorf("%s isn't being stopped on worker %q within %v", task, worker, limit)
	return false
}

// Guards against a job that is given up because its task met crashes that it did not cause: each time that its worker crashes, seven
// others that never ran the task crash with it. The ages are those of the task when its worker crashes.
func TestCrashesOfManyWorkersDoNotFailJobs(t *testing.T) {
	for name, ages := range map[string][]time.Duration{
		"at once":                  {100 * time.Millisecond, 200 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond, 100 * time.Millisecond},
		"passed probation between": {300 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond, 1500 * time.Millisecond, 300 * time.Millisecond},
		"long":                     {4 * time.Second, 2500 * time.Millisecond, 6 * time.Second, 1500 * time.Millisecond, 5 * time.Second},
	} {
		for _, newIDs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new ids %v", name, newIDs), func(t *testing.T) {
				run(t, 2, noisyFleet, func(c *cluster) {
					all := newFleet(c, noisyFleet, newIDs)
					requireOK(c, c.submit(0, 2, "i0", longRunning(2*noisyFleet/3, 8)))
					time.Sleep(3 * time.Second)
					requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 8*time.Second)))
					others := 0
					for _, age := range ages {
						worker := c.awaitTask(firstTask(1), 30*time.Second)
						if worker == "" {
							return
						}
						time.Sleep(age)
						for crashed := 0; crashed < noisyFleet/3-1; others++ {
							if all.id(others) != worker {
								all.crash(others)
								crashed++
							}
						}
						for n := range noisyFleet {
							if all.id(n) == worker {
								all.crash(n)
							}
						}
						time.Sleep(time.Second)
					}
					c.await(1, 2, replica.Completed, 60*time.Second)
					if state := c.state(0, 2, "i0"); state == replica.Failed {
						t.Error("the long-running job was given up")
					}
				})
			})
		}
	}
}

// Guards against a job that is given up because its worker crashed together with others and the owner was lost before it had noticed them:
// the next owner must not take that owner's evidence as it is.
func TestCrashesOfManyWorkersBeforeTakeoversDoNotFailJobs(t *testing.T) {
	for _, noticed := range []time.Duration{700 * time.Millisecond, 1700 * time.Millisecond} {
		for _, newIDs := range []bool{false, true} {
			run(t, 3, noisyFleet, func(c *cluster) {
				all := newFleet(c, noisyFleet, newIDs)
				requireOK(c, c.submit(0, 2, "i0", longRunning(2*noisyFleet/3, 8)))
				time.Sleep(3 * time.Second)
				requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, 8*time.Second)))
				for round := range crashRounds {
					worker := c.awaitTask(firstTask(1), 40*time.Second)
					if worker == "" {
						return
					}
					time.Sleep(100 * time.Millisecond)
					for n := range noisyFleet {
						if all.id(n) == worker || n%3 == round%3 {
							all.crash(n)
						}
					}
					time.Sleep(noticed)
					c.replaceOwner()
				}
				c.await(1, 2, replica.Completed, 2*time.Minute)
			})
		}
	}
}

// Guards against jobs that are given up because the workers of their rack crash together again and again: each was lost under another job
// each time, so no loss was held against its address.
func TestCrashesOfOneRackDoNotFailJobs(t *testing.T) {
	const rackSize, rounds, period = 4, 4, 1400 * time.Millisecond
	for name, apart := range map[string]time.Duration{"at once": 0, "one after the other": 50 * time.Millisecond} {
		for _, newIDs := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, new ids %v", name, newIDs), func(t *testing.T) {
				run(t, 2, noisyFleet, func(c *cluster) {
					c.workers.CrashDuration = period / 2
					all := newFleet(c, noisyFleet, newIDs)
					for n := range rackSize {
						step := tasks(1, 8, 5*time.Second)
						step.RequiredLabel = "r5"
						requireOK(c, c.submit(n, 2, "i0", step))
					}
					requireOK(c, c.submit(rackSize, 2, "i0", longRunning(noisyFleet-rackSize, 8)))
					time.Sleep(300 * time.Millisecond)
					for range rounds {
						for n := range rackSize {
							time.AfterFunc(time.Duration(n)*apart, func() { all.crash(noisyFleet - 1 - n) })
						}
						time.Sleep(period)
					}
					c.awaitCompleted(rackSize, time.Minute)
				})
			})
		}
	}
}

// Guards against jobs that are given up on a fleet of which a quarter is down at any time, because crashes add up over their life.
func TestJobsOnNoisyFleetComplete(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			run(t, 2, noisyFleet, func(c *cluster) {
				const jobs = 30
				for n := range jobs {
					step := tasks(6, 8, 6*time.Second)
					if n%3 == 0 {
						step = gang(4, 8, 3*time.Second)
					}
					requireOK(c, c.submit(n, 2, "i0", step))
				}
				go newFleet(c, noisyFleet, seed%2 == 1).crashByTurns(seed, time.Minute)
				c.awaitCompleted(jobs, 4*time.Minute)
			})
		})
	}
}

// awaitCompleted waits until all jobs have ended and reports those that did not complete. Ends are forgotten after the retention.
func (c *cluster) awaitCompleted(jobs int, limit time.Duration) {
	c.t.Helper()
	ends := map[int]replica.State{}
	for deadline := time.Now().Add(limit); len(ends) < jobs && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for n := range jobs {
			if state := c.state(n, 2, c.runningInstance()); ends[n] == 0 && (state == replica.Completed || state == replica.Failed) {
				ends[n] = state
			}
		}
	}
	for n := range jobs {
		if ends[n] != replica.Completed {
			c.t.Errorf("job %d is in state %d, want %d; 0 if it has not ended", n, ends[n], replica.Completed)
		}
	}
}

// Guards against a task that crashes its workers and starts too often because other workers crash for reasons of their own. A worker
// that is down for 5 s has its tasks stopped as stalled before its next incarnation answers; after 10 s their lease has expired too.
func TestCrashingTasksOnNoisyFleetAreGivenUp(t *testing.T) { crashOnNoisyFleet(t, atOnce) }

// Guards against the same for a task that crashes its workers some time after its start.
func TestLateCrashingTasksOnNoisyFleetAreGivenUp(t *testing.T) { crashOnNoisyFleet(t, 3*time.Second) }

// crashOnNoisyFleet checks that a job whose tasks crash their workers some time after their start is given up, and soon enough.
func crashOnNoisyFleet(t *testing.T, after time.Duration) {
	t.Helper()
	for _, down := range []time.Duration{3 * time.Second, 5 * time.Second, 10 * time.Second} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("down %s, seed %d", down, seed), func(t *testing.T) {
				run(t, 2, noisyFleet, func(c *cluster) {
					newIDs := seed%2 == 1
					c.workers.CrashDuration = down
					c.crashJobs(after, newIDs, 1)
					requireOK(c, c.submit(0, 2, "i0", longRunning(noisyFleet/3, 8)))
					time.Sleep(3 * time.Second)
					requireOK(c, c.submit(1, 2, "i0", tasks(2, 8, 6*time.Second)))
					stop := make(chan struct{})
					defer close(stop)
					go c.lapseEntries(entryLapse, stop)
					go newFleet(c, noisyFleet, newIDs).crashByTurns(seed, time.Minute)
					c.await(1, 2, replica.Failed, 2*time.Minute)
					time.Sleep(30 * time.Second)
					t.Logf("%d starts of 2 tasks", c.checkCrashStarts(1))
				})
			})
		}
	}
}

// Guards against a job that is given up because its workers were silent and had left the registry, one after the other, before any
// of them answered again.
func TestWorkersSilentTogetherAreNoCrashes(t *testing.T) {
	const workers = 8
	run(t, 2, workers, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, longTask)))
		var silent []string
		for range crashRounds {
			worker := c.awaitTask(firstTask(1), 30*time.Second)
			if worker == "" {
				return
			}
			time.Sleep(2 * time.Second)
			c.workers.SetUnreachable(worker, true)
			c.registry.Put(worker, nil)
			silent = append(silent, worker)
			time.Sleep(lease + 2*time.Second)
		}
		for _, worker := range silent {
			c.workers.SetUnreachable(worker, false)
			c.registry.Put(worker, []byte(worker))
		}
		c.await(1, 2, replica.Completed, longTask+time.Minute)
	})
}

// Guards against crashes that stay counted because the owner changed between the silence of a worker and its next answer.
func TestSilencesAcrossTakeoversAreNoCrashes(t *testing.T) {
	run(t, 2, 8, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 8, longTask)))
		for range crashRounds {
			worker := c.awaitTask(firstTask(1), 30*time.Second)
			if worker == "" {
				return
			}
			time.Sleep(2 * time.Second)
			c.workers.SetUnreachable(worker, true)
			c.registry.Put(worker, nil)
			time.Sleep(lease)
			c.awaitTask(firstTask(1), 30*time.Second) // on another worker
			killed := c.owner()
			c.kill(killed)
			time.Sleep(maxTakeover)
			c.startNode(killed)
			c.workers.SetUnreachable(worker, false)
			c.registry.Put(worker, []byte(worker))
			time.Sleep(2 * time.Second)
		}
		c.await(1, 2, replica.Completed, longTask+time.Minute)
	})
}

// Guards against a job that is given up because the workers' time of day is ahead of the owners': after each takeover its run looked
// older than its worker's incarnation, although the worker reported that it runs the task. The run is then preempted, because a count
// reaches the store with the record of the next run.
func TestClockDifferencesAreNoCrashes(t *testing.T) {
	run(t, 2, 2, func(c *cluster) {
		c.workers.SetClocksAhead(10 * time.Minute)
		const victim, firstUrgent = 1, 10
		requireOK(c, c.submit(victim, 2, "i0", tasks(1, 8, 20*time.Second)))
		for n := range crashRounds {
			if c.awaitTask(firstTask(victim), 30*time.Second) == "" {
				return
			}
			time.Sleep(2 * time.Second)
			killed := c.owner()
			c.kill(killed)
			time.Sleep(maxTakeover)
			c.startNode(killed)
			time.Sleep(2 * time.Second)
			requireOK(c, c.submit(firstUrgent+n, 0, c.owner(), tasks(2, 8, time.Second)))
			c.await(firstUrgent+n, 0, replica.Completed, 15*time.Second)
		}
		c.await(victim, 2, replica.Completed, time.Minute)
	})
}
