package placing

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// policyWorker converts a worker of the instance list.
func policyWorker(listed *apiv1.Worker) policy.Worker {
	return policy.Worker{
		Name:          listed.GetName(),
		Rack:          listed.GetRack(),
		Accelerators:  int(listed.GetAccelerators()),
		Cores:         int(listed.GetCores()),
		MemoryMiB:     int(listed.GetMemoryMib()),
		SpeedPermille: int(listed.GetSpeedPermille()),
	}
}

// policyJob converts a job of the ledger.
func policyJob(job *apiv1.Job) policy.Job {
	spec := job.GetSpec()
	return policy.Job{
		ID:              job.GetId(),
		Account:         spec.GetAccount(),
		Team:            spec.GetTeam(),
		Class:           policyClass(spec.GetWorkClass()),
		Shape:           policyShape(spec.GetShape()),
		Cores:           int(spec.GetCores()),
		MemoryMiB:       int(spec.GetMemoryMib()),
		ExpectedMillis:  spec.GetExpectedMs(),
		DeadlineMillis:  spec.GetDeadlineUnixMs(),
		SubmittedMillis: job.GetSubmittedUnixMs(),
		CheckpointPPM:   int(job.GetCheckpointPpm()),
		FailedWorkers:   job.GetFailedWorkers(),
	}
}

func policyClass(class apiv1.WorkClass) policy.Class {
	switch class {
	case apiv1.WorkClass_WORK_CLASS_URGENT:
		return policy.Urgent
	case apiv1.WorkClass_WORK_CLASS_PATIENT:
		return policy.Patient
	default:
		return policy.Ordinary
	}
}

func policyShape(shape *apiv1.Shape) policy.Shape {
	return policy.Shape{
		Members:      int(shape.GetMembers()),
		Accelerators: int(shape.GetAccelerators()),
		Adjacency:    policyAdjacency(shape.GetAdjacency()),
	}
}

func policyAdjacency(adjacency apiv1.Adjacency) policy.Adjacency {
	switch adjacency {
	case apiv1.Adjacency_ADJACENCY_WORKER:
		return policy.SameWorker
	case apiv1.Adjacency_ADJACENCY_RACK:
		return policy.SameRack
	default:
		return policy.SameDataCentre
	}
}

// policyMembers converts placed members.
func policyMembers(placement *apiv1.Placement) []policy.Member {
	members := make([]policy.Member, 0, len(placement.GetMembers()))
	for _, each := range placement.GetMembers() {
		members = append(members, policy.Member{Worker: each.GetWorker(), Mask: each.GetAccelerators()})
	}
	return members
}

// placement converts the members of a Start decision.
func (l *Loop) placement(members []policy.Member) *apiv1.Placement {
	l.attempts++
	placed := &apiv1.Placement{DataCentre: l.config.DataCentre, Epoch: l.config.Epoch, Attempt: l.attempts}
	for _, each := range members {
		placed.Members = append(placed.Members, &apiv1.Member{Worker: each.Worker, Accelerators: each.Mask})
	}
	return placed
}

// policyEnd converts how a run ended.
func policyEnd(result apiv1.RunResult) policy.EndResult {
	switch result {
	case apiv1.RunResult_RUN_RESULT_FINISHED:
		return policy.Finished
	case apiv1.RunResult_RUN_RESULT_FAILED, apiv1.RunResult_RUN_RESULT_IMPOSSIBLE:
		return policy.Failed
	case apiv1.RunResult_RUN_RESULT_PREEMPTED:
		return policy.PreemptedEnd
	case apiv1.RunResult_RUN_RESULT_MOVED:
		return policy.MovedEnd
	default:
		return policy.LostEnd
	}
}

// readSheet configures the policy when the sheet in force changed. The view hands out one sheet until
// the next is accepted, or equal copies of it.
func (l *Loop) readSheet() {
	sheet := l.config.View.Sheet()
	if sheet == nil || sameSheet(sheet, l.sheet) {
		return
	}
	l.sheet = sheet
	var accounts []policy.Account
	for _, each := range sheet.GetAccounts() {
		accounts = append(accounts, policy.Account{
			Name: each.GetName(), Priority: int(each.GetPriority()), Weight: int(each.GetWeight()),
		})
	}
	var teams []policy.Team
	for _, each := range sheet.GetTeams() {
		teams = append(teams, policy.Team{Account: each.GetAccount(), Name: each.GetName(), Quota: int(each.GetQuota())})
	}
	var guarantees []policy.Guarantee
	for _, each := range sheet.GetGuarantees() {
		if each.GetDataCentre() != l.config.DataCentre {
			continue
		}
		guarantees = append(guarantees, policy.Guarantee{
			Account: each.GetAccount(), Shape: policyShape(each.GetShape()),
			Count: int(each.GetCount()), Spare: each.GetSpare(),
		})
	}
	l.config.Policy.Configure(accounts, teams, guarantees)
}
