package node_test

import (
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// watchExpected replaces the owner by the instance name, whose plans set what it returns: the largest expected duration of a waiting unit of
// q2 in the latest plan.
func (c *cluster) watchExpected(name string) *atomic.Int64 {
	expected := &atomic.Int64{}
	c.planner = func(snapshot *assign.Snapshot) assign.Plan {
		longest := int64(0)
		for _, unit := range snapshot.Waiting {
			if unit.Priority == 2 {
				longest = max(longest, int64(unit.Expected))
			}
		}
		if longest > 0 {
			expected.Store(longest)
		}
		return assign.MakePlan(snapshot)
	}
	c.kill(c.owner())
	c.startNode(name)
	time.Sleep(15 * time.Second)
	c.owner()
	return expected
}

// wrongDuration is the duration of a task whose estimate is 2 s: four times as long in jobs of even numbers, and a quarter in the others. What is
// wrong with the estimates of all queues on average can't be told from the speeds of the workers.
func wrongDuration(task string) time.Duration {
	number, err := strconv.ParseInt(strings.Split(task, ".")[0], 16, 64)
	if err != nil || number%2 == 1 {
		return 500 * time.Millisecond
	}
	return 8 * time.Second
}

// finishJobs runs pairs of jobs of one task, whose estimate is 2 s, one after the other: one of queue q2 and one of q3.
func (c *cluster) finishJobs(first, count int) {
	for n := 2 * first; n < 2*(first+count); n++ {
		priority := uint32(2 + n%2)
		requireOK(c, c.submit(n, priority, c.runningInstance(), tasks(1, 1, 2*time.Second)))
		c.await(n, priority, replica.Completed, time.Minute)
	}
}

// Guards against an owner that plans with declared estimates although all runs so far took four times as long, and against one that does
// otherwise before any run has shown that.
func TestOwnerLearnsDurations(t *testing.T) {
	run(t, 1, 4, func(c *cluster) {
		c.workers.TaskDuration = wrongDuration
		expected := c.watchExpected("i1")
		c.finishJobs(0, 1)
		if got := time.Duration(expected.Load()); got != 2*time.Second {
			t.Errorf("without history the owner expects %v, want the estimate of 2 s", got)
		}
		c.finishJobs(1, 12)
		if got := time.Duration(expected.Load()); got < 6*time.Second || got > 9*time.Second {
			t.Errorf("after twelve runs of 8 s the owner expects %v", got)
		}
	})
}

// requireExpected fails the test if the expected duration isn't about the wanted one.
func requireExpected(t *testing.T, when string, expected *atomic.Int64, want time.Duration) {
	t.Helper()
	if got := time.Duration(expected.Load()); got < want*3/4 || got > want*5/4 {
		t.Errorf("%s the owner expects %v, want about %v", when, got, want)
	}
}

// Guards against a new owner that plans with declared estimates until it has learned what its predecessor knew.
func TestNextOwnerContinuesWithRecordedDurations(t *testing.T) {
	run(t, 1, 4, func(c *cluster) {
		c.workers.TaskDuration = wrongDuration
		c.finishJobs(0, 13)
		time.Sleep(6 * time.Second)
		expected := c.watchExpected("i1")
		c.finishJobs(13, 1)
		requireExpected(t, "with the record of the last owner", expected, 8*time.Second)
	})
}

// Guards against an owner that is lost before it has recorded anything, or while the store holds a damaged record, and whose successor doesn't
// learn or fails.
func TestDurationsAreLearnedAnewWithoutValidRecord(t *testing.T) {
	for name, damage := range map[string]func(c *cluster){
		"not recorded": func(*cluster) {},
		"damaged":      func(c *cluster) { c.store.Put("durations", []byte{0xff, 0x01}) },
		"version 0":    func(c *cluster) { c.store.Put("durations", []byte{}) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 4, func(c *cluster) {
				c.workers.TaskDuration = wrongDuration
				damage(c)
				expected := c.watchExpected("i1")
				c.finishJobs(0, 1)
				requireExpected(t, "without a record", expected, 2*time.Second)
				c.finishJobs(1, 13)
				requireExpected(t, "after 13 more runs", expected, 8*time.Second)
			})
		})
	}
}

// Guards against the setting "declared" that doesn't restore what was before: plans with declared estimates, and no record.
func TestDeclaredDurations(t *testing.T) {
	run(t, 1, 4, func(c *cluster) {
		c.workers.TaskDuration = wrongDuration
		c.declaredDurations = true
		expected := c.watchExpected("i1")
		c.finishJobs(0, 13)
		requireExpected(t, "with declared durations", expected, 2*time.Second)
		for _, record := range c.store.Records() {
			if record.Key == "durations" {
				t.Fatal("the owner records durations that it doesn't use")
			}
		}
	})
}
