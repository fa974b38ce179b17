package routing

import (
	"context"
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// instantWorkers answer at once with one reply.
type instantWorkers struct{}

func (instantWorkers) Worker(string) platform.Worker { return instantWorker{} }

type instantWorker struct{ platform.Worker }

func (instantWorker) Run(_ context.Context, request *apiv1.RunRequest) (*apiv1.RunReply, error) {
	return &apiv1.RunReply{
		RequestId: request.GetRequestId(), Attempt: request.GetAttempt(),
		Status: apiv1.RunStatus_RUN_STATUS_DONE, Payload: request.GetPayload(),
	}, nil
}

func newBenchRouter(workers int) *Router {
	r := New(Config{Instance: "a", Workers: instantWorkers{}, Holder: &fakeFleet{}, Claims: &fakeClaims{log: &fakeLog{
		keys: make(map[keyID][]fakeState), delay: time.Nanosecond,
	}, instance: "a"}})
	var list []*apiv1.Worker
	for i := range workers {
		list = append(list, liveWorker(i))
	}
	r.SetWorkers(list)
	return r
}

// BenchmarkIdempotent is one request through the Router without the network, at the workers of today and of two years on.
func BenchmarkIdempotent(b *testing.B) {
	for _, workers := range []int{50, 200, 720} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			r := newBenchRouter(workers)
			defer r.Close()
			request := Request{Account: "lounge", Class: Urgent, Idempotent: true, Payload: make([]byte, 256)}
			b.ReportAllocs()
			for b.Loop() {
				answer, err := r.Do(b.Context(), request)
				if err != nil || answer.Outcome != Done {
					b.Fatal(answer, err)
				}
			}
		})
	}
}

// BenchmarkKeyed is one non-idempotent request with its claim and end, on claims that cost next to nothing.
func BenchmarkKeyed(b *testing.B) {
	r := newBenchRouter(50)
	defer r.Close()
	b.ReportAllocs()
	for b.Loop() {
		answer, err := r.Do(b.Context(), Request{Account: "lounge", Key: newKey(), Payload: make([]byte, 256)})
		if err != nil || answer.Outcome != Done {
			b.Fatal(answer, err)
		}
	}
}

// BenchmarkSetWorkers is a fetch of the instance list in which one worker changed, among 8 instances.
func BenchmarkSetWorkers(b *testing.B) {
	for _, workers := range []int{50, 200, 720} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			r := newBenchRouter(workers)
			defer r.Close()
			var instances []*apiv1.Instance
			for i := range 8 {
				instances = append(instances, &apiv1.Instance{Name: fmt.Sprintf("i%d", i), Weight: 1})
			}
			r.SetInstances(instances)
			var list []*apiv1.Worker
			for i := range workers {
				list = append(list, liveWorker(i))
			}
			b.ReportAllocs()
			for b.Loop() {
				list[0].Slots = 8 + list[0].Slots%2
				r.SetWorkers(list)
			}
		})
	}
}

// BenchmarkQueue is one request into and out of a queue that holds 1000, by accounts.
func BenchmarkQueue(b *testing.B) {
	for _, accounts := range []int{4, 50, 150} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprintf("account %d", i)
			}
			weight := func(string) int { return 1 }
			c := newClassQueues()
			now := time.Now()
			push := func(i int) {
				class := Class(i % int(classCount))
				c.queues[class].push(&waiter{account: names[i%accounts], class: class, enqueued: now}, 1)
			}
			for i := range 1000 {
				push(i)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				push(i)
				c.pop(weight, now)
				i++
			}
		})
	}
}

// TestAllocationsOfARequest bounds what the Router itself allocates for an idempotent request, whatever the number of
// workers.
func TestAllocationsOfARequest(t *testing.T) {
	const bound = 24
	request := Request{Account: "lounge", Class: Urgent, Idempotent: true, Payload: make([]byte, 256)}
	for _, workers := range []int{1, 50, 720} {
		r := newBenchRouter(workers)
		got := testing.AllocsPerRun(1000, func() {
			if answer, err := r.Do(t.Context(), request); err != nil || answer.Outcome != Done {
				t.Fatal(answer, err)
			}
		})
		r.Close()
		if got > bound {
			t.Errorf("%v allocations with %d workers, bound %d", got, workers, bound)
		}
	}
}
