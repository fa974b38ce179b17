package learned_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/learned"
)

// trainedHistory returns a history of 60 steps of two accounts that take 4 and 8 times their estimate.
func trainedHistory() *history {
	h := newHistory(1)
	for range 30 {
		h.finish("a", 2, 8*h.normal(0.3))
		h.finish("b", 2, 16*h.normal(0.3))
	}
	return h
}

// Guards against a new owner that predicts something else than the one that recorded, or that starts from the declared estimates.
func TestRecordRestoresPredictions(t *testing.T) {
	h := trainedHistory()
	restored, err := learned.RestoreDurations(h.durations.Record())
	if err != nil {
		t.Fatal(err)
	}
	for _, account := range []string{"a", "b", "unknown"} {
		for _, declared := range []time.Duration{time.Second, 2 * time.Second, time.Minute} {
			before, after := h.durations.Series(work(account)).Predict(declared), restored.Series(work(account)).Predict(declared)
			if before.Median != after.Median || math.Abs(before.Spread-after.Spread) > 0.1 {
				t.Errorf("%s, %v: the prediction %+v is restored as %+v", account, declared, before, after)
			}
		}
	}
	before, after := h.durations.Accuracy()["q"], restored.Accuracy()["q"]
	if before.FinishedRuns != after.FinishedRuns || !after.Learned || math.Abs(before.DeclaredFactor-after.DeclaredFactor) > 0.3 {
		t.Errorf("the accuracy %+v is restored as %+v", before, after)
	}
}

// Guards against a record of another version, or a damaged one, that makes predictions of garbage.
func TestUnknownAndDamagedRecordsAreNotRestored(t *testing.T) {
	for name, damage := range map[string]func(*storev1.Durations){
		"older version": func(r *storev1.Durations) { r.Version = 0 },
		"newer version": func(r *storev1.Durations) { r.Version = 2 },
		"no number":     func(r *storev1.Durations) { r.Queues[0].SumZ = math.NaN() },
		"infinite":      func(r *storev1.Durations) { r.Queues[0].Offsets[0].Sum = math.Inf(-1) },
		"negative":      func(r *storev1.Durations) { r.Queues[0].Weight = -1 },
		"quantiles cut": func(r *storev1.Durations) { r.Queues[0].Residuals.Quantiles = r.Queues[0].Residuals.Quantiles[:3] },
	} {
		record := proto.CloneOf(trainedHistory().durations.Record())
		damage(record)
		if _, err := learned.RestoreDurations(record); err == nil {
			t.Errorf("%s: the record is restored", name)
		}
	}
}

// Guards against a record that exceeds what the store should hold, and against one that leaves out the keys used last.
func TestRecordIsLimitedAndKeepsLatestKeys(t *testing.T) {
	h := newHistory(1)
	for i := range 5000 {
		h.now = h.now.Add(time.Second)
		key := learned.Work{Account: "account-" + fmt.Sprint(i%10), Queue: fmt.Sprint("queue", i%8), Shape: learned.Shape{Image: fmt.Sprint("image-", i)}}
		h.durations.Observe(h.durations.Series(key), learned.StepDuration{
			Declared: time.Second, Predicted: time.Second, Actual: 3 * time.Second, Weight: 1, At: h.now,
		})
		if i%100 == 0 {
			h.durations.Record()
		}
	}
	record := h.durations.Record()
	if size := proto.Size(record); size > 64<<10 {
		t.Errorf("the record has %d bytes, want at most 64 KB", size)
	}
	recorded := map[string]bool{}
	for _, queue := range record.GetQueues() {
		for _, offset := range queue.GetOffsets() {
			recorded[offset.GetImage()] = true
		}
	}
	for i := 4800; i < 5000; i++ {
		if !recorded[fmt.Sprint("image-", i)] {
			t.Errorf("the offset of image %d, among the latest 200 of 5000, is not recorded", i)
			break
		}
	}
}
