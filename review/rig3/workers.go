package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// amount is a capacity or a need, in the units of PROTOCOL.md.
type amount struct{ Cpu, MemMb, Gpu int }

func (a amount) plus(b amount) amount { return amount{a.Cpu + b.Cpu, a.MemMb + b.MemMb, a.Gpu + b.Gpu} }
func (a amount) within(b amount) bool { return a.Cpu <= b.Cpu && a.MemMb <= b.MemMb && a.Gpu <= b.Gpu }

// work is one task on a worker.
type work struct {
	task    string
	run     int
	step    *jobStep
	started time.Time
	// begun is when it began to make progress: a member of a gang waits for the others. Zero before.
	begun time.Time
	// stopping is when its stop was ordered; zero if it wasn't.
	stopping time.Time
	// worked is how long it has worked, at full speed, and pace the share in percent at which it works.
	worked time.Duration
	pace   int
}

type ended struct {
	number int
	task   string
	run    int
	how    string
}

// workerHost is the place of a worker: its address, and the life that is there now.
type workerHost struct {
	rig      *rig
	index    int
	rack     string
	address  string
	listener net.Listener
	server   *http.Server
	life     *life
}

// life is one life of a worker. It holds and knows nothing of earlier ones.
type life struct {
	id       string
	born     int64
	start    time.Time
	capacity amount
	labels   []string
	state    string
	fence    int64
	leaseEnd int64
	running  map[string]*work
	endedRun map[string]int
	ends     []ended
	lastEnd  int
	// lapsedAt is the number of the latest end when the lease last lapsed, plus 1.
	lapsedAt int
	seq      int
	// held is when the latest hold arrived.
	held time.Time
	// registered is when its first entry was in the store; zero before.
	registered time.Time
	// told is when it first answered a hold, which tells the owner of the new life; zero before.
	told    time.Time
	changed chan struct{}
}

func (l *life) clock() int64 { return 1000 + time.Since(l.start).Milliseconds() }

func (l *life) used() amount {
	var sum amount
	for _, w := range l.running {
		sum = sum.plus(w.step.need())
	}
	return sum
}

func (l *life) end(w *work, how string) {
	delete(l.running, w.task)
	l.endedRun[w.task] = max(l.endedRun[w.task], w.run)
	l.lastEnd++
	l.ends = append(l.ends, ended{l.lastEnd, w.task, w.run, how})
	close(l.changed)
	l.changed = make(chan struct{})
}

// begin starts a life at a host: it listens and, registerAfter later, writes its entry.
func (h *workerHost) begin(id string, capacity amount, labels []string, registerAfter time.Duration) error {
	address := h.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l := &life{
		id: id, born: time.Now().UnixMilli(), start: time.Now(), capacity: capacity, labels: labels, state: "ready",
		running: map[string]*work{}, endedRun: map[string]int{}, changed: make(chan struct{}),
	}
	h.rig.mu.Lock()
	h.address, h.listener, h.life = listener.Addr().String(), listener, l
	h.server = &http.Server{Handler: wrapWorker(h.handler(l))}
	h.rig.mu.Unlock()
	go func(server *http.Server) { _ = server.Serve(listener) }(h.server)
	h.rig.log("worker %s begins a life at %s: capacity %+v, labels %v", id, h.address, capacity, labels)
	time.AfterFunc(registerAfter, func() { h.register(l) })
	return nil
}

// crash ends the life at once: nothing that it runs is left, and nothing answers.
func (h *workerHost) crash() {
	h.rig.mu.Lock()
	l, server := h.life, h.server
	h.life = nil
	var lost []string
	if l != nil {
		for _, w := range l.running {
			lost = append(lost, fmt.Sprintf("%s run %d", w.task, w.run))
			h.rig.recordEnd(l, w, "crash")
		}
		close(l.changed)
		l.changed = make(chan struct{})
	}
	h.rig.mu.Unlock()
	_ = server.Close()
	if l != nil {
		sort.Strings(lost)
		h.rig.log("worker %s crashes with %v", l.id, lost)
	}
}

// register writes the worker's entry in the registry, unless another life is there by now.
func (h *workerHost) register(l *life) {
	h.rig.mu.Lock()
	if h.life != l {
		h.rig.mu.Unlock()
		return
	}
	l.seq++
	entry, _ := json.Marshal(map[string]any{
		"Service": service, "Address": h.address, "Zone": "z" + strconv.Itoa(h.index%2+1), "Version": "v1", "Slots": 8, "State": l.state,
		"ColdLeftMs": 0, "Capacity": l.capacity, "Labels": l.labels, "ClockMs": l.clock(), "Seq": l.seq, "born": l.born,
	})
	first := l.seq == 1
	h.rig.mu.Unlock()
	h.rig.store.put("keyed.servers", l.id, string(entry))
	if first {
		h.rig.mu.Lock()
		l.registered = time.Now()
		h.rig.mu.Unlock()
		h.rig.log("worker %s writes its first entry", l.id)
	}
}

type order struct {
	Task, Spec, Checkpoint           string
	Run                              int
	Fence, UntilMs, LastSeen, WaitMs int64
	Percent                          int
}

func (h *workerHost) handler(l *life) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) })
	serve := func(handle func(*order, *http.Request) (int, map[string]any)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				reply(w, 400, map[string]any{})
				return
			}
			if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != l.id {
				h.rig.mu.Lock()
				body := map[string]any{"ClockMs": l.clock(), "born": l.born}
				h.rig.mu.Unlock()
				reply(w, 421, body)
				return
			}
			status, body := handle(&o, r)
			if status == 0 {
				panic(http.ErrAbortHandler) // the life has ended: its channels break without an answer
			}
			reply(w, status, body)
		}
	}
	mux.HandleFunc("POST /api/run-start", serve(func(o *order, _ *http.Request) (int, map[string]any) { return h.start(l, o) }))
	mux.HandleFunc("POST /api/run-stop", serve(func(o *order, _ *http.Request) (int, map[string]any) { return h.stop(l, o) }))
	mux.HandleFunc("POST /api/pace", serve(func(o *order, _ *http.Request) (int, map[string]any) { return h.pace(l, o) }))
	mux.HandleFunc("POST /api/hold", serve(func(o *order, r *http.Request) (int, map[string]any) { return h.hold(l, o, r) }))
	return mux
}

// accept checks the fence of an order. The caller holds the lock.
func (l *life) accept(o *order) (int, map[string]any) {
	if o.Fence < l.fence {
		return 409, map[string]any{"ClockMs": l.clock(), "born": l.born, "Reason": "fence"}
	}
	l.fence = o.Fence
	return 200, map[string]any{"ClockMs": l.clock(), "born": l.born}
}

// extend extends the lease, which never shortens and is at most maxHold long.
func (l *life) extend(until int64) {
	l.leaseEnd = max(l.leaseEnd, min(until, l.clock()+maxHold.Milliseconds()))
}

func (h *workerHost) start(l *life, o *order) (int, map[string]any) {
	h.rig.mu.Lock()
	defer h.rig.mu.Unlock()
	if h.life != l {
		return 0, nil
	}
	status, body := l.accept(o)
	if status != 200 {
		return status, body
	}
	refuse := func(reason string) (int, map[string]any) {
		body["Reason"] = reason
		h.rig.logLocked("worker %s refuses to start %s run %d: %s", l.id, o.Task, o.Run, reason)
		return 409, body
	}
	if there := l.running[o.Task]; there != nil && there.run == o.Run {
		l.extend(o.UntilMs)
		return 200, body
	}
	if o.Run <= l.endedRun[o.Task] {
		l.extend(o.UntilMs)
		return refuse("old")
	}
	if o.UntilMs <= l.clock() {
		return refuse("late")
	}
	l.extend(o.UntilMs)
	step := h.rig.stepOf(o.Task)
	if step == nil {
		h.rig.breach("UNASKED", "worker %s is told to start %s, which no client sent", l.id, o.Task)
		return 400, body
	}
	w := &work{task: o.Task, run: o.Run, step: step, started: time.Now(), pace: 100}
	l.running[o.Task] = w
	h.rig.recordStart(l, w)
	return 200, body
}

func (h *workerHost) stop(l *life, o *order) (int, map[string]any) {
	h.rig.mu.Lock()
	defer h.rig.mu.Unlock()
	if h.life != l {
		return 0, nil
	}
	status, body := l.accept(o)
	if status != 200 {
		return status, body
	}
	if w := l.running[o.Task]; w != nil && w.run <= o.Run && w.stopping.IsZero() {
		w.stopping = time.Now()
		h.rig.logLocked("worker %s is told to stop %s run %d", l.id, w.task, w.run)
	} else if w == nil {
		l.endedRun[o.Task] = max(l.endedRun[o.Task], o.Run)
	}
	return 200, body
}

func (h *workerHost) pace(l *life, o *order) (int, map[string]any) {
	h.rig.mu.Lock()
	defer h.rig.mu.Unlock()
	if h.life != l {
		return 0, nil
	}
	status, body := l.accept(o)
	if w := l.running[o.Task]; status == 200 && w != nil && w.run == o.Run {
		h.rig.logLocked("worker %s lets %s run %d work at %d%%", l.id, w.task, w.run, o.Percent)
		w.pace = o.Percent
	}
	return status, body
}

// tail is the tail of the response times of the tasks that serve on a worker, in milliseconds: 40, and 3 more for each percent at which a
// task that fills works beside them.
func (l *life) tail() int {
	tail := 40
	for _, w := range l.running {
		if w.step.Fills && !w.begun.IsZero() {
			tail += 3 * w.pace
		}
	}
	return tail
}

func (h *workerHost) hold(l *life, o *order, r *http.Request) (int, map[string]any) {
	h.rig.mu.Lock()
	if h.life != l {
		h.rig.mu.Unlock()
		return 0, nil
	}
	status, body := l.accept(o)
	if status != 200 {
		h.rig.mu.Unlock()
		return status, body
	}
	if o.UntilMs > 0 {
		l.extend(o.UntilMs)
	}
	l.held = time.Now()
	for len(l.ends) > 0 && int64(l.ends[0].number) <= o.LastSeen {
		h.rig.recordNote(l, l.ends[0])
		l.ends = l.ends[1:]
	}
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	for len(l.ends) == 0 && time.Now().Before(deadline) {
		changed := l.changed
		h.rig.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return 0, nil
		}
		h.rig.mu.Lock()
		if h.life != l {
			h.rig.mu.Unlock()
			return 0, nil
		}
	}
	defer h.rig.mu.Unlock()
	running, ends := []any{}, []any{}
	for _, w := range l.running {
		load := w.step.Cpu * w.pace / 100
		if w.step.TargetMs > 0 {
			load = l.tail()
		}
		running = append(running, []any{w.task, w.run, "", w.percent(), load})
	}
	for _, e := range l.ends[:min(500, len(l.ends))] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	body["ClockMs"], body["Running"], body["Ended"] = l.clock(), running, ends
	if l.told.IsZero() {
		l.told = time.Now()
		h.rig.logLocked("worker %s answers its first hold: born %d, runs %d tasks", l.id, l.born, len(running))
	}
	return 200, body
}

func (w *work) percent() int {
	switch {
	case w.begun.IsZero():
		return 0
	case w.step.LongRunning:
		return 100
	}
	return min(99, int(100*w.worked/w.step.duration))
}

// advance ends what is done, stopped or out of its lease. The caller holds the lock.
func (r *rig) advance() {
	now := time.Now()
	defer func() { r.advancedAt = now }()
	for _, h := range r.hosts {
		l := h.life
		if l == nil {
			continue
		}
		if l.clock() > l.leaseEnd {
			l.lapsedAt = l.lastEnd + 1
		}
		for _, w := range l.running {
			how := ""
			if !w.begun.IsZero() {
				w.worked += now.Sub(r.advancedAt) * time.Duration(w.pace) / 100
			}
			switch {
			case l.clock() > l.leaseEnd:
				how = "lapsed"
			case !w.stopping.IsZero() && now.Sub(w.stopping) >= stopTime/2:
				how = "stopped"
			case w.begun.IsZero() && w.step.Gang:
				if now.Sub(w.started) >= gangTime {
					how = "alone"
				} else if r.gangComplete(w) {
					w.begun = now
				}
			case w.begun.IsZero():
				w.begun = now
			case !w.step.LongRunning && w.worked >= w.step.duration:
				how = "done"
			}
			if how != "" {
				r.endWork(l, w, how)
			}
		}
	}
}

// endWork ends a task, and the rest of its gang if it wasn't done.
func (r *rig) endWork(l *life, w *work, how string) {
	l.end(w, how)
	r.recordEnd(l, w, how)
	if !w.step.Gang || how == "done" {
		return
	}
	for _, h := range r.hosts {
		if h.life == nil {
			continue
		}
		for _, other := range h.life.running {
			if sameGang(w, other) {
				h.life.end(other, "broken")
				r.recordEnd(h.life, other, "broken")
			}
		}
	}
}

func gangName(task string) string { return task[:strings.LastIndex(task, ".")] }

func sameGang(a, b *work) bool {
	return a != b && a.step == b.step && a.run == b.run && gangName(a.task) == gangName(b.task)
}

// gangComplete reports whether all members of a run are present.
func (r *rig) gangComplete(w *work) bool {
	present := 1
	for _, h := range r.hosts {
		if h.life == nil {
			continue
		}
		for _, other := range h.life.running {
			if sameGang(w, other) {
				present++
			}
		}
	}
	return present >= w.step.Count
}
