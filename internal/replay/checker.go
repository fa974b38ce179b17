package replay

import (
	"fmt"
	"slices"

	"github.com/dotterelgauge/dotterelgauge/internal/policy"
)

// Invariant names what a decision broke.
type Invariant string

// Invariants that the replay checks.
const (
	// PartialGang is a start with missing, surplus or wrongly sized members.
	PartialGang Invariant = "partial gang"
	// NotAdjacent is a start whose members are further apart than the job allows.
	NotAdjacent Invariant = "not adjacent"
	// Overlap is a start on accelerators, cores or memory that another gang holds.
	Overlap Invariant = "overlap"
	// UnfitWorker is a start on a worker that is lost, draining, quarantined or unknown.
	UnfitWorker Invariant = "unfit worker"
	// QuotaExceeded is a start that takes a team over its quota.
	QuotaExceeded Invariant = "quota exceeded"
	// InvalidDecision is a start or stop of a job that is in no state for it.
	InvalidDecision Invariant = "invalid decision"
	// GuaranteeMissed is a job within its account's guarantee that did not run within MaxReclaimMillis.
	GuaranteeMissed Invariant = "guarantee missed"
	// UrgentLate is an urgent job that did not run within MaxReclaimMillis.
	UrgentLate Invariant = "urgent late"
)

// Violation is one broken invariant.
type Violation struct {
	Invariant  Invariant `json:"invariant"`
	DataCentre string    `json:"data_centre"`
	TimeMillis int64     `json:"time_unix_ms"`
	Job        string    `json:"job,omitempty"`
	Detail     string    `json:"detail"`
}

// checkedWorker is a worker with what the started gangs hold on it.
type checkedWorker struct {
	policy.Worker
	condition policy.Condition
	// failing workers fail every task that they start.
	failing bool
	left    capacity
	// rack counts the racks from 0.
	rack int
}

// checker keeps its own account of who holds what, and judges every start by it.
type checker struct {
	dataCentre string
	workers    map[string]*checkedWorker
	// order lists the workers as the trace does.
	order      []*checkedWorker
	racks      int
	quotas     map[teamName]int
	held       map[teamName]int
	checks     int
	violations []Violation
}

type teamName struct {
	account string
	team    string
}

func newChecker(site *site) *checker {
	c := &checker{
		dataCentre: site.name,
		workers:    map[string]*checkedWorker{},
		quotas:     map[teamName]int{},
		held:       map[teamName]int{},
	}
	racks := map[string]int{}
	for _, worker := range site.workers {
		if _, known := racks[worker.Rack]; !known {
			racks[worker.Rack] = len(racks)
		}
		added := &checkedWorker{Worker: worker, left: emptyCapacity(worker), rack: racks[worker.Rack]}
		c.workers[worker.Name] = added
		c.order = append(c.order, added)
	}
	c.racks = len(racks)
	return c
}

func (c *checker) configure(replaced *configuration) {
	clear(c.quotas)
	for _, team := range replaced.teams {
		c.quotas[teamName{team.Account, team.Name}] = team.Quota
	}
}

func (c *checker) violate(broken Invariant, jobID, detail string, nowMillis int64) {
	c.violations = append(c.violations, Violation{
		Invariant:  broken,
		DataCentre: c.dataCentre,
		TimeMillis: nowMillis,
		Job:        jobID,
		Detail:     detail,
	})
}

// checkStart reports whether the start breaks an invariant.
func (c *checker) checkStart(target *job, members []policy.Member, nowMillis int64) bool {
	c.checks++
	before := len(c.violations)
	spec := &target.spec
	if len(members) != spec.Shape.Members {
		c.violate(PartialGang, spec.ID, fmt.Sprintf("%d of %d members", len(members), spec.Shape.Members), nowMillis)
	}
	c.checkMembers(spec, members, nowMillis)
	if len(c.violations) > before {
		return true
	}
	if !c.adjacent(spec.Shape.Adjacency, members) {
		c.violate(NotAdjacent, spec.ID, "members too far apart", nowMillis)
	}
	if !c.withinQuota(target, 0) {
		c.violate(QuotaExceeded, spec.ID, fmt.Sprintf("team %s of %s", spec.Team, spec.Account), nowMillis)
	}
	return len(c.violations) > before
}

// checkMembers checks each member against what the others leave.
func (c *checker) checkMembers(spec *policy.Job, members []policy.Member, nowMillis int64) {
	left := map[string]capacity{}
	for _, member := range members {
		worker := c.workers[member.Worker]
		if worker == nil || worker.condition != policy.Healthy {
			c.violate(UnfitWorker, spec.ID, member.Worker, nowMillis)
			continue
		}
		if !aligned(member.Mask, spec.Shape.Accelerators) {
			c.violate(PartialGang, spec.ID, fmt.Sprintf("mask %#x is no cell of %d", member.Mask, spec.Shape.Accelerators), nowMillis)
		}
		now, seen := left[member.Worker]
		if !seen {
			now = worker.left
		}
		if now.free&member.Mask != member.Mask || now.cores < spec.Cores || now.memoryMiB < spec.MemoryMiB {
			c.violate(Overlap, spec.ID, member.Worker, nowMillis)
		}
		left[member.Worker] = now.without(spec, member.Mask)
	}
}

func (c capacity) without(spec *policy.Job, mask uint32) capacity {
	c.free &^= mask
	c.cores -= spec.Cores
	c.memoryMiB -= spec.MemoryMiB
	return c
}

func (c *checker) adjacent(adjacency policy.Adjacency, members []policy.Member) bool {
	first := groupName(adjacency, c.workers[members[0].Worker].Worker)
	return !slices.ContainsFunc(members, func(member policy.Member) bool {
		return groupName(adjacency, c.workers[member.Worker].Worker) != first
	})
}

// withinQuota tells whether the job may start while its team is about to hold planned accelerators more.
func (c *checker) withinQuota(target *job, planned int) bool {
	team := target.teamName()
	quota := c.quotas[team]
	return quota == 0 || c.held[team]+planned+target.accelerators() <= quota
}

func (c *checker) take(target *job) {
	for _, member := range target.members {
		worker := c.workers[member.Worker]
		worker.left = worker.left.without(&target.spec, member.Mask)
	}
	c.held[target.teamName()] += target.accelerators()
}

func (c *checker) give(target *job) {
	for _, member := range target.members {
		worker := c.workers[member.Worker]
		worker.left.free |= member.Mask
		worker.left.cores += target.spec.Cores
		worker.left.memoryMiB += target.spec.MemoryMiB
	}
	c.held[target.teamName()] -= target.accelerators()
}

// slowest is the speed of the slowest member.
func (c *checker) slowest(members []policy.Member) int {
	speed := c.workers[members[0].Worker].SpeedPermille
	for _, member := range members {
		speed = min(speed, c.workers[member.Worker].SpeedPermille)
	}
	return speed
}

// failingMember is the first worker of the gang that fails its tasks; empty when none does.
func (c *checker) failingMember(target *job) string {
	for _, member := range target.members {
		if c.workers[member.Worker].failing {
			return member.Worker
		}
	}
	return ""
}

func (j *job) teamName() teamName { return teamName{j.spec.Account, j.spec.Team} }
