package node_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// A wave of upkeep takes each machine down once, while no task runs on it and with at most MaxDown machines down at a
// time, also across a takeover. Jobs must still complete.
func TestUpkeepWave(t *testing.T) {
	for _, killOwner := range []bool{false, true} {
		run(t, 0, 6, func(c *cluster) {
			machines := mock.NewMachines(c.workers, c.registry, 2)
			c.machines = machines
			c.waves = []config.Wave{{
				Number: 7, Machines: []string{"m00", "m01", "m02", "m03", "m04", "gone"}, Duration: time.Minute, MaxDown: 2,
			}}
			c.startNode("i0")
			c.startNode("i1")
			time.Sleep(2 * time.Second)
			for n := range 8 {
				step := tasks(2, 4, 3*time.Second)
				step.Checkpointing = n%2 == 0
				requireOK(c, c.submit(n, 2, c.runningInstance(), step))
			}
			if killOwner {
				time.Sleep(4 * time.Second)
				c.kill(c.owner())
			}
			for n := range 8 {
				c.await(n, 2, replica.Completed, time.Minute)
			}
			time.Sleep(30 * time.Second)
			if started := machines.UpkeepsStarted(); started != 5 {
				t.Errorf("the upkeep of %d machines has started, want 5", started)
			}
			for _, violation := range machines.Violations() {
				t.Error(violation)
			}
			states := c.upkeepStatus.Records()
			if len(states) == 0 || states[len(states)-1].Value[0] != byte(replica.WaveCompleted) {
				t.Errorf("the status records are %v, want the wave completed", states)
			}
		})
	}
}
