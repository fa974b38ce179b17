package standin

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/dotterelgauge/dotterelgauge/internal/mock"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// wireOrder is the JSON form of any order to a worker; fields that don't apply are empty.
type wireOrder struct {
	Task, Spec, Checkpoint, Ticket   string
	Run                              uint32
	Percent                          int
	Fence, UntilMs, LastSeen, WaitMs int64
}

// refusalReasons maps a refusal to the reason in a 409 answer.
var refusalReasons = map[worker.Refusal]string{
	worker.RefusedFence: "fence", worker.RefusedOldRun: "old", worker.RefusedLeaseExpired: "late", worker.RefusedCapacity: "room",
	worker.RefusedTicket: "ticket",
}

// workerHandler returns the HTTP interface of the worker with a first id, under all its ids, for one instance. Calls and answers are
// lost while the instance doesn't reach it.
func (p *Platform) workerHandler(instance, id string) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, execute func(*http.Request, worker.Target, wireOrder) (any, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			target := worker.Target{ID: r.Header.Get("X-Expect-Instance")}
			if mock.FirstID(target.ID) != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var order wireOrder
			if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if !p.reaches(instance, id) {
				<-r.Context().Done()
				return
			}
			body, err := execute(r, target, order)
			if !p.reaches(instance, id) {
				<-r.Context().Done()
				return
			}
			writeAnswer(w, r, body, err)
		})
	}
	handle("/api/run-start", func(r *http.Request, target worker.Target, order wireOrder) (any, error) {
		reply, err := p.Workers.Start(r.Context(), target, worker.Start{
			Task: order.Task, Run: order.Run, Spec: order.Spec, Checkpoint: order.Checkpoint, Ticket: order.Ticket, Fence: order.Fence,
			LeaseEndMs: order.UntilMs,
		})
		return encodeReply(reply), err
	})
	handle("/api/run-stop", func(r *http.Request, target worker.Target, order wireOrder) (any, error) {
		reply, err := p.Workers.Stop(r.Context(), target, worker.Stop{Task: order.Task, Run: order.Run, Fence: order.Fence})
		return encodeReply(reply), err
	})
	handle("/api/pace", func(r *http.Request, target worker.Target, order wireOrder) (any, error) {
		reply, err := p.Workers.Pace(r.Context(), target, worker.Pace{
			Task: order.Task, Run: order.Run, Percent: order.Percent, Fence: order.Fence,
		})
		return encodeReply(reply), err
	})
	handle("/api/hold", func(r *http.Request, target worker.Target, order wireOrder) (any, error) {
		report, err := p.Workers.Poll(r.Context(), target, worker.Poll{
			Fence: order.Fence, Acknowledged: order.LastSeen, LeaseEndMs: order.UntilMs, Wait: millis(order.WaitMs),
		})
		return encodeReport(report), err
	})
	return mux
}

// writeAnswer writes a worker's answer to an order. If the worker doesn't answer, it blocks until the client disconnects.
func writeAnswer(w http.ResponseWriter, r *http.Request, body any, err error) {
	var refused *worker.RefusedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, body)
	case errors.As(err, &refused) && refused.Refusal == worker.RefusedIncarnation:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case errors.As(err, &refused):
		writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": 0, "Reason": refusalReasons[refused.Refusal]})
	default:
		<-r.Context().Done()
	}
}

// wireReply is the JSON form of a worker's reply; times are in milliseconds of the worker's clock.
type wireReply struct {
	ClockMs     int64
	StartedAtMs int64 `json:"born"`
}

func encodeReply(reply worker.Reply) wireReply { return wireReply{reply.ClockMs, reply.StartedAtMs} }

// wireReport is the JSON form of a worker's report: its running and its finished tasks, one row for each.
type wireReport struct {
	wireReply
	Running, Ended [][]any
}

func encodeReport(report worker.Report) wireReport {
	out := wireReport{wireReply: encodeReply(report.Reply), Running: [][]any{}, Ended: [][]any{}}
	for _, running := range report.Running {
		out.Running = append(out.Running, []any{
			running.Task, running.Run, running.Checkpoint, int(running.Percent), int(running.Load),
		})
	}
	for _, finished := range report.Finished {
		out.Ended = append(out.Ended, []any{finished.Number, finished.Task, finished.Run, finished.Reason, finished.Checkpoint})
	}
	return out
}
