package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a gang that stands still for its whole estimate in a mostly idle service, as one long task on each rack leaves too
// little room there.
func TestGangWithoutRoomOnOneRackRunsInIdleService(t *testing.T) {
	run(t, 1, 8, func(c *cluster) {
		for n, rack := range []string{"r0", "r1"} {
			long := tasks(1, 8, time.Minute)
			long.RequiredLabel = rack
			requireOK(c, c.submit(n, 2, "i0", long))
			c.await(n, 2, replica.Running, 2*time.Second)
		}
		step := gang(4, 8, 16*time.Second)
		step.SameRack = true
		requireOK(c, c.submit(2, 2, "i0", step))
		c.await(2, 2, replica.Running, 3*time.Second)
	})
}
