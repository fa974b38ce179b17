package policy

import (
	"fmt"
	"math/bits"
	"slices"
)

// world is the smallest caller of a scheduler: it does at once what the decisions ask for and checks them.
type world struct {
	s       *Scheduler
	now     int64
	jobs    map[string]Job
	running map[string][]Member
	// stopping runs were asked to stop.
	stopping map[string]Stop
	used     map[string]uint32
	quotas   map[string]int
	faults   []string
	starts   int
	stops    int
}

func newWorld(config Config) *world {
	return &world{
		s: New(config), now: 1_000_000, jobs: map[string]Job{}, running: map[string][]Member{},
		stopping: map[string]Stop{}, used: map[string]uint32{}, quotas: map[string]int{},
	}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) submit(job Job) {
	job.SubmittedMillis = w.now
	w.jobs[job.ID] = job
	w.s.Submit(job)
}

// decide carries the decisions out, but for stops, which finishStops ends.
func (w *world) decide() []Decision {
	decisions := w.s.Decide(w.now)
	for _, d := range decisions {
		switch {
		case d.Start != nil:
			w.start(d.Start)
		case d.Stop != nil:
			w.stop(d.Stop)
		}
	}
	w.check()
	return decisions
}

func (w *world) start(start *Start) {
	job, known := w.jobs[start.JobID]
	if !known || w.running[start.JobID] != nil {
		w.fault("start of %s, which does not wait", start.JobID)
		return
	}
	w.starts++
	if len(start.Members) != max(job.Shape.Members, 1) {
		w.fault("gang %s starts with %d of %d members", job.ID, len(start.Members), job.Shape.Members)
	}
	workers, racks := map[string]bool{}, map[string]bool{}
	for _, m := range start.Members {
		state := w.s.byName[m.Worker]
		workers[m.Worker], racks[state.Rack] = true, true
		if state.condition != Healthy {
			w.fault("gang %s starts on %s, which takes no work", job.ID, m.Worker)
		}
		if bits.OnesCount32(m.Mask) != job.Shape.Accelerators || m.Mask&^state.all != 0 {
			w.fault("gang %s gets mask %x of %s for %d accelerators", job.ID, m.Mask, m.Worker, job.Shape.Accelerators)
		}
		if m.Mask&w.used[m.Worker] != 0 {
			w.fault("gang %s overlaps another on %s", job.ID, m.Worker)
		}
		if slices.Contains(job.FailedWorkers, m.Worker) {
			w.fault("gang %s is placed on %s, where it failed", job.ID, m.Worker)
		}
		w.used[m.Worker] |= m.Mask
	}
	if job.Shape.Adjacency == SameWorker && len(workers) > 1 || job.Shape.Adjacency == SameRack && len(racks) > 1 {
		w.fault("gang %s is not adjacent: %v", job.ID, start.Members)
	}
	w.running[job.ID] = start.Members
	w.s.Started(job.ID, w.now)
}

func (w *world) stop(stop *Stop) {
	w.stops++
	r := w.s.runs[stop.JobID]
	if w.running[stop.JobID] == nil {
		w.fault("stop of %s, which does not run", stop.JobID)
		return
	}
	if r.protected && stop.Reason == Preempted {
		w.fault("preemption of %s, which is inside its guarantee", stop.JobID)
	}
	if stop.WithinMillis > 2000 {
		w.fault("stop of %s within %d ms", stop.JobID, stop.WithinMillis)
	}
	w.stopping[stop.JobID] = *stop
}

// end ends a run or a waiting job.
func (w *world) end(id string, result EndResult) {
	for _, m := range w.running[id] {
		w.used[m.Worker] &^= m.Mask
	}
	delete(w.running, id)
	delete(w.stopping, id)
	if result == Finished || result == Cancelled {
		delete(w.jobs, id)
	}
	w.s.Ended(id, result, w.s.progress(id), w.now)
}

func (s *Scheduler) progress(id string) int {
	if r := s.runs[id]; r != nil {
		return r.CheckpointPPM
	}
	return 0
}

// finishStops ends all runs that were asked to stop.
func (w *world) finishStops() {
	for _, id := range sortedKeys(w.stopping) {
		result := PreemptedEnd
		if w.stopping[id].Reason == Moved {
			result = MovedEnd
		}
		w.end(id, result)
	}
}

func (w *world) mark(worker string, condition Condition) {
	w.s.MarkWorker(worker, condition)
	if condition != Lost {
		return
	}
	for _, id := range sortedKeys(w.running) {
		if slices.ContainsFunc(w.running[id], func(m Member) bool { return m.Worker == worker }) {
			w.end(id, LostEnd)
		}
	}
}

// check holds the scheduler's own books against what must always be true.
func (w *world) check() {
	w.checkWorkers()
	w.checkProtected()
	held := map[string]int{}
	for _, id := range sortedKeys(w.running) {
		job := w.jobs[id]
		held[job.Account+"/"+job.Team] += job.Shape.Total()
	}
	for team, quota := range w.quotas {
		if quota > 0 && held[team] > quota {
			w.fault("team %s holds %d of %d", team, held[team], quota)
		}
	}
	for _, id := range sortedKeys(w.jobs) {
		if w.running[id] == nil && w.s.Explain(id) == "" {
			w.fault("job %s waits without a reason", id)
		}
	}
}

func (w *world) checkWorkers() {
	for _, state := range w.s.workers {
		var guaranteed uint32
		for _, u := range state.units {
			if u.mask&guaranteed != 0 {
				w.fault("guaranteed cells overlap on %s", state.Name)
			}
			guaranteed |= u.mask
		}
		if guaranteed != state.guaranteed || guaranteed&^state.all != 0 {
			w.fault("guaranteed cells of %s are %x, noted %x", state.Name, guaranteed, state.guaranteed)
		}
		if state.protected&^guaranteed != 0 && state.condition == Healthy {
			w.fault("protected accelerators %x of %s outside guaranteed cells %x", state.protected, state.Name, guaranteed)
		}
		w.checkShares(state)
		cores, memory := state.Cores, state.MemoryMiB
		for _, id := range sortedKeys(w.running) {
			for _, m := range w.running[id] {
				if m.Worker == state.Name {
					cores -= w.jobs[id].Cores
					memory -= w.jobs[id].MemoryMiB
				}
			}
		}
		if cores < 0 || memory < 0 {
			w.fault("worker %s gives %d cores and %d MiB too many", state.Name, -cores, -memory)
		}
		if state.used != w.used[state.Name] {
			w.fault("worker %s: used %x, noted %x", state.Name, w.used[state.Name], state.used)
		}
	}
	for _, ent := range w.s.entitlements {
		if !ent.keepsRack() {
			w.fault("guarantee %v is spread over racks", ent.guarantee.Guarantee)
		}
	}
}

// checkShares finds guaranteed cells that would not get their share of cores and memory, whatever borrowers leave.
func (w *world) checkShares(state *workerState) {
	cores := state.Cores / state.Accelerators * bits.OnesCount32(state.guaranteed)
	memory := state.MemoryMiB / state.Accelerators * bits.OnesCount32(state.guaranteed)
	for _, r := range w.s.runs {
		for _, sp := range r.spots {
			if r.protected && sp.worker == state {
				cores += max(r.Cores-state.Cores/state.Accelerators*r.Shape.Accelerators, 0)
				memory += max(r.MemoryMiB-state.MemoryMiB/state.Accelerators*r.Shape.Accelerators, 0)
			}
		}
	}
	if cores > state.Cores || memory > state.MemoryMiB {
		w.fault("the guaranteed cells of %s need %d cores and %d MiB", state.Name, cores, memory)
	}
}

func (w *world) checkProtected() {
	for _, id := range sortedKeys(w.s.runs) {
		r := w.s.runs[id]
		if !r.protected {
			continue
		}
		for _, sp := range r.spots {
			inside := slices.ContainsFunc(sp.worker.units, func(u *entitledUnit) bool {
				return u.entitlement.account == r.account && sp.mask&^u.mask == 0
			})
			if !inside {
				w.fault("protected gang %s is outside its account's cells", id)
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
