package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// work is what the rig knows about the tasks of a job's only step.
type work struct {
	count   int
	gang    bool
	lasting bool
	length  time.Duration
	// failAfter is when the task with index 0 fails, counted from the start of the work; 0 for never.
	failAfter time.Duration
	// quiet jobs are counted and not recorded task by task.
	quiet bool
}

// run is one run of a task on a worker.
type run struct {
	task     string
	number   int
	started  time.Time
	working  time.Time // when the work began; zero while a member of a gang waits for the others
	stopping time.Time // zero if no stop was ordered
}

type end struct {
	n    int
	task string
	run  int
	how  string
	// leaseMs is the end of the lease when the run ended.
	leaseMs int64
}

// worker is a worker of the platform. Its mutable state is that of its present life.
type worker struct {
	rig     *rig
	id      string
	address string
	server  *http.Server
	// dark is true while the worker is down and silent: connections are accepted and nothing is answered.
	dark bool
	up   bool

	born    time.Time
	seq     int
	fence   int64
	leaseMs int64
	running map[string]*run
	ends    []end
	lastN   int
	ended   map[string]int
	changed chan struct{}
}

func newWorker(r *rig, id string) *worker {
	w := &worker{rig: r, id: id}
	w.begin()
	return w
}

// begin starts a life of the worker: it holds and knows nothing of before.
func (w *worker) begin() {
	w.born, w.seq, w.fence, w.leaseMs, w.lastN = time.Now(), 0, 0, 0, 0
	w.running, w.ends, w.ended = map[string]*run{}, nil, map[string]int{}
	w.changed = make(chan struct{})
	w.up, w.dark = true, false
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// listen serves the worker, at its former address if it has one.
func (w *worker) listen() error {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w.handler()}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	return nil
}

// crash ends the worker's life: everything that runs on it is gone. A dark worker stays silent, others refuse connections.
func (w *worker) crash(dark bool) {
	w.rig.mu.Lock()
	w.up, w.dark = false, dark
	for _, each := range w.running {
		w.rig.logRun(each.task, "worker %s: run %s/%d is lost with the worker", w.id, each.task, each.number)
		w.rig.lostRun(each)
	}
	w.running = map[string]*run{}
	w.rig.log("worker %s: crashes (dark=%v)", w.id, dark)
	w.rig.mu.Unlock()
	if !dark {
		_ = w.server.Close()
	}
}

// restart begins a new life under the same id and address.
func (w *worker) restart() error {
	w.rig.mu.Lock()
	w.begin()
	w.rig.log("worker %s: starts again under its id, born %d", w.id, w.born.UnixMilli())
	w.rig.mu.Unlock()
	return w.listen()
}

type order struct {
	Task, Spec, Checkpoint string
	Ticket                 string
	Run, Percent           int
	Fence, UntilMs         int64
	LastSeen, WaitMs       int64
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, execute func(*http.Request, order) (int, map[string]any)) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				writeJSON(rw, http.StatusBadRequest, nil)
				return
			}
			w.rig.mu.Lock()
			if w.dark {
				w.rig.mu.Unlock()
				<-r.Context().Done()
				return
			}
			status, body := http.StatusMisdirectedRequest, map[string]any(nil)
			if expected := r.Header.Get("X-Expect-Instance"); expected == "" || expected == w.id {
				status, body = execute(r, o)
			}
			dark := w.dark
			w.rig.mu.Unlock()
			if dark {
				<-r.Context().Done()
				return
			}
			writeJSON(rw, status, body)
		})
	}
	handle("/api/run-start", func(_ *http.Request, o order) (int, map[string]any) { return w.start(o) })
	handle("/api/run-stop", func(_ *http.Request, o order) (int, map[string]any) { return w.stop(o) })
	handle("/api/hold", w.hold)
	handle("/api/pace", func(_ *http.Request, o order) (int, map[string]any) {
		if w.fenced(o) {
			return w.refuse("fence")
		}
		return http.StatusOK, map[string]any{"ClockMs": w.clock()}
	})
	return mux
}

func (w *worker) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"ClockMs": w.clock(), "Reason": reason}
}

func (w *worker) fenced(o order) bool {
	w.fence = max(w.fence, o.Fence)
	return o.Fence < w.fence
}

// extend extends the lease of everything that runs here, by at most maxHold from now.
func (w *worker) extend(untilMs int64) {
	w.leaseMs = max(w.leaseMs, min(untilMs, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(o order) (int, map[string]any) {
	if w.fenced(o) {
		return w.refuse("fence")
	}
	if o.UntilMs <= w.clock() {
		return w.refuse("late")
	}
	w.extend(o.UntilMs)
	if known := w.running[o.Task]; known != nil && known.number == o.Run {
		return http.StatusOK, map[string]any{"ClockMs": w.clock()}
	}
	if w.ended[o.Task] >= o.Run || w.running[o.Task] != nil {
		return w.refuse("old")
	}
	if advisor := w.rig.advisor; advisor != nil && !advisor.valid(o.Task, o.Ticket, w) {
		return w.refuse("ticket")
	}
	started := &run{task: o.Task, number: o.Run, started: time.Now()}
	w.running[o.Task] = started
	w.rig.logRun(o.Task, "worker %s: starts %s/%d (fence %d)", w.id, o.Task, o.Run, o.Fence)
	w.rig.startedRun(w, started)
	return http.StatusOK, map[string]any{"ClockMs": w.clock()}
}

func (w *worker) stop(o order) (int, map[string]any) {
	if w.fenced(o) {
		return w.refuse("fence")
	}
	known := w.running[o.Task]
	if known != nil && known.number == o.Run {
		if known.stopping.IsZero() {
			known.stopping = time.Now()
			w.rig.logRun(o.Task, "worker %s: stops %s/%d", w.id, o.Task, o.Run)
		}
	} else if known == nil {
		w.ended[o.Task] = max(w.ended[o.Task], o.Run)
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock()}
}

func (w *worker) forget(lastSeen int64) {
	kept := w.ends[:0]
	for _, each := range w.ends {
		if int64(each.n) > lastSeen {
			kept = append(kept, each)
			continue
		}
		w.rig.logRun(each.task, "worker %s: forgets end %d (%s/%d %s): LastSeen is %d", w.id, each.n, each.task, each.run, each.how, lastSeen)
		if w.clock() < each.leaseMs { // otherwise the lease may have lapsed between the two
			w.rig.noted(each)
		}
	}
	w.ends = kept
}

// hold is called with the rig locked.
func (w *worker) hold(r *http.Request, o order) (int, map[string]any) {
	if w.fenced(o) {
		return w.refuse("fence")
	}
	if o.UntilMs > 0 {
		w.extend(o.UntilMs)
	}
	deadline := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	w.forget(o.LastSeen)
	before, life := w.lastN, w.born
	for w.lastN == before && len(w.ends) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil && w.born.Equal(life) {
		changed := w.changed
		w.rig.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Until(deadline)):
		}
		w.rig.mu.Lock()
	}
	if !w.born.Equal(life) {
		return http.StatusServiceUnavailable, nil // the connection of the former life is gone
	}
	w.forget(o.LastSeen)
	running, ended := [][]any{}, [][]any{}
	for _, each := range w.running {
		if each.stopping.IsZero() {
			running = append(running, []any{each.task, each.number, "", w.rig.percent(each), 0})
		}
	}
	for _, each := range w.ends[:min(len(w.ends), 500)] {
		ended = append(ended, []any{each.n, each.task, each.run, each.how, ""})
	}
	return http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born.UnixMilli(), "Running": running, "Ended": ended}
}

// finish ends a run; it is called with the rig locked.
func (w *worker) finish(each *run, how string) {
	delete(w.running, each.task)
	w.lastN++
	w.ended[each.task] = max(w.ended[each.task], each.number)
	ended := end{n: w.lastN, task: each.task, run: each.number, how: how, leaseMs: w.leaseMs}
	w.ends = append(w.ends, ended)
	w.rig.logRun(each.task, "worker %s: end %d: %s/%d %s", w.id, ended.n, ended.task, ended.run, how)
	w.rig.endedRun(w, each, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// lapse ends everything once the lease has expired.
func (w *worker) lapse() {
	if len(w.running) == 0 || w.clock() < w.leaseMs {
		return
	}
	for _, each := range w.running {
		w.finish(each, "lapsed")
	}
}

// beat writes the worker's entry in the registry.
func (w *worker) beat() {
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"Service": service, "Address": w.address, "Zone": "z-a", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": capacity, "Labels": w.labels(),
		"ClockMs": w.clock(), "Seq": w.seq, "born": w.born.UnixMilli(),
	})
	w.rig.store.put("keyed.servers", w.id, body)
}

var capacity = map[string]int{"Cpu": 32000, "MemMb": 131072, "Gpu": 8}

// labels returns the worker's kind and its rack of six.
func (w *worker) labels() []string {
	number, _ := strconv.Atoi(strings.Trim(w.id, "in-"))
	return []string{"a", fmt.Sprintf("r%d", number/6)}
}

// jobOf returns the job and the index of a task named ID.K.STEP.INDEX.
func jobOf(task string) (string, int) {
	parts := strings.Split(task, ".")
	index, _ := strconv.Atoi(parts[len(parts)-1])
	return parts[0], index
}

func gangOf(each *run) string {
	id, _ := jobOf(each.task)
	return fmt.Sprintf("%s/%d", id, each.number)
}
