// Package sheet parses a planners' sheet, exported as CSV, into a Sheet message and checks it. The planners are the people
// who distribute the accelerators among the client accounts, not the planning code of packages assign and replay.
//
// The first row names the columns: kind, account, team, data_centre, members, accelerators, adjacency,
// count, spare, priority, weight, quota. The kind of a row is account, team or guarantee. Parse accepts
// a byte order mark, CRLF, semicolons as separators, quoted fields, thousands separators, blank rows and
// accented names in any Unicode normalisation form. It reports all problems together.
package sheet

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/text/unicode/norm"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// MaxBytes is the maximum size of a CSV export in bytes.
const MaxBytes = 4 << 20

// Columns of a sheet.
const (
	columnKind         = "kind"
	columnAccount      = "account"
	columnTeam         = "team"
	columnDataCentre   = "data_centre"
	columnMembers      = "members"
	columnAccelerators = "accelerators"
	columnAdjacency    = "adjacency"
	columnCount        = "count"
	columnSpare        = "spare"
	columnPriority     = "priority"
	columnWeight       = "weight"
	columnQuota        = "quota"
)

var knownColumns = []string{
	columnKind, columnAccount, columnTeam, columnDataCentre, columnMembers, columnAccelerators,
	columnAdjacency, columnCount, columnSpare, columnPriority, columnWeight, columnQuota,
}

// Parse reads and checks a CSV export. The error is an *Error unless the reader fails.
func Parse(reader io.Reader) (*apiv1.Sheet, error) {
	data, err := io.ReadAll(io.LimitReader(reader, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read sheet")
	}
	if len(data) > MaxBytes {
		return nil, &Error{Problems: []Problem{{Value: "larger than 4 MiB", Remedy: "export a smaller sheet"}}}
	}
	p := &parser{sheet: &apiv1.Sheet{}, lines: &lineIndex{}}
	p.parse(data)
	if len(p.problems) == 0 {
		p.problems = checkWithLines(p.sheet, p.lines)
	}
	if len(p.problems) > 0 {
		return nil, &Error{Problems: p.problems}
	}
	return p.sheet, nil
}

// parser collects the rows of a sheet and their problems.
type parser struct {
	sheet    *apiv1.Sheet
	lines    *lineIndex
	columns  []string
	problems []Problem
}

func (p *parser) parse(data []byte) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = detectSeparator(data)
	reader.FieldsPerRecord = -1
	beforeHeader := true
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.addSyntaxProblem(err)
			return
		}
		if isBlank(fields) {
			continue
		}
		line, _ := reader.FieldPos(0)
		if beforeHeader {
			beforeHeader = false
			if !p.parseHeader(fields, line) {
				return
			}
			continue
		}
		p.parseRow(fields, line)
	}
	if beforeHeader {
		p.problems = append(p.problems, Problem{Value: "empty", Remedy: "export at least a header row and one account"})
	}
}

func (p *parser) addSyntaxProblem(err error) {
	problem := Problem{
		Line: 1, Column: "(row)", Value: err.Error(), Remedy: "close every quote and write a quote inside a field twice",
	}
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		problem.Line = parseError.Line
		problem.Value = parseError.Err.Error()
	}
	p.problems = append(p.problems, problem)
}

// detectSeparator returns the separator that occurs more often in the first line, a comma if they occur equally often.
func detectSeparator(data []byte) rune {
	firstLine, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(firstLine, []byte(";")) > bytes.Count(firstLine, []byte(",")) {
		return ';'
	}
	return ','
}

// parseHeader sets the columns and reports whether the header row is valid.
func (p *parser) parseHeader(fields []string, line int) bool {
	seen := make(map[string]bool)
	for _, field := range fields {
		name := strings.ToLower(normalise(field))
		switch {
		case name != "" && !slices.Contains(knownColumns, name):
			p.addProblem(line, name, field, "remove the column or use one of: "+strings.Join(knownColumns, ", "))
		case name != "" && seen[name]:
			p.addProblem(line, name, field, "use each column only once")
		}
		seen[name] = true
		p.columns = append(p.columns, name)
	}
	for _, required := range []string{columnKind, columnAccount} {
		if !seen[required] {
			p.addProblem(line, required, "", "add this column to the header row")
		}
	}
	return len(p.problems) == 0
}

func (p *parser) addProblem(line int, column, value, remedy string) {
	p.problems = append(p.problems, Problem{Line: line, Column: column, Value: value, Remedy: remedy})
}

func (p *parser) parseRow(fields []string, line int) {
	row := &row{parser: p, line: line, values: make(map[string]string, len(fields))}
	for i, field := range fields {
		if i < len(p.columns) {
			row.values[p.columns[i]] = normalise(field)
			continue
		}
		if normalise(field) != "" {
			p.addProblem(line, fmt.Sprintf("%d", i+1), field,
				"the header names fewer columns: quote fields that contain the separator")
		}
	}
	row.addToSheet()
}

// row is one row of the sheet; its values are keyed by column name.
type row struct {
	parser *parser
	line   int
	values map[string]string
}

// addToSheet adds the account, team or guarantee of the row to the sheet.
func (r *row) addToSheet() {
	p := r.parser
	switch strings.ToLower(r.values[columnKind]) {
	case "account":
		p.lines.accounts = append(p.lines.accounts, r.line)
		p.sheet.Accounts = append(p.sheet.Accounts, &apiv1.ClientAccount{
			Name:     r.requiredText(columnAccount),
			Priority: r.number(columnPriority, 0),
			Weight:   r.number(columnWeight, 1),
		})
	case "team":
		p.lines.teams = append(p.lines.teams, r.line)
		p.sheet.Teams = append(p.sheet.Teams, &apiv1.Team{
			Account: r.requiredText(columnAccount),
			Name:    r.requiredText(columnTeam),
			Quota:   r.number(columnQuota, 0),
		})
	case "guarantee":
		p.lines.guarantees = append(p.lines.guarantees, r.line)
		p.sheet.Guarantees = append(p.sheet.Guarantees, &apiv1.Guarantee{
			Account:    r.requiredText(columnAccount),
			DataCentre: r.values[columnDataCentre],
			Shape: &apiv1.Shape{
				Members:      r.number(columnMembers, 1),
				Accelerators: r.number(columnAccelerators, 0),
				Adjacency:    r.adjacency(),
			},
			Count: r.number(columnCount, 1),
			Spare: r.boolean(columnSpare),
		})
	default:
		p.addProblem(r.line, columnKind, r.values[columnKind], "use account, team or guarantee")
	}
}

func (r *row) requiredText(column string) string {
	value := r.values[column]
	if value == "" {
		r.parser.addProblem(r.line, column, value, "enter a value")
	}
	return value
}

// number returns the value of a column, or defaultValue if the field is empty or invalid.
func (r *row) number(column string, defaultValue uint32) uint32 {
	value := r.values[column]
	if value == "" {
		return defaultValue
	}
	number, err := strconv.ParseUint(removeThousandsSeparators(value), 10, 32)
	if err != nil {
		r.parser.addProblem(r.line, column, value, "use a whole number of 0 or more")
		return defaultValue
	}
	return uint32(number)
}

func (r *row) boolean(column string) bool {
	switch strings.ToLower(r.values[column]) {
	case "", "no", "false", "0":
		return false
	case "yes", "true", "1":
		return true
	}
	r.parser.addProblem(r.line, column, r.values[column], "use yes or no")
	return false
}

func (r *row) adjacency() apiv1.Adjacency {
	switch strings.ToLower(r.values[columnAdjacency]) {
	case "worker":
		return apiv1.Adjacency_ADJACENCY_WORKER
	case "rack":
		return apiv1.Adjacency_ADJACENCY_RACK
	case "", "data_centre", "data centre":
		return apiv1.Adjacency_ADJACENCY_DATA_CENTRE
	}
	r.parser.addProblem(r.line, columnAdjacency, r.values[columnAdjacency], "use worker, rack or data_centre")
	return apiv1.Adjacency_ADJACENCY_DATA_CENTRE
}

// removeThousandsSeparators removes the separators from a number whose groups after the first have three digits each.
func removeThousandsSeparators(value string) string {
	for _, separator := range []string{",", ".", "'", "’", " ", "\u00a0", "\u202f"} {
		groups := strings.Split(value, separator)
		if len(groups) > 1 && isThousandsGrouped(groups) {
			return strings.Join(groups, "")
		}
	}
	return value
}

func isThousandsGrouped(groups []string) bool {
	if groups[0] == "" || len(groups[0]) > 3 {
		return false
	}
	for _, group := range groups[1:] {
		if len(group) != 3 {
			return false
		}
	}
	return true
}

// normalise trims white space and converts a field to Unicode normalisation form C.
func normalise(field string) string {
	return norm.NFC.String(strings.TrimSpace(field))
}

func isBlank(fields []string) bool {
	for _, field := range fields {
		if normalise(field) != "" {
			return false
		}
	}
	return true
}
