package replay

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

const (
	// TraceFormat is the version of the trace format that this package reads and writes.
	TraceFormat = 1
	// MaxLineBytes is the maximum size of a line of a trace; a header with 10,000 workers fits.
	MaxLineBytes = 8 << 20
)

// ErrEmptyTrace means that a trace has no header line.
var ErrEmptyTrace = errors.New("the trace is empty: its first line must contain the header")

// LineError describes a line of a trace that cannot be decoded or is invalid.
type LineError struct {
	// Line is the number of the line, from 1.
	Line   int
	Reason string
	Remedy string
}

// Error returns the line number, the reason and the remedy.
func (e *LineError) Error() string {
	return fmt.Sprintf("trace line %d: %s: %s", e.Line, e.Reason, e.Remedy)
}

// Trace is a recorded sequence of events, ordered by time.
type Trace struct {
	Header *apiv1.TraceHeader
	// Events doesn't include the header line.
	Events []*apiv1.TraceLine
}

// ReadFile reads a trace file and decompresses it if its name ends in .gz. Errors are those of Read, or of opening or
// decompressing the file.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open the trace file")
	}
	defer func() { _ = file.Close() }()
	trace, err := readDecompressed(path, file)
	if err != nil {
		return nil, errors.Wrap(err, filepath.Base(path))
	}
	return trace, nil
}

func readDecompressed(path string, file io.Reader) (*Trace, error) {
	if !strings.HasSuffix(path, ".gz") {
		return Read(file)
	}
	decompressed, err := gzip.NewReader(file)
	if err != nil {
		return nil, errors.Wrap(err, "decompress the trace: compress the file with gzip or remove the suffix .gz")
	}
	return Read(decompressed)
}

// Read reads a trace: one line of JSON for the header, then one for each event. It returns the errors of all invalid lines,
// at most maxLineErrors, joined; each is a *LineError. Other errors are ErrEmptyTrace and those of the reader.
func Read(reader io.Reader) (*Trace, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), MaxLineBytes)
	decoder := lineDecoder{}
	for scanner.Scan() {
		decoder.decode(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrapf(err, "read the trace after line %d", decoder.lineNumber)
	}
	if len(decoder.errs) > 0 {
		return nil, errors.Join(decoder.errs...)
	}
	if decoder.trace.Header == nil {
		return nil, ErrEmptyTrace
	}
	return &decoder.trace, nil
}

// maxLineErrors is the maximum number of invalid lines that Read reports.
const maxLineErrors = 50

type lineDecoder struct {
	lineNumber int
	lastMillis int64
	trace      Trace
	checker    lineChecker
	errs       []error
}

func (d *lineDecoder) decode(text []byte) {
	d.lineNumber++
	if len(bytes.TrimSpace(text)) == 0 || len(d.errs) >= maxLineErrors {
		return
	}
	line := &apiv1.TraceLine{}
	if err := protojson.Unmarshal(text, line); err != nil {
		d.fail(lineFault{err.Error(), "write one TraceLine message as protobuf JSON"})
		return
	}
	if header := line.GetHeader(); header != nil {
		d.decodeHeader(header)
		return
	}
	if d.trace.Header == nil {
		d.fail(lineFault{"an event precedes the header", "put the header on the first line"})
		return
	}
	if line.GetTimeUnixMs() < d.lastMillis {
		d.fail(lineFault{
			fmt.Sprintf("time %d is before %d, the time of the previous event", line.GetTimeUnixMs(), d.lastMillis),
			"sort the lines by timeUnixMs",
		})
		return
	}
	d.lastMillis = line.GetTimeUnixMs()
	if fault := d.checker.checkEvent(line); fault != nil {
		d.fail(*fault)
		return
	}
	d.trace.Events = append(d.trace.Events, line)
}

func (d *lineDecoder) decodeHeader(header *apiv1.TraceHeader) {
	if d.trace.Header != nil {
		d.fail(lineFault{"a second header", "keep the header of the first line only"})
		return
	}
	d.trace.Header = header
	if fault := d.checker.checkHeader(header); fault != nil {
		d.fail(*fault)
	}
}

func (d *lineDecoder) fail(fault lineFault) {
	d.errs = append(d.errs, &LineError{Line: d.lineNumber, Reason: fault.reason, Remedy: fault.remedy})
}

// Write writes a trace: one line of JSON for the header, then one for each event.
func Write(writer io.Writer, trace *Trace) error {
	buffered := bufio.NewWriter(writer)
	header := &apiv1.TraceLine{Event: &apiv1.TraceLine_Header{Header: trace.Header}}
	if err := writeLine(buffered, header); err != nil {
		return err
	}
	for _, line := range trace.Events {
		if err := writeLine(buffered, line); err != nil {
			return err
		}
	}
	if err := buffered.Flush(); err != nil {
		return errors.Wrap(err, "write the trace")
	}
	return nil
}

func writeLine(writer *bufio.Writer, line *apiv1.TraceLine) error {
	text, err := protojson.Marshal(line)
	if err != nil {
		return errors.Wrap(err, "encode a trace line")
	}
	// protojson inserts random spaces; json.Compact removes them so that the same trace gives the same bytes.
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		return errors.Wrap(err, "encode a trace line")
	}
	compact.WriteByte('\n')
	if _, err := writer.Write(compact.Bytes()); err != nil {
		return errors.Wrap(err, "write a trace line")
	}
	return nil
}
