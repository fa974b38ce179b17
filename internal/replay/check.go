package replay

import (
	"fmt"

	"github.com/dotterelgauge/dotterelgauge/internal/assign"
)

// Invariant is a property that a replay checks. Its value is the description of a violation.
type Invariant string

// Invariants.
const (
	// GuaranteeMissed: an urgent job within its account's guarantee did not start within MaxUrgentStartMillis.
	GuaranteeMissed Invariant = "guarantee missed"
	// UrgentStartLate: an urgent job did not start within MaxUrgentStartMillis.
	UrgentStartLate Invariant = "urgent start late"
	// PartialGang: a planned start doesn't list one worker for each member.
	PartialGang Invariant = "partial gang"
	// Overlap: a planned start needs more resources than are free on one of its workers.
	Overlap Invariant = "overlap"
	// InvalidDecision: a planned start or stop of a job in a phase that doesn't allow it, or a planned start on an unusable
	// worker.
	InvalidDecision Invariant = "invalid decision"
)

// Violation is a violation of an invariant.
type Violation struct {
	Invariant Invariant `json:"invariant"`
	// Job is the id of the job; empty if the planner decided on a job that doesn't exist.
	Job string `json:"job"`
	// TimeMillis is the virtual time in Unix milliseconds.
	TimeMillis int64  `json:"time_unix_ms"`
	Detail     string `json:"detail"`
}

// checker checks the invariants in one data centre. It counts the checked starts and claims.
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

// checkStart reports whether a start is valid, and records a violation if it isn't.
func (c *checker) checkStart(d *dataCentreReplay, target *job, workers []string) bool {
	c.starts++
	switch {
	case target == nil || target.phase != waiting:
		c.addViolation(InvalidDecision, target, d.now, "start of a job that is not waiting")
		return false
	case len(workers) != int(target.step.GetCount()):
		c.addViolation(PartialGang, target, d.now, fmt.Sprintf("%d members of %d", len(workers), target.step.GetCount()))
		return false
	}
	requested := map[string]assign.Resources{}
	for _, name := range workers {
		w, known := d.workersByName[name]
		if !known || !d.usable(w) {
			c.addViolation(InvalidDecision, target, d.now, "start on "+name+", which is not usable")
			return false
		}
		requested[name] = requested[name].Add(assign.ResourcesOf(target.step))
		if !w.capacity.Sub(w.used).Contains(requested[name]) {
			c.addViolation(Overlap, target, d.now, "not enough free resources on "+name)
			return false
		}
	}
	return true
}

// checkFirstStart checks how long a job waited for its first start.
func (c *checker) checkFirstStart(d *dataCentreReplay, target *job) {
	c.checkUrgentWait(d, target, d.now)
}

// checkEnded checks the wait of a job that ended without a start; cancelled jobs are not checked.
func (c *checker) checkEnded(d *dataCentreReplay, target *job) {
	if target.firstStart == 0 && target.phase != cancelled {
		c.checkUrgentWait(d, target, d.now)
	}
}

// checkUrgentWait checks how long an urgent job waited. The job counts as a claim if the urgent jobs of its account need no
// more accelerators than the account is guaranteed.
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
