package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/trial"
)

const (
	// partialWindow is how long the members of a gang may start and lapse one after another: a start window
	// and one lease term of the demo.
	partialWindow = 4 * time.Second
)

// trialCommand asks requests and jobs and checks the answers.
type trialCommand struct {
	Callers   []string `help:"Callers' addresses of the instances, separated by commas." required:""`
	Token     string   `help:"Token of the client account." env:"DOTTERELGAUGE_TOKEN" required:""`
	List      string   `help:"Address of the stand-in instance list." required:""`
	Requests  int      `help:"Requests to ask." default:"240"`
	PerSecond int      `help:"Requests a second." default:"24"`
	Jobs      int      `help:"Gang jobs to submit." default:"4"`
	Seed      uint64   `help:"Seed of the choice of instances." default:"1"`
}

// Run prints a table of what was asked and answered, and the invariants with their checks.
func (c *trialCommand) Run(ctx context.Context) error {
	workers, err := trial.Workers(ctx, c.List)
	if err != nil {
		return err
	}
	config := trial.Config{Callers: c.Callers, Token: c.Token, Requests: c.Requests, PerSecond: c.PerSecond, Seed: c.Seed}
	fmt.Printf("seed %d\n", c.Seed)
	jobs := make(chan []trial.JobOutcome, 1)
	go func() { jobs <- trial.Jobs(ctx, config, c.Jobs) }()
	outcomes := trial.Requests(ctx, config)
	gangs := <-jobs
	histories, err := trial.Histories(ctx, workers)
	if err != nil {
		return err
	}
	trial.PrintOutcomes(os.Stdout, outcomes, gangs)
	members := func(job string) int { return trial.MembersOf(gangs, job) }
	invariants := trial.CheckAnswers(outcomes)
	invariants = append(invariants, trial.CheckAtMostOnce(outcomes, histories)...)
	ran := trial.CheckGangs(members, histories, partialWindow, time.Now())
	invariants = append(invariants, ran.Whole, ran.Overlap, ran.StartedOnce, trial.CheckJobs(gangs))
	return trial.PrintInvariants(os.Stdout, invariants)
}
