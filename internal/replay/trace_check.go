package replay

import (
	"fmt"
	"math/bits"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Limits of a trace: accelerators of a worker, members of a gang.
const (
	maxAccelerators = 32
	maxMembers      = 64
)

// lineFault says why a line is invalid and how to correct it.
type lineFault struct {
	reason string
	remedy string
}

// lineChecker checks the header of a trace, and each event against the header and the earlier events.
type lineChecker struct {
	workers map[string]bool
	racks   map[rackKey]bool
	jobs    map[string]bool
}

type rackKey struct {
	dataCentre string
	rack       string
}

func (c *lineChecker) checkHeader(header *apiv1.TraceHeader) *lineFault {
	c.workers = map[string]bool{}
	c.racks = map[rackKey]bool{}
	c.jobs = map[string]bool{}
	if header.GetFormat() != TraceFormat {
		return &lineFault{fmt.Sprintf("format %d is unknown", header.GetFormat()), "write format 1"}
	}
	if len(header.GetWorkers()) == 0 {
		return &lineFault{"the header has no workers", "list the workers that the jobs of the trace run on"}
	}
	for _, worker := range header.GetWorkers() {
		if fault := c.checkWorker(worker); fault != nil {
			return fault
		}
	}
	return nil
}

func (c *lineChecker) checkWorker(worker *apiv1.Worker) *lineFault {
	name := worker.GetName()
	switch {
	case name == "" || worker.GetDataCentre() == "" || worker.GetRack() == "":
		return &lineFault{fmt.Sprintf("worker %q has no name, data centre or rack", name), "set all three"}
	case c.workers[name]:
		return &lineFault{fmt.Sprintf("worker %q is listed twice", name), "give every worker its own name"}
	case worker.GetAccelerators() > maxAccelerators:
		return &lineFault{fmt.Sprintf("worker %q has %d accelerators", name, worker.GetAccelerators()), "give at most 32"}
	case worker.GetSpeedPermille() == 0:
		return &lineFault{fmt.Sprintf("worker %q has no speed", name), "set speedPermille, 1000 for the reference speed"}
	}
	c.workers[name] = true
	c.racks[rackKey{worker.GetDataCentre(), worker.GetRack()}] = true
	return nil
}

func (c *lineChecker) checkEvent(line *apiv1.TraceLine) *lineFault {
	switch event := line.GetEvent().(type) {
	case *apiv1.TraceLine_Submitted:
		return c.checkJob(event.Submitted)
	case *apiv1.TraceLine_Cancelled:
		if !c.jobs[event.Cancelled.GetId()] {
			return &lineFault{fmt.Sprintf("job %q is unknown", event.Cancelled.GetId()), "submit a job before cancelling it"}
		}
		return nil
	case *apiv1.TraceLine_Worker:
		if !c.workers[event.Worker.GetWorker()] {
			return &lineFault{fmt.Sprintf("worker %q is unknown", event.Worker.GetWorker()), "list it in the header"}
		}
		return checkCondition(event.Worker.GetCondition())
	case *apiv1.TraceLine_Rack:
		if !c.racks[rackKey{event.Rack.GetDataCentre(), event.Rack.GetRack()}] {
			return &lineFault{fmt.Sprintf("rack %q is unknown", event.Rack.GetRack()), "name the rack of a worker that the header lists"}
		}
		return checkCondition(event.Rack.GetCondition())
	case *apiv1.TraceLine_Sheet:
		return nil
	default:
		return &lineFault{"no event", "set one of submitted, cancelled, worker, rack and sheet"}
	}
}

func checkCondition(condition apiv1.TraceCondition) *lineFault {
	if condition == apiv1.TraceCondition_TRACE_CONDITION_UNSPECIFIED {
		return &lineFault{"no condition", "set condition to HEALTHY, FAILING, LOST or LEAVING with its prefix TRACE_CONDITION_"}
	}
	return nil
}

func (c *lineChecker) checkJob(job *apiv1.TraceJob) *lineFault {
	shape := job.GetSpec().GetShape()
	accelerators := shape.GetAccelerators()
	switch {
	case job.GetId() == "" || c.jobs[job.GetId()]:
		return &lineFault{fmt.Sprintf("job id %q is empty or used twice", job.GetId()), "give every job its own id"}
	case job.GetRunMs() <= 0:
		return &lineFault{fmt.Sprintf("job %q has no run time", job.GetId()), "set runMs, the true run time at speed 1000"}
	case job.GetSpec().GetAccount() == "":
		return &lineFault{fmt.Sprintf("job %q has no account", job.GetId()), "set spec.account"}
	case shape.GetMembers() == 0 || shape.GetMembers() > maxMembers:
		return &lineFault{fmt.Sprintf("job %q has %d members", job.GetId(), shape.GetMembers()), "give 1 to 64"}
	case accelerators != 0 && bits.OnesCount32(accelerators) != 1:
		return &lineFault{fmt.Sprintf("job %q has members of %d accelerators", job.GetId(), accelerators), "give 0 or a power of two"}
	case shape.GetAdjacency() == apiv1.Adjacency_ADJACENCY_UNSPECIFIED:
		return &lineFault{fmt.Sprintf("job %q has no adjacency", job.GetId()), "set spec.shape.adjacency"}
	case job.GetSpec().GetWorkClass() == apiv1.WorkClass_WORK_CLASS_UNSPECIFIED:
		return &lineFault{fmt.Sprintf("job %q has no class", job.GetId()), "set spec.workClass"}
	}
	c.jobs[job.GetId()] = true
	return nil
}
