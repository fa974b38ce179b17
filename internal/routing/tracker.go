package routing

import (
	"context"
	"sync"
)

// maxPendingRecords bounds the releases and ends that wait for the log.
const maxPendingRecords = 10_000

// tracker counts what a drain waits for.
type tracker struct {
	mu       sync.Mutex
	inFlight int
	records  int
	draining bool
	// idle is closed when nothing is left; nil while nobody waits.
	idle chan struct{}
}

func newTracker() *tracker { return &tracker{} }

// begin notes a request; false means that the instance drains.
func (t *tracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return false
	}
	t.inFlight++
	return true
}

// beginMore notes further work for a request that has begun; false means that nothing is left to belong to.
func (t *tracker) beginMore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == 0 {
		return false
	}
	t.inFlight++
	return true
}

// end notes the end of what begin or beginMore noted.
func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.checkIdle()
}

// beginRecord notes a record on its way to the log; false means that too many wait.
func (t *tracker) beginRecord() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records >= maxPendingRecords {
		return false
	}
	t.records++
	return true
}

// endRecord notes the end of what beginRecord noted.
func (t *tracker) endRecord() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records--
	t.checkIdle()
}

func (t *tracker) checkIdle() {
	if t.idle != nil && t.inFlight == 0 && t.records == 0 {
		close(t.idle)
		t.idle = nil
	}
}

// drain refuses what begins from now on.
func (t *tracker) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
}

// wait returns true when nothing is left, false at the end of ctx.
func (t *tracker) wait(ctx context.Context) bool {
	t.mu.Lock()
	if t.inFlight == 0 && t.records == 0 {
		t.mu.Unlock()
		return true
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return true
	case <-ctx.Done():
		return false
	}
}

// counts returns the requests in flight and the records on their way.
func (t *tracker) counts() (inFlight, records int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight, t.records
}
