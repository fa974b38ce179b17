package replay

import "github.com/dotterelgauge/dotterelgauge/internal/policy"

// takeOver gives a fresh policy what a new owner reads from the ledger and the instance list.
func (d *domain) takeOver(inForce *configuration) {
	d.policy = d.renew()
	d.evidence, _ = d.policy.(policy.EvidenceKeeper)
	d.wake = 0
	d.configure(inForce)
	for _, worker := range d.checker.order {
		d.policy.AddWorker(worker.Worker)
		if worker.condition != policy.Healthy {
			d.policy.MarkWorker(worker.Name, worker.condition)
		}
	}
	for _, target := range d.order {
		d.hand(target)
	}
}

// hand gives one job that has not ended to the new owner.
func (d *domain) hand(target *job) {
	spec := target.spec
	spec.CheckpointPPM = d.ppm(target)
	switch target.phase {
	case waiting:
		d.policy.Submit(spec)
	case starting:
		target.restored = true
		d.policy.Restore(spec, target.members, d.nowMillis)
	case running, stopping:
		target.restored = true
		d.policy.Restore(spec, target.members, target.startedMillis)
	}
}

func (d *domain) pushTakeover() {
	d.queue.push(event{timeMillis: d.nowMillis + d.options.TakeoverMillis, kind: takeoverDue})
}

// refuse ends a start that cannot go on; a gang that an earlier owner placed counts as lost.
func (d *domain) refuse(target *job) {
	if target.restored {
		d.policy.Ended(target.spec.ID, policy.LostEnd, d.ppm(target), d.nowMillis)
	} else {
		d.policy.StartRefused(target.spec.ID)
	}
	d.free(target)
	d.backToQueue(target)
}
