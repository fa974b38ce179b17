// Package metrics provides the latency histograms of an instance's metrics page, one for each stage between a caller's
// request and the end of its job.
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the maximum value of a histogram; longer times are recorded as this value.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 2
)

// Latency is a histogram of durations in microseconds. It is safe for concurrent use.
type Latency struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Observe records a duration; one below a microsecond counts as a microsecond.
func (l *Latency) Observe(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histogram == nil {
		l.histogram = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	// RecordValue can't fail, because the value is within the histogram's range.
	_ = l.histogram.RecordValue(min(max(1, duration.Microseconds()), maxLatency.Microseconds()))
}

// summary is the form in which the metrics page shows a histogram. Latencies are in milliseconds.
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
	if l.histogram == nil {
		return summary{}
	}
	millisecondsAt := func(percentile float64) float64 {
		return float64(l.histogram.ValueAtQuantile(percentile)) / float64(time.Millisecond/time.Microsecond)
	}
	return summary{
		Count: l.histogram.TotalCount(),
		P50:   millisecondsAt(50), P95: millisecondsAt(95), P99: millisecondsAt(99), Max: millisecondsAt(100),
	}
}

// Stages holds the histograms of an instance. It is an expvar.Var.
type Stages struct {
	// Answer is the time from a caller's call to its answer.
	Answer Latency
	// Record is the time from the submission of an owner's record to the store's acknowledgement.
	Record Latency
	// Plan is the time that the computation of one plan takes.
	Plan Latency
	// Start is the time from when a job, or an occurrence of it, is due until all members of its first run are running.
	Start Latency
	// End is the time from a job's acceptance to its completion.
	End Latency
	// Shares are those of the accounts; they have a page of their own.
	Shares Shares
	// LostToPreemption is the work that preemptions have lost, in core-seconds. It has a metric of its own.
	LostToPreemption expvar.Float
}

// String returns the summaries as a JSON object with the stages' names as keys.
func (s *Stages) String() string {
	page, err := json.Marshal(map[string]summary{
		"answer": s.Answer.summary(), "record": s.Record.summary(), "plan": s.Plan.summary(), "start": s.Start.summary(),
		"end": s.End.summary(),
	})
	if err != nil {
		return `{"error":"` + err.Error() + `"}`
	}
	return string(page)
}
