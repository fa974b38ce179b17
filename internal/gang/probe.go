package gang

import (
	"context"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// probePrefix begins the job ids of probes; ids of jobs are UUIDs and never begin so.
const probePrefix = "probe:"

// Probe starts and stops a task without accelerators, cores and memory on a worker and returns nil when
// the worker started it. Errors are a *StartError, ErrFenced and ErrBusy.
func (m *Manager) Probe(ctx context.Context, worker string) error {
	job := &apiv1.Job{
		Id:        probePrefix + worker,
		Run:       1,
		Placement: &apiv1.Placement{Members: []*apiv1.Member{{Worker: worker}}},
	}
	g := newGang(job)
	if err := m.register(g, reserving); err != nil {
		return err
	}
	defer m.forget(g)
	defer m.release(ctx, g)
	if err := m.reserve(ctx, g); err != nil {
		return err
	}
	if failed, is := m.startMembers(ctx, g); is {
		return startError(failed, false)
	}
	return nil
}
