package replay

import (
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

const (
	// quarantineMillis is how long a worker is kept from work before it is tried again.
	quarantineMillis = 10 * 60 * 1000
	// quarantineJobs is the number of different jobs that must fail on a worker.
	quarantineJobs = 3
	// probeMillis is how long a probe takes.
	probeMillis = 1_000
)

// health judges workers for policies that don't do so themselves, alike for all of them.
type health struct {
	// failures lists the jobs that failed on a worker since its last quarantine.
	failures map[string][]string
}

func newHealth() *health { return &health{failures: map[string][]string{}} }

// failed notes a failure and tells whether the worker is to be quarantined.
func (h *health) failed(worker, jobID string) bool {
	if !slices.Contains(h.failures[worker], jobID) {
		h.failures[worker] = append(h.failures[worker], jobID)
	}
	if len(h.failures[worker]) < quarantineJobs {
		return false
	}
	delete(h.failures, worker)
	return true
}

// judge applies a decision on a worker or job at fault.
func (d *domain) judge(decision policy.Decision) {
	switch {
	case decision.Verdict != nil:
		d.applyVerdict(decision.Verdict)
	case decision.Probe != nil:
		d.queue.push(event{timeMillis: d.nowMillis + probeMillis, kind: probeDue, worker: decision.Probe.Worker})
	case decision.AtFault != nil:
		if target := d.jobs[decision.AtFault.JobID]; target != nil && target.phase == waiting {
			d.giveUp(target)
		}
	}
}

// applyVerdict changes the condition of a worker that is there.
func (d *domain) applyVerdict(verdict *policy.Verdict) {
	worker := d.checker.workers[verdict.Worker]
	if worker != nil && worker.condition != policy.Lost && worker.condition != policy.Draining {
		d.mark(verdict.Worker, verdict.Condition)
	}
}

// probed tells the policy how a probe went; without evidence the worker is tried again by itself.
func (d *domain) probed(name string) {
	worker := d.checker.workers[name]
	switch {
	case d.evidence != nil:
		d.evidence.Probed(name, !worker.failing && worker.condition != policy.Lost, d.nowMillis)
	case worker.condition == policy.Quarantined:
		d.mark(name, policy.Healthy)
	}
}
