package node_test

import (
	"testing"
	"time"
)

// startLate makes a worker crash and come back under its id, out of reach, and carry out a start order that was sent to its former
// incarnation. The owner is killed after that if takeover is true.
func startLate(t *testing.T, takeover bool) {
	t.Helper()
	runCluster(t, make([]float64, 3), 4, &cluster{maxLease: longLease}, func(c *cluster) {
		c.workers.CrashDuration = 200 * time.Millisecond
		c.workers.LoseCalls(1 << 30) // loses none, but starts without an answer are carried out late
		requireOK(c, c.submit(1, 2, "i0", tasks(2, 8, 9*time.Second)))
		requireOK(c, c.submit(3, 2, "i0", tasks(1, 8, time.Minute)))
		time.Sleep(4 * time.Second)
		busy := map[string]bool{c.workers.WorkerOf(firstTask(1)): true, c.workers.WorkerOf(id(1) + ".0.0.1"): true, c.workers.WorkerOf(firstTask(3)): true}
		idle := ""
		for _, entry := range c.workers.Entries() {
			if !busy[entry.ID] {
				idle = entry.ID
			}
		}
		// Another worker is lost too, so the task isn't taken for the cause.
		c.workers.SetUnreachable(c.workers.WorkerOf(firstTask(3)), true)
		time.Sleep(2 * time.Second)
		c.workers.SetUnreachable(idle, true)
		requireOK(c, c.submit(2, 2, "i0", tasks(1, 8, 20*time.Second)))
		time.Sleep(100 * time.Millisecond)
		c.workers.CrashAs(idle, nil)
		time.Sleep(210 * time.Millisecond)
		c.workers.SetUnreachable(idle, true)
		if takeover {
			time.Sleep(3500 * time.Millisecond)
			c.kill(c.owner())
		}
		time.Sleep(40 * time.Second)
	})
}

// Guards against a task that runs twice at a time: its worker is back under its id, out of reach, and carries out a start order that was sent
// to its former incarnation. Its lease counts from then, as the clock of the new incarnation began anew.
func TestStartCarriedOutByNextIncarnationIsNotRepeated(t *testing.T) { startLate(t, false) }

// Guards against the same where the owner is lost: the next one relied on the record of the lease, which had the former clock.
func TestStartCarriedOutByNextIncarnationIsNotRepeatedAfterTakeover(t *testing.T) { startLate(t, true) }
