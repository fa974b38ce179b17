package standin

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// order is the body of any order to a worker.
type order struct {
	Task, Spec, Checkpoint, Ticket   string
	Run                              uint32
	Percent                          int
	Fence, UntilMs, LastSeen, WaitMs int64
}

// refusals are the words for what a worker refuses.
var refusals = map[worker.Refusal]string{
	worker.RefusedFence: "fence", worker.RefusedOldRun: "old", worker.RefusedLeaseExpired: "late", worker.RefusedCapacity: "room",
	worker.RefusedTicket: "ticket",
}

// workerHandler serves one worker.
func (s *Site) workerHandler(id string) http.Handler {
	target := worker.Target{ID: id}
	mux := http.NewServeMux()
	handle := func(path string, answer func(*http.Request, order) (any, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Expect-Instance") != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var given order
			if err := json.NewDecoder(r.Body).Decode(&given); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			body, err := answer(r, given)
			answerOrder(w, r, body, err)
		})
	}
	handle("/api/run-start", func(r *http.Request, given order) (any, error) {
		done, err := s.Workers.Start(r.Context(), target, worker.Start{
			Task: given.Task, Run: given.Run, Spec: given.Spec, Checkpoint: given.Checkpoint, Ticket: given.Ticket, Fence: given.Fence,
			LeaseEndMs: given.UntilMs,
		})
		return clock(done), err
	})
	handle("/api/run-stop", func(r *http.Request, given order) (any, error) {
		done, err := s.Workers.Stop(r.Context(), target, worker.Stop{Task: given.Task, Run: given.Run, Fence: given.Fence})
		return clock(done), err
	})
	handle("/api/pace", func(r *http.Request, given order) (any, error) {
		done, err := s.Workers.Pace(r.Context(), target, worker.Pace{Task: given.Task, Run: given.Run, Percent: given.Percent, Fence: given.Fence})
		return clock(done), err
	})
	handle("/api/hold", func(r *http.Request, given order) (any, error) {
		report, err := s.Workers.Poll(r.Context(), target, worker.Poll{
			Fence: given.Fence, Acknowledged: given.LastSeen, LeaseEndMs: given.UntilMs, Wait: milliseconds(given.WaitMs),
		})
		return listed(report), err
	})
	return mux
}

// answerOrder answers an order; one that a worker doesn't answer ends with its connection.
func answerOrder(w http.ResponseWriter, r *http.Request, body any, err error) {
	var refused *worker.RefusedError
	switch {
	case err == nil:
		reply(w, http.StatusOK, body)
	case errors.As(err, &refused):
		reply(w, http.StatusConflict, map[string]any{"ClockMs": 0, "Reason": refusals[refused.Refusal]})
	default:
		<-r.Context().Done()
	}
}

// clocked is an answer that says only the worker's clock.
type clocked struct {
	ClockMs int64
	Born    int64 `json:"born"`
}

func clock(given worker.Reply) clocked { return clocked{given.ClockMs, given.StartedAtMs} }

// lists is an answer with what runs and what ended.
type lists struct {
	clocked
	Running, Ended [][]any
}

func listed(report worker.Report) lists {
	out := lists{clocked: clock(report.Reply), Running: [][]any{}, Ended: [][]any{}}
	for _, task := range report.Running {
		out.Running = append(out.Running, []any{task.Task, task.Run, task.Checkpoint, int(task.Percent), int(task.Load)})
	}
	for _, end := range report.Finished {
		out.Ended = append(out.Ended, []any{end.Number, end.Task, end.Run, end.Reason, end.Checkpoint})
	}
	return out
}
