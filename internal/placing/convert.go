package placing

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/policymsg"
)

// policyJob converts a job of the ledger.
func policyJob(job *apiv1.Job) policy.Job {
	converted := policymsg.Job(job.GetId(), job.GetSpec(), job.GetSubmittedUnixMs())
	converted.CheckpointPPM = int(job.GetCheckpointPpm())
	converted.FailedWorkers = job.GetFailedWorkers()
	return converted
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
	guarantees := policymsg.Guarantees(sheet, l.config.DataCentre)
	l.config.Policy.Configure(policymsg.Accounts(sheet), policymsg.Teams(sheet), guarantees)
}
