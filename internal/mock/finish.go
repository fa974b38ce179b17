package mock

import (
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// finishTasks finishes the tasks of a worker that have ended by now.
func (w *Workers) finishTasks(fake *fakeWorker) {
	now := time.Now()
	if fake.clockMs() > fake.leaseEndMs {
		w.releaseFinished(fake)
	}
	for name, task := range fake.running {
		switch {
		case fake.clockMs() > fake.leaseEndMs:
			fake.finish(name, worker.LeaseExpired)
		case !task.stopRequestedAt.IsZero() && now.Sub(task.stopRequestedAt) >= w.StopDuration:
			fake.finish(name, worker.Stopped)
		case fake.failing:
			fake.finish(name, worker.Failed)
		case now.Sub(task.startedAt) > gangWait && !w.gangStarted(name, task):
			fake.finish(name, worker.GangIncomplete)
		case fake.hanging || task.step.GetLongRunning():
		case now.Sub(task.startedAt) >= task.duration && w.mayFinish(name, task):
			w.done[name] = true
			fake.finish(name, worker.Done)
		}
	}
}

// releaseFinished lets the tasks start again that had finished as done when the lease of their worker expired, and whose reports
// nobody had acknowledged by then.
func (w *Workers) releaseFinished(fake *fakeWorker) {
	for _, finished := range fake.finished {
		if finished.Number > fake.released && finished.Reason == worker.Done {
			delete(w.done, finished.Task)
		}
	}
	fake.released = fake.lastNumber
}

// checkpoint returns the work that a task has saved, as the text of a duration. It is empty for a step without checkpoints.
func (t *fakeTask) checkpoint() string {
	if !t.step.GetCheckpointing() {
		return ""
	}
	saved, _ := time.ParseDuration(t.initialCheckpoint) // empty for the first run
	return (saved + time.Since(t.startedAt)).String()
}

// mayFinish reports whether a task that has done its work may finish as done. The members of a gang finish together, once
// all of them have done their work.
func (w *Workers) mayFinish(name string, task *fakeTask) bool {
	taskID, err := replica.ParseTask(name)
	if err != nil || !task.step.GetGang() {
		return err == nil
	}
	for index := range int(task.step.GetCount()) {
		taskID.Index = index
		if !w.done[taskID.String()] && !w.hasWorked(taskID.String(), task.run) {
			return false
		}
	}
	return true
}

// gangStarted reports whether all members of the gang have started in the task's run or a later one. It is true for a task
// outside a gang.
func (w *Workers) gangStarted(name string, task *fakeTask) bool {
	taskID, err := replica.ParseTask(name)
	if err != nil || !task.step.GetGang() {
		return true
	}
	for index := range int(task.step.GetCount()) {
		taskID.Index = index
		if w.latestRuns[taskID.String()] < task.run {
			return false
		}
	}
	return true
}

// hasWorked reports whether a run has done its work and is still running on one of the workers.
func (w *Workers) hasWorked(name string, run uint32) bool {
	for _, fake := range w.byID {
		if task, ok := fake.running[name]; ok && task.run == run && !fake.hanging && time.Since(task.startedAt) >= task.duration {
			return true
		}
	}
	return false
}

// finish ends the run of a task and wakes the polls that wait on the worker.
func (f *fakeWorker) finish(name string, reason worker.FinishReason) {
	f.lastNumber++
	f.finished = append(f.finished, worker.FinishedTask{
		Number: f.lastNumber, Task: name, Run: f.running[name].run, Reason: reason, Checkpoint: f.running[name].checkpoint(),
	})
	f.endedRuns[name] = max(f.endedRuns[name], f.running[name].run)
	delete(f.running, name)
	close(f.changed)
	f.changed = make(chan struct{})
}
