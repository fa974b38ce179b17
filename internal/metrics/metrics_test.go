package metrics_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/metrics"
)

func TestStagesShowQuantiles(t *testing.T) {
	var stages metrics.Stages
	for i := range 100 {
		stages.Start.Observe(time.Duration(i+1) * time.Millisecond)
	}
	stages.End.Observe(time.Hour)
	stages.End.Observe(-time.Second)
	var page map[string]map[string]float64
	if err := json.Unmarshal([]byte(stages.String()), &page); err != nil {
		t.Fatal(err)
	}
	start := page["start"]
	if start["count"] != 100 || start["p50_ms"] < 49 || start["p50_ms"] > 51 || start["p99_ms"] < 98 || start["p99_ms"] > 101 {
		t.Errorf("start %v, want 100 values with a median of about 50 ms and a 99th percentile of about 99 ms", start)
	}
	if end := page["end"]; end["count"] != 2 || end["max_ms"] < 590_000 {
		t.Errorf("end %v, want 2 values and a maximum of 10 minutes", end)
	}
	if plan := page["plan"]; plan["count"] != 0 {
		t.Errorf("plan %v, want no values", plan)
	}
}
