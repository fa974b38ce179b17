package replay

import (
	"fmt"
	"slices"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// JobError reports a job of the trace that no empty data centre could run.
type JobError struct {
	Job        string
	DataCentre string
}

// Error names the job and the remedy.
func (e *JobError) Error() string {
	return fmt.Sprintf("job %q fits no workers of data centre %q: give it fewer or smaller members, "+
		"or list larger workers in the header", e.Job, e.DataCentre)
}

// dataCentreTrace is what one data centre has to play.
type dataCentreTrace struct {
	name       string
	workers    []*apiv1.Worker
	guaranteed dataCentreGuarantees
	events     []traceEvent
	// assignedWork is the work that it was given, to place jobs without a data centre.
	assignedWork float64
}

// traceEvent is one event of the trace at one data centre; exactly one field besides the time is set.
type traceEvent struct {
	timeMillis int64
	submitted  *apiv1.TraceJob
	cancelled  string
	worker     *apiv1.TraceWorker
	guaranteed *dataCentreGuarantees
	// steady jobs are neither cancelled nor failing in the trace, so they end under every planner.
	steady bool
}

// splitter splits a trace by data centre.
type splitter struct {
	dataCentres []*dataCentreTrace
	byName      map[string]*dataCentreTrace
	byWorker    map[string]*dataCentreTrace
	byJob       map[string]*dataCentreTrace
	cancelled   map[string]bool
	measured    window
}

// splitByDataCentre returns what each data centre has to play, and the time that is measured.
func splitByDataCentre(trace *Trace, sheet *apiv1.Sheet) ([]*dataCentreTrace, window, error) {
	s := &splitter{byName: map[string]*dataCentreTrace{}, byWorker: map[string]*dataCentreTrace{}, byJob: map[string]*dataCentreTrace{}, cancelled: map[string]bool{}}
	s.measured.from = trace.Header.GetMeasureFromUnixMs()
	for _, worker := range trace.Header.GetWorkers() {
		s.addWorker(worker)
	}
	if err := s.applyGuarantees(sheet, func(site *dataCentreTrace, given dataCentreGuarantees) { site.guaranteed = given }); err != nil {
		return nil, window{}, err
	}
	for _, line := range trace.Events {
		if line.GetCancelled() != nil {
			s.cancelled[line.GetCancelled().GetId()] = true
		}
	}
	for _, line := range trace.Events {
		if err := s.addEvent(line); err != nil {
			return nil, window{}, err
		}
	}
	return s.dataCentres, s.measured, nil
}

func (s *splitter) addWorker(worker *apiv1.Worker) {
	at := s.byName[worker.GetDataCentre()]
	if at == nil {
		at = &dataCentreTrace{name: worker.GetDataCentre()}
		s.byName[at.name] = at
		s.dataCentres = append(s.dataCentres, at)
	}
	at.workers = append(at.workers, worker)
	s.byWorker[worker.GetName()] = at
}

func (s *splitter) addEvent(line *apiv1.TraceLine) error {
	now := line.GetTimeUnixMs()
	switch event := line.GetEvent().(type) {
	case *apiv1.TraceLine_Submitted:
		return s.addJob(event.Submitted, now)
	case *apiv1.TraceLine_Cancelled:
		s.byJob[event.Cancelled.GetId()].addEvent(traceEvent{timeMillis: now, cancelled: event.Cancelled.GetId()})
	case *apiv1.TraceLine_Worker:
		s.byWorker[event.Worker.GetWorker()].addEvent(traceEvent{timeMillis: now, worker: event.Worker})
	case *apiv1.TraceLine_Rack:
		for _, worker := range s.byName[event.Rack.GetDataCentre()].workers {
			if worker.GetRack() == event.Rack.GetRack() {
				change := &apiv1.TraceWorker{Worker: worker.GetName(), Condition: event.Rack.GetCondition()}
				s.byName[event.Rack.GetDataCentre()].addEvent(traceEvent{timeMillis: now, worker: change})
			}
		}
	case *apiv1.TraceLine_Sheet:
		return s.applyGuarantees(event.Sheet.GetSheet(), func(site *dataCentreTrace, given dataCentreGuarantees) {
			site.addEvent(traceEvent{timeMillis: now, guaranteed: &given})
		})
	}
	return nil
}

// applyGuarantees hands each data centre what a sheet guarantees there, if it can be held.
func (s *splitter) applyGuarantees(sheet *apiv1.Sheet, hand func(*dataCentreTrace, dataCentreGuarantees)) error {
	for _, site := range s.dataCentres {
		if err := CheckGuarantees(site.name, site.workers, sheet.GetGuarantees()); err != nil {
			return err
		}
		hand(site, guaranteesIn(sheet, site.name))
	}
	return nil
}

func (s *splitter) addJob(submitted *apiv1.TraceJob, now int64) error {
	chosen := s.byName[submitted.GetSpec().GetDataCentre()]
	if submitted.GetSpec().GetDataCentre() == "" {
		chosen = s.leastLoaded(submitted)
	}
	if chosen == nil || chosen.bestSpeed(submitted) == 0 {
		return &JobError{Job: submitted.GetId(), DataCentre: submitted.GetSpec().GetDataCentre()}
	}
	chosen.addEvent(traceEvent{timeMillis: now, submitted: submitted, steady: !submitted.GetFails() && !s.cancelled[submitted.GetId()]})
	shape := submitted.GetSpec().GetShape()
	chosen.assignedWork += float64(shape.GetMembers()) * float64(shape.GetAccelerators()) * float64(submitted.GetRunMs()) / float64(len(chosen.workers))
	s.byJob[submitted.GetId()] = chosen
	s.measured.to = now
	return nil
}

// leastLoaded chooses the data centre that was given the least work for its size and that fits.
func (s *splitter) leastLoaded(submitted *apiv1.TraceJob) *dataCentreTrace {
	var chosen *dataCentreTrace
	for _, site := range s.dataCentres {
		if site.bestSpeed(submitted) > 0 && (chosen == nil || site.assignedWork < chosen.assignedWork) {
			chosen = site
		}
	}
	return chosen
}

func (s *dataCentreTrace) addEvent(added traceEvent) { s.events = append(s.events, added) }

// dataCentreGuarantees is what a sheet guarantees in a data centre.
type dataCentreGuarantees struct {
	// accelerators of each account.
	accelerators map[string]uint32
	shapes       []shape
}

func guaranteesIn(sheet *apiv1.Sheet, dataCentre string) dataCentreGuarantees {
	given := dataCentreGuarantees{accelerators: map[string]uint32{}}
	for _, row := range sheet.GetGuarantees() {
		if row.GetDataCentre() == dataCentre {
			given.accelerators[row.GetAccount()] += row.GetCount() * row.GetShape().GetMembers() * row.GetShape().GetAccelerators()
		}
	}
	for _, spec := range guaranteedShapes(dataCentre, sheet.GetGuarantees()) {
		if wanted := shapeOf(spec.GetSteps()[0]); !slices.Contains(given.shapes, wanted) {
			given.shapes = append(given.shapes, wanted)
		}
	}
	return given
}

// Stretches and targetDurationsMillis give the objective of a job by its class, as the users' queues do.
var (
	stretchFactors = map[apiv1.WorkClass]float64{
		apiv1.WorkClass_WORK_CLASS_URGENT: 1.5, apiv1.WorkClass_WORK_CLASS_ORDINARY: 3, apiv1.WorkClass_WORK_CLASS_PATIENT: 3,
	}
	targetDurationsMillis = map[apiv1.WorkClass]int64{
		apiv1.WorkClass_WORK_CLASS_URGENT: 250, apiv1.WorkClass_WORK_CLASS_ORDINARY: 1_000, apiv1.WorkClass_WORK_CLASS_PATIENT: 3_000,
	}
	priorities = map[apiv1.WorkClass]uint32{
		apiv1.WorkClass_WORK_CLASS_URGENT: 0, apiv1.WorkClass_WORK_CLASS_ORDINARY: 1, apiv1.WorkClass_WORK_CLASS_PATIENT: 2,
	}
)

// storedJob is a job of the trace as the store has it: one step, a gang unless it has one member. Members that share a worker
// are one task of their size.
func storedJob(submitted *apiv1.TraceJob, dataCentre string, now int64) *storev1.Job {
	spec := submitted.GetSpec()
	members, each := spec.GetShape().GetMembers(), uint32(1)
	if spec.GetShape().GetAdjacency() == apiv1.Adjacency_ADJACENCY_WORKER {
		members, each = 1, members
	}
	const millicores = 1000
	return &storev1.Job{
		Id: submitted.GetId(), Account: spec.GetAccount(), Service: dataCentre, Priority: priorities[spec.GetWorkClass()],
		StretchFactor: stretchFactors[spec.GetWorkClass()], TargetDurationMs: targetDurationsMillis[spec.GetWorkClass()], AcceptedUnixMs: now,
		Steps: []*storev1.Step{{
			Count: members, Gang: members > 1, SameRack: spec.GetShape().GetAdjacency() == apiv1.Adjacency_ADJACENCY_RACK,
			EstimateMs: spec.GetExpectedMs(), Checkpointing: true,
			Need: &storev1.Resources{
				CpuMillicores: spec.GetCores() * each * millicores, MemoryMb: spec.GetMemoryMib() * each,
				Accelerators: spec.GetShape().GetAccelerators() * each,
			},
		}},
	}
}
