package dispatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// Guards against a delay before the second copy that grows with each lost answer, because the latency of the lost copy is added to
// that of the answered one.
func TestHedgeMeasuresTheAnsweredCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency, delay = 8 * time.Millisecond, 80 * time.Millisecond
		var calls atomic.Int64
		answer := hedge(context.Background(), delay, func(ctx context.Context) (int64, error) {
			call := calls.Add(1)
			if call == 1 {
				<-ctx.Done()
				return 0, worker.ErrNoAnswer
			}
			time.Sleep(latency)
			return call, nil
		})
		if answer.err != nil || answer.value != 2 || answer.copies != 2 || answer.took != latency {
			t.Errorf("the answer is %+v, want that of the second copy after %v", answer, latency)
		}
	})
}
