package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/api/client"
	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/sheet"
)

const (
	// inForceBound is how long --wait waits for all instances.
	inForceBound = 5 * time.Second
	// inForcePoll is the time between two looks at the instances.
	inForcePoll = 200 * time.Millisecond
)

var errNotInForce = errors.New("not every instance reports the revision yet: look at dotterelctl status")

// sheetCommands are the commands on the configuration.
type sheetCommands struct {
	Check   sheetCheckCommand   `cmd:"" help:"Check a sheet here; with --operators also that its guarantees fit the workers."`
	Apply   sheetApplyCommand   `cmd:"" help:"Put a sheet in force. Example: dotterelctl sheet apply sheet.csv --base 7 --actor ana --wait."`
	Diff    sheetDiffCommand    `cmd:"" help:"Compare a sheet with the one in force."`
	History sheetHistoryCommand `cmd:"" help:"List the newest revisions."`
}

// sheetCheckCommand checks a file.
type sheetCheckCommand struct {
	File      string `arg:"" help:"CSV export of the planners." type:"existingfile"`
	Operators string `help:"Operators' address of an instance, IP:port." env:"DOTTERELGAUGE_OPERATORS"`
	Token     string `help:"Operator token." env:"DOTTERELGAUGE_OPERATOR_TOKEN"`
}

// Run lists every error of the sheet.
func (c *sheetCheckCommand) Run(ctx context.Context) error {
	data, parsed, err := readSheet(c.File)
	if err != nil {
		return err
	}
	if c.Operators != "" {
		if parsed, err = client.New(c.Operators, c.Token).CheckSheet(ctx, data); err != nil {
			return err
		}
	}
	fmt.Printf("%s: %d accounts, %d teams, %d guarantees: all right\n",
		c.File, len(parsed.Accounts), len(parsed.Teams), len(parsed.Guarantees))
	return nil
}

// readSheet returns the bytes of a sheet that parses, and the sheet.
func readSheet(file string) ([]byte, *apiv1.Sheet, error) {
	data, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, nil, errors.Wrap(err, "read the sheet")
	}
	parsed, err := sheet.Parse(bytes.NewReader(data))
	if err != nil {
		return nil, nil, errors.Wrap(err, file+" is not applied")
	}
	return data, parsed, nil
}

// sheetApplyCommand puts a file in force.
type sheetApplyCommand struct {
	operatorsFlags
	File   string `arg:"" help:"CSV export of the planners." type:"existingfile"`
	Base   uint64 `help:"Revision that the sheet was made against; 0 for the first." required:""`
	Actor  string `help:"Your name, for the audit trail." env:"USER" required:""`
	Reason string `help:"Why, for the audit trail."`
	Wait   bool   `help:"Return when all live instances report the revision."`
}

// Run applies the sheet.
func (c *sheetApplyCommand) Run(ctx context.Context) error {
	data, _, err := readSheet(c.File)
	if err != nil {
		return err
	}
	connection := c.client()
	revision, err := connection.ApplySheet(ctx, c.Base, data, client.Cause{Actor: c.Actor, Reason: c.Reason})
	if err != nil {
		return err
	}
	fmt.Printf("revision %d accepted\n", revision)
	if !c.Wait {
		return nil
	}
	return waitInForce(ctx, connection, revision)
}

// waitInForce returns when every instance that answers reports the revision.
func waitInForce(ctx context.Context, connection *client.Client, revision uint64) error {
	started := time.Now()
	for time.Since(started) < inForceBound {
		status, err := connection.Status(ctx)
		if err == nil && inForceEverywhere(status, revision) {
			fmt.Printf("revision %d in force everywhere after %d ms\n", revision, time.Since(started).Milliseconds())
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(inForcePoll):
		}
	}
	return errNotInForce
}

func inForceEverywhere(status *apiv1.Status, revision uint64) bool {
	if status.Revision < revision {
		return false
	}
	return !slices.ContainsFunc(status.Instances, func(i *apiv1.InstanceStatus) bool {
		return !i.Silent && i.Revision < revision
	})
}

// sheetDiffCommand compares a file with the sheet in force.
type sheetDiffCommand struct {
	operatorsFlags
	File string `arg:"" help:"CSV export of the planners." type:"existingfile"`
}

// Run prints the rows that differ.
func (c *sheetDiffCommand) Run(ctx context.Context) error {
	_, fresh, err := readSheet(c.File)
	if err != nil {
		return err
	}
	history, err := c.client().History(ctx)
	if err != nil {
		return err
	}
	inForce := &apiv1.Sheet{}
	if n := len(history.Revisions); n > 0 {
		inForce = history.Revisions[n-1].Sheet
		fmt.Printf("against revision %d\n", history.Revisions[n-1].Number)
	}
	before := rows(inForce)
	after := rows(fresh)
	for _, row := range before {
		if !slices.Contains(after, row) {
			fmt.Println("-", row)
		}
	}
	for _, row := range after {
		if !slices.Contains(before, row) {
			fmt.Println("+", row)
		}
	}
	return nil
}

// rows writes each item of a sheet as one line.
func rows(sheet *apiv1.Sheet) []string {
	var lines []string
	for _, account := range sheet.Accounts {
		lines = append(lines, fmt.Sprintf("account %s priority %d weight %d", account.Name, account.Priority, account.Weight))
	}
	for _, team := range sheet.Teams {
		lines = append(lines, fmt.Sprintf("team %s/%s quota %d", team.Account, team.Name, team.Quota))
	}
	for _, guarantee := range sheet.Guarantees {
		shape := guarantee.Shape
		lines = append(lines, fmt.Sprintf("guarantee %s in %s: %d of %d members with %d accelerators (%s), spare %t",
			guarantee.Account, guarantee.DataCentre, guarantee.Count, shape.Members, shape.Accelerators, shape.Adjacency, guarantee.Spare))
	}
	return lines
}

// sheetHistoryCommand lists revisions.
type sheetHistoryCommand struct {
	operatorsFlags
}

// Run prints one line a revision.
func (c *sheetHistoryCommand) Run(ctx context.Context) error {
	history, err := c.client().History(ctx)
	if err != nil {
		return err
	}
	for _, revision := range history.Revisions {
		when := time.UnixMilli(revision.TimeUnixMs).UTC().Format(time.RFC3339)
		fmt.Printf("%d  %s  %s  %s\n", revision.Number, when, revision.Actor, revision.Reason)
	}
	return nil
}
