package policy

type runState uint8

// States of a run.
const (
	// waiting in the queue.
	waiting runState = iota
	// claiming its members while victims leave.
	claiming
	// starting: the Start decision is out.
	starting
	// running: confirmed by Started.
	running
)

// run is a job with its place in the schedule.
type run struct {
	Job
	state    runState
	account  *accountState
	team     *teamState
	sequence uint64
	// key orders the queue of the account.
	key   int64
	spots []spot
	// protected runs are inside their account's guarantee and never victims.
	protected bool
	// reassigning is set while the run's entitlement is being given to another gang of its account.
	reassigning bool
	// backfilled runs stand on cells held for the reservation.
	backfilled bool
	// stop is the decision that the run must leave; stopIssued when it is out.
	stop       StopReason
	stopping   bool
	stopIssued bool
	// waiters wait for this run to leave.
	waiters []*run
	// victims is how many runs this one waits for.
	victims int
	// claimedMillis is when the job first claimed accelerators since it waits; 0 when it has not.
	claimedMillis int64
	// destination is held for a run that is being moved.
	destination []spot

	startedMillis    int64
	checkpointMillis int64
	startedPPM       int
	// endMillis is when the run is expected to end.
	endMillis int64
	// slowest is the speed of the slowest member, permille.
	slowest int
	// preemptedMillis is when the job was last preempted; 0 for never.
	preemptedMillis int64
	atFault         bool
	// failures counts the runs that failed; blamed is set when StartFailed has named the worker of the last one.
	failures int
	blamed   bool
	why      reason

	// filed runs are in the sets of running gangs under these keys.
	filed       bool
	borrowerKey borrowerKey
	endsKey     endsKey
}

func (r *run) total() int {
	return r.Shape.Total()
}

// lostIfStopped is the work that a stop without a checkpoint would lose, in accelerator milliseconds.
func (r *run) lostIfStopped(nowMillis int64) int64 {
	return max(nowMillis-r.checkpointMillis, 0) * int64(max(r.total(), 1))
}

// onWorker reports whether a member of the run is on the worker.
func (r *run) onWorker(w *workerState) bool {
	for i := range r.spots {
		if r.spots[i].worker == w {
			return true
		}
	}
	return false
}

// request is what a gang needs of the workers.
type request struct {
	members   int
	class     int
	cores     int
	memory    int
	adjacency Adjacency
	avoid     []string
}

func (r *run) request() request {
	class := -1
	if r.Shape.Accelerators > 0 {
		class = classOf(r.Shape.Accelerators)
	}
	adjacency := r.Shape.Adjacency
	if r.Shape.Members == 1 {
		adjacency = SameWorker
	}
	return request{
		members: max(r.Shape.Members, 1), class: class, cores: r.Cores, memory: r.MemoryMiB,
		adjacency: adjacency, avoid: r.FailedWorkers,
	}
}

// borrowerKey orders victims: the least urgent class first, then the newest checkpoint.
type borrowerKey struct {
	class            Class
	checkpointMillis int64
	sequence         uint64
	run              *run
}

func lessBorrower(a, b borrowerKey) bool {
	if a.class != b.class {
		return a.class > b.class
	}
	if a.checkpointMillis != b.checkpointMillis {
		return a.checkpointMillis > b.checkpointMillis
	}
	return a.sequence < b.sequence
}

// endsKey orders runs by the time at which they are expected to end.
type endsKey struct {
	endMillis int64
	sequence  uint64
	run       *run
}

func lessEnds(a, b endsKey) bool {
	if a.endMillis != b.endMillis {
		return a.endMillis < b.endMillis
	}
	return a.sequence < b.sequence
}
