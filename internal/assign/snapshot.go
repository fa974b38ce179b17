// Package assign decides which task starts on which worker and which run gives way.
//
// It is pure: a plan follows from the snapshot alone, without clock or I/O. A plan may be refused; the caller then plans
// again on a new snapshot. feasible.go says where a unit may run, rank.go in which order units are served, place.go
// which workers they get, preempt.go who gives way.
package assign

import (
	"time"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/replica"
)

// Resources is an amount of a worker's resources.
type Resources struct {
	// CPU in millicores, Memory in MB.
	CPU, Memory, Accelerators int
}

// ResourcesOf returns the room that a task of the step takes on a worker.
func ResourcesOf(step *storev1.Step) Resources {
	room := ResourcesFromProto(step.GetNeed())
	if step.GetFills() {
		room.CPU = 0
	}
	return room
}

// ResourcesFromProto returns resources as room.
func ResourcesFromProto(resources *storev1.Resources) Resources {
	return Resources{CPU: int(resources.GetCpuMillicores()), Memory: int(resources.GetMemoryMb()), Accelerators: int(resources.GetAccelerators())}
}

// Add returns r and other together.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.Memory + other.Memory, r.Accelerators + other.Accelerators}
}

// Sub returns r without other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.CPU - other.CPU, r.Memory - other.Memory, r.Accelerators - other.Accelerators}
}

// Contains tells whether need fits into r.
func (r Resources) Contains(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.Accelerators <= r.Accelerators
}

// CoresPerAccelerator is how many cores an accelerator counts as when work is compared.
const CoresPerAccelerator = 8

// CoreEquivalent returns the room in cores.
func (r Resources) CoreEquivalent() float64 {
	const millicores = 1000
	return float64(r.CPU)/millicores + float64(r.Accelerators*CoresPerAccelerator)
}

// Worker is a worker at the time of the snapshot.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// Free is certainly unused; Freeing is still used by runs that were told to stop.
	Free, Freeing Resources
	Capacity      Resources
	// Speed is relative to the declared estimates; 1 if unknown.
	Speed float64
	// Usable tells that the worker takes new tasks; OnTrial that tasks failed on it lately, so that it gets one at a time.
	Usable, OnTrial bool
	// NearLatencyTarget tells that a task that serves there is near its target: it gets no more tasks that fill.
	NearLatencyTarget bool
	// booked is the room that units of this plan wait for.
	booked Resources
	// kept tells that the worker is kept for urgent units.
	kept bool
}

// Unit is what starts together: a task, or a gang.
type Unit struct {
	Task     replica.Task
	Account  string
	Service  string
	Step     *storev1.Step
	Priority uint32
	// Claimed tells that the account may have the accelerators back at once.
	Claimed bool
	// Due is when the unit's job, or its occurrence, was due.
	Due time.Time
	// LastAttempt tells that its job fails if it fails once more.
	LastAttempt bool
	// WaitingSince is since when it could run and doesn't.
	WaitingSince time.Time
	// Objective is when the job should end; up to LateUntil it still earns something.
	Objective, LateUntil time.Time
	// Remaining is the estimated time until the job ends, if it starts now on a worker of speed 1.
	Remaining time.Duration
	// Credit is what the job earns in time; Work is what it still needs, in core-seconds.
	Credit, Work float64
	// Allowed are the only workers that may run it; nil if all may.
	Allowed map[string]bool
	// Avoid are workers on which it failed; it uses them only where no others hold it.
	Avoid map[string]bool
	// Reserved are the workers on which an earlier plan made room for it, one entry for each member; nil if none did.
	Reserved []string
	// TasksPerWorker counts running tasks of its step; all units of the step share it, and a plan adds what it starts. It
	// is nil if the step has no bound for each worker.
	TasksPerWorker map[string]int
	// density is what the unit earns for each core-second; rank sets it.
	density float64
	// anywhere tells that the unit needs the workers that are kept for urgent ones: it fits nowhere else.
	anywhere bool
}

// urgent tells whether the unit may use the workers that are kept for urgent ones.
func (u *Unit) urgent() bool { return u.Priority == 0 || u.anywhere }

// Members is the number of tasks that start together.
func (u *Unit) Members() int {
	if u.Task.Index == replica.GangIndex {
		return int(u.Step.GetCount())
	}
	return 1
}

// RunningUnit is a unit that runs.
type RunningUnit struct {
	Task     replica.Task
	Account  string
	Priority uint32
	Claimed  bool
	Step     *storev1.Step
	// Workers has one entry for each member.
	Workers []string
	// LostWork is the work that stopping it throws away, in core-seconds.
	LostWork float64
	// Density is what the unit would earn for each core-second if it waited; see Density.
	Density float64
}

// Snapshot is all that a plan depends on.
type Snapshot struct {
	Now time.Time
	// UrgentCores is how many cores of each service urgent units need at most times; see Room.Cores.
	UrgentCores map[string]float64
	Workers     []Worker
	Waiting     []Unit
	Running     []RunningUnit
}

// Start starts a unit; Workers has one entry for each member.
type Start struct {
	Task    replica.Task
	Workers []string
}

// Preemption lets a run give way to another.
type Preemption struct {
	Task replica.Task
	For  replica.Task
}

// Plan is what to do.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	// Reservations are the workers on which units wait for room that is being freed. The next snapshot has them again.
	Reservations map[replica.Task][]string
}
