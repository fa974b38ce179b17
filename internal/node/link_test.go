package node_test

import (
	"context"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// reachableWorkers passes an instance's calls to the workers that it can reach.
type reachableWorkers struct {
	c        *cluster
	instance string
}

// cutOff cuts an instance off from a worker that other instances still reach.
func (c *cluster) cutOff(instance, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[instance] == nil {
		c.cut[instance] = map[string]bool{}
	}
	c.cut[instance][id] = true
}

// reach waits until ctx ends and returns an error if the instance can't reach the worker.
func (r reachableWorkers) reach(ctx context.Context, id string) error {
	r.c.mu.Lock()
	cut := r.c.cut[r.instance][id]
	r.c.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return worker.ErrNoAnswer
}

// Start implements worker.Client.
func (r reachableWorkers) Start(ctx context.Context, target worker.Target, order worker.Start) (worker.Reply, error) {
	if err := r.reach(ctx, target.ID); err != nil {
		return worker.Reply{}, err
	}
	return r.c.workers.Start(ctx, target, order)
}

// Stop implements worker.Client.
func (r reachableWorkers) Stop(ctx context.Context, target worker.Target, order worker.Stop) (worker.Reply, error) {
	if err := r.reach(ctx, target.ID); err != nil {
		return worker.Reply{}, err
	}
	return r.c.workers.Stop(ctx, target, order)
}

// Pace implements worker.Client.
func (r reachableWorkers) Pace(ctx context.Context, target worker.Target, order worker.Pace) (worker.Reply, error) {
	if err := r.reach(ctx, target.ID); err != nil {
		return worker.Reply{}, err
	}
	return r.c.workers.Pace(ctx, target, order)
}

// Poll implements worker.Client. The answer to a poll in progress is lost when the instance is cut off.
func (r reachableWorkers) Poll(ctx context.Context, target worker.Target, order worker.Poll) (worker.Report, error) {
	if err := r.reach(ctx, target.ID); err != nil {
		return worker.Report{}, err
	}
	report, err := r.c.workers.Poll(ctx, target, order)
	if lost := r.reach(ctx, target.ID); lost != nil {
		return worker.Report{}, lost
	}
	return report, err
}

// heal makes all workers reachable from all instances.
func (c *cluster) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = map[string]map[string]bool{}
}
