package routing

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// TestSharesOfAWorker holds for any weights: whoever would get less than one may still try, and the rest adds up to
// the limit.
func TestSharesOfAWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 64).Draw(t, "limit")
		weights := rapid.SliceOfN(rapid.IntRange(1, 1000), 1, 12).Draw(t, "weights")
		var instances []instanceWeight
		total := 0
		for i, weight := range weights {
			instances = append(instances, instanceWeight{name: fmt.Sprintf("i%d", i), weight: weight})
			total += weight
		}
		sum, raised := 0, 0
		for _, i := range instances {
			share := shareOf(instances, i.name, "w0", limit)
			whole := limit * i.weight / total
			if share < max(whole, 1) || share > whole+1 {
				t.Fatalf("%s of weight %d has %d of %d", i.name, i.weight, share, limit)
			}
			if share == 1 && whole == 0 && !hasRemainder(instances, i.name, "w0", limit, total, i.weight) {
				raised++
			}
			sum += share
		}
		if sum-raised != limit {
			t.Fatalf("shares add up to %d and %d raised, limit %d", sum-raised, raised, limit)
		}
	})
}

// TestViewsThatDifferOnlyCostARefusal is trap 9: each instance thinks itself alone, so together they exceed the slots;
// every request still ends as done or as not run.
func TestViewsThatDifferOnlyCostARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(2)
		for name, r := range f.routers {
			r.SetInstances([]*apiv1.Instance{{Name: name, Weight: 1}})
		}
		var mu sync.Mutex
		busy := map[string]int{}
		f.workers.setAnswer(func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
			mu.Lock()
			if busy[worker] >= 8 {
				mu.Unlock()
				return reply(request, apiv1.RunStatus_RUN_STATUS_REFUSED_FULL), nil
			}
			busy[worker]++
			mu.Unlock()
			out, err := echoAfter(50*time.Millisecond)(ctx, worker, request)
			mu.Lock()
			busy[worker]--
			mu.Unlock()
			return out, err
		})
		const requests = 64
		answers := make(chan Answer, requests)
		payloads := make([]string, requests)
		for i := range requests {
			payloads[i] = fmt.Sprintf("settle %d", i)
			r := f.routers[[]string{"a", "b"}[i%2]]
			go func() { answers <- mustDo(t, r, keyed(payloads[i])) }()
		}
		done := 0
		for range requests {
			answer := <-answers
			if answer.Outcome == Unknown {
				t.Errorf("answer %+v", answer)
			}
			if answer.Outcome == Done {
				done++
			}
		}
		ran := 0
		for _, payload := range payloads {
			runs := f.workers.ran(payload)
			if runs > 1 {
				t.Errorf("%q ran %d times", payload, runs)
			}
			ran += runs
		}
		if ran != done {
			t.Errorf("%d ran and %d are told done", ran, done)
		}
		full := f.routers["a"].Stats().WorkerFull + f.routers["b"].Stats().WorkerFull
		if full == 0 || done < requests/2 {
			t.Errorf("%d refusals, %d done: want some refusals and at least half done", full, done)
		}
	})
}

// TestLimitAdaptsToWhatAWorkerTakes: others fill 6 of the 8 slots, so the limit sinks; at most a tenth is refused.
func TestLimitAdaptsToWhatAWorkerTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		f.setWorkers(1)
		r := f.routers["a"]
		var busy atomic.Int64
		f.workers.setAnswer(func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
			defer busy.Add(-1)
			if busy.Add(1) > 2 {
				return reply(request, apiv1.RunStatus_RUN_STATUS_REFUSED_FULL), nil
			}
			return echoAfter(10*time.Millisecond)(ctx, worker, request)
		})
		var all sync.WaitGroup
		for range 16 {
			all.Go(func() {
				for range 50 {
					mustDo(t, r, idempotent("check"))
				}
			})
		}
		all.Wait()
		if stats := r.Stats(); stats.WorkerFull*10 > stats.Dispatches || stats.Done < 16*50*9/10 {
			t.Errorf("%d of %d dispatches refused, %d requests done", stats.WorkerFull, stats.Dispatches, stats.Done)
		}
		for range 400 {
			f.workers.setAnswer(echoAfter(time.Millisecond))
			mustDo(t, r, idempotent("check"))
		}
		if limit := int(r.sched.pool.workers["w0"].limit); limit != 8 {
			t.Errorf("the limit is %d when nothing is refused any more, want 8", limit)
		}
	})
}

func TestNoWorkerGetsMoreThanTheShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.setWorkers(3)
		var mu sync.Mutex
		busy, most := map[string]int{}, 0
		f.workers.setAnswer(func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
			mu.Lock()
			busy[worker]++
			most = max(most, busy[worker])
			mu.Unlock()
			defer func() {
				mu.Lock()
				busy[worker]--
				mu.Unlock()
			}()
			return echoAfter(10*time.Millisecond)(ctx, worker, request)
		})
		var all sync.WaitGroup
		for range 300 {
			all.Go(func() { want(t, mustDo(t, f.routers["a"], idempotent("check")), Done, KindNone) })
		}
		all.Wait()
		mu.Lock()
		defer mu.Unlock()
		if most > 3 {
			t.Errorf("%d at once at a worker, want at most 3 of 8 slots for one of three instances", most)
		}
	})
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	cases := []struct {
		name string
		tell func(f *fakeFleet, r *Router)
		// refused is how many dispatches may still find it leaving.
		refused int
	}{
		{"by the list", func(_ *fakeFleet, r *Router) {
			leaving := liveWorker(0)
			leaving.Presence = apiv1.Presence_PRESENCE_LEAVING
			r.SetWorkers([]*apiv1.Worker{leaving, liveWorker(1)})
		}, 0},
		{"by its refusal while the list lags", func(f *fakeFleet, _ *Router) {
			f.workers.setAnswer(func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
				if worker == "w0" {
					return reply(request, apiv1.RunStatus_RUN_STATUS_REFUSED_LEAVING), nil
				}
				return echoAfter(time.Millisecond)(ctx, worker, request)
			})
		}, 1},
		{"by quarantine", func(_ *fakeFleet, r *Router) { r.SetQuarantined([]string{"w0"}) }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a")
				f.setWorkers(2)
				r := f.routers["a"]
				c.tell(f, r)
				for range 100 {
					want(t, mustDo(t, r, idempotent("check")), Done, KindNone)
					want(t, mustDo(t, r, keyed("settle")), Done, KindNone)
					f.setList(r, c.refused > 0)
				}
				if calls := f.workers.callsTo("w0"); calls > c.refused {
					t.Errorf("%d dispatches to the leaving worker, want at most %d", calls, c.refused)
				}
				if calls := f.workers.callsTo("w1"); calls < 200 {
					t.Errorf("%d dispatches to the other worker, want 200", calls)
				}
			})
		})
	}
}

// setList repeats the lagging list, as a fetch does.
func (f *fakeFleet) setList(r *Router, lagging bool) {
	if lagging {
		r.SetWorkers([]*apiv1.Worker{liveWorker(0), liveWorker(1)})
	}
}

// TestFailingWorkersArePassedOver: the share that is ejected stays bounded, and an ejected worker is tried again.
func TestFailingWorkersArePassedOver(t *testing.T) {
	for _, fault := range []struct {
		name   string
		status apiv1.RunStatus
	}{
		{"refuses as broken", apiv1.RunStatus_RUN_STATUS_REFUSED_BROKEN},
		{"fails every run", apiv1.RunStatus_RUN_STATUS_FAILED},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a")
				f.setWorkers(4)
				r := f.routers["a"]
				f.workers.setAnswer(func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
					if worker == "w0" {
						return reply(request, fault.status), nil
					}
					return echoAfter(time.Millisecond)(ctx, worker, request)
				})
				for range 200 {
					mustDo(t, r, idempotent("check"))
				}
				if calls := f.workers.callsTo("w0"); calls > failedRunsToEject {
					t.Errorf("%d dispatches to the failing worker, want at most %d", calls, failedRunsToEject)
				}
				f.workers.setAnswer(echoAfter(time.Millisecond))
				time.Sleep(ejectBase)
				before := f.workers.callsTo("w0")
				for range 200 {
					mustDo(t, r, idempotent("check"))
				}
				if f.workers.callsTo("w0") == before {
					t.Error("the worker that recovered gets nothing")
				}

				f.workers.setAnswer(refuse(fault.status))
				for range 200 {
					mustDo(t, r, idempotent("check"))
					if ejected := r.Stats().EjectedWorkers; ejected*100 > 4*maxEjectedPercent {
						t.Fatalf("%d of 4 workers ejected", ejected)
					}
				}
			})
		})
	}
}

// TestShortDeadlinesDoNotEjectAWorker: a caller that leaves too little time proves nothing against the worker; a worker
// that lets ample time pass is ejected.
func TestShortDeadlinesDoNotEjectAWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		f.setWorkers(2)
		r := f.routers["a"]
		f.workers.setAnswer(echoAfter(100 * time.Millisecond))
		for _, given := range []time.Duration{50 * time.Millisecond, time.Second, 150 * time.Millisecond} {
			f.workers.setAnswer(echoAfter(given * 2 / 3))
			if given == 50*time.Millisecond {
				f.workers.setAnswer(echoAfter(time.Hour))
			}
			for range 20 {
				request := idempotent("check")
				request.Deadline = time.Now().Add(given)
				mustDo(t, r, request)
			}
			if ejected := r.Stats().EjectedWorkers; ejected != 0 {
				t.Fatalf("%d workers ejected by callers that give %v", ejected, given)
			}
		}
		f.workers.setAnswer(echoAfter(time.Hour))
		for range 20 {
			mustDo(t, r, idempotent("check"))
		}
		if ejected := r.Stats().EjectedWorkers; ejected != 1 {
			t.Errorf("%d silent workers ejected, want one of two", ejected)
		}
	})
}

func TestFasterWorkersGetMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		slow, fast := liveWorker(0), liveWorker(1)
		slow.SpeedPermille, fast.SpeedPermille = 500, 1500
		r := f.routers["a"]
		r.SetWorkers([]*apiv1.Worker{slow, fast})
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { mustDo(t, r, idempotent("check")) })
		}
		all.Wait()
		if f.workers.callsTo("w1") <= f.workers.callsTo("w0") {
			t.Errorf("%d to the fast worker, %d to the slow one", f.workers.callsTo("w1"), f.workers.callsTo("w0"))
		}
	})
}
