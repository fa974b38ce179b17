package routing

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// drainQueue pops all waiters and returns their accounts and classes in order.
func drainQueue(c *classQueues, weights map[string]int) (accounts []string, classes []Class) {
	weight := func(account string) int { return max(weights[account], 1) }
	for c.waiting() > 0 {
		w := c.pop(weight, time.Now())
		accounts = append(accounts, w.account)
		classes = append(classes, w.class)
	}
	return accounts, classes
}

// TestAccountsShareByWeight: whatever one account piles up, each gets its part of any run of grants, within one grant.
func TestAccountsShareByWeight(t *testing.T) {
	weights := map[string]int{"big": 1, "heavy": 3, "small": 1}
	c := newClassQueues()
	for _, load := range []struct {
		account string
		count   int
	}{{"big", 1000}, {"heavy", 90}, {"small", 30}} {
		for range load.count {
			c.queues[Ordinary].push(&waiter{account: load.account, class: Ordinary}, max(weights[load.account], 1))
		}
	}
	accounts, _ := drainQueue(c, weights)
	counts := map[string]int{}
	for i, account := range accounts[:150] {
		counts[account]++
		grants := i + 1
		for _, a := range []string{"big", "heavy", "small"} {
			part := grants * weights[a] / 5
			if counts[a] < part-1 || counts[a] > part+2 {
				t.Fatalf("after %d grants %s has %d, want about %d", grants, a, counts[a], part)
			}
		}
	}
}

// TestNoClassStarves: urgent goes first, but the others are passed over no more often than their pass limit.
func TestNoClassStarves(t *testing.T) {
	c := newClassQueues()
	for class := range classCount {
		for range 500 {
			c.queues[class].push(&waiter{account: "a", class: class}, 1)
		}
	}
	_, classes := drainQueue(c, nil)
	gaps := [classCount]int{}
	counts := [classCount]int{}
	for i, class := range classes[:500] {
		counts[class]++
		for other := range classCount {
			gaps[other]++
		}
		gaps[class] = 0
		// Both lower classes may be due at once; one of them then waits for one more grant.
		if gaps[Ordinary] > ordinaryPassLimit+1 || gaps[Patient] > patientPassLimit+1 {
			t.Fatalf("at grant %d: ordinary passed over %d times, patient %d", i, gaps[Ordinary], gaps[Patient])
		}
	}
	if counts[Urgent] < 400 {
		t.Errorf("urgent got %d of 500 grants, want at least 400", counts[Urgent])
	}
}

// TestUrgentOvertakesAQueue brings the classes through a Router with one slot.
func TestUrgentOvertakesAQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		worker := liveWorker(0)
		worker.Slots = 1
		r := f.routers["a"]
		r.SetWorkers([]*apiv1.Worker{worker})
		f.workers.setAnswer(echoAfter(100 * time.Millisecond))
		var mu sync.Mutex
		var order []Class
		var all sync.WaitGroup
		for _, class := range []Class{Patient, Patient, Ordinary, Ordinary, Urgent, Urgent} {
			all.Go(func() {
				request := idempotent("check")
				request.Class = class
				mustDo(t, r, request)
				mu.Lock()
				order = append(order, class)
				mu.Unlock()
			})
			time.Sleep(time.Millisecond)
		}
		all.Wait()
		wantOrder := []Class{Patient, Urgent, Urgent, Ordinary, Ordinary, Patient}
		if !slices.Equal(order, wantOrder) {
			t.Errorf("answered in order %v, want %v", order, wantOrder)
		}
	})
}

// TestFullQueueRefusesAtOnce: the account that fills the queue is refused, not its neighbour.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		r := New(Config{Instance: "a", Claims: &fakeClaims{log: f.log, instance: "a"}, Holder: f, Workers: f.workers, QueueLimit: 10})
		defer r.Close()
		worker := liveWorker(0)
		worker.Slots = 1
		r.SetWorkers([]*apiv1.Worker{worker})
		f.workers.setAnswer(echoAfter(10 * time.Millisecond))
		ask := func(request Request) (Answer, time.Duration) {
			request.Account = string(request.Payload)
			started := time.Now()
			answer := mustDo(t, r, request)
			return answer, time.Since(started)
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		refused := 0
		for range 40 {
			all.Go(func() {
				answer, _ := ask(idempotent("greedy"))
				if answer.Outcome == Done {
					return
				}
				want(t, answer, NotRun, KindQueueFull)
				if answer.RetryAfter < minRetryAfter {
					t.Errorf("retry after %v", answer.RetryAfter)
				}
				mu.Lock()
				refused++
				mu.Unlock()
			})
		}
		synctest.Wait()
		answer, took := ask(keyed("modest"))
		want(t, answer, Done, KindNone)
		if took > 100*time.Millisecond {
			t.Errorf("the modest account waited %v", took)
		}
		all.Wait()
		// One of the 40 runs at once and 10 wait, of which the newest gives way to the modest account.
		if wantRefused := 40 - 1 - 10 + 1; refused != wantRefused {
			t.Errorf("%d refused, want %d", refused, wantRefused)
		}
		time.Sleep(time.Minute)
		if ran := f.workers.ran("greedy"); ran != 40-refused {
			t.Errorf("%d ran, %d were told not run", ran, refused)
		}
	})
}

// TestOverloadIsRefusedEarly: once the queue delay is known, a request that can't make its deadline costs no claim and
// no wait.
func TestOverloadIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		worker := liveWorker(0)
		worker.Slots = 1
		r := f.routers["a"]
		r.SetWorkers([]*apiv1.Worker{worker})
		f.workers.setAnswer(echoAfter(100 * time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() {
				request := idempotent("load")
				request.Deadline = time.Now().Add(time.Minute)
				r.Do(ctx, request) //nolint:errcheck // only the load matters
			})
		}
		time.Sleep(time.Second)
		claims := f.log.claims
		started := time.Now()
		request := keyed("settle")
		request.Deadline = started.Add(500 * time.Millisecond)
		answer := mustDo(t, r, request)
		want(t, answer, NotRun, KindOverload)
		if time.Since(started) > 0 || f.log.claims != claims {
			t.Errorf("refused after %v and %d claims, want at once and without", time.Since(started), f.log.claims-claims)
		}
		patient := keyed("patient")
		patient.Deadline = time.Now().Add(30 * time.Second)
		want(t, mustDo(t, r, patient), Done, KindNone)
		cancel()
		all.Wait()
	})
}
