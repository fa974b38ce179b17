package worker

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/platform"
)

// Faults are what a test can switch on; all of them may hold together. The JSON keys are those of POST /faults.
type Faults struct {
	// FailStarts makes every task and request fail to start.
	FailStarts bool `json:"fail_starts"`
	// Refuse refuses new requests and reservations as if the worker were full.
	Refuse bool `json:"refuse"`
	// Leave refuses new requests and reservations because the worker is leaving; what runs goes on.
	Leave bool `json:"leave"`
	// Freeze accepts calls and never answers them; what runs goes on until its lease lapses.
	Freeze bool `json:"freeze"`
	// SlowMillis delays every call.
	SlowMillis int64 `json:"slow_ms"`
	// DamageAnswers flips a byte of every answer of a request.
	DamageAnswers bool `json:"damage_answers"`
	// ShortAnswers cuts the second half of every answer of a request.
	ShortAnswers bool `json:"short_answers"`
	// ForeignAnswers puts another request's id on every answer of a request.
	ForeignAnswers bool `json:"foreign_answers"`
	// LoseAnswers carries out every call but loses the answer.
	LoseAnswers bool `json:"lose_answers"`
	// SlowCheckpointMillis is how long a checkpoint takes.
	SlowCheckpointMillis int64 `json:"slow_checkpoint_ms"`
	// FailTasks makes every running task fail at once.
	FailTasks bool `json:"fail_tasks"`
	// Dead ends everything that runs and refuses connections.
	Dead bool `json:"dead"`
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.settle(now)
	w.faults = faults
	close(w.changed)
	w.changed = make(chan struct{})
	if faults.Dead {
		w.endAll(now, CauseDied)
		w.epochs = map[string]uint64{}
		w.history.noteEpoch(0)
	}
	if faults.FailTasks {
		w.failAll(now)
	}
}

// Faults returns the faults in force.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// admit waits as the faults ask before a call is looked at, and returns the faults that hold then.
// The wait goes on when the caller has given up: a late call takes effect as in a real back end.
func (w *Worker) admit() (Faults, error) {
	delayed := false
	for {
		w.mu.Lock()
		faults, changed := w.faults, w.changed
		w.mu.Unlock()
		switch {
		case faults.Dead:
			return faults, platform.ErrUnavailable
		case faults.Freeze:
			<-changed
		case faults.SlowMillis > 0 && !delayed:
			time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
			delayed = true
		default:
			return faults, nil
		}
	}
}
