// Package tracegen makes the traces of testdata/traces from seeds: a lounge day, a gallery day and
// the size of two years from now. The same seed gives the same trace.
package tracegen

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/replay"
)

// Seeds of the committed traces.
const (
	LoungeSeed  = 20260303
	GallerySeed = 20260304
	TwoYearSeed = 20280303
)

// ErrUnknownTrace means that no trace of that name can be made.
var ErrUnknownTrace = errors.New("no trace of that name: choose one of " + strings.Join(Names(), ", "))

// Names lists the traces that Make makes.
func Names() []string { return []string{"lounge-day", "gallery-day", "two-year"} }

// Generate makes the trace of that name. Errors wrap ErrUnknownTrace.
func Generate(name string, seed uint64) (*replay.Trace, error) {
	switch name {
	case "lounge-day":
		return Lounge(seed), nil
	case "gallery-day":
		return Gallery(seed), nil
	case "two-year":
		return TwoYear(seed), nil
	default:
		return nil, errors.Wrap(ErrUnknownTrace, fmt.Sprintf("%q", name))
	}
}
