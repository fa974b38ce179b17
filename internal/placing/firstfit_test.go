package placing_test

import (
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// firstFit is the least policy that the loop can be tested with: it starts jobs in the order of class
// and submission on the first accelerators that are free, and an urgent job that does not fit stops
// every other job.
type firstFit struct {
	workers    []policy.Worker
	conditions map[string]policy.Condition
	used       map[string]uint32
	jobs       map[string]*fitJob
	order      []string
}

type fitJob struct {
	policy.Job
	members  []policy.Member
	running  bool
	stopping bool
}

func newFirstFit() *firstFit {
	return &firstFit{
		conditions: map[string]policy.Condition{}, used: map[string]uint32{}, jobs: map[string]*fitJob{},
	}
}

func (f *firstFit) Configure([]policy.Account, []policy.Team, []policy.Guarantee) {}

func (f *firstFit) AddWorker(worker policy.Worker) { f.workers = append(f.workers, worker) }

func (f *firstFit) MarkWorker(name string, condition policy.Condition) {
	f.conditions[name] = condition
}

func (f *firstFit) Submit(job policy.Job) {
	f.jobs[job.ID] = &fitJob{Job: job}
	f.order = append(f.order, job.ID)
	slices.SortStableFunc(f.order, func(a, b string) int { return int(f.jobs[a].Class) - int(f.jobs[b].Class) })
}

func (f *firstFit) Restore(job policy.Job, members []policy.Member, _ int64) {
	f.Submit(job)
	f.jobs[job.ID].running = true
	f.hold(f.jobs[job.ID], members)
}

func (f *firstFit) hold(job *fitJob, members []policy.Member) {
	job.members = members
	for _, each := range members {
		f.used[each.Worker] |= each.Mask
	}
}

func (f *firstFit) free(job *fitJob) {
	for _, each := range job.members {
		f.used[each.Worker] &^= each.Mask
	}
	job.members, job.running, job.stopping = nil, false, false
}

func (f *firstFit) Started(id string, _ int64) { f.jobs[id].running = true }

func (f *firstFit) StartRefused(id string) { f.free(f.jobs[id]) }

func (f *firstFit) Checkpointed(id string, ppm int, _ int64) { f.jobs[id].CheckpointPPM = ppm }

func (f *firstFit) Ended(id string, result policy.EndResult, _ int, _ int64) {
	job := f.jobs[id]
	if job == nil {
		return
	}
	f.free(job)
	if result == policy.Finished || result == policy.Cancelled {
		delete(f.jobs, id)
		f.order = slices.DeleteFunc(f.order, func(other string) bool { return other == id })
	}
}

func (f *firstFit) Decide(int64) []policy.Decision {
	var decisions []policy.Decision
	for _, id := range f.order {
		job := f.jobs[id]
		if job.members != nil {
			continue
		}
		if members := f.fit(job); members != nil {
			f.hold(job, members)
			decisions = append(decisions, policy.Decision{Start: &policy.Start{JobID: id, Members: members}})
		} else if job.Class == policy.Urgent {
			decisions = append(decisions, f.stopOthers(id)...)
			return decisions
		}
	}
	return decisions
}

func (f *firstFit) stopOthers(claimant string) []policy.Decision {
	var decisions []policy.Decision
	for _, id := range f.order {
		other := f.jobs[id]
		if other.Class != policy.Urgent && other.running && !other.stopping {
			other.stopping = true
			decisions = append(decisions, policy.Decision{Stop: &policy.Stop{
				JobID: id, Reason: policy.Preempted, For: claimant, WithinMillis: reclaimBound.Milliseconds(),
			}})
		}
	}
	return decisions
}

// fit places one member on each of the first healthy workers with room.
func (f *firstFit) fit(job *fitJob) []policy.Member {
	mask := uint32(1)<<job.Shape.Accelerators - 1
	var members []policy.Member
	for _, worker := range f.workers {
		failed := slices.Contains(job.FailedWorkers, worker.Name)
		if failed || f.conditions[worker.Name] != policy.Healthy || f.used[worker.Name]&mask != 0 {
			continue
		}
		members = append(members, policy.Member{Worker: worker.Name, Mask: mask})
		if len(members) == job.Shape.Members {
			return members
		}
	}
	return nil
}

func (f *firstFit) WakeMillis() int64 { return 0 }

func (f *firstFit) Explain(string) string { return "" }
