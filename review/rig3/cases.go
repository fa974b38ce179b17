package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"
)

var cases = map[string]func(record string){"lasting": lasting, "reclaim": reclaim, "kind": kind, "away": away, "spread": spread, "fraction": fraction}

// lasting: a lasting task loses its worker, which is back a second later, while a gang of a higher priority waits for workers.
func lasting(record string) {
	r := newRig(record, 8, 8, 3, []queue{
		{name: "keep", prefix: "/keep/", priority: 2, attempts: 3, stretch: 3, targetMs: 1000},
		{name: "batch", prefix: "/batch/", priority: 1, attempts: 3, stretch: 3, targetMs: 1000},
	}, []tenant{{"a", "key-a", 0}, {"b", "key-b", 0}})
	keep := r.submit("/keep/", "key-a", "a service", &jobStep{Count: 1, Cpu: 2000, MemMb: 4000, Gpu: 2, EstMs: 5000, LongRunning: true})
	r.await("the lasting task runs", 10*time.Second, func() bool { return r.running(keep.id) == 1 })
	for range 6 {
		r.submit("/batch/", "key-b", "a batch", &jobStep{Count: 1, Cpu: 8000, MemMb: 16000, Gpu: 8, EstMs: 25000, duration: 25 * time.Second})
	}
	r.await("six workers are full", 10*time.Second, func() bool { free, _ := r.free(); return free <= 14 })
	time.Sleep(7 * time.Second)
	gang := r.submit("/batch/", "key-b", "a gang", &jobStep{
		Count: 4, Cpu: 8000, MemMb: 16000, Gpu: 8, EstMs: 8000, Gang: true, duration: 8 * time.Second,
	})
	time.Sleep(time.Second)
	_ = gang
	var hit *workerHost
	r.mu.Lock()
	for _, h := range r.hosts {
		for task := range h.life.running {
			if strings.HasPrefix(task, keep.id) {
				hit = h
			}
		}
	}
	r.mu.Unlock()
	if hit == nil {
		cannot("the lasting task runs nowhere")
	}
	lostAt := time.Now()
	if r.trouble {
		old := hit.life
		hit.crash()
		time.Sleep(time.Second)
		if err := hit.begin("i-1000", old.capacity, old.labels, 0); err != nil {
			cannot("restart the worker: %v", err)
		}
		r.store.put("keyed.servers", old.id, "")
	}
	calmFrom := time.Now()
	var downFrom time.Time
	for time.Since(lostAt) < 24*time.Second {
		free, capacity := r.free()
		at := time.Now()
		switch {
		case r.running(keep.id) > 0 || free < 2*2:
			downFrom = time.Time{}
		case time.Since(lostAt) < 6*time.Second || at.Sub(calmFrom) < 4*time.Second+stableWindow:
		case downFrom.IsZero():
			downFrom = at
		case at.Sub(downFrom) >= 3*time.Second:
			r.mu.Lock()
			r.breach("LOST", "the lasting task has not run for %.1f s, the last 3 s of them in calm for 7 s and more, with %d of %d GPUs free; it needs 2",
				at.Sub(lostAt).Seconds(), free, capacity)
			r.mu.Unlock()
			r.state(keep, 0)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.state(keep, 0)
}

// reclaim: tasks that last, of one tenant, hold all GPUs when a job of another one comes that is within its guarantee.
func reclaim(record string) {
	r := newRig(record, 8, 8, 3, []queue{
		{name: "keep", prefix: "/keep/", priority: 2, attempts: 3, stretch: 3, targetMs: 1000},
		{name: "urgent", prefix: "/urgent/", priority: 0, attempts: 3, stretch: 1.5, targetMs: 250},
	}, []tenant{{"a", "key-a", 16}, {"b", "key-b", 24}})
	others := &jobStep{Count: 8, Cpu: 8000, MemMb: 16000, Gpu: 8, EstMs: 60000, LongRunning: r.trouble, duration: 60 * time.Second}
	keep := r.submit("/keep/", "key-a", "a service", others)
	r.await("all GPUs are in use", 15*time.Second, func() bool { free, _ := r.free(); return free == 0 })
	time.Sleep(8 * time.Second)
	urgent := r.submit("/urgent/", "key-b", "an urgent job", &jobStep{Count: 2, Cpu: 3700, MemMb: 11000, Gpu: 4, EstMs: 2500, duration: 2500 * time.Millisecond})
	for time.Since(urgent.acceptedAt) < 20*time.Second && r.begun(urgent.id) < 2 {
		time.Sleep(20 * time.Millisecond)
	}
	waited := time.Since(urgent.acceptedAt)
	r.state(urgent, 1)
	r.state(keep, 1)
	if begun := r.begun(urgent.id); waited > reclaimTime {
		r.mu.Lock()
		r.breach("RECLAIM", "%d of 2 tasks have begun %.1f s after the confirmation; the job needs 8 GPUs, its tenant's guarantee is 24", begun, waited.Seconds())
		r.mu.Unlock()
	}
}

// kind: three of 24 workers crash and start again a second later under their ids, of another kind and half as large. A job comes meanwhile
// whose tasks may only run on the first kind. Judged are starts after the worker has told its owner of its new life, and after the entry of
// that life, with its labels and capacity, was in the store.
func kind(record string) {
	r := newRig(record, 24, 6, 3, []queue{
		{name: "batch", prefix: "/batch/", priority: 1, attempts: 3, stretch: 3, targetMs: 1000},
	}, []tenant{{"a", "key-a", 0}})
	r.mu.Lock()
	r.onStart = func(l *life, w *work) {
		if l.told.IsZero() || l.registered.IsZero() {
			return
		}
		known := fmt.Sprintf("worker %s has told its owner of this life %.3f s ago (born %d), and its entry of this life has been in the store for %.3f s",
			l.id, time.Since(l.told).Seconds(), l.born, time.Since(l.registered).Seconds())
		if label := w.step.RequiredLabel; label != "" && !slices.Contains(l.labels, label) {
			r.breach("ROUTE", "%s; it starts %s, which requires the label %q, and has the labels %v", known, w.task, label, l.labels)
		}
		if !l.used().within(l.capacity) {
			r.breach("LIMIT", "%s; the start of %s brings it to %+v, its capacity is %+v", known, w.task, l.used(), l.capacity)
		}
	}
	r.mu.Unlock()
	part := r.submit("/batch/", "key-a", "part", &jobStep{
		Count: 3, Cpu: 5000, MemMb: 8000, Gpu: 2, EstMs: 40000, MaxPerServer: 1, duration: 40 * time.Second,
	})
	r.await("three workers are used in part", 10*time.Second, func() bool { return r.running(part.id) == 3 })
	r.submit("/batch/", "key-a", "whole", &jobStep{Count: 21, Cpu: 20000, MemMb: 64000, Gpu: 8, EstMs: 40000, duration: 40 * time.Second})
	r.await("the others are full", 15*time.Second, func() bool { free, _ := r.free(); return free == 18 })
	time.Sleep(5 * time.Second)
	var hit []*workerHost
	r.mu.Lock()
	for _, h := range r.hosts {
		if h.life.used().Gpu == 2 {
			hit = append(hit, h)
		}
	}
	r.mu.Unlock()
	var old []*life
	if r.trouble {
		for _, h := range hit {
			old = append(old, h.life)
			h.crash()
		}
	}
	time.Sleep(500 * time.Millisecond)
	r.submit("/batch/", "key-a", "small", &jobStep{
		Count: 40, Cpu: 2800, MemMb: 4100, Gpu: 1, EstMs: 4000, RequiredLabel: "a", duration: 4 * time.Second,
	})
	time.Sleep(500 * time.Millisecond)
	for n, l := range old {
		if err := hit[n].begin(l.id, amount{16000, 65536, 4}, []string{"b", hit[n].rack}, 0); err != nil {
			cannot("restart a worker: %v", err)
		}
	}
	time.Sleep(8 * time.Second)
}

// noticeTime is NoticeMs.
const noticeTime = 4500 * time.Millisecond

// away: of two lasting tasks, of which one may be missed, one loses its worker for good. An urgent job comes 4.8 s later.
func away(record string) {
	r := newRig(record, 5, 5, 3, []queue{
		{name: "keep", prefix: "/keep/", priority: 2, attempts: 3, stretch: 3, targetMs: 1000},
		{name: "batch", prefix: "/batch/", priority: 2, attempts: 3, stretch: 3, targetMs: 1000},
		{name: "urgent", prefix: "/urgent/", priority: 0, attempts: 3, stretch: 1.5, targetMs: 250},
	}, []tenant{{"a", "key-a", 0}, {"b", "key-b", 24}})
	keep := r.submit("/keep/", "key-a", "a service", &jobStep{
		Count: 2, Cpu: 8000, MemMb: 16000, Gpu: 8, EstMs: 5000, LongRunning: true, MayMiss: 1,
	})
	r.await("both lasting tasks run", 10*time.Second, func() bool { return r.running(keep.id) == 2 })
	r.submit("/batch/", "key-a", "a batch", &jobStep{Count: 3, Cpu: 8000, MemMb: 16000, Gpu: 8, EstMs: 90000, duration: 90 * time.Second})
	r.await("all GPUs are in use", 10*time.Second, func() bool { free, _ := r.free(); return free == 0 })
	time.Sleep(12 * time.Second)
	var hit *workerHost
	r.mu.Lock()
	for _, h := range r.hosts {
		if h.life.running[keep.id+".0.0.1"] != nil {
			hit = h
		}
	}
	r.mu.Unlock()
	if hit == nil {
		cannot("a lasting task runs nowhere")
	}
	// Each hold renews the lease: the loss comes in the first half of the 2 s until the next one.
	r.await("a hold arrives", 5*time.Second, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return time.Since(hit.life.held) < time.Second
	})
	lostAt := time.Now()
	if r.trouble {
		r.mu.Lock()
		r.onEnd = func(l *life, w *work, how string) {
			if how == "stopped" && w.task == keep.id+".0.0.0" && time.Since(lostAt) > noticeTime {
				for _, s := range r.spans {
					if s.task == keep.id+".0.0.1" && s.to.IsZero() {
						return
					}
				}
				r.breach("AVAIL", "a stop ends %s on %s, which is at work, while %s.0.0.1 has not been at work for %.1f s; MayMiss is 1",
					w.task, l.id, keep.id, time.Since(lostAt).Seconds())
			}
		}
		old := hit.life
		r.mu.Unlock()
		hit.crash()
		time.AfterFunc(3*heartbeat, func() { r.store.put("keyed.servers", old.id, "") })
	}
	time.Sleep(noticeTime + 300*time.Millisecond)
	urgent := r.submit("/urgent/", "key-b", "an urgent job", &jobStep{Count: 1, Cpu: 3700, MemMb: 11000, Gpu: 8, EstMs: 2500, duration: 2500 * time.Millisecond})
	time.Sleep(6 * time.Second)
	r.state(urgent, 1)
}

// spread: the urgent tasks of one tenant, within its guarantee, are spread over all workers when a job of another one comes that needs whole
// workers, within its own.
func spread(record string) {
	r := newRig(record, 8, 8, 3, []queue{
		{name: "batch", prefix: "/batch/", priority: 2, attempts: 3, stretch: 3, targetMs: 1000},
		{name: "urgent", prefix: "/urgent/", priority: 0, attempts: 3, stretch: 1.5, targetMs: 250},
	}, []tenant{{"a", "key-a", 8}, {"b", "key-b", 32}, {"c", "key-c", 0}})
	r.submit("/batch/", "key-c", "large", &jobStep{Count: 8, Cpu: 14000, MemMb: 56000, Gpu: 7, EstMs: 60000, duration: 60 * time.Second})
	r.await("56 GPUs are in use", 10*time.Second, func() bool { free, _ := r.free(); return free <= 8 })
	time.Sleep(5 * time.Second)
	r.submit("/batch/", "key-c", "small", &jobStep{Count: 8, Cpu: 2000, MemMb: 8000, Gpu: 1, EstMs: 60000, duration: 60 * time.Second})
	r.await("all GPUs are in use", 10*time.Second, func() bool { free, _ := r.free(); return free == 0 })
	time.Sleep(5 * time.Second)
	if r.trouble {
		first := r.submit("/urgent/", "key-a", "urgent, small", &jobStep{Count: 8, Cpu: 2000, MemMb: 8000, Gpu: 1, EstMs: 8000, duration: 8 * time.Second})
		r.await("the first urgent job runs", 10*time.Second, func() bool { return r.running(first.id) == 8 })
	}
	second := r.submit("/urgent/", "key-b", "urgent, whole workers", &jobStep{Count: 4, Cpu: 16000, MemMb: 64000, Gpu: 8, EstMs: 2500, duration: 2500 * time.Millisecond})
	for time.Since(second.acceptedAt) < 12*time.Second && r.begun(second.id) < 4 {
		time.Sleep(20 * time.Millisecond)
	}
	waited := time.Since(second.acceptedAt)
	r.state(second, 1)
	if begun := r.begun(second.id); waited > reclaimTime {
		r.mu.Lock()
		r.breach("RECLAIM", "%d of 4 tasks have begun %.1f s after the confirmation; the job needs 32 GPUs, its tenant's guarantee is 32", begun, waited.Seconds())
		r.mu.Unlock()
	}
}

// fraction: the settings files change, one bound to a fraction, and the processes are then stopped and started in turn.
func fraction(record string) {
	r := newRig(record, 4, 4, 3, []queue{
		{name: "batch", prefix: "/batch/", priority: 1, attempts: 3, stretch: 3, targetMs: 1000},
	}, []tenant{{"a", "key-a", 0}})
	r.submit("/batch/", "key-a", "before", &jobStep{Count: 4, Cpu: 2800, MemMb: 4100, Gpu: 1, EstMs: 1000, duration: time.Second})
	j := r.submit("/batch/", "key-a", "a batch", &jobStep{Count: 8, Cpu: 2800, MemMb: 4100, Gpu: 1, EstMs: 8000, duration: 8 * time.Second})
	value := "412"
	if r.trouble {
		value = "412.5"
	}
	for _, i := range r.instances {
		r.writeSettings(i, value)
		_ = i.command.Process.Signal(syscall.SIGHUP)
	}
	r.log("the settings files change: StopMs = %s; SIGHUP to all", value)
	time.Sleep(2 * time.Second)
	for _, i := range r.instances {
		r.log("SIGTERM to %s", i.name)
		_ = i.command.Process.Signal(syscall.SIGTERM)
		_ = i.command.Wait()
		r.log("%s has exited; it is started again", i.name)
		r.keepUp(i)
		time.Sleep(3 * time.Second)
	}
	// finish_s and RecoveryS have passed twice over when the last answer is asked for.
	until := time.Now().Add(28 * time.Second)
	for n := 0; time.Now().Before(until); n++ {
		if status, answer := r.call("GET", j.queue+j.id, j.key, nil, n); status == 200 && strings.Contains(answer, "completed") {
			r.log("client: GET %s%s -> %d %s", j.queue, j.id, status, answer)
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	for n, i := range r.instances {
		status, answer := r.call("GET", j.queue+j.id, j.key, nil, n)
		r.log("client: GET %s%s at %s -> %d %s", j.queue, j.id, i.name, status, answer)
		raw, _ := os.ReadFile(i.output.Name())
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		r.log("%s printed last: %s", i.name, strings.ReplaceAll(lines[len(lines)-1], r.dir, "DIR"))
	}
	r.mu.Lock()
	r.breach("LOST", "28 s after the last process was started again, no instance answers for the accepted job %s", j.id)
	r.mu.Unlock()
}

// keepUp starts the process of an instance, and again half a second after it has ended by itself, as the platform does.
func (r *rig) keepUp(i *instance) {
	r.restart(i)
	command := i.command
	go func() {
		err := command.Wait()
		if r.closing() {
			return
		}
		r.log("the process of %s has ended by itself: %v", i.name, err)
		time.Sleep(500 * time.Millisecond)
		if !r.closing() {
			r.keepUp(i)
		}
	}()
}
