package main

import (
	"bytes"
	"fmt"
	"os"
	"slices"

	"github.com/go-faster/errors"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/sheet"
)

// sheetCommands are the subcommands of sheet, for the planners' sheets. The operator puts the contents of
// a sheet into the configuration.
type sheetCommands struct {
	Check sheetCheckCommand `cmd:"" help:"Check a sheet and list every error."`
	Diff  sheetDiffCommand  `cmd:"" help:"Compare two sheets. Example: dotterelctl sheet diff yesterday.csv today.csv."`
}

// sheetCheckCommand checks one sheet.
type sheetCheckCommand struct {
	File string `arg:"" help:"CSV export of the planners' sheet." type:"existingfile"`
}

// Run returns every error of the sheet as one error, or prints what the sheet holds.
func (c *sheetCheckCommand) Run() error {
	parsed, err := readSheet(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d accounts, %d teams, %d guarantees: no problems\n",
		c.File, len(parsed.GetAccounts()), len(parsed.GetTeams()), len(parsed.GetGuarantees()))
	return nil
}

// readSheet reads and checks a sheet.
func readSheet(file string) (*apiv1.Sheet, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file.
	if err != nil {
		return nil, errors.Wrap(err, "read the sheet")
	}
	parsed, err := sheet.Parse(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	return parsed, nil
}

// sheetDiffCommand compares two sheets.
type sheetDiffCommand struct {
	Old string `arg:"" help:"Earlier CSV export of the planners' sheet." type:"existingfile"`
	New string `arg:"" help:"Later CSV export of the planners' sheet." type:"existingfile"`
}

// Run prints the rows that only one of the sheets has: "-" for the old sheet, "+" for the new one.
func (c *sheetDiffCommand) Run() error {
	previous, err := readSheet(c.Old)
	if err != nil {
		return err
	}
	current, err := readSheet(c.New)
	if err != nil {
		return err
	}
	before, after := formatRows(previous), formatRows(current)
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

// formatRows returns one line for each account, team and guarantee of a sheet.
func formatRows(sheet *apiv1.Sheet) []string {
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
