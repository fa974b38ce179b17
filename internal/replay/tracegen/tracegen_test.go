package tracegen_test

import (
	"bytes"
	"compress/gzip"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/replay"
	"github.com/dotterelgauge/dotterelgauge/internal/replay/tracegen"
)

var update = flag.Bool("update", false, "regenerate the files in testdata/traces")

var seeds = map[string]uint64{
	"lounge-day":  tracegen.LoungeSeed,
	"gallery-day": tracegen.GallerySeed,
	"two-year":    tracegen.TwoYearSeed,
	"contended":   tracegen.ContendedSeed,
}

func path(name string) string {
	return filepath.Join("..", "..", "..", "testdata", "traces", name+".jsonl.gz")
}

// TestCommittedTraces checks that the committed files hold the traces that their seeds generate.
func TestCommittedTraces(t *testing.T) {
	for _, name := range tracegen.AllNames() {
		t.Run(name, func(t *testing.T) {
			generated, err := tracegen.Generate(name, seeds[name])
			if err != nil {
				t.Fatal(err)
			}
			if *update {
				writeFile(t, path(name), generated)
			}
			committed, err := replay.ReadFile(path(name))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encode(t, generated), encode(t, committed)) {
				t.Errorf("seed %d generates another trace than the file: run go test with -update and say why in the commit", seeds[name])
			}
		})
	}
}

func encode(t *testing.T, trace *replay.Trace) []byte {
	t.Helper()
	var buffer bytes.Buffer
	if err := replay.Write(&buffer, trace); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func writeFile(t *testing.T, name string, trace *replay.Trace) {
	t.Helper()
	var buffer bytes.Buffer
	compressed, err := gzip.NewWriterLevel(&buffer, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := compressed.Write(encode(t, trace)); err != nil {
		t.Fatal(err)
	}
	if err := compressed.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, buffer.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	fmt.Printf("%s: %d lines, %d bytes\n", name, len(trace.Events)+1, buffer.Len())
}
