// Command dotterelgauge runs one instance of the scheduler.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

const description = `Runs one instance of the scheduler.

The environment variable DOTTERELGAUGE_NODE_FILE names the settings file that the platform writes (docs/SETTINGS.md).

SIGTERM drains: the instance reports itself as not ready, releases its ownership, answers every call in progress and
exits with 0 within the grace period. SIGHUP checks the settings file and logs every problem.

Exit codes: 0 stopped normally, 1 failed or invalid settings, 2 invalid arguments.`

// commands are the subcommands of the command line.
type commands struct {
	Serve serveCommand `cmd:"" help:"Run an instance until SIGTERM."`
	Check checkCommand `cmd:"" help:"Check the settings file and list every problem."`
}

func main() {
	var cli commands
	parser, err := kong.New(&cli,
		kong.Name("dotterelgauge"),
		kong.Description(description),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fail(exitFailed, err)
	}
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fail(exitUsage, err)
	}
	if err := command.Run(); err != nil {
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "dotterelgauge:", err)
	os.Exit(code)
}
