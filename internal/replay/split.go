package replay

import (
	"fmt"
	"slices"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// JobError reports a job of the trace that doesn't fit on the empty workers of its data centre, or of any if it names none.
type JobError struct {
	Job string
	// DataCentre is the data centre that the job names; empty if it names none.
	DataCentre string
}

// Error returns the job, the data centre and the remedy.
func (e *JobError) Error() string {
	return fmt.Sprintf("job %q fits no workers of data centre %q: give it fewer or smaller members, "+
		"or list larger workers in the header", e.Job, e.DataCentre)
}

// dataCentreTrace is the part of a trace that concerns one data centre. Its events are ordered by time.
type dataCentreTrace struct {
	name       string
	workers    []*apiv1.Worker
	guaranteed dataCentreGuarantees
	events     []traceEvent
	// assignedWork is the work of its jobs so far, in accelerator milliseconds per worker. Jobs that name no data centre go
	// to the one with the least.
	assignedWork float64
}

// traceEvent is an event of the trace in one data centre. Exactly one of submitted, cancelled (a job id), worker and
// guaranteed is set.
type traceEvent struct {
	timeMillis int64
	submitted  *apiv1.TraceJob
	cancelled  string
	worker     *apiv1.TraceWorker
	guaranteed *dataCentreGuarantees
	// compared is true for a submitted job that the trace neither cancels nor makes fail. Such jobs can finish with every
	// planner; only they count in slowdowns and completion times.
	compared bool
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

// splitByDataCentre returns the part of the trace that concerns each data centre, and the time span that is measured.
func splitByDataCentre(trace *Trace, sheet *apiv1.Sheet) ([]*dataCentreTrace, window, error) {
	s := &splitter{
		byName: map[string]*dataCentreTrace{}, byWorker: map[string]*dataCentreTrace{}, byJob: map[string]*dataCentreTrace{},
		cancelled: map[string]bool{},
	}
	s.measured.from = trace.Header.GetMeasureFromUnixMs()
	for _, worker := range trace.Header.GetWorkers() {
		s.addWorker(worker)
	}
	if err := s.applyGuarantees(sheet, func(dataCentre *dataCentreTrace, guaranteed dataCentreGuarantees) {
		dataCentre.guaranteed = guaranteed
	}); err != nil {
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
	dataCentre := s.byName[worker.GetDataCentre()]
	if dataCentre == nil {
		dataCentre = &dataCentreTrace{name: worker.GetDataCentre()}
		s.byName[dataCentre.name] = dataCentre
		s.dataCentres = append(s.dataCentres, dataCentre)
	}
	dataCentre.workers = append(dataCentre.workers, worker)
	s.byWorker[worker.GetName()] = dataCentre
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
		return s.applyGuarantees(event.Sheet.GetSheet(), func(dataCentre *dataCentreTrace, guaranteed dataCentreGuarantees) {
			dataCentre.addEvent(traceEvent{timeMillis: now, guaranteed: &guaranteed})
		})
	}
	return nil
}

// applyGuarantees calls apply with the guarantees of each data centre. It returns a *GuaranteeError if those of a data
// centre don't fit on its workers.
func (s *splitter) applyGuarantees(sheet *apiv1.Sheet, apply func(*dataCentreTrace, dataCentreGuarantees)) error {
	for _, dataCentre := range s.dataCentres {
		if err := CheckGuarantees(dataCentre.name, dataCentre.workers, sheet.GetGuarantees()); err != nil {
			return err
		}
		apply(dataCentre, guaranteesIn(sheet, dataCentre.name))
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
	chosen.addEvent(traceEvent{
		timeMillis: now, submitted: submitted, compared: !submitted.GetFails() && !s.cancelled[submitted.GetId()],
	})
	shape := submitted.GetSpec().GetShape()
	chosen.assignedWork += float64(shape.GetMembers()) * float64(shape.GetAccelerators()) * float64(submitted.GetRunMs()) /
		float64(len(chosen.workers))
	s.byJob[submitted.GetId()] = chosen
	s.measured.to = now
	return nil
}

// leastLoaded returns the data centre with the least assigned work per worker among those that the job fits, or nil.
func (s *splitter) leastLoaded(submitted *apiv1.TraceJob) *dataCentreTrace {
	var chosen *dataCentreTrace
	for _, dataCentre := range s.dataCentres {
		if dataCentre.bestSpeed(submitted) > 0 && (chosen == nil || dataCentre.assignedWork < chosen.assignedWork) {
			chosen = dataCentre
		}
	}
	return chosen
}

func (t *dataCentreTrace) addEvent(added traceEvent) { t.events = append(t.events, added) }

// dataCentreGuarantees holds the guarantees of a sheet in one data centre.
type dataCentreGuarantees struct {
	// accelerators is the number of guaranteed accelerators of each account.
	accelerators map[string]uint32
	shapes       []shape
}

func guaranteesIn(sheet *apiv1.Sheet, dataCentre string) dataCentreGuarantees {
	guaranteed := dataCentreGuarantees{accelerators: map[string]uint32{}}
	for _, row := range sheet.GetGuarantees() {
		if row.GetDataCentre() == dataCentre {
			guaranteed.accelerators[row.GetAccount()] += row.GetCount() * row.GetShape().GetMembers() * row.GetShape().GetAccelerators()
		}
	}
	for _, spec := range guaranteedShapes(dataCentre, sheet.GetGuarantees()) {
		if requested := shapeOf(spec.GetSteps()[0]); !slices.Contains(guaranteed.shapes, requested) {
			guaranteed.shapes = append(guaranteed.shapes, requested)
		}
	}
	return guaranteed
}

// Stretch factor, target duration and priority by class. The first two give the objective of a job, as in the users' queues.
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

// storedJob returns a job of the trace in the form in which the store keeps it. The job has one step, which is a gang if it
// has several members. Members that must share a worker become a single task with the resources of all of them.
func storedJob(submitted *apiv1.TraceJob, dataCentre string, now int64) *storev1.Job {
	spec := submitted.GetSpec()
	members, membersPerTask := spec.GetShape().GetMembers(), uint32(1)
	if spec.GetShape().GetAdjacency() == apiv1.Adjacency_ADJACENCY_WORKER {
		members, membersPerTask = 1, members
	}
	const millicores = 1000
	return &storev1.Job{
		Id: submitted.GetId(), Queue: spec.GetWorkClass().String(), Account: spec.GetAccount(), Service: dataCentre, Priority: priorities[spec.GetWorkClass()],
		StretchFactor: stretchFactors[spec.GetWorkClass()], TargetDurationMs: targetDurationsMillis[spec.GetWorkClass()],
		AcceptedUnixMs: now,
		Steps: []*storev1.Step{{
			Count: members, Gang: members > 1, SameRack: spec.GetShape().GetAdjacency() == apiv1.Adjacency_ADJACENCY_RACK,
			EstimateMs: spec.GetExpectedMs(), Checkpointing: true,
			Need: &storev1.Resources{
				CpuMillicores: spec.GetCores() * membersPerTask * millicores, MemoryMb: spec.GetMemoryMib() * membersPerTask,
				Accelerators: spec.GetShape().GetAccelerators() * membersPerTask,
			},
		}},
	}
}
