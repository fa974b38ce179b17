package instance

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policymsg"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
)

// DataCentre returns where the job should wait: where its caller says, else where its account holds a
// guarantee of the shape that it does not use, else where the least is asked of each accelerator. The error is a *problem.Error.
func (d *domains) DataCentre(spec *apiv1.JobSpec) (string, error) {
	view := d.instance.members.View()
	best := choice{}
	found := false
	for _, name := range candidates(view, spec.DataCentre) {
		if !fits(policymsg.Workers(view.Workers, name), spec) {
			continue
		}
		next := d.choice(view, name, spec)
		if !found || next.better(best) {
			best = next
			found = true
		}
	}
	if !found {
		return "", impossible(view, spec)
	}
	return best.name, nil
}

// candidates returns the data centres that a job may wait in.
func candidates(view membership.View, wanted string) []string {
	if wanted != "" {
		return []string{wanted}
	}
	return view.DataCentres()
}

// fits reports whether the job fits on the workers when they are empty.
func fits(workers []policy.Worker, spec *apiv1.JobSpec) bool {
	return policy.CheckFits(workers, policymsg.Job("", spec, 0)) == nil
}

// choice is a data centre that a job could wait in.
type choice struct {
	name string
	// guaranteed says that the account holds a guarantee of the shape here that its live jobs leave unused.
	guaranteed bool
	// asked and accelerators are what the live jobs ask for and what there is.
	asked        int64
	accelerators int64
}

func (c choice) better(other choice) bool {
	if c.guaranteed != other.guaranteed {
		return c.guaranteed
	}
	return c.asked*other.accelerators < other.asked*c.accelerators
}

func (d *domains) choice(view membership.View, name string, spec *apiv1.JobSpec) choice {
	result := choice{name: name}
	for _, worker := range view.Workers {
		if worker.DataCentre == name {
			result.accelerators += int64(worker.Accelerators)
		}
	}
	i := d.instance
	var sheet *apiv1.Sheet
	alike := uint32(0)
	i.ledger.View(func() {
		sheet = i.state.Revision().GetSheet()
		for _, job := range i.state.LiveJobs(name) {
			result.asked += accelerators(job.Spec)
			if job.Spec.Account == spec.Account && sameSize(job.Spec.Shape, spec.Shape) {
				alike++
			}
		}
	})
	guaranteed := uint32(0)
	for _, guarantee := range sheet.GetGuarantees() {
		if guarantee.Account == spec.Account && guarantee.DataCentre == name && sameSize(guarantee.Shape, spec.Shape) {
			guaranteed += guarantee.Count
		}
	}
	result.guaranteed = alike < guaranteed
	return result
}

func sameSize(a, b *apiv1.Shape) bool {
	return a.Members == b.Members && a.Accelerators == b.Accelerators
}

// accelerators returns what a whole gang occupies.
func accelerators(spec *apiv1.JobSpec) int64 {
	return int64(spec.Shape.Members) * int64(spec.Shape.Accelerators)
}

// impossible names the largest shape that would fit in a data centre.
func impossible(view membership.View, spec *apiv1.JobSpec) error {
	var largest policy.Shape
	where := ""
	for _, name := range candidates(view, spec.DataCentre) {
		shape := policy.LargestFitting(policymsg.Workers(view.Workers, name), policymsg.Job("", spec, 0))
		if shape.Total() > largest.Total() {
			largest, where = shape, name
		}
	}
	if where == "" {
		return problem.New(problem.Impossible, "no worker has what one member asks for: ask for fewer accelerators, cores or less memory, or another data centre")
	}
	return problem.New(problem.Impossible, "no data centre has room for the gang: the largest that fits is "+largest.String()+" in "+where)
}
