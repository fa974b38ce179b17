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

// site is what one data centre has to play.
type site struct {
	name       string
	workers    []*apiv1.Worker
	guaranteed guaranteed
	inputs     []input
	// offered is the work that it was given, to place jobs without a data centre.
	offered float64
}

// input is one event of the trace at one data centre; exactly one field besides the time is set.
type input struct {
	timeMillis int64
	submitted  *apiv1.TraceJob
	cancelled  string
	worker     *apiv1.TraceWorker
	guaranteed *guaranteed
	// steady jobs are neither cancelled nor failing in the trace, so they end under every planner.
	steady bool
}

// splitter splits a trace by data centre.
type splitter struct {
	sites     []*site
	byName    map[string]*site
	ofWorker  map[string]*site
	ofJob     map[string]*site
	cancelled map[string]bool
	measured  window
}

// split returns what each data centre has to play, and the time that is measured.
func split(trace *Trace, sheet *apiv1.Sheet) ([]*site, window, error) {
	s := &splitter{byName: map[string]*site{}, ofWorker: map[string]*site{}, ofJob: map[string]*site{}, cancelled: map[string]bool{}}
	s.measured.from = trace.Header.GetMeasureFromUnixMs()
	for _, worker := range trace.Header.GetWorkers() {
		s.addWorker(worker)
	}
	if err := s.guarantee(sheet, func(site *site, given guaranteed) { site.guaranteed = given }); err != nil {
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
	return s.sites, s.measured, nil
}

func (s *splitter) addWorker(worker *apiv1.Worker) {
	at := s.byName[worker.GetDataCentre()]
	if at == nil {
		at = &site{name: worker.GetDataCentre()}
		s.byName[at.name] = at
		s.sites = append(s.sites, at)
	}
	at.workers = append(at.workers, worker)
	s.ofWorker[worker.GetName()] = at
}

func (s *splitter) addEvent(line *apiv1.TraceLine) error {
	now := line.GetTimeUnixMs()
	switch event := line.GetEvent().(type) {
	case *apiv1.TraceLine_Submitted:
		return s.addJob(event.Submitted, now)
	case *apiv1.TraceLine_Cancelled:
		s.ofJob[event.Cancelled.GetId()].add(input{timeMillis: now, cancelled: event.Cancelled.GetId()})
	case *apiv1.TraceLine_Worker:
		s.ofWorker[event.Worker.GetWorker()].add(input{timeMillis: now, worker: event.Worker})
	case *apiv1.TraceLine_Rack:
		for _, worker := range s.byName[event.Rack.GetDataCentre()].workers {
			if worker.GetRack() == event.Rack.GetRack() {
				change := &apiv1.TraceWorker{Worker: worker.GetName(), Condition: event.Rack.GetCondition()}
				s.byName[event.Rack.GetDataCentre()].add(input{timeMillis: now, worker: change})
			}
		}
	case *apiv1.TraceLine_Sheet:
		return s.guarantee(event.Sheet.GetSheet(), func(site *site, given guaranteed) {
			site.add(input{timeMillis: now, guaranteed: &given})
		})
	}
	return nil
}

// guarantee hands each data centre what a sheet guarantees there, if it can be held.
func (s *splitter) guarantee(sheet *apiv1.Sheet, hand func(*site, guaranteed)) error {
	for _, site := range s.sites {
		if err := CheckGuarantees(site.name, site.workers, sheet.GetGuarantees()); err != nil {
			return err
		}
		hand(site, guaranteedIn(sheet, site.name))
	}
	return nil
}

func (s *splitter) addJob(submitted *apiv1.TraceJob, now int64) error {
	chosen := s.byName[submitted.GetSpec().GetDataCentre()]
	if submitted.GetSpec().GetDataCentre() == "" {
		chosen = s.leastOffered(submitted)
	}
	if chosen == nil || chosen.fastest(submitted) == 0 {
		return &JobError{Job: submitted.GetId(), DataCentre: submitted.GetSpec().GetDataCentre()}
	}
	chosen.add(input{timeMillis: now, submitted: submitted, steady: !submitted.GetFails() && !s.cancelled[submitted.GetId()]})
	shape := submitted.GetSpec().GetShape()
	chosen.offered += float64(shape.GetMembers()) * float64(shape.GetAccelerators()) * float64(submitted.GetRunMs()) / float64(len(chosen.workers))
	s.ofJob[submitted.GetId()] = chosen
	s.measured.to = now
	return nil
}

// leastOffered chooses the data centre that was given the least work for its size and that fits.
func (s *splitter) leastOffered(submitted *apiv1.TraceJob) *site {
	var chosen *site
	for _, site := range s.sites {
		if site.fastest(submitted) > 0 && (chosen == nil || site.offered < chosen.offered) {
			chosen = site
		}
	}
	return chosen
}

func (s *site) add(added input) { s.inputs = append(s.inputs, added) }

// guaranteed is what a sheet guarantees in a data centre.
type guaranteed struct {
	// accelerators of each account.
	accelerators map[string]uint32
	shapes       []shape
}

func guaranteedIn(sheet *apiv1.Sheet, dataCentre string) guaranteed {
	given := guaranteed{accelerators: map[string]uint32{}}
	for _, row := range sheet.GetGuarantees() {
		if row.GetDataCentre() == dataCentre {
			given.accelerators[row.GetAccount()] += row.GetCount() * row.GetShape().GetMembers() * row.GetShape().GetAccelerators()
		}
	}
	for _, spec := range shapesOf(dataCentre, sheet.GetGuarantees()) {
		if wanted := shapeOf(spec.GetSteps()[0]); !slices.Contains(given.shapes, wanted) {
			given.shapes = append(given.shapes, wanted)
		}
	}
	return given
}

// Stretches and durations give the objective of a job by its class, as the users' queues do.
var (
	stretches = map[apiv1.WorkClass]float64{
		apiv1.WorkClass_WORK_CLASS_URGENT: 1.5, apiv1.WorkClass_WORK_CLASS_ORDINARY: 3, apiv1.WorkClass_WORK_CLASS_PATIENT: 3,
	}
	durations = map[apiv1.WorkClass]int64{
		apiv1.WorkClass_WORK_CLASS_URGENT: 250, apiv1.WorkClass_WORK_CLASS_ORDINARY: 1_000, apiv1.WorkClass_WORK_CLASS_PATIENT: 3_000,
	}
	priorities = map[apiv1.WorkClass]uint32{
		apiv1.WorkClass_WORK_CLASS_URGENT: 0, apiv1.WorkClass_WORK_CLASS_ORDINARY: 1, apiv1.WorkClass_WORK_CLASS_PATIENT: 2,
	}
)

// jobOf is a job of the trace as the store has it: one step, a gang unless it has one member. Members that share a worker
// are one task of their size.
func jobOf(submitted *apiv1.TraceJob, dataCentre string, now int64) *storev1.Job {
	spec := submitted.GetSpec()
	members, each := spec.GetShape().GetMembers(), uint32(1)
	if spec.GetShape().GetAdjacency() == apiv1.Adjacency_ADJACENCY_WORKER {
		members, each = 1, members
	}
	const millicores = 1000
	return &storev1.Job{
		Id: submitted.GetId(), Account: spec.GetAccount(), Service: dataCentre, Priority: priorities[spec.GetWorkClass()],
		StretchFactor: stretches[spec.GetWorkClass()], TargetDurationMs: durations[spec.GetWorkClass()], AcceptedUnixMs: now,
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
