package routing

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// overloadCounts are what became of the requests of one class.
type overloadCounts struct {
	asked, done, late int
	// waited is the sum of the times until a refusal.
	waited time.Duration
}

// TestOverloadKeepsTheWorkersBusy offers three times what the workers can do, one tenth of it urgent, for 20 s. The
// workers stay busy, urgent requests are all answered, and refusals come early.
func TestOverloadKeepsTheWorkersBusy(t *testing.T) {
	for _, deadline := range []time.Duration{250 * time.Millisecond, time.Second} {
		t.Run(deadline.String(), func(t *testing.T) { overload(t, deadline) })
	}
}

func overload(t *testing.T, deadline time.Duration) {
	const (
		slots    = 16
		service  = 100 * time.Millisecond
		interval = service / slots / 3
		span     = 20 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		r := f.routers["a"]
		r.SetWorkers([]*apiv1.Worker{liveWorker(0), liveWorker(1)})
		f.workers.setAnswer(echoAfter(service))
		for class := range classCount {
			known := idempotent("so that the service time is known")
			known.Class = class
			mustDo(t, r, known)
		}
		var mu sync.Mutex
		var counts [classCount]overloadCounts
		var all sync.WaitGroup
		for i := 0; time.Duration(i)*interval < span; i++ {
			request := idempotent("check")
			request.Account = []string{"lounge", "gallery", "third"}[i%3]
			request.Class = Patient
			if i%10 == 0 {
				request.Class = Urgent
			}
			request.Deadline = time.Now().Add(deadline)
			all.Go(func() {
				started := time.Now()
				answer := mustDo(t, r, request)
				mu.Lock()
				defer mu.Unlock()
				c := &counts[request.Class]
				c.asked++
				switch {
				case answer.Outcome == Done:
					c.done++
				case answer.Outcome != NotRun:
					t.Errorf("answer %+v", answer)
				default:
					c.waited += time.Since(started)
				}
				if answer.Kind == KindDeadline {
					c.late++
				}
			})
			time.Sleep(interval)
		}
		all.Wait()
		urgent, patient := counts[Urgent], counts[Patient]
		t.Logf("urgent %+v, patient %+v", urgent, patient)
		if urgent.done != urgent.asked {
			t.Errorf("%d of %d urgent requests done", urgent.done, urgent.asked)
		}
		capacity := int(span/service) * slots
		if done := urgent.done + patient.done; done*100 < capacity*90 {
			t.Errorf("%d done, the workers could have done %d", done, capacity)
		}
		refused := patient.asked - patient.done
		if patient.late*10 > refused {
			t.Errorf("%d of %d refusals came at the deadline", patient.late, refused)
		}
		if mean := patient.waited / time.Duration(refused); mean > deadline/4 {
			t.Errorf("a refusal took %v on average, the deadline is %v", mean, deadline)
		}
	})
}
