package sheet

import (
	"fmt"
	"math/bits"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Limits of a sheet.
const (
	maxAccounts       = 1000
	maxTeams          = 10_000
	maxGuarantees     = 10_000
	maxMembers        = 64 // per gang
	maxAccelerators   = 8  // per worker
	maxPriority       = 100
	maxWeight         = 1000
	maxGuaranteeCount = 10_000 // shapes per guarantee
	maxNameBytes      = 128
)

// lineIndex holds the line number of each account, team and guarantee; nil slices mean that the lines are unknown.
type lineIndex struct {
	accounts   []int
	teams      []int
	guarantees []int
}

// Check checks a sheet that was not parsed from CSV. The error is an *Error; its line numbers are the positions in the list of
// accounts, teams or guarantees, from 1.
func Check(sheet *apiv1.Sheet) error {
	problems := checkWithLines(sheet, &lineIndex{})
	if len(problems) > 0 {
		return &Error{Problems: problems}
	}
	return nil
}

// lineOf returns the line of item i, or its position from 1 if the line is unknown.
func lineOf(lines []int, i int) int {
	if i < len(lines) {
		return lines[i]
	}
	return i + 1
}

// checker collects the problems of a sheet.
type checker struct {
	problems      []Problem
	knownAccounts map[string]bool
}

func checkWithLines(sheet *apiv1.Sheet, lines *lineIndex) []Problem {
	c := &checker{knownAccounts: make(map[string]bool)}
	if len(sheet.Accounts) == 0 {
		c.addSheetProblem("no client account", "add a row of kind account for each client account")
	}
	c.checkSize("accounts", len(sheet.Accounts), maxAccounts)
	c.checkSize("teams", len(sheet.Teams), maxTeams)
	c.checkSize("guarantees", len(sheet.Guarantees), maxGuarantees)
	for i, account := range sheet.Accounts {
		c.checkAccount(account, lineOf(lines.accounts, i))
	}
	teams := make(map[teamKey]bool)
	for i, team := range sheet.Teams {
		c.checkTeam(team, teams, lineOf(lines.teams, i))
	}
	for i, guarantee := range sheet.Guarantees {
		c.checkGuarantee(guarantee, lineOf(lines.guarantees, i))
	}
	return c.problems
}

func (c *checker) addSheetProblem(value, remedy string) {
	c.problems = append(c.problems, Problem{Value: value, Remedy: remedy})
}

func (c *checker) addProblem(line int, column, value, remedy string) {
	c.problems = append(c.problems, Problem{Line: line, Column: column, Value: value, Remedy: remedy})
}

func (c *checker) checkSize(items string, n, limit int) {
	if n > limit {
		c.addSheetProblem(fmt.Sprintf("%d %s", n, items), fmt.Sprintf("use at most %d", limit))
	}
}

func (c *checker) checkRange(line int, column string, value, low, high uint32) {
	if value < low || value > high {
		c.addProblem(line, column, fmt.Sprintf("%d", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

func (c *checker) checkName(line int, column, value string) {
	if value == "" || len(value) > maxNameBytes {
		c.addProblem(line, column, value, fmt.Sprintf("use a name of 1 to %d bytes", maxNameBytes))
	}
}

func (c *checker) checkAccount(account *apiv1.ClientAccount, line int) {
	c.checkName(line, columnAccount, account.Name)
	if c.knownAccounts[account.Name] {
		c.addProblem(line, columnAccount, account.Name, "list each account only once")
	}
	c.knownAccounts[account.Name] = true
	c.checkRange(line, columnPriority, account.Priority, 0, maxPriority)
	c.checkRange(line, columnWeight, account.Weight, 1, maxWeight)
}

// teamKey identifies a team.
type teamKey struct {
	account string
	name    string
}

func (c *checker) checkAccountKnown(line int, account string) {
	if !c.knownAccounts[account] {
		c.addProblem(line, columnAccount, account, "add a row of kind account with this name or correct the name")
	}
}

func (c *checker) checkTeam(team *apiv1.Team, seen map[teamKey]bool, line int) {
	c.checkAccountKnown(line, team.Account)
	c.checkName(line, columnTeam, team.Name)
	key := teamKey{account: team.Account, name: team.Name}
	if seen[key] {
		c.addProblem(line, columnTeam, team.Name, "list each team of an account only once")
	}
	seen[key] = true
}

func (c *checker) checkGuarantee(guarantee *apiv1.Guarantee, line int) {
	c.checkAccountKnown(line, guarantee.Account)
	c.checkRange(line, columnCount, guarantee.Count, 1, maxGuaranteeCount)
	for _, problem := range CheckShape(guarantee.GetShape()) {
		problem.Line = line
		c.problems = append(c.problems, problem)
	}
	if guarantee.GetShape().GetAccelerators() == 0 {
		c.addProblem(line, columnAccelerators, "0", "a guarantee needs accelerators: use 1, 2, 4 or 8")
	}
}

// CheckShape returns the problems of a shape, without line numbers.
func CheckShape(shape *apiv1.Shape) []Problem {
	c := &checker{}
	c.checkRange(0, columnMembers, shape.GetMembers(), 1, maxMembers)
	accelerators := shape.GetAccelerators()
	if accelerators > maxAccelerators || bits.OnesCount32(accelerators) > 1 {
		c.addProblem(0, columnAccelerators, fmt.Sprintf("%d", accelerators), "use 0, 1, 2, 4 or 8")
	}
	if shape.GetAdjacency() == apiv1.Adjacency_ADJACENCY_WORKER && shape.GetMembers()*accelerators > maxAccelerators {
		c.addProblem(0, columnMembers, fmt.Sprintf("%d members of %d accelerators on one worker", shape.GetMembers(), accelerators),
			"use adjacency rack or data_centre, or at most 8 accelerators in total")
	}
	return c.problems
}
