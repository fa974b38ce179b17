package mock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// A worker whose replies were dropped, or that was late, started tasks while it was down after a crash; they even finished.
func TestCrashedWorkerStartsNothing(t *testing.T) {
	const id = "w00"
	for name, fault := range map[string]func(*mock.Workers){
		"replies dropped": func(w *mock.Workers) { w.DropReplies(id, true) },
		"late":            func(w *mock.Workers) { w.DelayNextStart(id, time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				job := &storev1.Job{Steps: []*storev1.Step{{Count: 1}}}
				workers := mock.NewWorkers(1, func(string) *storev1.Job { return job })
				fault(workers)
				start := worker.Start{Task: "0123456789abcdef.0.0.0", Run: 1, Fence: 1, LeaseEndMs: 10000}
				if name == "late" {
					_, _ = workers.Start(t.Context(), worker.Target{ID: id}, start) // not answered
				}
				workers.Crash(id)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if _, err := workers.Start(ctx, worker.Target{ID: id}, start); err == nil {
					t.Error("a worker that is down has answered")
				}
				time.Sleep(2 * time.Second)
				if started := workers.StartedTasks(); len(started) > 0 {
					t.Errorf("a worker that is down has started %v", started)
				}
				time.Sleep(2 * time.Second) // until it is back
			})
		})
	}
}
