// Package replica holds each instance's copy of the jobs' state in the store.
//
// The copy is built from the records of the jobs' partition and makes no decisions. Every instance answers callers from
// it, and a new owner starts from it. The same records in the same order result in the same replica.
package replica

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// ErrInvalidKey means that a record's key or a task's name has none of the known formats.
var ErrInvalidKey = errors.New("unknown key format in the jobs' partition: replace the instance by one of the latest version")

// Keys and key prefixes of the jobs' partition.
const (
	ownerKey      = "owner"
	speedsKey     = "speeds"
	forecastKey   = "forecast"
	durationsKey  = "durations"
	jobPrefix     = "j/"
	cancelPrefix  = "c/"
	runPrefix     = "r/"
	outcomePrefix = "o/"
	upkeepPrefix  = "u/"
	leasePrefix   = "l/"
	peerPrefix    = "p/"
)

// GangIndex is the index that denotes a whole gang instead of a single task.
const GangIndex = -1

// Task identifies a task, or a gang as a whole.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	// Index is GangIndex for a gang.
	Index int
}

// String returns the task's name in records and log lines: job.occurrence.step.index.
func (t Task) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask parses the name of a task or of a member of a gang. It returns ErrInvalidKey if the name is malformed.
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, ErrInvalidKey
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil {
			return Task{}, ErrInvalidKey
		}
		numbers[i] = number
	}
	if numbers[0] < 0 || numbers[1] < 0 || numbers[2] < GangIndex {
		return Task{}, ErrInvalidKey
	}
	return Task{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Job is the stored state of a job.
type Job struct {
	Job *storev1.Job
	// Cancelled is true if a caller has cancelled the job.
	Cancelled bool
	Outcome   *storev1.Outcome
	// Runs holds the latest run of each task that ever started; the runs are deleted once the job has an outcome.
	Runs map[Task]*storev1.Run
	// Started is true once a run of one of the job's tasks has been recorded.
	Started bool
	// waiting is the number of runs whose record says that no task of the job has started.
	waiting int
}

// State is a job's state as shown to callers.
type State int

// States of a job.
const (
	Unknown State = iota
	Queued
	Running
	Completed
	Failed
	Cancelled
)

// stateNames are the states' names as shown to callers.
var stateNames = [...]string{
	Unknown: "unknown", Queued: "queued", Running: "running", Completed: "completed", Failed: "failed", Cancelled: "cancelled",
}

// String returns the state's name as shown to callers.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state with the name; Unknown if there is none.
func ParseState(name string) State {
	return State(max(int(Unknown), slices.Index(stateNames[:], name)))
}

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// WaveState is the state of a wave of upkeep.
type WaveState int

// States of a wave, in the order in which it passes through them.
const (
	WaveUnknown WaveState = iota
	WaveRunning
	WaveCompleted
)

// Watcher is notified of changes in the order of the log. It is called with the replica locked and must not block.
type Watcher interface {
	JobAccepted(job *storev1.Job)
	JobCancelled(id string)
}

// Ownership is the latest owner record: a claim, its renewal or its release.
type Ownership struct {
	Owner *storev1.Owner
	// ReceivedAt is when this instance received the latest owner record, on the monotonic clock.
	ReceivedAt time.Time
}

// FinalLease is the lease of a worker that no owner renews while its record is stored.
type FinalLease struct {
	// End is by when everything that was started on the worker has ended, on the monotonic clock.
	End time.Time
	// LaterEnds has the same for each task that may end later, by its name.
	LaterEnds map[string]time.Time
	// Suspects has the evidence that the loss of the worker adds against each task that may have caused it, by the task's name.
	Suspects map[string]float32
	// WorkerStartMs is the start of the worker's incarnation, by its clock; 0 if unknown.
	WorkerStartMs int64
}

// Replica is the state of all jobs, built from the records. It is safe for concurrent use.
type Replica struct {
	events *events.Logger

	mu      sync.RWMutex
	jobs    map[string]*Job
	offsets map[string]int64
	pending map[string]int
	owner   Ownership
	// acceptors has the time of the latest job by the CPU of the instances that accepted it, in millicores.
	acceptors map[uint32]time.Time
	speeds    *storev1.Speeds
	// forecast is the latest forecast, and forecastReadAt when it was read; nil if there is none.
	forecast       *storev1.Forecast
	forecastReadAt time.Time
	// durations is what the owners have learned of durations; nil if no record was read.
	durations *storev1.Durations
	// upkeep is the progress of each wave of upkeep.
	upkeep map[int64]*storev1.Upkeep
	// finalLeases are the final leases by the worker's id.
	finalLeases map[string]FinalLease
	// peers are the instances that serve calls of others, by name.
	peers   map[string]Peer
	ready   bool
	watcher Watcher
	changed chan struct{}
}

// New returns an empty replica.
func New(logger *events.Logger) *Replica {
	return &Replica{
		events: logger, jobs: map[string]*Job{}, offsets: map[string]int64{}, pending: map[string]int{},
		acceptors: map[uint32]time.Time{}, upkeep: map[int64]*storev1.Upkeep{},
		finalLeases: map[string]FinalLease{}, peers: map[string]Peer{}, changed: make(chan struct{}),
	}
}

// Apply updates the replica with records. It ignores those that are not newer than the last one of their key, and logs
// those that it can't decode.
func (r *Replica) Apply(records []storelog.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if last, known := r.offsets[record.Key]; known && last >= record.Offset {
			continue
		}
		if r.offsets[record.Key] = record.Offset; len(record.Value) == 0 {
			delete(r.offsets, record.Key)
		}
		if err := r.applyRecord(record); err != nil {
			r.events.Log(events.RecordNotDecoded, "key", record.Key, "offset", record.Offset, "error", err)
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// KeepOnly forgets the final leases and peers whose records aren't among the keys: they have been deleted. It implements storelog.KeyReader.
func (r *Replica) KeepOnly(keys map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for worker := range r.finalLeases {
		if key := leasePrefix + worker; !keys[key] {
			delete(r.finalLeases, worker)
			// Pages aren't a snapshot: a record that was written behind the page is read again.
			delete(r.offsets, key)
		}
	}
	r.keepOnlyPeers(keys)
}

// Ready marks the replica as complete. It implements storelog.Reader.
func (r *Replica) Ready() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
}

// IsReady reports whether the replica has been complete at least once.
func (r *Replica) IsReady() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Owner returns the latest owner record.
func (r *Replica) Owner() Ownership {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.owner
}

// StrongestAcceptor returns the CPU of the strongest instance of which this one has read an accepted job since the given time, in
// millicores; 0 if there is none.
func (r *Replica) StrongestAcceptor(since time.Time) uint32 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	strongest := uint32(0)
	for cpu, at := range r.acceptors {
		if !at.Before(since) {
			strongest = max(strongest, cpu)
		}
	}
	return strongest
}

// Speeds returns the workers' speeds that the owners have learned; nil if nothing is recorded. The caller must not modify it.
func (r *Replica) Speeds() *storev1.Speeds {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.speeds
}

// Forecast returns the latest forecast; nil if there is none, or it has expired.
func (r *Replica) Forecast() *storev1.Forecast {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if time.Since(r.forecastReadAt) >= time.Duration(r.forecast.GetValidMs())*time.Millisecond {
		return nil
	}
	return r.forecast
}

// Durations returns what the owners have learned of the durations of tasks; nil if nothing is recorded. The caller must not modify it.
func (r *Replica) Durations() *storev1.Durations {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.durations
}

// Upkeep returns the progress of a wave of upkeep; nil if none is stored.
func (r *Replica) Upkeep(wave int64) *storev1.Upkeep {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.upkeep[wave]
}

// FinalLeases returns the final leases by the worker's id.
func (r *Replica) FinalLeases() map[string]FinalLease {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return maps.Clone(r.finalLeases)
}

// State returns a job's state and the accepted job; they are Unknown and nil if the job is not known.
func (r *Replica) State(id string) (State, *storev1.Job) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	job, known := r.jobs[id]
	if !known || job.Job == nil {
		return Unknown, nil
	}
	return job.state(), job.Job
}

// StateCounts returns the number of jobs in each state.
func (r *Replica) StateCounts() map[string]uint32 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	counts := map[string]uint32{}
	for _, job := range r.jobs {
		if job.Job != nil {
			counts[job.state().String()]++
		}
	}
	return counts
}

// PendingJobs returns the number of a queue's jobs that have not started.
func (r *Replica) PendingJobs(queue string) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pending[queue]
}

// OpenAccelerators returns the number of accelerators that the tasks of an account's jobs of a priority need which have not ended.
func (r *Replica) OpenAccelerators(account string, priority uint32) uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	needed := uint64(0)
	for _, job := range r.jobs {
		if job.Job.GetAccount() != account || job.Job.GetPriority() != priority || job.state().Final() {
			continue
		}
		for _, step := range job.Job.GetSteps() {
			needed += uint64(step.GetCount()) * uint64(step.GetNeed().GetAccelerators())
		}
	}
	return needed
}

// Watch returns all jobs of the replica and notifies the watcher of every job that is accepted or cancelled later.
func (r *Replica) Watch(watcher Watcher) []Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watcher = watcher
	all := make([]Job, 0, len(r.jobs))
	for _, job := range r.jobs {
		if job.Job == nil {
			continue
		}
		copied := *job
		copied.Runs = make(map[Task]*storev1.Run, len(job.Runs))
		for task, run := range job.Runs {
			copied.Runs[task] = run
		}
		all = append(all, copied)
	}
	return all
}

// Unwatch stops notifying the watcher.
func (r *Replica) Unwatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watcher = nil
}

// state derives the job's state. The outcome takes precedence over a cancellation.
func (j *Job) state() State {
	switch {
	case j.Outcome.GetState() == storev1.JobState_JOB_STATE_COMPLETED:
		return Completed
	case j.Outcome.GetState() == storev1.JobState_JOB_STATE_FAILED:
		return Failed
	case j.Cancelled || j.Outcome != nil:
		return Cancelled
	case j.Started:
		return Running
	default:
		return Queued
	}
}

// isPending reports whether the job counts as pending.
func (j *Job) isPending() bool {
	state := j.state()
	return j.Job != nil && (state == Queued || (state == Running && j.waiting > 0))
}
