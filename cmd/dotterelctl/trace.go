package main

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// traceCommand prints the log lines of a job from several instances.
type traceCommand struct {
	ID    string   `arg:"" help:"Job id."`
	Files []string `arg:"" help:"Log files of instances." type:"existingfile"`
}

// logLine is a log line with its time. The text starts after the time.
type logLine struct {
	at   time.Time
	text string
}

// timePattern matches the time in a log line. A log collector may have put a prefix in front of it.
var timePattern = regexp.MustCompile(`time=(\S+) `)

// Run prints the log lines that contain the job's id in order of time, each with the seconds since the first line.
func (c *traceCommand) Run() error {
	var lines []logLine
	for _, name := range c.Files {
		found, err := readJobLines(name, c.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errors.Errorf("no log line contains job %s: pass the logs of all instances from the time of the job", c.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	first := lines[0].at
	for _, line := range lines {
		fmt.Printf("%9.3f s  %s\n", line.at.Sub(first).Seconds(), line.text)
	}
	return nil
}

// readJobLines returns the lines of a log file that contain a job's id.
func readJobLines(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open the log")
	}
	defer func() { _ = file.Close() }()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		found := timePattern.FindStringSubmatchIndex(text)
		if found == nil || !strings.Contains(text, id) {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, text[found[2]:found[3]])
		if err != nil {
			return nil, errors.Wrapf(err, "%s: invalid time in a log line", name)
		}
		lines = append(lines, logLine{at, text[found[1]:]})
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return lines, nil
}
