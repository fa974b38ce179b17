package routing

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// lostAt loses the answers of the named workers; the others echo.
func lostAt(names ...string) func(context.Context, string, *apiv1.RunRequest) (*apiv1.RunReply, error) {
	return func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
		if contains(names, worker) {
			return nil, errors.Wrap(platform.ErrUnknownEffect, "injected")
		}
		return echoAfter(10*time.Millisecond)(ctx, worker, request)
	}
}

func TestIdempotentIsRetriedOnAnotherWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		f.setWorkers(2)
		f.workers.setAnswer(lostAt("w0"))
		for range 5 {
			answer := mustDo(t, f.routers["a"], idempotent("check"))
			want(t, answer, Done, KindNone)
			if answer.Worker != "w1" {
				t.Errorf("answered by %s, want w1", answer.Worker)
			}
		}
	})
}

func TestIdempotentWithoutProofIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		f.setWorkers(8)
		f.workers.setAnswer(refuse(apiv1.RunStatus_RUN_STATUS_REFUSED_FULL))
		want(t, mustDo(t, f.routers["a"], idempotent("check")), NotRun, KindNoWorker)
		want(t, mustDo(t, f.routers["a"], retryOf(idempotent("check"))), Unknown, KindNoWorker)
		want(t, Refused(idempotent("check"), KindDraining, 0), NotRun, KindDraining)
		want(t, Refused(retryOf(keyed("settle")), KindDraining, 0), Unknown, KindDraining)
		f.workers.setAnswer(lostAt("w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7"))
		want(t, mustDo(t, f.routers["a"], idempotent("check")), Unknown, KindAnswerLost)
	})
}

// TestTotalFailureIsNotMultiplied holds the stated bound: at most MaxAttempts a request, and in all no more than the
// requests, the burst and the trickle.
func TestTotalFailureIsNotMultiplied(t *testing.T) {
	const requests = 2000
	for _, fault := range []struct {
		name   string
		answer func(context.Context, string, *apiv1.RunRequest) (*apiv1.RunReply, error)
	}{
		{"answers lost", lostAt("w0", "w1", "w2", "w3")},
		{"refused full", refuse(apiv1.RunStatus_RUN_STATUS_REFUSED_FULL)},
	} {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a")
				f.setWorkers(4)
				f.workers.setAnswer(fault.answer)
				started := time.Now()
				for i := range requests {
					request := idempotent("check")
					if i%2 == 1 {
						request = keyed("settle")
					}
					answer := mustDo(t, f.routers["a"], request)
					if answer.Outcome == Done || answer.Attempts > MaxAttempts {
						t.Fatalf("answer %+v", answer)
					}
					time.Sleep(10 * time.Millisecond)
				}
				bound := requests + budgetBurst + budgetTrickle*int(time.Since(started).Seconds()+1)
				if calls := f.workers.total(); calls > bound {
					t.Errorf("%d dispatches of %d requests, bound %d", calls, requests, bound)
				}
			})
		})
	}
}

// TestGivenUpDispatchIsNotHeldAgainstTheWorker: what this instance cancelled says nothing of the worker.
func TestGivenUpDispatchIsNotHeldAgainstTheWorker(t *testing.T) {
	r := New(Config{})
	defer r.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		ctx  context.Context
		err  error
		want verdict
	}{
		{t.Context(), platform.ErrUnavailable, verdictUnsent},
		{cancelled, platform.ErrUnavailable, verdictWithdrawn},
		{t.Context(), platform.ErrUnknownEffect, verdictLost},
		{cancelled, platform.ErrUnknownEffect, verdictCancelled},
	}
	for _, c := range cases {
		if got := r.classify(c.ctx, dispatch{}, nil, c.err); got != c.want {
			t.Errorf("%v with %v: verdict %d, want %d", c.err, c.ctx.Err(), got, c.want)
		}
	}
}

func TestLateAnswerIsHedgedWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		f.setWorkers(2)
		r := f.routers["a"]
		for range 2 * latencySamples {
			mustDo(t, r, idempotent("warm"))
		}
		var mu sync.Mutex
		slow := ""
		f.workers.setAnswer(func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
			mu.Lock()
			if slow == "" {
				slow = worker
			}
			wait := 10 * time.Millisecond
			if slow == worker {
				wait = time.Hour
			}
			mu.Unlock()
			return echoAfter(wait)(ctx, worker, request)
		})
		started := time.Now()
		answer := mustDo(t, r, idempotent("check"))
		want(t, answer, Done, KindNone)
		if took := time.Since(started); took > time.Second {
			t.Errorf("answered after %v", took)
		}
		stats := r.Stats()
		if stats.Hedges != 1 || stats.HedgeWins != 1 {
			t.Errorf("%d hedges with %d wins, want 1 and 1", stats.Hedges, stats.HedgeWins)
		}
		for range 200 {
			mustDo(t, r, idempotent("check"))
		}
		stats = r.Stats()
		if bound := stats.Done*DefaultRetryPercent/100 + budgetBurst + budgetTrickle*int64(time.Since(started).Seconds()+1); stats.Hedges > bound {
			t.Errorf("%d hedges, bound %d", stats.Hedges, bound)
		}
	})
}
