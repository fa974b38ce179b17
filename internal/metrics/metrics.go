// Package metrics holds the latency histograms of an instance's metrics page: one for each stage from a caller's call to
// the end of its job.
package metrics

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest bounds what a histogram tells apart; what takes longer counts as that long.
	longest = 10 * time.Minute
	// digits are the significant digits that it keeps.
	digits = 2
)

// Latency is a histogram of times. It is safe for use by several goroutines.
type Latency struct {
	mu   sync.Mutex
	seen *hdrhistogram.Histogram
}

// Observe adds a time.
func (l *Latency) Observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = hdrhistogram.New(1, longest.Microseconds(), digits)
	}
	_ = l.seen.RecordValue(min(max(1, took.Microseconds()), longest.Microseconds())) // never out of range
}

// summary is what the page shows of a histogram, in milliseconds.
type summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (l *Latency) summary() summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		return summary{}
	}
	at := func(quantile float64) float64 {
		return float64(l.seen.ValueAtQuantile(quantile)) / float64(time.Millisecond/time.Microsecond)
	}
	return summary{Count: l.seen.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: at(100)}
}

// Stages are the histograms of an instance. It is an expvar.Var.
type Stages struct {
	// Answer is from a caller's call to its answer.
	Answer Latency
	// Record is from an owner's record to the store's acknowledgement.
	Record Latency
	// Plan is the time of one decision.
	Plan Latency
	// Start is from when a job, or an occurrence, is due to its first run at work.
	Start Latency
	// End is from a job's acceptance to its completion.
	End Latency
}

// String returns the summaries as JSON.
func (s *Stages) String() string {
	page, err := json.Marshal(map[string]summary{
		"answer": s.Answer.summary(), "record": s.Record.summary(), "plan": s.Plan.summary(), "start": s.Start.summary(), "end": s.End.summary(),
	})
	if err != nil {
		return `{"error":"` + err.Error() + `"}`
	}
	return string(page)
}
