package gateway

import (
	"fmt"
	"testing"
	"time"
)

// Guards against callers that use up their retries within an outage of some seconds, or all return at once.
func TestRetryDelayGrowsWithAnOutageAndIsSpread(t *testing.T) {
	for lasted, want := range map[time.Duration][2]time.Duration{
		0: {time.Second, time.Second}, 1500 * time.Millisecond: {time.Second, 2 * time.Second},
		2 * time.Second: {time.Second, 3 * time.Second}, time.Minute: {2 * time.Second, 4 * time.Second},
	} {
		callers := map[time.Duration]int{}
		for i := range 300 {
			id := fmt.Sprintf("%016x", i)
			delay := outageDelay(lasted, id, 1)
			callers[delay]++
			if urgent := outageDelay(lasted, id, 0); urgent < want[0] || (want[1] > want[0] && urgent >= want[1]) {
				t.Errorf("after %v, an urgent job returns after %v, want from %v and before %v", lasted, urgent, want[0], want[1])
			}
		}
		kinds := int((want[1]-want[0])/time.Second) + 1
		for delay := want[0]; delay <= want[1]; delay += time.Second {
			if callers[delay] < 200/kinds || len(callers) != kinds {
				t.Errorf("after %v, the callers return after %v, want the same share after %v to %v", lasted, callers, want[0], want[1])
			}
		}
	}
}

// Guards against delays that still count the time of an earlier outage.
func TestOutageEndsWithASuccess(t *testing.T) {
	var o outage
	start := time.Now()
	if lasted := o.fail(start); lasted != 0 {
		t.Errorf("the first failure follows an outage of %v", lasted)
	}
	if lasted := o.fail(start.Add(2 * time.Second)); lasted != 2*time.Second {
		t.Errorf("the outage has lasted for %v, want 2 s", lasted)
	}
	if lasted := o.fail(start.Add(time.Hour)); lasted != 0 {
		t.Errorf("the outage has lasted for %v after an hour without a failure", lasted)
	}
	o.end()
	if lasted := o.fail(start.Add(time.Hour + time.Second)); lasted != 0 {
		t.Errorf("the outage has lasted for %v after a success", lasted)
	}
}
