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

// defaultStopDuration is the default of Workers.StopDuration.
const defaultStopDuration = 100 * time.Millisecond

// checkInterval is the interval at which a waiting poll checks for finished tasks.
const checkInterval = 25 * time.Millisecond

// gangWait is how long a member of a gang waits for the other members to start before it ends with worker.GangIncomplete.
const gangWait = 3 * time.Second

// Workers implements worker.Client with in-memory workers that run each task for the estimate of its step. It records
// starts that break a guarantee of the scheduler: see Violations.
type Workers struct {
	mu          sync.Mutex
	byID        map[string]*fakeWorker // by worker id
	findJob     func(id string) *storev1.Job
	violations  []string
	startCounts map[string]int  // by task
	done        map[string]bool // the tasks that finished as done
	// activeStarts is the number of Start calls in progress, and maxActiveStarts its maximum so far.
	activeStarts, maxActiveStarts int
	// latestRuns has the number of the latest run of each task that started.
	latestRuns map[string]uint32
	// StopDuration is how long a worker takes to stop a task.
	StopDuration time.Duration
	// CrashDuration is how long a crashed worker is down.
	CrashDuration time.Duration
	// Register, if set, is called when a worker that has returned under its id writes its first registry entry, RegisterDelay later.
	Register      func(id string)
	RegisterDelay time.Duration
	// TaskDuration, if set, returns how long a task runs in place of the estimate of its step.
	TaskDuration func(task string) time.Duration
	// MaxLease, if set, is the longest lease; longer ones are shortened to it.
	MaxLease time.Duration
	// dropStarts and dropPolls make all workers drop starts or polls.
	dropStarts, dropPolls bool
	// loseEvery is the argument of LoseCalls, and calls the number of calls since then.
	loseEvery, calls int
	// TicketValid, if set, reports whether the ticket of a start is valid for the worker with the given id.
	TicketValid func(order worker.Start, id string) bool
	// crashing, crashAfter and returned are the arguments of CrashTasks.
	crashing   func(task string) bool
	crashAfter time.Duration
	returned   func(old, id string)
}

// fakeWorker is one worker. The fields for faults are described at the methods of Workers that set them.
type fakeWorker struct {
	entry     worker.RegistryEntry
	startedAt time.Time
	// clockAhead is how far the time of day of the worker's machine is ahead of the instances'.
	clockAhead time.Duration
	// fence is the highest fencing token of an order.
	fence int64
	// leaseEndMs is the end of the lease on the worker's clock, which starts at 0 at startedAt.
	leaseEndMs int64
	running    map[string]*fakeTask // by task
	// finished are the finished tasks that aren't acknowledged, and lastNumber is the number of the last one.
	finished   []worker.FinishedTask
	lastNumber int64
	// released is the number of the last finished task that releaseFinished has seen.
	released    int64
	unreachable bool
	// down is true from a crash until the worker's return. replaced is true if it returned under another id.
	down, replaced bool
	downSince      time.Time
	// limit is the capacity that starts must not exceed, which follows entry.Capacity with a delay.
	limit uint32
	// change is the argument of ChangeOnReturn; nil if the next incarnation is of the same kind.
	change func(*worker.RegistryEntry)
	// misdirectedCalls is the number of calls since it returned under another id.
	misdirectedCalls int
	startDelay       time.Duration
	failing          bool
	hanging          bool
	ignoringOrders   bool
	// extraRunning and extraFinished are reported beside what is true.
	extraRunning  []worker.RunningTask
	extraFinished []worker.FinishedTask
	dropReplies   bool
	extraLatency  time.Duration
	// changed is closed and replaced whenever a task finishes.
	changed chan struct{}
	// endedRuns has the highest run of each task that ended or was stopped on the worker. Starts up to it are refused.
	endedRuns map[string]uint32
}

// fakeTask is one run on a worker.
type fakeTask struct {
	run       uint32
	startedAt time.Time
	// duration is the estimate of the step less the work in initialCheckpoint.
	duration          time.Duration
	step              *storev1.Step
	initialCheckpoint string
	// pacePercent affects the tail latency of other tasks on the worker; it doesn't slow the task down.
	pacePercent int
	// stopRequestedAt is zero if no stop was ordered.
	stopRequestedAt time.Time
}

// percent returns the progress of a task in percent, above 100 if it waits for other members of its gang. It is always 100
// for a long-running task, and 0 on a worker whose tasks hang.
func (t *fakeTask) percent(hanging bool) float64 {
	switch {
	case hanging:
		return 0
	case t.step.GetLongRunning():
		return 100
	default:
		return math.Floor(100 * float64(time.Since(t.startedAt)) / float64(max(t.duration, 1)))
	}
}

// NewWorkers returns workers with 8 accelerators, 32 cores and 64 GiB of memory each, named w00, w01, ..., with four workers
// on each rack. The function findJob returns the job with an id.
func NewWorkers(count int, findJob func(id string) *storev1.Job) *Workers {
	w := &Workers{
		byID: map[string]*fakeWorker{}, findJob: findJob, startCounts: map[string]int{}, done: map[string]bool{},
		latestRuns: map[string]uint32{}, StopDuration: defaultStopDuration, CrashDuration: CrashDuration,
	}
	for i := range count {
		w.add(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/4))
		w.byID[fmt.Sprintf("w%02d", i)].entry.DataCentre = fmt.Sprintf("z%d", i%2)
	}
	return w
}

func (w *Workers) add(id, rack string) {
	w.byID[id] = newWorker(worker.RegistryEntry{
		ID: id, Service: "s", Address: id + ":1", Rack: rack, Labels: []string{"a", rack},
		Capacity: &storev1.Resources{CpuMillicores: 32000, MemoryMb: 65536, Accelerators: 8},
	})
}

func newWorker(entry worker.RegistryEntry) *fakeWorker {
	entry.StartedAtMs = time.Now().UnixMilli()
	return &fakeWorker{
		entry: entry, limit: entry.Capacity.GetAccelerators(), startedAt: time.Now(), running: map[string]*fakeTask{}, endedRuns: map[string]uint32{},
		changed: make(chan struct{}),
	}
}

// Add adds a worker on rack r0.
func (w *Workers) Add(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.add(id, "r0")
}

// SetAddress gives a worker another address.
func (w *Workers) SetAddress(id, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].entry.Address = address
}

// Entries returns the registry entries of all workers.
func (w *Workers) Entries() []worker.RegistryEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []worker.RegistryEntry
	for _, fake := range w.byID {
		if !fake.replaced {
			entries = append(entries, fake.entry)
		}
	}
	return entries
}

// SetUnreachable makes a worker drop all orders, or answer them again. Its tasks keep running.
func (w *Workers) SetUnreachable(id string, unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].unreachable = unreachable
}

// DropReplies makes a worker carry out starts without a reply and drop all other orders, or answer all orders again.
func (w *Workers) DropReplies(id string, drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].unreachable, w.byID[id].dropReplies = drop, drop
}

// AddToReports makes all reports of a worker contain a running and a finished task that it doesn't have.
func (w *Workers) AddToReports(id string, running worker.RunningTask, finished worker.FinishedTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].extraRunning = append(w.byID[id].extraRunning, running)
	w.byID[id].extraFinished = append(w.byID[id].extraFinished, finished)
}

// lateExecution is how late a start is carried out whose call is lost by LoseCalls.
const lateExecution = 3 * time.Second

// LoseCalls makes every n-th call to any worker get no answer; a start is carried out later. 0 loses none.
func (w *Workers) LoseCalls(every int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseEvery, w.calls = every, 0
}

// losesCall counts a call and reports whether it is lost.
func (w *Workers) losesCall() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	return w.loseEvery > 0 && w.calls%w.loseEvery == 0
}

// IgnoreOrders makes a worker drop all orders but polls, or carry them out again.
func (w *Workers) IgnoreOrders(id string, ignore bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].ignoringOrders = ignore
}

// SetAccelerators changes the accelerators in a worker's registry entry. Starts must not exceed fewer ones once grace has passed.
func (w *Workers) SetAccelerators(id string, count uint32, grace time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fake := w.byID[id]
	fake.entry.Capacity = &storev1.Resources{
		CpuMillicores: fake.entry.Capacity.GetCpuMillicores(), MemoryMb: fake.entry.Capacity.GetMemoryMb(), Accelerators: count,
	}
	if count >= fake.limit {
		fake.limit = count
		return
	}
	time.AfterFunc(grace, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if fake.entry.Capacity.GetAccelerators() == count {
			fake.limit = count
		}
	})
}

// FailTasks makes all tasks on a worker fail, those that run and those that start later.
func (w *Workers) FailTasks(id string) { w.SetFailing(id, true) }

// SetFailing makes all tasks on a worker fail, or makes later ones work again.
func (w *Workers) SetFailing(id string, failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].failing = failing
}

// FailOne makes one of the tasks that run on a worker fail.
func (w *Workers) FailOne(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range w.byID[id].running {
		w.byID[id].finish(name, worker.Failed)
		return
	}
}

// FailTask makes a task fail if it runs.
func (w *Workers) FailTask(task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fake := range w.byID {
		if _, running := fake.running[task]; running {
			fake.finish(task, worker.Failed)
			return
		}
	}
}

// DropStarts makes all workers drop starts, or accept them again. A worker under DropReplies still
// carries out starts.
func (w *Workers) DropStarts(drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropStarts = drop
}

// DropPolls makes all workers drop polls, or answer them again.
func (w *Workers) DropPolls(drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropPolls = drop
}

// HangTasks makes all tasks on a worker hang: they report no progress and never finish as done.
func (w *Workers) HangTasks(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].hanging = true
}

// SetExtraLatency sets how much longer than callLatency a worker takes to answer.
func (w *Workers) SetExtraLatency(id string, latency time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].extraLatency = latency
}

// SetClocksAhead sets how far the time of day of all workers is ahead of the instances'.
func (w *Workers) SetClocksAhead(ahead time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fake := range w.byID {
		fake.clockAhead = ahead
		fake.entry.StartedAtMs = fake.startedAt.Add(ahead).UnixMilli()
	}
}

// DelayNextStart makes a worker carry out the next start after a delay and without a reply. 0 cancels the delay.
func (w *Workers) DelayNextStart(id string, delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].startDelay = delay
}

// Violations returns the violations that were detected: starts of a task that runs or has finished as done, starts with an
// invalid ticket or a wrong spec, and tasks that need more accelerators than their worker has.
func (w *Workers) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// StartCount returns the number of times that a task has started, over all runs.
func (w *Workers) StartCount(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startCounts[task]
}

// StartedTasks returns the names of the tasks that started at least once, sorted.
func (w *Workers) StartedTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.startCounts))
}

// RunningTasks returns the names of the running tasks of all workers, sorted.
func (w *Workers) RunningTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []string
	for _, fake := range w.byID {
		w.finishTasks(fake)
		tasks = slices.AppendSeq(tasks, maps.Keys(fake.running))
	}
	slices.Sort(tasks)
	return tasks
}

// MaxConcurrentStarts returns the highest number of Start calls that were in progress at once.
func (w *Workers) MaxConcurrentStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxActiveStarts
}

// RunCount returns the number of tasks that run on a worker.
func (w *Workers) RunCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishTasks(w.byID[id])
	return len(w.byID[id].running)
}

func (w *Workers) addViolation(format string, values ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, values...))
}
