package routing

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
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

func newLoopback(t *testing.T, workers int) *loopback {
	t.Helper()
	f := newFakeLog()
	transport := conn.New(conn.Config{})
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
			l := newLoopback(t, 3)
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
