// Package jobs accepts, shows and cancels the jobs of client accounts.
//
// A job is accepted when its record was read back from the ledger. Its id is the caller's key, so a job
// submitted twice is one job.
package jobs

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/problem"
	"github.com/dotterelgauge/dotterelgauge/internal/sheet"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

const (
	// acceptTimeout bounds how long a caller waits for the ledger.
	acceptTimeout = 10 * time.Second
	// retryAfter is the advice to callers while the log does not answer.
	retryAfter = 2 * time.Second
)

// Ledger is the replica of the ledger stream.
type Ledger interface {
	Propose(ctx context.Context, record *apiv1.Record) error
	View(read func())
}

// Placement finds data centres for jobs.
type Placement interface {
	// DataCentre returns where the job should wait, or a *problem.Error that names the largest shape that fits.
	DataCentre(spec *apiv1.JobSpec) (string, error)
	// Explain says why a waiting job waits, as the owner of its data centre knows it.
	Explain(ctx context.Context, dataCentre, id string) string
}

// Service keeps jobs. It is safe for concurrent use.
type Service struct {
	ledger    Ledger
	state     *state.State
	placement Placement
}

// New returns a Service over the ledger's state.
func New(replica Ledger, ledgerState *state.State, placement Placement) *Service {
	return &Service{ledger: replica, state: ledgerState, placement: placement}
}

// Submit adds a job or returns the one of the account that has the id already. Errors are *problem.Error.
func (s *Service) Submit(ctx context.Context, id string, spec *apiv1.JobSpec) (*apiv1.Job, error) {
	if known, ok := s.find(spec.Account, id); ok {
		return known, nil
	}
	if err := s.check(spec); err != nil {
		return nil, err
	}
	dataCentre, err := s.placement.DataCentre(spec)
	if err != nil {
		return nil, err
	}
	spec.DataCentreFixed = spec.DataCentre != ""
	spec.DataCentre = dataCentre
	record := &apiv1.Record{
		Actor:  spec.Account,
		Reason: "submitted by the caller",
		Body:   &apiv1.Record_JobSubmitted{JobSubmitted: &apiv1.JobSubmitted{Id: id, Spec: spec}},
	}
	if err := s.propose(ctx, record); err != nil {
		if known, ok := s.find(spec.Account, id); ok {
			return known, nil
		}
		return nil, err
	}
	job, ok := s.find(spec.Account, id)
	if !ok {
		return nil, problem.New(problem.NotFound, "the job ended and is no longer kept")
	}
	return job, nil
}

// check returns what is wrong with a job against the configuration in force.
func (s *Service) check(spec *apiv1.JobSpec) error {
	for _, wrong := range sheet.CheckShape(spec.GetShape()) {
		return problem.New(problem.Invalid, fmt.Sprintf("shape.%s: %s: %s", wrong.Column, wrong.Value, wrong.Remedy))
	}
	switch {
	case spec.WorkClass == apiv1.WorkClass_WORK_CLASS_UNSPECIFIED:
		return problem.New(problem.Invalid, "work_class: give WORK_CLASS_URGENT, WORK_CLASS_ORDINARY or WORK_CLASS_PATIENT")
	case spec.Shape.Adjacency == apiv1.Adjacency_ADJACENCY_UNSPECIFIED:
		return problem.New(problem.Invalid, "shape.adjacency: give ADJACENCY_WORKER, ADJACENCY_RACK or ADJACENCY_DATA_CENTRE")
	case spec.ExpectedMs <= 0:
		return problem.New(problem.Invalid, "expected_ms: give the expected run time in milliseconds, above 0")
	}
	return s.checkAccount(spec)
}

func (s *Service) checkAccount(spec *apiv1.JobSpec) error {
	var revision *apiv1.Revision
	s.ledger.View(func() { revision = s.state.Revision() })
	account := false
	for _, known := range revision.GetSheet().GetAccounts() {
		account = account || known.Name == spec.Account
	}
	if !account {
		return problem.New(problem.Invalid, "account "+spec.Account+" is not in the sheet in force: ask the operators to add it")
	}
	if spec.Team == "" {
		return nil
	}
	for _, team := range revision.GetSheet().GetTeams() {
		if team.Account == spec.Account && team.Name == spec.Team {
			return nil
		}
	}
	return problem.New(problem.Invalid, "team "+spec.Team+" is not in the sheet in force: leave it out or ask the operators to add it")
}

// Job returns a job of the account and why it waits. Errors are *problem.Error.
func (s *Service) Job(ctx context.Context, account, id string) (*apiv1.JobView, error) {
	job, ok := s.find(account, id)
	if !ok {
		return nil, notFound()
	}
	view := &apiv1.JobView{Job: job}
	if job.State == apiv1.JobState_JOB_STATE_WAITING {
		view.Explanation = s.placement.Explain(ctx, job.Spec.DataCentre, id)
	}
	return view, nil
}

// List returns the account's jobs in the order of submission.
func (s *Service) List(account string) []*apiv1.Job {
	var list []*apiv1.Job
	s.ledger.View(func() {
		for _, job := range s.state.Jobs(func(job *state.Job) bool { return job.Spec.Account == account }) {
			list = append(list, job.Proto())
		}
	})
	return list
}

// Cancel ends a job of the account; cancelling it again changes nothing. Errors are *problem.Error.
func (s *Service) Cancel(ctx context.Context, account, id string) (*apiv1.Job, error) {
	if _, ok := s.find(account, id); !ok {
		return nil, notFound()
	}
	record := &apiv1.Record{
		Actor:  account,
		Reason: "cancelled by the caller",
		Body:   &apiv1.Record_JobCancelled{JobCancelled: &apiv1.JobCancelled{Id: id}},
	}
	err := s.propose(ctx, record)
	job, ok := s.find(account, id)
	if ok && job.EndedUnixMs > 0 {
		return job, nil
	}
	if err != nil {
		return nil, err
	}
	return nil, notFound()
}

func notFound() error {
	return problem.New(problem.NotFound, "the account has no such job: look at the list of jobs")
}

// find returns a job of the account.
func (s *Service) find(account, id string) (*apiv1.Job, bool) {
	var found *apiv1.Job
	s.ledger.View(func() {
		job, ok := s.state.Job(id)
		if ok && job.Spec.Account == account {
			found = job.Proto()
		}
	})
	return found, found != nil
}

// propose waits for the fold and turns its errors into problems.
func (s *Service) propose(ctx context.Context, record *apiv1.Record) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	return Problem(s.ledger.Propose(ctx, record))
}

// Problem turns an error of a proposal into a *problem.Error; nil stays nil.
func Problem(err error) error {
	var rejection *ledger.Rejection
	var tooLarge *ledger.RecordTooLargeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejection):
		return problem.New(rejectionKind(rejection.Kind), rejection.Message)
	case errors.As(err, &tooLarge):
		return problem.New(problem.TooLarge, tooLarge.Error())
	case errors.Is(err, ledger.ErrNotProposed):
		return &problem.Error{
			Kind:       problem.Unavailable,
			Detail:     "not accepted, the log service does not answer: send it again",
			Outcome:    apiv1.Outcome_OUTCOME_NOT_RUN,
			RetryAfter: retryAfter,
		}
	default:
		return &problem.Error{
			Kind:       problem.NotKnown,
			Detail:     "it is not known whether this was accepted: send it again with the same key, or read the state",
			Outcome:    apiv1.Outcome_OUTCOME_UNKNOWN,
			RetryAfter: retryAfter,
		}
	}
}

func rejectionKind(kind ledger.Kind) problem.Kind {
	switch kind {
	case ledger.Malformed:
		return problem.Invalid
	case ledger.Unknown:
		return problem.NotFound
	case ledger.Full:
		return problem.Overload
	default:
		return problem.Conflict
	}
}
