// Package policymsg turns the messages of the schema into the values of package policy.
package policymsg

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// Accounts returns the client accounts of a sheet.
func Accounts(sheet *apiv1.Sheet) []policy.Account {
	var accounts []policy.Account
	for _, account := range sheet.GetAccounts() {
		accounts = append(accounts, policy.Account{
			Name:     account.GetName(),
			Priority: int(account.GetPriority()),
			Weight:   int(account.GetWeight()),
		})
	}
	return accounts
}

// Teams returns the teams of a sheet.
func Teams(sheet *apiv1.Sheet) []policy.Team {
	var teams []policy.Team
	for _, team := range sheet.GetTeams() {
		teams = append(teams, policy.Team{
			Account: team.GetAccount(),
			Name:    team.GetName(),
			Quota:   int(team.GetQuota()),
		})
	}
	return teams
}

// Guarantees returns the guarantees of a sheet that a data centre holds.
func Guarantees(sheet *apiv1.Sheet, dataCentre string) []policy.Guarantee {
	var guarantees []policy.Guarantee
	for _, guarantee := range sheet.GetGuarantees() {
		if guarantee.GetDataCentre() == dataCentre {
			guarantees = append(guarantees, Guarantee(guarantee))
		}
	}
	return guarantees
}

// Guarantee returns one guarantee.
func Guarantee(guarantee *apiv1.Guarantee) policy.Guarantee {
	return policy.Guarantee{
		Account: guarantee.GetAccount(),
		Shape:   Shape(guarantee.GetShape()),
		Count:   int(guarantee.GetCount()),
		Spare:   guarantee.GetSpare(),
	}
}

// GuaranteeMessage returns the message of a guarantee that has its data centre.
func GuaranteeMessage(guarantee policy.SitedGuarantee) *apiv1.Guarantee {
	return &apiv1.Guarantee{
		Account:    guarantee.Account,
		DataCentre: guarantee.DataCentre,
		Shape:      ShapeMessage(guarantee.Shape),
		Count:      uint32(guarantee.Count), //nolint:gosec // Checked by the sheet.
		Spare:      guarantee.Spare,
	}
}

// ShapeMessage returns the message of a shape.
func ShapeMessage(shape policy.Shape) *apiv1.Shape {
	message := &apiv1.Shape{
		Members:      uint32(shape.Members),      //nolint:gosec // At most policy.MaxMembers.
		Accelerators: uint32(shape.Accelerators), //nolint:gosec // At most 8.
		Adjacency:    apiv1.Adjacency_ADJACENCY_DATA_CENTRE,
	}
	switch shape.Adjacency {
	case policy.SameWorker:
		message.Adjacency = apiv1.Adjacency_ADJACENCY_WORKER
	case policy.SameRack:
		message.Adjacency = apiv1.Adjacency_ADJACENCY_RACK
	case policy.SameDataCentre:
	}
	return message
}

// Shape returns a shape.
func Shape(shape *apiv1.Shape) policy.Shape {
	return policy.Shape{
		Members:      int(shape.GetMembers()),
		Accelerators: int(shape.GetAccelerators()),
		Adjacency:    adjacency(shape.GetAdjacency()),
	}
}

func adjacency(adjacency apiv1.Adjacency) policy.Adjacency {
	switch adjacency {
	case apiv1.Adjacency_ADJACENCY_WORKER:
		return policy.SameWorker
	case apiv1.Adjacency_ADJACENCY_RACK:
		return policy.SameRack
	default:
		return policy.SameDataCentre
	}
}

// Class returns a class of work; an undefined one is ordinary.
func Class(class apiv1.WorkClass) policy.Class {
	switch class {
	case apiv1.WorkClass_WORK_CLASS_URGENT:
		return policy.Urgent
	case apiv1.WorkClass_WORK_CLASS_PATIENT:
		return policy.Patient
	default:
		return policy.Ordinary
	}
}

// Worker returns a worker.
func Worker(worker *apiv1.Worker) policy.Worker {
	return policy.Worker{
		Name:          worker.GetName(),
		Rack:          worker.GetRack(),
		Accelerators:  int(worker.GetAccelerators()),
		Cores:         int(worker.GetCores()),
		MemoryMiB:     int(worker.GetMemoryMib()),
		SpeedPermille: int(worker.GetSpeedPermille()),
	}
}

// Workers returns the workers of a data centre that are not leaving.
func Workers(workers []*apiv1.Worker, dataCentre string) []policy.Worker {
	var live []policy.Worker
	for _, worker := range workers {
		if worker.GetDataCentre() == dataCentre && worker.GetPresence() == apiv1.Presence_PRESENCE_LIVE {
			live = append(live, Worker(worker))
		}
	}
	return live
}

// Job returns a job that waits.
func Job(id string, spec *apiv1.JobSpec, submittedMillis int64) policy.Job {
	return policy.Job{
		ID:              id,
		Account:         spec.GetAccount(),
		Team:            spec.GetTeam(),
		Class:           Class(spec.GetWorkClass()),
		Shape:           Shape(spec.GetShape()),
		Cores:           int(spec.GetCores()),
		MemoryMiB:       int(spec.GetMemoryMib()),
		ExpectedMillis:  spec.GetExpectedMs(),
		DeadlineMillis:  spec.GetDeadlineUnixMs(),
		SubmittedMillis: submittedMillis,
	}
}
