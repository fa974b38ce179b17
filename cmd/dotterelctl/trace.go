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

// maxLogLineBytes bounds a line of a log, bytes.
const maxLogLineBytes = 1 << 20

// traceCommand tells a job's story.
type traceCommand struct {
	ID    string   `arg:"" help:"Job id."`
	Files []string `arg:"" help:"Logs of instances." type:"existingfile"`
}

// logLine is a line of a log with its time.
type logLine struct {
	at   time.Time
	text string
}

// timePattern finds the time of a line, wherever what collects the logs has put it.
var timePattern = regexp.MustCompile(`time=(\S+) `)

// Run prints the lines that name the job in the order of their times.
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
		return errors.Errorf("no log names job %s: give the logs of all instances of that time", c.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	first := lines[0].at
	for _, line := range lines {
		fmt.Printf("%9.3f s  %s\n", line.at.Sub(first).Seconds(), line.text)
	}
	return nil
}

// readJobLines returns the lines of a log that name a job.
func readJobLines(name, id string) ([]logLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open a log")
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
			return nil, errors.Wrapf(err, "%s: a line's time can't be read", name)
		}
		lines = append(lines, logLine{at, text[found[1]:]})
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return lines, nil
}
