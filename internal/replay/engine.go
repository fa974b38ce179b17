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

func (p phase) ended() bool { return p >= finished }

// job is a job with its true run time and how far it is. Times are Unix milliseconds, work is milliseconds at speed 1.
type job struct {
	trace    *apiv1.TraceJob
	spec     *storev1.Job
	step     *storev1.Step
	compared bool
	// idealMillis is the run time alone on the fastest workers that fit.
	idealMillis int64

	phase phase
	// generation counts the starts; events of an earlier generation are void.
	generation int
	workers    []string
	// speed is the work done in a millisecond; started and keptAtStart describe the current run, kept is what a later run
	// needn't do again.
	speed                              float64
	startedAt, savedAtStart, savedWork int64
	waitingSince                       int64
	firstStart, endedAt                int64
	failures                           uint32
	// avoid are the workers on which it failed.
	avoid           map[string]bool
	timeToObjective time.Duration
	coreSeconds     float64
	// savesOnStop tells that the stop under way keeps the work.
	savesOnStop bool
}

// workerState is a worker of the replay.
type workerState struct {
	*apiv1.Worker
	capacity, used assign.Resources
	condition      apiv1.TraceCondition
	health         learned.Health
	speed          learned.Speed
}

// isPresent tells that the worker is there.
func (h *workerState) isPresent() bool {
	return h.condition != apiv1.TraceCondition_TRACE_CONDITION_LOST
}

// dataCentreReplay is one data centre in a replay.
type dataCentreReplay struct {
	trace   *dataCentreTrace
	plan    Planner
	options Options
	now     int64
	// lastActive is when something other than a wake was last due.
	lastActive int64
	queue      eventQueue
	jobs       map[string]*job
	// allJobs lists all jobs by submission, openJobs those that aren't over.
	allJobs, openJobs []*job
	// submittedCount and submittedWork count the jobs of each priority, and their submittedWork in core-seconds.
	submittedCount, submittedWork map[uint32]float64
	workersByName                 map[string]*workerState
	workers                       []*workerState
	guaranteed                    dataCentreGuarantees
	reservations                  map[replica.Task][]string
	urgentDemand                  learned.Demand
	demandObservedAt              int64
	checker                       checker
	meter                         meter
}

func newDomain(site *dataCentreTrace, plan Planner, options Options, measured window) *dataCentreReplay {
	d := &dataCentreReplay{
		trace: site, plan: plan, options: options, jobs: map[string]*job{}, submittedCount: map[uint32]float64{}, submittedWork: map[uint32]float64{}, workersByName: map[string]*workerState{}, guaranteed: site.guaranteed,
		meter: meter{measured: measured},
	}
	for _, worker := range site.workers {
		added := &workerState{Worker: worker, capacity: capacityOf(worker), condition: apiv1.TraceCondition_TRACE_CONDITION_HEALTHY}
		d.workersByName[worker.GetName()] = added
		d.workers = append(d.workers, added)
	}
	for at := range site.events {
		d.queue.push(event{timeMillis: site.events[at].timeMillis, kind: traceEventDue, traceEvent: &site.events[at]})
	}
	if options.TakeoverIntervalMillis > 0 && len(site.events) > 0 {
		d.queue.push(event{timeMillis: site.events[0].timeMillis + options.TakeoverIntervalMillis, kind: takeoverDue})
	}
	return d
}

// simulate plays all events. Those of one instant are taken together before a decision.
func (d *dataCentreReplay) simulate() {
	for len(d.queue.events) > 0 {
		d.now = d.queue.events[0].timeMillis
		if d.queue.activeCount > 0 {
			d.lastActive = d.now
		}
		if d.now-d.lastActive > maxIdleMillis {
			break
		}
		d.meter.advance(d.now)
		for len(d.queue.events) > 0 && d.queue.events[0].timeMillis == d.now {
			d.handleEvent(d.queue.pop())
		}
		d.decide()
		d.meter.observe(d)
	}
}

func (d *dataCentreReplay) handleEvent(due event) {
	switch due.kind {
	case traceEventDue:
		d.applyTraceEvent(due.traceEvent)
		return
	case decisionDue:
		d.queue.decisionPending = false
		return
	case takeoverDue:
		d.changeOwner()
		return
	}
	target := due.job
	if target.generation != due.generation || target.phase.ended() {
		return
	}
	switch due.kind {
	case startDue:
		d.beginRun(target)
	case finishDue:
		d.finishRun(target)
	case failDue:
		d.failRun(target)
	case stopDue:
		d.completeStop(target)
	}
}

func (d *dataCentreReplay) applyTraceEvent(due *traceEvent) {
	switch {
	case due.submitted != nil:
		d.submitJob(due)
	case due.cancelled != "":
		d.cancelJob(d.jobs[due.cancelled])
	case due.worker != nil:
		d.setCondition(d.workersByName[due.worker.GetWorker()], due.worker.GetCondition())
	case due.guaranteed != nil:
		d.guaranteed = *due.guaranteed
	}
}

func (d *dataCentreReplay) submitJob(due *traceEvent) {
	spec := storedJob(due.submitted, d.trace.name, due.timeMillis)
	added := &job{
		trace: due.submitted, spec: spec, step: spec.GetSteps()[0], compared: due.steady, waitingSince: d.now, avoid: map[string]bool{}, timeToObjective: assign.TimeToObjective(spec),
		coreSeconds: assign.JobWork(spec),
		idealMillis: int64(float64(due.submitted.GetRunMs()) / d.trace.bestSpeed(due.submitted)),
	}
	d.submittedCount[spec.GetPriority()]++
	d.submittedWork[spec.GetPriority()] += added.coreSeconds
	d.jobs[spec.GetId()] = added
	d.allJobs, d.openJobs = append(d.allJobs, added), append(d.openJobs, added)
}

// setCondition changes the condition of a worker. One that is lost ends whole every gang with a member on it.
func (d *dataCentreReplay) setCondition(target *workerState, condition apiv1.TraceCondition) {
	target.condition = condition
	if target.isPresent() {
		return
	}
	for _, hit := range d.openJobs {
		if hit.runsOn(target.GetName()) {
			d.loseRun(hit)
		}
	}
}

// changeOwner forgets what only an owner's memory holds. A new owner knows the speeds.
func (d *dataCentreReplay) changeOwner() {
	d.reservations, d.urgentDemand, d.demandObservedAt = nil, learned.Demand{}, d.now
	for _, h := range d.workers {
		h.health = learned.Health{}
	}
	if d.queue.activeCount > 0 {
		d.queue.push(event{timeMillis: d.now + d.options.TakeoverIntervalMillis, kind: takeoverDue})
	}
}

// decide asks the planner and applies what it answers.
func (d *dataCentreReplay) decide() {
	d.observeUrgentDemand()
	if !d.anyWaiting() {
		return
	}
	plan := d.plan(d.view())
	d.reservations = plan.Reservations
	for _, stop := range plan.Preemptions {
		d.stopRun(d.jobs[stop.Task.Job])
	}
	for _, start := range plan.Starts {
		d.startRun(d.jobs[start.Task.Job], start.Workers)
	}
	if !d.queue.decisionPending && d.anyWaiting() {
		d.queue.push(event{timeMillis: d.now + maxDecisionIntervalMillis, kind: decisionDue})
		d.queue.decisionPending = true
	}
}

func (d *dataCentreReplay) anyWaiting() bool {
	return slices.ContainsFunc(d.openJobs, func(each *job) bool { return each.phase == waiting })
}

// observeUrgentDemand takes in what urgent jobs needed since the last decision.
func (d *dataCentreReplay) observeUrgentDemand() {
	cores := 0.0
	for _, each := range d.openJobs {
		if assign.IsUrgent(each.spec, maxStopMillis*time.Millisecond) {
			cores += float64(each.step.GetCount()) * assign.ResourcesOf(each.step).CoreEquivalent()
		}
	}
	d.urgentDemand.Observe(cores, time.Duration(d.now-d.demandObservedAt)*time.Millisecond)
	d.demandObservedAt = d.now
}

// eventKind is what an event is about; those from wakeDue on don't keep a replay going.
type eventKind uint8

const (
	traceEventDue eventKind = iota
	startDue
	finishDue
	failDue
	stopDue
	decisionDue
	takeoverDue
)

// event is something that happens at a data centre.
type event struct {
	timeMillis int64
	// sequence keeps events of one instant in the order of their making.
	sequence   int
	kind       eventKind
	traceEvent *traceEvent
	// job and run say whose run the event belongs to.
	job        *job
	generation int
}

// eventQueue is a heap of events by time; it implements heap.Interface.
type eventQueue struct {
	events   []event
	sequence int
	// activeCount counts the events that keep the replay going; waking tells that a wake is to come.
	activeCount     int
	decisionPending bool
}

func (q *eventQueue) pop() event {
	due := heap.Pop(q).(event) //nolint:forcetypeassert // Push takes events only.
	if due.kind < decisionDue {
		q.activeCount--
	}
	return due
}

func (q *eventQueue) push(added event) {
	added.sequence = q.sequence
	q.sequence++
	if added.kind < decisionDue {
		q.activeCount++
	}
	heap.Push(q, added)
}

// Len is the number of events.
func (q *eventQueue) Len() int { return len(q.events) }

// Less orders events by time, then by their making.
func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return cmp.Or(cmp.Compare(a.timeMillis, b.timeMillis), cmp.Compare(a.sequence, b.sequence)) < 0
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
