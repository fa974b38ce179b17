// Package policy decides which gangs run where in one data centre.
//
// The package is pure: no I/O, no clock and no randomness but a seed in Config. Time is a parameter,
// in milliseconds since the Unix epoch. The same sequence of calls gives the same decisions, so the
// instance, the replay, the benchmarks and the property tests all call the same code.
package policy

// Class is the urgency of a job; lower goes first.
type Class uint8

// Classes of work.
const (
	Urgent Class = iota
	Ordinary
	Patient
)

// Adjacency bounds how far apart the members of a gang are placed.
type Adjacency uint8

// Adjacencies, from the tightest.
const (
	SameWorker Adjacency = iota
	SameRack
	SameDataCentre
)

// Shape is what a gang occupies.
type Shape struct {
	// Members of the gang, 1 to MaxMembers.
	Members int
	// Accelerators of each member: 0, 1, 2, 4 or 8.
	Accelerators int
	Adjacency    Adjacency
}

// MaxMembers bounds the members of a gang.
const MaxMembers = 64

// Worker is one back end of the data centre.
type Worker struct {
	Name         string
	Rack         string
	Accelerators int
	Cores        int
	MemoryMiB    int
	// SpeedPermille is the speed relative to a worker of speed 1000.
	SpeedPermille int
}

// Condition says what a worker may be given.
type Condition uint8

// Conditions of a worker.
const (
	// Healthy workers get work.
	Healthy Condition = iota
	// Quarantined workers get probes only.
	Quarantined
	// Draining workers get nothing new; what runs goes on.
	Draining
	// Lost workers are gone with all that ran on them.
	Lost
)

// Account is a client account.
type Account struct {
	Name string
	// Priority orders accounts that borrow; larger goes first.
	Priority int
	// Weight is the account's share of what is borrowed.
	Weight int
}

// Team divides an account.
type Team struct {
	Account string
	Name    string
	// Quota bounds the accelerators that the team's jobs hold at once; 0 means no bound.
	Quota int
}

// Guarantee is a number of shapes that an account can always reclaim.
type Guarantee struct {
	Account string
	Shape   Shape
	Count   int
	// Spare keeps the guarantee through the loss of any one worker.
	Spare bool
}

// Job is a job as the policy sees it.
type Job struct {
	ID        string
	Account   string
	Team      string
	Class     Class
	Shape     Shape
	Cores     int
	MemoryMiB int
	// ExpectedMillis is the declared run time on a worker of speed 1000; often far off.
	ExpectedMillis int64
	// DeadlineMillis is when the caller wants the job finished; 0 means none.
	DeadlineMillis  int64
	SubmittedMillis int64
	// CheckpointPPM is the share of the work done, kept by the last checkpoint.
	CheckpointPPM int
	// FailedWorkers are workers on which the job failed; it is not placed there again.
	FailedWorkers []string
}

// Member is one placed task of a gang.
type Member struct {
	Worker string
	// Mask has bit i set when accelerator i of the worker belongs to the member.
	Mask uint32
}

// Start asks for a waiting job to be started on the members. The scheduler holds the accelerators
// until Started or StartRefused.
type Start struct {
	JobID   string
	Members []Member
}

// StopReason is why a running job is to be stopped.
type StopReason uint8

// Reasons to stop a running job.
const (
	// Preempted frees accelerators for the job named in For.
	Preempted StopReason = iota
	// Moved places the job better.
	Moved
)

// Stop asks for a running gang to be checkpointed and stopped as a whole.
type Stop struct {
	JobID  string
	Reason StopReason
	// For is the job that needs the accelerators; empty for Moved.
	For string
	// WithinMillis bounds the time until the stop; at the bound it is stopped without a checkpoint.
	WithinMillis int64
}

// Verdict asks for a worker's condition to be changed for the reason given. A worker to be quarantined gets no
// new work from then on; one to be healthy again gets work once MarkWorker says so.
type Verdict struct {
	Worker    string
	Condition Condition
	Reason    string
}

// Probe asks the caller to find out whether a quarantined worker starts tasks again, and to report it with Probed.
type Probe struct {
	Worker string
}

// AtFault reports a waiting job that failed on several workers while others succeeded there. It is not started
// again; the caller ends it.
type AtFault struct {
	JobID  string
	Reason string
}

// Decision is one action; exactly one field is set.
type Decision struct {
	Start   *Start
	Stop    *Stop
	Verdict *Verdict
	Probe   *Probe
	AtFault *AtFault
}

// EvidenceKeeper is implemented by policies that tell faulty workers from faulty jobs. A caller that uses it carries
// out Verdict, Probe and AtFault; for a caller that never does, the policy decides none of these.
type EvidenceKeeper interface {
	// StartFailed notes that the worker could not start a task of the job. The run itself ends with Ended or
	// StartRefused.
	StartFailed(jobID, worker string, nowMillis int64)
	// Probed notes the result of a probe.
	Probed(worker string, healthy bool, nowMillis int64)
}

// EndResult is how a run ended.
type EndResult uint8

// Ends of a run. After Failed, PreemptedEnd, MovedEnd and LostEnd the job waits again.
const (
	Finished EndResult = iota
	Failed
	PreemptedEnd
	MovedEnd
	LostEnd
	Cancelled
)

// Policy is what the owner of a data centre, the replay and the baselines have in common.
// Calls come from one goroutine.
type Policy interface {
	// Configure replaces accounts, teams and guarantees. The guarantees are known to pack.
	Configure(accounts []Account, teams []Team, guarantees []Guarantee)
	// AddWorker adds an empty, healthy worker.
	AddWorker(worker Worker)
	// MarkWorker changes the condition of a worker. Runs on a lost worker are ended by the caller with LostEnd.
	MarkWorker(name string, condition Condition)
	// Submit adds a waiting job.
	Submit(job Job)
	// Restore adds a job that is running already, for a new owner.
	Restore(job Job, members []Member, startedMillis int64)
	// Started confirms a Start decision.
	Started(jobID string, nowMillis int64)
	// StartRefused returns the accelerators of a Start decision; the job waits again.
	StartRefused(jobID string)
	// Checkpointed notes the kept progress of a running job.
	Checkpointed(jobID string, ppm int, nowMillis int64)
	// Ended ends a run, or with Cancelled a waiting job.
	Ended(jobID string, result EndResult, ppm int, nowMillis int64)
	// Decide returns what to do now. It is called after every change and at the time that WakeMillis gave.
	Decide(nowMillis int64) []Decision
	// WakeMillis is when time alone can change the decisions; 0 means never.
	WakeMillis() int64
	// Explain says why a waiting job waits.
	Explain(jobID string) string
}
