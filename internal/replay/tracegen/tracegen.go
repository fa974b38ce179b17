// Package tracegen generates the traces in testdata/traces from seeds: a day of the lounge service, a day of the galleries,
// a day at the size expected in two years, and three minutes in which callers compete and declare run times that say little. The same seed gives the same trace.
package tracegen

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// Seeds of the committed traces.
const (
	LoungeSeed    = 20260303
	GallerySeed   = 20260304
	TwoYearSeed   = 20280303
	ContendedSeed = 20261206
)

// ErrUnknownTrace means that there is no trace of the requested name.
var ErrUnknownTrace = errors.New("no trace of that name: choose one of " + strings.Join(AllNames(), ", "))

// Names returns the names of the traces of whole days, for which docs/TRACES.md states outcomes.
func Names() []string { return []string{"lounge-day", "gallery-day", "two-year"} }

// AllNames returns the names of the traces that Generate knows.
func AllNames() []string { return append(Names(), "contended") }

// Generate returns the trace of the given name, generated from the seed. Errors wrap ErrUnknownTrace.
func Generate(name string, seed uint64) (*replay.Trace, error) {
	switch name {
	case "lounge-day":
		return LoungeDay(seed), nil
	case "gallery-day":
		return GalleryDay(seed), nil
	case "two-year":
		return TwoYear(seed), nil
	case "contended":
		return Contended(seed), nil
	default:
		return nil, errors.Wrap(ErrUnknownTrace, fmt.Sprintf("%q", name))
	}
}
