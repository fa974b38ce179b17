package peer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Guards against a call that is answered by anything but the peer's own answer.
func TestPeerHandlesCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a0", "b1")
		f := newTestForwarder(n)
		if response, fate := submit(f, 1); fate != gateway.Forwarded || response.Result != gateway.OK {
			t.Errorf("submit: %+v, %d", response, fate)
		}
		if response, fate := forward(f, gateway.ShowState, 1, time.Second); fate != gateway.Forwarded || response.State != replica.Running {
			t.Errorf("state: %+v, %d", response, fate)
		}
		n.store.wantJobs(t, 1)
		if n.instances["b1"].asked > 0 {
			t.Error("a peer of another data centre was asked although one of the same takes calls")
		}
		refusal := gateway.Answer{Result: gateway.Unauthorized, Detail: "revoked"}
		n.instances["a0"].answer = &refusal
		if response, fate := submit(f, 2); fate != gateway.Forwarded || response.Answer != refusal {
			t.Errorf("a revoked key: %+v, %d; want the peer's answer", response, fate)
		}
	})
}

// Guards against "not run" for a call that a peer received before it died, and against a wait for a peer that died before.
func TestPeerDiesAfterCallWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a0")
		n.instances["a0"].diesAfterCall = true
		f := newTestForwarder(n)
		if _, fate := submit(f, 1); fate != gateway.Lost {
			t.Errorf("fate %d, want lost", fate)
		}
		time.Sleep(time.Minute)
		started := time.Now()
		if _, fate := submit(f, 2); fate != gateway.NotForwarded || time.Since(started) > questionTime+latency {
			t.Errorf("fate %d after %v, want the call not forwarded to a peer that answers no question", fate, time.Since(started))
		}
	})
}

// Guards against a job that is stored twice, or a call given up, when an answer is lost and another peer can be asked in time.
func TestLostAnswerIsRetriedThroughAnotherPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a0", "b1")
		n.instances["a0"].losesAnswer = true
		f := newTestForwarder(n)
		if response, fate := submit(f, 1); fate != gateway.Forwarded || response.Result != gateway.OK {
			t.Errorf("%+v, %d; want the second peer's answer", response, fate)
		}
		n.store.wantJobs(t, 1)
		if n.instances["a0"].called != 1 || n.instances["b1"].called != 1 {
			t.Error("want one call at each peer")
		}
	})
}

// Guards against "not run" or a rejection from a second peer when the first may have stored the job.
func TestLostCallIsNotDeniedByAnotherPeer(t *testing.T) {
	for _, result := range []gateway.Result{gateway.NotRun, gateway.Unauthorized, gateway.NoJob, gateway.Undecided} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork("a0", "b1")
			n.instances["a0"].losesAnswer = true
			n.instances["b1"].answer = &gateway.Answer{Result: result}
			if response, fate := submit(newTestForwarder(n), 1); fate != gateway.Lost {
				t.Errorf("second peer answers %v: %+v, %d; want lost", result, response, fate)
			}
			n.store.wantJobs(t, 1)
		})
	}
}

// Guards against calls that wait for peers one after the other while no instance reaches the store.
func TestNobodyReachesStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a0", "b1", "c1")
		for _, i := range n.instances {
			i.cutOff = true
		}
		f := newTestForwarder(n)
		var calls sync.WaitGroup
		for c := range 20 {
			calls.Go(func() {
				if _, fate := submit(f, c); fate != gateway.NobodyReachesStore {
					t.Errorf("fate %d, want nobody", fate)
				}
			})
		}
		calls.Wait()
		asked := 0
		for _, i := range n.instances {
			asked += i.asked
		}
		if asked != 3 {
			t.Errorf("%d questions for 20 calls at once, want one for each peer", asked)
		}
		n.instances["c1"].cutOff = false
		time.Sleep(firstPause + latency)
		if _, fate := submit(f, 30); fate != gateway.Forwarded {
			t.Errorf("fate %d after a peer reaches the store again, want forwarded", fate)
		}
	})
}

// Guards against a forwarded call that is forwarded once more.
func TestTwoHopsAreRefused(t *testing.T) {
	n := newNetwork("a0")
	call := encodeCall(gateway.Request{Interface: gateway.OwnInterface, Operation: gateway.SubmitJob, ID: "1", Hops: 1}, []byte("body"))
	answer := n.instances["a0"].server.Serve(t.Context(), call)
	if response := decodeAnswer(answer); response.Result != gateway.NotRun {
		t.Errorf("%+v, want it not run", response)
	}
	n.store.wantJobs(t, 0)
}

// Guards against callers of one instance that take all the time of it or its peers.
func TestBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a0", "b1")
		n.instances["a0"].handleTime, n.instances["b1"].handleTime = time.Second, time.Second
		first, second := newTestForwarder(n), newTestForwarder(n)
		fates := make(chan gateway.Fate, 200)
		var calls sync.WaitGroup
		for c := range 50 {
			calls.Go(func() { _, fate := submit(first, c); fates <- fate })
			calls.Go(func() { _, fate := submit(second, 100+c); fates <- fate })
		}
		calls.Wait()
		close(fates)
		counts := map[gateway.Fate]int{}
		for fate := range fates {
			counts[fate]++
		}
		if counts[gateway.Forwarded] != 2*maxInFlight || counts[gateway.NotForwarded] != 100-2*maxInFlight {
			t.Errorf("fates %v, want %d forwarded and no call lost", counts, 2*maxInFlight)
		}
		n.store.wantJobs(t, 2*maxInFlight)
		slow := newServer(Options{ReachesStore: func(context.Context) bool { return true }}, n.instances["a0"], minCallsPerSecond, n.instances["a0"].server.served)
		offers := 0
		for range 1000 {
			if _, release := slow.Offer(t.Context()); release != nil {
				offers++
				release()
			}
			time.Sleep(time.Millisecond)
		}
		if offers > maxInFlight+minCallsPerSecond {
			t.Errorf("%d offers in a second, want at most %d", offers, maxInFlight+minCallsPerSecond)
		}
	})
}

// Guards against a peer that is of no use being asked for each call.
func TestUselessPeerIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a0", "b1")
		n.instances["a0"].cutOff = true
		f := newTestForwarder(n)
		for c := range 300 {
			if _, fate := submit(f, c); fate != gateway.Forwarded {
				t.Fatalf("fate %d", fate)
			}
			time.Sleep(30 * time.Millisecond)
		}
		// 0.3, 0.6, 1.2, 2.4 and 4 s after each other within some 10 s.
		if asked := n.instances["a0"].asked; asked < 4 || asked > 7 {
			t.Errorf("a peer that is cut off was asked %d times in 10 s, want 4 to 7", asked)
		}
	})
}

// Guards against a peer with an obsolete configuration, or one that lost the store after its offer, denying a call.
func TestPeerThatLosesStoreAfterOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a0", "b1")
		n.instances["a0"].answer = &gateway.Answer{Result: gateway.NotRun, StoreUnreachable: true}
		if response, fate := submit(newTestForwarder(n), 1); fate != gateway.Forwarded || response.Result != gateway.OK {
			t.Errorf("%+v, %d; want the second peer's answer", response, fate)
		}
	})
}
