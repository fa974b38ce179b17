package routing

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	standin "github.com/dotterelgauge/dotterelgauge/internal/platform/standin/worker"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/workerclient"
	"github.com/dotterelgauge/dotterelgauge/internal/routing/conn"
)

// loopback is a Router with stand-in workers behind real connections.
type loopback struct {
	router  *Router
	workers []*standin.Worker
}

func newLoopback(t *testing.T, workers int, config conn.Config) *loopback {
	t.Helper()
	f := newFakeLog()
	transport := conn.New(config)
	t.Cleanup(transport.CloseIdleConnections)
	l := &loopback{router: New(Config{
		Instance: "a", Claims: &fakeClaims{log: f, instance: "a"}, Holder: &fakeFleet{}, Workers: workerclient.New(transport),
	})}
	t.Cleanup(l.router.Close)
	var list []*apiv1.Worker
	for i := range workers {
		w := standin.New(standin.Options{Description: &apiv1.Worker{Name: fmt.Sprintf("w%d", i)}})
		server := httptest.NewServer(w.Handler())
		t.Cleanup(server.Close)
		entry := w.Description()
		entry.Address = strings.TrimPrefix(server.URL, "http://")
		list = append(list, entry)
		l.workers = append(l.workers, w)
	}
	l.router.SetWorkers(list)
	return l
}

// TestOnlyWholeOwnAnswersArePassedOn: answers that are foreign, short or damaged are dropped and counted; an idempotent
// request is answered by another worker, a non-idempotent one ends as unknown and isn't repeated.
func TestOnlyWholeOwnAnswersArePassedOn(t *testing.T) {
	for name, faults := range map[string]standin.Faults{
		"foreign": {ForeignAnswers: true}, "short": {ShortAnswers: true}, "damaged": {DamageAnswers: true},
		"lost": {LoseAnswers: true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLoopback(t, 3, conn.Config{})
			l.workers[0].SetFaults(faults)
			var all sync.WaitGroup
			for i := range 60 {
				all.Go(func() {
					payload := fmt.Sprintf("request %d", i)
					request := idempotent(payload)
					if i%2 == 0 {
						request = keyed(payload)
					}
					request.Deadline = time.Now().Add(20 * time.Second)
					answer := mustDo(t, l.router, request)
					if answer.Outcome == Done && string(answer.Payload) != answer.Worker+": "+payload {
						t.Errorf("%q was answered %q", payload, answer.Payload)
					}
					if request.Idempotent {
						want(t, answer, Done, KindNone)
					} else if answer.Outcome == NotRun || answer.Attempts != 1 {
						t.Errorf("%q: %+v", payload, answer)
					}
				})
			}
			all.Wait()
			stats := l.router.Stats()
			if stats.Lost == 0 || name != "lost" && stats.DroppedAnswers != stats.Lost {
				t.Errorf("%d lost and %d dropped", stats.Lost, stats.DroppedAnswers)
			}
		})
	}
}

// oneWayConn is a connection that loses whatever comes back.
type oneWayConn struct{ net.Conn }

func (c oneWayConn) Read(p []byte) (int, error) {
	for {
		if _, err := c.Conn.Read(p); err != nil {
			return 0, err
		}
	}
}

// TestSilentConnectionCostsOneAttempt: an idempotent request is sent again on another connection, a non-idempotent one
// ends as unknown.
func TestSilentConnectionCostsOneAttempt(t *testing.T) {
	cases := []struct {
		request  Request
		outcome  Outcome
		kind     Kind
		attempts int
	}{
		{idempotent("check"), Done, KindNone, 2},
		{keyed("settle"), Unknown, KindAnswerLost, 1},
	}
	for _, c := range cases {
		var dials atomic.Int64
		l := newLoopback(t, 1, conn.Config{
			SilentAfter: 500 * time.Millisecond,
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				dialled, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err == nil && dials.Add(1) == 1 {
					return oneWayConn{dialled}, nil
				}
				return dialled, err
			},
		})
		c.request.Deadline = time.Now().Add(20 * time.Second)
		answer := mustDo(t, l.router, c.request)
		want(t, answer, c.outcome, c.kind)
		if answer.Attempts != c.attempts {
			t.Errorf("%s: %d attempts, want %d", c.request.Payload, answer.Attempts, c.attempts)
		}
	}
}
