package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns what broke its rule.
var cases = map[string]func(f *fleet, trouble bool) ([]string, error){
	"junk": playJunk, "lost": playLost, "avoid": playAvoid, "flap": playFlap, "kept": playKept, "pending": playPending, "twice-lost": playTwiceLost,
}

var errNotReady = errors.New("the instances are not ready in time")

// whole is the capacity of the workers.
var whole = room{Cpu: 32000, MemMb: 131072, Gpu: 8}

// instanceCount is the number of instances.
const instanceCount = 3

// begin starts the instances and waits until they are ready.
func (f *fleet) begin() error {
	if err := f.configure(); err != nil {
		return err
	}
	for n := range instanceCount {
		if err := f.addInstance(fmt.Sprintf("instance-%d", n+1)); err != nil {
			return err
		}
	}
	if !f.awaitReady() {
		return errNotReady
	}
	f.log("all instances are ready; %s gives the orders", f.owner().name)
	time.Sleep(2 * time.Second)
	return nil
}

// addWorkers adds workers of kind a, four a rack.
func (f *fleet) addWorkers(count int) error {
	for n := range count {
		if err := f.addWorker(fmt.Sprintf("w%d", n+1), fmt.Sprintf("i-%010d", n+1), whole, "a", fmt.Sprintf("r%d", n/4)); err != nil {
			return err
		}
	}
	return nil
}

// runningOn returns the worker on which a task runs; nil for none.
func (f *fleet) runningOn(task string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.starts {
		if s.task != task || !s.endedAt.IsZero() {
			continue
		}
		for _, w := range f.workers {
			if w.name == s.worker {
				return w
			}
		}
	}
	return nil
}

// awaitRunning waits until a task runs.
func (f *fleet) awaitRunning(task string, limit time.Duration) *worker {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if w := f.runningOn(task); w != nil {
			return w
		}
	}
	return nil
}

// ranWithin reports whether a task ran at any time between two times.
func (f *fleet) ranWithin(task string, from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.starts {
		if s.task == task && s.at.Before(to) && (s.endedAt.IsZero() || s.endedAt.After(from)) {
			return true
		}
	}
	return false
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a2100000000+n) }

// simpleJob returns a job of one step.
func simpleJob(n int, queue string, spec work, st step) *job {
	if spec.FailsMs == 0 {
		spec.FailsIndex = -1
	}
	if st.EstMs == 0 {
		st.EstMs = spec.RunsMs
	}
	return &job{id: jobID(n), queue: queue, spec: spec, steps: []step{st}}
}

// playLost: a worker is lost for good, and a few seconds later the instance that gives orders is killed and starts again.
func playLost(f *fleet, trouble bool) ([]string, error) {
	f.addQueue("batch", 2, 2, 3, 3*time.Second)
	if err := f.addWorkers(8); err != nil {
		return nil, err
	}
	if err := f.begin(); err != nil {
		return nil, err
	}
	long := simpleJob(1, "batch", work{RunsMs: 40000}, step{Count: 1, Cpu: 4000, MemMb: 4000, Gpu: 1})
	if !f.submit(long) {
		return nil, errors.New("the job was not accepted")
	}
	task := long.id + ".0.0.0"
	w := f.awaitRunning(task, 5*time.Second)
	if w == nil {
		return nil, errors.New("the task did not start")
	}
	time.Sleep(2 * time.Second)
	if !f.submit(simpleJob(2, "batch", work{RunsMs: 1000}, step{Count: 4, Cpu: 4000, MemMb: 4000, Gpu: 1})) {
		return nil, errors.New("the second job was not accepted")
	}
	end := time.Now()
	f.log("the traffic ends")
	if trouble {
		w.crash(true)
	}
	time.Sleep(4500 * time.Millisecond)
	if owner := f.owner(); trouble {
		if owner == nil {
			return nil, errors.New("no instance gives orders")
		}
		owner.signal(syscall.SIGKILL)
	}
	const finish, window = 14 * time.Second, 3 * time.Second
	time.Sleep(time.Until(end.Add(finish)))
	state := f.state(long)
	time.Sleep(time.Until(end.Add(finish + window)))
	if f.inUse() >= 0.5 {
		return nil, errors.New("half of the capacity is in use")
	}
	if !f.ranWithin(task, end.Add(finish), end.Add(finish+window)) && state != "completed" {
		return []string{fmt.Sprintf("LOST: from %v to %v after the end of the traffic %s is %s and has nothing running; "+
			"it needs 4000 of 32000 on each of 7 idle workers", finish, finish+window, long.id, state)}, nil
	}
	return nil, nil
}

// inUse returns the share of the cores of the workers that are up which their tasks need.
func (f *fleet) inUse() float64 {
	used, all := 0, 0
	for _, w := range f.workers {
		w.mu.Lock()
		if !w.down && !w.silent {
			all += w.capacity.Cpu
			for _, r := range w.running {
				used += r.need.Cpu
			}
		}
		w.mu.Unlock()
	}
	return float64(used) / float64(all)
}

// playJunk: another writer writes an entry under a worker's id, with a service that no page names and an address of its own.
func playJunk(f *fleet, trouble bool) ([]string, error) {
	f.addQueue("batch", 2, 2, 3, 3*time.Second)
	if err := f.addWorkers(4); err != nil {
		return nil, err
	}
	if err := f.begin(); err != nil {
		return nil, err
	}
	j := simpleJob(1, "batch", work{RunsMs: 12000}, step{Count: 1, Cpu: 4000, MemMb: 4000, Gpu: 1})
	if !f.submit(j) {
		return nil, errors.New("the job was not accepted")
	}
	w := f.awaitRunning(j.id+".0.0.0", 5*time.Second)
	if w == nil {
		return nil, errors.New("the task did not start")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		free, err := ports(1)
		if err != nil {
			return nil, err
		}
		f.log("another writer writes an entry under the id of %s", w.name)
		f.store.put(topicServers, w.id, fmt.Appendf(nil,
			`{"Service":"inventory","Address":"127.0.0.1:%d","Zone":"z1","Version":"7","State":"ready","Seq":1}`, free[0]))
	}
	time.Sleep(15 * time.Second)
	return f.twice(), nil
}

// twice returns the runs of one task that overlap on workers that are up, and the starts after an end that was taken note of.
func (f *fleet) twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	for i, a := range f.starts {
		for _, b := range f.starts[i+1:] {
			if a.task != b.task {
				continue
			}
			switch {
			case a.endedAt.IsZero() || a.endedAt.After(b.at):
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s and run %d on %s at the same time", a.task, a.run, a.worker, b.run, b.worker))
			case a.how == "done" && !a.noted.IsZero():
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d on %s after run %d ended done on %s", a.task, b.run, b.worker, a.run, a.worker))
			}
		}
	}
	return broken
}

// The limits of a worker that goes down and up by turns (`srv_flap`): the period, of which it is down for half, and how long.
const (
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
)

// playFlap: the 4 workers of one rack, of 44, go down and up by turns together for a while, and jobs need that rack.
func playFlap(f *fleet, trouble bool) ([]string, error) {
	f.addQueue("batch", 2, 3, 3, 3*time.Second)
	if err := f.addWorkers(40); err != nil {
		return nil, err
	}
	for n := range 4 {
		if err := f.addWorker(fmt.Sprintf("x%d", n), fmt.Sprintf("i-x%d00000000", n), whole, "a", "r99"); err != nil {
			return nil, err
		}
	}
	if err := f.begin(); err != nil {
		return nil, err
	}
	others := step{Count: 40, Cpu: 20000, MemMb: 8000, Gpu: 4, MaxPerServer: 1}
	if !f.submit(simpleJob(1, "batch", work{RunsMs: 100000}, others)) {
		return nil, errors.New("the first job was not accepted")
	}
	time.Sleep(4 * time.Second)
	var all []*job
	for n := range 4 {
		j := simpleJob(2+n, "batch", work{RunsMs: 5000}, step{Count: 1, Cpu: 20000, MemMb: 8000, Gpu: 5, RequiredLabel: "r99"})
		if !f.submit(j) {
			return nil, errors.New("a job was not accepted")
		}
		all = append(all, j)
	}
	time.Sleep(300 * time.Millisecond)
	rack := f.workers[40:]
	for from := time.Now(); trouble && time.Since(from)+flapPeriod <= flapTime; {
		for _, w := range rack {
			w.crash(false)
		}
		time.Sleep(flapPeriod / 2)
		for _, w := range rack {
			w.restart(w.id, whole)
		}
		time.Sleep(flapPeriod / 2)
	}
	time.Sleep(20 * time.Second)
	return f.failedWithoutCause(all), nil
}

// failedWithoutCause returns the jobs that are shown as failed though no run of their tasks has ended so.
func (f *fleet) failedWithoutCause(jobs []*job) []string {
	var broken []string
	for _, j := range jobs {
		state, failed := f.state(j), 0
		f.mu.Lock()
		for _, s := range f.starts {
			if strings.HasPrefix(s.task, j.id) && s.how == "failed" {
				failed++
			}
		}
		f.mu.Unlock()
		if state == "failed" && failed == 0 {
			broken = append(broken, fmt.Sprintf("LOST: %s is shown as failed, and none of its runs has ended so", j.id))
		}
	}
	return broken
}

// playKept: a task that lasts fails once, while the fastest worker is idle: it is kept for urgent jobs.
func playKept(f *fleet, trouble bool) ([]string, error) {
	f.addQueue("urgent", 0, 3, 1, 250*time.Millisecond)
	f.addQueue("serve", 1, 3, 3, 3*time.Second)
	f.addQueue("batch", 2, 2, 3, 3*time.Second)
	if err := f.addWorkers(6); err != nil {
		return nil, err
	}
	if err := f.begin(); err != nil {
		return nil, err
	}
	spec := work{Lasts: true}
	if trouble {
		spec.FailsMs = 12000
	}
	lasting := simpleJob(1, "serve", spec, step{Count: 1, Cpu: 8000, MemMb: 8000, Gpu: 2, LongRunning: true, EstMs: 1000})
	task := lasting.id + ".0.0.0"
	// Tasks on all workers show their speeds: the last one is twice as fast.
	f.workers[len(f.workers)-1].speed = 2
	if !f.submit(simpleJob(2, "batch", work{RunsMs: 10000}, step{Count: 24, Cpu: 8000, MemMb: 8000, Gpu: 2})) {
		return nil, errors.New("the first job was not accepted")
	}
	time.Sleep(11500 * time.Millisecond)
	for n, j := range []*job{
		simpleJob(3, "urgent", work{RunsMs: 14000}, step{Count: 1, Cpu: 32000, MemMb: 32000, Gpu: 8}), lasting,
		simpleJob(4, "batch", work{RunsMs: 90000}, step{Count: 12, Cpu: 8000, MemMb: 8000, Gpu: 2}),
		simpleJob(5, "batch", work{RunsMs: 90000}, step{Count: 11, Cpu: 8000, MemMb: 8000, Gpu: 2}),
	} {
		if !f.submit(j) {
			return nil, fmt.Errorf("job %d was not accepted", n)
		}
		time.Sleep(time.Second)
	}
	if f.runningOn(task) == nil {
		return nil, errors.New("the task that lasts did not start")
	}
	time.Sleep(30 * time.Second)
	return f.idleLasting(task), nil
}

// idleLasting returns when a task that lasts did not run, from 6 s after its last run, for 3 s on end, with capacity for it twice over.
func (f *fleet) idleLasting(task string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var last *start
	used := map[string]room{}
	for _, s := range f.starts {
		if s.task == task {
			last = s
		}
		if s.endedAt.IsZero() {
			used[s.worker] = used[s.worker].plus(s.need)
		}
	}
	if last == nil || last.endedAt.IsZero() || time.Since(last.endedAt) < 9*time.Second {
		return nil
	}
	free := ""
	for _, w := range f.workers {
		if used[w.name].plus(last.need).plus(last.need).within(w.capacity) {
			free += " " + w.name
		}
	}
	if free == "" {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %s has not run for %v, and has room twice over on%s", task, time.Since(last.endedAt).Round(time.Second), free)}
}

// playAvoid: a task that lasts fails once, on the one worker that has room.
func playAvoid(f *fleet, trouble bool) ([]string, error) {
	f.addQueue("serve", 1, 3, 3, 3*time.Second)
	f.addQueue("batch", 2, 2, 3, 3*time.Second)
	if err := f.addWorkers(3); err != nil {
		return nil, err
	}
	if err := f.begin(); err != nil {
		return nil, err
	}
	spec := work{Lasts: true}
	if trouble {
		spec.FailsMs = 8000
	}
	lasting := simpleJob(1, "serve", spec, step{Count: 1, Cpu: 8000, MemMb: 8000, Gpu: 2, LongRunning: true, EstMs: 1000})
	if !f.submit(lasting) || f.awaitRunning(lasting.id+".0.0.0", 5*time.Second) == nil {
		return nil, errors.New("the task that lasts did not start")
	}
	if !f.submit(simpleJob(2, "batch", work{RunsMs: 60000}, step{Count: 2, Cpu: 32000, MemMb: 64000, Gpu: 8})) {
		return nil, errors.New("the batch was not accepted")
	}
	time.Sleep(30 * time.Second)
	return f.idleLasting(lasting.id + ".0.0.0"), nil
}

// playTwiceLost: the worker of a task that lasts crashes and starts again, and so does the next one. All have room.
func playTwiceLost(f *fleet, trouble bool) ([]string, error) {
	f.addQueue("serve", 1, 3, 3, 3*time.Second)
	f.addQueue("batch", 2, 2, 3, 3*time.Second)
	if err := f.addWorkers(8); err != nil {
		return nil, err
	}
	if err := f.begin(); err != nil {
		return nil, err
	}
	beside := step{Count: 8, Cpu: 12000, MemMb: 12000, Gpu: 3, MaxPerServer: 1}
	lasting := simpleJob(2, "serve", work{Lasts: true}, step{Count: 1, Cpu: 8000, MemMb: 8000, Gpu: 2, LongRunning: true, EstMs: 1000})
	task := lasting.id + ".0.0.0"
	if !f.submit(simpleJob(1, "batch", work{RunsMs: 90000}, beside)) || !f.submit(lasting) {
		return nil, errors.New("a job was not accepted")
	}
	calmFrom := time.Now()
	for range 2 {
		w := f.awaitRunning(task, 8*time.Second)
		if w == nil {
			return nil, errors.New("the task that lasts did not start")
		}
		time.Sleep(4 * time.Second)
		if trouble {
			w.crash(false)
			time.Sleep(1500 * time.Millisecond)
			w.restart(w.id, whole)
			calmFrom = time.Now()
		}
	}
	time.Sleep(20 * time.Second)
	return f.gap(task, calmFrom), nil
}

// gap returns how long a task that lasts was without a run, if that held for 3 s from 6 s after its last run, and these and the 4 s
// before them were calm.
func (f *fleet) gap(task string, calmFrom time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var before *start
	for _, s := range f.starts {
		if s.task != task {
			continue
		}
		if before != nil && s.at.Sub(before.endedAt) > 9*time.Second && s.at.Sub(calmFrom) > 7*time.Second {
			return []string{fmt.Sprintf("LOST: %s did not run for %v, the last %v of them calm, with room twice over on each worker", task,
				s.at.Sub(before.endedAt).Round(100*time.Millisecond), s.at.Sub(calmFrom).Round(100*time.Millisecond))}
		}
		before = s
	}
	return nil
}

// playPending: the one worker with room is lost right before jobs come, and the owner is killed half a second after them.
func playPending(f *fleet, trouble bool) ([]string, error) {
	f.addQueue("long", 2, 2, 3, 3*time.Second)
	f.addQueue("batch", 2, 2, 3, 3*time.Second)
	if err := f.addWorkers(8); err != nil {
		return nil, err
	}
	if err := f.begin(); err != nil {
		return nil, err
	}
	if !f.submit(simpleJob(1, "long", work{RunsMs: 100000}, step{Count: 7, Cpu: 32000, MemMb: 32000, Gpu: 8})) {
		return nil, errors.New("the first job was not accepted")
	}
	time.Sleep(3 * time.Second)
	for _, w := range f.workers {
		if trouble && !f.busy(w) {
			w.crash(true)
		}
	}
	var waiting []*job
	for n := range 4 {
		j := simpleJob(2+n, "batch", work{RunsMs: 1000}, step{Count: 1, Cpu: 8000, MemMb: 8000, Gpu: 2})
		if !f.submit(j) {
			return nil, errors.New("a job was not accepted")
		}
		waiting = append(waiting, j)
	}
	time.Sleep(500 * time.Millisecond)
	if owner := f.owner(); trouble && owner != nil {
		owner.signal(syscall.SIGKILL)
	}
	time.Sleep(9 * time.Second)
	begun := 0
	for _, j := range waiting {
		if f.ranWithin(j.id+".0.0.0", f.began, time.Now()) {
			begun++
		}
	}
	status, body := f.call(http.MethodGet, "batch", "", nil)
	var answer struct{ Pending int }
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return nil, errors.New("the queue could not be asked")
	}
	if 2*answer.Pending < len(waiting)-begun {
		return []string{fmt.Sprintf("MIXED: %d jobs that were accepted 9 s before haven't begun, and %d are given as Pending",
			len(waiting)-begun, answer.Pending)}, nil
	}
	return nil, nil
}

// busy reports whether a worker runs a task.
func (f *fleet) busy(w *worker) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) > 0
}
