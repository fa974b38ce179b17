package gateway

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/forecast"
)

const (
	// minBusyDelay and maxBusyDelay limit the delay after which the caller of a job that is refused in a shortage should retry.
	minBusyDelay = time.Second
	maxBusyDelay = 20 * time.Second
	// refusalMemory is how long a refused job is remembered: until it returns, with a retry that takes twice as long.
	refusalMemory = 2 * maxBusyDelay
	// maxRefusals limits the remembered jobs, which take some 100 bytes each.
	maxRefusals = 4096
)

// Reasons of refusals in a shortage, in metrics.
const (
	refusedTooLate   = "too_late"
	refusedNeverFits = "never_fits"
)

// refuseIfBusy answers TooBusy to a new job that would certainly end too late, or that no worker can hold. It never refuses a job within
// its account's guarantee, one that is stored, or one without a fresh forecast: all other cases return OK.
func (g *Gateway) refuseIfBusy(ctx context.Context, job *storev1.Job) Answer {
	service := g.replica.Forecast().GetServices()[job.GetService()]
	if service == nil {
		return Answer{}
	}
	verdict := forecast.Judge(service, job)
	if !verdict.NeverFits && !verdict.TooLate {
		return Answer{}
	}
	// Another instance may have stored the job, and the account's jobs may have ended since the last read.
	if err := g.health.CatchUp(ctx); err != nil {
		return Answer{}
	}
	if _, known := g.replica.State(job.GetId()); known != nil || g.withinGuarantee(job) {
		return Answer{}
	}
	if verdict.NeverFits {
		g.counters.refusals.Add(refusedNeverFits, 1)
		return Answer{Result: TooBusy, Detail: fmt.Sprintf(
			"no worker has what one of its tasks needs: %d millicores, %d MB and %d accelerators, where the largest has %d, %d and %d: "+
				"the job was not run, split its tasks", verdict.Need.CPU, verdict.Need.Memory, verdict.Need.Accelerators,
			verdict.Largest.CPU, verdict.Largest.Memory, verdict.Largest.Accelerators)}
	}
	g.counters.refusals.Add(refusedTooLate, 1)
	now := time.Now()
	return Answer{
		Result: TooBusy, RetryAfter: g.refusals.add(job.GetId(), job.GetPriority(), verdict, now),
		Detail: fmt.Sprintf("the account uses its share of a full service, and the job would start in %.0f s at the earliest, "+
			"too late to be of use: it was not run, retry later", verdict.Start.Seconds()),
	}
}

// withinGuarantee reports whether the account's open jobs of priority 0 and this one need no more accelerators than its guarantee.
func (g *Gateway) withinGuarantee(job *storev1.Job) bool {
	current := g.configs.Current()
	if current == nil || job.GetPriority() != 0 {
		return false
	}
	needed := g.replica.OpenAccelerators(job.GetAccount(), 0)
	for _, step := range job.GetSteps() {
		needed += uint64(step.GetCount()) * uint64(step.GetNeed().GetAccelerators())
	}
	return needed <= uint64(current.Accounts[job.GetAccount()].GuaranteedAccelerators)
}

// busyDelay returns the delay after which the caller of a refused job should retry: when a job like it would start in time, and up to
// spread later, or up to as long again, by a hash of its id. Each earlier refusal halves it, and so does priority 0, so that the most urgent
// and those refused for the longest time return first.
func busyDelay(until, spread time.Duration, id string, priority uint32, refusedBefore int) time.Duration {
	const steps = 1 << 16
	base := min(max(until, minBusyDelay), maxBusyDelay/2) //nolint:mnd // at least half of maxBusyDelay is for the spread.
	delay := base + min(max(spread, base), maxBusyDelay-base)*time.Duration(hashOf(id)%steps)/steps
	for range refusedBefore {
		delay /= 2
	}
	if priority == 0 {
		delay /= 2
	}
	return max(delay, minBusyDelay)
}

// refusals remembers the jobs that were refused lately and haven't been accepted since.
type refusals struct {
	mu   sync.Mutex
	jobs map[string]refusal
	// order has the ids in the order in which they were first refused, also of jobs that are forgotten.
	order []string
	// work is the time that the service takes for all of them.
	work time.Duration
}

// refusal is how often a job was refused, when it first was, and the time that the service takes for it.
type refusal struct {
	count int
	first time.Time
	work  time.Duration
}

// add adds a refusal of a job and returns the delay after which its caller should retry. What the other refused jobs take is the time over
// which the callers are spread: more of them can't be served when they return.
func (r *refusals) add(id string, priority uint32, verdict forecast.Verdict, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs == nil {
		r.jobs = map[string]refusal{}
	}
	for len(r.order) > 0 && (len(r.order) >= maxRefusals || now.Sub(r.jobs[r.order[0]].first) > refusalMemory) {
		r.remove(r.order[0])
		r.order = r.order[1:]
	}
	known, again := r.jobs[id]
	if !again {
		known.first, known.work = now, verdict.Work
		r.order = append(r.order, id)
		r.work += known.work
	}
	known.count++
	r.jobs[id] = known
	return busyDelay(verdict.RetryAfter, r.work, id, priority, known.count-1)
}

// accept forgets a job that is accepted.
func (r *refusals) accept(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id)
}

func (r *refusals) remove(id string) {
	r.work -= r.jobs[id].work
	delete(r.jobs, id)
}

// RefusalCounts returns the number of jobs refused in shortages by reason, for the metrics page.
func (g *Gateway) RefusalCounts() expvar.Var { return g.counters.refusals }
