package placing_test

import (
	"fmt"
	"testing"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/ledger"
	"github.com/dotterelgauge/dotterelgauge/internal/placing"
	"github.com/dotterelgauge/dotterelgauge/internal/platform"
	"github.com/dotterelgauge/dotterelgauge/internal/platform/standin/logservice"
	"github.com/dotterelgauge/dotterelgauge/internal/state"
)

// BenchmarkReadJobs measures one read of a data centre's jobs from the ledger of a fleet with seven data centres,
// which the loop makes after a change, at most twenty times a second.
func BenchmarkReadJobs(b *testing.B) {
	const dataCentres = 7
	for _, jobs := range []int{500, 1000, 2000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			folded := state.New()
			replica := ledger.New(ledger.Config{
				Log: logservice.New(logservice.Options{}), Stream: platform.StreamLedger,
				Author: &apiv1.Author{Instance: "a"}, Machine: folded,
			})
			for i := range jobs {
				record := jobRecord(fmt.Sprintf("j%05d", i), ordinary, 8, 8, work)
				record.GetJobSubmitted().GetSpec().DataCentre = fmt.Sprintf("perth-%d", i%dataCentres)
				if err := folded.Apply(ledger.Step{Offset: int64(i)}, record); err != nil {
					b.Fatal(err)
				}
			}
			view := placing.NewStateView(replica, folded)
			b.ReportAllocs()
			for b.Loop() {
				view.Jobs(dataCentre)
			}
		})
	}
}
