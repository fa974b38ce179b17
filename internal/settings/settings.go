// Package settings reads the TOML settings of an instance into the generated settings message.
//
// All problems of a file are reported together, each with its key and remedy; a file with a problem
// is never used in part.
package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// Problem is one thing wrong in a settings file.
type Problem struct {
	// Key is the dotted path of the setting.
	Key    string
	Reason string
	Remedy string
}

// Error lists every problem of a settings file.
type Error struct {
	File     string
	Problems []Problem
}

// Error gives one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s: %s: %s", e.File, problem.Key, problem.Reason, problem.Remedy))
	}
	return strings.Join(lines, "\n")
}

// Load reads, defaults and checks the settings file. The error is an *Error unless the file cannot be read.
func Load(file string) (*apiv1.Settings, error) {
	data, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.Wrap(err, "read settings: give the path of a TOML file with --settings")
	}
	return Parse(file, data)
}

// Parse is Load for data that is in memory; file is named in errors.
func Parse(file string, data []byte) (*apiv1.Settings, error) {
	var table map[string]any
	if err := toml.Unmarshal(data, &table); err != nil {
		problem := Problem{Key: "(file)", Reason: err.Error(), Remedy: "correct the TOML syntax"}
		var decodeError *toml.DecodeError
		if errors.As(err, &decodeError) {
			row, column := decodeError.Position()
			problem.Key = fmt.Sprintf("line %d, column %d", row, column)
		}
		return nil, &Error{File: file, Problems: []Problem{problem}}
	}
	settings := &apiv1.Settings{}
	problems := decodeTable(table, settings.ProtoReflect(), "")
	applyDefaults(settings)
	problems = append(problems, missing(settings, problems)...)
	if len(problems) > 0 {
		return nil, &Error{File: file, Problems: problems}
	}
	return settings, nil
}

// missing checks the decoded settings, leaving out keys that have a problem already.
func missing(settings *apiv1.Settings, known []Problem) []Problem {
	reported := make(map[string]bool, len(known))
	for _, problem := range known {
		reported[problem.Key] = true
	}
	var fresh []Problem
	for _, problem := range check(settings) {
		if !reported[problem.Key] {
			fresh = append(fresh, problem)
		}
	}
	return fresh
}

func fieldNames(fields protoreflect.FieldDescriptors) string {
	names := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		names = append(names, string(fields.Get(i).Name()))
	}
	return strings.Join(names, ", ")
}

func unitOf(field protoreflect.FieldDescriptor) string {
	name := string(field.Name())
	switch {
	case strings.HasSuffix(name, "_ms"):
		return "milliseconds"
	case strings.HasSuffix(name, "_bytes"):
		return "bytes"
	case strings.HasSuffix(name, "_percent"):
		return "percent"
	default:
		return "it"
	}
}
