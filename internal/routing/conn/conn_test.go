package conn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// fakeWorker answers on in-memory connections, some of which swallow what they carry.
type fakeWorker struct {
	accepted chan net.Conn
	dials    atomic.Int64
	// silent is how many of the first connections swallow answers.
	silent int64
	// runs is how long a request runs; busy is what the usage report says.
	runs time.Duration
	busy uint32
	// down makes new connections fail.
	down atomic.Bool
}

func newFakeWorker(t *testing.T, silent int64, runs time.Duration, busy uint32) *fakeWorker {
	t.Helper()
	w := &fakeWorker{accepted: make(chan net.Conn), silent: silent, runs: runs, busy: busy}
	server := &http.Server{Handler: w}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		server.Serve(w) //nolint:errcheck // it ends with Close
	}()
	t.Cleanup(func() {
		server.Close() //nolint:errcheck // nothing is left to lose
		<-ended
	})
	return w
}

func (w *fakeWorker) Accept() (net.Conn, error) {
	c, ok := <-w.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (w *fakeWorker) Close() error {
	close(w.accepted)
	return nil
}

func (w *fakeWorker) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (w *fakeWorker) dial(context.Context, string, string) (net.Conn, error) {
	if w.down.Load() {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	w.accepted <- far
	if w.dials.Add(1) <= w.silent {
		return &oneWayConn{Conn: near, closed: make(chan struct{})}, nil
	}
	return near, nil
}

// oneWayConn carries what is written and never anything back.
type oneWayConn struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *oneWayConn) Read([]byte) (int, error) {
	<-c.closed
	return 0, net.ErrClosed
}

func (c *oneWayConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (w *fakeWorker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	if in.URL.Path == "/v1/usage" {
		body, _ := proto.Marshal(&apiv1.UsageReport{BusySlots: w.busy})
		out.Write(body) //nolint:errcheck // the client sees it
		return
	}
	time.Sleep(w.runs)
	io.WriteString(out, "done") //nolint:errcheck // the client sees it
}

// run sends one request and returns its answer and how long that took.
func run(ctx context.Context, t *Transport) (string, time.Duration, error) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1/v1/run", strings.NewReader("x"))
	if err != nil {
		return "", 0, err
	}
	response, err := t.RoundTrip(request)
	if err != nil {
		return "", time.Since(started), err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), time.Since(started), err
}

// TestSilentConnectionIsFound states when: after SilentAfter at an idle worker, after BusyAfter or the request's own time at
// a busy one. A connection that is only slow is left alone.
func TestSilentConnectionIsFound(t *testing.T) {
	cases := []struct {
		name    string
		silent  int64
		runs    time.Duration
		busy    uint32
		silence time.Duration
		dead    bool
		after   time.Duration
	}{
		{"silent, worker idle", 1, 0, 0, 0, true, DefaultSilentAfter},
		{"silent, worker busy", 1, 0, 3, 0, true, DefaultBusyAfter},
		{"silent, worker busy, more time given", 1, 0, 3, 20 * time.Second, true, 20 * time.Second},
		{"slow within the time", 0, 4500 * time.Millisecond, 1, 0, false, 4500 * time.Millisecond},
		{"slow within the time given", 0, 19 * time.Second, 1, 20 * time.Second, false, 19 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				worker := newFakeWorker(t, c.silent, c.runs, c.busy)
				transport := New(Config{Dial: worker.dial})
				defer transport.CloseIdleConnections()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				body, took, err := run(WithSilence(ctx, c.silence), transport)
				if dead := errors.Is(err, ErrSilent) && errors.Is(err, platform.ErrUnknownEffect); dead != c.dead {
					t.Fatalf("answer %q, error %v", body, err)
				}
				if took < c.after || took > c.after+DefaultProbeTimeout {
					t.Errorf("ended after %v, want %v and at most one probe", took, c.after)
				}
				if !c.dead {
					return
				}
				body, _, err = run(ctx, transport)
				if err != nil || body != "done" {
					t.Errorf("on the next connection: %q, %v", body, err)
				}
				if stats := transport.Stats(); stats.Silent != 1 || stats.Open != 1 || stats.Dialled != 2 {
					t.Errorf("stats %+v", stats)
				}
			})
		})
	}
}

// TestSilenceWithoutAnsweredProbeProvesNothing: a worker that is cut off altogether is left to the deadline.
func TestSilenceWithoutAnsweredProbeProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		worker := newFakeWorker(t, 1, 0, 0)
		transport := New(Config{Dial: worker.dial})
		time.AfterFunc(time.Second, func() { worker.down.Store(true) })
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		_, took, err := run(ctx, transport)
		if !errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrSilent) {
			t.Errorf("error %v, want the deadline", err)
		}
		if took != 30*time.Second || transport.Stats().Probes < 5 {
			t.Errorf("after %v and %d probes", took, transport.Stats().Probes)
		}
	})
}

// TestConnectionsAreBounded runs over real loopback connections.
func TestConnectionsAreBounded(t *testing.T) {
	var open, most atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(out, "done") //nolint:errcheck // the client sees it
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			now := open.Add(1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	transport := New(Config{})
	defer transport.CloseIdleConnections()
	transport.SetLimits([]Limit{{Address: address, Connections: 5}})
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			response, err := (&http.Client{Transport: transport}).Get(server.URL)
			if err != nil {
				t.Error(err)
				return
			}
			defer response.Body.Close()
			io.Copy(io.Discard, response.Body) //nolint:errcheck // the status is enough
		})
	}
	all.Wait()
	if most.Load() > 4 {
		t.Errorf("%d connections at once, want at most 4 of 5", most.Load())
	}
	transport.SetLimits(nil)
	if stats := transport.Stats(); stats.Requests != 200 || stats.Probes != 0 {
		t.Errorf("stats %+v", stats)
	}
}
