package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"
)

// Timing of the advisor, as the configuration states it.
const (
	adviceDecide = 20 * time.Millisecond
	advicePeriod = 2 * time.Millisecond
	adviceValid  = 3 * time.Second
)

// advisor is the platform's service that knows which workers may run a step. It handles one call at a time.
type advisor struct {
	rig     *rig
	turn    chan struct{}
	allowed func(worker string) bool
	// tickets has the time until which a ticket is valid, by step, worker and the worker's life.
	tickets map[string]time.Time
}

func (a *advisor) serve() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/advise", func(w http.ResponseWriter, r *http.Request) {
		var call struct {
			Step    string
			Workers []string
		}
		if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Workers) > 100 {
			writeJSON(w, http.StatusBadRequest, nil)
			return
		}
		a.turn <- struct{}{}
		time.Sleep(adviceDecide + time.Duration(len(call.Workers))*advicePeriod)
		<-a.turn
		rows := [][]string{}
		a.rig.mu.Lock()
		for _, each := range a.rig.workers {
			for _, id := range call.Workers {
				if id == each.id && a.allowed(id) {
					ticket := a.ticket(call.Step, each)
					a.tickets[ticket] = time.Now().Add(adviceValid)
					rows = append(rows, []string{id, ticket})
				}
			}
		}
		a.rig.log("advisor: asked about %s on %d workers (%s to %s), allows %d", call.Step, len(call.Workers), call.Workers[0],
			call.Workers[len(call.Workers)-1], len(rows))
		a.rig.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"Allowed": rows, "ValidMs": adviceValid.Milliseconds()})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

func (a *advisor) ticket(step string, w *worker) string {
	return step + "-" + w.id + "-" + w.born.Format("150405.000")
}

// valid reports whether a start of a task on a worker carries a valid ticket.
func (a *advisor) valid(task, ticket string, w *worker) bool {
	step := task[:strings.LastIndexByte(task, '.')]
	return ticket == a.ticket(step, w) && time.Now().Before(a.tickets[ticket])
}
