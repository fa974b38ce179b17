// Package sheet reads the planners' CSV export into a sheet message and checks it.
//
// The first row names the columns: kind, account, team, data_centre, members, accelerators, adjacency,
// count, spare, priority, weight, quota. The kind of a row is account, team or guarantee. A byte order
// mark, CRLF, semicolons as separators, quoted fields, thousands separators, blank rows and accented
// names in any normal form are accepted. All problems are reported together.
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

// MaxBytes bounds the size of a sheet, bytes.
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

// Parse reads a CSV export. The error is an *Error unless reading itself fails.
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

// parser collects rows and problems.
type parser struct {
	sheet    *apiv1.Sheet
	lines    *lineIndex
	columns  []string
	problems []Problem
}

func (p *parser) parse(data []byte) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = separator(data)
	reader.FieldsPerRecord = -1
	header := true
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			p.syntax(err)
			return
		}
		if blank(fields) {
			continue
		}
		line, _ := reader.FieldPos(0)
		if header {
			header = false
			if !p.header(fields, line) {
				return
			}
			continue
		}
		p.row(fields, line)
	}
	if header {
		p.problems = append(p.problems, Problem{Value: "empty", Remedy: "export at least a header row and an account"})
	}
}

func (p *parser) syntax(err error) {
	problem := Problem{Line: 1, Column: "(row)", Value: err.Error(), Remedy: "close every quote and write a quote inside a field twice"}
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		problem.Line = parseError.Line
		problem.Value = parseError.Err.Error()
	}
	p.problems = append(p.problems, problem)
}

// separator is the one of the header row.
func separator(data []byte) rune {
	header, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(header, []byte(";")) > bytes.Count(header, []byte(",")) {
		return ';'
	}
	return ','
}

func (p *parser) header(fields []string, line int) bool {
	seen := make(map[string]bool)
	for _, field := range fields {
		name := strings.ToLower(clean(field))
		switch {
		case name != "" && !slices.Contains(knownColumns, name):
			p.add(line, name, field, "remove the column or use one of: "+strings.Join(knownColumns, ", "))
		case name != "" && seen[name]:
			p.add(line, name, field, "name each column once")
		}
		seen[name] = true
		p.columns = append(p.columns, name)
	}
	for _, required := range []string{columnKind, columnAccount} {
		if !seen[required] {
			p.add(line, required, "", "add this column to the header row")
		}
	}
	return len(p.problems) == 0
}

func (p *parser) add(line int, column, value, remedy string) {
	p.problems = append(p.problems, Problem{Line: line, Column: column, Value: value, Remedy: remedy})
}

func (p *parser) row(fields []string, line int) {
	row := &row{parser: p, line: line, values: make(map[string]string, len(fields))}
	for i, field := range fields {
		if i < len(p.columns) {
			row.values[p.columns[i]] = clean(field)
			continue
		}
		if clean(field) != "" {
			p.add(line, fmt.Sprintf("%d", i+1), field, "the header names fewer columns: quote fields that hold a separator")
		}
	}
	row.read()
}

// row is one line of the sheet by column name.
type row struct {
	parser *parser
	line   int
	values map[string]string
}

func (r *row) read() {
	p := r.parser
	switch strings.ToLower(r.values[columnKind]) {
	case "account":
		p.lines.accounts = append(p.lines.accounts, r.line)
		p.sheet.Accounts = append(p.sheet.Accounts, &apiv1.ClientAccount{
			Name:     r.text(columnAccount),
			Priority: r.number(columnPriority, 0),
			Weight:   r.number(columnWeight, 1),
		})
	case "team":
		p.lines.teams = append(p.lines.teams, r.line)
		p.sheet.Teams = append(p.sheet.Teams, &apiv1.Team{
			Account: r.text(columnAccount),
			Name:    r.text(columnTeam),
			Quota:   r.number(columnQuota, 0),
		})
	case "guarantee":
		p.lines.guarantees = append(p.lines.guarantees, r.line)
		p.sheet.Guarantees = append(p.sheet.Guarantees, &apiv1.Guarantee{
			Account:    r.text(columnAccount),
			DataCentre: r.values[columnDataCentre],
			Shape: &apiv1.Shape{
				Members:      r.number(columnMembers, 1),
				Accelerators: r.number(columnAccelerators, 0),
				Adjacency:    r.adjacency(),
			},
			Count: r.number(columnCount, 1),
			Spare: r.yes(columnSpare),
		})
	default:
		p.add(r.line, columnKind, r.values[columnKind], "write account, team or guarantee")
	}
}

func (r *row) text(column string) string {
	value := r.values[column]
	if value == "" {
		r.parser.add(r.line, column, value, "fill it in")
	}
	return value
}

func (r *row) number(column string, preset uint32) uint32 {
	value := r.values[column]
	if value == "" {
		return preset
	}
	number, err := strconv.ParseUint(withoutThousands(value), 10, 32)
	if err != nil {
		r.parser.add(r.line, column, value, "write a whole number, not below 0")
		return preset
	}
	return uint32(number)
}

func (r *row) yes(column string) bool {
	switch strings.ToLower(r.values[column]) {
	case "", "no", "false", "0":
		return false
	case "yes", "true", "1":
		return true
	}
	r.parser.add(r.line, column, r.values[column], "write yes or no")
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
	r.parser.add(r.line, columnAdjacency, r.values[columnAdjacency], "write worker, rack or data_centre")
	return apiv1.Adjacency_ADJACENCY_DATA_CENTRE
}

// withoutThousands removes separators that stand between groups of three digits.
func withoutThousands(value string) string {
	for _, mark := range []string{",", ".", "'", "’", " ", "\u00a0", "\u202f"} {
		groups := strings.Split(value, mark)
		if len(groups) > 1 && grouped(groups) {
			return strings.Join(groups, "")
		}
	}
	return value
}

func grouped(groups []string) bool {
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

func clean(field string) string {
	return norm.NFC.String(strings.TrimSpace(field))
}

func blank(fields []string) bool {
	for _, field := range fields {
		if clean(field) != "" {
			return false
		}
	}
	return true
}
