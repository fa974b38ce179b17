package sheet

import (
	"fmt"
	"math/bits"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Bounds of a sheet.
const (
	maxAccounts     = 1000
	maxTeams        = 10_000
	maxGuarantees   = 10_000
	maxMembers      = 64
	maxAccelerators = 8
	maxPriority     = 100
	maxWeight       = 1000
	maxCount        = 10_000
	maxNameBytes    = 128
)

// lineIndex gives the line of each account, team and guarantee; nil slices mean that lines are not known.
type lineIndex struct {
	accounts   []int
	teams      []int
	guarantees []int
}

// Check checks a sheet that did not come from a CSV. The error is an *Error whose lines count the items of a kind.
func Check(sheet *apiv1.Sheet) error {
	problems := checkWithLines(sheet, &lineIndex{})
	if len(problems) > 0 {
		return &Error{Problems: problems}
	}
	return nil
}

func lineOf(lines []int, i int) int {
	if i < len(lines) {
		return lines[i]
	}
	return i + 1
}

// checker collects the problems of a sheet.
type checker struct {
	problems []Problem
	accounts map[string]bool
}

func checkWithLines(sheet *apiv1.Sheet, lines *lineIndex) []Problem {
	c := &checker{accounts: make(map[string]bool)}
	if len(sheet.Accounts) == 0 {
		c.whole("no client account", "add a row of kind account for each client account")
	}
	c.size("accounts", len(sheet.Accounts), maxAccounts)
	c.size("teams", len(sheet.Teams), maxTeams)
	c.size("guarantees", len(sheet.Guarantees), maxGuarantees)
	for i, account := range sheet.Accounts {
		c.account(account, lineOf(lines.accounts, i))
	}
	teams := make(map[teamKey]bool)
	for i, team := range sheet.Teams {
		c.team(team, teams, lineOf(lines.teams, i))
	}
	for i, guarantee := range sheet.Guarantees {
		c.guarantee(guarantee, lineOf(lines.guarantees, i))
	}
	return c.problems
}

func (c *checker) whole(value, remedy string) {
	c.problems = append(c.problems, Problem{Value: value, Remedy: remedy})
}

func (c *checker) add(line int, column, value, remedy string) {
	c.problems = append(c.problems, Problem{Line: line, Column: column, Value: value, Remedy: remedy})
}

func (c *checker) size(what string, n, most int) {
	if n > most {
		c.whole(fmt.Sprintf("%d %s", n, what), fmt.Sprintf("use at most %d", most))
	}
}

func (c *checker) between(line int, column string, value, low, high uint32) {
	if value < low || value > high {
		c.add(line, column, fmt.Sprintf("%d", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

func (c *checker) name(line int, column, value string) {
	if value == "" || len(value) > maxNameBytes {
		c.add(line, column, value, fmt.Sprintf("use a name of 1 to %d bytes", maxNameBytes))
	}
}

func (c *checker) account(account *apiv1.ClientAccount, line int) {
	c.name(line, columnAccount, account.Name)
	if c.accounts[account.Name] {
		c.add(line, columnAccount, account.Name, "name each account once")
	}
	c.accounts[account.Name] = true
	c.between(line, columnPriority, account.Priority, 0, maxPriority)
	c.between(line, columnWeight, account.Weight, 1, maxWeight)
}

// teamKey identifies a team.
type teamKey struct {
	account string
	name    string
}

func (c *checker) known(line int, account string) {
	if !c.accounts[account] {
		c.add(line, columnAccount, account, "add a row of kind account with this name or correct the name")
	}
}

func (c *checker) team(team *apiv1.Team, seen map[teamKey]bool, line int) {
	c.known(line, team.Account)
	c.name(line, columnTeam, team.Name)
	key := teamKey{account: team.Account, name: team.Name}
	if seen[key] {
		c.add(line, columnTeam, team.Name, "name each team of an account once")
	}
	seen[key] = true
}

func (c *checker) guarantee(guarantee *apiv1.Guarantee, line int) {
	c.known(line, guarantee.Account)
	c.between(line, columnCount, guarantee.Count, 1, maxCount)
	for _, problem := range CheckShape(guarantee.GetShape()) {
		problem.Line = line
		c.problems = append(c.problems, problem)
	}
	if guarantee.GetShape().GetAccelerators() == 0 {
		c.add(line, columnAccelerators, "0", "a guarantee holds accelerators: use 1, 2, 4 or 8")
	}
}

// CheckShape returns what is wrong with a shape. Lines are not set.
func CheckShape(shape *apiv1.Shape) []Problem {
	c := &checker{}
	c.between(0, columnMembers, shape.GetMembers(), 1, maxMembers)
	accelerators := shape.GetAccelerators()
	if accelerators > maxAccelerators || bits.OnesCount32(accelerators) > 1 {
		c.add(0, columnAccelerators, fmt.Sprintf("%d", accelerators), "use 0, 1, 2, 4 or 8")
	}
	if shape.GetAdjacency() == apiv1.Adjacency_ADJACENCY_WORKER && shape.GetMembers()*accelerators > maxAccelerators {
		c.add(0, columnMembers, fmt.Sprintf("%d members of %d accelerators on one worker", shape.GetMembers(), accelerators),
			"use adjacency rack or data_centre, or at most 8 accelerators in all")
	}
	return c.problems
}
