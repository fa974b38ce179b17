package node_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// Guards against a worker whose report names tasks that can't exist: it stopped the owner's process, and each next owner's.
func TestMalformedReportsDoNotStopOwner(t *testing.T) {
	run(t, 2, 4, func(c *cluster) {
		requireOK(c, c.submit(1, 2, "i0", tasks(2, 1, 3*time.Second)))
		requireOK(c, c.submit(2, 2, "i0", gang(2, 1, 3*time.Second)))
		for _, name := range []string{
			"", "...", "x", id(1), id(1) + ".0.0", id(1) + ".-1.0.0", id(1) + ".0.-1.0", id(1) + ".0.0.-1", id(1) + ".0.0.-2",
			id(1) + ".9.0.0", id(1) + ".0.9.0", id(1) + ".0.0.9", id(1) + ".9223372036854775807.0.0", id(1) + ".0.0.0.0",
			id(2) + ".0.0.-7", id(2) + ".0.0.7",
		} {
			c.workers.AddToReports("w00", worker.RunningTask{Task: name, Run: 1, Percent: -1e300, Load: 1e300},
				worker.FinishedTask{Task: name, Run: 1, Reason: worker.FinishReason("?")})
		}
		c.await(1, 2, replica.Completed, 20*time.Second)
		c.await(2, 2, replica.Completed, 20*time.Second)
	})
}

// Guards against a record that can't be carried out, of another version or damaged: it stopped the process of each instance that read it.
func TestMalformedRecordsDoNotStopInstances(t *testing.T) {
	run(t, 2, 4, func(c *cluster) {
		put := func(key string, message proto.Message) {
			value, err := proto.Marshal(message)
			if err != nil {
				t.Fatal(err)
			}
			c.store.Put(key, value)
		}
		step := tasks(2, 1, time.Second)
		after := tasks(2, 1, time.Second)
		after.After = []uint32{7}
		put("j/"+id(20), &storev1.Job{Id: id(20)})
		put("j/"+id(21), &storev1.Job{Id: id(21), Steps: []*storev1.Step{{}}})
		put("j/"+id(22), &storev1.Job{Id: id(22), Steps: []*storev1.Step{step, after}})
		put("j/"+id(23), &storev1.Job{Id: id(24), Steps: []*storev1.Step{step}})
		put("j/"+id(25), &storev1.Job{Id: id(25), Steps: []*storev1.Step{nil, step}})
		put("r/"+id(1)+".0.0.-5", &storev1.Run{Number: 1, Phase: storev1.RunPhase_RUN_PHASE_OPEN, Workers: []string{"w00"}})
		put("r/"+id(1)+".99999999.0.0", &storev1.Run{Number: 1, Phase: storev1.RunPhase_RUN_PHASE_OPEN, Workers: []string{"w00"}})
		put("r/"+id(1)+".0.0.1", &storev1.Run{
			Number: 1, Phase: storev1.RunPhase_RUN_PHASE_OPEN, Workers: []string{"w00", "w01", "w02"}, Crashes: []uint32{1, 2, 3},
		})
		for _, key := range []string{"", "x", "j/", "r/", "r/.", "o/" + id(1), "c/", "u/", "u/x", "speeds", "durations", "z/" + id(3)} {
			c.store.Put(key, []byte{0xff, 0xff, 0xff})
		}
		requireOK(c, c.submit(1, 2, "i0", step))
		time.Sleep(time.Second)
		first := c.owner()
		c.kill(first)
		time.Sleep(5 * time.Second)
		c.startNode(first)
		time.Sleep(3 * time.Second)
		c.await(1, 2, replica.Completed, 40*time.Second)
	})
}

// Guards against an unexpected error in the owner's work that stops the whole process, with the calls in progress on it.
func TestPanicEndsOnlyTheTerm(t *testing.T) {
	run(t, 0, 2, func(c *cluster) {
		c.planner = func(snapshot *assign.Snapshot) assign.Plan {
			if len(snapshot.Waiting) > 0 {
				panic("a plan failed")
			}
			return assign.MakePlan(snapshot)
		}
		c.startNode("i0")
		time.Sleep(3 * time.Second)
		c.planner = nil
		c.startNode("i1")
		time.Sleep(time.Second)
		requireOK(c, c.submit(1, 2, "i0", tasks(1, 1, time.Second)))
		c.await(1, 2, replica.Completed, 10*time.Second)
		requireOK(c, c.submit(2, 2, "i0", tasks(1, 1, time.Second)))
		if c.nodes["i1"].Epoch() == 0 {
			t.Errorf("i1 is not the owner: %v", c.owners())
		}
	})
}
