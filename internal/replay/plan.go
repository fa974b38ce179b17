package replay

import (
	"fmt"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policymsg"
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

// plan is a trace split by data centre.
type plan struct {
	sites  []*site
	window window
}

// site is what one data centre has to play.
type site struct {
	name          string
	workers       []policy.Worker
	configuration configuration
	inputs        []input
}

// input is one event of the trace at one data centre; exactly one field besides the time is set.
type input struct {
	timeMillis    int64
	submitted     *apiv1.TraceJob
	cancelled     string
	worker        *apiv1.TraceWorker
	configuration *configuration
	// idealMillis is the run time of the submitted job alone on the fastest workers that fit.
	idealMillis int64
	// steady jobs are neither cancelled nor failing in the trace, so they end under every policy.
	steady bool
}

type planner struct {
	plan     plan
	byName   map[string]*site
	ofWorker map[string]*site
	ofJob    map[string]*site
	// cancelled holds the jobs that the trace cancels.
	cancelled map[string]bool
	// offered is the accelerator time that each data centre was given, to place jobs without one.
	offered map[*site]float64
}

func newPlan(trace *Trace, sheet *apiv1.Sheet) (*plan, error) {
	p := &planner{
		byName:    map[string]*site{},
		ofWorker:  map[string]*site{},
		ofJob:     map[string]*site{},
		cancelled: map[string]bool{},
		offered:   map[*site]float64{},
	}
	for _, worker := range trace.Header.GetWorkers() {
		p.addWorker(worker)
	}
	for _, site := range p.plan.sites {
		var err error
		if site.configuration, err = site.packed(sheet); err != nil {
			return nil, err
		}
	}
	for _, line := range trace.Events {
		if line.GetCancelled() != nil {
			p.cancelled[line.GetCancelled().GetId()] = true
		}
	}
	p.plan.window.from = trace.Header.GetMeasureFromUnixMs()
	for _, line := range trace.Events {
		if err := p.addEvent(line); err != nil {
			return nil, err
		}
	}
	return &p.plan, nil
}

func (p *planner) addWorker(worker *apiv1.Worker) {
	name := worker.GetDataCentre()
	if p.byName[name] == nil {
		p.byName[name] = &site{name: name}
		p.plan.sites = append(p.plan.sites, p.byName[name])
	}
	at := p.byName[name]
	at.workers = append(at.workers, policymsg.Worker(worker))
	p.ofWorker[worker.GetName()] = at
}

func (p *planner) addEvent(line *apiv1.TraceLine) error {
	now := line.GetTimeUnixMs()
	switch event := line.GetEvent().(type) {
	case *apiv1.TraceLine_Submitted:
		return p.addJob(event.Submitted, now)
	case *apiv1.TraceLine_Cancelled:
		id := event.Cancelled.GetId()
		p.ofJob[id].add(input{timeMillis: now, cancelled: id})
	case *apiv1.TraceLine_Worker:
		p.ofWorker[event.Worker.GetWorker()].add(input{timeMillis: now, worker: event.Worker})
	case *apiv1.TraceLine_Rack:
		p.addRack(event.Rack, now)
	case *apiv1.TraceLine_Sheet:
		return p.addSheet(event.Sheet.GetSheet(), now)
	}
	return nil
}

func (p *planner) addSheet(sheet *apiv1.Sheet, nowMillis int64) error {
	for _, site := range p.plan.sites {
		replaced, err := site.packed(sheet)
		if err != nil {
			return err
		}
		site.add(input{timeMillis: nowMillis, configuration: &replaced})
	}
	return nil
}

// packed is the configuration of a sheet whose guarantees pack on the data centre's workers.
func (s *site) packed(sheet *apiv1.Sheet) (configuration, error) {
	result := configurationOf(sheet, s.name)
	if _, err := policy.PackGuarantees(s.workers, result.guarantees); err != nil {
		return configuration{}, errors.Wrapf(err, "the sheet's guarantees in %s", s.name)
	}
	return result, nil
}

func (p *planner) addRack(rack *apiv1.TraceRack, nowMillis int64) {
	site := p.byName[rack.GetDataCentre()]
	for _, worker := range site.workers {
		if worker.Rack == rack.GetRack() {
			change := &apiv1.TraceWorker{Worker: worker.Name, Condition: rack.GetCondition()}
			site.add(input{timeMillis: nowMillis, worker: change})
		}
	}
}

func (p *planner) addJob(submitted *apiv1.TraceJob, nowMillis int64) error {
	chosen := p.byName[submitted.GetSpec().GetDataCentre()]
	if submitted.GetSpec().GetDataCentre() == "" {
		chosen = p.leastOffered(submitted)
	}
	job := jobOf(submitted, nowMillis)
	if chosen == nil || fastestSpeed(chosen.workers, &job) == 0 {
		return &JobError{Job: submitted.GetId(), DataCentre: submitted.GetSpec().GetDataCentre()}
	}
	ideal := scaled(submitted.GetRunMs(), fastestSpeed(chosen.workers, &job))
	steady := !submitted.GetFails() && !p.cancelled[submitted.GetId()]
	chosen.add(input{timeMillis: nowMillis, submitted: submitted, idealMillis: ideal, steady: steady})
	p.ofJob[submitted.GetId()] = chosen
	p.offered[chosen] += workOf(submitted) / float64(len(chosen.workers))
	p.plan.window.to = nowMillis
	return nil
}

// leastOffered chooses the data centre that was given the least work for its size and that fits.
func (p *planner) leastOffered(submitted *apiv1.TraceJob) *site {
	job := jobOf(submitted, 0)
	var chosen *site
	for _, site := range p.plan.sites {
		if fastestSpeed(site.workers, &job) == 0 {
			continue
		}
		if chosen == nil || p.offered[site] < p.offered[chosen] {
			chosen = site
		}
	}
	return chosen
}

// workOf is the work of a job in accelerator milliseconds at speed 1000.
func workOf(submitted *apiv1.TraceJob) float64 {
	shape := submitted.GetSpec().GetShape()
	return float64(shape.GetMembers()) * float64(shape.GetAccelerators()) * float64(submitted.GetRunMs())
}

func (s *site) add(added input) { s.inputs = append(s.inputs, added) }

// scaled is how long work of speed 1000 takes at the speed, rounded up.
func scaled(millis int64, speedPermille int) int64 {
	const unit = 1000
	speed := int64(speedPermille)
	return (millis*unit + speed - 1) / speed
}
