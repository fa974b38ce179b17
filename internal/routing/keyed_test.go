package routing

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

func wantRuns(t *testing.T, f *fakeFleet, payload string, runs int) {
	t.Helper()
	if ran := f.workers.ran(payload); ran != runs {
		t.Errorf("%q ran %d times, want %d", payload, ran, runs)
	}
}

// retryOf is the caller's next try with the same key, with a new deadline.
func retryOf(request Request) Request {
	request.Retry = true
	request.Deadline = time.Now().Add(3 * time.Second)
	return request
}

func TestRetriesGetTheFirstAnswer(t *testing.T) {
	large := strings.Repeat("x", 2*MaxKeptAnswerBytes)
	for _, payload := range []string{"small", large} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a", "b")
			f.setWorkers(2)
			request := keyed(payload)
			want(t, mustDo(t, f.routers["a"], request), Done, KindNone)
			time.Sleep(time.Second)
			for _, name := range []string{"a", "b"} {
				again := mustDo(t, f.routers[name], retryOf(request))
				want(t, again, Done, KindNone)
				if string(again.Payload) != payload {
					t.Errorf("at %s: payload of %d bytes, want %d", name, len(again.Payload), len(payload))
				}
			}
			wantRuns(t, f, payload, 1)
		})
	}
}

func TestAnswerThatIsNoLongerKeptIsStillDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(1)
		request := keyed(strings.Repeat("x", 2*MaxKeptAnswerBytes))
		want(t, mustDo(t, f.routers["a"], request), Done, KindNone)
		time.Sleep(time.Second)
		f.kill("a")
		want(t, mustDo(t, f.routers["b"], retryOf(request)), Done, KindAnswerNotKept)
		wantRuns(t, f, string(request.Payload), 1)
	})
}

func TestFailedRunIsTheAnswerOfRetriesToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(1)
		f.workers.setAnswer(refuse(apiv1.RunStatus_RUN_STATUS_FAILED))
		request := keyed("settle")
		first := mustDo(t, f.routers["a"], request)
		time.Sleep(time.Second)
		second := mustDo(t, f.routers["b"], retryOf(request))
		for _, answer := range []Answer{first, second} {
			want(t, answer, Done, KindNone)
			if !answer.Failed {
				t.Error("the answer isn't marked as failed")
			}
		}
		wantRuns(t, f, "settle", 1)
	})
}

func TestNothingIsDispatchedWithoutAnAcceptedClaim(t *testing.T) {
	cases := []struct {
		name    string
		fault   func(*fakeLog)
		request func(Request) Request
		outcome Outcome
		// statement is what other instances are told; running means that they ask again.
		statement apiv1.AnswerState
	}{
		{"log down", func(l *fakeLog) { l.down = true }, nil, NotRun, apiv1.AnswerState_ANSWER_STATE_UNKNOWN},
		{"answer of the log lost", func(l *fakeLog) { l.loseAnswers = true }, nil, NotRun, apiv1.AnswerState_ANSWER_STATE_RUNNING},
		{"log down, declared retry", func(l *fakeLog) { l.down = true }, retryOf, Unknown, apiv1.AnswerState_ANSWER_STATE_UNKNOWN},
		{"log down, old key", func(l *fakeLog) { l.down = true }, func(q Request) Request {
			time.Sleep(2 * FirstSendAge)
			return q
		}, Unknown, apiv1.AnswerState_ANSWER_STATE_UNKNOWN},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a")
				f.setWorkers(1)
				c.fault(f.log)
				request := keyed("settle")
				if c.request != nil {
					request = c.request(request)
				}
				want(t, mustDo(t, f.routers["a"], request), c.outcome, KindClaimUnavailable)
				synctest.Wait()
				word := f.routers["a"].Answer(t.Context(), request.Account, request.Key, 0)
				if word.GetState() != c.statement {
					t.Errorf("without a claim of its own the instance tells others %v", word.GetState())
				}
				f.log.set(func() { f.log.down, f.log.loseAnswers = false, false })
				time.Sleep(time.Minute)
				if calls := f.workers.total(); calls != 0 {
					t.Errorf("%d dispatches behind the caller's back", calls)
				}
				if state := f.log.state(request.Account, request.Key); state.Status != ClaimFree {
					t.Errorf("the key is still held: %+v", state)
				}
				want(t, mustDo(t, f.routers["a"], retryOf(request)), Done, KindNone)
				wantRuns(t, f, "settle", 1)
			})
		})
	}
}

// TestRetryElsewhereOutlastsAnUndecidedClaim: the claim is in the log, its holder doesn't know and releases it as soon as the
// log lets it. Until then a retry there can't know what others did; a retry elsewhere waits for the release and runs.
func TestRetryElsewhereOutlastsAnUndecidedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(1)
		f.log.loseAnswers = true
		request := keyed("settle")
		want(t, mustDo(t, f.routers["a"], request), NotRun, KindClaimUnavailable)
		f.log.set(func() { f.log.down, f.log.loseAnswers = true, false })
		time.AfterFunc(time.Second, func() { f.log.set(func() { f.log.down = false }) })
		early := retryOf(request)
		early.Deadline = time.Now().Add(100 * time.Millisecond)
		want(t, mustDo(t, f.routers["a"], early), Unknown, KindClaimUnavailable)
		want(t, mustDo(t, f.routers["b"], retryOf(request)), Done, KindNone)
		wantRuns(t, f, "settle", 1)
	})
}

func TestClaimedButNeverDispatchedIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(1)
		f.workers.setAnswer(echoAfter(time.Minute))
		for range 4 {
			go f.routers["a"].Do(t.Context(), keyed("occupies the share")) //nolint:errcheck // the answer is of no interest here
		}
		time.Sleep(100 * time.Millisecond)
		request := keyed("settle")
		request.Deadline = time.Now().Add(time.Second)
		want(t, mustDo(t, f.routers["a"], request), NotRun, KindDeadline)
		time.Sleep(time.Second)
		if state := f.log.state(request.Account, request.Key); state.Status != ClaimFree {
			t.Errorf("the key is still held: %+v", state)
		}
		f.workers.setAnswer(echoAfter(time.Millisecond))
		want(t, mustDo(t, f.routers["b"], retryOf(request)), Done, KindNone)
		wantRuns(t, f, "settle", 1)
	})
}

func TestHolderIsGone(t *testing.T) {
	cases := []struct {
		name   string
		killed func(f *fakeFleet, request Request)
		runs   int
	}{
		{"between claim and dispatch", func(f *fakeFleet, request Request) {
			claims := &fakeClaims{log: f.log, instance: "a"}
			if _, err := claims.Claim(context.Background(), request.Account, request.Key, checksumOf(request.Payload)); err != nil {
				panic(err)
			}
			f.kill("a")
		}, 0},
		{"after dispatch", func(f *fakeFleet, request Request) {
			a := f.routers["a"]
			go a.Do(context.Background(), request) //nolint:errcheck // the caller loses its instance
			time.Sleep(50 * time.Millisecond)
			f.kill("a")
			a.Close()
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				f.setWorkers(2)
				f.workers.setAnswer(echoAfter(time.Second))
				request := keyed("settle")
				c.killed(f, request)
				for _, name := range []string{"b", "c", "b"} {
					want(t, mustDo(t, f.routers[name], retryOf(request)), Unknown, KindHolderGone)
				}
				wantRuns(t, f, "settle", c.runs)
			})
		})
	}
}

func TestRetryElsewhereWaitsForTheRunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(2)
		f.workers.setAnswer(echoAfter(2500 * time.Millisecond))
		request := keyed("settle")
		answers := make(chan Answer, 3)
		for _, name := range []string{"a", "b", "a"} {
			go func() { answers <- mustDo(t, f.routers[name], request) }()
		}
		for range 3 {
			want(t, <-answers, Done, KindNone)
		}
		wantRuns(t, f, "settle", 1)
	})
}

func TestKeyOfAnotherRequestOrExpiredIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(1)
		request := keyed("settle")
		other := request
		other.Payload = []byte("other")
		want(t, mustDo(t, f.routers["a"], request), Done, KindNone)
		want(t, mustDo(t, f.routers["a"], other), NotRun, KindKeyConflict)
		want(t, mustDo(t, f.routers["b"], other), NotRun, KindKeyConflict)
		wantRuns(t, f, "other", 0)

		old := keyed("old")
		f.log.set(func() { f.log.expireBefore = time.Now().Add(time.Hour) })
		want(t, mustDo(t, f.routers["a"], old), Unknown, KindKeyExpired)
		wantRuns(t, f, "old", 0)
	})
}

func TestUnprovedDispatchIsNeverRepeated(t *testing.T) {
	foreign := func(_ context.Context, _ string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
		out := reply(request, apiv1.RunStatus_RUN_STATUS_DONE)
		out.RequestId = "another's"
		return out, nil
	}
	lost := func(context.Context, string, *apiv1.RunRequest) (*apiv1.RunReply, error) {
		return nil, errors.Wrap(platform.ErrUnknownEffect, "injected")
	}
	for name, answer := range map[string]func(context.Context, string, *apiv1.RunRequest) (*apiv1.RunReply, error){
		"lost": lost, "foreign": foreign, "no status": refuse(apiv1.RunStatus_RUN_STATUS_UNSPECIFIED),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b")
				f.setWorkers(3)
				f.workers.setAnswer(answer)
				request := keyed("settle")
				want(t, mustDo(t, f.routers["a"], request), Unknown, KindAnswerLost)
				f.workers.setAnswer(echoAfter(0))
				want(t, mustDo(t, f.routers["a"], retryOf(request)), Unknown, KindAnswerLost)
				want(t, mustDo(t, f.routers["b"], retryOf(request)), Unknown, KindAnswerLost)
				if calls := f.workers.total(); calls != 1 {
					t.Errorf("%d dispatches, want 1", calls)
				}
			})
		})
	}
}

func TestRefusalIsProofOfNotRun(t *testing.T) {
	statuses := []apiv1.RunStatus{
		apiv1.RunStatus_RUN_STATUS_REFUSED_FULL, apiv1.RunStatus_RUN_STATUS_REFUSED_LEAVING,
		apiv1.RunStatus_RUN_STATUS_REFUSED_DAMAGED, apiv1.RunStatus_RUN_STATUS_REFUSED_BROKEN,
	}
	for _, status := range statuses {
		t.Run(status.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a")
				f.setWorkers(8)
				f.workers.setAnswer(refuse(status))
				request := keyed("settle")
				want(t, mustDo(t, f.routers["a"], request), NotRun, KindNoWorker)
				if calls := f.workers.total(); calls != MaxAttempts {
					t.Errorf("%d dispatches, want %d", calls, MaxAttempts)
				}
				f.workers.setAnswer(func(ctx context.Context, worker string, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
					if request.GetAttempt() == 1 {
						return reply(request, status), nil
					}
					return echoAfter(0)(ctx, worker, request)
				})
				answer := mustDo(t, f.routers["a"], retryOf(request))
				want(t, answer, Done, KindNone)
				if answer.Attempts != 2 {
					t.Errorf("%d attempts, want 2", answer.Attempts)
				}
				wantRuns(t, f, "settle", 1)
			})
		})
	}
}

func TestLateAnswerReachesTheRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		f.setWorkers(1)
		f.workers.setAnswer(echoAfter(4 * time.Second))
		request := keyed("settle")
		want(t, mustDo(t, f.routers["a"], request), Unknown, KindDeadline)
		want(t, mustDo(t, f.routers["b"], retryOf(request)), Done, KindNone)
		wantRuns(t, f, "settle", 1)
		if late := f.routers["a"].Stats().Late; late != 1 {
			t.Errorf("%d late answers counted, want 1", late)
		}
	})
}

func TestCallerThatLeavesBeforeDispatchIsNotDispatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		f.setWorkers(1)
		f.log.delay = time.Second
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, cancel)
		answer, err := f.routers["a"].Do(ctx, keyed("settle"))
		if err != nil {
			t.Fatal(err)
		}
		want(t, answer, NotRun, KindClaimUnavailable)
		time.Sleep(time.Minute)
		wantRuns(t, f, "settle", 0)
	})
}

// TestLaggingInstanceDoesNotTrustAnOldRefusal: c has not read that a released the key, nor that b ran it since. What a says
// of its own claim is no proof for the key then.
func TestLaggingInstanceDoesNotTrustAnOldRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.setWorkers(1)
		f.routers["a"].SetWorkers(nil)
		request := keyed("settle")
		request.Deadline = time.Now().Add(time.Second)
		want(t, mustDo(t, f.routers["a"], request), NotRun, KindDeadline)
		time.Sleep(time.Second)
		want(t, mustDo(t, f.routers["b"], retryOf(request)), Done, KindNone)
		f.log.set(func() { f.log.lag = 1500 * time.Millisecond })
		want(t, mustDo(t, f.routers["c"], retryOf(request)), Done, KindNone)
		wantRuns(t, f, "settle", 1)
	})
}

func TestRequestThatCannotBeTaken(t *testing.T) {
	r := New(Config{})
	defer r.Close()
	cases := []struct {
		request Request
		want    error
	}{
		{Request{Idempotent: true}, ErrNoAccount},
		{Request{Account: "lounge", Class: classCount, Idempotent: true}, ErrClass},
		{Request{Account: "lounge"}, ErrKey},
	}
	for _, c := range cases {
		answer, err := r.Do(t.Context(), c.request)
		if !errors.Is(err, c.want) {
			t.Errorf("error %v, want %v", err, c.want)
		}
		want(t, answer, NotRun, KindInvalid)
	}
}
