package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/forecast"
)

// Guards against a second peak: the callers of refused jobs return spread over a time, those refused before and the urgent ones first.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	const base = 6 * time.Second
	perSecond := map[time.Duration]int{}
	for i := range 600 {
		id := fmt.Sprintf("%016x", i)
		first, again, urgent := busyDelay(base, 0, id, 2, 0), busyDelay(base, 0, id, 2, 1), busyDelay(base, 0, id, 0, 0)
		if first < base || first >= 2*base || again >= base || again < base/2 || urgent >= base {
			t.Fatalf("%s returns after %v, refused before %v, urgent %v", id, first, again, urgent)
		}
		if first != busyDelay(base, 0, id, 2, 0) {
			t.Fatalf("the delay of %s differs between instances", id)
		}
		perSecond[first.Truncate(time.Second)]++
	}
	for second, count := range perSecond {
		if count > 150 {
			t.Errorf("%d of 600 callers return within the second after %v", count, second)
		}
	}
	if delay := busyDelay(time.Hour, time.Hour, "x", 2, 0); delay > maxBusyDelay {
		t.Errorf("a caller waits for %v", delay)
	}
	if delay := busyDelay(0, 0, "x", 0, 9); delay < minBusyDelay {
		t.Errorf("a caller returns after %v", delay)
	}
}

// Guards against a memory that grows with the number of refused jobs or never forgets, and against callers that return when there is
// only capacity for those refused before them.
func TestRefusalsAreRememberedForSomeTime(t *testing.T) {
	var r refusals
	start, verdict := time.Now(), forecast.Verdict{Work: time.Second}
	add := func(id string, after time.Duration) { r.add(id, 2, verdict, start.Add(after)) }
	add("a", 0)
	add("a", time.Second)
	if r.jobs["a"].count != 2 || r.work != time.Second {
		t.Errorf("%+v after two refusals of a job of 1 s, and %v of work", r.jobs["a"], r.work)
	}
	add("a", refusalMemory+time.Second)
	if r.jobs["a"].count != 1 {
		t.Errorf("%d refusals are remembered for too long", r.jobs["a"].count)
	}
	r.accept("a")
	if r.accept("b"); r.work != 0 || len(r.jobs) != 0 {
		t.Errorf("%v of work is left after all jobs were accepted", r.work)
	}
	for i := range 3 * maxRefusals {
		add(fmt.Sprint(i), refusalMemory+time.Second)
	}
	if len(r.jobs) > maxRefusals || len(r.order) > maxRefusals || r.work != time.Duration(len(r.jobs))*time.Second {
		t.Errorf("%d jobs with %v of work are remembered", len(r.jobs), r.work)
	}
}
