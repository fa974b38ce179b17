package mock

import (
	"context"
	"time"

	"github.com/dotterelgauge/dotterelgauge/internal/replica"
	"github.com/dotterelgauge/dotterelgauge/internal/worker"
)

// reach waits for the worker; it is nil if it doesn't answer in time.
func (w *Workers) reach(ctx context.Context, id string) *mockHost {
	w.mu.Lock()
	host := w.hosts[id]
	unreachable := host == nil || host.silent
	wait := latency
	if host != nil {
		wait += host.latency
	}
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(wait):
	}
	if unreachable {
		<-ctx.Done()
		return nil
	}
	return host
}

func (h *mockHost) clock() int64 { return time.Since(h.born).Milliseconds() }

func (h *mockHost) reply() worker.Reply {
	return worker.Reply{ClockMs: h.clock() + 1, StartedAtMs: h.born.UnixMilli()}
}

// settle ends what is over by now.
func (w *Workers) settle(h *mockHost) {
	now := time.Now()
	for name, task := range h.running {
		switch {
		case h.clock() > h.until:
			h.end(name, worker.LeaseExpired)
		case !task.stopping.IsZero() && now.Sub(task.stopping) >= w.StopDuration:
			h.end(name, worker.Stopped)
		case h.fails:
			h.end(name, worker.Failed)
		case now.Sub(task.started) > gangTime && !w.present(name, task):
			h.end(name, worker.GangIncomplete)
		case h.hangs || task.step.GetLongRunning():
		case now.Sub(task.started) >= task.takes && w.whole(name, task):
			w.done[name] = true
			h.end(name, worker.Done)
		}
	}
}

// checkpoint is the work that a task has saved, as a duration.
func (t *mockTask) checkpoint() string {
	if !t.step.GetCheckpointing() {
		return ""
	}
	saved, _ := time.ParseDuration(t.saved) // empty at the first run
	return (saved + time.Since(t.started)).String()
}

// whole tells whether a task may end as done: the members of a gang end together, once all of them have done their work.
func (w *Workers) whole(name string, task *mockTask) bool {
	named, err := replica.ParseTask(name)
	if err != nil || !task.step.GetGang() {
		return err == nil
	}
	for index := range int(task.step.GetCount()) {
		named.Index = index
		if !w.done[named.String()] && !w.worked(named.String(), task.run) {
			return false
		}
	}
	return true
}

// present tells whether all members of a gang's run are on workers, or were; a task that is no gang's is present.
func (w *Workers) present(name string, task *mockTask) bool {
	named, err := replica.ParseTask(name)
	if err != nil || !task.step.GetGang() {
		return true
	}
	for index := range int(task.step.GetCount()) {
		named.Index = index
		if w.newest[named.String()] < task.run {
			return false
		}
	}
	return true
}

// worked tells whether a run has done its work on one of the workers.
func (w *Workers) worked(name string, run uint32) bool {
	for _, host := range w.hosts {
		if task, ok := host.running[name]; ok && task.run == run && !host.hangs && time.Since(task.started) >= task.takes {
			return true
		}
	}
	return false
}

func (h *mockHost) end(name string, how worker.FinishReason) {
	h.number++
	h.ended = append(h.ended, worker.FinishedTask{Number: h.number, Task: name, Run: h.running[name].run, Reason: how, Checkpoint: h.running[name].checkpoint()})
	h.over[name] = max(h.over[name], h.running[name].run)
	delete(h.running, name)
	close(h.changed)
	h.changed = make(chan struct{})
}

// fenced tells whether an order is refused, and raises the worker's fence.
func (h *mockHost) fenced(fence int64) bool {
	if fence < h.fence {
		return true
	}
	h.fence = fence
	return false
}

func refuse(refusal worker.Refusal) error { return &worker.RefusedError{Refusal: refusal} }

// Start implements worker.Client.
func (w *Workers) Start(ctx context.Context, target worker.Target, order worker.Start) (worker.Reply, error) {
	w.count(1)
	defer w.count(-1)
	host := w.reach(ctx, target.ID)
	if host == nil {
		w.carryOutUnheard(order, target.ID)
		return worker.Reply{}, worker.ErrNoAnswer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deaf {
		return worker.Reply{}, worker.ErrNoAnswer
	}
	if host.late > 0 {
		time.AfterFunc(host.late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_ = w.begin(host, order) // a late order has nobody to tell
		})
		host.late = 0
		return worker.Reply{}, worker.ErrNoAnswer
	}
	return host.reply(), w.begin(host, order)
}

// count counts the starts under way.
func (w *Workers) count(change int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starting += change
	w.most = max(w.most, w.starting)
}

// carryOutUnheard carries out a start whose answer gets lost.
func (w *Workers) carryOutUnheard(order worker.Start, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if host := w.hosts[id]; host != nil && host.unheard {
		_ = w.begin(host, order) // nobody hears the answer
	}
}

// begin carries out a start.
func (w *Workers) begin(host *mockHost, order worker.Start) error {
	w.settle(host)
	if host.fenced(order.Fence) {
		return refuse(worker.RefusedFence)
	}
	if order.LeaseEndMs < host.clock() {
		return refuse(worker.RefusedLeaseExpired)
	}
	host.until = max(host.until, order.LeaseEndMs)
	if known, ok := host.running[order.Task]; ok && known.run == order.Run {
		return nil
	}
	if order.Run <= host.over[order.Task] {
		return refuse(worker.RefusedOldRun)
	}
	w.check(host, order)
	task, err := replica.ParseTask(order.Task)
	if err != nil {
		return refuse(worker.RefusedInvalid)
	}
	step := w.job(task.Job).GetSteps()[task.Step]
	saved, _ := time.ParseDuration(order.Checkpoint) // empty at the first run
	host.running[order.Task] = &mockTask{
		run: order.Run, started: time.Now(), takes: time.Duration(step.GetEstimateMs())*time.Millisecond - saved, step: step,
		saved: order.Checkpoint, pace: 100,
	}
	if w.TicketValid != nil && !w.TicketValid(order, host.entry.ID) {
		w.violate("%s starts on %s without a ticket", order.Task, host.entry.ID)
	}
	w.starts[order.Task]++
	w.newest[order.Task] = max(w.newest[order.Task], order.Run)
	if spec := w.job(task.Job).GetSpec(); order.Spec != spec {
		w.violate("%s starts with the text %q, its job has %q", order.Task, order.Spec, spec)
	}
	var used uint32
	for _, running := range host.running {
		used += running.step.GetNeed().GetAccelerators()
	}
	if used > host.entry.Capacity.GetAccelerators() {
		w.violate("%s runs %d accelerators' worth of tasks", host.entry.ID, used)
	}
	return nil
}

// check looks for a second run of the task.
func (w *Workers) check(host *mockHost, order worker.Start) {
	if w.done[order.Task] {
		w.violate("%s starts on %s after it was done", order.Task, host.entry.ID)
	}
	for _, other := range w.hosts {
		w.settle(other)
		if _, running := other.running[order.Task]; running {
			w.violate("%s starts on %s while it runs on %s", order.Task, host.entry.ID, other.entry.ID)
		}
	}
}

// Stop implements worker.Client.
func (w *Workers) Stop(ctx context.Context, target worker.Target, order worker.Stop) (worker.Reply, error) {
	host := w.reach(ctx, target.ID)
	if host == nil {
		return worker.Reply{}, worker.ErrNoAnswer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(host)
	if host.fenced(order.Fence) {
		return host.reply(), refuse(worker.RefusedFence)
	}
	if task, ok := host.running[order.Task]; ok && task.run <= order.Run && task.stopping.IsZero() {
		task.stopping = time.Now()
	} else if !ok {
		host.over[order.Task] = max(host.over[order.Task], order.Run)
	}
	return host.reply(), nil
}

// Poll implements worker.Client.
func (w *Workers) Poll(ctx context.Context, target worker.Target, order worker.Poll) (worker.Report, error) {
	host := w.reach(ctx, target.ID)
	if host == nil || w.muted() {
		return worker.Report{}, worker.ErrNoAnswer
	}
	deadline := time.Now().Add(order.Wait)
	for {
		report, wait, err := w.report(host, order)
		if err != nil || wait == nil || !time.Now().Before(deadline) {
			return report, err
		}
		select {
		case <-ctx.Done():
			return worker.Report{}, worker.ErrNoAnswer
		case <-wait:
		case <-time.After(min(w.StopDuration, time.Until(deadline))):
		}
	}
}

func (w *Workers) muted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mute
}

// report returns what a worker says now; the channel is nil if it need not wait.
func (w *Workers) report(host *mockHost, order worker.Poll) (worker.Report, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if host.fenced(order.Fence) {
		return worker.Report{Reply: host.reply()}, nil, refuse(worker.RefusedFence)
	}
	host.until = max(host.until, order.LeaseEndMs)
	w.settle(host)
	var kept []worker.FinishedTask
	for _, end := range host.ended {
		if end.Number > order.Acknowledged {
			kept = append(kept, end)
		}
	}
	host.ended = kept
	report := worker.Report{Reply: host.reply(), Finished: append([]worker.FinishedTask(nil), kept...)}
	for name, task := range host.running {
		if !task.stopping.IsZero() {
			continue
		}
		report.Running = append(report.Running, worker.RunningTask{
			Task: name, Run: task.run, Percent: task.percent(host.hangs), Load: host.load(task), Checkpoint: task.checkpoint(),
		})
	}
	if len(kept) > 0 {
		return report, nil, nil
	}
	return report, host.changed, nil
}

// load is the tail latency of a task that serves: half its target, and as much again for each task that fills beside it.
func (h *mockHost) load(task *mockTask) float64 {
	target := float64(task.step.GetTargetMs())
	load := target / 2
	for _, other := range h.running {
		if other.step.GetFills() {
			load += target / 2 * float64(other.pace) / 100
		}
	}
	return load
}

// WorstTailLatencyMs returns the worst tail latency on a worker.
func (w *Workers) WorstTailLatencyMs(id string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	worst := 0.0
	for _, task := range w.hosts[id].running {
		worst = max(worst, w.hosts[id].load(task))
	}
	return worst
}

// Pace implements worker.Client.
func (w *Workers) Pace(ctx context.Context, target worker.Target, order worker.Pace) (worker.Reply, error) {
	host := w.reach(ctx, target.ID)
	if host == nil {
		return worker.Reply{}, worker.ErrNoAnswer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if host.fenced(order.Fence) {
		return host.reply(), refuse(worker.RefusedFence)
	}
	if task, ok := host.running[order.Task]; ok && task.run == order.Run {
		task.pace = order.Percent
	}
	return host.reply(), nil
}
