package expect_test

import (
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/expect"
)

// BenchmarkUpdate measures what an owner's plan costs more with 300 open jobs, each with a run in progress.
func BenchmarkUpdate(b *testing.B) {
	model := trained()
	var open []*expect.Occurrence
	for range 300 {
		open = append(open, model.Occurrence(job(39, 2*time.Second)))
	}
	for b.Loop() {
		for _, o := range open {
			o.Reset()
			o.Add(0, expect.Run{Elapsed: 9 * time.Second, Speed: 1})
		}
		model.Update(open)
	}
}

// BenchmarkFinish measures what a finished task of a job with one task costs.
func BenchmarkFinish(b *testing.B) {
	model := trained()
	for b.Loop() {
		model.Occurrence(job(1, 2*time.Second)).Finish(0, 9*time.Second, now)
	}
}
