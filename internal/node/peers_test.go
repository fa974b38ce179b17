package node_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/httpapi"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/peer"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// peerNetwork connects instances in memory. It counts the questions.
type peerNetwork struct {
	mu      sync.Mutex
	servers map[string]*peer.Server
	asked   int
}

func (p *peerNetwork) address(name string) string {
	if p == nil {
		return ""
	}
	return name + ":1"
}

func (p *peerNetwork) listen(address string, _ *peer.Identity, _ peer.Directory) (peer.Listener, error) {
	return &peerListener{p, address}, nil
}

func (p *peerNetwork) questions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

type peerListener struct {
	network *peerNetwork
	address string
}

// Serve implements peer.Listener.
func (l *peerListener) Serve(ctx context.Context, server *peer.Server) error {
	l.network.set(l.address, server)
	<-ctx.Done()
	l.network.set(l.address, nil)
	return nil
}

func (p *peerNetwork) set(address string, server *peer.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[address] = server
}

// Ask implements peer.Transport.
func (l *peerListener) Ask(ctx context.Context, to replica.Peer) (peer.Exchange, peerv1.Readiness, error) {
	time.Sleep(4 * time.Millisecond)
	l.network.mu.Lock()
	l.network.asked++
	server := l.network.servers[to.Address]
	l.network.mu.Unlock()
	if server == nil {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	readiness, release := server.Offer(ctx)
	if release == nil {
		return nil, readiness, nil
	}
	return &peerExchange{server, release}, readiness, nil
}

type peerExchange struct {
	server  *peer.Server
	release func()
}

// Call implements peer.Exchange.
func (e *peerExchange) Call(ctx context.Context, call *peerv1.Call) (*peerv1.Answer, error) {
	time.Sleep(4 * time.Millisecond)
	return e.server.Serve(ctx, call), ctx.Err()
}

// Close implements peer.Exchange.
func (e *peerExchange) Close() { e.release() }

// runWithPeers is run with instances that forward calls.
func runWithPeers(t *testing.T, instances, workers int, test func(c *cluster)) {
	t.Helper()
	network := &peerNetwork{servers: map[string]*peer.Server{}}
	runCluster(t, make([]float64, instances), workers, &cluster{peers: network}, test)
}

// request sends a call for the n-th job to an instance as a caller that waits for 3 s.
func (c *cluster) request(via string, operation gateway.Operation, n int, key string, steps ...*storev1.Step) gateway.Response {
	c.t.Helper()
	job := &storev1.Job{Spec: "spec", Steps: steps}
	body, err := protojson.Marshal(job)
	if err != nil {
		c.t.Fatal(err)
	}
	if operation == gateway.SubmitJob {
		c.mu.Lock()
		c.jobs[id(n)] = job
		c.mu.Unlock()
	}
	return c.nodes[via].Gateway().Handle(context.Background(), gateway.Request{
		Call: gateway.Call{Key: key, Timeout: 3 * time.Second}, Interface: gateway.OwnInterface, Operation: operation,
		Queue: "q2", ID: id(n), Body: bytes.NewReader(body), Decode: httpapi.DecodeJob,
	})
}

// injectForAll lets all calls of some instances to the store, also those for the configuration, have a fault.
func (c *cluster) injectForAll(fault mock.Fault, faulty ...string) {
	choose := func(instance, _ string) mock.Fault {
		for _, name := range faulty {
			if name == instance {
				return fault
			}
		}
		return mock.None
	}
	c.inject(choose)
	c.operator.InjectFaults(choose)
}

// isStored reports whether the n-th job is stored.
func (c *cluster) isStored(n int) bool {
	for _, record := range c.store.Records() {
		if record.Key == "j/"+id(n) && len(record.Value) > 0 {
			return true
		}
	}
	return false
}

// runs returns the number of runs of the n-th job's tasks.
func (c *cluster) runs(n int) int {
	runs := map[string]uint32{}
	for _, record := range c.store.Records() {
		run := &storev1.Run{}
		if strings.HasPrefix(record.Key, "r/"+id(n)) && proto.Unmarshal(record.Value, run) == nil {
			runs[record.Key] = max(runs[record.Key], run.GetNumber())
		}
	}
	total := 0
	for _, number := range runs {
		total += int(number)
	}
	return total
}

// Guards against callers of instances being refused while other instances reach the store, against jobs that are stored twice, and
// against calls that are forwarded longer than needed.
func TestCallersOfInstancesWithoutStoreAreServed(t *testing.T) {
	for _, fault := range []mock.Fault{mock.Refuse, mock.DropRequest} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			runWithPeers(t, 6, 8, func(c *cluster) {
				if asked := c.peers.questions(); asked > 0 {
					t.Errorf("%d questions before any fault, want none", asked)
				}
				cut := []string{c.owner(), "i1", "i4"}
				c.injectForAll(fault, cut...)
				jobs := 0
				for started := time.Now(); time.Since(started) < 9*time.Second; jobs++ {
					via := cut[jobs%len(cut)]
					if response := c.request(via, gateway.SubmitJob, jobs, "key", tasks(1, 1, 100*time.Millisecond)); response.Result != gateway.OK {
						t.Errorf("job %d through %s %v after the cut: %+v", jobs, via, time.Since(started), response.Answer)
					}
					if response := c.request(via, gateway.ShowState, jobs, "key"); response.Result != gateway.OK {
						t.Errorf("state of job %d through %s: %+v", jobs, via, response.Answer)
					}
					if jobs%5 == 0 {
						if response := c.request(via, gateway.CancelJob, jobs, "key"); response.Result != gateway.OK {
							t.Errorf("cancel of job %d through %s: %+v", jobs, via, response.Answer)
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				c.injectForAll(mock.None)
				time.Sleep(time.Second)
				asked := c.peers.questions()
				for _, via := range cut {
					if response := c.request(via, gateway.SubmitJob, jobs, "key", tasks(1, 1, time.Second)); response.Result != gateway.OK {
						t.Errorf("job through %s after the fault: %+v", via, response.Answer)
					}
				}
				if again := c.peers.questions(); again > asked {
					t.Errorf("%d questions after the store answers again, want none", again-asked)
				}
				for n := range jobs {
					if n%5 != 0 {
						c.await(n, 2, replica.Completed, 20*time.Second)
					}
				}
			})
		})
	}
}

// Guards against callers that each wait for a store that is known not to answer. A read that was in progress may be answered 1 s after
// the cut, the answer counts for 0.25 s, and the first check after that fails after 0.6 s.
func TestSilentStoreDelaysFewCalls(t *testing.T) {
	const noticed = 1850 * time.Millisecond
	runWithPeers(t, 4, 4, func(c *cluster) {
		c.injectForAll(mock.DropRequest, "i1")
		started := time.Now()
		var calls sync.WaitGroup
		for n := range 80 {
			begun := time.Since(started)
			calls.Go(func() {
				response := c.request("i1", gateway.SubmitJob, n, "key", tasks(1, 1, 50*time.Millisecond))
				if took := time.Since(started) - begun; response.Result != gateway.OK || (begun > noticed && took > 100*time.Millisecond) {
					t.Errorf("a call %v after the cut took %v: %+v", begun, took, response.Answer)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		calls.Wait()
	})
}

// Guards against a job that is accepted under two instances running twice, and against an answer other than success when the record
// was stored although its answer was lost.
func TestSameIDThroughTwoInstancesIsOneJob(t *testing.T) {
	runWithPeers(t, 3, 4, func(c *cluster) {
		c.inject(func(instance, call string) mock.Fault {
			switch {
			case instance != "i1":
				return mock.None
			case call == "append":
				return mock.DropResponse
			default:
				return mock.DropRequest
			}
		})
		for n := range 3 {
			if response := c.request("i1", gateway.SubmitJob, n, "key", tasks(2, 1, time.Second)); response.Result != gateway.OK {
				t.Errorf("job %d: %+v", n, response.Answer)
			}
			if response := c.request("i2", gateway.SubmitJob, n, "key", tasks(2, 1, time.Second)); response.Result != gateway.OK {
				t.Errorf("job %d again: %+v", n, response.Answer)
			}
		}
		time.Sleep(5 * time.Second)
		c.inject(nil)
		for n := range 3 {
			c.await(n, 2, replica.Completed, 20*time.Second)
			if runs := c.runs(n); runs != 2 {
				t.Errorf("the two tasks of job %d ran %d times", n, runs)
			}
		}
	})
}

// Guards against "not run" for a job whose record may be stored, because the peers say that they did nothing.
func TestUnansweredAppendStaysUndecided(t *testing.T) {
	runWithPeers(t, 3, 2, func(c *cluster) {
		c.inject(func(instance, call string) mock.Fault {
			switch {
			case call != "append":
				return mock.None
			case instance == "i1":
				return mock.DropRequest
			default:
				return mock.Refuse
			}
		})
		if response := c.request("i1", gateway.SubmitJob, 1, "key", tasks(1, 1, time.Second)); response.Result != gateway.Undecided {
			t.Errorf("the append was sent and not answered: %+v, want undecided", response.Answer)
		}
		if c.peers.questions() == 0 {
			t.Error("no peer was asked")
		}
	})
}

// Guards against callers that wait for peers while no instance reaches the store.
func TestAnswerAtOnceWhileNoInstanceReachesStore(t *testing.T) {
	runWithPeers(t, 4, 2, func(c *cluster) {
		c.injectForAll(mock.DropRequest, "i0", "i1", "i2", "i3")
		time.Sleep(8 * time.Second)
		slow := 0
		for n := range 40 {
			started := time.Now()
			response := c.request("i0", gateway.SubmitJob, n, "key", tasks(1, 1, time.Second))
			if response.Result != gateway.NotRun || response.RetryAfter <= 0 {
				t.Errorf("%+v, want it not run, with a time to retry", response.Answer)
			}
			if time.Since(started) > time.Millisecond {
				slow++
			}
			time.Sleep(50 * time.Millisecond)
		}
		// A round of questions at most every 300 ms within 2 s.
		if slow > 7 {
			t.Errorf("%d of 40 answers were not given at once, want at most 7", slow)
		}
	})
}

// Guards against a call that is admitted or rejected by an obsolete configuration although a peer has the latest one.
func TestPeerAdmitsByLatestConfiguration(t *testing.T) {
	runWithPeers(t, 3, 2, func(c *cluster) {
		c.injectForAll(mock.Refuse, "i1")
		time.Sleep(3 * time.Second)
		c.operator.Put(keyRecord, []byte("new key"))
		time.Sleep(time.Second)
		if response := c.request("i1", gateway.SubmitJob, 1, "key", tasks(1, 1, time.Second)); response.Result != gateway.Unauthorized {
			t.Errorf("a revoked key: %+v, want it rejected", response.Answer)
		}
		if response := c.request("i1", gateway.SubmitJob, 2, "new key", tasks(1, 1, time.Second)); response.Result != gateway.OK {
			t.Errorf("a new key: %+v, want it accepted", response.Answer)
		}
		if c.isStored(1) || !c.isStored(2) {
			t.Error("want the job with the new key only")
		}
	})
}
