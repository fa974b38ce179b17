package replay_test

import (
	"encoding/json"
	"testing"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
	"github.com/dotterelgauge/dotterelgauge/internal/replay"
	"github.com/dotterelgauge/dotterelgauge/internal/replay/tracegen"
)

// TestSameResult shows that the same trace and seed give the same result, byte for byte.
func TestSameResult(t *testing.T) {
	for _, name := range tracegen.Names() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var results []string
			for range 2 {
				trace, err := tracegen.Make(name, 11)
				if err != nil {
					t.Fatal(err)
				}
				candidates := []replay.Candidate{preset(policy.PresetLounge), preset(policy.PresetGallery)}
				result, err := replay.Run(trace, nil, replay.Options{Policies: candidates})
				if err != nil {
					t.Fatal(err)
				}
				encoded, err := json.Marshal(result)
				if err != nil {
					t.Fatal(err)
				}
				results = append(results, string(encoded))
			}
			if results[0] != results[1] {
				t.Error("two replays of one trace differ")
			}
		})
	}
}
