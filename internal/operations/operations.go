// Package operations carries out operators' commands.
package operations

import (
	"context"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/audit"
	"github.com/dotterelgauge/dotterelgauge/internal/entry"
	"github.com/dotterelgauge/dotterelgauge/internal/jobs"
	"github.com/dotterelgauge/dotterelgauge/internal/membership"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
	"github.com/dotterelgauge/dotterelgauge/internal/sheet"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

// proposeTimeout bounds how long an operator waits for the ledger.
const proposeTimeout = 10 * time.Second

// Config is what a Service needs. All fields must be set.
type Config struct {
	Instance string
	Ledger   jobs.Ledger
	State    *state.State
	Offset   func() int64
	Members  func() membership.View
	Trail    *audit.Trail
	// Ready returns why the instance is not ready, "" when it is.
	Ready func() string
}

// Service carries out operators' commands. It is safe for concurrent use.
type Service struct {
	config Config
}

// New returns a Service.
func New(config Config) *Service {
	return &Service{config: config}
}

// Ready returns why the instance is not ready, "" when it is.
func (s *Service) Ready() string {
	return s.config.Ready()
}

// Status returns the state of the system as this instance sees it.
func (s *Service) Status() *apiv1.Status {
	reason := s.config.Ready()
	status := &apiv1.Status{
		Instance:     s.config.Instance,
		Ready:        reason == "",
		Reason:       reason,
		LedgerOffset: s.config.Offset(),
	}
	s.config.Ledger.View(func() { readState(s.config.State, status) })
	members := s.config.Members()
	status.Workers = members.Workers
	for _, peer := range members.Peers {
		status.Instances = append(status.Instances, &apiv1.InstanceStatus{
			Name:         peer.Instance.Name,
			DataCentre:   peer.Instance.DataCentre,
			Answers:      peer.Answers(),
			Silent:       peer.Silent(),
			Draining:     peer.Standing.GetDraining(),
			ReachesLog:   peer.Standing.GetReachesLog(),
			Revision:     peer.Standing.GetRevision(),
			LedgerOffset: peer.Standing.GetLedgerOffset(),
		})
	}
	return status
}

// readState copies what the ledger holds into the status.
func readState(ledgerState *state.State, status *apiv1.Status) {
	status.Revision = ledgerState.RevisionNumber()
	for _, owner := range ledgerState.Owners() {
		status.Owners = append(status.Owners, &apiv1.Owner{
			DataCentre: owner.DataCentre,
			Author:     &apiv1.Author{Instance: owner.Instance, Incarnation: owner.Incarnation},
			Epoch:      owner.Epoch,
		})
	}
	for _, verdict := range ledgerState.Verdicts() {
		status.Verdicts = append(status.Verdicts, &apiv1.WorkerVerdict{
			Worker:     verdict.Worker,
			Condition:  verdict.Condition,
			Reason:     verdict.Reason,
			TimeUnixMs: verdict.TimeMillis,
		})
	}
	for _, job := range ledgerState.Jobs((*state.Job).Live) {
		if job.State == apiv1.JobState_JOB_STATE_PLACED {
			status.PlacedJobs++
			continue
		}
		status.WaitingJobs++
	}
}

// CheckSheet returns the sheet with its data centres filled in. Errors are *problem.Error.
func (s *Service) CheckSheet(fresh *apiv1.Sheet) (*apiv1.Sheet, error) {
	if err := sheet.Check(fresh); err != nil {
		return nil, problem.New(problem.Invalid, err.Error())
	}
	checked, err := pack(fresh, s.config.Members().Workers)
	if err != nil {
		return nil, problem.New(problem.Impossible, err.Error())
	}
	return checked, nil
}

// ApplySheet puts the sheet in force if base is the revision in force. Errors are *problem.Error.
func (s *Service) ApplySheet(ctx context.Context, base uint64, fresh *apiv1.Sheet, cause entry.Cause) (uint64, error) {
	checked, err := s.CheckSheet(fresh)
	if err != nil {
		return 0, err
	}
	record := &apiv1.Record{
		Actor:  cause.Actor,
		Reason: cause.Reason,
		Body:   &apiv1.Record_SheetApplied{SheetApplied: &apiv1.SheetApplied{BaseRevision: base, Sheet: checked}},
	}
	if err := s.propose(ctx, record); err != nil {
		return 0, err
	}
	return base + 1, nil
}

// History returns the newest revisions, oldest first.
func (s *Service) History() *apiv1.History {
	history := &apiv1.History{}
	s.config.Ledger.View(func() { history.Revisions = s.config.State.Revisions() })
	return history
}

// Audit returns records of the ledger stream from the offset on. Errors are *problem.Error.
func (s *Service) Audit(ctx context.Context, from int64, limit int, wait time.Duration) (*apiv1.AuditPage, error) {
	page, err := s.config.Trail.Page(ctx, from, limit, wait)
	if err != nil {
		return nil, problem.New(problem.Unavailable, err.Error())
	}
	return page, nil
}

// MarkWorker sets the condition of a worker. Errors are *problem.Error.
func (s *Service) MarkWorker(ctx context.Context, name string, condition apiv1.WorkerCondition, cause entry.Cause) error {
	if !s.knowsWorker(name) {
		return problem.New(problem.NotFound, "worker "+name+" is not in the instance list: look at dotterelctl status")
	}
	return s.propose(ctx, &apiv1.Record{
		Actor:  cause.Actor,
		Reason: cause.Reason,
		Body:   &apiv1.Record_WorkerMarked{WorkerMarked: &apiv1.WorkerMarked{Worker: name, Condition: condition}},
	})
}

func (s *Service) knowsWorker(name string) bool {
	for _, worker := range s.config.Members().Workers {
		if worker.Name == name {
			return true
		}
	}
	return false
}

func (s *Service) propose(ctx context.Context, record *apiv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return jobs.Problem(s.config.Ledger.Propose(ctx, record))
}
