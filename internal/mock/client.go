package mock

import (
	"context"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// connect waits for the latency of a call and returns the worker. If the worker is unreachable, or ignores orders and the call is
// one, it waits until ctx ends and returns nil. A call without an address goes to the worker with the id.
func (w *Workers) connect(ctx context.Context, target worker.Target, order bool) *fakeWorker {
	lost := w.losesCall()
	w.mu.Lock()
	fake := w.byID[target.ID]
	if fake != nil && target.Address != "" && fake.entry.Address != target.Address {
		fake = w.otherAt(target.Address)
	}
	unreachable := lost || fake == nil || fake.unreachable || (order && fake.ignoringOrders)
	wait := callLatency
	if fake != nil {
		wait += fake.extraLatency
	}
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(wait):
	}
	w.mu.Lock()
	down := fake != nil && fake.down
	w.mu.Unlock()
	if down {
		return nil
	}
	if unreachable {
		<-ctx.Done()
		return nil
	}
	return fake
}

// otherAt returns a worker that refuses all calls if one has the address; nil if none has.
func (w *Workers) otherAt(address string) *fakeWorker {
	for _, fake := range w.byID {
		if fake.entry.Address == address && !fake.replaced {
			return &fakeWorker{replaced: true}
		}
	}
	return nil
}

func (f *fakeWorker) clockMs() int64 { return time.Since(f.startedAt).Milliseconds() }

func (f *fakeWorker) reply() worker.Reply {
	return worker.Reply{ClockMs: f.clockMs() + 1, StartedAtMs: f.startedAt.Add(f.clockAhead).UnixMilli()}
}

// extendLease extends the lease of a worker to endMs on its clock, within MaxLease.
func (w *Workers) extendLease(fake *fakeWorker, endMs int64) {
	if w.MaxLease > 0 {
		endMs = min(endMs, fake.clockMs()+w.MaxLease.Milliseconds())
	}
	fake.leaseEndMs = max(fake.leaseEndMs, endMs)
}

// fenced reports whether a higher fencing token was used before. Otherwise it records the token.
func (f *fakeWorker) fenced(fence int64) bool {
	if fence < f.fence {
		return true
	}
	f.fence = fence
	return false
}

func refusedError(refusal worker.Refusal) error { return &worker.RefusedError{Refusal: refusal} }

// Start implements worker.Client.
func (w *Workers) Start(ctx context.Context, target worker.Target, order worker.Start) (worker.Reply, error) {
	w.addActiveStarts(1)
	defer w.addActiveStarts(-1)
	fake := w.connect(ctx, target, true)
	if fake == nil {
		w.startWithoutReply(order, target.ID)
		w.startLate(order, target.ID)
		return worker.Reply{}, worker.ErrNoAnswer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if fake.misdirected() {
		return worker.Reply{}, refusedError(worker.RefusedIncarnation)
	}
	if w.dropStarts {
		return worker.Reply{}, worker.ErrNoAnswer
	}
	if fake.startDelay > 0 {
		time.AfterFunc(fake.startDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_ = w.startTask(fake, order) // the caller already got ErrNoAnswer
		})
		fake.startDelay = 0
		return worker.Reply{}, worker.ErrNoAnswer
	}
	return fake.reply(), w.startTask(fake, order)
}

// addActiveStarts changes the number of Start calls in progress and updates its maximum.
func (w *Workers) addActiveStarts(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activeStarts += change
	w.maxActiveStarts = max(w.maxActiveStarts, w.activeStarts)
}

// startWithoutReply carries out a start on a worker whose replies are dropped, and does nothing for other workers.
func (w *Workers) startWithoutReply(order worker.Start, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fake := w.byID[id]; fake != nil && fake.dropReplies {
		_ = w.startTask(fake, order) // the reply is dropped
	}
}

// startLate carries out a start without a reply after lateExecution, if calls are lost.
func (w *Workers) startLate(order worker.Start, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.loseEvery == 0 {
		return
	}
	time.AfterFunc(lateExecution, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if fake := w.byID[id]; fake != nil && !fake.down && !fake.replaced {
			_ = w.startTask(fake, order) // the caller got no answer
		}
	})
}

// startTask carries out a start, or returns the refusal. It records a violation if the start breaks a guarantee. A worker that has
// crashed carries out nothing.
func (w *Workers) startTask(fake *fakeWorker, order worker.Start) error {
	if fake.down || fake.replaced {
		return worker.ErrNoAnswer
	}
	w.finishTasks(fake)
	if fake.fenced(order.Fence) {
		return refusedError(worker.RefusedFence)
	}
	if order.LeaseEndMs < fake.clockMs() {
		return refusedError(worker.RefusedLeaseExpired)
	}
	w.extendLease(fake, order.LeaseEndMs)
	if known, ok := fake.running[order.Task]; ok && known.run == order.Run {
		return nil
	}
	if order.Run <= fake.endedRuns[order.Task] {
		return refusedError(worker.RefusedOldRun)
	}
	w.checkDuplicateRun(fake, order)
	task, err := replica.ParseTask(order.Task)
	if err != nil {
		return refusedError(worker.RefusedInvalid)
	}
	step := w.findJob(task.Job).GetSteps()[task.Step]
	saved, _ := time.ParseDuration(order.Checkpoint) // empty for the first run
	fake.running[order.Task] = &fakeTask{
		run: order.Run, startedAt: time.Now(), duration: w.durationOf(order.Task, step) - saved, step: step,
		initialCheckpoint: order.Checkpoint, pacePercent: 100,
	}
	if w.TicketValid != nil && !w.TicketValid(order, fake.entry.ID) {
		w.addViolation("%s starts on %s without a valid ticket", order.Task, fake.entry.ID)
	}
	w.startCounts[order.Task]++
	if w.crashing != nil && w.crashing(order.Task) {
		returned := w.returned
		time.AfterFunc(w.crashAfter, func() { w.crash(fake, returned) })
	}
	w.latestRuns[order.Task] = max(w.latestRuns[order.Task], order.Run)
	if spec := w.findJob(task.Job).GetSpec(); order.Spec != spec {
		w.addViolation("%s starts with the spec %q, its job has %q", order.Task, order.Spec, spec)
	}
	var used uint32
	for _, running := range fake.running {
		used += running.step.GetNeed().GetAccelerators()
	}
	if used > fake.limit {
		w.addViolation("the tasks on %s need %d accelerators, more than it has", fake.entry.ID, used)
	}
	return nil
}

// durationOf returns how long a task runs without a checkpoint.
func (w *Workers) durationOf(task string, step *storev1.Step) time.Duration {
	if w.TaskDuration != nil {
		return w.TaskDuration(task)
	}
	return time.Duration(step.GetEstimateMs()) * time.Millisecond
}

// checkDuplicateRun records a violation if the task has finished as done or runs on any worker.
func (w *Workers) checkDuplicateRun(fake *fakeWorker, order worker.Start) {
	for _, other := range w.byID {
		w.finishTasks(other)
	}
	if w.done[order.Task] {
		w.addViolation("%s starts on %s after it finished as done", order.Task, fake.entry.ID)
	}
	for _, other := range w.byID {
		if _, running := other.running[order.Task]; running {
			w.addViolation("%s starts on %s while it runs on %s", order.Task, fake.entry.ID, other.entry.ID)
		}
	}
}

// Stop implements worker.Client.
func (w *Workers) Stop(ctx context.Context, target worker.Target, order worker.Stop) (worker.Reply, error) {
	fake := w.connect(ctx, target, true)
	if fake == nil {
		return worker.Reply{}, worker.ErrNoAnswer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if fake.misdirected() {
		return worker.Reply{}, refusedError(worker.RefusedIncarnation)
	}
	w.finishTasks(fake)
	if fake.fenced(order.Fence) {
		return fake.reply(), refusedError(worker.RefusedFence)
	}
	if task, ok := fake.running[order.Task]; ok && task.run <= order.Run && task.stopRequestedAt.IsZero() {
		task.stopRequestedAt = time.Now()
	} else if !ok {
		fake.endedRuns[order.Task] = max(fake.endedRuns[order.Task], order.Run)
	}
	return fake.reply(), nil
}

// Poll implements worker.Client.
func (w *Workers) Poll(ctx context.Context, target worker.Target, order worker.Poll) (worker.Report, error) {
	fake := w.connect(ctx, target, false)
	if fake == nil || w.pollsDropped() {
		return worker.Report{}, worker.ErrNoAnswer
	}
	deadline := time.Now().Add(order.Wait)
	for {
		report, wait, err := w.report(fake, order)
		order.LeaseEndMs = 0 // the lease is granted when the poll arrives
		if err != nil || wait == nil || !time.Now().Before(deadline) {
			return report, err
		}
		select {
		case <-ctx.Done():
			return worker.Report{}, worker.ErrNoAnswer
		case <-wait:
		case <-time.After(min(checkInterval, time.Until(deadline))):
		}
	}
}

func (w *Workers) pollsDropped() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropPolls
}

// report renews the lease, drops the acknowledged tasks and returns the report of a worker. The channel is closed when the
// next task finishes; it is nil if the poll has to return at once.
func (w *Workers) report(fake *fakeWorker, order worker.Poll) (worker.Report, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case fake.misdirected():
		return worker.Report{}, nil, refusedError(worker.RefusedIncarnation)
	case fake.down:
		return worker.Report{}, nil, worker.ErrNoAnswer
	case fake.fenced(order.Fence):
		return worker.Report{Reply: fake.reply()}, nil, refusedError(worker.RefusedFence)
	}
	w.finishTasks(fake)
	w.extendLease(fake, order.LeaseEndMs)
	var unacknowledged []worker.FinishedTask
	for _, finished := range fake.finished {
		if finished.Number > order.Acknowledged {
			unacknowledged = append(unacknowledged, finished)
		}
	}
	fake.finished = unacknowledged
	report := worker.Report{Reply: fake.reply(), Finished: append([]worker.FinishedTask(nil), unacknowledged...)}
	for name, task := range fake.running {
		if !task.stopRequestedAt.IsZero() {
			continue
		}
		report.Running = append(report.Running, worker.RunningTask{
			Task: name, Run: task.run, Percent: task.percent(fake.hanging), Load: fake.tailLatencyMs(task), Checkpoint: task.checkpoint(),
		})
	}
	report.Running = append(report.Running, fake.extraRunning...)
	report.Finished = append(report.Finished, fake.extraFinished...)
	if len(unacknowledged) > 0 {
		return report, nil, nil
	}
	return report, fake.changed, nil
}

// tailLatencyMs returns the tail latency of a serving task: half its target, plus half its target at full pace for each
// filler task on the same worker. It is 0 for other tasks.
func (f *fakeWorker) tailLatencyMs(task *fakeTask) float64 {
	target := float64(task.step.GetTargetMs())
	latency := target / 2
	for _, other := range f.running {
		if other.step.GetFills() {
			latency += target / 2 * float64(other.pacePercent) / 100
		}
	}
	return latency
}

// WorstTailLatencyMs returns the highest tail latency of the serving tasks on a worker, 0 if there are none.
func (w *Workers) WorstTailLatencyMs(id string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	worst := 0.0
	for _, task := range w.byID[id].running {
		worst = max(worst, w.byID[id].tailLatencyMs(task))
	}
	return worst
}

// Pace implements worker.Client.
func (w *Workers) Pace(ctx context.Context, target worker.Target, order worker.Pace) (worker.Reply, error) {
	fake := w.connect(ctx, target, true)
	if fake == nil {
		return worker.Reply{}, worker.ErrNoAnswer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if fake.fenced(order.Fence) {
		return fake.reply(), refusedError(worker.RefusedFence)
	}
	if task, ok := fake.running[order.Task]; ok && task.run == order.Run {
		task.pacePercent = order.Percent
	}
	return fake.reply(), nil
}
