package sheet

import (
	"fmt"
	"strings"
)

// Problem is one error in a sheet, with the change that corrects it.
type Problem struct {
	// Line counts from 1 and includes the header row; 0 means the sheet as a whole.
	Line   int
	Column string
	Value  string
	Remedy string
}

// Error lists every problem of a sheet. A sheet with problems is rejected as a whole.
type Error struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the line and column, the value and the remedy.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("sheet: %s: %s", p.Value, p.Remedy)
	}
	return fmt.Sprintf("line %d, column %s: %q: %s", p.Line, p.Column, p.Value, p.Remedy)
}
