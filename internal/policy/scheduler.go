package policy

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/google/btree"
)

// Scheduler is the Policy of the product. It is not safe for concurrent use.
type Scheduler struct {
	config Config
	now    int64

	workers     []*workerState
	byName      map[string]*workerState
	racks       []*rackState
	rackByName  map[string]*rackState
	layoutStale bool
	// speeds has the fastest workers first, rackIndex the workers of a rack side by side.
	speeds       *index
	rackIndex    *index
	racksByCells [sizeClasses]*btree.BTreeG[rackKey]
	// accelerators of all workers.
	accelerators int

	accounts    map[string]*accountState
	accountList []*accountState
	teams       map[teamName]*teamState

	guarantees       []*guaranteeState
	entitlements     []*entitlement
	entitlementCount int
	// unpacked is set when guarantees have to be packed again; risks are those without cells.
	unpacked bool
	risks    []Risk

	runs      map[string]*run
	sequence  uint64
	borrowers *btree.BTreeG[borrowerKey]
	ends      *btree.BTreeG[endsKey]
	// fresh jobs were submitted since the last pass; freed is set when capacity was.
	fresh []*run
	freed bool
	// ready claims have all their victims gone; deferred victims were chosen while they started; restored runs may
	// be inside their account's guarantee; faulty jobs are to be reported.
	ready    []*run
	deferred []*run
	faulty   []*run
	restored []*run
	// failing holds what did not fit since capacity was last freed, unclaimed what no guarantee had room for.
	failing     map[signature]bool
	unclaimed   map[signature]bool
	reservation reservation
	moves       moveBudget
	suspects    []*workerState
	// judging is set once the caller reports evidence; until then no verdicts, probes and jobs at fault are decided.
	judging   bool
	decisions []Decision

	best, trial      plan
	bestPrice        int64
	trialNumber      uint64
	extraCells       [sizeClasses]int
	touched          []*workerState
	transaction      transaction
	candidates       []*run
	nominal          []spot
	nominalVictims   victimSet
	candidateVictims victimSet
}

var (
	_ Policy         = (*Scheduler)(nil)
	_ EvidenceKeeper = (*Scheduler)(nil)
)

// New returns a scheduler without workers and accounts.
func New(config Config) *Scheduler {
	return &Scheduler{
		config:      config,
		byName:      make(map[string]*workerState),
		rackByName:  make(map[string]*rackState),
		layoutStale: true,
		accounts:    make(map[string]*accountState),
		teams:       make(map[teamName]*teamState),
		runs:        make(map[string]*run),
		borrowers:   btree.NewG(treeDegree, lessBorrower),
		ends:        btree.NewG(treeDegree, lessEnds),
		failing:     make(map[signature]bool),
		unclaimed:   make(map[signature]bool),
	}
}

// Configure replaces accounts, teams and guarantees.
func (s *Scheduler) Configure(accounts []Account, teams []Team, guarantees []Guarantee) {
	s.configureAccounts(accounts, teams)
	s.configureGuarantees(guarantees)
	for _, a := range s.accountList {
		s.requeue(a)
	}
	s.freed = true
}

// AddWorker adds an empty, healthy worker. A worker that is known already becomes healthy again.
func (s *Scheduler) AddWorker(worker Worker) {
	if s.byName[worker.Name] != nil {
		s.MarkWorker(worker.Name, Healthy)
		return
	}
	rack := s.rackByName[worker.Rack]
	if rack == nil {
		rack = &rackState{at: len(s.racks), name: worker.Rack}
		s.rackByName[worker.Rack] = rack
		s.racks = append(s.racks, rack)
	}
	w := &workerState{
		Worker: worker, rack: rack, all: allAccelerators(worker.Accelerators),
		freeCores: worker.Cores, freeMemory: worker.MemoryMiB,
	}
	s.workers = append(s.workers, w)
	s.byName[worker.Name] = w
	s.accelerators += worker.Accelerators
	s.layoutStale = true
	s.unpacked = s.unpacked || len(s.risks) > 0
	s.freed = true
}

// MarkWorker changes the condition of a worker.
func (s *Scheduler) MarkWorker(name string, condition Condition) {
	w := s.byName[name]
	if w == nil || w.condition == condition {
		return
	}
	w.condition = condition
	s.noteCondition(w)
	if condition != Healthy {
		s.withdrawFrom(w)
	}
	s.refreshUnits(w)
	s.refresh(w)
	s.unpacked = s.unpacked || condition != Healthy && w.guaranteed != 0 || condition == Healthy && len(s.risks) > 0
	s.freed = true
}

// withdrawFrom takes back the claims and destinations on the worker.
func (s *Scheduler) withdrawFrom(w *workerState) {
	for _, r := range slices.Clone(w.runs) {
		if r.state == claiming && r.onWorker(w) {
			s.withdraw(r)
		}
		if len(r.destination) > 0 {
			s.dropDestination(r)
		}
	}
	if s.reservation.on(w) {
		s.dropReservation()
	}
}

// Submit adds a waiting job.
func (s *Scheduler) Submit(job Job) {
	if s.runs[job.ID] != nil {
		return
	}
	r := s.newRun(job)
	s.enqueue(r)
	s.fresh = append(s.fresh, r)
}

func (s *Scheduler) newRun(job Job) *run {
	s.sequence++
	job.FailedWorkers = slices.Clone(job.FailedWorkers)
	r := &run{Job: job, sequence: s.sequence, account: s.accountOf(job.Account), team: s.teamOf(job.Account, job.Team)}
	s.runs[job.ID] = r
	return r
}

// Restore adds a job that is running already, for a new owner. Members on unknown workers are left out.
func (s *Scheduler) Restore(job Job, members []Member, startedMillis int64) {
	if s.runs[job.ID] != nil {
		return
	}
	r := s.newRun(job)
	var spots []spot
	for _, m := range members {
		if w := s.byName[m.Worker]; w != nil {
			spots = append(spots, spot{worker: w, mask: m.Mask})
		}
	}
	s.occupy(r, spots)
	s.use(r)
	s.confirm(r, startedMillis)
	s.restored = append(s.restored, r)
}

// Started confirms a Start decision.
func (s *Scheduler) Started(jobID string, nowMillis int64) {
	if r := s.runs[jobID]; r != nil && r.state == starting {
		s.confirm(r, nowMillis)
	}
}

// StartRefused returns the accelerators of a Start decision; the job waits again.
func (s *Scheduler) StartRefused(jobID string) {
	if r := s.runs[jobID]; r != nil && r.state == starting {
		s.release(r)
		s.enqueue(r)
	}
}

// Checkpointed notes the kept progress of a running job.
func (s *Scheduler) Checkpointed(jobID string, ppm int, nowMillis int64) {
	r := s.runs[jobID]
	if r == nil || r.state != running {
		return
	}
	filed := r.filed
	s.unfileRun(r)
	if ppm > r.CheckpointPPM {
		s.noteProgress(r)
	}
	r.CheckpointPPM = max(r.CheckpointPPM, ppm)
	r.checkpointMillis = nowMillis
	r.endMillis = nowMillis + s.expectRemaining(r, nowMillis, typical)
	if filed {
		s.fileRun(r)
	}
}

// Ended ends a run, or with Cancelled a waiting job.
func (s *Scheduler) Ended(jobID string, result EndResult, ppm int, nowMillis int64) {
	r := s.runs[jobID]
	if r == nil {
		return
	}
	s.now = max(s.now, nowMillis)
	s.noteEnd(r, result, nowMillis)
	if result == Finished || result == Cancelled {
		s.forget(r)
		return
	}
	r.CheckpointPPM = max(r.CheckpointPPM, ppm)
	switch r.state {
	case waiting:
		return
	case claiming:
		s.withdraw(r)
		return
	default:
	}
	destination := r.destination
	r.destination = nil
	s.release(r)
	if result == PreemptedEnd {
		r.preemptedMillis = nowMillis
	}
	if result == MovedEnd && len(destination) > 0 {
		s.arrive(r, destination)
		return
	}
	s.freeSpots(r, destination)
	s.enqueue(r)
}

// forget removes the job for good.
func (s *Scheduler) forget(r *run) {
	switch r.state {
	case waiting:
		s.dequeue(r)
	default:
		s.dropDestination(r)
		s.release(r)
	}
	if s.reservation.run == r {
		s.dropReservation()
	}
	delete(s.runs, r.ID)
}

// enqueue makes the job wait.
func (s *Scheduler) enqueue(r *run) {
	r.state = waiting
	s.setKey(r)
	r.account.waiting.ReplaceOrInsert(r)
	r.why = reason{kind: waitsForDecision}
}

func (s *Scheduler) dequeue(r *run) {
	r.account.waiting.Delete(r)
}

// requeue computes the keys of an account's waiting jobs again.
func (s *Scheduler) requeue(a *accountState) {
	a.pass = a.pass[:0]
	a.waiting.Ascend(func(r *run) bool {
		a.pass = append(a.pass, r)
		return true
	})
	a.waiting.Clear(true)
	for _, r := range a.pass {
		s.setKey(r)
		a.waiting.ReplaceOrInsert(r)
	}
}

// againMillis is the time to the next decision when the passes of one were too few.
const againMillis = 100

// WakeMillis is when time alone can change the decisions; 0 means never.
func (s *Scheduler) WakeMillis() int64 {
	wake := int64(0)
	if s.freed {
		wake = s.now + againMillis
	}
	for _, at := range [...]int64{s.reservation.wakeMillis(s.config.Bounds.BackfillDelayMillis), s.nextProbe()} {
		if at > 0 && (wake == 0 || at < wake) {
			wake = at
		}
	}
	return wake
}

// FreeCells is what is free on one worker.
type FreeCells struct {
	Rack string
	// Mask has bit i set when accelerator i is free.
	Mask uint32
}

// Fragmentation returns how many of the free accelerators none of the shapes can use, and how many are free. A shape
// can use a free cell when enough such cells are free for all its members within its adjacency.
func Fragmentation(free []FreeCells, shapes []Shape) (unusable, total int) {
	inRack := make(map[string]*[sizeClasses]int)
	var inAll [sizeClasses]int
	for _, f := range free {
		total += bits.OnesCount32(f.Mask)
		rack := inRack[f.Rack]
		if rack == nil {
			rack = &[sizeClasses]int{}
			inRack[f.Rack] = rack
		}
		for class := range cellSizes {
			count := countCells(f.Mask, class)
			rack[class] += count
			inAll[class] += count
		}
	}
	shapes = slices.Clone(shapes)
	slices.SortFunc(shapes, func(a, b Shape) int {
		return cmp.Or(cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.Members, b.Members), cmp.Compare(a.Adjacency, b.Adjacency))
	})
	shapes = slices.Compact(shapes)
	for _, f := range free {
		var usable uint32
		for _, shape := range shapes {
			if shape.Accelerators == 0 {
				continue
			}
			class := classOf(shape.Accelerators)
			near := [...]int{SameWorker: countCells(f.Mask, class), SameRack: inRack[f.Rack][class], SameDataCentre: inAll[class]}
			if near[shape.Adjacency] >= shape.Members {
				usable |= firstBits(f.Mask, class) * (1<<cellSizes[class] - 1)
			}
		}
		unusable += bits.OnesCount32(f.Mask &^ usable)
	}
	return unusable, total
}
