package routing

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/dotterelgauge/dotterelgauge/api/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/routing/conn"
)

// AccountWeight is a client account's part of the queue; accounts without one weigh 1.
type AccountWeight struct {
	Account string
	// Weight is at least 1.
	Weight int
}

// SetWorkers replaces the workers by those of the instance list. A worker that refused because it leaves
// gets nothing new until the list has shown it leaving, absent or at another address.
func (r *Router) SetWorkers(list []*apiv1.Worker) {
	r.sched.mu.Lock()
	defer r.sched.mu.Unlock()
	r.sched.setWorkers(list, r.config.Workers)
	r.sched.grantWaiting()
}

// SetInstances replaces the live instances, among which the limits of the workers are divided by weight.
func (r *Router) SetInstances(list []*apiv1.Instance) {
	r.sched.mu.Lock()
	defer r.sched.mu.Unlock()
	live := liveInstances(list)
	if slices.Equal(live, r.sched.instances) {
		return
	}
	r.sched.instances = live
	r.sched.revision++
	r.sched.divide()
	r.sched.grantWaiting()
}

// SetQuarantined names the workers that the ledger holds quarantined or drained; they get nothing.
func (r *Router) SetQuarantined(names []string) {
	r.sched.mu.Lock()
	defer r.sched.mu.Unlock()
	r.sched.setQuarantined(names)
	r.sched.grantWaiting()
}

// SetAccounts replaces the weights of the client accounts.
func (r *Router) SetAccounts(weights []AccountWeight) {
	r.sched.mu.Lock()
	defer r.sched.mu.Unlock()
	r.sched.weights = make(map[string]int, len(weights))
	for _, w := range weights {
		r.sched.weights[w.Account] = max(w.Weight, 1)
	}
}

// ConnectionLimits returns this instance's share of the connections of each worker, for conn.Transport.SetLimits.
func (r *Router) ConnectionLimits() []conn.Limit {
	r.sched.mu.Lock()
	defer r.sched.mu.Unlock()
	limits := make([]conn.Limit, 0, len(r.sched.pool.workers))
	for _, w := range r.sched.pool.workers {
		limits = append(limits, conn.Limit{Address: w.address, Connections: w.connections.share})
	}
	slices.SortFunc(limits, func(a, b conn.Limit) int { return strings.Compare(a.Address, b.Address) })
	return limits
}

// divided is a limit of a worker and this instance's share of it.
type divided struct {
	limit int
	share int
	// revision is the division of instances that share belongs to; 0 when the limit changed since.
	revision uint64
}

func (d *divided) set(limit int) {
	if d.limit != limit {
		d.limit = limit
		d.revision = 0
	}
}

// divide computes the share unless nothing changed.
func (d *divided) divide(instances []instanceWeight, revision uint64, name, workerName string) {
	if d.revision == revision {
		return
	}
	d.revision = revision
	d.share = 0
	if d.limit > 0 {
		d.share = shareOf(instances, name, workerName, d.limit)
	}
}

// instanceWeight is one live instance.
type instanceWeight struct {
	name   string
	weight int
}

func liveInstances(list []*apiv1.Instance) []instanceWeight {
	var live []instanceWeight
	for _, i := range list {
		if i.GetPresence() == apiv1.Presence_PRESENCE_LEAVING {
			continue
		}
		weight := max(int(i.GetWeight()), 1)
		live = append(live, instanceWeight{name: i.GetName(), weight: weight})
	}
	return live
}

// shareOf divides a worker's limit among the instances by weight and returns the part of the named one.
// Parts that rounding leaves over go to the largest remainders; ties are broken by a hash of
// worker and instance, so that they fall to another instance at each worker. The part is at least 1, so
// that each instance can try: a worker that is full refuses, which proves that the request did not run.
func shareOf(instances []instanceWeight, name, workerName string, limit int) int {
	total := 0
	own := 0
	for _, i := range instances {
		total += i.weight
		if i.name == name {
			own = i.weight
		}
	}
	if own == 0 {
		// The list lags: this instance isn't on it yet.
		own = 1
		total++
	}
	whole := limit * own / total
	if hasRemainder(instances, name, workerName, limit, total, own) {
		whole++
	}
	return max(whole, 1)
}

// hasRemainder says whether the named instance gets one of the parts that rounding left over.
func hasRemainder(instances []instanceWeight, name, workerName string, limit, total, own int) bool {
	left := limit
	ahead := 0
	ownRest := limit * own % total
	ownHash := xxhash.Sum64String(workerName + "/" + name)
	for _, i := range instances {
		left -= limit * i.weight / total
		rest := limit * i.weight % total
		hash := xxhash.Sum64String(workerName + "/" + i.name)
		if rest > ownRest || rest == ownRest && hash > ownHash {
			ahead++
		}
	}
	return ownRest > 0 && ahead < left
}
