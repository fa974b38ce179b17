package replay

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// configuration is a sheet as the policy of one data centre sees it.
type configuration struct {
	accounts   []policy.Account
	teams      []policy.Team
	guarantees []policy.Guarantee
}

func configurationOf(sheet *apiv1.Sheet, dataCentre string) configuration {
	var result configuration
	for _, account := range sheet.GetAccounts() {
		result.accounts = append(result.accounts, policy.Account{
			Name:     account.GetName(),
			Priority: int(account.GetPriority()),
			Weight:   int(account.GetWeight()),
		})
	}
	for _, team := range sheet.GetTeams() {
		result.teams = append(result.teams, policy.Team{
			Account: team.GetAccount(),
			Name:    team.GetName(),
			Quota:   int(team.GetQuota()),
		})
	}
	for _, guarantee := range sheet.GetGuarantees() {
		if guarantee.GetDataCentre() != dataCentre {
			continue
		}
		result.guarantees = append(result.guarantees, policy.Guarantee{
			Account: guarantee.GetAccount(),
			Shape:   shapeOf(guarantee.GetShape()),
			Count:   int(guarantee.GetCount()),
			Spare:   guarantee.GetSpare(),
		})
	}
	return result
}

func shapeOf(shape *apiv1.Shape) policy.Shape {
	return policy.Shape{
		Members:      int(shape.GetMembers()),
		Accelerators: int(shape.GetAccelerators()),
		Adjacency:    adjacencyOf(shape.GetAdjacency()),
	}
}

func adjacencyOf(adjacency apiv1.Adjacency) policy.Adjacency {
	switch adjacency {
	case apiv1.Adjacency_ADJACENCY_WORKER:
		return policy.SameWorker
	case apiv1.Adjacency_ADJACENCY_RACK:
		return policy.SameRack
	default:
		return policy.SameDataCentre
	}
}

func classOf(class apiv1.WorkClass) policy.Class {
	switch class {
	case apiv1.WorkClass_WORK_CLASS_URGENT:
		return policy.Urgent
	case apiv1.WorkClass_WORK_CLASS_PATIENT:
		return policy.Patient
	default:
		return policy.Ordinary
	}
}

func workerOf(worker *apiv1.Worker) policy.Worker {
	return policy.Worker{
		Name:          worker.GetName(),
		Rack:          worker.GetRack(),
		Accelerators:  int(worker.GetAccelerators()),
		Cores:         int(worker.GetCores()),
		MemoryMiB:     int(worker.GetMemoryMib()),
		SpeedPermille: int(worker.GetSpeedPermille()),
	}
}

func jobOf(submitted *apiv1.TraceJob, nowMillis int64) policy.Job {
	spec := submitted.GetSpec()
	return policy.Job{
		ID:              submitted.GetId(),
		Account:         spec.GetAccount(),
		Team:            spec.GetTeam(),
		Class:           classOf(spec.GetWorkClass()),
		Shape:           shapeOf(spec.GetShape()),
		Cores:           int(spec.GetCores()),
		MemoryMiB:       int(spec.GetMemoryMib()),
		ExpectedMillis:  spec.GetExpectedMs(),
		DeadlineMillis:  spec.GetDeadlineUnixMs(),
		SubmittedMillis: nowMillis,
	}
}
