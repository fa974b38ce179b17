// Package events defines the catalogue of numbered log events and the logger that writes them.
//
// Every line that an instance logs is one event of the catalogue. Attributes never contain a caller's payload or token. A
// test compares docs/EVENTS.md with the catalogue.
package events

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"
)

// Event is one kind of log line.
type Event struct {
	// Number is unique and is never reused for another meaning.
	Number int
	Level  log.Level
	// Message is the text of the line.
	Message string
	// Action is what an operator should do about the event.
	Action string
}

// Logger writes events as log lines.
type Logger struct {
	out *log.Logger
}

// New returns a logger that writes logfmt lines for the instance to out.
func New(out io.Writer, instance string) *Logger {
	logger := log.NewWithOptions(out, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
		Level:           log.InfoLevel,
	})
	return &Logger{out: logger.With("instance", instance)}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, "")
}

// Log writes one event with alternating attribute names and values.
func (l *Logger) Log(event Event, attributes ...any) {
	all := append([]any{"event", event.Number}, attributes...)
	l.out.Log(event.Level, event.Message, all...)
}

// Document returns the catalogue as a Markdown page.
func Document() string {
	var page strings.Builder
	page.WriteString("# Events\n\nEvery log line contains the number of its event in the attribute `event`. ")
	page.WriteString("A number never changes its meaning. Update this page with `make events`.\n\n")
	page.WriteString("| event | level | message | operator action |\n| --- | --- | --- | --- |\n")
	for _, event := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", event.Number, event.Level, event.Message, event.Action)
	}
	return page.String()
}
