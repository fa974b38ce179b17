package mock

import (
	"strings"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// CrashDuration is the default of Workers.CrashDuration.
const CrashDuration = 3 * time.Second

// idSuffix is appended to the id of a worker that returns under a new one.
const idSuffix = "'"

// FirstID returns the id of the first incarnation of a worker.
func FirstID(id string) string { return strings.TrimRight(id, idSuffix) }

// CrashTasks makes each worker crash some time after it has started one of the tasks that crashing selects. The worker returns
// after CrashDuration and knows nothing of before. It has the same id if returned is nil, and otherwise a new one, with which
// returned is called.
func (w *Workers) CrashTasks(crashing func(task string) bool, after time.Duration, returned func(old, id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashing, w.crashAfter, w.returned = crashing, after, returned
}

// Crash makes a worker crash as if it had started a task of CrashTasks.
func (w *Workers) Crash(id string) {
	w.mu.Lock()
	returned := w.returned
	w.mu.Unlock()
	w.CrashAs(id, returned)
}

// CrashAs is Crash for a worker that returns as given by returned, whatever CrashTasks was called with.
func (w *Workers) CrashAs(id string, returned func(old, id string)) {
	w.mu.Lock()
	fake := w.byID[id]
	w.mu.Unlock()
	w.crash(fake, returned)
}

// ChangeOnReturn makes a worker return as another kind after its next crash.
func (w *Workers) ChangeOnReturn(id string, change func(*worker.RegistryEntry)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id].change = change
}

// Replace ends the incarnation of a worker and starts the next one at once, under a new id, which it returns.
func (w *Workers) Replace(id string) (next string) {
	w.mu.Lock()
	fake := w.byID[id]
	w.end(fake)
	w.mu.Unlock()
	w.restart(fake, func(_, id string) { next = id })
	return next
}

func (w *Workers) crash(fake *fakeWorker, returned func(old, id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fake.down || fake.replaced {
		return
	}
	w.end(fake)
	fake.downSince = time.Now()
	time.AfterFunc(w.CrashDuration, func() { w.restart(fake, returned) })
}

// end ends the incarnation of a worker and all that it knows.
func (w *Workers) end(fake *fakeWorker) {
	w.finishTasks(fake)
	for _, finished := range fake.finished {
		delete(w.done, finished.Task) // nobody has seen these ends
	}
	fake.down = true
	fake.running, fake.finished = map[string]*fakeTask{}, nil
	close(fake.changed)
	fake.changed = make(chan struct{})
}

// restart starts the next incarnation of a crashed worker.
func (w *Workers) restart(fake *fakeWorker, returned func(old, id string)) {
	w.mu.Lock()
	next := newWorker(fake.entry)
	next.limit, next.clockAhead = fake.limit, fake.clockAhead
	next.entry.StartedAtMs = next.startedAt.Add(next.clockAhead).UnixMilli()
	if fake.change != nil {
		fake.change(&next.entry)
		next.limit = next.entry.Capacity.GetAccelerators()
	}
	if returned != nil {
		next.entry.ID += idSuffix
	} else if w.Register != nil {
		time.AfterFunc(w.RegisterDelay, func() { w.Register(next.entry.ID) })
	}
	fake.down, fake.replaced = false, true
	w.byID[next.entry.ID] = next
	w.mu.Unlock()
	if returned != nil {
		returned(fake.entry.ID, next.entry.ID)
	}
}

// misdirected reports whether another incarnation has replaced the worker, and counts the call then.
func (f *fakeWorker) misdirected() bool {
	if f.replaced {
		f.misdirectedCalls++
	}
	return f.replaced
}

// MisdirectedCalls returns the number of calls for a worker since it returned under another id.
func (w *Workers) MisdirectedCalls(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.byID[id].misdirectedCalls
}

// WorkerOf returns the id of the worker that runs a task; empty if none does.
func (w *Workers) WorkerOf(task string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, fake := range w.byID {
		w.finishTasks(fake)
		if _, running := fake.running[task]; running {
			return id
		}
	}
	return ""
}

// DownFor returns for how long a worker has been down after a crash; 0 if it isn't down.
func (w *Workers) DownFor(id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.byID[id].down {
		return 0
	}
	return time.Since(w.byID[id].downSince)
}

// Stopping reports whether a worker is stopping a task.
func (w *Workers) Stopping(id, task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finishTasks(w.byID[id])
	running, known := w.byID[id].running[task]
	return known && !running.stopRequestedAt.IsZero()
}
