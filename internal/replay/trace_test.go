package replay_test

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

const (
	validHeader = `{"header":{"format":1,"workers":[{"name":"w1","dataCentre":"d","rack":"r",` +
		`"accelerators":8,"speedPermille":1000}]}}`
	validJob = `{"timeUnixMs":"5","submitted":{"id":"j1","runMs":"10","spec":{"account":"a","workClass":"WORK_CLASS_URGENT",` +
		`"dataCentre":"d","shape":{"members":1,"accelerators":2,"adjacency":"ADJACENCY_WORKER"}}}}`
)

func TestReadReportsInvalidLine(t *testing.T) {
	cases := []struct {
		name  string
		lines []string
		line  int
		want  string
	}{
		{"not JSON", []string{validHeader, "{"}, 2, "one TraceLine message"},
		{"unknown field", []string{validHeader, `{"submited":{}}`}, 2, "one TraceLine message"},
		{"no header", []string{validJob}, 1, "header on the first line"},
		{"second header", []string{validHeader, "", validHeader}, 3, "first line only"},
		{"other format", []string{`{"header":{"format":2}}`}, 1, "write format 1"},
		{"no workers", []string{`{"header":{"format":1}}`}, 1, "list the workers"},
		{"worker twice", []string{strings.Replace(validHeader, `"workers":[`, `"workers":[`+
			`{"name":"w1","dataCentre":"d","rack":"r","speedPermille":1},`, 1)}, 1, "its own name"},
		{"no speed", []string{strings.Replace(validHeader, "1000", "0", 1)}, 1, "set speedPermille"},
		{"time goes back", []string{validHeader, validJob, strings.Replace(strings.Replace(
			validJob, "j1", "j2", 1), `"5"`, `"4"`, 1)}, 3, "sort the lines"},
		{"job twice", []string{validHeader, validJob, validJob}, 3, "its own id"},
		{"no run time", []string{validHeader, strings.Replace(validJob, `"10"`, `"0"`, 1)}, 2, "set runMs"},
		{"no account", []string{validHeader, strings.Replace(validJob, `"account":"a",`, "", 1)}, 2, "set spec.account"},
		{"three accelerators", []string{validHeader, strings.Replace(
			validJob, `"accelerators":2`, `"accelerators":3`, 1)}, 2, "power of two"},
		{"65 members", []string{validHeader, strings.Replace(validJob, `"members":1`, `"members":65`, 1)}, 2, "give 1 to 64"},
		{"no adjacency", []string{validHeader, strings.Replace(validJob, `,"adjacency":"ADJACENCY_WORKER"`, "", 1)}, 2, "adjacency"},
		{"no class", []string{validHeader, strings.Replace(
			validJob, `"workClass":"WORK_CLASS_URGENT",`, "", 1)}, 2, "set spec.workClass"},
		{"cancel of unknown job", []string{validHeader, `{"cancelled":{"id":"j9"}}`}, 2, "before cancelling"},
		{"unknown worker", []string{validHeader, `{"worker":{"worker":"w9"}}`}, 2, "list it in the header"},
		{"no condition", []string{validHeader, `{"worker":{"worker":"w1"}}`}, 2, "set condition"},
		{"unknown rack", []string{validHeader, `{"rack":{"rack":"r9"}}`}, 2, "name the rack"},
		{"no event", []string{validHeader, `{"timeUnixMs":"1"}`}, 2, "set one of"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := replay.Read(strings.NewReader(strings.Join(tc.lines, "\n")))
			var lineError *replay.LineError
			if !errors.As(err, &lineError) {
				t.Fatalf("error %v, want a *LineError", err)
			}
			if lineError.Line != tc.line || !strings.Contains(lineError.Error(), tc.want) {
				t.Errorf("error %q, want line %d and %q", lineError, tc.line, tc.want)
			}
		})
	}
}

func TestReadReportsAllInvalidLines(t *testing.T) {
	_, err := replay.Read(strings.NewReader(validHeader + "\n{\n" + validJob + "\n{}\n"))
	for _, want := range []string{"line 2", "line 4"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want it to report %s", err, want)
		}
	}
	if _, err := replay.Read(strings.NewReader("\n")); !errors.Is(err, replay.ErrEmptyTrace) {
		t.Errorf("error %v, want ErrEmptyTrace", err)
	}
}

func TestWriteThenRead(t *testing.T) {
	trace := newBuilder(2).guarantee("members", 1, 8, 1).job(0, "a", 1, 8, minute).job(5, "b", 2, 4, minute, urgent).trace
	var text bytes.Buffer
	if err := replay.Write(&text, trace); err != nil {
		t.Fatal(err)
	}
	read, err := replay.Read(&text)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(read.Header, trace.Header) || len(read.Events) != 2 || !proto.Equal(read.Events[1], trace.Events[1]) {
		t.Errorf("read %v, wrote %v", read, trace)
	}
}

func TestRunRejectsInvalidInput(t *testing.T) {
	var jobError *replay.JobError
	_, err := replay.Run(newBuilder(2).job(0, "a", 3, 8, minute).trace, nil, replay.Options{Candidates: replay.Baselines()})
	if !errors.As(err, &jobError) {
		t.Errorf("error %v, want a *JobError", err)
	}
	var guaranteeError *replay.GuaranteeError
	_, err = replay.Run(newBuilder(2).guarantee("members", 1, 8, 3).trace, nil, replay.Options{Candidates: replay.Baselines()})
	if !errors.As(err, &guaranteeError) {
		t.Errorf("error %v, want a *GuaranteeError", err)
	}
	sheet := &apiv1.TraceSheet{Sheet: newBuilder(2).guarantee("members", 1, 8, 3).trace.Header.Sheet}
	withLaterSheet := newBuilder(2).add(5, &apiv1.TraceLine{Event: &apiv1.TraceLine_Sheet{Sheet: sheet}})
	_, err = replay.Run(withLaterSheet.trace, nil, replay.Options{Candidates: replay.Baselines()})
	if !errors.As(err, &guaranteeError) {
		t.Errorf("error %v with a later sheet, want a *GuaranteeError", err)
	}
	if _, err = replay.Run(withLaterSheet.trace, nil, replay.Options{}); !errors.Is(err, replay.ErrNoPlanners) {
		t.Errorf("error %v, want ErrNoPlanners", err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(validHeader + "\n" + validJob + "\n")
	f.Add(validHeader + "\n" + `{"cancelled":{"id":"j9"}}` + "\n{}\n")
	f.Add(`{"timeUnixMs":"1","rack":{"dataCentre":"d","rack":"r","condition":"TRACE_CONDITION_LOST"}}`)
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := replay.Read(strings.NewReader(text))
		if err != nil {
			return
		}
		var written bytes.Buffer
		if err := replay.Write(&written, trace); err != nil {
			t.Fatal(err)
		}
		read, err := replay.Read(&written)
		if err != nil || len(read.Events) != len(trace.Events) {
			t.Fatalf("reading the written trace: error %v, or a different number of events", err)
		}
	})
}
