package placing

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

// StateView shows the state that a replica folds. It implements View.
type StateView struct {
	replica *ledger.Replica
	state   *state.State
}

var _ View = (*StateView)(nil)

// NewStateView returns a view of the state that is the machine of the replica.
func NewStateView(replica *ledger.Replica, folded *state.State) *StateView {
	return &StateView{replica: replica, state: folded}
}

// Jobs implements View.
func (v *StateView) Jobs(dataCentre string) []*apiv1.Job {
	var jobs []*apiv1.Job
	v.replica.View(func() {
		for _, job := range v.state.LiveJobs(dataCentre) {
			jobs = append(jobs, job.Proto())
		}
	})
	return jobs
}

// Job implements View.
func (v *StateView) Job(id string) *apiv1.Job {
	var found *apiv1.Job
	v.replica.View(func() {
		if job, known := v.state.Job(id); known && job.Live() {
			found = job.Proto()
		}
	})
	return found
}

// Offset implements View.
func (v *StateView) Offset() int64 {
	return v.replica.Offset()
}

// Epoch implements View.
func (v *StateView) Epoch(dataCentre string) uint64 {
	var epoch uint64
	v.replica.View(func() { epoch = v.state.Owner(dataCentre).Epoch })
	return epoch
}

// Sheet implements View.
func (v *StateView) Sheet() *apiv1.Sheet {
	var sheet *apiv1.Sheet
	v.replica.View(func() {
		sheet = v.state.Revision().GetSheet()
	})
	return sheet
}

// Verdicts implements View.
func (v *StateView) Verdicts() []*apiv1.WorkerVerdict {
	var verdicts []*apiv1.WorkerVerdict
	v.replica.View(func() {
		for _, verdict := range v.state.Verdicts() {
			verdicts = append(verdicts, &apiv1.WorkerVerdict{
				Worker: verdict.Worker, Condition: verdict.Condition,
				Reason: verdict.Reason, TimeUnixMs: verdict.TimeMillis,
			})
		}
	})
	return verdicts
}
