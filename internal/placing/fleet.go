package placing

import (
	"sync"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policymsg"
)

// localWorker is what the loop knows of a worker.
type localWorker struct {
	listed    *apiv1.Worker
	present   bool
	used      bool // a gang is held there; kept up to date only while a worker is missing
	verdict   apiv1.WorkerCondition
	suspect   time.Time // gets nothing new until then
	condition policy.Condition
}

// wanted is the condition that the policy is to know.
func (w *localWorker) wanted(now time.Time) policy.Condition {
	switch {
	case !w.present && !w.used:
		return policy.Lost
	case w.verdict == apiv1.WorkerCondition_WORKER_CONDITION_QUARANTINED:
		return policy.Quarantined
	case !w.present,
		w.verdict == apiv1.WorkerCondition_WORKER_CONDITION_DRAINED,
		w.listed.GetPresence() == apiv1.Presence_PRESENCE_LEAVING,
		now.Before(w.suspect):
		return policy.Draining
	}
	return policy.Healthy
}

// fleetView holds the workers of the data centre. Only address may be called beside the loop.
type fleetView struct {
	workers map[string]*localWorker
	order   []string

	mu        sync.Mutex
	addresses map[string]string
}

func newFleetView() *fleetView {
	return &fleetView{workers: map[string]*localWorker{}, addresses: map[string]string{}}
}

// address returns the IP:port of a worker. A worker that left the list keeps its last one, because the
// list may be wrong and its tasks have to be stopped.
func (f *fleetView) address(worker string) (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	address, known := f.addresses[worker]
	return address, known
}

// readFleet takes the instance list over and tells the policy what changed.
func (l *Loop) readFleet() {
	for _, known := range l.fleet.workers {
		known.present = false
	}
	for _, listed := range l.config.Fleet.Workers(l.config.DataCentre) {
		l.readWorker(listed)
	}
	l.keepUsed()
	l.markWorkers()
}

// keepUsed keeps workers that left the list while gangs are held there: the list may be wrong, and if it
// is not, the renewals fail and end the gangs.
func (l *Loop) keepUsed() {
	gone := false
	for _, known := range l.fleet.workers {
		known.used = false
		gone = gone || !known.present
	}
	if !gone {
		return
	}
	for _, known := range l.jobs {
		if known.phase == waiting {
			continue
		}
		for _, each := range known.placement.GetMembers() {
			if on := l.fleet.workers[each.GetWorker()]; on != nil {
				on.used = true
			}
		}
	}
}

func (l *Loop) readWorker(listed *apiv1.Worker) {
	name := listed.GetName()
	known := l.fleet.workers[name]
	if known == nil {
		known = &localWorker{}
		l.fleet.workers[name] = known
		l.fleet.order = append(l.fleet.order, name)
		l.config.Policy.AddWorker(policymsg.Worker(listed))
	}
	known.listed = listed
	known.present = true
	l.fleet.mu.Lock()
	l.fleet.addresses[name] = listed.GetAddress()
	l.fleet.mu.Unlock()
}

// markWorkers tells the policy of changed conditions.
func (l *Loop) markWorkers() {
	now := time.Now()
	for _, name := range l.fleet.order {
		known := l.fleet.workers[name]
		if wanted := known.wanted(now); wanted != known.condition {
			known.condition = wanted
			l.config.Policy.MarkWorker(name, wanted)
		}
	}
}

// suspectWorker keeps new work from a worker for a while.
func (l *Loop) suspectWorker(name string, err error) {
	known := l.fleet.workers[name]
	if known == nil {
		return
	}
	now := time.Now()
	if !now.Before(known.suspect) {
		l.config.Observe(Event{Kind: EventWorkerSuspected, Worker: name, Err: err})
	}
	known.suspect = now.Add(suspectPause)
	l.markWorkers()
}

// readVerdicts takes the agreed verdicts over.
func (l *Loop) readVerdicts() {
	verdicts := map[string]apiv1.WorkerCondition{}
	for _, verdict := range l.config.View.Verdicts() {
		verdicts[verdict.GetWorker()] = verdict.GetCondition()
	}
	for name, known := range l.fleet.workers {
		known.verdict = verdicts[name]
	}
	l.markWorkers()
}
