package entry_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/config"
	"github.com/dotterelgauge/dotterelgauge/internal/entry"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const id = "5c0e7a21d94b36f8"

// instance is one that owns the orders and explains every job alike. It implements entry.Instance and gateway.Health.
type instance struct {
	jobs *storelog.Follower
}

func (instance) Status(context.Context) *apiv1.InstanceStatus {
	return &apiv1.InstanceStatus{Instance: "i0", OwnerEpoch: 3}
}

func (instance) Explain(context.Context, string) []string { return []string{"there is no room"} }

func (instance) Fresh() bool { return true }

func (i instance) Refresh(ctx context.Context) { i.jobs.Refresh(ctx) }

func (i instance) CatchUp(ctx context.Context) error { return i.jobs.CatchUp(ctx) }

func (instance) CheckStore(context.Context) error { return nil }

// serve serves the interface over a store; call asks as an account.
func serve(t *testing.T, key string) *client.Client {
	t.Helper()
	store, logger := mock.NewStore(), events.Discard()
	jobs := replica.New(logger)
	follower := storelog.NewFollower(store.For("i0"), jobs, storelog.FollowOptions{Name: "jobs", Wait: time.Second}, logger)
	appender := storelog.NewAppender(store.For("i0"), "p", 1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go follower.Run(ctx)
	go func() { _ = appender.Run(ctx) }() // ends with the test
	holder := config.NewHolder(logger)
	holder.Set(&config.Configuration{
		Version: 1, Queues: []config.Queue{{Name: "settle", Host: "h", PathPrefix: "/q/", Service: "s", MaxAttempts: 2}},
		Accounts: map[string]config.Account{"acme": {Name: "acme", Keys: []string{"key"}}},
	})
	shown := instance{follower}
	server := httptest.NewServer(entry.Handler(gateway.New(holder, jobs, appender, shown, &metrics.Stages{}, logger), shown))
	t.Cleanup(server.Close)
	return client.New(strings.TrimPrefix(server.URL, "http://"), key)
}

func job() *storev1.Job {
	return &storev1.Job{Spec: "text", Steps: []*storev1.Step{{Count: 2, EstimateMs: 1000, Need: &storev1.Resources{Accelerators: 1}}}}
}

func TestJobThroughTheInterface(t *testing.T) {
	ctx, caller := context.Background(), serve(t, "key")
	if _, err := caller.SubmitJob(ctx, "settle", id, job()); err != nil {
		t.Fatal(err)
	}
	view, err := caller.Job(ctx, "settle", id)
	if err != nil || view.GetState() != "queued" || len(view.GetWaits()) != 1 {
		t.Errorf("job %v, %v; want it queued, with why", view, err)
	}
	if queue, err := caller.Queue(ctx, "settle"); err != nil || queue.GetPending() != 1 {
		t.Errorf("queue %v, %v; want one job", queue, err)
	}
	if err := caller.CancelJob(ctx, "settle", id); err != nil {
		t.Error(err)
	}
	if view, err := caller.Job(ctx, "settle", id); err != nil || view.GetState() != "cancelled" {
		t.Errorf("job %v, %v; want it cancelled", view, err)
	}
	if status, err := caller.Status(ctx); err != nil || status.GetOwnerEpoch() != 3 {
		t.Errorf("status %v, %v", status, err)
	}
}

func TestRefusalsNameTheRemedy(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name, key, queue, id string
		job                  *storev1.Job
		status               uint32
	}{
		{"unknown key", "other", "settle", id, job(), 401},
		{"unknown queue", "key", "none", id, job(), 404},
		{"wrong id", "key", "settle", "short", job(), 400},
		{"no steps", "key", "settle", id, &storev1.Job{}, 400},
		{"too large", "key", "settle", id, &storev1.Job{Spec: strings.Repeat("x", 1<<20)}, 413},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := serve(t, test.key).SubmitJob(ctx, test.queue, test.id, test.job)
			var told *client.ProblemError
			if !errors.As(err, &told) {
				t.Fatalf("%v, want a problem", err)
			}
			if told.Problem.GetStatus() != test.status || told.Problem.GetOutcome() != apiv1.Outcome_OUTCOME_NOT_RUN || told.Problem.GetDetail() == "" {
				t.Errorf("%v, want status %d, not run, with a detail", told.Problem, test.status)
			}
		})
	}
}

func TestUnknownJobIsDenied(t *testing.T) {
	_, err := serve(t, "key").Job(context.Background(), "settle", id)
	var told *client.ProblemError
	if !errors.As(err, &told) || told.Problem.GetStatus() != 404 {
		t.Errorf("%v, want no such job", err)
	}
}
