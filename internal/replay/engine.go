package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// phase is where a job of the replay stands.
type phase uint8

const (
	waiting phase = iota
	starting
	running
	// stopping gangs hold their room until they are saved.
	stopping
	finished
	failed
	cancelled
)

func (p phase) over() bool { return p >= finished }

// job is a job with its true run time and how far it is. Times are Unix milliseconds, work is milliseconds at speed 1.
type job struct {
	trace  *apiv1.TraceJob
	spec   *storev1.Job
	step   *storev1.Step
	steady bool
	// ideal is the run time alone on the fastest workers that fit.
	ideal int64

	phase phase
	// run counts the starts; events of an earlier run are void.
	run     int
	workers []string
	// speed is the work done in a millisecond; started and keptAtStart describe the current run, kept is what a later run
	// needn't do again.
	speed                      float64
	started, keptAtStart, kept int64
	since                      int64
	firstStart, end            int64
	failures                   uint32
	// avoid are the workers on which it failed.
	avoid map[string]bool
	span  time.Duration
	work  float64
	// saves tells that the stop under way keeps the work.
	saves bool
}

// host is a worker of the replay.
type host struct {
	*apiv1.Worker
	capacity, used assign.Resources
	condition      apiv1.TraceCondition
	health         learned.Health
	speed          learned.Speed
}

// present tells that the worker is there.
func (h *host) present() bool { return h.condition != apiv1.TraceCondition_TRACE_CONDITION_LOST }

// domain is one data centre in a replay.
type domain struct {
	site    *site
	plan    Planner
	options Options
	now     int64
	// active is when something other than a wake was last due.
	active int64
	queue  eventQueue
	jobs   map[string]*job
	// order lists all jobs by submission, open those that aren't over.
	order, open []*job
	// submitted and work count the jobs of each priority, and their work in core-seconds.
	submitted, work map[uint32]float64
	hosts           map[string]*host
	hostOrder       []*host
	guaranteed      guaranteed
	reservations    map[replica.Task][]string
	need            learned.Demand
	needAt          int64
	check           check
	meter           meter
}

func newDomain(site *site, plan Planner, options Options, measured window) *domain {
	d := &domain{
		site: site, plan: plan, options: options, jobs: map[string]*job{}, submitted: map[uint32]float64{}, work: map[uint32]float64{}, hosts: map[string]*host{}, guaranteed: site.guaranteed,
		meter: meter{measured: measured},
	}
	for _, worker := range site.workers {
		added := &host{Worker: worker, capacity: capacityOf(worker), condition: apiv1.TraceCondition_TRACE_CONDITION_HEALTHY}
		d.hosts[worker.GetName()] = added
		d.hostOrder = append(d.hostOrder, added)
	}
	for at := range site.inputs {
		d.queue.push(event{at: site.inputs[at].timeMillis, kind: inputDue, input: &site.inputs[at]})
	}
	if options.TakeoverMillis > 0 && len(site.inputs) > 0 {
		d.queue.push(event{at: site.inputs[0].timeMillis + options.TakeoverMillis, kind: takeoverDue})
	}
	return d
}

// run plays all events. Those of one instant are taken together before a decision.
func (d *domain) run() {
	for len(d.queue.events) > 0 {
		d.now = d.queue.events[0].at
		if d.queue.active > 0 {
			d.active = d.now
		}
		if d.now-d.active > maxIdleMillis {
			break
		}
		d.meter.advance(d.now)
		for len(d.queue.events) > 0 && d.queue.events[0].at == d.now {
			d.handle(d.queue.pop())
		}
		d.decide()
		d.meter.observe(d)
	}
}

func (d *domain) handle(due event) {
	switch due.kind {
	case inputDue:
		d.input(due.input)
		return
	case wakeDue:
		d.queue.waking = false
		return
	case takeoverDue:
		d.takeOver()
		return
	}
	target := due.job
	if target.run != due.run || target.phase.over() {
		return
	}
	switch due.kind {
	case startDue:
		d.started(target)
	case finishDue:
		d.finish(target)
	case failDue:
		d.failed(target)
	case stopDue:
		d.stopped(target)
	}
}

func (d *domain) input(due *input) {
	switch {
	case due.submitted != nil:
		d.submit(due)
	case due.cancelled != "":
		d.cancel(d.jobs[due.cancelled])
	case due.worker != nil:
		d.change(d.hosts[due.worker.GetWorker()], due.worker.GetCondition())
	case due.guaranteed != nil:
		d.guaranteed = *due.guaranteed
	}
}

func (d *domain) submit(due *input) {
	spec := jobOf(due.submitted, d.site.name, due.timeMillis)
	added := &job{
		trace: due.submitted, spec: spec, step: spec.GetSteps()[0], steady: due.steady, since: d.now, avoid: map[string]bool{}, span: assign.TimeToObjective(spec),
		work:  assign.JobWork(spec),
		ideal: int64(float64(due.submitted.GetRunMs()) / d.site.fastest(due.submitted)),
	}
	d.submitted[spec.GetPriority()]++
	d.work[spec.GetPriority()] += added.work
	d.jobs[spec.GetId()] = added
	d.order, d.open = append(d.order, added), append(d.open, added)
}

// change changes the condition of a worker. One that is lost ends whole every gang with a member on it.
func (d *domain) change(target *host, condition apiv1.TraceCondition) {
	target.condition = condition
	if target.present() {
		return
	}
	for _, hit := range d.open {
		if hit.on(target.GetName()) {
			d.lost(hit)
		}
	}
}

// takeOver forgets what only an owner's memory holds. A new owner knows the speeds.
func (d *domain) takeOver() {
	d.reservations, d.need, d.needAt = nil, learned.Demand{}, d.now
	for _, h := range d.hostOrder {
		h.health = learned.Health{}
	}
	if d.queue.active > 0 {
		d.queue.push(event{at: d.now + d.options.TakeoverMillis, kind: takeoverDue})
	}
}

// decide asks the planner and applies what it answers.
func (d *domain) decide() {
	d.learnNeed()
	if !d.anyWaiting() {
		return
	}
	plan := d.plan(d.view())
	d.reservations = plan.Reservations
	for _, stop := range plan.Preemptions {
		d.stop(d.jobs[stop.Task.Job])
	}
	for _, start := range plan.Starts {
		d.start(d.jobs[start.Task.Job], start.Workers)
	}
	if !d.queue.waking && d.anyWaiting() {
		d.queue.push(event{at: d.now + wakeMillis, kind: wakeDue})
		d.queue.waking = true
	}
}

func (d *domain) anyWaiting() bool {
	return slices.ContainsFunc(d.open, func(each *job) bool { return each.phase == waiting })
}

// learnNeed takes in what urgent jobs needed since the last decision.
func (d *domain) learnNeed() {
	cores := 0.0
	for _, each := range d.open {
		if assign.IsUrgent(each.spec, stopMillis*time.Millisecond) {
			cores += float64(each.step.GetCount()) * assign.ResourcesOf(each.step).CoreEquivalent()
		}
	}
	d.need.Observe(cores, time.Duration(d.now-d.needAt)*time.Millisecond)
	d.needAt = d.now
}

// eventKind is what an event is about; those from wakeDue on don't keep a replay going.
type eventKind uint8

const (
	inputDue eventKind = iota
	startDue
	finishDue
	failDue
	stopDue
	wakeDue
	takeoverDue
)

// event is something that happens at a data centre.
type event struct {
	at int64
	// sequence keeps events of one instant in the order of their making.
	sequence int
	kind     eventKind
	input    *input
	// job and run say whose run the event belongs to.
	job *job
	run int
}

// eventQueue is a heap of events by time; it implements heap.Interface.
type eventQueue struct {
	events   []event
	sequence int
	// active counts the events that keep the replay going; waking tells that a wake is to come.
	active int
	waking bool
}

func (q *eventQueue) pop() event {
	due := heap.Pop(q).(event) //nolint:forcetypeassert // Push takes events only.
	if due.kind < wakeDue {
		q.active--
	}
	return due
}

func (q *eventQueue) push(added event) {
	added.sequence = q.sequence
	q.sequence++
	if added.kind < wakeDue {
		q.active++
	}
	heap.Push(q, added)
}

// Len is the number of events.
func (q *eventQueue) Len() int { return len(q.events) }

// Less orders events by time, then by their making.
func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence)) < 0
}

// Swap exchanges two events.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push adds an event; use push.
func (q *eventQueue) Push(added any) {
	q.events = append(q.events, added.(event)) //nolint:forcetypeassert // push adds events only.
}

// Pop takes the last event.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events[len(q.events)-1] = event{}
	q.events = q.events[:len(q.events)-1]
	return last
}
