package replay

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// claimChecker checks that guarantees are honoured. The running jobs of an account are packed into its
// guaranteed shapes, as far as they fit; the waiting jobs that fit into what is left are claims, and as
// many starts must come within MaxReclaimMillis.
type claimChecker struct {
	checker  *checker
	measured window
	accounts map[string]*accountClaims
	// smallest is the least of each resource among the workers, for the share of an accelerator.
	smallest policy.Worker
	// changed holds the accounts to look at again.
	changed map[string]bool
	met     int
}

// accountClaims are the claims of one account.
type accountClaims struct {
	guarantees []policy.Guarantee
	waiting    []*job
	running    []*job
	// claims are open, oldest first.
	claims []claim
}

// claim is the right of an account to one more start.
type claim struct {
	sinceMillis int64
	// jobs are the waiting jobs that any of the open claims could be met with.
	jobs []string
}

func newClaimChecker(checker *checker, measured window) *claimChecker {
	smallest := checker.order[0].Worker
	for _, worker := range checker.order {
		smallest.Cores = min(smallest.Cores, worker.Cores)
		smallest.MemoryMiB = min(smallest.MemoryMiB, worker.MemoryMiB)
		smallest.Accelerators = max(smallest.Accelerators, worker.Accelerators)
	}
	return &claimChecker{
		checker:  checker,
		measured: measured,
		accounts: map[string]*accountClaims{},
		smallest: smallest,
		changed:  map[string]bool{},
	}
}

func (c *claimChecker) configure(replaced *configuration) {
	for name, account := range c.accounts {
		account.guarantees = nil
		c.changed[name] = true
	}
	for _, guarantee := range replaced.guarantees {
		account := c.account(guarantee.Account)
		account.guarantees = append(account.guarantees, guarantee)
	}
}

func (c *claimChecker) account(name string) *accountClaims {
	if c.accounts[name] == nil {
		c.accounts[name] = &accountClaims{}
	}
	c.changed[name] = true
	return c.accounts[name]
}

// waits, runs and gone follow a job through its life.
func (c *claimChecker) waits(target *job) {
	account := c.account(target.spec.Account)
	account.waiting = append(account.waiting, target)
}

func (c *claimChecker) runs(target *job) {
	c.gone(target)
	account := c.account(target.spec.Account)
	account.running = append(account.running, target)
}

func (c *claimChecker) gone(target *job) {
	account := c.account(target.spec.Account)
	same := func(other *job) bool { return other == target }
	account.waiting = slices.DeleteFunc(account.waiting, same)
	account.running = slices.DeleteFunc(account.running, same)
}

// update counts the open claims again where something changed.
func (c *claimChecker) update(nowMillis int64) {
	for _, name := range sortedNames(c.changed) {
		account := c.accounts[name]
		open := c.open(account)
		for len(account.claims) < len(open) {
			account.claims = append(account.claims, claim{sinceMillis: nowMillis, jobs: open})
		}
		for len(account.claims) > len(open) {
			c.settle(name, account.claims[0], nowMillis)
			account.claims = account.claims[1:]
		}
	}
	clear(c.changed)
}

// finish reports the claims that no start ever met.
func (c *claimChecker) finish() {
	for _, name := range sortedNames(c.accounts) {
		for _, unmet := range c.accounts[name].claims {
			c.miss(name, "never met", unmet, unmet.sinceMillis)
		}
	}
}

func (c *claimChecker) settle(account string, met claim, nowMillis int64) {
	c.met++
	if took := nowMillis - met.sinceMillis; took > MaxReclaimMillis {
		c.miss(account, fmt.Sprintf("met after %d ms", took), met, nowMillis)
	}
}

func (c *claimChecker) miss(account, how string, missed claim, nowMillis int64) {
	detail := fmt.Sprintf("account %s: claim of %s %s", account, strings.Join(missed.jobs, " or "), how)
	c.checker.violate(GuaranteeMissed, missed.jobs[0], detail, nowMillis)
}

// open lists the waiting jobs that fit into the account's guaranteed shapes beside the running ones.
func (c *claimChecker) open(account *accountClaims) []string {
	left := newShapePool(account.guarantees)
	for _, target := range largestFirst(account.running) {
		c.use(left, target)
	}
	planned := map[teamName]int{}
	var open []string
	for _, target := range largestFirst(account.waiting) {
		if target.atFault() || !c.checker.withinQuota(target, planned[target.teamName()]) || !c.use(left, target) {
			continue
		}
		planned[target.teamName()] += target.accelerators()
		open = append(open, target.spec.ID)
	}
	return open
}

// atFault tells whether the job has shown that it cannot run; the account is owed nothing for it.
func (j *job) atFault() bool { return j.fails && j.failures > 0 }

// use packs a job that keeps to the share of cores and memory of its accelerators.
func (c *claimChecker) use(left *shapePool, target *job) bool {
	wanted := &target.spec
	size := wanted.Shape.Accelerators
	share := func(total int) int { return total * size / c.smallest.Accelerators }
	if size == 0 || wanted.Cores > share(c.smallest.Cores) || wanted.MemoryMiB > share(c.smallest.MemoryMiB) {
		return false
	}
	return left.take(wanted.Shape)
}

func largestFirst(jobs []*job) []*job {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(sizeOf(b.spec.Shape), sizeOf(a.spec.Shape)),
			cmp.Compare(b.spec.Shape.Accelerators, a.spec.Shape.Accelerators),
		)
	})
	return sorted
}

func sizeOf(shape policy.Shape) int { return shape.Members * shape.Accelerators }
