package policy

import (
	"math/bits"
	"slices"
)

// Scheduler is the Policy of the product. It is not safe for concurrent use.
type Scheduler struct {
	config     Config
	accounts   []Account
	teams      []Team
	guarantees []Guarantee
	workers    []*workerState
	byName     map[string]*workerState
	jobs       map[string]*run
	waiting    []*run
}

type workerState struct {
	Worker
	condition Condition
	used      uint32
	protected uint32
	home      map[string]uint32
	cores     int
	memoryMiB int
}

type runState uint8

const (
	waiting runState = iota
	starting
	running
)

type run struct {
	Job
	state     runState
	members   []Member
	protected bool
	stopping  bool
	reason    string
}

var _ Policy = (*Scheduler)(nil)

// New returns a scheduler without workers.
func New(config Config) *Scheduler {
	return &Scheduler{config: config, byName: make(map[string]*workerState), jobs: make(map[string]*run)}
}

// Configure replaces accounts, teams and guarantees.
func (s *Scheduler) Configure(accounts []Account, teams []Team, guarantees []Guarantee) {
	s.accounts, s.teams, s.guarantees = slices.Clone(accounts), slices.Clone(teams), slices.Clone(guarantees)
	s.repack()
}

// AddWorker adds an empty, healthy worker.
func (s *Scheduler) AddWorker(worker Worker) {
	w := &workerState{Worker: worker, cores: worker.Cores, memoryMiB: worker.MemoryMiB, home: make(map[string]uint32)}
	s.workers = append(s.workers, w)
	s.byName[worker.Name] = w
	s.repack()
}

// MarkWorker changes the condition of a worker.
func (s *Scheduler) MarkWorker(name string, condition Condition) {
	if w := s.byName[name]; w != nil {
		w.condition = condition
		s.repack()
	}
}

func (s *Scheduler) repack() {
	var live []Worker
	for _, w := range s.workers {
		clear(w.home)
		if w.condition == Healthy {
			live = append(live, w.Worker)
		}
	}
	packed, err := PackGuarantees(live, s.guarantees)
	if err != nil {
		return
	}
	for _, p := range packed {
		if p.Guarantee < 0 {
			continue
		}
		for _, m := range p.Members {
			s.byName[m.Worker].home[s.guarantees[p.Guarantee].Account] |= m.Mask
		}
	}
}

// Submit adds a waiting job.
func (s *Scheduler) Submit(job Job) {
	r := &run{Job: job, reason: "waits for the next decision"}
	s.jobs[job.ID] = r
	s.waiting = append(s.waiting, r)
	slices.SortStableFunc(s.waiting, func(a, b *run) int {
		return firstOf(int(a.Class)-int(b.Class), int(a.SubmittedMillis-b.SubmittedMillis))
	})
}

// Restore adds a job that is running already.
func (s *Scheduler) Restore(job Job, members []Member, _ int64) {
	r := &run{Job: job, state: running, members: members}
	s.jobs[job.ID] = r
	s.hold(r, members, false)
}

// Started confirms a Start decision.
func (s *Scheduler) Started(jobID string, _ int64) {
	if r := s.jobs[jobID]; r != nil && r.state == starting {
		r.state = running
	}
}

// StartRefused returns the accelerators of a Start decision; the job waits again.
func (s *Scheduler) StartRefused(jobID string) {
	if r := s.jobs[jobID]; r != nil && r.state == starting {
		s.release(r)
		s.wait(r)
	}
}

// Checkpointed notes the kept progress of a running job.
func (s *Scheduler) Checkpointed(jobID string, ppm int, _ int64) {
	if r := s.jobs[jobID]; r != nil {
		r.CheckpointPPM = ppm
	}
}

// Ended ends a run, or with Cancelled a waiting job.
func (s *Scheduler) Ended(jobID string, result EndResult, ppm int, _ int64) {
	r := s.jobs[jobID]
	if r == nil {
		return
	}
	s.release(r)
	s.waiting = slices.DeleteFunc(s.waiting, func(other *run) bool { return other == r })
	if result == Finished || result == Cancelled {
		delete(s.jobs, jobID)
		return
	}
	r.CheckpointPPM = ppm
	s.wait(r)
}

func (s *Scheduler) wait(r *run) {
	delete(s.jobs, r.ID)
	s.Submit(r.Job)
}

func (s *Scheduler) hold(r *run, members []Member, protected bool) {
	r.members, r.protected = members, protected
	for _, m := range members {
		w := s.byName[m.Worker]
		w.used |= m.Mask
		w.cores -= r.Cores
		w.memoryMiB -= r.MemoryMiB
		if protected {
			w.protected |= m.Mask
		}
	}
}

func (s *Scheduler) release(r *run) {
	for _, m := range r.members {
		w := s.byName[m.Worker]
		w.used &^= m.Mask
		w.protected &^= m.Mask
		w.cores += r.Cores
		w.memoryMiB += r.MemoryMiB
	}
	r.members = nil
}

// Decide returns what to do now.
func (s *Scheduler) Decide(_ int64) []Decision {
	var decisions []Decision
	for _, r := range slices.Clone(s.waiting) {
		decisions = append(decisions, s.decideFor(r)...)
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(r *run) bool { return r.state != waiting })
	return decisions
}

func (s *Scheduler) decideFor(r *run) []Decision {
	if r.state == waiting && !s.withinQuota(r) {
		r.reason = "waits for its team's quota"
		return nil
	}
	if members := s.find(r, func(w *workerState) uint32 { return ^w.used }); members != nil {
		protected := true
		for _, m := range members {
			protected = protected && m.Mask&^s.byName[m.Worker].home[r.Account] == 0
		}
		s.hold(r, members, protected)
		r.state = starting
		return []Decision{{Start: &Start{JobID: r.ID, Members: members}}}
	}
	members := s.find(r, func(w *workerState) uint32 { return w.home[r.Account] &^ w.protected })
	if members == nil || r.Shape.Accelerators == 0 {
		r.reason = "waits for " + r.Shape.String()
		return nil
	}
	r.reason = "waits for borrowers to give back " + r.Shape.String()
	return s.reclaim(r, members)
}

// reclaim stops the borrowers on the members' accelerators.
func (s *Scheduler) reclaim(r *run, members []Member) []Decision {
	var decisions []Decision
	for _, victim := range s.sortedJobs() {
		if victim.stopping || victim.protected || !overlap(victim.members, members) {
			continue
		}
		victim.stopping = true
		decisions = append(decisions, Decision{Stop: &Stop{
			JobID: victim.ID, Reason: Preempted, For: r.ID, WithinMillis: s.config.Bounds.PreemptWithinMillis,
		}})
	}
	return decisions
}

func (s *Scheduler) sortedJobs() []*run {
	var jobs []*run
	for _, r := range s.jobs {
		if r.state == running {
			jobs = append(jobs, r)
		}
	}
	slices.SortFunc(jobs, func(a, b *run) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return jobs
}

func overlap(a, b []Member) bool {
	for _, x := range a {
		for _, y := range b {
			if x.Worker == y.Worker && x.Mask&y.Mask != 0 {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) withinQuota(r *run) bool {
	for _, t := range s.teams {
		if t.Account != r.Account || t.Name != r.Team || t.Quota == 0 {
			continue
		}
		held := r.Shape.Total()
		for _, other := range s.jobs {
			if other.Account == r.Account && other.Team == r.Team && other.members != nil {
				held += other.Shape.Total()
			}
		}
		return held <= t.Quota
	}
	return true
}

// find returns the first fitting members on the accelerators that usable allows, nil when there are none.
func (s *Scheduler) find(r *run, usable func(*workerState) uint32) []Member {
	var members []Member
	var inWorker, inRack string
	for _, w := range s.workers {
		if w.condition != Healthy || slices.Contains(r.FailedWorkers, w.Name) {
			continue
		}
		if r.Shape.Adjacency == SameWorker && w.Name != inWorker || r.Shape.Adjacency == SameRack && w.Rack != inRack {
			members = members[:0]
		}
		inWorker, inRack = w.Name, w.Rack
		mask := usable(w) & allAccelerators(w.Accelerators)
		for range s.fitting(r, w, mask) {
			cell := takeCell(mask, classOf(r.Shape.Accelerators))
			if r.Shape.Accelerators == 0 {
				cell = 0
			}
			mask &^= cell
			members = append(members, Member{Worker: w.Name, Mask: cell})
			if len(members) == r.Shape.Members {
				return members
			}
		}
	}
	return nil
}

func (s *Scheduler) fitting(r *run, w *workerState, mask uint32) int {
	count := r.Shape.Members
	if r.Shape.Accelerators > 0 {
		count = min(count, bits.OnesCount32(firstBits(mask, classOf(r.Shape.Accelerators))))
	}
	if r.Cores > 0 {
		count = min(count, max(w.cores, 0)/r.Cores)
	}
	if r.MemoryMiB > 0 {
		count = min(count, max(w.memoryMiB, 0)/r.MemoryMiB)
	}
	return count
}

// WakeMillis is when time alone can change the decisions.
func (s *Scheduler) WakeMillis() int64 {
	return 0
}

// Explain says why a waiting job waits.
func (s *Scheduler) Explain(jobID string) string {
	if r := s.jobs[jobID]; r != nil && r.state == waiting {
		return r.reason
	}
	return ""
}
