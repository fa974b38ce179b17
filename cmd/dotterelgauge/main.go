// Command dotterelgauge runs one instance of the scheduler.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/instance"
	"github.com/dotterelgauge/dotterelgauge/internal/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

const description = `Runs one instance of the scheduler.

Examples:
  dotterelgauge check --settings i1.toml
  dotterelgauge run --settings i1.toml

SIGTERM drains: the instance leaves readiness, hands over what it owns, answers every request under way and
ends with 0. A second SIGTERM or the limit limits.drain_ms ends it at once with 1 and says what was left.

Exit codes: 0 ended in order, 1 failed or cut short, 2 wrong arguments, 3 wrong settings.`

// commands is the command line.
type commands struct {
	Run   runCommand   `cmd:"" help:"Run the instance until SIGTERM."`
	Check checkCommand `cmd:"" help:"Check the settings and exit."`
}

// settingsFlags name the settings file.
type settingsFlags struct {
	Settings string `help:"TOML settings of the instance (docs/SETTINGS.md)." required:"" type:"path"`
}

type checkCommand struct{ settingsFlags }

// Run lists every problem of the settings.
func (c *checkCommand) Run() error {
	if _, err := settings.Load(c.Settings); err != nil {
		return &settingsError{err}
	}
	fmt.Println(c.Settings + ": all right")
	return nil
}

type runCommand struct{ settingsFlags }

// Run runs the instance.
func (c *runCommand) Run() error {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return &settingsError{err}
	}
	return instance.Main(loaded, events.New(os.Stderr, loaded.Name))
}

// settingsError marks an error of the settings for the exit code.
type settingsError struct{ err error }

// Error returns the problems of the settings.
func (e *settingsError) Error() string { return e.err.Error() }

func main() {
	var line commands
	parser, err := kong.New(&line,
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
	err = command.Run()
	if _, wrong := err.(*settingsError); wrong { //nolint:errorlint // Made above and not wrapped.
		fail(exitSettings, err)
	}
	if err != nil {
		fail(exitFailed, err)
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, "dotterelgauge:", err)
	os.Exit(code)
}
