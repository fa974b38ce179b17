package node_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a job with so many runs that the store refuses the append of its end, which its owners then repeat for ever. A
// takeover in between must not leave runs behind.
func TestEndOfJobWithManyRunsIsStored(t *testing.T) {
	const count, maxAppendBytes = 3000, 72 << 10
	for _, cancel := range []bool{false, true} {
		run(t, 2, 48, func(c *cluster) {
			c.store.LimitAppends(maxAppendBytes)
			requireOK(c, c.submit(0, 2, "i0", tasks(count, 0, 2*time.Second)))
			want := replica.Completed
			if cancel {
				time.Sleep(3 * time.Second)
				admitted, gw := c.admit(0, 2, "i0")
				requireOK(c, gw.Cancel(context.Background(), admitted))
				want = replica.Cancelled
			}
			c.await(0, 2, want, time.Minute)
			c.kill(c.owner())
			requireOK(c, c.submit(1, 2, c.runningInstance(), tasks(1, 1, time.Second)))
			c.await(1, 2, replica.Completed, 10*time.Second)
			time.Sleep(5 * time.Second)
			latest := map[string]bool{}
			for _, record := range c.store.Records() {
				latest[record.Key] = len(record.Value) > 0
			}
			for key, stored := range latest {
				if stored && strings.HasPrefix(key, "r/") {
					t.Errorf("the run %s of a job that has ended is still stored", key)
					break
				}
			}
		})
	}
}

// Guards against a gang whose run record the store would never accept.
func TestGangThatCanNotBeRecordedIsRejected(t *testing.T) {
	run(t, 1, 1, func(c *cluster) {
		if answer := c.submit(0, 2, "i0", gang(20000, 0, time.Second)); answer.Result != gateway.Invalid {
			t.Errorf("the answer is %+v, want %v", answer, gateway.Invalid)
		}
	})
}
