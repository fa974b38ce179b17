package node_test

import (
	"sync"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// pausingPlanner pauses the owner once, in the plan after the one that has planned starts.
type pausingPlanner struct {
	pause  time.Duration
	paused sync.Once
	starts int
}

func (p *pausingPlanner) plan(snapshot *assign.Snapshot) assign.Plan {
	if p.starts > 0 {
		p.paused.Do(func() { time.Sleep(p.pause) })
	}
	plan := assign.MakePlan(snapshot)
	p.starts += len(plan.Starts)
	return plan
}

// Guards against an owner that was paused past its term and then sends the start that it had recorded before: on a worker that only
// it reaches, the task then runs beside the one that the next owner starts. The pause begins at different times after the job was
// accepted, so that the run is being recorded in some cases. The mock workers report tasks that run twice.
func TestPausedOwnerSendsNoOrders(t *testing.T) {
	const pause = 10 * time.Second
	for phase := time.Duration(0); phase < 100*time.Millisecond; phase += 2 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			run(t, 0, 2, func(c *cluster) {
				c.planner = (&pausingPlanner{pause: pause}).plan
				c.startNode("i0")
				time.Sleep(3 * time.Second)
				c.planner = nil
				c.startNode("i1")
				time.Sleep(time.Second)
				// A job that never fits makes the owner plan at each tick.
				requireOK(c, c.submit(2, 2, "i1", tasks(1, 16, time.Second)))
				c.cutOff("i1", "w00")
				time.Sleep(phase)
				requireOK(c, c.submit(1, 2, "i1", tasks(1, 8, 30*time.Second)))
				time.Sleep(100 * time.Millisecond)
				c.setDown("i0", true)
				time.Sleep(pause)
				c.setDown("i0", false)
				time.Sleep(20 * time.Second)
				if owners := c.owners(); owners[len(owners)-1] != "i1:2" {
					t.Errorf("i1 did not take over: %v", owners)
				}
			})
		})
	}
}
