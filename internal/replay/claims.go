package replay

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// claimChecker checks that guarantees are honoured. It matches the running jobs of an account to the
// account's guaranteed shapes, one job a shape; as many waiting jobs as the shapes left over can hold
// are claims, and each claim must be met by a start within MaxReclaimMillis.
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
	// since holds the time of each open claim, oldest first.
	since []int64
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
	for _, account := range c.accounts {
		slices.SortStableFunc(account.guarantees, func(a, b policy.Guarantee) int {
			return cmp.Compare(sizeOf(a.Shape), sizeOf(b.Shape))
		})
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
		for len(account.since) < open {
			account.since = append(account.since, nowMillis)
		}
		for len(account.since) > open {
			c.settle(name, account.since[0], nowMillis)
			account.since = account.since[1:]
		}
	}
	clear(c.changed)
}

// finish reports the claims that no start ever met.
func (c *claimChecker) finish() {
	for _, name := range sortedNames(c.accounts) {
		for _, since := range c.accounts[name].since {
			detail := fmt.Sprintf("account %s: never met", name)
			c.checker.violate(GuaranteeMissed, "", detail, since)
		}
	}
}

func (c *claimChecker) settle(account string, since, nowMillis int64) {
	c.met++
	if took := nowMillis - since; took > MaxReclaimMillis {
		detail := fmt.Sprintf("account %s: met after %d ms", account, took)
		c.checker.violate(GuaranteeMissed, "", detail, nowMillis)
	}
}

// open counts the waiting jobs that the account's unused guaranteed shapes can hold.
func (c *claimChecker) open(account *accountClaims) int {
	left := make([]int, len(account.guarantees))
	for at, guarantee := range account.guarantees {
		left[at] = guarantee.Count
	}
	for _, target := range largestFirst(account.running) {
		c.use(account, left, target)
	}
	planned := map[teamName]int{}
	open := 0
	for _, target := range largestFirst(account.waiting) {
		if !c.checker.withinQuota(target, planned[target.teamName()]) || !c.use(account, left, target) {
			continue
		}
		planned[target.teamName()] += target.accelerators()
		open++
	}
	return open
}

// use takes the smallest guaranteed shape left that holds the job.
func (c *claimChecker) use(account *accountClaims, left []int, target *job) bool {
	for at, guarantee := range account.guarantees {
		if left[at] > 0 && c.holds(guarantee.Shape, &target.spec) {
			left[at]--
			return true
		}
	}
	return false
}

// holds tells whether the guaranteed shape holds the job within the shape's share of each worker.
func (c *claimChecker) holds(shape policy.Shape, wanted *policy.Job) bool {
	tooLarge := wanted.Shape.Members > shape.Members || wanted.Shape.Accelerators > shape.Accelerators
	tooFar := wanted.Shape.Members > 1 && wanted.Shape.Adjacency < shape.Adjacency
	if tooLarge || tooFar || wanted.Shape.Accelerators == 0 {
		return false
	}
	share := func(total int) int { return total * shape.Accelerators / c.smallest.Accelerators }
	return wanted.Cores <= share(c.smallest.Cores) && wanted.MemoryMiB <= share(c.smallest.MemoryMiB)
}

func largestFirst(jobs []*job) []*job {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b *job) int {
		return cmp.Compare(sizeOf(b.spec.Shape), sizeOf(a.spec.Shape))
	})
	return sorted
}

func sizeOf(shape policy.Shape) int { return shape.Members * shape.Accelerators }
