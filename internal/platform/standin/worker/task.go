package worker

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
)

// wholePPM is all the work of a task.
const wholePPM = 1_000_000

// fullSpeed is the permille of a worker of speed 1 and of an unthrottled task.
const fullSpeed = 1000

type taskKey struct {
	job    string
	run    uint32
	member uint32
	// attempt tells starts of one run apart.
	attempt uint64
}

func keyOf(id *apiv1.TaskId) taskKey {
	return taskKey{job: id.GetJob(), run: id.GetRun(), member: id.GetMember(), attempt: id.GetAttempt()}
}

// task is one lease. Its progress is a straight line from (since, ppm) on.
type task struct {
	key         taskKey
	dataCentre  string
	lease       *apiv1.Lease
	state       apiv1.TaskState
	epoch       uint64 // of the last call that prolonged the lease
	round       uint64 // of that call
	expiry      time.Time
	since       time.Time
	ppm         float64
	throttle    uint32
	checkpoint  uint32
	historyItem int // index of the running interval in the history
}

// rate is the progress in ppm of one nanosecond.
func (t *task) rate(speedPermille uint32) float64 {
	work := float64(max(t.lease.GetWorkMs(), 1)) * float64(time.Millisecond)
	speed := float64(speedPermille) / fullSpeed * float64(t.throttle) / fullSpeed
	return wholePPM / work * speed
}

// advance moves the progress of a running task to now, or to its end if that came before.
// It returns the instant of the end and whether the work is done.
func (t *task) advance(now time.Time, speedPermille uint32) (time.Time, bool) {
	rate := t.rate(speedPermille)
	end := t.since.Add(time.Duration((wholePPM - t.ppm) / rate))
	if rate > 0 && !end.After(now) {
		t.ppm = wholePPM
		t.since = end
		return end, true
	}
	t.ppm += rate * float64(now.Sub(t.since))
	t.since = now
	return time.Time{}, false
}

// settle brings all tasks to now: those whose work is done finish, those whose lease ran out end.
// Each ends at its own instant, however late settle is called.
func (w *Worker) settle(now time.Time) {
	for _, t := range w.sortedTasks() {
		until := now
		lapsed := !t.expiry.After(now)
		if lapsed {
			until = t.expiry
		}
		if t.state == apiv1.TaskState_TASK_STATE_RUNNING {
			if end, done := t.advance(until, w.description.GetSpeedPermille()); done {
				w.endTask(t, end, CauseFinished)
				t.state = apiv1.TaskState_TASK_STATE_FINISHED
				t.checkpoint = wholePPM
				w.report(end)
			}
		}
		if lapsed {
			w.drop(t, t.expiry, CauseLapsed)
		}
	}
}

// sortedTasks returns the tasks in the order of their keys, so that runs repeat exactly.
func (w *Worker) sortedTasks() []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.key.job, b.key.job), cmp.Compare(a.key.run, b.key.run), cmp.Compare(a.key.member, b.key.member), cmp.Compare(a.key.attempt, b.key.attempt))
	})
	return tasks
}

// startTask begins a reserved task.
func (w *Worker) startTask(t *task, now time.Time, epoch uint64) {
	t.state = apiv1.TaskState_TASK_STATE_RUNNING
	t.since = now
	t.historyItem = len(w.history.Tasks)
	w.history.Tasks = append(w.history.Tasks, TaskRun{
		Job: t.key.job, Run: t.key.run, Member: t.key.member,
		Worker: w.description.GetName(), Epoch: epoch, Start: now,
	})
	w.report(now)
}

// endTask closes the interval of a running task.
func (w *Worker) endTask(t *task, now time.Time, cause EndCause) {
	if t.state != apiv1.TaskState_TASK_STATE_RUNNING {
		return
	}
	w.history.Tasks[t.historyItem].End = now
	w.history.Tasks[t.historyItem].Cause = cause
}

// drop ends a task and frees what it holds.
func (w *Worker) drop(t *task, now time.Time, cause EndCause) {
	w.endTask(t, now, cause)
	delete(w.tasks, t.key)
	w.report(now)
}

func (w *Worker) endAll(now time.Time, cause EndCause) {
	for _, t := range w.sortedTasks() {
		w.drop(t, now, cause)
	}
}

// failAll makes the running tasks fail; they keep their leases until the owner stops them.
func (w *Worker) failAll(now time.Time) {
	for _, t := range w.sortedTasks() {
		if t.state == apiv1.TaskState_TASK_STATE_RUNNING {
			w.endTask(t, now, CauseFailed)
			t.state = apiv1.TaskState_TASK_STATE_FAILED
		}
	}
	w.report(now)
}
