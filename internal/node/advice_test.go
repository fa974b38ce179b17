package node_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// policyAdvisor gives tickets for the workers that its policy allows, and counts how often it was asked about each worker by step.
type policyAdvisor struct {
	allowed  func(worker string) bool
	callTime time.Duration
	mu       sync.Mutex
	asked    map[string]int
}

func newPolicyAdvisor(callTime time.Duration, allowed func(worker string) bool) *policyAdvisor {
	return &policyAdvisor{allowed: allowed, callTime: callTime, asked: map[string]int{}}
}

func (a *policyAdvisor) Advise(_ context.Context, step string, workers []string) (worker.Advice, error) {
	time.Sleep(a.callTime)
	a.mu.Lock()
	defer a.mu.Unlock()
	advice := worker.Advice{Tickets: map[string]string{}, ValidFor: 2 * time.Second}
	for _, id := range workers {
		a.asked[step+"@"+id]++
		if a.allowed(id) {
			advice.Tickets[id] = step + "@" + id
		}
	}
	return advice, nil
}

// isHigh reports whether the number of a worker is at least 42.
func isHigh(id string) bool {
	number, err := strconv.Atoi(strings.TrimPrefix(id, "w"))
	return err == nil && number >= 42
}

// Guards against a job with advice that fits no worker, or waits for room, and keeps the advisor from being asked about the jobs
// after it.
func TestStepWithoutCandidatesHoldsUpNoAdvice(t *testing.T) {
	for name, first := range map[string]*storev1.Step{
		"task larger than any worker": tasks(1, 16, time.Second),
		"gang larger than all":        gang(5, 8, time.Second),
		"label that no worker has":    labelled(tasks(1, 1, time.Second), "none"),
		"task that waits for room":    tasks(1, 8, time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			advisor := newPolicyAdvisor(60*time.Millisecond, func(string) bool { return true })
			runWithAdvisor(t, 1, 4, advisor, func(c *cluster) {
				requireOK(c, c.submit(0, 2, "i0", tasks(4, 1, time.Minute)))
				time.Sleep(time.Second)
				requireOK(c, c.submit(1, 1, "i0", first))
				for n := 2; n < 10; n++ {
					requireOK(c, c.submit(n, 1, "i0", tasks(1, 1, time.Second)))
				}
				for n := 2; n < 10; n++ {
					c.await(n, 1, replica.Completed, 5*time.Second)
				}
			})
		})
	}
}

// labelled returns the step with a label that its workers need.
func labelled(step *storev1.Step, label string) *storev1.Step {
	step.RequiredLabel = label
	return step
}

// Guards against an advisor that is asked about the same workers for ever while only others may run the step.
func TestAdvisorIsAskedAboutAllWorkers(t *testing.T) {
	advisor := newPolicyAdvisor(60*time.Millisecond, isHigh)
	runWithAdvisor(t, 1, 48, advisor, func(c *cluster) {
		requireOK(c, c.submit(0, 1, "i0", tasks(1, 1, time.Second)))
		c.await(0, 1, replica.Completed, 4*time.Second)
	})
	for question, count := range advisor.asked {
		if count > 1 {
			t.Errorf("the advisor was asked %d times about %s, want once", count, question)
		}
	}
}

// Guards against a gang of more members than workers are asked about at a time, which never got tickets for all of them.
func TestWideGangGetsTickets(t *testing.T) {
	advisor := newPolicyAdvisor(60*time.Millisecond, func(string) bool { return true })
	runWithAdvisor(t, 1, 48, advisor, func(c *cluster) {
		requireOK(c, c.submit(0, 1, "i0", gang(40, 8, time.Second)))
		c.await(0, 1, replica.Completed, 6*time.Second)
	})
}

// Guards against a step with advice that starves while newer ones keep the advisor busy.
func TestAdviceReachesEachStep(t *testing.T) {
	const perCall = 400 * time.Millisecond
	advisor := newPolicyAdvisor(perCall, isHigh)
	runWithAdvisor(t, 1, 48, advisor, func(c *cluster) {
		requireOK(c, c.submit(0, 1, "i0", tasks(1, 1, time.Second)))
		for n := 1; n < 40; n++ {
			requireOK(c, c.submit(n, 1, "i0", tasks(1, 1, time.Second)))
			time.Sleep(perCall / 2)
		}
		if state := c.state(0, 1, "i0"); state != replica.Completed {
			t.Errorf("the first job is in state %v after %d newer ones came", state, 39)
		}
	})
}

// Guards against a job within its account's guarantee that gets no tickets because all workers are full, so that it preempts nothing.
func TestUrgentStepGetsTicketsForFullWorkers(t *testing.T) {
	advisor := newPolicyAdvisor(60*time.Millisecond, func(string) bool { return true })
	runCluster(t, make([]float64, 1), 2, &cluster{advisor: advisor, urgentAdvice: true}, func(c *cluster) {
		requireOK(c, c.submit(0, 2, "i0", tasks(2, 8, time.Minute)))
		time.Sleep(2 * time.Second)
		requireOK(c, c.submit(1, 0, "i0", tasks(1, 8, time.Second)))
		c.await(1, 0, replica.Completed, 5*time.Second)
	})
}
