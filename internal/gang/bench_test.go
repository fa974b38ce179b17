package gang

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
)

// size is a data centre that a round is measured at.
type size struct {
	workers int
	tasks   int
}

// sizes lead up to one of seven data centres at the two-year size: 720 workers and 14,000 tasks.
var sizes = []size{{26, 500}, {52, 1000}, {103, 2000}}

const (
	gangMembers = 8
	benchTerm   = 15 * time.Second
)

// roundBudgetBytes is what rounds may cost at the two-year size: half of 10 KB a second of control, in the
// five seconds of a round.
const roundBudgetBytes = 25_000

// counters count messages and bytes on the way to the workers and back.
type counters struct {
	calls, bodyBytes, wireBytes atomic.Int64
}

// countingWorkers counts the calls and bodies of another platform.Workers.
type countingWorkers struct {
	platform.Workers
	counters *counters
}

func (c countingWorkers) Worker(address string) platform.Worker {
	return countingWorker{c.Workers.Worker(address), c.counters}
}

type countingWorker struct {
	platform.Worker
	counters *counters
}

func (c countingWorker) Lease(ctx context.Context, request *apiv1.LeaseRequest) (*apiv1.LeaseReply, error) {
	reply, err := c.Worker.Lease(ctx, request)
	c.counters.calls.Add(1)
	c.counters.bodyBytes.Add(int64(proto.Size(request) + proto.Size(reply)))
	return reply, err
}

// countingConn counts the bytes of a connection both ways.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.wireBytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.wireBytes.Add(int64(n))
	return n, err
}

// startWorkers serves stand-ins over HTTP on loopback, or in memory.
func startWorkers(tb testing.TB, count int, overHTTP bool, c *counters) (platform.Workers, []string) {
	var stand []*worker.Worker
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("w%d", i)
		stand = append(stand, worker.New(worker.Options{Description: &apiv1.Worker{
			Name: addresses[i], Address: addresses[i], Cores: 1 << 10, MemoryMib: 1 << 30,
		}}))
	}
	if !overHTTP {
		return countingWorkers{worker.NewNetwork(stand...), c}, addresses
	}
	for i, each := range stand {
		server := httptest.NewServer(each.Handler())
		tb.Cleanup(server.Close)
		addresses[i] = server.Listener.Addr().String()
	}
	dialer := &net.Dialer{}
	transport := &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{conn, c}, nil
		},
	}
	tb.Cleanup(transport.CloseIdleConnections)
	return countingWorkers{workerclient.New(transport), c}, addresses
}

// startGangs returns a manager that holds gangs of eight members spread over the workers.
func startGangs(tb testing.TB, s size, overHTTP bool, c *counters) *Manager {
	workers, addresses := startWorkers(tb, s.workers, overHTTP, c)
	m := New(Config{
		DataCentre: "perth-1", Epoch: 1, Term: benchTerm, Workers: workers,
		Address: func(name string) (string, bool) { return name, true },
		Log:     func(context.Context, *apiv1.Record) error { return nil },
		Notify:  func(Event) {},
	})
	next := 0
	for i := range s.tasks / gangMembers {
		job := &apiv1.Job{
			Id: fmt.Sprintf("0198a1b2-0000-7000-8000-%012d", i), Run: 1, Placement: &apiv1.Placement{},
			Spec: &apiv1.JobSpec{ExpectedMs: time.Hour.Milliseconds() * 24},
		}
		for range gangMembers {
			job.Placement.Members = append(job.Placement.Members, &apiv1.Member{Worker: addresses[next%s.workers]})
			next++
		}
		if err := m.Start(tb.Context(), job); err != nil {
			tb.Fatal(err)
		}
	}
	return m
}

// round makes one whole round and waits for its end.
func (m *Manager) roundForTest(ctx context.Context) {
	m.tick(ctx, true)
	m.tasks.Wait()
}

// BenchmarkRenewalRound measures one round of a data centre; the figures are for each round.
func BenchmarkRenewalRound(b *testing.B) {
	for _, overHTTP := range []bool{false, true} {
		for _, s := range sizes {
			b.Run(fmt.Sprintf("http=%t/workers=%d/tasks=%d", overHTTP, s.workers, s.tasks), func(b *testing.B) {
				c := &counters{}
				m := startGangs(b, s, overHTTP, c)
				m.roundForTest(b.Context())
				m.roundForTest(b.Context())
				c.calls.Store(0)
				c.bodyBytes.Store(0)
				c.wireBytes.Store(0)
				b.ReportAllocs()
				for b.Loop() {
					m.roundForTest(b.Context())
				}
				rounds := float64(b.N)
				b.ReportMetric(float64(c.calls.Load())/rounds, "calls/round")
				b.ReportMetric(float64(c.bodyBytes.Load())/rounds, "body-B/round")
				if overHTTP {
					b.ReportMetric(float64(c.wireBytes.Load())/rounds, "wire-B/round")
				}
			})
		}
	}
}

// BenchmarkCheckpointGang measures the checkpoint of one gang with a member on each of eight workers.
func BenchmarkCheckpointGang(b *testing.B) {
	c := &counters{}
	m := startGangs(b, size{gangMembers, gangMembers}, true, c)
	var jobID string
	for id := range m.gangs {
		jobID = id
	}
	c.calls.Store(0)
	c.wireBytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := m.Checkpoint(b.Context(), jobID, time.Second); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(c.calls.Load())/float64(b.N), "calls/checkpoint")
	b.ReportMetric(float64(c.wireBytes.Load())/float64(b.N), "wire-B/checkpoint")
}

// BenchmarkPlanRound measures what a round costs the owner before the calls.
func BenchmarkPlanRound(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", s.workers, s.tasks), func(b *testing.B) {
			m := startGangs(b, s, false, &counters{})
			b.ReportAllocs()
			for b.Loop() {
				clear(m.inFlight)
				for _, g := range m.gangs {
					for _, each := range g.members {
						each.acked = true
					}
					g.deadline = time.Now().Add(benchTerm)
				}
				m.plan(b.Context(), time.Now(), true)
			}
		})
	}
}

// BenchmarkHeldGangs measures the memory of the gangs that an owner holds.
func BenchmarkHeldGangs(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", s.workers, s.tasks), func(b *testing.B) {
			job := &apiv1.Job{Id: "0198a1b2-0000-7000-8000-000000000000", Run: 1, Placement: &apiv1.Placement{}, Spec: &apiv1.JobSpec{}}
			for range gangMembers {
				job.Placement.Members = append(job.Placement.Members, &apiv1.Member{Worker: "w"})
			}
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				gangs := make([]*gang, 0, s.tasks/gangMembers)
				for range s.tasks / gangMembers {
					gangs = append(gangs, newGang(job))
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(gangs)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(s.tasks), "held-B/task")
		})
	}
}

// TestRoundAtTwoYearSizeStaysInItsBudget bounds calls and bytes of a round that finds nothing changed.
func TestRoundAtTwoYearSizeStaysInItsBudget(t *testing.T) {
	c := &counters{}
	s := sizes[len(sizes)-1]
	m := startGangs(t, s, true, c)
	m.roundForTest(t.Context())
	c.calls.Store(0)
	c.wireBytes.Store(0)
	m.roundForTest(t.Context())
	if calls := c.calls.Load(); calls != int64(s.workers) {
		t.Errorf("%d calls in a round, want one for each of %d workers", calls, s.workers)
	}
	if bytes := c.wireBytes.Load(); bytes > roundBudgetBytes {
		t.Errorf("a round costs %d bytes, want at most %d", bytes, roundBudgetBytes)
	}
}
