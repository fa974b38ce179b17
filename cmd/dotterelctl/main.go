// Command dotterelctl is the command-line client of dotterelgauge for operators and client accounts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

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

const description = `Command-line client of dotterelgauge for operators and client accounts.

Examples:
  dotterelctl job submit settle --count 4 --accelerators 8 --gang --at 10.1.0.19:7000 --key KEY
  dotterelctl status --at 10.1.0.19:7000
  dotterelctl trace 5c0e7a21d94b36f8 i1.log i2.log
  dotterelctl replay testdata/traces/lounge-day.jsonl.gz

Exit codes: 0 succeeded, 1 failed, 2 invalid arguments, 3 the call had no effect,
4 unknown whether the call took effect.`

// commands are the subcommands of the command line.
type commands struct {
	Job    jobCommands   `cmd:"" help:"Submit, show and cancel jobs."`
	Queue  queueCommand  `cmd:"" help:"Show how many jobs of a queue have not started."`
	Status statusCommand `cmd:"" help:"Show an instance: readiness, configuration, owner, jobs and, on the owner, workers."`
	Trace  traceCommand  `cmd:"" help:"Print the log lines of one job from several instances in order of time."`
	Sheet  sheetCommands `cmd:"" help:"Check and compare the planners' sheets."`
	Replay replayCommand `cmd:"" help:"Replay a trace through the scheduler. Example: dotterelctl replay trace.jsonl."`
}

// instanceFlags are the flags of commands that call an instance.
type instanceFlags struct {
	At   string `help:"Operations address of an instance, IP:port." env:"DOTTERELGAUGE_AT" required:""`
	Key  string `help:"API key of the client account." env:"DOTTERELGAUGE_KEY"`
	JSON bool   `help:"Print JSON."`
}

func (f instanceFlags) client() *client.Client { return client.New(f.At, f.Key) }

func printJSON(message proto.Message) error {
	body, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode the answer")
	}
	_, err = fmt.Println(string(body))
	return err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cli commands
	parser, err := kong.New(&cli,
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

// exitCode returns the exit code for an error, so that scripts know whether a failed call took effect.
func exitCode(err error) int {
	var problemErr *client.ProblemError
	if !errors.As(err, &problemErr) {
		return exitFailed
	}
	switch problemErr.Problem.GetOutcome() {
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		return exitNotRun
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		return exitUnknown
	default:
		return exitFailed
	}
}
