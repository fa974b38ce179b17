// Package assign plans which tasks start on which workers and which runs are preempted.
//
// A plan is a pure function of a snapshot: it uses no clock and no I/O. Workers may refuse a plan; the caller then plans
// again on a new snapshot. feasible.go decides where a unit may run, rank.go in which order units are served, place.go
// which workers they get, preference.go how long they wait for better ones, urgent.go which workers are kept for urgent units,
// reserve.go what happens to reservations, and preempt.go which runs are preempted.
package assign

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Resources is an amount of a worker's resources.
type Resources struct {
	// CPU is in millicores and Memory in MB.
	CPU, Memory, Accelerators int
}

// ResourcesOf returns the resources that a task of the step takes on a worker. A step that fills takes no CPU: its tasks use
// what other tasks leave.
func ResourcesOf(step *storev1.Step) Resources {
	resources := ResourcesFromProto(step.GetNeed())
	if step.GetFills() {
		resources.CPU = 0
	}
	return resources
}

// ResourcesFromProto converts a resources message.
func ResourcesFromProto(resources *storev1.Resources) Resources {
	return Resources{
		CPU: int(resources.GetCpuMillicores()), Memory: int(resources.GetMemoryMb()), Accelerators: int(resources.GetAccelerators()),
	}
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Sub returns r minus other; amounts may be negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// Contains reports whether need fits into r.
func (r Resources) Contains(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
}

// CoresPerAccelerator is the number of cores that an accelerator counts as in CoreEquivalent.
const CoresPerAccelerator = 8

// CoreEquivalent returns the CPU and the accelerators as a number of cores, to compare amounts of work.
func (r Resources) CoreEquivalent() float64 {
	const millicores = 1000
	return float64(r.CPU)/millicores + float64(r.Accelerators*CoresPerAccelerator)
}

// Worker is the state of a worker at the time of the snapshot.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// Free is known to be unused. Freeing is still used by runs that have been ordered to stop.
	Free, Freeing Resources
	Capacity      Resources
	// Speed is relative to the expected durations: 2 halves them, and 1 is the value of an unknown speed.
	Speed float64
	// SpeedUnknown is true if nothing is known of the worker's speed; see CountUnknownAsSlow.
	SpeedUnknown bool
	// Usable is true if the worker takes new tasks. OnTrial is true if it has failed since the last task that it completed;
	// it then gets one unit at a time.
	Usable, OnTrial bool
	// Unhealthy is true if only recent failures make the worker unusable: it is in quarantine, as Quarantined tells, or on trial and busy.
	// Only units that have waited for long enough start there.
	Unhealthy, Quarantined bool
	// Gone is true if the worker doesn't answer, or isn't listed: what it may still run isn't in use for any caller.
	Gone bool
	// Evacuated is true if the worker isn't usable because its data centre is evacuated.
	Evacuated bool
	// Empty is true if nothing runs on the worker.
	Empty bool
	// NearLatencyTarget is true if the latency of a serving task on the worker is near its target. The worker then gets no
	// more tasks of steps that fill.
	NearLatencyTarget bool
	// Kept is true if the previous plan kept the worker for urgent units.
	Kept bool
	// speedClass is the same for workers of similar speed, and grows with the speed.
	speedClass int
	// reserved is the sum of the reservations on the worker in this plan.
	reserved Resources
	// ending is used by runs that end sooner than they could be stopped; see planState.endsSoon.
	ending Resources
	// runs is what planState.runsOn returns.
	runs []workerRun
	// byEnd is what planState.runsByEnd returns; hasByEnd is true once it is known.
	byEnd    []workerRun
	hasByEnd bool
	// urgentOnly is true if the worker is kept for urgent units; see mayUseUrgentOnly. keptWhole is true if it is kept for those that need
	// a whole worker.
	urgentOnly, keptWhole bool
	// starting is true if this plan starts a unit on the worker.
	starting bool
	// collected is the gang that collects the worker; nil if none does.
	collected *collection
}

// Unit is a task or a whole gang that starts together, and waits to start.
type Unit struct {
	Task     replica.Task
	Account  string
	Service  string
	Step     *storev1.Step
	Priority uint32
	// Claimed is true if the account is entitled to the accelerators at once, because they are within its guarantee.
	Claimed bool
	// Due is when the unit's job, or its occurrence of the job, was due.
	Due time.Time
	// LastAttempt is true if another failure of the unit fails its job.
	LastAttempt bool
	// WaitingSince is since when the unit could run and hasn't: it became ready, its last run ended, or the worker of that run was lost.
	// For a preempted unit it is when the unit was first placed.
	WaitingSince time.Time
	// Preemptions is how often the unit has been preempted.
	Preemptions int
	// Objective is when the job should end. Between Objective and LateUntil it earns part of its credit.
	Objective, LateUntil time.Time
	// Expected is the expected duration of a task of the unit's step on a worker of speed 1; 0 means that it is the declared one.
	Expected time.Duration
	// Margin is the factor by which the last of the step's tasks is assumed to exceed Expected; 0 means estimateMargin.
	Margin float64
	// Remaining is the expected time until the job ends if the unit starts now on a worker of speed 1.
	Remaining time.Duration
	// Credit is what the job earns if it ends by Objective. Work is the work left in it, in core-seconds.
	Credit, Work float64
	// Allowed has the ids of the workers that may run the unit; nil if all may.
	Allowed map[string]bool
	// Avoid has the ids of workers on which the unit failed. It uses them only if the others have no capacity for it, or no room once
	// it has waited for long enough.
	Avoid map[string]bool
	// Reserved has the ids of the workers that an earlier plan reserved for the unit, one for each member; nil if none did.
	Reserved []string
	// TasksPerWorker counts the running tasks of the step by worker id. All units of the step share the map, and a plan adds
	// the tasks that it starts. It is nil if the step has no limit per worker.
	TasksPerWorker map[string]int
	// OnProbation is true if the unit may crash its workers: no other unit starts on them. Exclusive is true if it also needs workers
	// that run nothing else.
	OnProbation, Exclusive bool
	// Explain is true if the plan should have a reason for what it does with the unit.
	Explain bool
	// need is what one of its tasks takes on a worker; newPlanState sets it.
	need Resources
	// density is the result of Density, and ahead the number of units that are served before this one; rank sets them.
	density float64
	ahead   int
	// needsUrgentOnly is true if the unit fits only with workers that are kept for urgent units.
	needsUrgentOnly bool
	// sparesWhole is true while the unit is placed without the workers that are kept whole.
	sparesWhole bool
	// anyWorker is true if the unit has exceeded its preferenceWait and fits only with workers that it would avoid.
	anyWorker bool
}

// mayUseUrgentOnly reports whether the unit may use workers that are kept for urgent units.
func (u *Unit) mayUseUrgentOnly() bool { return u.Priority == 0 || u.needsUrgentOnly || u.anyWorker }

// Members returns the number of tasks in the unit.
func (u *Unit) Members() int {
	if u.Task.Index == replica.GangIndex {
		return int(u.Step.GetCount())
	}
	return 1
}

// expected returns the expected duration of a task of the unit's step on a worker of speed 1.
func (u *Unit) expected() time.Duration {
	if u.Expected > 0 {
		return u.Expected
	}
	return Estimate(u.Step)
}

// RunningUnit is a unit that runs and has not been ordered to stop.
type RunningUnit struct {
	Task     replica.Task
	Account  string
	Priority uint32
	Claimed  bool
	Step     *storev1.Step
	// Workers has the id of a worker for each member.
	Workers []string
	// RemainingHigh is the time within which the run ends with a probability of 90%; 0 if nothing is known of the duration.
	RemainingHigh time.Duration
	// Service is the service whose workers it uses.
	Service string
	// OverShare is true if there is a shortage and the unit's account uses more than its share; the plan sets it.
	OverShare bool
	// LostWork is the work that stopping the unit loses, in core-seconds; see the function LostWork.
	LostWork float64
	// Remaining is the expected time until the run ends by itself; 0 if that isn't known.
	Remaining time.Duration
	// Objective and LateUntil are when the run must end so that its job ends by those of Unit, and Credit is the job's; if it is 0 they
	// aren't known.
	Objective, LateUntil time.Time
	Credit               float64
	// PlacedAt is when the run was planned; zero if that isn't known.
	PlacedAt time.Time
	// Preemptions is how often the unit was preempted before this run.
	Preemptions int
	// cost is the result of planState.stopCost, victim is true if the plan preempts the run, and search is the number of the latest
	// victimSearch that has chosen it.
	cost   float64
	victim bool
	search int
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now time.Time
	// UrgentCores is the number of cores that covers the demand of urgent units that need part of a worker most of the time, by
	// service; see Resources.CoreEquivalent. UrgentWhole is the demand of those whose tasks need a whole worker each.
	UrgentCores map[string]float64
	UrgentWhole map[string]WholeDemand
	// StopDuration is the longest time that a worker takes to stop a task.
	StopDuration time.Duration
	// NoPreemption is true while it is not known what all workers run. The plan preempts nothing then.
	NoPreemption bool
	// Shares is what accounts use.
	Shares  Shares
	Workers []Worker
	Waiting []Unit
	Running []RunningUnit
}

// WholeDemand is a demand for workers that run nothing else.
type WholeDemand struct {
	// Workers is the number of workers, and RackWidth how many of them one unit needs in one rack.
	Workers, RackWidth int
}

// Start is the decision to start a unit. Workers has the id of a worker for each member.
type Start struct {
	Task    replica.Task
	Workers []string
}

// Preemption is the decision to stop the run of Task so that For can use its resources.
type Preemption struct {
	Task replica.Task
	For  replica.Task
	// Gain is what For gains, and Cost that of stopping all runs that are preempted for it, both in core-seconds. Gain is 0 for a claim, which
	// doesn't depend on it.
	Gain, Cost float64
}

// Plan is a set of decisions.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	// Reservations has the ids of the workers on which units wait for resources that are being freed, one for each member. The
	// caller must pass them to the next plan in Unit.Reserved.
	Reservations map[replica.Task][]string
	// Reasons has a reason for each unit with Unit.Explain set.
	Reasons map[replica.Task]Reason
	// Kept has the ids of the workers that are kept for urgent units; true for those kept for units that need whole workers. The caller
	// must pass them to the next plan in Worker.Kept.
	Kept map[string]bool
}

// Reason says why a unit waits, or where it starts.
type Reason struct {
	Starts bool
	// Text is a sentence.
	Text string
}
