package mock

import "time"

// crashDuration is how long a crashed worker is down.
const crashDuration = 3 * time.Second

// CrashTasks makes each worker crash some time after it has started one of the tasks that crashing selects. The worker returns
// after crashDuration and knows nothing of before. It has the same id if returned is nil, and otherwise a new one, with which
// returned is called.
func (w *Workers) CrashTasks(crashing func(task string) bool, after time.Duration, returned func(old, id string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashing, w.crashAfter, w.returned = crashing, after, returned
}

// Crash makes a worker crash as if it had started a task of CrashTasks.
func (w *Workers) Crash(id string) {
	w.mu.Lock()
	fake := w.byID[id]
	w.mu.Unlock()
	w.crash(fake)
}

func (w *Workers) crash(fake *fakeWorker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fake.down || fake.replaced {
		return
	}
	w.finishTasks(fake)
	for _, finished := range fake.finished {
		delete(w.done, finished.Task) // nobody has seen these ends
	}
	fake.down = true
	fake.running, fake.finished = map[string]*fakeTask{}, nil
	close(fake.changed)
	fake.changed = make(chan struct{})
	time.AfterFunc(crashDuration, func() { w.restart(fake) })
}

// restart starts the next incarnation of a crashed worker.
func (w *Workers) restart(fake *fakeWorker) {
	w.mu.Lock()
	returned := w.returned
	next := newWorker(fake.entry)
	if returned != nil {
		next.entry.ID += "'"
	}
	next.limit = fake.limit
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
		if _, running := fake.running[task]; running {
			return id
		}
	}
	return ""
}
