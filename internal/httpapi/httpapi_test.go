package httpapi_test

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
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/gateway"
	"github.com/dotterelgauge/dotterelgauge/internal/httpapi"
	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

const id = "5c0e7a21d94b36f8"

// instance is a fake owner that gives the same explanation for every job. It implements httpapi.Instance and
// gateway.Health.
type instance struct {
	jobs *storelog.Follower
}

func (instance) Status(context.Context) *apiv1.InstanceStatus {
	return &apiv1.InstanceStatus{Instance: "i0", OwnerEpoch: 3}
}

func (instance) Explain(context.Context, string) []string {
	return []string{"no worker has enough free resources"}
}

func (instance) Fresh() bool { return true }

func (instance) ConfigCurrent() bool { return true }

func (i instance) Refresh(ctx context.Context) { i.jobs.Refresh(ctx) }

func (i instance) CatchUp(ctx context.Context) error { return i.jobs.CatchUp(ctx) }

func (instance) CheckStore(context.Context) error { return nil }

// newClient serves the interface over a mock store and returns a client that sends the key.
func newClient(t *testing.T, key string) *client.Client {
	t.Helper()
	store, logger := mock.NewStore(), events.Discard()
	jobs := replica.New(logger)
	follower := storelog.NewFollower(store.ForInstance("i0"), jobs, storelog.FollowOptions{Name: "jobs", Wait: time.Second}, logger)
	appender := storelog.NewAppender(store.ForInstance("i0"), "p", 1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go follower.Run(ctx)
	go func() { _ = appender.Run(ctx) }() // ends with the test
	holder := config.NewHolder(logger)
	holder.Set(&config.Configuration{
		Version: 1, Queues: []config.Queue{{Name: "settle", Host: "h", PathPrefix: "/q/", Service: "s", MaxAttempts: 2}},
		Accounts: map[string]config.Account{"acme": {Name: "acme", Keys: []string{"key"}}},
	})
	owner := instance{follower}
	server := httptest.NewServer(httpapi.Handler(gateway.New(holder, jobs, appender, owner, &metrics.Stages{}, 0, logger), owner))
	t.Cleanup(server.Close)
	return client.New(strings.TrimPrefix(server.URL, "http://"), key)
}

func job() *storev1.Job {
	return &storev1.Job{Spec: "text", Steps: []*storev1.Step{{
		Count: 2, EstimateMs: 1000, Need: &storev1.Resources{Accelerators: 1},
	}}}
}

func TestSubmitShowAndCancelJob(t *testing.T) {
	ctx, api := context.Background(), newClient(t, "key")
	if _, err := api.SubmitJob(ctx, "settle", id, job()); err != nil {
		t.Fatal(err)
	}
	view, err := api.Job(ctx, "settle", id)
	if err != nil || view.GetState() != "queued" || len(view.GetWaits()) != 1 {
		t.Errorf("job %v, %v; want it queued, with one reason", view, err)
	}
	if queue, err := api.Queue(ctx, "settle"); err != nil || queue.GetPending() != 1 {
		t.Errorf("queue %v, %v; want one pending job", queue, err)
	}
	if err := api.CancelJob(ctx, "settle", id); err != nil {
		t.Error(err)
	}
	if view, err := api.Job(ctx, "settle", id); err != nil || view.GetState() != "cancelled" {
		t.Errorf("job %v, %v; want it cancelled", view, err)
	}
	if status, err := api.Status(ctx); err != nil || status.GetOwnerEpoch() != 3 {
		t.Errorf("status %v, %v; want owner epoch 3", status, err)
	}
}

func TestRefusalsHaveStatusAndDetail(t *testing.T) {
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
			_, err := newClient(t, test.key).SubmitJob(ctx, test.queue, test.id, test.job)
			var problem *client.ProblemError
			if !errors.As(err, &problem) {
				t.Fatalf("%v, want a ProblemError", err)
			}
			if problem.Problem.GetStatus() != test.status || problem.Problem.GetOutcome() != apiv1.Outcome_OUTCOME_NOT_RUN ||
				problem.Problem.GetDetail() == "" {
				t.Errorf("%v, want status %d, outcome not run and a detail", problem.Problem, test.status)
			}
		})
	}
}

func TestUnknownJobIsNotFound(t *testing.T) {
	_, err := newClient(t, "key").Job(context.Background(), "settle", id)
	var problem *client.ProblemError
	if !errors.As(err, &problem) || problem.Problem.GetStatus() != 404 {
		t.Errorf("%v, want status 404", err)
	}
}
