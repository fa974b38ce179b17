package gateway

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a second peak: the callers of refused jobs return spread over a time, those refused before and the urgent ones first.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	const base = 6 * time.Second
	perSecond := map[time.Duration]int{}
	for i := range 600 {
		id := fmt.Sprintf("%016x", i)
		first, again, urgent := busyDelay(base, id, 2, 0), busyDelay(base, id, 2, 1), busyDelay(base, id, 0, 0)
		if first < base || first >= 2*base || again >= base || again < base/2 || urgent >= base {
			t.Fatalf("%s returns after %v, refused before %v, urgent %v", id, first, again, urgent)
		}
		if first != busyDelay(base, id, 2, 0) {
			t.Fatalf("the delay of %s differs between instances", id)
		}
		perSecond[first.Truncate(time.Second)]++
	}
	for second, count := range perSecond {
		if count > 150 {
			t.Errorf("%d of 600 callers return within the second after %v", count, second)
		}
	}
	if delay := busyDelay(time.Hour, "x", 2, 0); delay > maxBusyDelay {
		t.Errorf("a caller waits for %v", delay)
	}
	if delay := busyDelay(0, "x", 0, 9); delay < minBusyDelay {
		t.Errorf("a caller returns after %v", delay)
	}
}

// Guards against a memory that grows with the number of refused jobs, and one that never forgets.
func TestRefusalsAreRememberedForSomeTime(t *testing.T) {
	var r refusals
	start := time.Now()
	if r.add("a", start) != 0 || r.add("a", start.Add(time.Second)) != 1 {
		t.Error("the second refusal of a job isn't its second")
	}
	if count := r.add("a", start.Add(refusalMemory+time.Second)); count != 0 {
		t.Errorf("%d refusals are remembered for too long", count)
	}
	for i := range 3 * maxRefusals {
		r.add(fmt.Sprint(i), start.Add(refusalMemory+time.Second))
	}
	if len(r.jobs) > maxRefusals || len(r.order) > maxRefusals {
		t.Errorf("%d jobs are remembered", len(r.jobs))
	}
}
