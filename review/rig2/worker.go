package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// room is what a worker has, or a task needs.
type room struct{ Cpu, MemMb, Gpu int } //nolint:revive // spelling of the JSON fields.

func (r room) plus(other room) room {
	return room{r.Cpu + other.Cpu, r.MemMb + other.MemMb, r.Gpu + other.Gpu}
}

func (r room) within(other room) bool {
	return r.Cpu <= other.Cpu && r.MemMb <= other.MemMb && r.Gpu <= other.Gpu
}

// work is the text of a job's Spec: what its tasks do. A task that lasts fails FailsMs after its start, if that is set.
type work struct {
	RunsMs, FailsMs int64
	Lasts           bool
	// FailsIndex restricts failures to one task of the step; -1 for all.
	FailsIndex int
}

// taskRun is one run of a task on a worker.
type taskRun struct {
	task      string
	number    int64
	speed     int64
	work      work
	need      room
	startedAt time.Time
	// stopping is when a stop was ordered; zero if none was.
	stopping time.Time
}

// ended is an entry of a worker's list of ends.
type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// worker is a stand-in of one worker, through all its lives.
type worker struct {
	fleet *fleet
	// name is the worker's name in the record; it stays with its address.
	name, address string
	labels        []string
	// speed is how fast tasks run here; 1 if it is 0.
	speed int64

	mu       sync.Mutex
	id       string
	capacity room
	// down is true while the worker is not running, and silent while nothing reaches it and nothing comes from it.
	down, silent bool
	bornAt       time.Time
	running      map[string]*taskRun
	ends         []ended
	lastNumber   int64
	fence        int64
	leaseEnd     int64
	// closed is the highest run that was stopped or has ended, by task.
	closed  map[string]int64
	changed chan struct{}
	entries int64
	// missed is the number of entries that were not written since the last one.
	missed int
}

func newWorker(f *fleet, name, id string, capacity room, labels []string) (*worker, error) {
	w := &worker{fleet: f, name: name, labels: labels, capacity: capacity}
	w.begin(id)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	server := &http.Server{Handler: w.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go w.step()
	return w, nil
}

// begin begins a life of the worker, in which it knows nothing of before.
func (w *worker) begin(id string) {
	w.id, w.bornAt, w.running, w.ends, w.lastNumber = id, time.Now(), map[string]*taskRun{}, nil, 0
	w.fence, w.leaseEnd, w.closed, w.down, w.silent = 0, 0, map[string]int64{}, false, false
	w.changed = make(chan struct{})
}

// clock returns the time on the worker's steady clock, which begins with its life.
func (w *worker) clock() int64 { return time.Since(w.bornAt).Milliseconds() + 1000 }

// crash ends the life of the worker. With silent, calls to it hang; else they are refused.
func (w *worker) crash(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.running {
		w.fleet.ended(w, task, r.number, "gone")
	}
	w.running, w.down, w.silent = map[string]*taskRun{}, true, silent
	close(w.changed) // breaks off the calls that wait
	w.changed = make(chan struct{})
	w.fleet.log("worker %s (%s) crashes, silent=%v", w.name, w.id, silent)
}

// restart begins another life after a crash, and registers it.
func (w *worker) restart(id string, capacity room) {
	w.mu.Lock()
	w.begin(id)
	w.capacity = capacity
	w.fleet.log("worker %s starts again as %s with %+v", w.name, id, capacity)
	w.mu.Unlock()
	w.register()
}

// maxMissed is the number of status report intervals of silence after which the platform removes an entry.
const maxMissed = 3

// register writes the worker's entry. The platform removes it if the worker is silent for too long.
func (w *worker) register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || w.silent {
		if w.missed++; w.missed == maxMissed+1 {
			w.fleet.store.put(topicServers, w.id, nil)
		}
		return
	}
	w.missed = 0
	w.entries++
	body, err := json.Marshal(map[string]any{
		"Service": serviceName, "Address": w.address, "Zone": "z1", "Version": "1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Seq": w.entries, "Capacity": w.capacity, "Labels": w.labels, "born": w.bornAt.UnixMilli(),
	})
	if err == nil {
		w.fleet.store.put(topicServers, w.id, body)
	}
}

// step ends tasks when their time has come.
func (w *worker) step() {
	for range time.Tick(5 * time.Millisecond) {
		w.mu.Lock()
		var due []string
		for task := range w.running {
			due = append(due, task)
		}
		sort.Strings(due)
		for _, task := range due {
			r := w.running[task]
			age := time.Since(r.startedAt).Milliseconds()
			switch {
			case w.clock() > w.leaseEnd:
				w.end(r, "lapsed")
			case !r.stopping.IsZero():
				if time.Since(r.stopping) >= w.fleet.stopTime {
					w.end(r, "stopped")
				}
			case r.work.FailsMs > 0 && age >= r.work.FailsMs:
				w.end(r, "failed")
			case !r.work.Lasts && age*r.speed >= r.work.RunsMs:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run and lists its end. The worker must be locked.
func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	w.lastNumber++
	w.ends = append(w.ends, ended{w.lastNumber, r.task, r.number, how})
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.fleet.ended(w, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// wireOrder is the body of any order.
type wireOrder struct {
	Task, Spec                            string
	Run, UntilMs, Fence, LastSeen, WaitMs int64
}

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, carryOut func(*http.Request, wireOrder) (int, map[string]any)) {
		mux.HandleFunc("POST "+path, func(out http.ResponseWriter, r *http.Request) {
			if !w.reachable(out, r) {
				return
			}
			var order wireOrder
			if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
				out.WriteHeader(http.StatusBadRequest)
				return
			}
			status, body := carryOut(r, order)
			switch {
			case !w.reachable(out, r):
			case status == broken:
				breakOff(out)
			default:
				writeJSON(out, status, body)
			}
		})
	}
	handle("/api/run-start", w.start)
	handle("/api/run-stop", w.stop)
	handle("/api/hold", w.hold)
	return mux
}

// reachable breaks the channel off if the worker is down, and lets the call hang while it is silent.
func (w *worker) reachable(out http.ResponseWriter, r *http.Request) bool {
	w.mu.Lock()
	down, silent := w.down, w.silent
	w.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
	case down:
		breakOff(out)
	}
	return !down && !silent
}

// broken stands for the answer to a call that was broken off by the end of a life.
const broken = -1

// breakOff closes the channel of a call without an answer.
func breakOff(out http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// accept checks lifetime and fence of a call, and extends the lease. The worker must be locked.
func (w *worker) accept(r *http.Request, order wireOrder) (int, map[string]any) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return http.StatusMisdirectedRequest, w.reply("")
	}
	if order.Fence < w.fence {
		return http.StatusConflict, w.reply("fence")
	}
	w.fence = order.Fence
	w.leaseEnd = max(w.leaseEnd, min(order.UntilMs, w.clock()+w.fleet.maxHold.Milliseconds()))
	return 0, nil
}

func (w *worker) reply(reason string) map[string]any {
	body := map[string]any{"ClockMs": w.clock(), "born": w.bornAt.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	return body
}

func (w *worker) start(r *http.Request, order wireOrder) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status, body := w.accept(r, order); status != 0 {
		return status, body
	}
	if running := w.running[order.Task]; running != nil && running.number == order.Run {
		return http.StatusOK, w.reply("")
	}
	if order.Run <= w.closed[order.Task] {
		return http.StatusConflict, w.reply("old")
	}
	if order.UntilMs <= w.clock() {
		return http.StatusConflict, w.reply("late")
	}
	started := &taskRun{task: order.Task, number: order.Run, speed: max(1, w.speed), need: w.fleet.need(order.Task), startedAt: time.Now()}
	if err := json.Unmarshal([]byte(order.Spec), &started.work); err != nil {
		return http.StatusBadRequest, w.reply("")
	}
	if index := started.work.FailsIndex; index >= 0 && index != taskIndex(order.Task) {
		started.work.FailsMs = 0
	}
	w.running[order.Task] = started
	var used room
	for _, other := range w.running {
		used = used.plus(other.need)
	}
	w.fleet.started(w, started, used)
	return http.StatusOK, w.reply("")
}

func (w *worker) stop(r *http.Request, order wireOrder) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status, body := w.accept(r, order); status != 0 {
		return status, body
	}
	w.closed[order.Task] = max(w.closed[order.Task], order.Run)
	if running := w.running[order.Task]; running != nil && running.number <= order.Run && running.stopping.IsZero() {
		running.stopping = time.Now()
		w.fleet.log("worker %s stops %s run %d", w.name, order.Task, running.number)
	}
	return http.StatusOK, w.reply("")
}

func (w *worker) hold(r *http.Request, order wireOrder) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if status, body := w.accept(r, order); status != 0 {
		return status, body
	}
	for len(w.ends) > 0 && w.ends[0].number <= order.LastSeen {
		w.fleet.noted(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	deadline := time.After(time.Duration(order.WaitMs) * time.Millisecond)
	life := w.bornAt
	for waiting := order.WaitMs > 0; waiting && len(w.ends) == 0 && !w.down && w.bornAt.Equal(life); {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			waiting = false
		case <-deadline:
			waiting = false
		case <-changed:
		}
		w.mu.Lock()
	}
	if w.down || !w.bornAt.Equal(life) {
		return broken, nil
	}
	body := w.reply("")
	running, ends := [][]any{}, [][]any{}
	for _, t := range w.running {
		running = append(running, []any{t.task, t.number, "", t.percent(), 0})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	body["Running"], body["Ended"] = running, ends
	return http.StatusOK, body
}

// percent is the progress of a run; one that lasts is at work after a short startup.
func (r *taskRun) percent() int64 {
	age := time.Since(r.startedAt).Milliseconds()
	switch {
	case r.work.Lasts && age > 200:
		return 100
	case r.work.Lasts:
		return 0
	default:
		return min(99, 100*age*r.speed/max(1, r.work.RunsMs))
	}
}
