package events

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"
)

const page = "../../docs/EVENTS.md"

var update = flag.Bool("update", false, "write docs/EVENTS.md")

func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(Document()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != Document() {
		t.Error("docs/EVENTS.md differs from the catalogue: run make events")
	}
}

func TestNumbersAreAscending(t *testing.T) {
	last := 0
	for _, event := range Catalogue() {
		if event.Number <= last {
			t.Errorf("event %d follows event %d, want ascending numbers", event.Number, last)
		}
		last = event.Number
	}
}

func TestLogWritesNumberAndAttributes(t *testing.T) {
	var out bytes.Buffer
	New(&out, "i1").Log(OwnershipAcquired, "epoch", 2)
	for _, want := range []string{"event=303", "instance=i1", "epoch=2", "ownership acquired"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("line %q does not contain %q", out.String(), want)
		}
	}
}
