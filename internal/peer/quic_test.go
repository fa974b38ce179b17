package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	peerv1 "github.com/dotterelgauge/dotterelgauge/api/peer/v1"
	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// process is a Service over QUIC on loopback, with a replica of the mock store.
type process struct {
	*Service
	replica *replica.Replica
	handler *instance
	stop    func()
}

// startProcess starts an instance. An address with port 0 gets a free port.
func startProcess(t testing.TB, store *mock.Store, name, address string) *process {
	t.Helper()
	if address == "" {
		socket, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address = socket.LocalAddr().String()
		_ = socket.Close()
	}
	p := &process{replica: replica.New(events.Discard()), handler: &instance{store: &fakeStore{jobs: map[string]int{}}}}
	follower := storelog.NewFollower(store.ForInstance(name), p.replica, storelog.FollowOptions{Name: "jobs", Wait: time.Second}, events.Discard())
	appender := storelog.NewAppender(store.ForInstance(name), name+address+time.Now().String(), 1, 0)
	service, err := New(Options{
		Name: name, Address: address, DataCentre: "z", Cores: 100, ReachesStore: func(context.Context) bool { return !p.handler.cutOff },
		Decoders: map[gateway.Interface]gateway.JobDecoder{
			gateway.OwnInterface: func([]byte) (*storev1.Job, gateway.Answer) { return &storev1.Job{}, gateway.Answer{} },
		},
	}, p.replica, appender, p.handler, events.Discard())
	if err != nil {
		t.Fatal(err)
	}
	p.Service = service
	service.announcer.readTime = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	running.Go(func() { _ = appender.Run(ctx) }) // ends with the test
	running.Go(func() { service.Run(ctx, ctx) })
	p.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	t.Cleanup(p.stop)
	return p
}

// knows waits until the process has read the record of another one with the given certificates.
func (p *process) knows(t testing.TB, other *process) {
	t.Helper()
	for range 500 {
		if known, ok := p.replica.Peer(other.options.Name); ok && known.Certificates[0] == other.identity.Hashes()[0] {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s doesn't know %s after 5 s", p.options.Name, other.options.Name)
}

// Guards against calls that don't arrive as they were sent, and against connections that stay open without calls.
func TestCallOverQUIC(t *testing.T) {
	store := mock.NewStore()
	a, b := startProcess(t, store, "a", ""), startProcess(t, store, "b", "")
	a.knows(t, b)
	b.knows(t, a)
	if _, fate := submit(a.Forwarder, 1); fate != gateway.Forwarded {
		t.Errorf("fate %d", fate)
	}
	b.handler.store.wantJobs(t, 1)
	request := gateway.Request{Interface: gateway.OwnInterface, Operation: gateway.SubmitJob, ID: "large"}
	large := bytes.Repeat([]byte("x"), 256<<10)
	if _, fate := a.Forward(t.Context(), request, large, time.Now().Add(2*time.Second)); fate != gateway.Forwarded {
		t.Errorf("fate %d of the largest body", fate)
	}
	var calls sync.WaitGroup
	for c := range 20 {
		calls.Go(func() {
			if _, fate := submit(a.Forwarder, c); fate != gateway.Forwarded {
				t.Errorf("fate %d of call %d", fate, c)
			}
		})
	}
	calls.Wait()
	listener := (*a.transport.Load()).(*quicListener)
	time.Sleep(idleTimeout + time.Second)
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if len(listener.connections) > 0 {
		t.Error("a connection stays open without calls")
	}
}

// Guards against a call to the former process of a peer being taken for undecided, and a new process that can't be reached.
func TestRestartedPeerHasNewKey(t *testing.T) {
	store := mock.NewStore()
	a, b := startProcess(t, store, "a", ""), startProcess(t, store, "b", "")
	a.knows(t, b)
	b.knows(t, a)
	if _, fate := submit(a.Forwarder, 1); fate != gateway.Forwarded {
		t.Errorf("fate %d", fate)
	}
	former, _ := a.replica.Peer("b")
	address := b.options.Address
	b.stop()
	b = startProcess(t, store, "b", address)
	a.knows(t, b)
	b.knows(t, a)
	if _, fate := submit(a.Forwarder, 2); fate != gateway.Forwarded {
		t.Errorf("fate %d after the restart", fate)
	}
	if exchange, _, err := (*a.transport.Load()).Ask(t.Context(), former); err == nil || exchange != nil {
		t.Error("the new process was taken for the former one")
	}
}

// Guards against a stranger being served.
func TestCertificatesAreChecked(t *testing.T) {
	store := mock.NewStore()
	a, b := startProcess(t, store, "a", ""), startProcess(t, store, "b", "")
	a.knows(t, b)
	stranger, err := NewIdentity("a")
	if err != nil {
		t.Fatal(err)
	}
	for name, config := range map[string]*tls.Config{
		"other certificate": {Certificates: []tls.Certificate{*stranger.Current()}},
		"no certificate":    {},
	} {
		config.InsecureSkipVerify, config.NextProtos = true, []string{protocolName}
		connection, err := quic.DialAddr(t.Context(), b.options.Address, config, quicConfig())
		if err != nil {
			continue
		}
		// With TLS 1.3 the client's handshake ends before the server has checked its certificate.
		stream, err := connection.OpenStream()
		if err != nil {
			continue
		}
		exchange := newExchange(stream)
		if err := exchange.roundTrip(t.Context(), &peerv1.Question{}, &peerv1.Offer{}); err == nil {
			t.Errorf("%s: the question was answered", name)
		}
	}
}

// Guards against calls that fail while keys are replaced.
func TestKeyRotationHasNoGap(t *testing.T) {
	store := mock.NewStore()
	a, b := startProcess(t, store, "a", ""), startProcess(t, store, "b", "")
	a.knows(t, b)
	b.knows(t, a)
	var stopped atomic.Bool
	var calling sync.WaitGroup
	calls := 0
	calling.Go(func() {
		for ; !stopped.Load(); calls++ {
			if _, fate := submit(a.Forwarder, calls); fate != gateway.Forwarded {
				t.Errorf("fate %d of call %d", fate, calls)
			}
			// Each call needs a handshake.
			listener := (*a.transport.Load()).(*quicListener)
			if peer, ok := a.replica.Peer("b"); ok {
				if connection := listener.open(peer); connection != nil {
					_ = connection.CloseWithError(codeDone, "")
				}
			}
		}
	})
	for range 3 {
		before := [2]replica.CertificateHash{a.identity.Hashes()[0], b.identity.Hashes()[0]}
		var rotating sync.WaitGroup
		for _, p := range []*process{a, b} {
			rotating.Go(func() {
				if err := p.Rotate(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		rotating.Wait()
		if a.identity.Hashes()[0] == before[0] || b.identity.Hashes()[0] == before[1] {
			t.Error("the key was not replaced")
		}
	}
	stopped.Store(true)
	calling.Wait()
	if calls < 10 {
		t.Errorf("only %d calls during the rotations, too few to find a gap", calls)
	}
}
