package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/assign"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/expect"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// phase is the state of a job in the replay.
type phase uint8

const (
	waiting phase = iota
	starting
	running
	// stopping gangs hold their resources until the stop is complete.
	stopping
	finished
	failed
	cancelled
)

func (p phase) ended() bool { return p >= finished }

// job is the state of a job in the replay. Times are Unix milliseconds, work is in milliseconds at speed 1.
type job struct {
	trace *apiv1.TraceJob
	spec  *storev1.Job
	step  *storev1.Step
	// compared is copied from the traceEvent that submitted the job.
	compared bool
	// idealMillis is the run time of the job alone on the fastest workers that it fits.
	idealMillis int64

	phase phase
	// generation increases whenever a run starts, is stopped or ends; events of an earlier generation are ignored.
	generation int
	workers    []string
	// speed is the work done per millisecond. startedAt and savedAtStart (the value of savedWork at the start) describe the
	// latest run that began. savedWork is the work that a later run doesn't repeat.
	speed                              float64
	startedAt, savedAtStart, savedWork int64
	waitingSince, placedAt             int64
	preemptions                        int
	// firstStart is 0 until the job has started for the first time.
	firstStart, endedAt int64
	failures            uint32
	// avoid holds the workers on which the job failed.
	avoid map[string]bool
	// expect has what is known of the job's duration. coreSeconds is the work that is expected of the whole job, in core-seconds.
	expect      *expect.Occurrence
	coreSeconds float64
	// savesOnStop is true if the stop in progress saves all work done so far.
	savesOnStop bool
}

// workerState is the state of a worker in the replay.
type workerState struct {
	*apiv1.Worker
	capacity, used assign.Resources
	condition      apiv1.TraceCondition
	health         learned.Health
	speed          learned.Speed
}

// isPresent reports whether the worker is not lost.
func (w *workerState) isPresent() bool {
	return w.condition != apiv1.TraceCondition_TRACE_CONDITION_LOST
}

// dataCentreReplay replays the trace of one data centre with one planner.
type dataCentreReplay struct {
	trace   *dataCentreTrace
	plan    Planner
	options Options
	now     int64
	// lastActive is the last time at which the queue held an event that keeps the replay going.
	lastActive int64
	queue      eventQueue
	jobs       map[string]*job
	// allJobs holds all jobs in the order of submission, openJobs those that have not ended.
	allJobs, openJobs []*job
	// submittedCount is the number of submitted jobs of each priority, submittedWork is their work in core-seconds.
	submittedCount, submittedWork map[uint32]float64
	workersByName                 map[string]*workerState
	workers                       []*workerState
	guaranteed                    dataCentreGuarantees
	reservations                  map[replica.Task][]string
	urgentDemand                  learned.Shapes
	kept                          map[string]bool
	speeds                        learned.Speeds
	demandObservedAt              int64
	accountUse                    assign.UseTracker
	recenteredAt                  int64
	model                         *expect.Model
	checker                       checker
	meter                         meter
}

func newDataCentreReplay(trace *dataCentreTrace, candidate Candidate, options Options, measured window) *dataCentreReplay {
	d := &dataCentreReplay{
		trace: trace, plan: candidate.Plan, model: expect.NewModel(nil, candidate.Learns, events.Discard()), options: options, jobs: map[string]*job{},
		submittedCount: map[uint32]float64{}, submittedWork: map[uint32]float64{},
		workersByName: map[string]*workerState{}, guaranteed: trace.guaranteed,
		meter: meter{measured: measured},
	}
	for _, worker := range trace.workers {
		added := &workerState{Worker: worker, capacity: capacityOf(worker), condition: apiv1.TraceCondition_TRACE_CONDITION_HEALTHY}
		d.workersByName[worker.GetName()] = added
		d.workers = append(d.workers, added)
	}
	for i := range trace.events {
		d.queue.push(event{timeMillis: trace.events[i].timeMillis, kind: traceEventDue, traceEvent: &trace.events[i]})
	}
	if options.TakeoverIntervalMillis > 0 && len(trace.events) > 0 {
		d.queue.push(event{timeMillis: trace.events[0].timeMillis + options.TakeoverIntervalMillis, kind: takeoverDue})
	}
	return d
}

// simulate handles all events in time order. It handles all events of one instant before it asks for a decision.
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
		trace: due.submitted, spec: spec, step: spec.GetSteps()[0], compared: due.compared, waitingSince: d.now,
		avoid: map[string]bool{}, expect: d.model.Job(spec).Occurrence(),
		idealMillis: int64(float64(due.submitted.GetRunMs()) / d.trace.bestSpeed(due.submitted)),
	}
	d.submittedCount[spec.GetPriority()]++
	d.updateWork(added)
	d.jobs[spec.GetId()] = added
	d.allJobs, d.openJobs = append(d.allJobs, added), append(d.openJobs, added)
}

// setCondition sets the condition of a worker. The loss of a worker ends every gang that has a member on it.
func (d *dataCentreReplay) setCondition(target *workerState, condition apiv1.TraceCondition) {
	target.condition = condition
	if target.isPresent() {
		return
	}
	for _, affected := range d.openJobs {
		if affected.runsOn(target.GetName()) {
			d.loseRun(affected)
		}
	}
}

// changeOwner clears the state that an owner holds only in memory. The speeds of the workers are recorded, so a new owner
// has them.
func (d *dataCentreReplay) changeOwner() {
	d.reservations, d.kept, d.urgentDemand, d.demandObservedAt = nil, nil, learned.Shapes{}, d.now
	d.accountUse = assign.UseTracker{}
	for _, w := range d.workers {
		w.health = learned.Health{}
	}
	if d.queue.activeCount > 0 {
		d.queue.push(event{timeMillis: d.now + d.options.TakeoverIntervalMillis, kind: takeoverDue})
	}
}

// decide asks the planner for a plan and applies it.
func (d *dataCentreReplay) decide() {
	d.observeUrgentDemand()
	if !d.anyWaiting() {
		return
	}
	plan := d.plan(d.view())
	d.reservations, d.kept = plan.Reservations, plan.Kept
	for _, preemption := range plan.Preemptions {
		d.stopRun(d.jobs[preemption.Task.Job])
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
	return slices.ContainsFunc(d.openJobs, func(j *job) bool { return j.phase == waiting })
}

// observeUrgentDemand records what urgent jobs have needed since the last decision.
func (d *dataCentreReplay) observeUrgentDemand() {
	var need assign.UrgentNeed
	for _, j := range d.openJobs {
		if assign.IsUrgent(j.spec, j.expect.Expected, maxStopMillis*time.Millisecond) {
			need.Add(j.step, 1, d.workers[0].capacity)
		}
	}
	d.urgentDemand.Observe(need.Whole, need.PartCores, need.RackWidth, time.Duration(d.now-d.demandObservedAt)*time.Millisecond)
	d.demandObservedAt = d.now
}

// eventKind is the kind of an event. Events of the kinds decisionDue and takeoverDue, the last two, don't keep a replay going.
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

// event is an event of a data centre that is due at timeMillis, Unix milliseconds.
type event struct {
	timeMillis int64
	// sequence keeps events of one instant in the order in which they were pushed.
	sequence   int
	kind       eventKind
	traceEvent *traceEvent
	// job and generation identify the run that the event belongs to.
	job        *job
	generation int
}

// eventQueue is a heap of events ordered by time; it implements heap.Interface.
type eventQueue struct {
	events   []event
	sequence int
	// activeCount is the number of events that keep the replay going; decisionPending is true while the queue holds an
	// event of the kind decisionDue.
	activeCount     int
	decisionPending bool
}

func (q *eventQueue) pop() event {
	due := heap.Pop(q).(event) //nolint:forcetypeassert // Push is called with events only.
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

// Len returns the number of events.
func (q *eventQueue) Len() int { return len(q.events) }

// Less orders events by time, then by sequence.
func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return cmp.Or(cmp.Compare(a.timeMillis, b.timeMillis), cmp.Compare(a.sequence, b.sequence)) < 0
}

// Swap exchanges two events.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push appends an event for the package heap; other code uses push.
func (q *eventQueue) Push(added any) {
	q.events = append(q.events, added.(event)) //nolint:forcetypeassert // push adds events only.
}

// Pop removes the last event for the package heap; other code uses pop.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events[len(q.events)-1] = event{}
	q.events = q.events[:len(q.events)-1]
	return last
}
