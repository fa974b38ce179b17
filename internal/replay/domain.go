package replay

import (
	"slices"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// maxIdleMillis ends a replay in which jobs wait for workers that never come back.
const maxIdleMillis = 24 * 60 * 60 * 1000

// phase is where a job of the replay stands.
type phase uint8

const (
	waiting phase = iota
	starting
	running
	// stopping gangs hold their accelerators until they are checkpointed.
	stopping
	ended
)

// outcome is how a job ended.
type outcome uint8

const (
	unfinished outcome = iota
	finished
	failed
	cancelled
)

// job is a job with its true run time and how far it is.
type job struct {
	spec            policy.Job
	idealMillis     int64
	workMillis      int64
	checkpointEvery int64
	checkpointTakes int64
	fails           bool
	steady          bool

	phase   phase
	outcome outcome
	// run counts the starts; events of an earlier run are void.
	run           int
	members       []policy.Member
	speedPermille int
	// startedMillis and keptAtStart describe the current run; keptMillis is work kept by the last checkpoint.
	startedMillis int64
	keptAtStart   int64
	keptMillis    int64

	firstStartMillis int64
	endMillis        int64
	failures         int
	stopReason       policy.StopReason
	stopKeeps        bool
}

// domain is one data centre in a replay.
type domain struct {
	site    *site
	policy  policy.Policy
	options Options

	nowMillis int64
	// activeMillis is when events other than wakes and probes were last due or to come.
	activeMillis int64
	queue        eventQueue
	jobs         map[string]*job
	// order lists the jobs by submission.
	order   []*job
	checker *checker
	claims  *claimChecker
	health  *health
	meter   *meter
	wake    int64
	// changed says that something waits, starts or is freed that did not before.
	changed bool
	// evidence is the policy itself where it judges workers, else nil; then health does.
	evidence policy.EvidenceKeeper
}

func newDomain(site *site, tested policy.Policy, options Options, measured window) *domain {
	d := &domain{
		site:    site,
		policy:  tested,
		options: options,
		jobs:    map[string]*job{},
		checker: newChecker(site),
		health:  newHealth(),
	}
	d.meter = newMeter(measured, d.checker)
	d.evidence, _ = tested.(policy.EvidenceKeeper)
	d.claims = newClaimChecker(d.checker, measured)
	d.configure(&site.configuration)
	for _, worker := range site.workers {
		tested.AddWorker(worker)
	}
	for at := range site.inputs {
		d.queue.push(event{timeMillis: site.inputs[at].timeMillis, kind: inputDue, input: &site.inputs[at]})
	}
	return d
}

// run plays all events. Those of one instant are taken together before the policy decides.
func (d *domain) run() {
	for len(d.queue.events) > 0 {
		d.nowMillis = d.queue.events[0].timeMillis
		if d.idle() {
			break
		}
		d.meter.advance(d.nowMillis)
		for len(d.queue.events) > 0 && d.queue.events[0].timeMillis == d.nowMillis {
			d.handle(d.queue.pop())
		}
		d.decide()
		d.claims.update(d.nowMillis)
		if d.changed {
			d.changed = false
			d.meter.observe(d.checker, d.claims)
		}
	}
	d.claims.finish()
}

// idle tells that nothing but wakes and probes is left, and that they have led to nothing for long.
func (d *domain) idle() bool {
	if d.queue.active > 0 {
		d.activeMillis = d.nowMillis
	}
	return d.nowMillis-d.activeMillis > maxIdleMillis
}

func (d *domain) configure(replaced *configuration) {
	d.changed = true
	d.policy.Configure(replaced.accounts, replaced.teams, replaced.guarantees)
	d.checker.configure(replaced)
	d.claims.configure(replaced)
}

func (d *domain) handle(due event) {
	if due.kind == inputDue {
		d.handleInput(due.input)
		return
	}
	if due.kind == probeDue {
		d.probed(due.worker)
		return
	}
	if due.kind == wakeDue || due.job.run != due.run || due.job.phase == ended {
		return
	}
	switch due.kind {
	case startDue:
		d.started(due.job)
	case finishDue:
		d.end(due.job, policy.Finished, due.job.workMillis)
	case failDue:
		d.failRun(due.job)
	case checkpointDue:
		d.checkpoint(due.job)
	case stopDue:
		d.stopped(due.job)
	}
}

func (d *domain) handleInput(due *input) {
	switch {
	case due.submitted != nil:
		d.submit(due)
	case due.cancelled != "":
		d.cancel(d.jobs[due.cancelled])
	case due.worker != nil:
		d.changeWorker(due.worker)
	case due.configuration != nil:
		d.configure(due.configuration)
	}
}

func (d *domain) submit(due *input) {
	submitted := due.submitted
	added := &job{
		spec:            jobOf(submitted, due.timeMillis),
		idealMillis:     due.idealMillis,
		workMillis:      submitted.GetRunMs(),
		checkpointEvery: submitted.GetCheckpointEveryMs(),
		checkpointTakes: submitted.GetCheckpointMs(),
		fails:           submitted.GetFails(),
		steady:          due.steady,
	}
	d.jobs[added.spec.ID] = added
	d.order = append(d.order, added)
	d.changed = true
	d.claims.waits(added)
	d.policy.Submit(added.spec)
}

func (d *domain) cancel(target *job) {
	if target.phase == ended {
		return
	}
	if target.phase == starting {
		d.policy.StartRefused(target.spec.ID)
		d.free(target)
		target.phase = waiting
		d.claims.waits(target)
	}
	if target.phase == running || target.phase == stopping {
		d.end(target, policy.Cancelled, target.keptMillis)
		return
	}
	d.policy.Ended(target.spec.ID, policy.Cancelled, d.ppm(target), d.nowMillis)
	d.close(target, cancelled)
}

func (d *domain) changeWorker(change *apiv1.TraceWorker) {
	name := change.GetWorker()
	switch change.GetCondition() {
	case apiv1.TraceCondition_TRACE_CONDITION_FAILING:
		d.checker.workers[name].failing = true
	case apiv1.TraceCondition_TRACE_CONDITION_LEAVING:
		d.mark(name, policy.Draining)
	case apiv1.TraceCondition_TRACE_CONDITION_LOST:
		d.lose(name)
	default:
		d.checker.workers[name].failing = false
		if d.checker.workers[name].condition != policy.Quarantined {
			d.mark(name, policy.Healthy)
		}
	}
}

// lose takes a worker away and ends whole every gang with a member on it.
func (d *domain) lose(name string) {
	d.mark(name, policy.Lost)
	for _, hit := range d.order {
		onWorker := slices.ContainsFunc(hit.members, func(m policy.Member) bool { return m.Worker == name })
		if !onWorker {
			continue
		}
		if hit.phase == starting {
			d.policy.StartRefused(hit.spec.ID)
			d.free(hit)
			d.backToQueue(hit)
			continue
		}
		d.end(hit, policy.LostEnd, hit.keptMillis)
	}
}

func (d *domain) mark(name string, condition policy.Condition) {
	d.changed = true
	d.checker.workers[name].condition = condition
	d.policy.MarkWorker(name, condition)
}

// decide asks the policy and applies what it answers.
func (d *domain) decide() {
	for _, decision := range d.policy.Decide(d.nowMillis) {
		d.meter.decisions++
		switch {
		case decision.Start != nil:
			d.start(decision.Start)
		case decision.Stop != nil:
			d.stop(decision.Stop)
		default:
			d.judge(decision)
		}
	}
	if wake := d.policy.WakeMillis(); wake > d.nowMillis && wake != d.wake {
		d.wake = wake
		d.queue.push(event{timeMillis: wake, kind: wakeDue})
	}
}
