package gateway_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// storeHealth is a gateway.Health whose store answers unless it is down.
type storeHealth struct{ configObsolete, stale, down bool }

func (h *storeHealth) ConfigCurrent() bool     { return !h.configObsolete }
func (h *storeHealth) Fresh() bool             { return !h.configObsolete && !h.stale }
func (h *storeHealth) Refresh(context.Context) {}

func (h *storeHealth) CatchUp(ctx context.Context) error { return h.CheckStore(ctx) }

func (h *storeHealth) CheckStore(context.Context) error {
	if h.down {
		return errors.New("down")
	}
	return nil
}

// forwarder is a gateway.Forwarder with a fixed result.
type forwarder struct {
	fate     gateway.Fate
	response gateway.Response
	calls    int
	body     []byte
}

func (f *forwarder) Forward(_ context.Context, _ gateway.Request, body []byte, _ time.Time) (gateway.Response, gateway.Fate) {
	f.calls++
	f.body = body
	return f.response, f.fate
}

// Guards against calls that are forwarded without need, once too often or not at all, and against answers that promise more or less
// than is known.
func TestCallsAreForwardedWhenNeeded(t *testing.T) {
	const submit, show = gateway.SubmitJob, gateway.ShowState
	ok := gateway.Response{State: replica.Running}
	for name, test := range map[string]struct {
		health    storeHealth
		failing   bool
		operation gateway.Operation
		fate      gateway.Fate
		hops      int
		key       string
		bodyBytes int
		calls     int
		want      gateway.Result
	}{
		"store answers":               {operation: submit, want: gateway.OK},
		"reads fail":                  {failing: true, operation: submit, fate: gateway.Forwarded, calls: 1, want: gateway.OK},
		"store is down":               {health: storeHealth{down: true}, operation: submit, fate: gateway.Forwarded, calls: 1, want: gateway.OK},
		"second hop":                  {health: storeHealth{down: true}, operation: submit, hops: 1, want: gateway.NotRun},
		"no peer takes it":            {health: storeHealth{down: true}, operation: submit, fate: gateway.NotForwarded, calls: 1, want: gateway.NotRun},
		"no peer, but store answers":  {failing: true, operation: submit, fate: gateway.NotForwarded, calls: 1, want: gateway.OK},
		"nobody reaches store":        {failing: true, operation: submit, fate: gateway.NobodyReachesStore, calls: 1, want: gateway.NotRun},
		"peer doesn't answer":         {failing: true, operation: submit, fate: gateway.Lost, calls: 1, want: gateway.Undecided},
		"peer doesn't answer a query": {health: storeHealth{down: true}, operation: show, fate: gateway.Lost, calls: 1, want: gateway.NotRun},
		"unknown key":                 {failing: true, operation: submit, key: "other", want: gateway.Unauthorized},
		"unknown key, obsolete configuration": {
			health: storeHealth{configObsolete: true}, operation: submit, key: "other", fate: gateway.Forwarded, calls: 1, want: gateway.OK,
		},
		"large body": {failing: true, operation: submit, bodyBytes: 300 << 10, want: gateway.OK},
		"large body, obsolete configuration": {
			health: storeHealth{configObsolete: true}, operation: submit, bodyBytes: 300 << 10, want: gateway.NotRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			store, jobs := mock.NewStore(), replica.New(events.Discard())
			holder := config.NewHolder(events.Discard())
			configuration := &config.Configuration{
				Version: 1, Queues: []config.Queue{{Name: "q", Service: "s", MaxAttempts: 2}},
				Accounts: map[string]config.Account{"acme": {Name: "acme", Keys: []string{"key"}}},
			}
			configuration.Limits.MaxBodyBytes = 1 << 20
			holder.Set(configuration)
			appender := storelog.NewAppender(store.ForInstance("i"), "p", 1, 0)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go func() { _ = appender.Run(ctx) }() // ends with the test
			gw := gateway.New(holder, jobs, appender, &test.health, &metrics.Stages{}, 0, events.Discard())
			peers := &forwarder{fate: test.fate, response: ok}
			gw.ForwardWith(peers, func() bool { return test.failing })
			body := strings.Repeat("x", max(4, test.bodyBytes))
			if test.key == "" {
				test.key = "key"
			}
			response := gw.Handle(ctx, gateway.Request{
				Call: gateway.Call{Key: test.key}, Interface: gateway.OwnInterface, Operation: test.operation,
				Queue: "q", ID: "00000000000000aa", Body: io.Reader(bytes.NewReader([]byte(body))), Hops: test.hops,
				Decode: func(raw []byte) (*storev1.Job, gateway.Answer) {
					if string(raw) != body {
						t.Errorf("a body of %d bytes was decoded, want all %d", len(raw), len(body))
					}
					return &storev1.Job{Steps: []*storev1.Step{{Count: 1}}}, gateway.Answer{}
				},
			})
			if response.Result != test.want || peers.calls != test.calls {
				t.Errorf("%v, %d calls forwarded; want %v, %d calls", response.Result, peers.calls, test.want, test.calls)
			}
			if peers.calls > 0 && test.operation == submit && string(peers.body) != body {
				t.Errorf("a body of %d bytes was forwarded, want all %d", len(peers.body), len(body))
			}
			if response.Result == gateway.NotRun && response.RetryAfter <= 0 {
				t.Error("the answer doesn't say when to retry")
			}
		})
	}
}
