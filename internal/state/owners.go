package state

import (
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
)

// takeOwnership makes the author the owner if the epoch is the next one: of two that take over at once,
// the first in the log owns.
func (s *State) takeOwnership(step ledger.Step, taken *apiv1.OwnerTaken) *ledger.Rejection {
	if rejection := checkName("data centre", taken.DataCentre); rejection != nil {
		return rejection
	}
	current, known := s.owners[taken.DataCentre]
	if taken.Epoch != current.Epoch+1 {
		return ledger.Reject(ledger.StaleEpoch, "data centre %s is at epoch %d (owner %q), epoch %d does not follow: read its state again", taken.DataCentre, current.Epoch, current.Instance, taken.Epoch)
	}
	if !known && len(s.owners) >= MaxDataCentres {
		return ledger.Reject(ledger.Full, "%d data centres are known: check the name %s", len(s.owners), taken.DataCentre)
	}
	s.owners[taken.DataCentre] = Owner{
		DataCentre:  taken.DataCentre,
		Instance:    step.Author.GetInstance(),
		Incarnation: step.Author.GetIncarnation(),
		Epoch:       taken.Epoch,
	}
	return nil
}

func (s *State) releaseOwnership(step ledger.Step, released *apiv1.OwnerReleased) *ledger.Rejection {
	if rejection := s.checkOwner(step, released.DataCentre, released.Epoch); rejection != nil {
		return rejection
	}
	s.owners[released.DataCentre] = Owner{DataCentre: released.DataCentre, Epoch: released.Epoch}
	return nil
}

// checkOwner checks that the author owns the data centre at the epoch.
func (s *State) checkOwner(step ledger.Step, dataCentre string, epoch uint64) *ledger.Rejection {
	owner := s.owners[dataCentre]
	if owner.Epoch != epoch {
		return ledger.Reject(ledger.StaleEpoch, "data centre %s is at epoch %d, not %d: stop placing there", dataCentre, owner.Epoch, epoch)
	}
	if !owner.Held() || owner.Instance != step.Author.GetInstance() || owner.Incarnation != step.Author.GetIncarnation() {
		return ledger.Reject(ledger.NotOwner, "data centre %s is owned by %q, not by %q: stop placing there", dataCentre, owner.Instance, step.Author.GetInstance())
	}
	return nil
}

func (s *State) markWorker(record *apiv1.Record, marked *apiv1.WorkerMarked) *ledger.Rejection {
	if rejection := checkName("worker", marked.Worker); rejection != nil {
		return rejection
	}
	switch marked.Condition {
	case apiv1.WorkerCondition_WORKER_CONDITION_HEALTHY:
		delete(s.verdicts, marked.Worker)
		return nil
	case apiv1.WorkerCondition_WORKER_CONDITION_QUARANTINED, apiv1.WorkerCondition_WORKER_CONDITION_DRAINED:
	default:
		return ledger.Reject(ledger.Malformed, "worker %s cannot be marked %s", marked.Worker, marked.Condition)
	}
	if _, known := s.verdicts[marked.Worker]; !known && len(s.verdicts) >= MaxVerdicts {
		return ledger.Reject(ledger.Full, "%d workers are marked: mark those that are gone as healthy", len(s.verdicts))
	}
	s.verdicts[marked.Worker] = Verdict{
		Worker:     marked.Worker,
		Condition:  marked.Condition,
		Reason:     shorten(record.Reason),
		TimeMillis: record.TimeUnixMs,
	}
	return nil
}
