package node_test

import (
	"fmt"
	"strings"
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

// startWave starts three instances and a wave of upkeep of all machines that has begun, at most maxDown at a time.
func startWave(c *cluster, maxDown int) *mock.Machines {
	machines := mock.NewMachines(c.workers, c.registry, maxDown)
	wave := config.Wave{Number: 1, Duration: time.Minute, MaxDown: maxDown}
	for _, entry := range c.workers.Entries() {
		wave.Machines = append(wave.Machines, "m"+strings.TrimPrefix(entry.ID, "w"))
	}
	c.machines, c.waves = machines, []config.Wave{wave}
	for i := range 3 {
		c.startNode(fmt.Sprintf("i%d", i))
	}
	for range 100 {
		if machines.UpkeepsStarted() >= 2*maxDown {
			return machines
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("the wave has not begun after 10 s")
	return nil
}

// awaitWave waits until the upkeep of all machines has started, and reports violations.
func awaitWave(c *cluster, machines *mock.Machines, count int) {
	for range 600 {
		if machines.UpkeepsStarted() == count {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if started := machines.UpkeepsStarted(); started != count {
		c.t.Errorf("the upkeep of %d machines has started, want %d", started, count)
	}
	for _, violation := range machines.Violations() {
		c.t.Error(violation)
	}
}

// Guards against an owner that orders upkeep beside its successor while the store refuses it, so that more machines are down than
// allowed.
func TestRefusedOwnerOrdersNoUpkeep(t *testing.T) {
	for _, fault := range []mock.Fault{mock.Refuse, mock.DropRequest} {
		run(t, 0, 24, func(c *cluster) {
			machines := startWave(c, 3)
			refused := c.owner()
			c.injectFor(refused, fault)
			time.Sleep(1500 * time.Millisecond)
			for name := range c.nodes {
				if name != refused {
					requireOK(c, c.submit(0, 2, name, tasks(10, 8, 12*time.Second)))
					break
				}
			}
			time.Sleep(5500 * time.Millisecond)
			c.inject(nil)
			awaitWave(c, machines, 24)
		})
	}
}

// Guards against a new owner that takes machines down without counting those for which an order of the previous owner, sent before
// it was killed, takes effect late.
func TestLateUpkeepOrdersCountAfterTakeover(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 6 * time.Second, 7 * time.Second} {
		run(t, 0, 24, func(c *cluster) {
			machines := startWave(c, 3)
			machines.DelayOrders(delay)
			time.Sleep(2500 * time.Millisecond)
			c.kill(c.owner())
			machines.DelayOrders(0)
			requireOK(c, c.submit(0, 2, c.runningInstance(), tasks(16, 8, 6*time.Second)))
			awaitWave(c, machines, 24)
		})
	}
}

// Guards against an owner that judges a wave by the list of machines of an earlier one: it ordered the upkeep of a machine whose worker,
// unknown to that list, was at work, and called a wave completed because that list lacked its machine.
func TestWaveNeedsRecentMachineList(t *testing.T) {
	run(t, 0, 3, func(c *cluster) {
		machines := mock.NewMachines(c.workers, c.registry, 1)
		c.machines, c.waves = machines, []config.Wave{{Number: 1, Machines: []string{"m00"}, Duration: time.Minute, MaxDown: 1}}
		c.startNode("i0")
		awaitWave(c, machines, 1)
		time.Sleep(10 * time.Second)
		c.workers.SetUnreachable("w01", true)
		c.registry.Put("w01", nil)
		machines.Add("m01", "w01-2")
		machines.Add("m03", "w03")
		time.Sleep(10 * time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(4, 8, 20*time.Second)))
		time.Sleep(2 * time.Second)
		machines.DelayLists(500 * time.Millisecond)
		for number, machine := range map[int64]string{2: "m01", 3: "m03"} {
			c.waveHolders["i0"].Set(config.Wave{
				Number: number, Machines: []string{machine}, Duration: 10 * time.Minute, MaxDown: 1, FirstSeen: time.Now(),
			})
		}
		time.Sleep(5 * time.Second)
		for _, violation := range machines.Violations() {
			t.Error(violation)
		}
		for _, record := range c.upkeepStatus.Records() {
			if record.Key == "3" && record.Value[0] == byte(replica.WaveCompleted) {
				t.Error("wave 3 is completed while m03 has not begun its upkeep")
			}
		}
		c.await(1, 2, replica.Completed, 40*time.Second)
		time.Sleep(10 * time.Second)
		if started := machines.UpkeepsStarted(); started != 3 {
			t.Errorf("%d upkeeps have started, want one in each wave", started)
		}
	})
}
