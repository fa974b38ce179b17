// Package replica holds what the store says of jobs, on every instance.
//
// It is a fold of the jobs' partition and never decides. Any instance answers callers from it; an owner starts from
// it. The same records in the same order give the same replica.
package replica

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	storev1 "github.com/dotterelgauge/dotterelgauge/api/store/v1"
	"github.com/dotterelgauge/dotterelgauge/internal/events"
	"github.com/dotterelgauge/dotterelgauge/internal/storelog"
)

// ErrInvalidKey means that a record's key has none of the known forms.
var ErrInvalidKey = errors.New("a key of the jobs' partition has no known form: replace the instance by one of the newest version")

// Key forms of the jobs' partition.
const (
	ownerKey      = "owner"
	speedsKey     = "speeds"
	jobPrefix     = "j/"
	cancelPrefix  = "c/"
	runPrefix     = "r/"
	outcomePrefix = "o/"
	upkeepPrefix  = "u/"
)

// GangIndex stands for the whole gang in place of a task's index.
const GangIndex = -1

// Task names a task, or a gang as a whole.
type Task struct {
	Job        string
	Occurrence int
	Step       int
	// Index is GangIndex for a gang.
	Index int
}

// String is the task's name in records and log lines.
func (t Task) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// ParseTask reads the name of a task or of a member of a gang.
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
	return Task{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Job is what the store says of a job.
type Job struct {
	Job *storev1.Job
	// Cancelled tells that its caller cancelled it.
	Cancelled bool
	Outcome   *storev1.Outcome
	// Runs are the newest run of each task that ever started; empty once the job has an outcome.
	Runs map[Task]*storev1.Run
	// Started tells that a task was ordered to start.
	Started bool
}

// State is the job's state as callers see it.
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

// String is the word that callers see.
func (s State) String() string {
	return [...]string{Unknown: "unknown", Queued: "queued", Running: "running", Completed: "completed", Failed: "failed", Cancelled: "cancelled"}[s]
}

// Final tells that the state doesn't change any more.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// WaveState is how far a wave of upkeep is.
type WaveState int

// States of a wave, in their order.
const (
	WaveUnknown WaveState = iota
	WaveRunning
	WaveCompleted
)

// Watcher learns of changes in the order of the log. It is called with the replica locked and must not block.
type Watcher interface {
	JobAccepted(job *storev1.Job)
	JobCancelled(id string)
}

// Ownership is the newest claim that the store holds.
type Ownership struct {
	Owner *storev1.Owner
	// ReceivedAt is when this instance read the newest record of the owner, on the steady clock.
	ReceivedAt time.Time
}

// Replica is the fold. It is safe for use by several goroutines.
type Replica struct {
	events *events.Logger

	mu      sync.RWMutex
	jobs    map[string]*Job
	offsets map[string]int64
	pending map[string]int
	owner   Ownership
	speeds  map[string]float64
	begun   map[int64][]string
	ready   bool
	watcher Watcher
	changed chan struct{}
}

// New returns an empty replica.
func New(logger *events.Logger) *Replica {
	return &Replica{
		events: logger, jobs: map[string]*Job{}, offsets: map[string]int64{}, pending: map[string]int{},
		begun: map[int64][]string{}, changed: make(chan struct{}),
	}
}

// Apply folds records.
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
		if err := r.fold(record); err != nil {
			r.events.Log(events.RecordNotDecoded, "key", record.Key, "offset", record.Offset, "error", err)
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Ready marks the replica as complete.
func (r *Replica) Ready() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
}

// IsReady tells whether the replica has been complete once.
func (r *Replica) IsReady() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// Changed is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Owner returns the newest claim.
func (r *Replica) Owner() Ownership {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.owner
}

// Speeds returns what the owners have learned of the workers' speeds.
func (r *Replica) Speeds() map[string]float64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.speeds
}

// UpkeepStarted returns the machines of a wave whose upkeep has begun.
func (r *Replica) UpkeepStarted(wave int64) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.begun[wave]
}

// State returns a job's state and the account it belongs to.
func (r *Replica) State(id string) (State, *storev1.Job) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	job, known := r.jobs[id]
	if !known || job.Job == nil {
		return Unknown, nil
	}
	return job.state(), job.Job
}

// StateCounts counts the jobs by their state.
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

// PendingJobs returns the number of a queue's jobs for which nothing has started.
func (r *Replica) PendingJobs(queue string) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.pending[queue]
}

// Watch returns all jobs that have not been retired and reports every later change to the watcher.
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

// Unwatch ends the reports to the watcher.
func (r *Replica) Unwatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watcher = nil
}

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

// waits tells whether the job counts as pending.
func (j *Job) waits() bool { return j.Job != nil && j.state() == Queued }

func (r *Replica) fold(record storelog.Record) error {
	switch record.Key {
	case ownerKey:
		return r.foldOwner(record)
	case speedsKey:
		return r.foldSpeeds(record)
	}
	kind, name := record.Key[:min(2, len(record.Key))], record.Key[min(2, len(record.Key)):]
	if kind == upkeepPrefix {
		return r.foldUpkeep(name, record.Value)
	}
	id, _, _ := strings.Cut(name, ".")
	job, known := r.jobs[id]
	if !known {
		job = &Job{Runs: map[Task]*storev1.Run{}}
		r.jobs[id] = job
	}
	waited := job.waits()
	err := r.foldJob(job, kind, name, record.Value)
	if now := job.waits(); now != waited {
		if now {
			r.pending[job.Job.GetQueue()]++
		} else {
			r.pending[job.Job.GetQueue()]--
		}
	}
	if kind == jobPrefix && len(record.Value) == 0 {
		delete(r.jobs, id)
	}
	return err
}

func (r *Replica) foldJob(job *Job, kind, name string, value []byte) error {
	dropped := len(value) == 0
	switch kind {
	case jobPrefix:
		if dropped || job.Job != nil {
			return nil
		}
		accepted := &storev1.Job{}
		if err := proto.Unmarshal(value, accepted); err != nil {
			return errors.Wrap(err, "job")
		}
		job.Job = accepted
		if r.watcher != nil {
			r.watcher.JobAccepted(accepted)
			if job.Cancelled {
				r.watcher.JobCancelled(accepted.GetId())
			}
		}
	case cancelPrefix:
		if !dropped && !job.Cancelled {
			job.Cancelled = true
			if r.watcher != nil {
				r.watcher.JobCancelled(name)
			}
		}
	case runPrefix:
		return job.foldRun(name, value)
	case outcomePrefix:
		if dropped {
			return nil
		}
		job.Outcome = &storev1.Outcome{}
		return proto.Unmarshal(value, job.Outcome)
	default:
		return ErrInvalidKey
	}
	return nil
}

func (j *Job) foldRun(name string, value []byte) error {
	task, err := ParseTask(name)
	if err != nil {
		return err
	}
	if len(value) == 0 {
		delete(j.Runs, task)
		return nil
	}
	run := &storev1.Run{}
	if err := proto.Unmarshal(value, run); err != nil {
		return errors.Wrap(err, "run")
	}
	j.Runs[task] = run
	j.Started = true
	return nil
}

func (r *Replica) foldOwner(record storelog.Record) error {
	owner := &storev1.Owner{}
	if err := proto.Unmarshal(record.Value, owner); err != nil {
		return errors.Wrap(err, "owner")
	}
	if owner.GetEpoch() >= r.owner.Owner.GetEpoch() {
		r.owner = Ownership{Owner: owner, ReceivedAt: time.Now()}
	}
	return nil
}

func (r *Replica) foldSpeeds(record storelog.Record) error {
	speeds := &storev1.Speeds{}
	if err := proto.Unmarshal(record.Value, speeds); err != nil {
		return errors.Wrap(err, "speeds")
	}
	r.speeds = speeds.GetSpeed()
	return nil
}

func (r *Replica) foldUpkeep(name string, value []byte) error {
	number, err := strconv.ParseInt(name, 10, 64)
	if err != nil {
		return ErrInvalidKey
	}
	upkeep := &storev1.Upkeep{}
	if err := proto.Unmarshal(value, upkeep); err != nil {
		return errors.Wrap(err, "upkeep")
	}
	r.begun[number] = upkeep.GetBegun()
	return nil
}
