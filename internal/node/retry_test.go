package node_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
)

// maxOutage is the outage of the store that callers with callerRetries retries get through, as docs/OPERATIONS.md states.
const (
	maxOutage     = 6 * time.Second
	callerRetries = 4
)

// submitWithRetries submits the n-th job as a caller does who follows Retry-After, and returns the last answer.
func (c *cluster) submitWithRetries(n int) (answer gateway.Answer) {
	job := &storev1.Job{Spec: "spec", Steps: []*storev1.Step{tasks(1, 1, time.Second)}}
	c.mu.Lock()
	c.jobs[id(n)] = job
	c.mu.Unlock()
	for range 1 + callerRetries {
		gw := c.nodes["i0"].Gateway()
		admitted, refused := gw.Admit(gateway.Call{Host: "h", Path: "/q2/" + id(n), Key: "key", Timeout: 3 * time.Second})
		if answer = refused; answer.Result == gateway.OK {
			answer = gw.Submit(context.Background(), admitted, job)
		}
		if answer.Result == gateway.OK {
			return answer
		}
		time.Sleep(time.Duration(math.Ceil(answer.RetryAfter.Seconds())) * time.Second)
	}
	return answer
}

// Guards against a Retry-After so short that callers use up their retries within an outage.
func TestCallersOutlastOutageOfStore(t *testing.T) {
	for _, fault := range []mock.Fault{mock.DropRequest, mock.Refuse} {
		for phase := time.Duration(0); phase < maxOutage; phase += 500 * time.Millisecond {
			t.Run(fmt.Sprint(fault, " ", phase), func(t *testing.T) {
				run(t, 1, 2, func(c *cluster) {
					c.inject(func(string, string) mock.Fault { return fault })
					time.AfterFunc(maxOutage, func() { c.inject(nil) })
					time.Sleep(phase)
					if answer := c.submitWithRetries(1); answer.Result != gateway.OK {
						t.Errorf("a caller who comes %v into an outage of %v is told %+v in the end", phase, maxOutage, answer)
					}
					time.Sleep(maxOutage)
				})
			})
		}
	}
}
