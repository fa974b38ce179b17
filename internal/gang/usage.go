package gang

import (
	"context"
	"slices"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// noteReport fetches a worker's usage report when its version changed. The caller holds the lock.
func (m *Manager) noteReport(ctx context.Context, worker string, version uint64) {
	if m.versions[worker] == version || m.fetching[worker] {
		return
	}
	m.fetching[worker] = true
	m.tasks.Go(func() { m.fetchReport(ctx, worker) })
}

// fetchReport reads a worker's usage report and takes the ends of tasks from it.
func (m *Manager) fetchReport(ctx context.Context, worker string) {
	address, known := m.config.Address(worker)
	var report *apiv1.UsageReport
	if known {
		fetchCtx, cancel := context.WithTimeout(ctx, m.callTimeout())
		defer cancel()
		report, _ = m.config.Workers.Worker(address).Usage(fetchCtx)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetching[worker] = false
	if report == nil {
		return
	}
	m.versions[worker] = report.GetVersion()
	for _, task := range report.GetTasks() {
		m.noteTask(ctx, worker, task)
	}
}

// noteTask takes the end of one task from a report. The caller holds the lock.
func (m *Manager) noteTask(ctx context.Context, worker string, report *apiv1.TaskReport) {
	task := report.GetTask()
	g := m.gangs[task.GetJob()]
	if g == nil || !g.is(task) || int(task.GetMember()) >= len(g.members) {
		return
	}
	each := g.members[task.GetMember()]
	if each.worker != worker {
		return
	}
	switch report.GetState() {
	case apiv1.TaskState_TASK_STATE_FINISHED:
		each.finished = true
		m.finishDone(ctx, g)
	case apiv1.TaskState_TASK_STATE_FAILED:
		m.lose(ctx, g, apiv1.RunResult_RUN_RESULT_FAILED, worker, apiv1.LeaseStatus_LEASE_STATUS_START_FAILED)
	default:
	}
}

// finishIfDone ends a gang whose members have all finished.
func (m *Manager) finishIfDone(ctx context.Context, g *gang) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finishDone(ctx, g)
}

// finishDone is finishIfDone for a caller that holds the lock.
func (m *Manager) finishDone(ctx context.Context, g *gang) {
	unfinished := slices.ContainsFunc(g.members, func(each *member) bool { return !each.finished })
	if g.phase == running && !unfinished {
		m.end(ctx, g, apiv1.RunResult_RUN_RESULT_FINISHED, "")
	}
}
