package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

const (
	// jobWork is the work of most trial jobs. With UnderFaults every longEvery-th has longWork, which outlasts a few
	// lease terms.
	jobWork   = 2 * time.Second
	longWork  = 12 * time.Second
	longEvery = 3
	// cancelledWork is the work of jobs that are to be cancelled, longer than any run.
	cancelledWork = 10 * time.Minute
	// cancelAfter is the step of the times after which the jobs of a wave are cancelled.
	cancelAfter = time.Second
	// jobPatience is how long a trial waits for its jobs.
	jobPatience = 60 * time.Second
	// jobPoll is the time between two looks at a job.
	jobPoll = 250 * time.Millisecond
	// jobMembers is the size of each trial gang.
	jobMembers = 2
)

// JobOutcome is one gang and what its caller learned.
type JobOutcome struct {
	ID      string
	Members int
	State   apiv1.JobState
	Runs    uint32
	Detail  string
	Took    time.Duration
}

// Jobs submits gangs, each through another instance, and returns when all have ended or patience has.
func Jobs(ctx context.Context, config Config, count int) []JobOutcome {
	ctx, cancel := context.WithTimeout(ctx, jobPatience)
	defer cancel()
	outcomes := make([]JobOutcome, count)
	done := make(chan struct{})
	for i := range outcomes {
		c := &caller{config: config, next: i}
		go func() {
			outcomes[i] = c.runJob(ctx, i)
			done <- struct{}{}
		}()
	}
	for range outcomes {
		<-done
	}
	return outcomes
}

// runJob submits one gang until it is accepted and follows it to its end.
func (c *caller) runJob(ctx context.Context, number int) JobOutcome {
	outcome := JobOutcome{Members: jobMembers}
	key, err := uuid.NewV7()
	if err != nil {
		outcome.Detail = err.Error()
		return outcome
	}
	outcome.ID = key.String()
	started := time.Now()
	spec := jobSpec(number, c.config.workOf(number))
	submitted := false
	for ctx.Err() == nil {
		job, err := c.step(ctx, outcome.ID, spec, submitted)
		if err != nil {
			outcome.Detail = err.Error()
		} else {
			submitted = true
			outcome.State, outcome.Runs, outcome.Detail = job.State, job.Run, job.Reason
		}
		outcome.Took = time.Since(started)
		if err == nil && job.EndedUnixMs > 0 {
			return outcome
		}
		time.Sleep(jobPoll)
	}
	return outcome
}

// workOf returns the work of the trial job of that number.
func (c Config) workOf(number int) time.Duration {
	if c.UnderFaults && number%longEvery == 0 {
		return longWork
	}
	return jobWork
}

func jobSpec(number int, work time.Duration) *apiv1.JobSpec {
	return &apiv1.JobSpec{
		WorkClass:  apiv1.WorkClass(int32(number%len(classes)) + 1), //nolint:gosec // Small.
		Shape:      &apiv1.Shape{Members: jobMembers, Accelerators: 8, Adjacency: apiv1.Adjacency_ADJACENCY_RACK},
		ExpectedMs: work.Milliseconds(),
		Payload:    fmt.Appendf(nil, "trial job %d", number),
	}
}

// step submits the job or, when it is submitted, looks at it, through the next instance.
func (c *caller) step(ctx context.Context, id string, spec *apiv1.JobSpec, submitted bool) (*apiv1.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	instance := c.instance()
	if !submitted {
		return instance.SubmitJob(ctx, id, spec)
	}
	view, err := instance.Job(ctx, id)
	if err != nil {
		return nil, err
	}
	return view.Job, nil
}

// CheckJobs checks that every accepted job finished.
func CheckJobs(outcomes []JobOutcome) *Invariant {
	finished := &Invariant{Name: "every accepted job finishes"}
	for _, outcome := range outcomes {
		finished.Check(outcome.State == apiv1.JobState_JOB_STATE_FINISHED, "job %s: %s: %s", outcome.ID, outcome.State, outcome.Detail)
	}
	return finished
}

// MembersOf returns the size of a job's gang; a job that is not among the outcomes has the size of every
// trial gang.
func MembersOf(outcomes []JobOutcome, id string) int {
	for _, outcome := range outcomes {
		if outcome.ID == id {
			return outcome.Members
		}
	}
	return jobMembers
}

// CancelWave submits gangs with work without end, lets some start, cancels all and returns those whose callers were
// told so.
func CancelWave(ctx context.Context, config Config, count int) []Cancellation {
	ctx, cancel := context.WithTimeout(ctx, jobPatience)
	defer cancel()
	results := make(chan Cancellation, count)
	for i := range count {
		c := &caller{config: config, next: i}
		go func() { results <- c.submitAndCancel(ctx, i) }()
	}
	var cancelled []Cancellation
	for range count {
		if result := <-results; !result.At.IsZero() {
			cancelled = append(cancelled, result)
		}
	}
	return cancelled
}

// submitAndCancel submits a gang and cancels it until an instance says that it is cancelled.
func (c *caller) submitAndCancel(ctx context.Context, number int) Cancellation {
	key, err := uuid.NewV7()
	if err != nil {
		return Cancellation{}
	}
	id := key.String()
	_, _ = c.step(ctx, id, jobSpec(number, cancelledWork), false)
	time.Sleep(time.Duration(number%longEvery) * cancelAfter)
	for ctx.Err() == nil {
		job, err := c.instance().CancelJob(ctx, id)
		if err == nil && job.State == apiv1.JobState_JOB_STATE_CANCELLED {
			return Cancellation{ID: id, At: time.Now()}
		}
		time.Sleep(jobPoll)
	}
	return Cancellation{}
}
