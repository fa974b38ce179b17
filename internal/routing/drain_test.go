package routing

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

func TestDrainCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		worker := liveWorker(0)
		worker.Slots = 2
		r := f.routers["a"]
		r.SetWorkers([]*apiv1.Worker{worker})
		f.workers.setAnswer(echoAfter(200 * time.Millisecond))
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				request := idempotent("check")
				if i%2 == 0 {
					request = keyed("settle")
				}
				want(t, mustDo(t, r, request), Done, KindNone)
			})
		}
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		time.AfterFunc(time.Millisecond, func() {
			want(t, mustDo(t, r, keyed("new")), NotRun, KindDraining)
			want(t, mustDo(t, r, idempotent("new")), NotRun, KindDraining)
		})
		if left := r.Drain(ctx); left != (Left{}) {
			t.Errorf("left %+v", left)
		}
		r.Close()
		all.Wait()
		if recorded := r.Stats().EndsRecorded; recorded != 4 {
			t.Errorf("%d ends in the log after the drain, want 4", recorded)
		}
		wantRuns(t, f, "new", 0)
	})
}

// TestDrainReleasesWhatItCannotDispatch: at its end a drain says not run, frees the keys and names what is left.
func TestDrainReleasesWhatItCannotDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		worker := liveWorker(0)
		worker.Slots = 1
		r := f.routers["a"]
		r.SetInstances([]*apiv1.Instance{{Name: "a", Weight: 1}})
		r.SetWorkers([]*apiv1.Worker{worker})
		f.workers.setAnswer(echoAfter(time.Minute))
		long := keyed("long")
		long.Deadline = time.Now().Add(time.Hour)
		waiting := keyed("waiting")
		waiting.Deadline = long.Deadline
		var all sync.WaitGroup
		all.Go(func() { want(t, mustDo(t, r, long), Unknown, KindAnswerLost) })
		time.Sleep(50 * time.Millisecond)
		all.Go(func() { want(t, mustDo(t, r, waiting), NotRun, KindDraining) })
		time.Sleep(50 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		if left := r.Drain(ctx); left != (Left{InFlight: 1}) {
			t.Errorf("left %+v, want the long request", left)
		}
		if state := f.log.state(waiting.Account, waiting.Key); state.Status != ClaimFree {
			t.Errorf("the key of the waiting request is still held: %+v", state)
		}
		r.Close()
		all.Wait()
		wantRuns(t, f, "waiting", 0)
		f.setWorkers(1)
		f.workers.setAnswer(echoAfter(0))
		want(t, mustDo(t, f.routers["b"], retryOf(waiting)), Done, KindNone)
	})
}

func TestDrainingInstanceStillTellsTheTruth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(1)
		request := keyed("settle")
		want(t, mustDo(t, f.routers["a"], request), Done, KindNone)
		time.Sleep(time.Second)
		f.routers["b"].Drain(t.Context())
		want(t, mustDo(t, f.routers["b"], retryOf(request)), Done, KindNone)
		want(t, mustDo(t, f.routers["b"], retryOf(keyed("never seen"))), Unknown, KindDraining)
		wantRuns(t, f, "settle", 1)
	})
}
