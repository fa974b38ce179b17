package baseline

import (
	"cmp"
	"math"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// NewFIFO returns the policy that starts jobs in the order of submission, first fit; the first job
// that does not fit holds up all behind it. Jobs over their team's quota are passed over.
func NewFIFO() policy.Policy { return newCore(fifo{}) }

// NewBackfill returns FIFO with backfill: the first job that does not fit gets a reservation at the
// time when, by the declared run times, it will fit; later jobs start before it where they are
// declared to end by then or leave its reserved accelerators alone.
func NewBackfill() policy.Policy { return newCore(backfill{}) }

// NewEDF returns the policy that goes through the jobs by their deadlines and starts each that fits,
// on the fullest workers that hold it. Jobs without a deadline come last, in order of submission.
func NewEDF() policy.Policy { return newCore(edf{}) }

type fifo struct{}

func (fifo) less(a, b *job) bool { return a.sequence < b.sequence }

func (fifo) plan(c *core, nowMillis int64) []policy.Decision {
	decisions, _ := startInOrder(c, nowMillis)
	return decisions
}

// startInOrder starts jobs up to the first that does not fit, and returns that one.
func startInOrder(c *core, nowMillis int64) ([]policy.Decision, *job) {
	var decisions []policy.Decision
	for _, waiting := range slices.Clone(c.waiting) {
		if !c.withinQuota(waiting) {
			continue
		}
		members := c.cluster.place(&waiting.Job, false)
		if members == nil {
			return decisions, waiting
		}
		decisions = append(decisions, c.start(waiting, members, nowMillis))
	}
	return decisions, nil
}

type edf struct{}

func (edf) less(a, b *job) bool {
	return cmp.Or(
		cmp.Compare(deadlineOrNever(a), deadlineOrNever(b)),
		cmp.Compare(a.sequence, b.sequence),
	) < 0
}

func deadlineOrNever(j *job) int64 {
	if j.DeadlineMillis == 0 {
		return math.MaxInt64
	}
	return j.DeadlineMillis
}

func (edf) plan(c *core, nowMillis int64) []policy.Decision {
	var decisions []policy.Decision
	for _, waiting := range slices.Clone(c.waiting) {
		if !c.withinQuota(waiting) {
			continue
		}
		if members := c.cluster.place(&waiting.Job, true); members != nil {
			decisions = append(decisions, c.start(waiting, members, nowMillis))
		}
	}
	return decisions
}

type backfill struct{}

func (backfill) less(a, b *job) bool { return a.sequence < b.sequence }

func (backfill) plan(c *core, nowMillis int64) []policy.Decision {
	decisions, head := startInOrder(c, nowMillis)
	if head == nil {
		return decisions
	}
	booking := c.reserve(head)
	for _, waiting := range slices.Clone(c.waiting) {
		if waiting == head || !c.withinQuota(waiting) {
			continue
		}
		members := c.backfillPlace(waiting, booking, nowMillis)
		if members != nil {
			decisions = append(decisions, c.start(waiting, members, nowMillis))
		}
	}
	return decisions
}

// reservation is where and when the job at the head will fit.
type reservation struct {
	head *job
	// startMillis is math.MaxInt64 when the head never fits.
	startMillis int64
	members     []policy.Member
}

// reserve frees the running jobs in the order of their declared ends until the head fits.
func (c *core) reserve(head *job) reservation {
	future := c.cluster.clone()
	ending := slices.Clone(c.running)
	slices.SortStableFunc(ending, func(a, b *job) int {
		return cmp.Compare(a.expectedEndMillis, b.expectedEndMillis)
	})
	for _, running := range ending {
		future.give(&running.Job, running.members)
		if members := future.place(&head.Job, false); members != nil {
			return reservation{head: head, startMillis: running.expectedEndMillis, members: members}
		}
	}
	return reservation{head: head, startMillis: math.MaxInt64}
}

// backfillPlace places a job that ends before the reservation anywhere, and another one outside it.
func (c *core) backfillPlace(waiting *job, booking reservation, nowMillis int64) []policy.Member {
	if nowMillis+waiting.remainingMillis() <= booking.startMillis {
		return c.cluster.place(&waiting.Job, false)
	}
	// What is free now and reserved is taken out for the search; taking cores that running jobs
	// still hold leaves a negative count, which only makes the search stricter.
	blocked := freeNow(c.cluster, booking.members)
	c.cluster.take(&booking.head.Job, blocked)
	members := c.cluster.place(&waiting.Job, false)
	c.cluster.give(&booking.head.Job, blocked)
	return members
}

// freeNow cuts the members' masks down to the accelerators that are free now.
func freeNow(c *cluster, members []policy.Member) []policy.Member {
	blocked := make([]policy.Member, 0, len(members))
	for _, member := range members {
		blocked = append(blocked, policy.Member{Worker: member.Worker, Mask: member.Mask & c.byName[member.Worker].free})
	}
	return blocked
}
