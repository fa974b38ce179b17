// Package baseline holds the plain policies that the scheduler's own is measured against: FIFO, FIFO
// with backfill, and earliest deadline first with best fit. They keep quotas and whole gangs but know
// no guarantees, preempt nothing and move nothing.
package baseline

import (
	"slices"
	"sort"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// strategy chooses the starts of one decision.
type strategy interface {
	plan(core *core, nowMillis int64) []policy.Decision
	// less orders the waiting jobs.
	less(a, b *job) bool
}

// job is a job with where it runs, if it does.
type job struct {
	policy.Job
	// sequence counts submissions.
	sequence int
	members  []policy.Member
	// expectedEndMillis is when the run ends by its declaration.
	expectedEndMillis int64
}

// core is the state that the baselines share; it implements policy.Policy.
type core struct {
	strategy strategy
	cluster  *cluster
	quotas   map[teamName]int
	held     map[teamName]int
	jobs     map[string]*job
	// waiting is in the strategy's order.
	waiting []*job
	running []*job
	// changed says that a decision may differ from the last one.
	changed  bool
	sequence int
}

type teamName struct {
	account string
	team    string
}

func newCore(strategy strategy) *core {
	return &core{
		strategy: strategy,
		cluster:  newCluster(),
		quotas:   map[teamName]int{},
		held:     map[teamName]int{},
		jobs:     map[string]*job{},
	}
}

// Configure takes the quotas; the baselines know no guarantees.
func (c *core) Configure(_ []policy.Account, teams []policy.Team, _ []policy.Guarantee) {
	clear(c.quotas)
	for _, team := range teams {
		c.quotas[teamName{team.Account, team.Name}] = team.Quota
	}
	c.changed = true
}

// AddWorker adds an empty, healthy worker.
func (c *core) AddWorker(worker policy.Worker) {
	c.cluster.add(worker)
	c.changed = true
}

// MarkWorker changes the condition of a worker.
func (c *core) MarkWorker(name string, condition policy.Condition) {
	c.cluster.mark(name, condition)
	c.changed = true
}

// Submit adds a waiting job.
func (c *core) Submit(submitted policy.Job) {
	added := &job{Job: submitted, sequence: c.sequence}
	c.sequence++
	c.jobs[submitted.ID] = added
	c.enqueue(added)
}

// Restore adds a job that is running already.
func (c *core) Restore(submitted policy.Job, members []policy.Member, startedMillis int64) {
	added := &job{Job: submitted, sequence: c.sequence}
	c.sequence++
	c.jobs[submitted.ID] = added
	c.hold(added, members, startedMillis)
}

// Started confirms a Start decision; the expected end counts from here.
func (c *core) Started(jobID string, nowMillis int64) {
	if started := c.jobs[jobID]; started != nil {
		started.expectedEndMillis = nowMillis + started.remainingMillis()
	}
}

// StartRefused returns the accelerators of a Start decision.
func (c *core) StartRefused(jobID string) {
	if refused := c.jobs[jobID]; refused != nil {
		c.release(refused)
		c.enqueue(refused)
	}
}

// Checkpointed notes the kept progress of a running job.
func (c *core) Checkpointed(jobID string, ppm int, _ int64) {
	if running := c.jobs[jobID]; running != nil {
		running.CheckpointPPM = ppm
	}
}

// Ended ends a run, or with Cancelled a waiting job.
func (c *core) Ended(jobID string, result policy.EndResult, ppm int, _ int64) {
	ended := c.jobs[jobID]
	if ended == nil {
		return
	}
	c.release(ended)
	c.dequeue(ended)
	if result == policy.Finished || result == policy.Cancelled {
		delete(c.jobs, jobID)
		return
	}
	ended.CheckpointPPM = ppm
	c.enqueue(ended)
}

// StartFailed keeps the job away from a worker that failed it.
func (c *core) StartFailed(jobID, worker string, _ int64) {
	if hit := c.jobs[jobID]; hit != nil && !slices.Contains(hit.FailedWorkers, worker) {
		hit.FailedWorkers = append(slices.Clone(hit.FailedWorkers), worker)
	}
}

// Decide returns the starts that the strategy chooses.
func (c *core) Decide(nowMillis int64) []policy.Decision {
	if !c.changed {
		return nil
	}
	c.changed = false
	return c.strategy.plan(c, nowMillis)
}

// WakeMillis is never: the decisions change with events only.
func (c *core) WakeMillis() int64 { return 0 }

// Explain says why a waiting job waits.
func (c *core) Explain(jobID string) string {
	waiting := c.jobs[jobID]
	switch {
	case waiting == nil:
		return "the job is not known"
	case waiting.members != nil:
		return "the job runs"
	case !c.withinQuota(waiting):
		return "the team's quota is used up"
	default:
		return "the job waits for free accelerators or for the jobs before it"
	}
}

func (c *core) enqueue(added *job) {
	at := sort.Search(len(c.waiting), func(i int) bool { return c.strategy.less(added, c.waiting[i]) })
	c.waiting = slices.Insert(c.waiting, at, added)
	c.changed = true
}

func (c *core) dequeue(removed *job) {
	if at := slices.Index(c.waiting, removed); at >= 0 {
		c.waiting = slices.Delete(c.waiting, at, at+1)
		c.changed = true
	}
}

// start takes a waiting job off the queue and returns its decision.
func (c *core) start(waiting *job, members []policy.Member, nowMillis int64) policy.Decision {
	c.dequeue(waiting)
	c.hold(waiting, members, nowMillis)
	return policy.Decision{Start: &policy.Start{JobID: waiting.ID, Members: members}}
}

func (c *core) hold(held *job, members []policy.Member, nowMillis int64) {
	held.members = members
	held.expectedEndMillis = nowMillis + held.remainingMillis()
	c.cluster.take(&held.Job, members)
	c.running = append(c.running, held)
	c.held[held.teamName()] += held.accelerators()
}

func (c *core) release(held *job) {
	if held.members == nil {
		return
	}
	c.cluster.give(&held.Job, held.members)
	held.members = nil
	at := slices.Index(c.running, held)
	c.running = slices.Delete(c.running, at, at+1)
	c.held[held.teamName()] -= held.accelerators()
	c.changed = true
}

func (c *core) withinQuota(waiting *job) bool {
	quota := c.quotas[waiting.teamName()]
	return quota == 0 || c.held[waiting.teamName()]+waiting.accelerators() <= quota
}

func (j *job) teamName() teamName { return teamName{j.Account, j.Team} }

func (j *job) accelerators() int { return j.Shape.Members * j.Shape.Accelerators }

// remainingMillis is the declared time of what the last checkpoint leaves to do.
func (j *job) remainingMillis() int64 {
	const million = 1_000_000
	return j.ExpectedMillis * int64(million-j.CheckpointPPM) / million
}
