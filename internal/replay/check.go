package replay

import (
	"fmt"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// Invariant is what a replay checks.
type Invariant string

// Invariants.
const (
	// GuaranteeMissed: an urgent job within its account's guarantee did not run in time.
	GuaranteeMissed Invariant = "guarantee missed"
	// UrgentStartLate: an urgent job did not run in time.
	UrgentStartLate Invariant = "urgent start late"
	// PartialGang: a start without all members.
	PartialGang Invariant = "partial gang"
	// Overlap: a start on room that others hold.
	Overlap Invariant = "overlap"
	// InvalidDecision: a decision on a job or worker that isn't open to it.
	InvalidDecision Invariant = "invalid decision"
)

// Violation is a broken invariant.
type Violation struct {
	Invariant  Invariant `json:"invariant"`
	Job        string    `json:"job"`
	TimeMillis int64     `json:"time_unix_ms"`
	Detail     string    `json:"detail"`
}

// checker keeps the checks of one data centre.
type checker struct {
	starts, claims int
	violations     []Violation
}

func (c *checker) addViolation(invariant Invariant, target *job, now int64, detail string) {
	id := ""
	if target != nil {
		id = target.spec.GetId()
	}
	c.violations = append(c.violations, Violation{invariant, id, now, detail})
}

// checkStart tells whether a checkStart may be carried out.
func (c *checker) checkStart(d *dataCentreReplay, target *job, workers []string) bool {
	c.starts++
	switch {
	case target == nil || target.phase != waiting:
		c.addViolation(InvalidDecision, target, d.now, "start of a job that doesn't wait")
		return false
	case len(workers) != int(target.step.GetCount()):
		c.addViolation(PartialGang, target, d.now, fmt.Sprintf("%d members of %d", len(workers), target.step.GetCount()))
		return false
	}
	taken := map[string]assign.Resources{}
	for _, name := range workers {
		h, known := d.workersByName[name]
		if !known || !d.usable(h) {
			c.addViolation(InvalidDecision, target, d.now, "start on "+name+", which takes nothing new")
			return false
		}
		taken[name] = taken[name].Add(assign.ResourcesOf(target.step))
		if !h.capacity.Sub(h.used).Contains(taken[name]) {
			c.addViolation(Overlap, target, d.now, "no room on "+name)
			return false
		}
	}
	return true
}

// checkFirstStart checks how long an urgent job waited. It is a claim if its account's urgent jobs need no more than is
// guaranteed.
func (c *checker) checkFirstStart(d *dataCentreReplay, target *job) {
	c.checkUrgentWait(d, target, d.now)
}

// checkEnded checks a job that ends without a start.
func (c *checker) checkEnded(d *dataCentreReplay, target *job) {
	if target.firstStart == 0 && target.phase != cancelled {
		c.checkUrgentWait(d, target, d.now)
	}
}

func (c *checker) checkUrgentWait(d *dataCentreReplay, target *job, until int64) {
	if target.spec.GetPriority() > 0 {
		return
	}
	waited := until - target.spec.GetAcceptedUnixMs()
	claimed := d.urgentAccelerators()[target.spec.GetAccount()] <= d.guaranteed.accelerators[target.spec.GetAccount()]
	if claimed {
		c.claims++
	}
	if waited <= MaxUrgentStartMillis {
		return
	}
	detail := fmt.Sprintf("started after %d ms", waited)
	c.addViolation(UrgentStartLate, target, until, detail)
	if claimed {
		c.addViolation(GuaranteeMissed, target, until, detail)
	}
}
