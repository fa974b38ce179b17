package mock

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// stopTime is how long a worker takes to stop a task, unless a test says otherwise.
const stopTime = 100 * time.Millisecond

// gangTime is how long a member of a gang waits for the others before it ends alone.
const gangTime = 3 * time.Second

// Workers are workers that run tasks for their step's estimate. They break a test's promises loudly: see Violations.
type Workers struct {
	mu     sync.Mutex
	hosts  map[string]*mockHost
	job    func(id string) *storev1.Job
	found  []string
	starts map[string]int
	done   map[string]bool
	// starting counts the starts under way, and most the most at once.
	starting, most int
	// newest is the newest run of each task that started.
	newest map[string]uint32
	// StopDuration is how long a worker takes to stop a task.
	StopDuration time.Duration
	// deaf workers get no starts, and mute ones answer no holds.
	deaf, mute bool
	// TicketValid, if set, tells whether a start may go to a worker.
	TicketValid func(order worker.Start, id string) bool
}

// mockHost is one worker.
type mockHost struct {
	entry   worker.RegistryEntry
	born    time.Time
	fence   int64
	until   int64
	running map[string]*mockTask
	ended   []worker.FinishedTask
	number  int64
	silent  bool
	late    time.Duration
	fails   bool
	hangs   bool
	unheard bool
	latency time.Duration
	changed chan struct{}
	// over is the highest run of each task that ended or was stopped there.
	over map[string]uint32
}

// mockTask is one run on a worker.
type mockTask struct {
	run      uint32
	started  time.Time
	takes    time.Duration
	step     *storev1.Step
	saved    string
	pace     int
	stopping time.Time
}

// percent is the progress of a task; a lasting one is at work at once.
func (t *mockTask) percent(hangs bool) float64 {
	switch {
	case hangs:
		return 0
	case t.step.GetLongRunning():
		return 100
	default:
		return math.Floor(100 * float64(time.Since(t.started)) / float64(max(t.takes, 1)))
	}
}

// NewWorkers returns workers with 8 accelerators, 32 cores and 64 GB each, named w00, w01, ... Jobs are looked up by job.
func NewWorkers(count int, job func(id string) *storev1.Job) *Workers {
	w := &Workers{hosts: map[string]*mockHost{}, job: job, starts: map[string]int{}, done: map[string]bool{}, newest: map[string]uint32{}, StopDuration: stopTime}
	for i := range count {
		w.add(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/4))
	}
	return w
}

func (w *Workers) add(id, rack string) {
	w.hosts[id] = &mockHost{
		entry: worker.RegistryEntry{
			ID: id, Service: "s", Address: id + ":1", Rack: rack, Labels: []string{"a", rack},
			Capacity: &storev1.Resources{CpuMillicores: 32000, MemoryMb: 65536, Accelerators: 8},
		},
		born: time.Now(), running: map[string]*mockTask{}, over: map[string]uint32{}, changed: make(chan struct{}),
	}
}

// Add adds a worker.
func (w *Workers) Add(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.add(id, "r0")
}

// Entries are the workers' entries in the platform's list.
func (w *Workers) Entries() []worker.RegistryEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []worker.RegistryEntry
	for _, host := range w.hosts {
		entries = append(entries, host.entry)
	}
	return entries
}

// SetUnreachable cuts a worker off, or lets it answer again. It runs on.
func (w *Workers) SetUnreachable(id string, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[id].silent = silent
}

// DropReplies lets a worker carry out starts and answer nothing, or all again.
func (w *Workers) DropReplies(id string, unheard bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[id].silent, w.hosts[id].unheard = unheard, unheard
}

// FailTasks lets a worker fail all that it starts.
func (w *Workers) FailTasks(id string) { w.SetFailing(id, true) }

// SetFailing lets a worker fail all that it starts, or work again.
func (w *Workers) SetFailing(id string, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[id].fails = fails
}

// DropStarts lets no start order arrive anywhere, or all again.
func (w *Workers) DropStarts(lose bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deaf = lose
}

// DropPolls lets no hold be answered anywhere, or all again.
func (w *Workers) DropPolls(lose bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = lose
}

// HangTasks lets all that a worker runs stand still.
func (w *Workers) HangTasks(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[id].hangs = true
}

// SetExtraLatency lets a worker answer late.
func (w *Workers) SetExtraLatency(id string, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[id].latency = latency
}

// DelayNextStart lets a worker carry out starts late, without an answer.
func (w *Workers) DelayNextStart(id string, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts[id].late = by
}

// Violations are the promises that were broken.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.found...)
}

// StartCount counts the starts of a task.
func (w *Workers) StartCount(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// StartedTasks are the tasks that started at least once.
func (w *Workers) StartedTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.starts))
}

// RunningTasks are the tasks that run.
func (w *Workers) RunningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for _, host := range w.hosts {
		w.settle(host)
		tasks = slices.AppendSeq(tasks, maps.Keys(host.running))
	}
	slices.Sort(tasks)
	return tasks
}

// MaxConcurrentStarts is how many starts were under way together at most.
func (w *Workers) MaxConcurrentStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// RunCount counts what runs on a worker.
func (w *Workers) RunCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.hosts[id])
	return len(w.hosts[id].running)
}

func (w *Workers) violate(format string, values ...any) {
	w.found = append(w.found, fmt.Sprintf(format, values...))
}
