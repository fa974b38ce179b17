package peer

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

const latency = 2 * time.Millisecond

// fakeStore holds the ids of the jobs that were stored.
type fakeStore struct {
	mu   sync.Mutex
	jobs map[string]int
}

// instance is a fake peer: a real Server whose handler stores ids in the fake store.
type instance struct {
	name   string
	store  *fakeStore
	server *Server
	// silent: it answers nothing. diesAfterCall: it stops when a call arrives, before it does anything. losesAnswer: it handles
	// calls, but their answers are lost.
	silent, diesAfterCall, losesAnswer bool
	cutOff                             bool
	// answer, if set, is the answer to every call, which then has no effect.
	answer        *gateway.Answer
	handleTime    time.Duration
	asked, called int
}

// Handle implements Handler.
func (i *instance) Handle(_ context.Context, request gateway.Request) gateway.Response {
	time.Sleep(i.handleTime)
	if i.answer != nil {
		return gateway.Response{Answer: *i.answer}
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return gateway.Response{Answer: gateway.Answer{Result: gateway.Invalid}}
	}
	if request.Operation == gateway.SubmitJob && string(body) == "body" {
		i.store.mu.Lock()
		i.store.jobs[request.ID] = 1
		i.store.mu.Unlock()
	}
	return gateway.Response{State: replica.Running}
}

// network is a Transport between fake instances. It is also the Directory with their records.
type network struct {
	mu        sync.Mutex
	instances map[string]*instance
	peers     []replica.Peer
	store     *fakeStore
}

func newNetwork(names ...string) *network {
	n := &network{instances: map[string]*instance{}, store: &fakeStore{jobs: map[string]int{}}}
	for _, name := range names {
		i := &instance{name: name, store: n.store}
		i.server = newServer(Options{
			ReachesStore: func(context.Context) bool { return !i.cutOff },
			Decoders: map[gateway.Interface]gateway.JobDecoder{
				gateway.OwnInterface: func([]byte) (*storev1.Job, gateway.Answer) { return &storev1.Job{}, gateway.Answer{} },
			},
		}, i, 1000, new(expvar.Map).Init())
		n.instances[name] = i
		n.peers = append(n.peers, replica.Peer{Name: name, Address: name, DataCentre: "z" + name[len(name)-1:], ReceivedAt: time.Now()})
	}
	return n
}

func (n *network) Peers() []replica.Peer                       { return n.peers }
func (n *network) Peer(string) (replica.Peer, bool)            { return replica.Peer{}, false }
func (n *network) HasCertificate(replica.CertificateHash) bool { return true }
func (n *network) IsReady() bool                               { return true }
func (n *network) Changed() <-chan struct{}                    { return nil }

// Ask implements Transport.
func (n *network) Ask(ctx context.Context, to replica.Peer) (Exchange, peerv1.Readiness, error) {
	time.Sleep(latency)
	i := n.instances[to.Name]
	n.mu.Lock()
	i.asked++
	silent := i.silent
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	readiness, release := i.server.Offer(ctx)
	if release == nil {
		return nil, readiness, nil
	}
	return &fakeExchange{n, i, release}, readiness, nil
}

type fakeExchange struct {
	network *network
	to      *instance
	release func()
}

func (e *fakeExchange) Call(ctx context.Context, call *peerv1.Call) (*peerv1.Answer, error) {
	time.Sleep(latency)
	e.network.mu.Lock()
	e.to.called++
	e.to.silent = e.to.silent || e.to.diesAfterCall
	e.network.mu.Unlock()
	if e.to.diesAfterCall {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer := e.to.server.Serve(ctx, call)
	if e.to.losesAnswer {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "late answer")
	}
	return answer, nil
}

func (e *fakeExchange) Close() { e.release() }

// newTestForwarder returns a forwarder of the instance "self" in data centre z0.
func newTestForwarder(n *network) *Forwarder {
	f := newForwarder(Options{Name: "self", DataCentre: "z0"}, n, 1000, events.Discard())
	f.setTransport(n)
	return f
}

// submit forwards the submission of the n-th job with 2.4 s left.
func submit(f *Forwarder, n int) (gateway.Response, gateway.Fate) {
	return forward(f, gateway.SubmitJob, n, 2400*time.Millisecond)
}

func forward(f *Forwarder, operation gateway.Operation, n int, left time.Duration) (gateway.Response, gateway.Fate) {
	request := gateway.Request{Interface: gateway.OwnInterface, Operation: operation, Queue: "q", ID: fmt.Sprintf("%016x", n)}
	return f.Forward(context.Background(), request, []byte("body"), time.Now().Add(left))
}

func (s *fakeStore) wantJobs(t *testing.T, want int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if got := len(s.jobs); got != want {
		t.Errorf("%d jobs are stored, want %d", got, want)
	}
}
