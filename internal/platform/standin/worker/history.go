package worker

import (
	"slices"
	"time"
)

// EndCause is why a task stopped running.
type EndCause string

// Causes of the end of a task.
const (
	// CauseFinished means that the work was done.
	CauseFinished EndCause = "finished"
	// CauseStopped means that the owner stopped the task.
	CauseStopped EndCause = "stopped"
	// CauseLapsed means that the lease ran out.
	CauseLapsed EndCause = "lapsed"
	// CauseFailed means that the task failed.
	CauseFailed EndCause = "failed"
	// CauseDied means that the worker died.
	CauseDied EndCause = "died"
)

// RequestRun is one short request that the worker started.
type RequestRun struct {
	RequestID string `json:"request_id"`
	Attempt   uint32 `json:"attempt"`
	Account   string `json:"account"`
	// Checksum is the XXH64 of the payload.
	Checksum uint64    `json:"checksum"`
	Start    time.Time `json:"start"`
}

// TaskRun is one interval in which a task ran. End is zero while it runs.
type TaskRun struct {
	Job    string    `json:"job"`
	Run    uint32    `json:"run"`
	Member uint32    `json:"member"`
	Worker string    `json:"worker"`
	Epoch  uint64    `json:"epoch"`
	Start  time.Time `json:"start"`
	End    time.Time `json:"end,omitzero"`
	Cause  EndCause  `json:"cause,omitempty"`
}

// History is everything that a worker ran.
type History struct {
	Requests []RequestRun `json:"requests"`
	Tasks    []TaskRun    `json:"tasks"`
	// Refused counts the leases that were refused for a stale epoch.
	Refused int `json:"refused"`
	// Epochs are those of the calls that were carried out, in their order and each change once; 0 when the worker died.
	Epochs []uint64 `json:"epochs"`
}

// noteEpoch notes the epoch of a call that is carried out.
func (h *History) noteEpoch(epoch uint64) {
	if len(h.Epochs) == 0 || h.Epochs[len(h.Epochs)-1] != epoch {
		h.Epochs = append(h.Epochs, epoch)
	}
}

// History returns a copy of what the worker ran until now.
func (w *Worker) History() History {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(time.Now())
	return History{
		Requests: slices.Clone(w.history.Requests),
		Tasks:    slices.Clone(w.history.Tasks),
		Refused:  w.history.Refused,
		Epochs:   slices.Clone(w.history.Epochs),
	}
}
