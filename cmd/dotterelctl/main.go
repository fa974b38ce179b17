// Command dotterelctl is for operators and callers of dotterelgauge, and runs the platform's stand-ins for trials.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Exit codes.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
)

const description = `Operates and calls dotterelgauge.

Examples:
  dotterelctl sheet apply examples/lounge/sheet.csv --operators 127.0.0.1:7002 --token TOKEN --actor ana --base 0
  dotterelctl request "check member 7" --callers 127.0.0.1:7001 --token TOKEN --class urgent
  dotterelctl job submit --members 4 --accelerators 8 --callers 127.0.0.1:7001 --token TOKEN

Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 not run, 4 unknown whether it ran.`

// commands is the command line.
type commands struct {
	Sheet   sheetCommands  `cmd:"" help:"Check, apply and compare the configuration."`
	Job     jobCommands    `cmd:"" help:"Submit, list, show and cancel jobs."`
	Request requestCommand `cmd:"" help:"Run a short request. Example: dotterelctl request hello --class urgent --idempotent."`
	Status  statusCommand  `cmd:"" help:"Show revision, owners, workers that are not healthy, and instances."`
	Audit   auditCommands  `cmd:"" help:"Follow or export the audit trail."`
	Worker  workerCommands `cmd:"" help:"Drain, quarantine and return workers."`
	Replay  replayCommand  `cmd:"" help:"Replay a trace through the decisions. Example: dotterelctl replay trace.jsonl --objective lounge."`
	Standin standinCommand `cmd:"" help:"Run stand-ins of the platform on loopback, for trials."`
	Trial   trialCommand   `cmd:"" help:"Ask every class of request through several instances and check each answer."`
}

// callersFlags reach the callers' address.
type callersFlags struct {
	Callers string `help:"Callers' address of an instance, IP:port." env:"DOTTERELGAUGE_CALLERS" required:""`
	Token   string `help:"Token of the client account." env:"DOTTERELGAUGE_TOKEN" required:""`
}

func (f callersFlags) client() *client.Client {
	return client.New(f.Callers, f.Token)
}

// operatorsFlags reach the operators' address.
type operatorsFlags struct {
	Operators string `help:"Operators' address of an instance, IP:port." env:"DOTTERELGAUGE_OPERATORS" required:""`
	Token     string `help:"Operator token." env:"DOTTERELGAUGE_OPERATOR_TOKEN" required:""`
}

func (f operatorsFlags) client() *client.Client {
	return client.New(f.Operators, f.Token)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var line commands
	parser, err := kong.New(&line,
		kong.Name("dotterelctl"),
		kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		fail(exitFailed, err)
	}
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fail(exitUsage, err)
	}
	if err := command.Run(); err != nil {
		fail(exitCode(err), err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "dotterelctl:", err)
	os.Exit(code)
}

// exitCode tells scripts whether a request that failed ran.
func exitCode(err error) int {
	var answered *client.ProblemError
	if !errors.As(err, &answered) {
		return exitFailed
	}
	switch answered.Problem.Outcome {
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		return exitNotRun
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		return exitUnknown
	default:
		return exitFailed
	}
}
